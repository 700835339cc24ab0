//! When requests that crash servers are blocked, probed and cleared, and how hosts agree on it.

#[path = "common/peer_records.rs"]
mod peer_records;
#[path = "common/seeded.rs"]
mod seeded;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ledgespool::entry::fingerprint::RequestFingerprint;
use ledgespool::entry::peer_message::{self, PeerMessage, WatchState};
use ledgespool::entry::peers::{HostRecord, PeerTable};
use ledgespool::entry::quarantine::message::{QuarantineMessage, ServerCrash, SuspectRecord};
use ledgespool::entry::quarantine::table::{QuarantineTable, SuspectChange, SuspectState};
use ledgespool::entry::quarantine::{
    CLEARED_TTL_MS, EARLY_PROBE_DELAY_MS, EARLY_PROBE_SPREAD_MS, FIRST_PROBE_DELAY_MS,
    MAX_RECORDS_PER_DATAGRAM, MAX_REQUESTS_PER_DATAGRAM, MAX_SUSPECTS, PROBE_BACKOFF_FACTOR,
    SUSPECT_TTL_MS, TRACKERS_PER_SUSPECT,
};
use ledgespool::timer::Moment;
use proptest::prelude::*;

const CRASHING: RequestFingerprint = RequestFingerprint(0xdead);
const OTHER: RequestFingerprint = RequestFingerprint(0xbeef);
const START: Moment = Moment(1_000_000);

fn table_after_crashes(servers: &[u64]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for server in servers {
        table.on_crash(CRASHING, *server, START);
    }
    table
}

#[test]
fn third_crashed_server_blocks_only_that_request() {
    let mut table = table_after_crashes(&[1]);
    assert_eq!(table.state_of(CRASHING), Some(SuspectState::Tracked));
    assert!(!table.has_announced() && table.records(START).is_empty());
    let change = table.on_crash(CRASHING, 2, START);
    assert!(matches!(change, SuspectChange::Announce(record) if record.crashed_servers == [1, 2]));
    assert_eq!(table.state_of(CRASHING), Some(SuspectState::Announced));
    // Another host reports the same crash.
    assert_eq!(table.on_crash(CRASHING, 2, START), SuspectChange::None);
    assert!(!table.is_blocked(CRASHING));
    table.on_crash(CRASHING, 3, START);
    assert!(table.is_blocked(CRASHING) && !table.is_blocked(OTHER));
    assert_eq!(table.on_crash(CRASHING, 4, START), SuspectChange::None);
}

/// A bystander of the request that crashed the servers must not stay blocked.
#[test]
fn success_clears_a_request_and_overrides_late_crash_reports() {
    let mut table = table_after_crashes(&[1, 2, 3]);
    let change = table.on_success(CRASHING, START);
    assert!(matches!(change, SuspectChange::Announce(record) if record.cleared));
    table.on_crash(CRASHING, 4, START);
    assert!(!table.is_blocked(CRASHING));
    let now = START.plus(CLEARED_TTL_MS);
    table.on_tick(now);
    assert_eq!(table.state_of(CRASHING), None, "the success has expired");
    for server in 5..8 {
        table.on_crash(CRASHING, server, now);
    }
    assert!(table.is_blocked(CRASHING));
}

#[test]
fn success_clears_an_unannounced_suspect_without_a_message() {
    let mut table = table_after_crashes(&[1]);
    assert_eq!(table.on_success(CRASHING, START), SuspectChange::None);
    assert_eq!(table.state_of(CRASHING), None);
}

#[test]
fn blocked_request_does_not_expire_while_it_is_repeated() {
    let mut table = table_after_crashes(&[1, 2, 3]);
    let late = START.plus(SUSPECT_TTL_MS - 1);
    table.on_refused(CRASHING, late);
    table.on_tick(late.plus(SUSPECT_TTL_MS - 1));
    assert!(table.is_blocked(CRASHING));
    table.on_tick(late.plus(SUSPECT_TTL_MS));
    assert!(!table.is_blocked(CRASHING) && !table.has_announced());
}

#[test]
fn unannounced_suspects_never_evict_announced_ones() {
    let mut table = table_after_crashes(&[1, 2, 3]);
    for request in 1..=2 * MAX_SUSPECTS as u64 {
        table.on_crash(RequestFingerprint(request << 16), 1, START.plus(request));
    }
    assert!(table.is_blocked(CRASHING));
    assert_eq!(table.records(START).len(), 1);
}

