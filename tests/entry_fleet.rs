//! What an entry host believes of servers, under any order of news.

use ledgespool::entry::budget::{ColdShare, RetryShare, RetryWindow};
use ledgespool::entry::expiry_retention::{
    EXPIRY_GRACE_MS, MissingSource, ReportedRetentions, ReturnObservation,
};
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::{ChangeSpan, FleetChange};
use ledgespool::entry::news_part;
use ledgespool::entry::peer_message::GoneServer;
use ledgespool::entry::server::{ServerLoad, ServerRecord, ServerState};
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
use ledgespool::rollout::order::VersionTag;
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
    }
}

/// The store shows a whole list at `at` milliseconds.
fn show_list(
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

/// The store shows changes at `at` milliseconds.
fn show_changes(
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
fn a_list_and_changes_make_the_fleet() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    assert_eq!(ids(&fleet), ["a", "b"]);
    let mut draining = object("a", 6);
    draining.content = ObjectContent::Server(record("a", ServerState::Draining, 0));
    let changes = [
        change(draining, false),
        change(object("b", 4), true),
        change(object("c", 8), false),
    ];
    let noted = show_changes(&mut fleet, &changes, span(8), 1);
    assert_eq!(
        noted,
        [
            FleetChange::Draining("a".to_owned()),
            FleetChange::Gone("b".to_owned()),
            FleetChange::Joined("c".to_owned()),
        ]
    );
    assert_eq!(ids(&fleet), ["a", "c"]);
    assert!(!fleet.of_service("desk")[0].takes_work());
    assert_eq!((fleet.revision(), fleet.changed()), (8, 8));
}

#[test]
fn a_deletion_counts_after_a_snapshot_although_it_names_the_old_revision() {
    let mut fleet = Fleet::default();
    // A snapshot at 20 holds a record that last changed at 3; the store shows its end with 3 too.
    show_list(&mut fleet, &[object("a", 3)], 20, 0);
    show_changes(&mut fleet, &[change(object("a", 3), true)], span(25), 1);
    assert!(ids(&fleet).is_empty());
}

#[test]
fn a_change_from_before_the_list_brings_nothing_back() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[], 20, 0);
    show_changes(&mut fleet, &[change(object("a", 7), false)], span(20), 1);
    assert!(ids(&fleet).is_empty());
}

#[test]
fn an_older_list_changes_nothing() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3)], 20, 0);
    show_list(&mut fleet, &[], 10, 1);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn missing_entries_are_kept_for_a_moment_after_the_store_was_away() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    fleet.on_store_return(ReturnObservation::InTime, 9, Moment(1_000));
    let noted = show_list(&mut fleet, &[], 9, 1_000);
    assert_eq!(noted.len(), 2);
    assert_eq!(ids(&fleet), ["a", "b"]);
    // One is back in time, the other is gone.
    show_changes(
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
    let noted = fleet.on_tick(Moment(1_000 + EXPIRY_GRACE_MS));
    assert_eq!(noted, [FleetChange::Gone("b".to_owned())]);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn what_has_changed_is_told_with_the_servers_that_ended() {
    let mut fleet = Fleet::default();
    assert!(
        fleet.changes_since(0, Moment(10_000)).is_none(),
        "nothing is known yet"
    );
    show_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    let changes = [change(object("b", 4), true), change(object("c", 8), false)];
    show_changes(&mut fleet, &changes, span(8), 1);
    assert!(
        fleet.changes_since(4, Moment(10_000)).is_none(),
        "what ended before the first list is not known"
    );
    let told = fleet.changes_since(5, Moment(10_000)).expect("it is known");
    let ids: Vec<_> = told
        .changed
        .iter()
        .map(|object| object.record.id.as_str())
        .collect();
    assert_eq!((ids, told.gone), (vec!["c"], vec![gone("b", 0)]));
    let nothing = fleet.changes_since(8, Moment(10_000)).expect("it is known");
    assert!(nothing.changed.is_empty() && nothing.gone.is_empty());
}

#[test]
fn a_server_that_lapsed_and_came_back_is_not_told_as_gone() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    let changes = [change(object("a", 3), true), change(object("a", 9), false)];
    show_changes(&mut fleet, &changes, span(9), 1);
    assert_eq!(ids(&fleet), ["a", "b"]);
    let told = fleet.changes_since(5, Moment(10_000)).expect("it is known");
    assert!(told.gone.is_empty(), "{told:?}");
    assert_eq!(told.changed.len(), 1);
    let parts = news_part::parts_of(&changes);
    assert_eq!((parts.len(), parts[0].changed.len()), (1, 1));
    assert!(parts[0].gone.is_empty(), "its last change counts");
}

