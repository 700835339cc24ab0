//! Tests how the selection of a server treats servers that are leaving or in backoff.

use std::collections::BTreeSet;

use ledgespool::entry::budget::ColdShare;
use ledgespool::entry::choice::{self, ChoiceQuery, NoServer, ServerChoice};
use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_server::FleetServer;
use ledgespool::entry::region_latency::RegionLatencies;
use ledgespool::entry::region_weights::RegionWeights;
use ledgespool::entry::server::{ServerRecord, ServerState};
use ledgespool::entry::server_limit::table::ServerLimitTable;
use ledgespool::entry::server_notice::ServerAvailability;
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectContent, StoredObject};
use ledgespool::rollout::plan::VersionRule;
use ledgespool::rollout::spec::VersionTag;
use ledgespool::timer::Moment;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const LEAVE_MS: u64 = 2_000;
/// Number of seeds per selection, enough to get every possible outcome.
const SEEDS: u64 = 200;

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
            sequence: None,
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
        hall: "hall-0",
        region: "one",
        latencies: &RegionLatencies::default(),
        weights: &RegionWeights::default(),
        halls: None,
        homes: &[],
        evacuated: &BTreeSet::new(),
        versions: VersionRule::Any,
        tried,
        prefer_local: false,
        typical_ms: 100.0,
        cache_miss_ms: 300.0,
        service_time_ms: 100.0,
        reserved_share: 0.0,
        goal_left_ms: 1_000.0,
        deadline_left_ms: 2_000.0,
        cold_share: ColdShare {
            total_per_s: 20.0,
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

/// All servers that are selected for requests with any object.
fn selected(fleet: &Fleet, tried: &[&str], now: u64) -> BTreeSet<String> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let choices = (0..SEEDS).map(|seed| choose(fleet, &tried, now, seed));
    let servers = choices.filter_map(|choice| match choice {
        ServerChoice::Selected(chosen) => Some(chosen.server.id.to_string()),
        ServerChoice::Refuse { .. } => None,
    });
    servers.collect()
}

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

fn announce_leaving(server: &FleetServer, now: u64) {
    assert!(server.change_notice(|notice| notice.on_leaving(Moment(now))));
}

fn back_off(server: &FleetServer, now: u64, until: u64) {
    server.change_notice(|notice| notice.on_backoff(Moment(until), Moment(now)));
}

#[test]
fn a_leaving_server_gets_no_requests_if_others_take_them() {
    let fleet = fleet_of(&["a", "b", "c"]);
    announce_leaving(server(&fleet, "a"), 10);
    assert_eq!(selected(&fleet, &[], 20), ids(&["b", "c"]));
}

#[test]
fn if_all_servers_are_leaving_they_serve_for_half_of_their_time() {
    let fleet = fleet_of(&["a", "b"]);
    announce_leaving(server(&fleet, "a"), 0);
    announce_leaving(server(&fleet, "b"), 0);
    assert_eq!(selected(&fleet, &[], LEAVE_MS / 2 - 1), ids(&["a", "b"]));
    assert_eq!(selected(&fleet, &[], LEAVE_MS / 2), ids(&[]));
}

#[test]
fn a_store_list_does_not_restore_a_leaving_server() {
    let mut fleet = fleet_of(&["a", "b"]);
    announce_leaving(server(&fleet, "a"), 0);
    list(&mut fleet, &[object("a", 7, 1), object("b", 1, 1)], 8);
    assert_eq!(selected(&fleet, &[], 10), ids(&["b"]));
}

#[test]
fn a_leaving_server_stays_closed_after_its_entry_expires_and_returns() {
    let mut fleet = fleet_of(&["a", "b"]);
    announce_leaving(server(&fleet, "a"), 0);
    list(&mut fleet, &[object("b", 1, 1)], 9);
    list(&mut fleet, &[object("a", 10, 1), object("b", 1, 1)], 10);
    assert_eq!(
        server(&fleet, "a").availability(LEAVE_MS, Moment(10_000)),
        ServerAvailability::Closed
    );
}

#[test]
fn a_new_incarnation_of_a_leaving_server_serves() {
    let mut fleet = fleet_of(&["a", "b"]);
    announce_leaving(server(&fleet, "a"), 0);
    list(&mut fleet, &[object("a", 7, 2), object("b", 1, 1)], 8);
    assert_eq!(selected(&fleet, &[], 10), ids(&["a", "b"]));
}

