//! Limits of customers over all hosts.

use ledgespool::entry::customer::RateLimit;
use ledgespool::entry::limits::fixed::FixedParts;
use ledgespool::entry::limits::parts::{self, HostShare};
use ledgespool::entry::limits::{LimitBound, LimitTolerance, LimitVerdict};
use ledgespool::entry::{hash, limits};
use ledgespool::timer::Moment;
use proptest::prelude::*;

const TOLERANCE: LimitTolerance = LimitTolerance {
    window_s: 5.0,
    excess: 0.1,
    slack: 20.0,
};

fn bound(per_s: f64, burst: f64) -> LimitBound {
    LimitBound {
        limit: RateLimit { per_s, burst },
        tolerance: TOLERANCE,
    }
}

fn host_hashes(count: u32) -> Vec<u64> {
    let names = (0..count).map(|number| format!("entry-{number}"));
    names.map(|name| hash::of_name(&name)).collect()
}

proptest! {
    /// What all hosts may let through in any window, with full buckets at its begin, is within the bound.
    #[test]
    fn fixed_parts_sum_up_to_no_more_than_the_bound(
        hosts in 1_u32..500,
        per_s in 0.1_f64..500.0,
        burst in 0.0_f64..500.0,
        customer in any::<u64>(),
    ) {
        let bound = bound(per_s, burst);
        let hashes = host_hashes(hosts);
        let mut most = 0.0;
        for own in &hashes {
            let others: Vec<u64> = hashes.iter().copied().filter(|hash| hash != own).collect();
            let share = HostShare { hosts, own_hash: *own, other_hashes: &others };
            let part = parts::own_part(&bound, &share, customer);
            most += part.per_s * TOLERANCE.window_s + part.most;
        }
        prop_assert!(most <= bound.allowed() * (1.0 + 1e-9), "{most} of {}", bound.allowed());
    }
}

#[test]
fn a_host_lets_its_part_through_and_gets_room_with_time() {
    let bound = bound(50.0, 50.0);
    let share = HostShare {
        hosts: 2,
        own_hash: 1,
        other_hashes: &[2],
    };
    let mut parts = FixedParts::default();
    let mut admit = |now: u64| parts.admit("mill", &bound, &share, Moment(now));
    let admitted = (0..1_000).filter(|_| admit(0) == LimitVerdict::Admitted);
    let admitted = admitted.count();
    assert!(admitted > 5, "{admitted}");
    let limits::LimitVerdict::Refused { room_in_ms } = admit(0) else {
        panic!("its part is used up");
    };
    assert!(room_in_ms <= 40, "25 a second are its own: {room_in_ms}");
    assert_eq!(admit(room_in_ms + 1), LimitVerdict::Admitted);
}
