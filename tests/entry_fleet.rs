//! Tests of what an entry host knows of servers, for any order of updates.

use ledgespool::entry::budget::{ColdShare, RetryShare, RetryWindow};
use ledgespool::entry::expiry_retention::{
    EXPIRY_GRACE_MS, MissingSource, ReportedRetentions, ReturnObservation,
};
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::{ChangeSpan, FleetChange};
use ledgespool::entry::peer_message::GoneServer;
use ledgespool::entry::server::{ServerLoad, ServerRecord, ServerState};
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
use ledgespool::entry::update_fragment;
use ledgespool::load_exchange::estimate::ServerReport;
use ledgespool::rollout::spec::VersionTag;
use ledgespool::timer::Moment;
use proptest::prelude::*;

fn halls() -> HallMap {
    let halls = [("east", "one"), ("far", "two")];
    halls
        .map(|(hall, region)| (hall.to_owned(), region.to_owned()))
        .into_iter()
        .collect()
}

fn record(id: &str, state: ServerState, cold_ms: u64) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        born: None,
        service: "desk".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        hall: "east".to_owned(),
        version: VersionTag::of_name("v1"),
        slots: 4,
        state,
        cold_ms,
        sequence: None,
    }
}

fn object(id: &str, revision: u64) -> StoredObject {
    StoredObject {
        name: id.to_owned(),
        revision,
        content: ObjectContent::Server(record(id, ServerState::Ready, 0)),
    }
}

fn change(object: StoredObject, deleted: bool) -> ObjectChange {
    ObjectChange { object, deleted }
}

fn span(until: u64) -> ChangeSpan {
    ChangeSpan {
        until,
        contiguous: true,
    }
}

fn gone(id: &str, hold_ms: u64) -> GoneServer {
    GoneServer {
        id: id.to_owned(),
        hold_ms,
        last_statement: None,
    }
}

/// Applies a complete list from the store at `at` milliseconds.
fn apply_list(
    fleet: &mut Fleet,
    objects: &[StoredObject],
    revision: u64,
    at: u64,
) -> Vec<FleetChange> {
    fleet.on_list(
        objects,
        revision,
        MissingSource::Store,
        &halls(),
        Moment(at),
    )
}

/// Applies changes from the store at `at` milliseconds.
fn apply_changes(
    fleet: &mut Fleet,
    changes: &[ObjectChange],
    span: ChangeSpan,
    at: u64,
) -> Vec<FleetChange> {
    fleet.on_changes(changes, span, MissingSource::Store, &halls(), Moment(at))
}

fn ids(fleet: &Fleet) -> Vec<String> {
    fleet
        .of_service("desk")
        .iter()
        .map(|server| server.id.to_string())
        .collect()
}

#[test]
fn applies_a_list_and_changes() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    assert_eq!(ids(&fleet), ["a", "b"]);
    let mut draining = object("a", 6);
    draining.content = ObjectContent::Server(record("a", ServerState::Draining, 0));
    let changes = [
        change(draining, false),
        change(object("b", 4), true),
        change(object("c", 8), false),
    ];
    let applied = apply_changes(&mut fleet, &changes, span(8), 1);
    assert_eq!(
        applied,
        [
            FleetChange::Draining("a".to_owned()),
            FleetChange::Removed("b".to_owned()),
            FleetChange::Joined("c".to_owned()),
        ]
    );
    assert_eq!(ids(&fleet), ["a", "c"]);
    assert!(!fleet.of_service("desk")[0].takes_work());
    assert_eq!((fleet.revision(), fleet.changed()), (8, 8));
}

#[test]
fn a_deletion_with_an_old_revision_applies_after_a_snapshot() {
    let mut fleet = Fleet::default();
    // A snapshot at 20 has a record that last changed at 3; the store reports its deletion with 3
    // too.
    apply_list(&mut fleet, &[object("a", 3)], 20, 0);
    apply_changes(&mut fleet, &[change(object("a", 3), true)], span(25), 1);
    assert!(ids(&fleet).is_empty());
}

