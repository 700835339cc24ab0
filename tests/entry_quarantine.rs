//! Which requests are kept from servers because servers ended under them.

#[path = "common/peer_records.rs"]
mod peer_records;
#[path = "common/seeded.rs"]
mod seeded;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ledgespool::entry::fingerprint::RequestFingerprint;
use ledgespool::entry::peer_message::{self, PeerMessage, WatchState};
use ledgespool::entry::peers::{HostRecord, PeerTable};
use ledgespool::entry::quarantine::message::{QuarantineMessage, ServerEnd, SuspectRecord};
use ledgespool::entry::quarantine::table::{QuarantineTable, SuspectChange, SuspectState};
use ledgespool::entry::quarantine::{
    CLEARED_LIFE_MS, FIRST_TRIAL_MS, KEEPERS, MAX_SUSPECTS, RECORDS_PER_DATAGRAM,
    REQUESTS_PER_DATAGRAM, SUSPECT_LIFE_MS, SWIFT_SPREAD_MS, SWIFT_TRIAL_MS, TRIAL_FACTOR,
};
use ledgespool::timer::Moment;
use proptest::prelude::*;

const DEADLY: RequestFingerprint = RequestFingerprint(0xdead);
const OTHER: RequestFingerprint = RequestFingerprint(0xbeef);
const START: Moment = Moment(1_000_000);

fn after_ends(servers: &[u64]) -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for server in servers {
        table.on_ended(DEADLY, *server, START);
    }
    table
}

#[test]
fn the_third_server_bars_a_request_and_no_other() {
    let mut table = after_ends(&[1]);
    assert_eq!(table.state_of(DEADLY), Some(SuspectState::Counted));
    assert!(!table.has_told() && table.records(START).is_empty());
    let told = table.on_ended(DEADLY, 2, START);
    assert!(matches!(told, SuspectChange::Tell(record) if record.ended == [1, 2]));
    assert_eq!(table.state_of(DEADLY), Some(SuspectState::Known));
    // Word of the same end by another host.
    assert_eq!(table.on_ended(DEADLY, 2, START), SuspectChange::None);
    assert!(!table.is_barred(DEADLY));
    table.on_ended(DEADLY, 3, START);
    assert!(table.is_barred(DEADLY) && !table.is_barred(OTHER));
    assert_eq!(table.on_ended(DEADLY, 4, START), SuspectChange::None);
}

/// A request that was beside the one that ended the servers must not stay barred.
#[test]
fn a_success_clears_a_request_and_late_word_of_ends_before_it_changes_nothing() {
    let mut table = after_ends(&[1, 2, 3]);
    let change = table.on_success(DEADLY, START);
    assert!(matches!(change, SuspectChange::Tell(record) if record.cleared));
    table.on_ended(DEADLY, 4, START);
    assert!(!table.is_barred(DEADLY));
    let now = START.plus(CLEARED_LIFE_MS);
    table.on_tick(now);
    assert_eq!(table.state_of(DEADLY), None, "what comes now is new");
    for server in 5..8 {
        table.on_ended(DEADLY, server, now);
    }
    assert!(table.is_barred(DEADLY));
}

#[test]
fn a_success_clears_what_only_this_host_counts_without_a_word() {
    let mut table = after_ends(&[1]);
    assert_eq!(table.on_success(DEADLY, START), SuspectChange::None);
    assert_eq!(table.state_of(DEADLY), None);
}

#[test]
fn a_barred_request_is_remembered_for_as_long_as_it_comes() {
    let mut table = after_ends(&[1, 2, 3]);
    let late = START.plus(SUSPECT_LIFE_MS - 1);
    table.on_refused(DEADLY, late);
    table.on_tick(late.plus(SUSPECT_LIFE_MS - 1));
    assert!(table.is_barred(DEADLY));
    table.on_tick(late.plus(SUSPECT_LIFE_MS));
    assert!(!table.is_barred(DEADLY) && !table.has_told());
}

