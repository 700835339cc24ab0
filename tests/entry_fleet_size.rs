//! Tests that the cost of a change of one server does not grow with the number of servers.

use std::collections::BTreeMap;
use std::rc::Rc;

use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::ChangeSpan;
use ledgespool::entry::fleet_server::FleetServer;
use ledgespool::entry::server::{ServerRecord, ServerState};
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
use ledgespool::rollout::spec::VersionTag;
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
            sequence: None,
        }),
    }
}

fn fleet_of(count: usize) -> Fleet {
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
fn a_change_indexes_only_the_changed_server() {
    const CHANGES: usize = 50;
    for count in [100, 1_000, 10_000] {
        let mut fleet = fleet_of(count);
        let before = fleet.servers_indexed();
        for number in 0..CHANGES {
            let revision = 2 + number as u64;
            let is_removal = number % 2 == 0;
            let changed = if is_removal { number } else { count + number };
            apply(&mut fleet, object(changed, 1, revision), is_removal);
        }
        let indexed = fleet.servers_indexed() - before;
        assert_eq!(indexed, CHANGES as u64 / 2, "{count} servers");
    }
}

/// A host knows every server of the deployment. With 20,000 servers, half a kilobyte each would be
/// a twelfth of the memory that it may use.
#[test]
fn an_unused_server_takes_a_quarter_of_a_kilobyte_and_shares_its_names() {
    assert!(size_of::<FleetServer>() <= 256);
    let fleet = fleet_of(100);
    let mut names = fleet.servers().map(|server| Rc::as_ptr(&server.hall));
    let first = names.next().expect("a server");
    assert!(names.all(|name| std::ptr::eq(name, first)));
}

#[test]
fn the_loss_of_a_third_of_all_servers_is_reported_without_the_complete_list() {
    for count in [300, 3_000, 9_000] {
        let mut fleet = fleet_of(count);
        for number in 0..count / 3 {
            apply(&mut fleet, object(number, 1, 2 + number as u64), true);
        }
        let difference = fleet.changes_since(1, Moment(2)).expect("it is remembered");
        assert_eq!(difference.gone.len(), count / 3, "{count} servers");
        assert!(difference.changed.is_empty(), "{count} servers");
    }
}

#[test]
fn index_is_the_same_after_changes_and_after_a_list() {
    let mut random = SmallRng::seed_from_u64(11);
    for _ in 0..20 {
        let mut fleet = fleet_of(40);
        let mut known: BTreeMap<usize, u64> = (0..40).map(|number| (number, 1)).collect();
        for revision in 2..200 {
            let number = random.random_range(0..60);
            let is_removal = random.random_bool(0.4) && known.contains_key(&number);
            // Some servers restart under their identity.
            let born = revision;
            apply(&mut fleet, object(number, born, revision), is_removal);
            if is_removal {
                known.remove(&number);
            } else {
                known.insert(number, born);
            }
        }
        let objects: Vec<StoredObject> = known
            .iter()
            .map(|(number, born)| object(*number, *born, 1))
            .collect();
        let mut reference = Fleet::default();
        reference.on_list(&objects, 1, MissingSource::Store, &halls(), Moment(0));
        for service in SERVICES {
            let incarnations = |fleet: &Fleet| -> Vec<u64> {
                let servers = fleet.of_service(service).iter();
                servers.map(|server| server.incarnation_hash).collect()
            };
            assert_eq!(incarnations(&fleet), incarnations(&reference), "{service}");
            for incarnation in incarnations(&reference) {
                let found = fleet
                    .of_incarnation(incarnation)
                    .expect("it is found by its incarnation");
                assert_eq!(found.incarnation_hash, incarnation);
            }
        }
    }
}