#[test]
fn a_change_older_than_the_list_restores_nothing() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[], 20, 0);
    apply_changes(&mut fleet, &[change(object("a", 7), false)], span(20), 1);
    assert!(ids(&fleet).is_empty());
}

#[test]
fn an_older_list_changes_nothing() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3)], 20, 0);
    apply_list(&mut fleet, &[], 10, 1);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn missing_entries_are_retained_after_a_store_outage() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    fleet.on_store_return(ReturnObservation::InTime, 9, Moment(1_000));
    let applied = apply_list(&mut fleet, &[], 9, 1_000);
    assert_eq!(applied.len(), 2);
    assert_eq!(ids(&fleet), ["a", "b"]);
    // One entry is restored in time, the other server is removed.
    apply_changes(
        &mut fleet,
        &[change(object("a", 11), false)],
        span(11),
        2_000,
    );
    assert!(
        fleet
            .on_tick(Moment(1_000 + EXPIRY_GRACE_MS - 1))
            .is_empty()
    );
    let applied = fleet.on_tick(Moment(1_000 + EXPIRY_GRACE_MS));
    assert_eq!(applied, [FleetChange::Removed("b".to_owned())]);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn changes_include_removed_servers() {
    let mut fleet = Fleet::default();
    assert!(
        fleet.changes_since(0, Moment(10_000)).is_none(),
        "no list was read yet"
    );
    apply_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    let changes = [change(object("b", 4), true), change(object("c", 8), false)];
    apply_changes(&mut fleet, &changes, span(8), 1);
    assert!(
        fleet.changes_since(4, Moment(10_000)).is_none(),
        "removals before the first list are unknown"
    );
    let reported = fleet.changes_since(5, Moment(10_000)).expect("it is known");
    let ids: Vec<_> = reported
        .changed
        .iter()
        .map(|object| object.record.id.as_str())
        .collect();
    assert_eq!((ids, reported.gone), (vec!["c"], vec![gone("b", 0)]));
    let nothing = fleet.changes_since(8, Moment(10_000)).expect("it is known");
    assert!(nothing.changed.is_empty() && nothing.gone.is_empty());
}

#[test]
fn an_expired_and_restored_server_is_not_reported_as_removed() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    let changes = [change(object("a", 3), true), change(object("a", 9), false)];
    apply_changes(&mut fleet, &changes, span(9), 1);
    assert_eq!(ids(&fleet), ["a", "b"]);
    let reported = fleet.changes_since(5, Moment(10_000)).expect("it is known");
    assert!(reported.gone.is_empty(), "{reported:?}");
    assert_eq!(reported.changed.len(), 1);
    let parts = update_fragment::split_changes(&changes);
    assert_eq!((parts.len(), parts[0].changed.len()), (1, 1));
    assert!(parts[0].gone.is_empty(), "its last change counts");
}

#[test]
fn a_late_removal_does_not_undo_a_restored_entry() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3)], 5, 0);
    // The restored entry at 9 arrived from another source before the removal, which happened
    // somewhere up to 8.
    apply_changes(&mut fleet, &[change(object("a", 9), false)], span(9), 1);
    apply_changes(&mut fleet, &[change(object("a", 8), true)], span(8), 2);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn an_older_list_does_not_undo_newer_changes() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3)], 5, 0);
    let later_change = ChangeSpan {
        until: 12,
        contiguous: false,
    };
    let changes = [
        change(object("b", 12), false),
        change(
            StoredObject {
                content: ObjectContent::Server(record("a", ServerState::Draining, 0)),
                ..object("a", 11)
            },
            false,
        ),
    ];
    apply_changes(&mut fleet, &changes, later_change, 1);
    apply_list(&mut fleet, &[object("a", 3)], 10, 2);
    assert_eq!(ids(&fleet), ["a", "b"]);
    assert!(
        !fleet.of_service("desk")[0].takes_work(),
        "it has been draining since 11"
    );
}