#[test]
fn suspects_of_one_host_never_crowd_out_those_that_all_know() {
    let mut table = after_ends(&[1, 2, 3]);
    for request in 1..=2 * MAX_SUSPECTS as u64 {
        table.on_ended(RequestFingerprint(request << 16), 1, START.plus(request));
    }
    assert!(table.is_barred(DEADLY));
    assert_eq!(table.records(START).len(), 1);
}

/// One that was barred when a hall was lost under it is cleared by its first trial; one that ends servers reaches
/// ever fewer.
#[test]
fn a_barred_request_is_tried_on_one_server_and_then_ever_more_seldom() {
    let mut table = after_ends(&[1, 2, 3]);
    let first = START.plus(FIRST_TRIAL_MS);
    assert_eq!(table.try_barred(DEADLY, first.before(1)), None);
    let trial = table.try_barred(DEADLY, first).expect("a trial is due");
    assert_eq!(trial.trials, 1);
    assert!(table.is_barred(DEADLY), "others are kept back meanwhile");
    let mut other = after_ends(&[1, 2, 3]);
    other.on_told(&trial, first);
    assert_eq!(other.digest(), table.digest());
    let second = first.plus(FIRST_TRIAL_MS * TRIAL_FACTOR);
    for host in [&mut table, &mut other] {
        assert_eq!(host.try_barred(DEADLY, second.before(1)), None);
        assert!(host.try_barred(DEADLY, second).is_some());
    }
    assert_eq!(table.try_barred(OTHER, second), None, "it is no suspect");
}

/// A host that wakes with what it knew before must not bring it to life again among the others.
/// Seen as 13,267 refusals of an ordinary look-up that was at hand when servers ended under two others.
#[test]
fn a_request_that_stood_beside_one_that_ends_servers_is_tried_soon() {
    let mut table = after_ends(&[1, 2, 3]);
    for server in [2, 3, 4] {
        table.on_ended(OTHER, server, START);
    }
    assert!(table.is_barred(OTHER));
    assert_eq!(
        table.try_barred(OTHER, START.plus(SWIFT_TRIAL_MS - 1)),
        None
    );
    let soon = START.plus(SWIFT_TRIAL_MS + SWIFT_SPREAD_MS);
    assert!(table.try_barred(OTHER, soon).is_some());
    table.on_success(OTHER, soon);
    assert!(!table.is_barred(OTHER));
    // The other one stands alone now.
    assert_eq!(table.try_barred(DEADLY, soon.plus(1)), None);
}

#[test]
fn a_request_that_ends_servers_is_tried_no_more_than_three_times_in_an_hour_whatever_stands_beside_it()
 {
    let mut table = after_ends(&[1, 2, 3]);
    for server in [1, 2, 3] {
        table.on_ended(OTHER, server, START);
    }
    let seconds = (0..3_600).map(|second| START.plus(second * 1_000));
    let trials = seconds.filter(|now| table.try_barred(DEADLY, *now).is_some());
    assert_eq!(trials.count(), 3);
}

#[test]
fn a_record_that_is_old_is_not_taken_over() {
    let record = SuspectRecord {
        fingerprint: DEADLY,
        ended: vec![1, 2, 3],
        cleared: false,
        trials: 0,
        age_s: (SUSPECT_LIFE_MS / 1_000) as u32,
    };
    let mut table = QuarantineTable::default();
    assert!(!table.on_told(&record, Moment(SUSPECT_LIFE_MS * 2)));
    assert!(!table.has_told());
}

/// What may be told of a request: by ends of some of few servers, or by a success.
fn some_records() -> impl Strategy<Value = Vec<SuspectRecord>> {
    let record = (
        0_u64..4,
        prop::collection::btree_set(0_u64..6, 2..4),
        prop::bool::weighted(0.1),
    );
    let record = record.prop_map(|(request, ended, cleared)| SuspectRecord {
        fingerprint: RequestFingerprint(request),
        ended: if cleared {
            Vec::new()
        } else {
            ended.into_iter().collect()
        },
        cleared,
        trials: 0,
        age_s: 0,
    });
    prop::collection::vec(record, 0..12)
}

