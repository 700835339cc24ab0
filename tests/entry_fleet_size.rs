//! What a change of one server costs must not grow with the number of servers.

use std::collections::BTreeMap;
use std::rc::Rc;

use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::ChangeSpan;
use ledgespool::entry::fleet_server::FleetServer;
use ledgespool::entry::server::{ServerRecord, ServerState};
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
use ledgespool::rollout::order::VersionTag;
use ledgespool::timer::Moment;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const SERVICES: [&str; 2] = ["desk", "vault"];

fn halls() -> HallMap {
    let halls = [("east".to_owned(), "one".to_owned())];
    halls.into_iter().collect()
}

fn object(number: usize, born: u64, revision: u64) -> StoredObject {
    let id = format!("i-{number:05}");
    StoredObject {
        name: id.clone(),
        revision,
        content: ObjectContent::Server(ServerRecord {
            id,
            born: Some(born),
            service: SERVICES[number % SERVICES.len()].to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
            hall: "east".to_owned(),
            version: VersionTag::of_name("v1"),
            slots: 4,
            state: ServerState::Ready,
            cold_ms: 0,
        }),
    }
}

fn listed(count: usize) -> Fleet {
    let objects: Vec<StoredObject> = (0..count).map(|number| object(number, 1, 1)).collect();
    let mut fleet = Fleet::default();
    fleet.on_list(&objects, 1, MissingSource::Store, &halls(), Moment(0));
    fleet
}

fn apply(fleet: &mut Fleet, object: StoredObject, deleted: bool) {
    let span = ChangeSpan {
        until: object.revision,
        contiguous: true,
    };
    let change = ObjectChange { object, deleted };
    fleet.on_changes(&[change], span, MissingSource::Store, &halls(), Moment(1));
}

#[test]
fn changes_of_servers_do_not_touch_those_that_have_not_changed() {
    const CHANGES: usize = 50;
    for count in [100, 1_000, 10_000] {
        let mut fleet = listed(count);
        let before = fleet.servers_indexed();
        for number in 0..CHANGES {
            let revision = 2 + number as u64;
            let is_end = number % 2 == 0;
            let changed = if is_end { number } else { count + number };
            apply(&mut fleet, object(changed, 1, revision), is_end);
        }
        let indexed = fleet.servers_indexed() - before;
        assert_eq!(indexed, CHANGES as u64 / 2, "{count} servers");
    }
}

/// A host knows every server of the deployment: with 20,000 of them half a kilobyte each is a twelfth of what it may use.
#[test]
fn a_server_that_got_no_request_takes_a_quarter_of_a_kilobyte_and_shares_its_names() {
    assert!(size_of::<FleetServer>() <= 256);
    let fleet = listed(100);
    let mut names = fleet.servers().map(|server| Rc::as_ptr(&server.hall));
    let first = names.next().expect("a server");
    assert!(names.all(|name| std::ptr::eq(name, first)));
}

#[test]
fn the_loss_of_a_third_of_all_servers_is_told_without_the_whole_list() {
    for count in [300, 3_000, 9_000] {
        let mut fleet = listed(count);
        for number in 0..count / 3 {
            apply(&mut fleet, object(number, 1, 2 + number as u64), true);
        }
        let told = fleet.changes_since(1, Moment(2)).expect("it is remembered");
        assert_eq!(told.gone.len(), count / 3, "{count} servers");
        assert!(told.changed.is_empty(), "{count} servers");
    }
}

#[test]
fn servers_are_found_alike_after_any_changes_and_after_a_list() {
    let mut random = SmallRng::seed_from_u64(11);
    for _ in 0..20 {
        let mut fleet = listed(40);
        let mut known: BTreeMap<usize, u64> = (0..40).map(|number| (number, 1)).collect();
        for revision in 2..200 {
            let number = random.random_range(0..60);
            let is_end = random.random_bool(0.4) && known.contains_key(&number);
            // Some start again under their identity.
            let born = revision;
            apply(&mut fleet, object(number, born, revision), is_end);
            if is_end {
                known.remove(&number);
            } else {
                known.insert(number, born);
            }
        }
        let objects: Vec<StoredObject> = known
            .iter()
            .map(|(number, born)| object(*number, *born, 1))
            .collect();
        let mut plain = Fleet::default();
        plain.on_list(&objects, 1, MissingSource::Store, &halls(), Moment(0));
        for service in SERVICES {
            let starts = |fleet: &Fleet| -> Vec<u64> {
                let servers = fleet.of_service(service).iter();
                servers.map(|server| server.start_hash).collect()
            };
            assert_eq!(starts(&fleet), starts(&plain), "{service}");
            for start in starts(&plain) {
                let found = fleet.of_start(start).expect("it is found by its start");
                assert_eq!(found.start_hash, start);
            }
        }
    }
}