#[test]
fn forgotten_removals_require_the_complete_list() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[], 1, 0);
    for revision in 2..2_000 {
        let id = format!("s-{revision}");
        let changes = [change(object(&id, revision), false)];
        apply_changes(&mut fleet, &changes, span(revision), 1);
        let changes = [change(object(&id, revision), true)];
        apply_changes(&mut fleet, &changes, span(revision), 1);
    }
    assert!(fleet.changes_since(1, Moment(10_000)).is_none());
    assert!(fleet.changes_since(1_990, Moment(10_000)).is_some());
}

#[test]
fn a_retained_server_is_not_reported_as_present() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    fleet.on_store_return(ReturnObservation::InTime, 9, Moment(1_000));
    apply_changes(&mut fleet, &[change(object("a", 3), true)], span(9), 1_000);
    assert_eq!(ids(&fleet), ["a", "b"], "it is retained here");
    let reported: Vec<_> = fleet.objects().map(|object| object.record.id).collect();
    assert_eq!(
        reported,
        ["b"],
        "other hosts could not detect the end of its retention"
    );
    let reported = fleet.changes_since(8, Moment(1_300)).expect("it is known");
    assert_eq!(reported.gone, [gone("a", EXPIRY_GRACE_MS - 300)]);
}

#[test]
fn many_servers_that_vanish_at_once_are_retained_and_few_are_not() {
    let servers: Vec<StoredObject> = (0..12).map(|n| object(&format!("s-{n:02}"), 3)).collect();
    let gone = |numbers: std::ops::Range<usize>| -> Vec<ObjectChange> {
        let gone = servers[numbers].iter().cloned();
        gone.map(|server| change(server, true)).collect()
    };
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &servers, 5, 0);
    apply_changes(&mut fleet, &gone(0..2), span(7), 1);
    assert_eq!(ids(&fleet).len(), 10, "two may leave at the same time");
    apply_changes(&mut fleet, &gone(2..5), span(10), 2);
    assert_eq!(ids(&fleet).len(), 10, "three of ten may have expired");
    fleet.on_tick(Moment(2 + EXPIRY_GRACE_MS));
    assert_eq!(
        ids(&fleet).len(),
        7,
        "they are removed if they stay missing"
    );
}

/// How long a leaving server continues to serve in the tests below, in milliseconds.
const LEAVE_MS: u64 = 2_000;

/// A fleet of twelve servers, and their entries.
fn twelve_servers() -> (Fleet, Vec<StoredObject>) {
    let servers: Vec<StoredObject> = (0..12).map(|n| object(&format!("s-{n:02}"), 3)).collect();
    let mut fleet = Fleet::default();
    fleet.set_leave_ms(LEAVE_MS);
    apply_list(&mut fleet, &servers, 5, 0);
    (fleet, servers)
}

fn removals(servers: &[StoredObject]) -> Vec<ObjectChange> {
    let removals = servers.iter().cloned();
    removals.map(|server| change(server, true)).collect()
}

/// No outage of the store was detected, so the servers may also be leaving.
#[test]
fn a_vanished_group_is_retained_for_less_than_the_leave_time() {
    let (mut fleet, servers) = twelve_servers();
    let changes = removals(&servers[..6]);
    apply_changes(&mut fleet, &changes, span(11), 100);
    assert_eq!(ids(&fleet).len(), 12, "six may have expired");
    fleet.on_tick(Moment(100 + LEAVE_MS - 300));
    assert_eq!(ids(&fleet).len(), 6, "they may have left");
}

#[test]
fn entries_missing_after_a_store_outage_are_retained_for_less_than_the_leave_time() {
    let (mut fleet, servers) = twelve_servers();
    fleet.on_store_return(ReturnObservation::InTime, 9, Moment(1_000));
    // This one went missing during the outage of the store.
    apply_changes(&mut fleet, &removals(&servers[..1]), span(9), 1_000);
    apply_changes(&mut fleet, &removals(&servers[1..2]), span(10), 1_100);
    let gone = |now| {
        let applied = fleet.on_tick(Moment(now));
        applied.len()
    };
    let moments = [1_100, 1_100 + LEAVE_MS - 300, 1_000 + EXPIRY_GRACE_MS];
    assert_eq!(moments.map(gone), [0, 1, 1]);
}

