//! Tests of route lookup and server selection.

use std::collections::BTreeSet;

use ledgespool::entry::budget::ColdShare;
use ledgespool::entry::choice::{
    self, ChoiceQuery, GLOBAL_CANDIDATES, HOME_CANDIDATES, NoServer, ServerChoice,
};
use ledgespool::entry::configuration::{
    CallerLimits, RequestKind, RouteRule, RouteTable, ServiceConfiguration, ServiceShare,
};
use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::hash;
use ledgespool::entry::region_latency::RegionLatencies;
use ledgespool::entry::region_weights::{RegionCapacity, RegionWeights};
use ledgespool::entry::server::{ServerLoad, ServerRecord, ServerState};
use ledgespool::entry::server_limit::rate::AdvertisedLimit;
use ledgespool::entry::server_limit::table::ServerLimitTable;
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectContent, StoredObject};
use ledgespool::rollout::plan::VersionRule;
use ledgespool::rollout::spec::VersionTag;
use ledgespool::timer::Moment;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        goal_ms: 400,
        priority: 0,
        attempts: 2,
        sticky: true,
        shares: vec![
            ServiceShare {
                service: "desk".to_owned(),
                weight: 90.0,
            },
            ServiceShare {
                service: "vault".to_owned(),
                weight: 10.0,
            },
        ],
        homes: Vec::new(),
        public: false,
    }
}

fn table(routes: Vec<RouteRule>) -> RouteTable {
    RouteTable::from_configuration(ServiceConfiguration {
        version: 1,
        routes: routes.into_iter().map(std::rc::Rc::new).collect(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_ms: 1,
            idle_ms: 1,
        },
        customers: None,
        has_unread_customers: false,
        faults: Vec::new(),
    })
}

fn fleet(count: usize) -> Fleet {
    fleet_with_slots(&vec![3; count])
}

fn fleet_with_slots(slots: &[u32]) -> Fleet {
    let halls: HallMap = [("east", "one"), ("west", "two")]
        .map(|(hall, region)| (hall.to_owned(), region.to_owned()))
        .into_iter()
        .collect();
    let objects: Vec<StoredObject> = slots
        .iter()
        .enumerate()
        .map(|(number, slots)| StoredObject {
            name: format!("i-{number:03}"),
            revision: 1,
            content: ObjectContent::Server(ServerRecord {
                id: format!("i-{number:03}"),
                born: None,
                service: "desk".to_owned(),
                address: "127.0.0.1:9".parse().expect("an address"),
                hall: if number % 2 == 0 { "east" } else { "west" }.to_owned(),
                version: VersionTag::of_name("v1"),
                slots: *slots,
                state: ServerState::Ready,
                cold_ms: 0,
                sequence: None,
            }),
        })
        .collect();
    let mut fleet = Fleet::default();
    fleet.on_list(&objects, 1, MissingSource::Store, &halls, Moment(0));
    fleet
}

struct QueryInput<'a> {
    latencies: &'a RegionLatencies,
    weights: &'a RegionWeights,
    fleet: &'a Fleet,
    object: Option<u64>,
    homes: &'a [String],
    evacuated: &'a BTreeSet<String>,
    tried: &'a [String],
    limits: &'a ServerLimitTable,
}

fn query<'a>(input: &QueryInput<'a>) -> ChoiceQuery<'a> {
    ChoiceQuery {
        servers: input.fleet.of_service("desk"),
        object: input.object,
        hall: "hall-0",
        region: "one",
        latencies: input.latencies,
        weights: input.weights,
        halls: None,
        homes: input.homes,
        evacuated: input.evacuated,
        versions: VersionRule::Any,
        tried: input.tried,
        prefer_local: false,
        typical_ms: 100.0,
        cache_miss_ms: 300.0,
        service_time_ms: 100.0,
        reserved_share: 0.0,
        goal_left_ms: 400.0,
        deadline_left_ms: 800.0,
        cold_share: ColdShare {
            total_per_s: 20.0,
            hosts: 1,
            own_hash: 1,
            other_hashes: None,
        },
        leave_ms: 2_000,
        limits: input.limits,
        now: Moment(0),
    }
}

fn choose(input: &QueryInput<'_>) -> ServerChoice {
    choice::choose(&query(input), &mut SmallRng::seed_from_u64(5))
}

/// Reference implementation of the ranking: ranks all servers and sorts them.
fn reference_rank(query: &ChoiceQuery<'_>, object: u64) -> Vec<String> {
    let home = reference_order(query, object, |region| query.weights.of(region));
    let open = reference_order(query, object, |_region| 1.0);
    let mut ranked: Vec<String> = home.into_iter().take(HOME_CANDIDATES).collect();
    let others = open.into_iter().filter(|id| !ranked.contains(id));
    let others: Vec<String> = others.take(GLOBAL_CANDIDATES).collect();
    ranked.extend(others);
    ranked
}