/// The first probe clears a request that was blocked because a hall was lost while processing it. A
/// request that does crash servers reaches fewer and fewer of them.
#[test]
fn blocked_request_is_probed_at_growing_intervals() {
    let mut table = table_after_crashes(&[1, 2, 3]);
    let first = START.plus(FIRST_PROBE_DELAY_MS);
    assert_eq!(table.take_probe(CRASHING, first.before(1)), None);
    let record = table.take_probe(CRASHING, first).expect("a probe is due");
    assert_eq!(record.probes, 1);
    assert!(
        table.is_blocked(CRASHING),
        "it stays blocked during the probe"
    );
    let mut other = table_after_crashes(&[1, 2, 3]);
    other.on_record(&record, first);
    assert_eq!(other.digest(), table.digest());
    let second = first.plus(FIRST_PROBE_DELAY_MS * PROBE_BACKOFF_FACTOR);
    for host in [&mut table, &mut other] {
        assert_eq!(host.take_probe(CRASHING, second.before(1)), None);
        assert!(host.take_probe(CRASHING, second).is_some());
    }
    assert_eq!(table.take_probe(OTHER, second), None, "it is not a suspect");
}

/// An ordinary look-up that was in flight when two other requests crashed servers was blocked with
/// them and refused 13,267 times.
#[test]
fn bystander_is_probed_early() {
    let mut table = table_after_crashes(&[1, 2, 3]);
    for server in [2, 3, 4] {
        table.on_crash(OTHER, server, START);
    }
    assert!(table.is_blocked(OTHER));
    assert_eq!(
        table.take_probe(OTHER, START.plus(EARLY_PROBE_DELAY_MS - 1)),
        None
    );
    let soon = START.plus(EARLY_PROBE_DELAY_MS + EARLY_PROBE_SPREAD_MS);
    assert!(table.take_probe(OTHER, soon).is_some());
    table.on_success(OTHER, soon);
    assert!(!table.is_blocked(OTHER));
    // The other request no longer shares a crashed server with a blocked one.
    assert_eq!(table.take_probe(CRASHING, soon.plus(1)), None);
}

#[test]
fn crashing_request_gets_at_most_three_probes_per_hour_with_a_bystander() {
    let mut table = table_after_crashes(&[1, 2, 3]);
    for server in [1, 2, 3] {
        table.on_crash(OTHER, server, START);
    }
    let seconds = (0..3_600).map(|second| START.plus(second * 1_000));
    let probes = seconds.filter(|now| table.take_probe(CRASHING, *now).is_some());
    assert_eq!(probes.count(), 3);
}

/// A host that resumes after a suspension must not spread expired records to the others.
#[test]
fn expired_record_is_not_merged() {
    let record = SuspectRecord {
        fingerprint: CRASHING,
        crashed_servers: vec![1, 2, 3],
        cleared: false,
        probes: 0,
        age_s: (SUSPECT_TTL_MS / 1_000) as u32,
    };
    let mut table = QuarantineTable::default();
    assert!(!table.on_record(&record, Moment(SUSPECT_TTL_MS * 2)));
    assert!(!table.has_announced());
}

/// Records of crashes or successes of a few requests and servers.
fn some_records() -> impl Strategy<Value = Vec<SuspectRecord>> {
    let record = (
        0_u64..4,
        prop::collection::btree_set(0_u64..6, 2..4),
        prop::bool::weighted(0.1),
    );
    let record = record.prop_map(|(request, crashed_servers, cleared)| SuspectRecord {
        fingerprint: RequestFingerprint(request),
        crashed_servers: if cleared {
            Vec::new()
        } else {
            crashed_servers.into_iter().collect()
        },
        cleared,
        probes: 0,
        age_s: 0,
    });
    prop::collection::vec(record, 0..12)
}