#[test]
fn an_end_that_is_told_late_does_not_undo_a_return() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3)], 5, 0);
    // The return at 9 has come by another way before the end, which lies somewhere up to 8.
    show_changes(&mut fleet, &[change(object("a", 9), false)], span(9), 1);
    show_changes(&mut fleet, &[change(object("a", 8), true)], span(8), 2);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn a_list_does_not_undo_what_was_seen_after_it() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3)], 5, 0);
    let early = ChangeSpan {
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
    show_changes(&mut fleet, &changes, early, 1);
    show_list(&mut fleet, &[object("a", 3)], 10, 2);
    assert_eq!(ids(&fleet), ["a", "b"]);
    assert!(
        !fleet.of_service("desk")[0].takes_work(),
        "it drains since 11"
    );
}

#[test]
fn ends_that_were_forgotten_are_not_told_as_if_there_were_none() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[], 1, 0);
    for revision in 2..2_000 {
        let id = format!("s-{revision}");
        let changes = [change(object(&id, revision), false)];
        show_changes(&mut fleet, &changes, span(revision), 1);
        let changes = [change(object(&id, revision), true)];
        show_changes(&mut fleet, &changes, span(revision), 1);
    }
    assert!(fleet.changes_since(1, Moment(10_000)).is_none());
    assert!(fleet.changes_since(1_990, Moment(10_000)).is_some());
}

#[test]
fn a_server_that_may_have_lapsed_is_not_told_as_present() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    fleet.on_store_return(ReturnObservation::InTime, 9, Moment(1_000));
    show_changes(&mut fleet, &[change(object("a", 3), true)], span(9), 1_000);
    assert_eq!(ids(&fleet), ["a", "b"], "it is kept here");
    let told: Vec<_> = fleet.objects().map(|object| object.record.id).collect();
    assert_eq!(told, ["b"], "nobody else could see its time end");
    let told = fleet.changes_since(8, Moment(1_300)).expect("it is known");
    assert_eq!(told.gone, [gone("a", EXPIRY_GRACE_MS - 300)]);
}

#[test]
fn many_that_vanish_at_once_are_kept_for_a_moment_and_few_are_not() {
    let servers: Vec<StoredObject> = (0..12).map(|n| object(&format!("s-{n:02}"), 3)).collect();
    let gone = |numbers: std::ops::Range<usize>| -> Vec<ObjectChange> {
        let gone = servers[numbers].iter().cloned();
        gone.map(|server| change(server, true)).collect()
    };
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &servers, 5, 0);
    show_changes(&mut fleet, &gone(0..2), span(7), 1);
    assert_eq!(ids(&fleet).len(), 10, "two may end at the same time");
    show_changes(&mut fleet, &gone(2..5), span(10), 2);
    assert_eq!(ids(&fleet).len(), 10, "three of ten have perhaps lapsed");
    fleet.on_tick(Moment(2 + EXPIRY_GRACE_MS));
    assert_eq!(ids(&fleet).len(), 7, "and are gone when they stay away");
}

/// How long a leaving server serves on in the tests below, in milliseconds.
const LEAVE_MS: u64 = 2_000;

/// A fleet of twelve servers, and their entries.
fn twelve_servers() -> (Fleet, Vec<StoredObject>) {
    let servers: Vec<StoredObject> = (0..12).map(|n| object(&format!("s-{n:02}"), 3)).collect();
    let mut fleet = Fleet::default();
    fleet.set_leave_ms(LEAVE_MS);
    show_list(&mut fleet, &servers, 5, 0);
    (fleet, servers)
}

fn ends(servers: &[StoredObject]) -> Vec<ObjectChange> {
    let ends = servers.iter().cloned();
    ends.map(|server| change(server, true)).collect()
}

/// Nothing says that the store was away, so they may as well be leaving.
#[test]
fn a_group_that_vanishes_is_kept_for_less_than_a_leaving_server_serves() {
    let (mut fleet, servers) = twelve_servers();
    let changes = ends(&servers[..6]);
    show_changes(&mut fleet, &changes, span(11), 100);
    assert_eq!(ids(&fleet).len(), 12, "six have perhaps lapsed");
    fleet.on_tick(Moment(100 + LEAVE_MS - 300));
    assert_eq!(ids(&fleet).len(), 6, "they may have left");
}

