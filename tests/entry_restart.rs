//! Tests of servers that restart under the same identity.

#[path = "common/seeded.rs"]
mod seeded;

use std::rc::Rc;

use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::{ChangeSpan, FleetChange};
use ledgespool::entry::fleet_server::FleetServer;
use ledgespool::entry::packed_servers::PackedServers;
use ledgespool::entry::server::{ServerLoad, ServerRecord, ServerState};
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
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

fn object(born: Option<u64>, revision: u64) -> StoredObject {
    StoredObject {
        name: "a".to_owned(),
        revision,
        content: ObjectContent::Server(ServerRecord {
            id: "a".to_owned(),
            born,
            service: "desk".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
            hall: "east".to_owned(),
            version: VersionTag::of_name("v1"),
            slots: 4,
            state: ServerState::Ready,
            cold_ms: 0,
            sequence: None,
        }),
    }
}

fn apply_change(
    fleet: &mut Fleet,
    object: StoredObject,
    deleted: bool,
    at: u64,
) -> Vec<FleetChange> {
    let span = ChangeSpan {
        until: object.revision,
        contiguous: true,
    };
    let change = [ObjectChange { object, deleted }];
    fleet.on_changes(&change, span, MissingSource::Store, &halls(), Moment(at))
}

fn fleet(born: Option<u64>) -> Fleet {
    let mut fleet = Fleet::default();
    let objects = [object(born, 3)];
    fleet.on_list(&objects, 5, MissingSource::Store, &halls(), Moment(0));
    fleet
}

fn only_server(fleet: &Fleet) -> Rc<FleetServer> {
    Rc::clone(&fleet.of_service("desk")[0])
}

#[test]
fn new_incarnation_has_no_state_of_the_former_one() {
    let mut fleet = fleet(Some(100));
    let old_server = only_server(&fleet);
    old_server.record_object(7);
    old_server.on_unreachable(Moment(1));
    old_server.set_cold_until(Moment(90_000));
    old_server.on_cold_send(Moment(2));
    let load = ServerLoad {
        running: 4,
        waiting: 9,
        slots: 4,
        pace: None,
    };
    old_server.on_load_report(load, Moment(2));
    old_server.record_slowdown(9.0, Moment(2));
    let changes = apply_change(&mut fleet, object(Some(200), 9), false, 3);
    assert_eq!(changes, [FleetChange::Restarted("a".to_owned())]);
    let server = only_server(&fleet);
    assert!(old_server.is_removed() && !old_server.takes_work());
    assert!(!server.has_object_cached(7));
    assert!(!server.is_ejected(Moment(4)) && !server.is_cold(Moment(4)));
    assert_eq!(server.cold_sends(Moment(4), 1_000), 0);
    assert!(server.expected_load(Moment(4)) < 0.1);
    assert!((server.slowdown(Moment(4)) - 1.0).abs() < 1e-9);
}

#[test]
fn entry_of_an_earlier_incarnation_is_ignored_at_any_revision() {
    let mut fleet = fleet(Some(200));
    let server = only_server(&fleet);
    for (number, deleted) in [(0, false), (1, true)] {
        let changes = apply_change(&mut fleet, object(Some(100), 20 + number), deleted, 3);
        assert!(changes.is_empty(), "{changes:?}");
        assert!(Rc::ptr_eq(&server, &only_server(&fleet)));
    }
    // A later incarnation is accepted although its entry arrives late, with a lower revision.
    let mut fleet = Fleet::default();
    let listed = [object(Some(100), 30)];
    fleet.on_list(&listed, 30, MissingSource::Store, &halls(), Moment(0));
    let changes = apply_change(&mut fleet, object(Some(300), 25), false, 3);
    assert_eq!(changes, [FleetChange::Restarted("a".to_owned())]);
}

#[test]
fn entries_without_an_incarnation_keep_their_server() {
    let mut fleet = fleet(None);
    let server = only_server(&fleet);
    assert!(apply_change(&mut fleet, object(None, 9), false, 1).is_empty());
    assert!(Rc::ptr_eq(&server, &only_server(&fleet)));
    // An entry with an incarnation comes from a restart with a newer program.
    let changes = apply_change(&mut fleet, object(Some(1), 10), false, 2);
    assert_eq!(changes, [FleetChange::Restarted("a".to_owned())]);
    let server = only_server(&fleet);
    assert!(apply_change(&mut fleet, object(None, 11), false, 3).is_empty());
    assert!(Rc::ptr_eq(&server, &only_server(&fleet)));
    assert!(apply_change(&mut fleet, object(Some(1), 12), false, 4).is_empty());
    assert!(Rc::ptr_eq(&server, &only_server(&fleet)));
}

#[test]
fn removal_of_an_incarnation_does_not_hide_the_next() {
    let mut fleet = fleet(Some(100));
    apply_change(&mut fleet, object(Some(100), 40), true, 1);
    assert!(fleet.of_service("desk").is_empty());
    // Reported late, with a revision from before the former incarnation was removed.
    let span = ChangeSpan {
        until: 41,
        contiguous: false,
    };
    let change = [ObjectChange {
        object: object(Some(200), 39),
        deleted: false,
    }];
    let changes = fleet.on_changes(&change, span, MissingSource::Store, &halls(), Moment(2));
    assert!(
        changes.is_empty(),
        "a change with an old revision is ignored"
    );
    let changes = apply_change(&mut fleet, object(Some(200), 42), false, 3);
    assert_eq!(changes, [FleetChange::Joined("a".to_owned())]);
}

#[test]
fn server_with_an_unreadable_entry_gets_no_work() {
    let mut fleet = fleet(Some(100));
    let mut unreadable = object(Some(100), 9);
    unreadable.content = ObjectContent::Unreadable("slots is no number".to_owned());
    let changes = apply_change(&mut fleet, unreadable, false, 1);
    assert!(matches!(changes[..], [FleetChange::Unreadable(_)]));
    let server = only_server(&fleet);
    assert!(!server.takes_work() && !server.is_removed());
    let reported: Vec<_> = fleet.objects().collect();
    assert_eq!(
        reported[0].record.state,
        ServerState::Draining,
        "other hosts are informed"
    );
    apply_change(&mut fleet, object(Some(100), 10), false, 2);
    assert!(only_server(&fleet).takes_work());
}

#[test]
fn server_in_an_unknown_hall_gets_no_work() {
    let mut fleet = fleet(Some(100));
    let mut unknown_hall = object(Some(100), 9);
    if let ObjectContent::Server(record) = &mut unknown_hall.content {
        record.hall = "nowhere".to_owned();
    }
    apply_change(&mut fleet, unknown_hall, false, 1);
    assert!(!only_server(&fleet).takes_work());
}

#[test]
fn incarnation_is_reported_to_other_hosts() {
    let fleet = fleet(Some(100));
    let packed = PackedServers::from_objects(fleet.objects());
    let reported = packed.objects().next().expect("the server");
    assert_eq!(reported.record.born, Some(100));
}

proptest! {
    #![proptest_config(seeded::config())]

    /// The latest incarnation wins, whatever the order and the revisions of the entries.
    #[test]
    fn latest_incarnation_wins_in_any_order(incarnations in prop::collection::vec((1_u64..6, 6_u64..40), 1..8)) {
        let mut fleet = fleet(Some(1));
        let mut latest = 1;
        for (born, revision) in incarnations {
            apply_change(&mut fleet, object(Some(born), revision), false, 1);
            latest = latest.max(born);
            let reported = fleet.objects().next().expect("the server");
            prop_assert_eq!(reported.record.born, Some(latest));
        }
    }
}