/// All servers sorted by rank.
fn reference_order(
    query: &ChoiceQuery<'_>,
    object: u64,
    weight_of: impl Fn(&str) -> f64,
) -> Vec<String> {
    let mut ranks: Vec<(bool, f64, String)> = query
        .servers
        .iter()
        .filter(|server| !query.evacuated.contains(&*server.hall))
        .filter(|server| !query.tried.iter().any(|id| **id == *server.id))
        .map(|server| {
            let sample = hash::mix(object ^ server.hash) >> 11;
            let sample = (sample as f64 + 1.0) / (1_u64 << 53) as f64;
            let is_remote = query.prefer_local && *server.region != *query.region;
            (
                is_remote,
                -sample.ln() / (f64::from(server.slots) * weight_of(&server.region)),
                server.id.to_string(),
            )
        })
        .collect();
    ranks.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranks.into_iter().map(|(_, _, id)| id).collect()
}

fn chosen(input: &QueryInput<'_>) -> Option<String> {
    match choose(input) {
        ServerChoice::Selected(chosen) => Some(chosen.server.id.to_string()),
        ServerChoice::Refuse { .. } => None,
    }
}

#[test]
fn finds_the_route_with_the_longest_prefix() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let found = |host, path| table.find_route(host, path).map(|route| route.name.clone());
    assert_eq!(found("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("a.example", "/x/yy").as_deref(), Some("short"));
    assert_eq!(found("a.example", "/y/"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn service_shares_are_cumulative() {
    let route = route("r", "a", "/");
    assert_eq!(route.service_at(0.0), Some("desk"));
    assert_eq!(route.service_at(0.899), Some("desk"));
    assert_eq!(route.service_at(0.901), Some("vault"));
    assert_eq!(route.service_at(0.999_999), Some("vault"));
}

#[test]
fn an_object_moves_only_when_its_server_is_full() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let input = QueryInput {
        latencies: &RegionLatencies::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(7),
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    let first = chosen(&input).expect("a server");
    assert_eq!(chosen(&input).as_deref(), Some(first.as_str()));
    let server = fleet
        .of_service("desk")
        .iter()
        .find(|server| *server.id == *first);
    let server = server.expect("the selected server");
    server.on_load_report(
        ServerLoad {
            running: 3,
            waiting: 9,
            slots: 3,
            pace: None,
        },
        Moment(0),
    );
    assert_ne!(chosen(&input).as_deref(), Some(first.as_str()));
}

/// A cache miss delays the requests behind it. A server that has the object cached is therefore
/// preferred to an idle one that does not, as long as its answer is in time.
#[test]
fn a_short_wait_for_a_cached_object_beats_a_cache_miss() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let input = QueryInput {
        latencies: &RegionLatencies::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(7),
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    let first = chosen(&input).expect("a server");
    let server = fleet
        .of_service("desk")
        .iter()
        .find(|server| *server.id == *first);
    // Four requests ahead of three slots: 133 ms of waiting and 100 ms of processing, against 300
    // ms for a cache miss on an idle server.
    let load = ServerLoad {
        running: 3,
        waiting: 3,
        slots: 3,
        pace: None,
    };
    server
        .expect("the selected server")
        .on_load_report(load, Moment(0));
    let patient = ChoiceQuery {
        goal_left_ms: 500.0,
        cache_miss_ms: 200.0,
        ..query(&input)
    };
    match choice::choose(&patient, &mut SmallRng::seed_from_u64(5)) {
        ServerChoice::Selected(chosen) => assert_eq!(*chosen.server.id, *first),
        ServerChoice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn capacity(region: &str, hosts: u32, slots: u32) -> RegionCapacity {
    RegionCapacity {
        region: region.to_owned(),
        hosts,
        slots,
    }
}

/// With region weights, a region's objects stay on its own servers; the candidates after the first
/// may be elsewhere.
#[test]
fn a_region_with_capacity_keeps_its_objects_and_has_alternatives_elsewhere() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let weights =
        RegionWeights::for_region("one", &[capacity("one", 3, 36), capacity("two", 3, 36)]);
    let mut remote_objects = 0;
    for object in 0..200 {
        let input = QueryInput {
            latencies: &RegionLatencies::default(),
            weights: &weights,
            fleet: &fleet,
            object: Some(object),
            homes: &[],
            evacuated: &none,
            tried: &[],
            limits: &ServerLimitTable::default(),
        };
        let ranked = choice::rank_by_object(&query(&input), object);
        let regions: Vec<&str> = ranked.iter().map(|server| &*server.region).collect();
        // The other region has the minimum weight of 0.02.
        remote_objects += usize::from(regions[0] != "one");
        assert_eq!(ranked.len(), HOME_CANDIDATES + GLOBAL_CANDIDATES);
    }
    assert!(remote_objects <= 10, "{remote_objects} of 200");
}

#[test]
fn two_consecutive_long_answers_make_a_server_slow() {
    let fleet = fleet(1);
    let server = &fleet.of_service("desk")[0];
    server.record_slowdown(1.0, Moment(0));
    server.record_slowdown(9.0, Moment(1));
    assert!(server.slowdown(Moment(1)) < 1.01);
    server.record_slowdown(9.0, Moment(2));
    assert!(server.slowdown(Moment(2)) > 2.0);
}

#[test]
fn respects_homes_evacuated_halls_and_tried_servers() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let home = ["two".to_owned()];
    for object in 0..200 {
        let input = QueryInput {
            latencies: &RegionLatencies::default(),
            weights: &RegionWeights::default(),
            fleet: &fleet,
            object: Some(object),
            homes: &home,
            evacuated: &none,
            tried: &[],
            limits: &ServerLimitTable::default(),
        };
        let id = chosen(&input).expect("a server");
        let server = fleet
            .of_service("desk")
            .iter()
            .find(|server| *server.id == *id);
        assert_eq!(server.map(|server| &*server.region), Some("two"));
    }
    let both: BTreeSet<String> = ["east".to_owned(), "west".to_owned()].into();
    let input = QueryInput {
        latencies: &RegionLatencies::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(1),
        homes: &[],
        evacuated: &both,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    assert!(matches!(
        choose(&input),
        ServerChoice::Refuse {
            reason: NoServer::NoneEligible,
            ..
        }
    ));
    let input = QueryInput {
        latencies: &RegionLatencies::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(1),
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    let first = [chosen(&input).expect("a server")];
    let input = QueryInput {
        tried: &first,
        ..input
    };
    assert_ne!(chosen(&input).as_deref(), Some(first[0].as_str()));
}

#[test]
fn a_request_is_refused_with_a_retry_time_when_all_servers_are_full() {
    let fleet = fleet(6);
    for server in fleet.of_service("desk") {
        server.on_load_report(
            ServerLoad {
                running: 3,
                waiting: 30,
                slots: 3,
                pace: None,
            },
            Moment(0),
        );
    }
    let none = BTreeSet::new();
    for object in [Some(3), None] {
        let input = QueryInput {
            latencies: &RegionLatencies::default(),
            weights: &RegionWeights::default(),
            fleet: &fleet,
            object,
            homes: &[],
            evacuated: &none,
            tried: &[],
            limits: &ServerLimitTable::default(),
        };
        match choose(&input) {
            ServerChoice::Refuse {
                reason,
                retry_after_ms,
                free_slots,
                earliest,
            } => {
                assert_eq!((reason, free_slots), (NoServer::AllFull, 0));
                let earliest = earliest.expect("servers were compared");
                assert!(
                    earliest.load >= 33.0 && earliest.wait_ms > 0.0,
                    "{earliest:?}"
                );
                assert!((50..=150).contains(&retry_after_ms), "{retry_after_ms}");
            }
            ServerChoice::Selected(chosen) => panic!("selected {}", chosen.server.id),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    /// An object moves only if its own server leaves, and then to the next server in rank.
    #[test]
    fn a_change_of_other_servers_moves_no_object(object in any::<u64>(), leaving_server in 0_usize..24) {
        let all_servers = fleet(24);
        let none = BTreeSet::new();
        let input = QueryInput {
            latencies: &RegionLatencies::default(),
            weights: &RegionWeights::default(),
            fleet: &all_servers,
            object: Some(object),
            homes: &[],
            evacuated: &none,
                tried: &[],
            limits: &ServerLimitTable::default(),
        };
        let first = chosen(&input).expect("a server");
        let leaving = [format!("i-{leaving_server:03}")];
        let after = chosen(&QueryInput { tried: &leaving, ..input }).expect("a server");
        if leaving[0] != first {
            prop_assert_eq!(after, first);
        }
    }

    /// The servers that are skipped without computing their ranks would not be among the first.
    #[test]
    fn ranking_matches_the_reference(
        object in any::<u64>(),
        slots in proptest::collection::vec(1_u32..20, 1..120),
        evacuate in any::<bool>(),
        prefer_local in any::<bool>(),
        tried in 0_usize..120,
        hosts in (0_u32..9, 0_u32..9),
    ) {
        let all_servers = fleet_with_slots(&slots);
        let weights = RegionWeights::for_region("one", &[capacity("one", hosts.0, 30), capacity("two", hosts.1, 60)]);
        let evacuated: BTreeSet<String> = evacuate.then(|| "west".to_owned()).into_iter().collect();
        let tried = [format!("i-{tried:03}")];
        let input = QueryInput {
            latencies: &RegionLatencies::default(),
            weights: &weights,
            fleet: &all_servers,
            object: Some(object),
            homes: &[],
            evacuated: &evacuated,
                tried: &tried,
            limits: &ServerLimitTable::default(),
        };
        let query = ChoiceQuery { prefer_local, ..query(&input) };
        let ranked = choice::rank_by_object(&query, object);
        let ranked: Vec<String> = ranked.iter().map(|server| server.id.to_string()).collect();
        prop_assert_eq!(ranked, reference_rank(&query, object));
    }

    /// The servers of every region get the same share of their slots, and objects leave their
    /// region only if its capacity is too small.
    #[test]
    fn regions_are_equally_busy(hosts in proptest::collection::vec(1_u32..30, 3), slots in proptest::collection::vec(1_u32..90, 3)) {
        let names = ["a", "b", "c"];
        let capacities: Vec<RegionCapacity> = (0..3).map(|place| capacity(names[place], hosts[place], slots[place])).collect();
        let all_hosts = f64::from(hosts.iter().sum::<u32>());
        let all_slots = f64::from(slots.iter().sum::<u32>());
        let mut work = [0.0; 3];
        for own in 0..3 {
            let weights = RegionWeights::for_region(names[own], &capacities);
            let demand = f64::from(hosts[own]) / all_hosts;
            for at in 0..3 {
                let supply = f64::from(slots[at]) / all_slots;
                work[at] += demand * weights.of(names[at]) * supply;
                if at == own {
                    let expected_fraction = (supply / demand).min(1.0);
                    prop_assert!((weights.of(names[at]) * supply - expected_fraction).abs() < 1e-9 + 0.02 * supply);
                }
            }
        }
        for at in 0..3 {
            let supply = f64::from(slots[at]) / all_slots;
            // The minimum weight adds up to 0.02 from each of two other regions.
            prop_assert!((work[at] / supply - 1.0).abs() < 0.041, "{} of {}", work[at], supply);
        }
    }

    /// On idle servers the one with the lowest rank is selected. Excluding each selected server in
    /// turn must give every server exactly once, as sorting by rank does.
    #[test]
    fn excluding_tried_servers_selects_each_server_once(object in any::<u64>()) {
        let all_servers = fleet(9);
        let none = BTreeSet::new();
        let mut tried: Vec<String> = Vec::new();
        for _ in 0..9 {
            let input = QueryInput {
                latencies: &RegionLatencies::default(),
            weights: &RegionWeights::default(),
            fleet: &all_servers,
                object: Some(object),

                homes: &[],
                evacuated: &none,
                        tried: &tried,
                limits: &ServerLimitTable::default(),
            };
            let next = chosen(&input).expect("a server");
            prop_assert!(!tried.contains(&next));
            tried.push(next);
        }
        prop_assert!(tried.len() >= HOME_CANDIDATES + GLOBAL_CANDIDATES);
    }
}

/// A server at its limit is skipped; if every server is, the retry-after time is when the first one
/// may accept a request.
#[test]
fn a_server_without_tokens_is_skipped_until_one_is_available() {
    let fleet = fleet(2);
    let none = BTreeSet::new();
    let servers = fleet.of_service("desk");
    let mut limits = ServerLimitTable::default();
    let limit = AdvertisedLimit::from_texts(std::iter::once("2"));
    for server in servers {
        limits.on_answer(server.incarnation_hash, limit, None, true, Moment(0));
    }
    limits.on_denied(servers[0].incarnation_hash, 700, Moment(0));
    let input = QueryInput {
        latencies: &RegionLatencies::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: None,
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &limits,
    };
    assert_eq!(chosen(&input).expect("a server"), servers[1].id.to_string());
    let mut both = ServerLimitTable::default();
    for (server, wait_ms) in servers.iter().zip([700, 400]) {
        both.on_answer(server.incarnation_hash, limit, None, true, Moment(0));
        both.on_denied(server.incarnation_hash, wait_ms, Moment(0));
    }
    let refused = choose(&QueryInput {
        limits: &both,
        ..input
    });
    // 50 to 150 ms more, so that requests refused together are not retried together.
    assert!(matches!(
        refused,
        ServerChoice::Refuse {
            reason: NoServer::AllLimited,
            retry_after_ms: 450..=550,
            ..
        }
    ));
}