#[test]
fn what_goes_missing_after_the_stores_return_is_kept_for_less_than_a_leaving_server_serves() {
    let (mut fleet, servers) = twelve_servers();
    fleet.on_store_return(ReturnObservation::InTime, 9, Moment(1_000));
    // This one went missing while the store was away.
    show_changes(&mut fleet, &ends(&servers[..1]), span(9), 1_000);
    show_changes(&mut fleet, &ends(&servers[1..2]), span(10), 1_100);
    let gone = |now| {
        let noted = fleet.on_tick(Moment(now));
        noted.len()
    };
    let moments = [1_100, 1_100 + LEAVE_MS - 300, 1_000 + EXPIRY_GRACE_MS];
    assert_eq!(moments.map(gone), [0, 1, 1]);
}

/// The return was noticed long after it, so what is missing from the first answer may have left since.
#[test]
fn a_return_that_is_noticed_late_keeps_only_what_goes_missing_after_it() {
    let (mut fleet, servers) = twelve_servers();
    fleet.on_store_return(ReturnObservation::Late, 9, Moment(1_000));
    let at_first = ends(&servers[..1]);
    show_changes(&mut fleet, &at_first, span(9), 1_000);
    assert_eq!(ids(&fleet).len(), 11, "it may have left long ago");
    let later = ends(&servers[1..2]);
    show_changes(&mut fleet, &later, span(10), 1_100);
    assert_eq!(ids(&fleet).len(), 11, "it may have lapsed");
    fleet.on_tick(Moment(1_100 + LEAVE_MS - 300));
    assert_eq!(ids(&fleet).len(), 10);
}

/// So many do not leave at once: they have lapsed, though the return was noticed late.
#[test]
fn a_group_that_is_missing_at_a_late_noticed_return_is_kept_for_a_moment() {
    let (mut fleet, servers) = twelve_servers();
    fleet.on_store_return(ReturnObservation::Late, 9, Moment(1_000));
    let at_first = ends(&servers[..6]);
    show_changes(&mut fleet, &at_first, span(9), 1_000);
    assert_eq!(ids(&fleet).len(), 12);
    fleet.on_tick(Moment(1_000 + LEAVE_MS - 300));
    assert_eq!(ids(&fleet).len(), 6);
}

#[test]
fn a_host_keeps_servers_as_long_as_it_is_told_and_no_longer() {
    let (mut fleet, servers) = twelve_servers();
    let told = ReportedRetentions::from_gone(&[gone("s-00", 0), gone("s-01", 400)], Moment(50));
    fleet.on_changes(
        &ends(&servers[..6]),
        span(11),
        MissingSource::Peer(&told),
        &halls(),
        Moment(50),
    );
    assert_eq!(ids(&fleet).len(), 7, "one of the six is kept");
    assert_eq!(
        fleet.retention_ms("s-01", Moment(150)),
        300,
        "as it is passed on"
    );
    fleet.on_tick(Moment(450));
    assert_eq!(ids(&fleet).len(), 6);
}

#[test]
fn failures_take_a_server_out_and_one_success_brings_it_back() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3)], 5, 0);
    let server = &fleet.of_service("desk")[0];
    for _ in 0..5 {
        assert!(
            !server.on_failure(Moment(0)),
            "one that loses a part of its answers stays"
        );
    }
    assert!(server.on_failure(Moment(0)));
    assert!(server.is_ejected(Moment(999)));
    assert!(!server.is_ejected(Moment(1_000)));
    server.begin();
    assert!(
        server.is_ejected(Moment(1_000)),
        "one request at a time until one succeeds"
    );
    server.end();
    assert!(
        server.on_failure(Moment(1_000)),
        "on trial one failure is enough"
    );
    assert!(server.is_ejected(Moment(2_999)), "and the time doubles");
    server.on_success(Moment(0));
    assert!(!server.is_ejected(Moment(1_001)));
    assert!(
        server.on_unreachable(Moment(5_000)),
        "no connection is enough at once"
    );
    for _ in 0..5 {
        assert!(
            !server.on_failure(Moment(5_100)),
            "what was under way tells nothing new"
        );
    }
    assert!(!server.is_ejected(Moment(6_000)));
    server.on_displaced();
    assert!(!server.takes_work());
}

#[test]
fn the_load_of_others_fades_and_the_own_load_does_not() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3)], 5, 0);
    let server = &fleet.of_service("desk")[0];
    server.begin();
    let load = ServerLoad {
        running: 3,
        waiting: 2,
        slots: 4,
    };
    server.on_load(load, Moment(0));
    assert!((server.expected_load(Moment(0)) - 5.0).abs() < 0.01);
    let later = server.expected_load(Moment(10_000));
    assert!((later - 1.0).abs() < 0.01, "{later}");
}