#[test]
fn a_server_gets_no_requests_until_its_backoff_ends() {
    let fleet = fleet_of(&["a", "b"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    assert_eq!(selected(&fleet, &[], 2_999), ids(&["b"]));
    assert_eq!(selected(&fleet, &[], 3_000), ids(&["a", "b"]));
}

#[test]
fn a_later_header_extends_a_backoff_and_never_shortens_it() {
    let fleet = fleet_of(&["a", "b"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    back_off(server(&fleet, "a"), 100, 600);
    assert_eq!(selected(&fleet, &[], 2_999), ids(&["b"]));
    back_off(server(&fleet, "a"), 200, 4_000);
    assert_eq!(selected(&fleet, &[], 3_999), ids(&["b"]));
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_backoff() {
    let fleet = fleet_of(&["a", "b"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    server(&fleet, "a").on_success(Moment(50));
    assert_eq!(selected(&fleet, &[], 60), ids(&["b"]));
}

#[test]
fn after_a_backoff_a_server_gets_one_request_at_a_time_until_it_answers() {
    let fleet = fleet_of(&["a", "b"]);
    let server = server(&fleet, "a");
    back_off(server, 0, 3_000);
    server.change_notice(|notice| notice.on_sent(Moment(3_000)));
    assert_eq!(selected(&fleet, &[], 3_100), ids(&["b"]));
    server.on_success(Moment(3_200));
    server.change_notice(|notice| notice.on_sent(Moment(3_250)));
    assert_eq!(selected(&fleet, &[], 3_300), ids(&["a", "b"]));
}

#[test]
fn after_a_backoff_another_probe_follows_an_unanswered_one() {
    let fleet = fleet_of(&["a", "b"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    server(&fleet, "a").change_notice(|notice| notice.on_sent(Moment(3_000)));
    assert_eq!(selected(&fleet, &[], 3_999), ids(&["b"]));
    assert_eq!(selected(&fleet, &[], 4_000), ids(&["a", "b"]));
}

/// A large answer may take longer than a backoff, so a request that is still in flight is no probe.
#[test]
fn a_request_sent_before_a_backoff_does_not_block_others_after_it() {
    let fleet = fleet_of(&["a", "b"]);
    server(&fleet, "a").begin_request();
    back_off(server(&fleet, "a"), 0, 3_000);
    assert_eq!(selected(&fleet, &[], 3_100), ids(&["a", "b"]));
}

#[test]
fn a_retried_request_probes_a_server_after_its_backoff_only_as_last_choice() {
    let fleet = fleet_of(&["a", "b", "c"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    assert_eq!(selected(&fleet, &["b"], 3_100), ids(&["c"]));
    assert_eq!(selected(&fleet, &["b", "c"], 3_100), ids(&["a"]));
}

#[test]
fn if_all_servers_are_in_backoff_callers_retry_after_the_first_ends_at_different_times() {
    let fleet = fleet_of(&["a", "b"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    back_off(server(&fleet, "b"), 0, 5_000);
    let retry_after = (0..SEEDS).map(|seed| match choose(&fleet, &[], 1_000, seed) {
        ServerChoice::Refuse {
            reason: NoServer::AllLimited,
            retry_after_ms,
            ..
        } => retry_after_ms,
        other => panic!("{other:?}"),
    });
    let retry_after: Vec<u64> = retry_after.collect();
    let earliest = retry_after.iter().min().expect("some");
    let latest = retry_after.iter().max().expect("some");
    assert!(*earliest >= 2_000, "{earliest}");
    assert!(*latest < 4_000 && latest > earliest, "{earliest} {latest}");
}

#[test]
fn a_leaving_server_in_backoff_does_not_count_as_one_that_takes_requests_later() {
    let fleet = fleet_of(&["a"]);
    back_off(server(&fleet, "a"), 0, 3_000);
    announce_leaving(server(&fleet, "a"), 10);
    assert!(matches!(
        choose(&fleet, &[], 20, 1),
        ServerChoice::Refuse {
            reason: NoServer::NoneEligible,
            ..
        }
    ));
}
