//! What servers say of leaving and rest, and what a choice makes of it.

use std::collections::BTreeSet;

use ledgespool::entry::budget::ColdShare;
use ledgespool::entry::choice::{self, ChoiceQuery, NoServer, ServerChoice};
use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_server::FleetServer;
use ledgespool::entry::region_distance::RegionDistances;
use ledgespool::entry::region_shares::RegionWeights;
use ledgespool::entry::server::{ServerRecord, ServerState};
use ledgespool::entry::server_limit::table::ServerLimitTable;
use ledgespool::entry::server_notice::ServerStanding;
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectContent, StoredObject};
use ledgespool::rollout::order::VersionTag;
use ledgespool::rollout::plan::VersionRule;
use ledgespool::timer::Moment;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const LEAVE_MS: u64 = 2_000;
/// Draws of one choice: each outcome that may come has come by then.
const DRAWS: u64 = 200;

fn halls() -> HallMap {
    [("east".to_owned(), "one".to_owned())]
        .into_iter()
        .collect()
}

fn object(id: &str, revision: u64, born: u64) -> StoredObject {
    StoredObject {
        name: id.to_owned(),
        revision,
        content: ObjectContent::Server(ServerRecord {
            id: id.to_owned(),
            born: Some(born),
            service: "desk".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
            hall: "east".to_owned(),
            version: VersionTag::of_name("v1"),
            slots: 3,
            state: ServerState::Ready,
            cold_ms: 0,
        }),
    }
}

fn list(fleet: &mut Fleet, objects: &[StoredObject], revision: u64) {
    let now = Moment(0);
    fleet.on_list(objects, revision, MissingSource::Store, &halls(), now);
}

fn fleet_of(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    let objects: Vec<StoredObject> = ids.iter().map(|id| object(id, 1, 1)).collect();
    list(&mut fleet, &objects, 1);
    fleet
}

fn server<'a>(fleet: &'a Fleet, id: &str) -> &'a FleetServer {
    let mut servers = fleet.servers();
    servers
        .find(|server| *server.id == *id)
        .expect("it is known")
}

fn choose(fleet: &Fleet, tried: &[String], now: u64, seed: u64) -> ServerChoice {
    let query = ChoiceQuery {
        servers: fleet.of_service("desk"),
        object: seed.is_multiple_of(2).then_some(seed),
        region: "one",
        distances: &RegionDistances::default(),
        weights: &RegionWeights::default(),
        homes: &[],
        evacuated: &BTreeSet::new(),
        versions: VersionRule::Any,
        tried,
        near: false,
        usual_ms: 100.0,
        first_ms: 300.0,
        patience_ms: 1_000.0,
        cold_share: ColdShare {
            all_per_s: 20.0,
            hosts: 1,
            own_hash: 1,
            other_hashes: None,
        },
        leave_ms: LEAVE_MS,
        limits: &ServerLimitTable::default(),
        now: Moment(now),
    };
    choice::choose(&query, &mut SmallRng::seed_from_u64(seed))
}

/// All servers that requests about any objects are offered to.
fn offered(fleet: &Fleet, tried: &[&str], now: u64) -> BTreeSet<String> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let choices = (0..DRAWS).map(|seed| choose(fleet, &tried, now, seed));
    let offers = choices.filter_map(|choice| match choice {
        ServerChoice::Offer(chosen) => Some(chosen.server.id.to_string()),
        ServerChoice::Refuse { .. } => None,
    });
    offers.collect()
}

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

fn leave(server: &FleetServer, now: u64) {
    assert!(server.change_notice(|notice| notice.on_leaving(Moment(now))));
}

fn rest(server: &FleetServer, now: u64, until: u64) {
    server.change_notice(|notice| notice.on_rest(Moment(until), Moment(now)));
}

#[test]
fn a_server_that_leaves_is_passed_over_beside_others() {
    let fleet = fleet_of(&["a", "b", "c"]);
    leave(server(&fleet, "a"), 10);
    assert_eq!(offered(&fleet, &[], 20), ids(&["b", "c"]));
}

#[test]
fn servers_that_all_leave_serve_for_half_of_their_time() {
    let fleet = fleet_of(&["a", "b"]);
    leave(server(&fleet, "a"), 0);
    leave(server(&fleet, "b"), 0);
    assert_eq!(offered(&fleet, &[], LEAVE_MS / 2 - 1), ids(&["a", "b"]));
    assert_eq!(offered(&fleet, &[], LEAVE_MS / 2), ids(&[]));
}

#[test]
fn no_list_of_the_store_brings_a_server_that_leaves_back() {
    let mut fleet = fleet_of(&["a", "b"]);
    leave(server(&fleet, "a"), 0);
    list(&mut fleet, &[object("a", 7, 1), object("b", 1, 1)], 8);
    assert_eq!(offered(&fleet, &[], 10), ids(&["b"]));
}