#[test]
fn a_slow_servers_pace_fades_so_that_it_is_tried_again() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 1)], 1, 0);
    let server = &fleet.of_service("desk")[0];
    for _ in 0..5 {
        server.on_pace(20.0, Moment(0));
    }
    let slow = server.pace(Moment(0));
    assert!(slow > 8.0, "{slow}");
    assert!(
        server.pace(Moment(1_000)) > 4.0,
        "it is not trusted at once"
    );
    let later = server.pace(Moment(20_000));
    assert!(later < 1.2, "it gets work again without an answer: {later}");
}

#[test]
fn a_cold_time_that_is_told_counts_from_when_it_is_heard() {
    let mut fleet = Fleet::default();
    let mut cold = object("a", 3);
    cold.content = ObjectContent::Server(record("a", ServerState::Ready, 2_000));
    show_list(&mut fleet, &[cold], 5, 100);
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

    /// Whatever the number of hosts, all of them together stay under a cold server's limit.
    #[test]
    fn hosts_keep_a_cold_servers_limit_without_talk(
        hosts in 1_u32..300,
        limit in 4.0_f64..40.0,
        server in "[a-z0-9]{8}",
    ) {
        let mut total = 0;
        for number in 0..hosts {
            // Each host has a fleet of its own and sends as fast as it may.
            let mut fleet = Fleet::default();
            show_list(&mut fleet, &[object(&server, 1)], 1, 0);
            let server = &fleet.of_service("desk")[0];
            let hash = |number: u32| {
                xxhash_rust::xxh3::xxh3_64(format!("host-{number}").as_bytes())
            };
            let others: Vec<u64> = (0..hosts).filter(|other| *other != number).map(hash).collect();
            let share = ColdShare {
                all_per_s: limit,
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

    /// In no window are there more repeats than the share allows.
    #[test]
    fn repeats_stay_within_the_share(
        events in prop::collection::vec((0_u64..400, any::<bool>()), 1..400),
        hosts in 1_u32..20,
    ) {
        let share = RetryShare { ratio: 0.2, slack: 58.0, hosts };
        let mut window = RetryWindow::with_length(10_000);
        let mut now = 0;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (pause, repeat) in events {
            now += pause;
            if !repeat {
                window.on_request(Moment(now));
                requests.push(now);
            } else if window.try_repeat(&share, Moment(now)) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let inside = |at: &&u64| **at <= *end && **at + 10_000 > *end;
            let near = |at: &&u64| **at <= *end && **at + 20_000 > *end;
            let sent = repeats.iter().filter(inside).count() as f64;
            let asked = requests.iter().filter(near).count() as f64;
            prop_assert!(sent <= asked * 0.2 + 58.0 / f64::from(hosts));
        }
    }
}

/// Word of an end may overtake that of the change before it, while others between are missing.
#[test]
fn a_late_entry_does_not_bring_an_ended_server_back() {
    let mut fleet = Fleet::default();
    show_list(&mut fleet, &[object("a", 3), object("b", 4)], 5, 0);
    let gap = |until| ChangeSpan {
        until,
        contiguous: false,
    };
    let end = change(object("a", 12), true);
    show_changes(&mut fleet, &[end], gap(12), 1);
    assert_eq!(ids(&fleet), ["b"]);
    let late = change(object("a", 9), false);
    show_changes(&mut fleet, &[late], gap(9), 2);
    assert_eq!(ids(&fleet), ["b"], "it ended after that entry");
    let back = change(object("a", 14), false);
    show_changes(&mut fleet, &[back], gap(14), 3);
    assert_eq!(ids(&fleet), ["a", "b"], "a later entry counts");
}

/// More servers ended before the first list than are remembered: hosts that ask for what lies
/// before must be told to read the whole list.
#[test]
fn the_first_list_does_not_forget_that_ends_were_forgotten() {
    let mut fleet = Fleet::default();
    for number in 0..1_100_u64 {
        let id = format!("s-{number}");
        let born = change(object(&id, 2 * number + 10), false);
        let gone = change(object(&id, 2 * number + 11), true);
        let now = Moment(number);
        show_changes(&mut fleet, &[born, gone], span(2 * number + 11), now.0);
    }
    // The first 76 are forgotten, the last of them gone by count 161; the list is older.
    show_list(&mut fleet, &[object("z", 5)], 100, 9_000);
    assert!(fleet.changes_since(120, Moment(10_000)).is_none());
    assert!(fleet.changes_since(2_300, Moment(10_000)).is_some());
}