proptest! {
    #![proptest_config(seeded::config())]

    /// Word reaches hosts in any order, twice or through others.
    #[test]
    fn hosts_that_were_told_the_same_agree(
        records in some_records(),
        mixed in some_records().prop_shuffle(),
        shuffled in Just(()).prop_perturb(|(), mut random| random.random::<u64>()),
    ) {
        let mut first = QuarantineTable::default();
        let mut second = QuarantineTable::default();
        let mut all = records.clone();
        all.extend(mixed.clone());
        for record in &all {
            first.on_told(record, START);
        }
        let count = all.len().max(1);
        all.rotate_left(shuffled as usize % count);
        all.reverse();
        for record in all.iter().chain(&records) {
            second.on_told(record, START);
        }
        prop_assert_eq!(first.digest(), second.digest());
        for request in 0..4 {
            let request = RequestFingerprint(request);
            prop_assert_eq!(first.state_of(request), second.state_of(request));
        }
    }

    /// A host that lacks something sees it by the digest, takes the other's records over, and then agrees.
    #[test]
    fn two_hosts_agree_after_those_that_may_lack_something_have_asked(
        left in some_records(),
        right in some_records(),
    ) {
        let mut hosts = [QuarantineTable::default(), QuarantineTable::default()];
        for (host, records) in hosts.iter_mut().zip([&left, &right]) {
            for record in records {
                host.on_told(record, START);
            }
        }
        // Two heartbeats each way: who knows less asks first.
        for _ in 0..2 {
            for (asker, other) in [(0, 1), (1, 0)] {
                if hosts[asker].digest().may_lack(&hosts[other].digest()) {
                    for record in hosts[other].records(START) {
                        hosts[asker].on_told(&record, START);
                    }
                }
            }
        }
        prop_assert_eq!(hosts[0].digest(), hosts[1].digest());
    }
}

/// Sixty hosts in three regions, each on a port of its own.
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

/// Ends that different hosts see come together at the same few, wherever the request arrives.
#[test]
fn all_hosts_name_the_same_keepers_of_a_request() {
    let all = many_hosts();
    for request in 0..20 {
        let request = RequestFingerprint(request);
        let mut named = BTreeSet::new();
        let mut first = Vec::new();
        for own in &all {
            let peers = table_without(own, &all, START);
            let keepers = peers.suspect_trackers(request, KEEPERS, START);
            assert_eq!(keepers.len(), KEEPERS);
            // A keeper counts itself and names the next one in its place.
            named.extend(keepers);
            first.extend(peers.is_first_tracker(own, request, START).then_some(own));
        }
        assert!(named.len() <= KEEPERS + 1, "{named:?}");
        assert_eq!(first.len(), 1, "one host takes the trials");
        assert!(named.contains(&first[0].heartbeat_address));
    }
}

#[test]
fn a_host_that_is_silent_counts_no_ends() {
    let all = many_hosts();
    let peers = table_without(&all[0], &all, START);
    let long_after = START.plus(60_000);
    assert!(
        peers
            .suspect_trackers(DEADLY, KEEPERS, long_after)
            .is_empty()
    );
    assert!(peers.is_first_tracker(&all[0], DEADLY, long_after));
}

/// A whole hall may end at once; a datagram that does not fit into a frame is lost more often, and a larger one whole.
#[test]
fn the_largest_datagrams_fit_into_a_frame() {
    const FRAME_BYTES: usize = 1_400;
    let record = SuspectRecord {
        fingerprint: RequestFingerprint(u64::MAX),
        ended: vec![u64::MAX; 3],
        cleared: false,
        trials: u32::MAX,
        age_s: u32::MAX,
    };
    let end = ServerEnd {
        server: u64::MAX,
        requests: vec![RequestFingerprint(u64::MAX); REQUESTS_PER_DATAGRAM],
    };
    let messages = [
        QuarantineMessage::Records(vec![record; RECORDS_PER_DATAGRAM]),
        QuarantineMessage::Ended(end),
    ];
    for message in messages {
        let written = peer_message::to_bytes(&PeerMessage::Quarantine(message));
        let written = written.expect("plain data");
        assert!(written.len() <= FRAME_BYTES, "{} bytes", written.len());
    }
}
