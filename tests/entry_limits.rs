//! Limits of customers over all hosts.

#[path = "common/seeded.rs"]
mod seeded;

use ledgespool::entry::customer::RateLimit;
use ledgespool::entry::hash;
use ledgespool::entry::limits::coordinator::LimitCoordinator;
use ledgespool::entry::limits::member::{AdmissionStep, CoordinatorList, LimitMember};
use ledgespool::entry::limits::message::{LeaseOffer, TokenVerdict};
use ledgespool::entry::limits::{self, GROUPS, LimitBound, LimitTolerance};
use ledgespool::entry::metrics_page::{CurrentFigures, EntryMetrics};
use ledgespool::limit_experiment::fixed_parts::{FixedParts, FixedVerdict};
use ledgespool::limit_experiment::fixed_share::{self, HostShare};
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
    #![proptest_config(seeded::config())]

    /// Whatever all hosts let through in a window that starts with full buckets is within the
    /// bound.
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
            let part = fixed_share::own_part(&bound, &share, customer);
            most += part.per_s * TOLERANCE.window_s + part.most;
        }
        prop_assert!(most <= bound.allowed() * (1.0 + 1e-9), "{most} of {}", bound.allowed());
    }
}

/// While a coordinator's machine is suspended, the owner of a leased share takes it back. A clock
/// that includes the suspended time shows that to the coordinator as soon as it resumes, before it
/// receives any message.
#[test]
fn a_grantor_that_was_suspended_grants_nothing_of_parts_that_went_back() {
    const SUSPENDED_MS: u64 = 3_000;
    let customer = hash::of_name("mill");
    let bound = bound(20.0, 40.0);
    let mut coordinator = LimitCoordinator::with_name("entry-1", 1);
    let group = u8::try_from(limits::group_of(customer)).expect("few groups");
    let mut offer = LeaseOffer {
        host: "entry-2".to_owned(),
        run: 1,
        number: 1,
        group,
        share: 1.0,
        unused: true,
        stamp: None,
    };
    let now = Moment(1_000);
    let reply = coordinator
        .on_offer(&offer, now)
        .expect("a group that there is");
    offer.stamp = Some(reply.stamp);
    offer.number = 2;
    assert!(coordinator.on_offer(&offer, now).expect("the same").uses);
    assert_eq!(
        coordinator.grant(customer, &bound, now.plus(1)),
        TokenVerdict::Granted
    );
    let woken = now.plus(SUSPENDED_MS);
    assert_eq!(
        coordinator.grant(customer, &bound, woken),
        TokenVerdict::NotHere
    );
}

/// Two coordinators deny and the third is not asked: the refusal reports the earlier of the two times
/// at which a token is available.
#[test]
fn who_was_denied_is_told_when_there_is_room() {
    let bound = bound(50.0, 50.0);
    let mut member = LimitMember::with_name("entry-1", 1);
    member.round(1_000, [None; GROUPS], Moment(0));
    let coordinators = CoordinatorList {
        names: ["near", "far", "other"].map(str::to_owned).to_vec(),
    };
    let next = |member: &mut LimitMember, asked| {
        member.next_step(7, &bound, &coordinators, asked, Moment(10))
    };
    let denied = |available_in_ms| TokenVerdict::Denied { available_in_ms };
    assert_eq!(next(&mut member, 0), AdmissionStep::Ask("near".to_owned()));
    member.on_verdict("near", 7, denied(300), Moment(10));
    assert_eq!(next(&mut member, 1), AdmissionStep::Ask("far".to_owned()));
    member.on_verdict("far", 7, denied(120), Moment(10));
    let refusal = AdmissionStep::Refuse {
        available_in_ms: 120,
    };
    assert_eq!(next(&mut member, 2), refusal);
    // The next request asks the coordinator that was not asked.
    assert_eq!(next(&mut member, 0), AdmissionStep::Ask("other".to_owned()));
}

#[test]
fn refusals_are_counted_by_customer_in_a_bounded_number_of_lines() {
    let mut metrics = EntryMetrics::default();
    metrics.on_over_limit("mill \"two\"");
    for number in 0..1_000 {
        metrics.on_over_limit(&format!("customer-{number}"));
    }
    let page = metrics.page(&CurrentFigures::default());
    let lines: Vec<&str> = page
        .lines()
        .filter(|line| line.contains("over_limit"))
        .collect();
    assert!(lines.len() <= 101, "{}", lines.len());
    let odd = r#"ledgespool_over_limit_total{customer="mill \"two\""} 1"#;
    assert!(lines.contains(&odd), "{lines:?}");
    let others = r#"ledgespool_over_limit_total{customer="(others)"} 901"#;
    assert!(lines.contains(&others), "{lines:?}");
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
    let admitted = (0..1_000).filter(|_| admit(0) == FixedVerdict::Admitted);
    let admitted = admitted.count();
    assert!(admitted > 5, "{admitted}");
    let FixedVerdict::Refused { available_in_ms } = admit(0) else {
        panic!("its part is used up");
    };
    assert!(
        available_in_ms <= 40,
        "25 a second are its own: {available_in_ms}"
    );
    assert_eq!(admit(available_in_ms + 1), FixedVerdict::Admitted);
}

proptest! {
    #![proptest_config(seeded::config())]

    /// The tokens that accrue in a window, plus the bucket capacity and two starts of each host,
    /// stay within the bound.
    #[test]
    fn the_pace_of_a_limit_fits_into_its_bound(
        per_s in 0.01_f64..1_000.0,
        burst in 0.0_f64..2_000.0,
        excess in 0.0_f64..0.5,
        slack in 0.0_f64..50.0,
    ) {
        let bound = LimitBound {
            limit: RateLimit { per_s, burst },
            tolerance: LimitTolerance { window_s: 5.0, excess, slack },
        };
        let pace = bound.pace();
        // The token lifetime in addition to the window, and a quarter of the capacity for each
        // start.
        let most = pace.per_s * 5.25 + pace.most * 1.5;
        prop_assert!(most <= bound.allowed() * (1.0 + 1e-9), "{most} of {}", bound.allowed());
        prop_assert!(pace.per_s > 0.0 && pace.most > 0.0);
    }
}