#[test]
fn a_server_that_leaves_does_not_come_back_when_its_entry_lapses_and_returns() {
    let mut fleet = fleet_of(&["a", "b"]);
    leave(server(&fleet, "a"), 0);
    list(&mut fleet, &[object("b", 1, 1)], 9);
    list(&mut fleet, &[object("a", 10, 1), object("b", 1, 1)], 10);
    assert_eq!(
        server(&fleet, "a").standing(LEAVE_MS, Moment(10_000)),
        ServerStanding::Closed
    );
}

#[test]
fn another_start_of_a_server_that_left_serves() {
    let mut fleet = fleet_of(&["a", "b"]);
    leave(server(&fleet, "a"), 0);
    list(&mut fleet, &[object("a", 7, 2), object("b", 1, 1)], 8);
    assert_eq!(offered(&fleet, &[], 10), ids(&["a", "b"]));
}

#[test]
fn a_server_that_rests_is_passed_over_until_its_time_is_over() {
    let fleet = fleet_of(&["a", "b"]);
    rest(server(&fleet, "a"), 0, 3_000);
    assert_eq!(offered(&fleet, &[], 2_999), ids(&["b"]));
    assert_eq!(offered(&fleet, &[], 3_000), ids(&["a", "b"]));
}

#[test]
fn a_later_word_lengthens_a_rest_and_never_shortens_it() {
    let fleet = fleet_of(&["a", "b"]);
    rest(server(&fleet, "a"), 0, 3_000);
    rest(server(&fleet, "a"), 100, 600);
    assert_eq!(offered(&fleet, &[], 2_999), ids(&["b"]));
    rest(server(&fleet, "a"), 200, 4_000);
    assert_eq!(offered(&fleet, &[], 3_999), ids(&["b"]));
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_rest() {
    let fleet = fleet_of(&["a", "b"]);
    rest(server(&fleet, "a"), 0, 3_000);
    server(&fleet, "a").on_success(Moment(50));
    assert_eq!(offered(&fleet, &[], 60), ids(&["b"]));
}

#[test]
fn a_server_that_has_rested_gets_one_request_at_a_time_until_it_answers() {
    let fleet = fleet_of(&["a", "b"]);
    let rested = server(&fleet, "a");
    rest(rested, 0, 3_000);
    rested.change_notice(|notice| notice.on_sent(Moment(3_000)));
    assert_eq!(offered(&fleet, &[], 3_100), ids(&["b"]));
    rested.on_success(Moment(3_200));
    rested.change_notice(|notice| notice.on_sent(Moment(3_250)));
    assert_eq!(offered(&fleet, &[], 3_300), ids(&["a", "b"]));
}

#[test]
fn a_server_that_has_rested_is_tried_again_when_the_trial_brings_no_answer() {
    let fleet = fleet_of(&["a", "b"]);
    rest(server(&fleet, "a"), 0, 3_000);
    server(&fleet, "a").change_notice(|notice| notice.on_sent(Moment(3_000)));
    assert_eq!(offered(&fleet, &[], 3_999), ids(&["b"]));
    assert_eq!(offered(&fleet, &[], 4_000), ids(&["a", "b"]));
}

/// A large answer may take longer than any rest.
#[test]
fn a_request_from_before_a_rest_does_not_keep_others_away_after_it() {
    let fleet = fleet_of(&["a", "b"]);
    server(&fleet, "a").begin();
    rest(server(&fleet, "a"), 0, 3_000);
    assert_eq!(offered(&fleet, &[], 3_100), ids(&["a", "b"]));
}

#[test]
fn a_request_that_was_turned_away_is_no_trial_of_a_server_that_has_rested() {
    let fleet = fleet_of(&["a", "b", "c"]);
    rest(server(&fleet, "a"), 0, 3_000);
    assert_eq!(offered(&fleet, &["b"], 3_100), ids(&["c"]));
    assert_eq!(offered(&fleet, &["b", "c"], 3_100), ids(&["a"]));
}

#[test]
fn when_all_rest_callers_come_back_after_the_first_rest_and_apart() {
    let fleet = fleet_of(&["a", "b"]);
    rest(server(&fleet, "a"), 0, 3_000);
    rest(server(&fleet, "b"), 0, 5_000);
    let come_back = (0..DRAWS).map(|seed| match choose(&fleet, &[], 1_000, seed) {
        ServerChoice::Refuse {
            reason: NoServer::AllLimited,
            come_back_ms,
            ..
        } => come_back_ms,
        other => panic!("{other:?}"),
    });
    let come_back: Vec<u64> = come_back.collect();
    let earliest = come_back.iter().min().expect("some");
    let latest = come_back.iter().max().expect("some");
    assert!(*earliest >= 2_000, "{earliest}");
    assert!(*latest < 4_000 && latest > earliest, "{earliest} {latest}");
}

#[test]
fn a_server_that_leaves_does_not_count_as_one_that_takes_requests_later() {
    let fleet = fleet_of(&["a"]);
    rest(server(&fleet, "a"), 0, 3_000);
    leave(server(&fleet, "a"), 10);
    assert!(matches!(
        choose(&fleet, &[], 20, 1),
        ServerChoice::Refuse {
            reason: NoServer::NoneFit,
            ..
        }
    ));
}
