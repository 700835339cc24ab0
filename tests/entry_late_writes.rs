//! Entries of servers that the store writes late, after newer ones. A heartbeat whose answer was lost
//! may be done seconds later: it must not bring back a server that has said that it leaves, or whose
//! entry is gone.

use ledgespool::entry::entry_order::DOUBT_MS;
use ledgespool::entry::expiry_retention::{MissingSource, ReportedRetentions};
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::{ChangeSpan, FleetChange};
use ledgespool::entry::peer_message::GoneServer;
use ledgespool::entry::server::{ServerObject, ServerRecord, ServerState};
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
use ledgespool::entry::update_fragment;
use ledgespool::rollout::spec::VersionTag;
use ledgespool::timer::Moment;

use ServerState::{Draining, Ready};

/// Longer than the store takes to do a write that it has not answered, in milliseconds.
const LATE_MS: u64 = 6_000;

fn halls() -> HallMap {
    let halls = [("east".to_owned(), "one".to_owned())];
    halls.into_iter().collect()
}

/// The entry of the server `a` at a store revision, with the number of its statement.
fn entry(revision: u64, sequence: u64, state: ServerState) -> StoredObject {
    let record = ServerRecord {
        id: "a".to_owned(),
        born: None,
        service: "desk".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        hall: "east".to_owned(),
        version: VersionTag::of_name("v1"),
        slots: 4,
        state,
        cold_ms: 0,
        sequence: Some(sequence),
    };
    StoredObject::from(ServerObject { record, revision })
}

fn born(object: StoredObject, born: u64) -> StoredObject {
    let ObjectContent::Server(record) = object.content else {
        panic!("it is a server's entry");
    };
    let record = ServerRecord {
        born: Some(born),
        ..record
    };
    StoredObject::from(ServerObject {
        record,
        revision: object.revision,
    })
}

fn put(object: StoredObject) -> ObjectChange {
    ObjectChange {
        object,
        deleted: false,
    }
}

fn delete(object: StoredObject) -> ObjectChange {
    ObjectChange {
        object,
        deleted: true,
    }
}

fn fleet(first: StoredObject) -> Fleet {
    let mut fleet = Fleet::default();
    let revision = first.revision;
    fleet.on_list(
        &[first],
        revision,
        MissingSource::Store,
        &halls(),
        Moment(0),
    );
    fleet
}

fn apply(fleet: &mut Fleet, changes: &[ObjectChange], until: u64, at: u64) -> Vec<FleetChange> {
    apply_from(fleet, changes, until, at, MissingSource::Store)
}

fn apply_from(
    fleet: &mut Fleet,
    changes: &[ObjectChange],
    until: u64,
    at: u64,
    source: MissingSource<'_>,
) -> Vec<FleetChange> {
    let span = ChangeSpan {
        until,
        contiguous: true,
    };
    fleet.on_changes(changes, span, source, &halls(), Moment(at))
}

fn takes_work(fleet: &Fleet) -> bool {
    let servers = fleet.of_service("desk");
    servers.iter().any(|server| server.takes_work())
}

#[test]
fn a_late_heartbeat_does_not_revive_a_draining_server() {
    let mut fleet = fleet(entry(3, 1, Ready));
    apply(&mut fleet, &[put(entry(5, 4, Draining))], 5, 1_000);
    let late = put(entry(6, 2, Ready));
    let changes = apply(&mut fleet, std::slice::from_ref(&late), 6, 2_500);
    assert_eq!(changes, [FleetChange::Doubted("a".to_owned())]);
    assert!(!takes_work(&fleet));
    // A list shows the same entry.
    let listed = [entry(6, 2, Ready)];
    fleet.on_list(&listed, 7, MissingSource::Store, &halls(), Moment(3_000));
    assert!(!takes_work(&fleet));
    // The server's next heartbeat replaces it.
    apply(&mut fleet, &[put(entry(8, 5, Draining))], 8, 4_000);
    fleet.on_doubts_over(&halls(), Moment(4_000 + 2 * DOUBT_MS));
    assert!(!takes_work(&fleet));
}

#[test]
fn a_late_heartbeat_in_the_same_batch_as_the_notice_does_not_revive_the_server() {
    let batch = [put(entry(5, 4, Draining)), put(entry(6, 2, Ready))];
    let mut watcher = fleet(entry(3, 1, Ready));
    apply(&mut watcher, &batch, 6, 1_000);
    assert!(!takes_work(&watcher));
    // What the watcher forwards to other hosts.
    let fragments = update_fragment::split_changes(&batch);
    let forwarded = fragments.iter().flat_map(|fragment| &fragment.changed);
    let mut forwarded: Vec<_> = forwarded
        .map(|object| put(StoredObject::from(object.clone())))
        .collect();
    for _ in 0..2 {
        forwarded.reverse();
        let mut other = fleet(entry(3, 1, Ready));
        apply(&mut other, &forwarded, 6, 1_000);
        assert!(!takes_work(&other), "in the order {forwarded:?}");
    }
}