/// The end of the outage was detected late, so servers missing from the first answer may have left
/// since.
#[test]
fn after_a_late_detected_outage_only_later_missing_entries_are_retained() {
    let (mut fleet, servers) = twelve_servers();
    fleet.on_store_return(ReturnObservation::Late, 9, Moment(1_000));
    let at_first = removals(&servers[..1]);
    apply_changes(&mut fleet, &at_first, span(9), 1_000);
    assert_eq!(ids(&fleet).len(), 11, "it may have left long ago");
    let later = removals(&servers[1..2]);
    apply_changes(&mut fleet, &later, span(10), 1_100);
    assert_eq!(ids(&fleet).len(), 11, "it may have expired");
    fleet.on_tick(Moment(1_100 + LEAVE_MS - 300));
    assert_eq!(ids(&fleet).len(), 10);
}

/// So many servers do not leave at the same time: their entries have expired, although the end of
/// the outage was detected late.
#[test]
fn a_group_missing_after_a_late_detected_outage_is_retained() {
    let (mut fleet, servers) = twelve_servers();
    fleet.on_store_return(ReturnObservation::Late, 9, Moment(1_000));
    let at_first = removals(&servers[..6]);
    apply_changes(&mut fleet, &at_first, span(9), 1_000);
    assert_eq!(ids(&fleet).len(), 12);
    fleet.on_tick(Moment(1_000 + LEAVE_MS - 300));
    assert_eq!(ids(&fleet).len(), 6);
}

#[test]
fn servers_are_retained_as_long_as_the_peer_reports() {
    let (mut fleet, servers) = twelve_servers();
    let reported = ReportedRetentions::from_gone(&[gone("s-00", 0), gone("s-01", 400)], Moment(50));
    fleet.on_changes(
        &removals(&servers[..6]),
        span(11),
        MissingSource::Peer(&reported),
        &halls(),
        Moment(50),
    );
    assert_eq!(ids(&fleet).len(), 7, "one of the six is retained");
    assert_eq!(
        fleet.retention_ms("s-01", Moment(150)),
        300,
        "the time that is forwarded"
    );
    fleet.on_tick(Moment(450));
    assert_eq!(ids(&fleet).len(), 6);
}

#[test]
fn failures_eject_a_server_and_one_success_restores_it() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3)], 5, 0);
    let server = &fleet.of_service("desk")[0];
    for _ in 0..5 {
        assert!(
            !server.on_failure(Moment(0)),
            "a server that loses some answers is not ejected"
        );
    }
    assert!(server.on_failure(Moment(0)));
    assert!(server.is_ejected(Moment(999)));
    assert!(!server.is_ejected(Moment(1_000)));
    server.begin_request();
    assert!(
        server.is_ejected(Moment(1_000)),
        "one request at a time until one succeeds"
    );
    server.end_request();
    assert!(
        server.on_failure(Moment(1_000)),
        "one failure of a probe is enough"
    );
    assert!(
        server.is_ejected(Moment(2_999)),
        "the ejection time doubles"
    );
    server.on_success(Moment(0));
    assert!(!server.is_ejected(Moment(1_001)));
    assert!(
        server.on_unreachable(Moment(5_000)),
        "one failed connection is enough"
    );
    for _ in 0..5 {
        assert!(
            !server.on_failure(Moment(5_100)),
            "requests in flight at the ejection do not count"
        );
    }
    assert!(!server.is_ejected(Moment(6_000)));
    server.on_address_reused();
    assert!(!server.takes_work());
}

