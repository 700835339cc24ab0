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
        }),
    }
}

fn show(fleet: &mut Fleet, object: StoredObject, deleted: bool, at: u64) -> Vec<FleetChange> {
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

fn only(fleet: &Fleet) -> Rc<FleetServer> {
    Rc::clone(&fleet.of_service("desk")[0])
}

#[test]
fn a_later_start_under_the_same_identity_knows_nothing_of_before() {
    let mut fleet = fleet(Some(100));
    let former = only(&fleet);
    former.remember_object(7);
    former.on_unreachable(Moment(1));
    former.set_cold_until(Moment(90_000));
    former.on_cold_send(Moment(2));
    let load = ServerLoad {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    former.on_load(load, Moment(2));
    former.on_pace(9.0, Moment(2));
    let changes = show(&mut fleet, object(Some(200), 9), false, 3);
    assert_eq!(changes, [FleetChange::Restarted("a".to_owned())]);
    let server = only(&fleet);
    assert!(former.is_gone() && !former.takes_work());
    assert!(!server.knows_object(7));
    assert!(!server.is_ejected(Moment(4)) && !server.is_cold(Moment(4)));
    assert_eq!(server.cold_sends(Moment(4), 1_000), 0);
    assert!(server.expected_load(Moment(4)) < 0.1);
    assert!((server.pace(Moment(4)) - 1.0).abs() < 1e-9);
}

#[test]
fn an_entry_of_an_earlier_start_changes_nothing_whatever_its_revision() {
    let mut fleet = fleet(Some(200));
    let server = only(&fleet);
    for (number, deleted) in [(0, false), (1, true)] {
        let changes = show(&mut fleet, object(Some(100), 20 + number), deleted, 3);
        assert!(changes.is_empty(), "{changes:?}");
        assert!(Rc::ptr_eq(&server, &only(&fleet)));
    }
    // A later incarnation is accepted although its entry arrives late, with a lower revision.
    let mut fleet = Fleet::default();
    let listed = [object(Some(100), 30)];
    fleet.on_list(&listed, 30, MissingSource::Store, &halls(), Moment(0));
    let changes = show(&mut fleet, object(Some(300), 25), false, 3);
    assert_eq!(changes, [FleetChange::Restarted("a".to_owned())]);
}

#[test]
fn entries_without_a_start_go_on_as_before() {
    let mut fleet = fleet(None);
    let server = only(&fleet);
    assert!(show(&mut fleet, object(None, 9), false, 1).is_empty());
    assert!(Rc::ptr_eq(&server, &only(&fleet)));
    // An entry with an incarnation comes from a restart with a newer program.
    let changes = show(&mut fleet, object(Some(1), 10), false, 2);
    assert_eq!(changes, [FleetChange::Restarted("a".to_owned())]);
    let server = only(&fleet);
    assert!(show(&mut fleet, object(None, 11), false, 3).is_empty());
    assert!(Rc::ptr_eq(&server, &only(&fleet)));
    assert!(show(&mut fleet, object(Some(1), 12), false, 4).is_empty());
    assert!(Rc::ptr_eq(&server, &only(&fleet)));
}

#[test]
fn the_end_of_a_start_does_not_hide_the_next() {
    let mut fleet = fleet(Some(100));
    show(&mut fleet, object(Some(100), 40), true, 1);
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
        "an old count that is not known brings nothing"
    );
    let changes = show(&mut fleet, object(Some(200), 42), false, 3);
    assert_eq!(changes, [FleetChange::Joined("a".to_owned())]);
}

#[test]
fn a_server_whose_entry_cannot_be_read_gets_no_work_until_it_can() {
    let mut fleet = fleet(Some(100));
    let mut unreadable = object(Some(100), 9);
    unreadable.content = ObjectContent::Unreadable("slots is no number".to_owned());
    let changes = show(&mut fleet, unreadable, false, 1);
    assert!(matches!(changes[..], [FleetChange::Unreadable(_)]));
    let server = only(&fleet);
    assert!(!server.takes_work() && !server.is_gone());
    let told: Vec<_> = fleet.objects().collect();
    assert_eq!(
        told[0].record.state,
        ServerState::Draining,
        "the others hear of it"
    );
    show(&mut fleet, object(Some(100), 10), false, 2);
    assert!(only(&fleet).takes_work());
}

#[test]
fn a_server_in_a_hall_that_there_is_not_gets_no_work() {
    let mut fleet = fleet(Some(100));
    let mut odd = object(Some(100), 9);
    if let ObjectContent::Server(record) = &mut odd.content {
        record.hall = "nowhere".to_owned();
    }
    show(&mut fleet, odd, false, 1);
    assert!(!only(&fleet).takes_work());
}

#[test]
fn the_start_of_a_server_is_told_to_other_hosts() {
    let fleet = fleet(Some(100));
    let packed = PackedServers::from_objects(fleet.objects());
    let told = packed.objects().next().expect("the server");
    assert_eq!(told.record.born, Some(100));
}

proptest! {
    #![proptest_config(seeded::config())]

    /// The latest incarnation wins, whatever the order and the revisions of the entries.
    #[test]
    fn the_latest_start_wins_in_any_order(starts in prop::collection::vec((1_u64..6, 6_u64..40), 1..8)) {
        let mut fleet = fleet(Some(1));
        let mut latest = 1;
        for (born, revision) in starts {
            show(&mut fleet, object(Some(born), revision), false, 1);
            latest = latest.max(born);
            let told = fleet.objects().next().expect("the server");
            prop_assert_eq!(told.record.born, Some(latest));
        }
    }
}