#[test]
fn a_late_heartbeat_does_not_revive_a_server_whose_entry_is_gone() {
    // It never said that it drains; only the deletion shows its last number.
    let mut fleet = fleet(entry(3, 1, Ready));
    apply(&mut fleet, &[delete(entry(4, 40, Ready))], 5, 1_000);
    let changes = apply(&mut fleet, &[put(entry(6, 39, Ready))], 6, 2_000);
    assert_eq!(changes, [FleetChange::Doubted("a".to_owned())]);
    fleet.on_doubts_over(&halls(), Moment(1_000 + LATE_MS));
    assert!(!takes_work(&fleet));
    apply(&mut fleet, &[delete(entry(6, 39, Ready))], 9, 8_000);
    fleet.on_doubts_over(&halls(), Moment(8_000 + 2 * DOUBT_MS));
    assert!(!takes_work(&fleet));
}

/// Guards against hosts that know the removal from another host and accept the late entry.
#[test]
fn a_host_that_was_told_of_a_removal_doubts_a_late_heartbeat() {
    let mut watcher = fleet(entry(3, 1, Ready));
    apply(&mut watcher, &[delete(entry(4, 40, Ready))], 5, 1_000);
    let difference = watcher
        .changes_since(3, Moment(1_000))
        .expect("the removal");
    let told: &[GoneServer] = &difference.gone;
    assert_eq!(told[0].last_statement, Some(40));
    let reported = ReportedRetentions::from_gone(told, Moment(1_000));
    let mut other = fleet(entry(3, 1, Ready));
    let removal = ObjectChange {
        object: StoredObject {
            name: "a".to_owned(),
            revision: 5,
            content: ObjectContent::Unreadable(String::new()),
        },
        deleted: true,
    };
    let source = MissingSource::Peer(&reported);
    apply_from(&mut other, &[removal], 5, 1_000, source);
    apply(&mut other, &[put(entry(6, 39, Ready))], 6, 2_000);
    assert!(!takes_work(&other));
}

/// Guards against a server that stays out for good: its entry lapsed, was written late, and later
/// heartbeats change nothing but the number, so no event shows them.
#[test]
fn an_older_statement_that_stands_is_believed() {
    let mut fleet = fleet(entry(3, 7, Ready));
    apply(&mut fleet, &[delete(entry(3, 7, Ready))], 5, 1_000);
    apply(&mut fleet, &[put(entry(6, 6, Ready))], 6, 2_000);
    assert!(!takes_work(&fleet));
    let changes = fleet.on_doubts_over(&halls(), Moment(2_000 + DOUBT_MS));
    assert_eq!(changes, [FleetChange::Joined("a".to_owned())]);
    assert!(takes_work(&fleet));
}

#[test]
fn a_server_that_counts_anew_is_used_at_once_if_it_reports_its_start() {
    let mut fleet = fleet(born(entry(3, 90, Ready), 100));
    apply(&mut fleet, &[put(born(entry(5, 1, Ready), 200))], 5, 1_000);
    assert!(takes_work(&fleet));
    // A late write of the earlier incarnation, whatever its number is.
    apply(
        &mut fleet,
        &[put(born(entry(6, 91, Draining), 100))],
        6,
        2_000,
    );
    assert!(takes_work(&fleet));
}

/// Guards against a host that has read the late entry first, and then hears of the notice from another
/// host: the notice has the lower store revision.
#[test]
fn a_notice_that_is_heard_of_after_the_late_heartbeat_holds() {
    let mut fleet = fleet(entry(3, 1, Ready));
    apply(&mut fleet, &[put(entry(6, 2, Ready))], 6, 1_000);
    apply(&mut fleet, &[put(entry(5, 4, Draining))], 6, 1_100);
    assert!(!takes_work(&fleet));
}

#[test]
fn an_older_statement_does_not_end_the_slow_start() {
    let cold = |revision, sequence, cold_ms| {
        let object = entry(revision, sequence, Ready);
        let ObjectContent::Server(record) = object.content else {
            panic!("it is a server's entry");
        };
        let record = ServerRecord { cold_ms, ..record };
        put(StoredObject::from(ServerObject { record, revision }))
    };
    let mut fleet = fleet(entry(3, 1, Ready));
    apply(&mut fleet, &[cold(5, 4, 3_000)], 5, 1_000);
    apply(&mut fleet, &[cold(6, 3, 0)], 6, 1_500);
    assert!(fleet.of_service("desk")[0].is_cold(Moment(2_000)));
}

/// An entry that cannot be parsed makes the server drain only until the next readable one, although
/// both may have the same number.
#[test]
fn an_unreadable_entry_ends_with_the_next_readable_one() {
    let mut fleet = fleet(entry(3, 4, Ready));
    let unreadable = StoredObject {
        name: "a".to_owned(),
        revision: 5,
        content: ObjectContent::Unreadable("state".to_owned()),
    };
    apply(&mut fleet, &[put(unreadable)], 5, 1_000);
    assert!(!takes_work(&fleet));
    apply(&mut fleet, &[put(entry(6, 4, Ready))], 6, 1_500);
    assert!(takes_work(&fleet));
}

/// Guards against doubts about all servers after the store has returned from an older copy: most of
/// its entries say the same as before.
#[test]
fn an_older_statement_that_says_the_same_is_not_doubted() {
    let mut fleet = fleet(entry(3, 40, Ready));
    let changes = apply(&mut fleet, &[put(entry(6, 30, Ready))], 6, 1_000);
    assert_eq!(changes, []);
    assert!(takes_work(&fleet));
    // Its notice has a higher number than the last one that was seen.
    apply(&mut fleet, &[put(entry(8, 41, Draining))], 8, 1_500);
    apply(&mut fleet, &[put(entry(9, 35, Ready))], 9, 2_000);
    assert!(!takes_work(&fleet));
}