#[test]
fn the_load_of_other_hosts_decays_and_the_own_load_does_not() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3)], 5, 0);
    let server = &fleet.of_service("desk")[0];
    server.begin_request();
    let load = ServerLoad {
        running: 3,
        waiting: 2,
        slots: 4,
        pace: None,
    };
    server.on_load_report(load, Moment(0));
    assert!((server.expected_load(Moment(0)) - 5.0).abs() < 0.01);
    let later = server.expected_load(Moment(10_000));
    assert!((later - 1.0).abs() < 0.01, "{later}");
}

/// Hosts that exchange loads: a report that another host told replaces older ones only, this host's
/// requests since then are added, and the load approaches the mean of the service.
#[test]
fn a_told_report_counts_with_the_own_requests_since_then() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3)], 5, 0);
    let server = &fleet.of_service("desk")[0];
    server.set_mean_load(Some(2.0));
    assert!(
        (server.expected_load(Moment(0)) - 2.0).abs() < 0.01,
        "the mean"
    );
    let begin = |at| {
        server.remember_in_flight(Moment(at));
        server.begin_request();
    };
    begin(100);
    begin(300);
    let report = |requests, at| ServerReport {
        requests,
        pace: Some(200),
        at: Moment(at),
    };
    server.on_told_report(report(6, 200));
    server.on_told_report(report(1, 150));
    assert_eq!(server.load_report_age_ms(Moment(300)), Some(100));
    assert!((server.expected_load(Moment(200)) - 7.0).abs() < 0.01);
    let later = server.expected_load(Moment(60_000));
    assert!((later - 2.0).abs() < 0.01, "{later}");
    assert!((server.slowdown(Moment(200)) - 2.0).abs() < 0.01);
    assert!((server.slowdown(Moment(60_000)) - 1.0).abs() < 0.01);
}

#[test]
fn a_servers_slowdown_decays_so_that_it_is_tried_again() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 1)], 1, 0);
    let server = &fleet.of_service("desk")[0];
    for _ in 0..5 {
        server.record_slowdown(20.0, Moment(0));
    }
    let slow = server.slowdown(Moment(0));
    assert!(slow > 8.0, "{slow}");
    assert!(
        server.slowdown(Moment(1_000)) > 4.0,
        "the slowdown does not decay at once"
    );
    let later = server.slowdown(Moment(20_000));
    assert!(
        later < 1.2,
        "it gets requests again without an answer: {later}"
    );
}