proptest! {
    #![proptest_config(seeded::config())]

    /// Records reach hosts in any order, more than once or through other hosts.
    #[test]
    fn hosts_with_the_same_records_agree(
        records in some_records(),
        mixed in some_records().prop_shuffle(),
        shuffled in Just(()).prop_perturb(|(), mut random| random.random::<u64>()),
    ) {
        let mut first = QuarantineTable::default();
        let mut second = QuarantineTable::default();
        let mut all = records.clone();
        all.extend(mixed.clone());
        for record in &all {
            first.on_record(record, START);
        }
        let count = all.len().max(1);
        all.rotate_left(shuffled as usize % count);
        all.reverse();
        for record in all.iter().chain(&records) {
            second.on_record(record, START);
        }
        prop_assert_eq!(first.digest(), second.digest());
        for request in 0..4 {
            let request = RequestFingerprint(request);
            prop_assert_eq!(first.state_of(request), second.state_of(request));
        }
    }

    /// A host detects by the digest that it is missing records, fetches the other's, and then
    /// agrees.
    #[test]
    fn hosts_agree_after_fetching_missing_records(
        left in some_records(),
        right in some_records(),
    ) {
        let mut hosts = [QuarantineTable::default(), QuarantineTable::default()];
        for (host, records) in hosts.iter_mut().zip([&left, &right]) {
            for record in records {
                host.on_record(record, START);
            }
        }
        // Two heartbeats in each direction: the host with fewer records fetches first.
        for _ in 0..2 {
            for (requester, other) in [(0, 1), (1, 0)] {
                if hosts[requester].digest().may_miss(&hosts[other].digest()) {
                    for record in hosts[other].records(START) {
                        hosts[requester].on_record(&record, START);
                    }
                }
            }
        }
        prop_assert_eq!(hosts[0].digest(), hosts[1].digest());
    }
}

/// Sixty hosts in three regions, each with its own port.
fn many_hosts() -> Vec<HostRecord> {
    let hosts = (0..60_u16).map(|number| {
        let region = ["one", "two", "three"][usize::from(number) % 3];
        let name = format!("entry-{number}");
        HostRecord {
            heartbeat_address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
            ..peer_records::record(&name, "east", region, 200)
        }
    });
    hosts.collect()
}

fn table_without(own: &HostRecord, all: &[HostRecord], now: Moment) -> PeerTable {
    let mut peers = PeerTable::default();
    for record in all.iter().filter(|record| *record != own) {
        peers.on_heartbeat(&peer_records::heartbeat(record, WatchState::Idle), now);
    }
    peers
}

/// Crashes that different hosts observe are counted by the same few hosts, wherever the request
/// arrives.
#[test]
fn all_hosts_choose_the_same_trackers_of_a_request() {
    let all = many_hosts();
    for request in 0..20 {
        let request = RequestFingerprint(request);
        let mut listed = BTreeSet::new();
        let mut first = Vec::new();
        for own in &all {
            let peers = table_without(own, &all, START);
            let trackers = peers.suspect_trackers(request, TRACKERS_PER_SUSPECT, START);
            assert_eq!(trackers.len(), TRACKERS_PER_SUSPECT);
            // A tracker does not list itself, but the next host instead.
            listed.extend(trackers);
            first.extend(peers.is_first_tracker(own, request, START).then_some(own));
        }
        assert!(listed.len() <= TRACKERS_PER_SUSPECT + 1, "{listed:?}");
        assert_eq!(first.len(), 1, "exactly one host sends the probes");
        assert!(listed.contains(&first[0].heartbeat_address));
    }
}

#[test]
fn silent_host_is_no_tracker() {
    let all = many_hosts();
    let peers = table_without(&all[0], &all, START);
    let long_after = START.plus(60_000);
    assert!(
        peers
            .suspect_trackers(CRASHING, TRACKERS_PER_SUSPECT, long_after)
            .is_empty()
    );
    assert!(peers.is_first_tracker(&all[0], CRASHING, long_after));
}

/// A whole hall may crash at once. A datagram larger than a frame is fragmented, and losing any
/// fragment loses all of it.
#[test]
fn largest_datagrams_fit_into_a_frame() {
    const FRAME_BYTES: usize = 1_400;
    let record = SuspectRecord {
        fingerprint: RequestFingerprint(u64::MAX),
        crashed_servers: vec![u64::MAX; 3],
        cleared: false,
        probes: u32::MAX,
        age_s: u32::MAX,
    };
    let crash = ServerCrash {
        server: u64::MAX,
        requests: vec![RequestFingerprint(u64::MAX); MAX_REQUESTS_PER_DATAGRAM],
    };
    let messages = [
        QuarantineMessage::Records(vec![record; MAX_RECORDS_PER_DATAGRAM]),
        QuarantineMessage::Crashed(crash),
    ];
    for message in messages {
        let written = peer_message::to_bytes(&PeerMessage::Quarantine(message));
        let written = written.expect("plain data");
        assert!(written.len() <= FRAME_BYTES, "{} bytes", written.len());
    }
}