#[test]
fn a_reported_cold_time_starts_when_it_is_received() {
    let mut fleet = Fleet::default();
    let mut cold = object("a", 3);
    cold.content = ObjectContent::Server(record("a", ServerState::Ready, 2_000));
    apply_list(&mut fleet, &[cold], 5, 100);
    let server = &fleet.of_service("desk")[0];
    assert!(server.is_cold(Moment(2_099)));
    assert!(!server.is_cold(Moment(3_000)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// For any number of hosts, all of them together stay below a cold server's limit.
    #[test]
    fn hosts_respect_a_cold_servers_limit_without_coordination(
        hosts in 1_u32..300,
        limit in 4.0_f64..40.0,
        server in "[a-z0-9]{8}",
    ) {
        let mut total = 0;
        for number in 0..hosts {
            // Each host has a fleet of its own and sends as fast as it may.
            let mut fleet = Fleet::default();
            apply_list(&mut fleet, &[object(&server, 1)], 1, 0);
            let server = &fleet.of_service("desk")[0];
            let hash = |number: u32| {
                xxhash_rust::xxh3::xxh3_64(format!("host-{number}").as_bytes())
            };
            let others: Vec<u64> = (0..hosts).filter(|other| *other != number).map(hash).collect();
            let share = ColdShare {
                total_per_s: limit,
                hosts,
                own_hash: hash(number),
                other_hashes: Some(others.into()),
            };
            for _ in 0..100 {
                if share.allows(server, Moment(500)) {
                    server.on_cold_send(Moment(500));
                    total += 1;
                }
            }
        }
        prop_assert!(f64::from(total) <= limit, "{total} of {limit} with {hosts} hosts");
    }

    /// No window has more retries than the share allows.
    #[test]
    fn retries_stay_within_the_share(
        events in prop::collection::vec((0_u64..400, any::<bool>()), 1..400),
        hosts in 1_u32..20,
    ) {
        let share = RetryShare { ratio: 0.2, slack: 58.0, hosts };
        let mut window = RetryWindow::with_length(10_000);
        let mut now = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause, is_retry) in events {
            now += pause;
            if !is_retry {
                window.on_request(&share, Moment(now));
                requests.push(now);
            } else if window.try_retry(&share, Moment(now)) {
                retries.push(now);
            }
        }
        for end in &retries {
            let is_inside = |at: &&u64| **at <= *end && **at + 10_000 > *end;
            let is_recent = |at: &&u64| **at <= *end && **at + 20_000 > *end;
            let sent = retries.iter().filter(is_inside).count() as f64;
            let asked = requests.iter().filter(is_recent).count() as f64;
            prop_assert!(sent <= asked * 0.2 + 58.0 / f64::from(hosts));
        }
    }
}

/// The report of a removal may overtake that of the preceding change, while others in between are
/// missing.
#[test]
fn a_late_entry_does_not_restore_a_removed_server() {
    let mut fleet = Fleet::default();
    apply_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    let gap = |until| ChangeSpan {
        until,
        contiguous: false,
    };
    let end = change(object("a", 12), true);
    apply_changes(&mut fleet, &[end], gap(12), 1);
    assert_eq!(ids(&fleet), ["b"]);
    let late = change(object("a", 9), false);
    apply_changes(&mut fleet, &[late], gap(9), 2);
    assert_eq!(ids(&fleet), ["b"], "it was removed after that entry");
    let back = change(object("a", 14), false);
    apply_changes(&mut fleet, &[back], gap(14), 3);
    assert_eq!(ids(&fleet), ["a", "b"], "a later entry applies");
}

/// If more servers were removed before the first list than are remembered, hosts that request
/// earlier changes must read the complete list.
#[test]
fn the_first_list_keeps_the_record_of_forgotten_removals() {
    let mut fleet = Fleet::default();
    for number in 0..1_100_u64 {
        let id = format!("s-{number}");
        let born = change(object(&id, 2 * number + 10), false);
        let gone = change(object(&id, 2 * number + 11), true);
        let now = Moment(number);
        apply_changes(&mut fleet, &[born, gone], span(2 * number + 11), now.0);
    }
    // The first 76 removals are forgotten, the last of them at revision 161; the list is older.
    apply_list(&mut fleet, &[object("z", 5)], 100, 9_000);
    assert!(fleet.changes_since(120, Moment(10_000)).is_none());
    assert!(fleet.changes_since(2_300, Moment(10_000)).is_some());
}

/// A host that reads the store without interruption is told by one whose calls failed that a server
/// may have expired. Its own view of the removal must hold, also for the hosts that ask it.
#[test]
fn a_removal_that_a_host_reads_itself_ends_a_reported_retention() {
    let (mut fleet, servers) = twelve_servers();
    let changes = removals(&servers[..1]);
    let reported = [gone("s-00", EXPIRY_GRACE_MS)];
    let reported = ReportedRetentions::from_gone(&reported, Moment(100)).without_outage();
    let source = MissingSource::Peer(&reported);
    fleet.on_changes(&changes, span(11), source, &halls(), Moment(100));
    assert_eq!(ids(&fleet).len(), 12, "it is retained as reported");
    let applied = apply_changes(&mut fleet, &changes, span(11), 300);
    assert_eq!(applied, [FleetChange::Removed("s-00".to_owned())]);
    let second = removals(&servers[1..2]);
    let applied = apply_changes(&mut fleet, &second, span(12), 400);
    assert_eq!(applied, [FleetChange::Removed("s-01".to_owned())]);
}
