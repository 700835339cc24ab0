//! Routes and the choice of a server.

use std::collections::BTreeSet;

use ledgespool::entry::budget::ColdShare;
use ledgespool::entry::choice::{
    self, ChoiceQuery, HOME_PLACES, NoServer, OPEN_PLACES, ServerChoice,
};
use ledgespool::entry::configuration::{
    CallerLimits, RequestKind, RouteRule, RouteTable, ServiceConfiguration, ServiceShare,
};
use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::hash;
use ledgespool::entry::region_distance::RegionDistances;
use ledgespool::entry::region_shares::{RegionRoom, RegionWeights};
use ledgespool::entry::server::{ServerLoad, ServerRecord, ServerState};
use ledgespool::entry::server_limit::rate::AdvertisedLimit;
use ledgespool::entry::server_limit::table::ServerLimitTable;
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectContent, StoredObject};
use ledgespool::rollout::order::VersionTag;
use ledgespool::rollout::plan::VersionRule;
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
            }),
        })
        .collect();
    let mut fleet = Fleet::default();
    fleet.on_list(&objects, 1, MissingSource::Store, &halls, Moment(0));
    fleet
}

struct Asked<'a> {
    distances: &'a RegionDistances,
    weights: &'a RegionWeights,
    fleet: &'a Fleet,
    object: Option<u64>,
    homes: &'a [String],
    evacuated: &'a BTreeSet<String>,
    tried: &'a [String],
    limits: &'a ServerLimitTable,
}

fn query<'a>(asked: &Asked<'a>) -> ChoiceQuery<'a> {
    ChoiceQuery {
        servers: asked.fleet.of_service("desk"),
        object: asked.object,
        region: "one",
        distances: asked.distances,
        weights: asked.weights,
        homes: asked.homes,
        evacuated: asked.evacuated,
        versions: VersionRule::Any,
        tried: asked.tried,
        near: false,
        usual_ms: 100.0,
        first_ms: 300.0,
        patience_ms: 400.0,
        cold_share: ColdShare {
            all_per_s: 20.0,
            hosts: 1,
            own_hash: 1,
            other_hashes: None,
        },
        leave_ms: 2_000,
        limits: asked.limits,
        now: Moment(0),
    }
}

fn choose(asked: &Asked<'_>) -> ServerChoice {
    choice::choose(&query(asked), &mut SmallRng::seed_from_u64(5))
}

/// The plain version of the rank: every server's, sorted.
fn plain_rank(query: &ChoiceQuery<'_>, object: u64) -> Vec<String> {
    let home = plain_order(query, object, |region| query.weights.of(region));
    let open = plain_order(query, object, |_region| 1.0);
    let mut ranked: Vec<String> = home.into_iter().take(HOME_PLACES).collect();
    let others = open.into_iter().filter(|id| !ranked.contains(id));
    let others: Vec<String> = others.take(OPEN_PLACES).collect();
    ranked.extend(others);
    ranked
}

/// All servers in the order of their ranks.
fn plain_order(
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
            let drawn = hash::mix(object ^ server.hash) >> 11;
            let drawn = (drawn as f64 + 1.0) / (1_u64 << 53) as f64;
            let far = query.near && *server.region != *query.region;
            (
                far,
                -drawn.ln() / (f64::from(server.slots) * weight_of(&server.region)),
                server.id.to_string(),
            )
        })
        .collect();
    ranks.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranks.into_iter().map(|(_, _, id)| id).collect()
}

fn chosen(asked: &Asked<'_>) -> Option<String> {
    match choose(asked) {
        ServerChoice::Offer(chosen) => Some(chosen.server.id.to_string()),
        ServerChoice::Refuse { .. } => None,
    }
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let found = |host, path| table.route_of(host, path).map(|route| route.name.clone());
    assert_eq!(found("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("a.example", "/x/yy").as_deref(), Some("short"));
    assert_eq!(found("a.example", "/y/"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn shares_are_laid_end_to_end() {
    let route = route("r", "a", "/");
    assert_eq!(route.service_at(0.0), Some("desk"));
    assert_eq!(route.service_at(0.899), Some("desk"));
    assert_eq!(route.service_at(0.901), Some("vault"));
    assert_eq!(route.service_at(0.999_999), Some("vault"));
}

#[test]
fn an_object_keeps_its_server_and_moves_on_only_when_it_is_full() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let asked = Asked {
        distances: &RegionDistances::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(7),
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    let first = chosen(&asked).expect("a server");
    assert_eq!(chosen(&asked).as_deref(), Some(first.as_str()));
    let server = fleet
        .of_service("desk")
        .iter()
        .find(|server| *server.id == *first);
    let server = server.expect("the chosen one");
    server.on_load(
        ServerLoad {
            running: 3,
            waiting: 9,
            slots: 3,
        },
        Moment(0),
    );
    assert_ne!(chosen(&asked).as_deref(), Some(first.as_str()));
}

/// A first run costs those behind it: a server that knows the object is preferred to an idle one
/// that does not, as long as its answer comes in time.
#[test]
fn a_short_wait_at_a_server_that_knows_the_object_beats_a_first_run() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let asked = Asked {
        distances: &RegionDistances::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(7),
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    let first = chosen(&asked).expect("a server");
    let server = fleet
        .of_service("desk")
        .iter()
        .find(|server| *server.id == *first);
    // Four requests ahead of three slots: 133 ms of wait and 100 of work, against 300 of a first
    // run on an idle server.
    let load = ServerLoad {
        running: 3,
        waiting: 3,
        slots: 3,
    };
    server.expect("the chosen one").on_load(load, Moment(0));
    let patient = ChoiceQuery {
        patience_ms: 500.0,
        first_ms: 200.0,
        ..query(&asked)
    };
    match choice::choose(&patient, &mut SmallRng::seed_from_u64(5)) {
        ServerChoice::Offer(chosen) => assert_eq!(*chosen.server.id, *first),
        ServerChoice::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

fn room(region: &str, hosts: u32, slots: u32) -> RegionRoom {
    RegionRoom {
        region: region.to_owned(),
        hosts,
        slots,
    }
}

/// With weights, a region's objects stay on its own servers; the places behind the first do not.
#[test]
fn a_region_with_room_keeps_its_objects_and_has_alternatives_elsewhere() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let weights = RegionWeights::for_region("one", &[room("one", 3, 36), room("two", 3, 36)]);
    let mut elsewhere = 0;
    for object in 0..200 {
        let asked = Asked {
            distances: &RegionDistances::default(),
            weights: &weights,
            fleet: &fleet,
            object: Some(object),
            homes: &[],
            evacuated: &none,
            tried: &[],
            limits: &ServerLimitTable::default(),
        };
        let ranked = choice::rank_by_object(&query(&asked), object);
        let regions: Vec<&str> = ranked.iter().map(|server| &*server.region).collect();
        // A weight of 0.02 is left to the other region.
        elsewhere += usize::from(regions[0] != "one");
        assert_eq!(ranked.len(), HOME_PLACES + OPEN_PLACES);
    }
    assert!(elsewhere <= 10, "{elsewhere} of 200");
}

#[test]
fn one_long_answer_does_not_make_a_server_slow_and_two_do() {
    let fleet = fleet(1);
    let server = &fleet.of_service("desk")[0];
    server.on_pace(1.0, Moment(0));
    server.on_pace(9.0, Moment(1));
    assert!(server.pace(Moment(1)) < 1.01);
    server.on_pace(9.0, Moment(2));
    assert!(server.pace(Moment(2)) > 2.0);
}

#[test]
fn homes_evacuated_halls_and_tried_servers_are_kept_to() {
    let fleet = fleet(24);
    let none = BTreeSet::new();
    let home = ["two".to_owned()];
    for object in 0..200 {
        let asked = Asked {
            distances: &RegionDistances::default(),
            weights: &RegionWeights::default(),
            fleet: &fleet,
            object: Some(object),
            homes: &home,
            evacuated: &none,
            tried: &[],
            limits: &ServerLimitTable::default(),
        };
        let id = chosen(&asked).expect("a server");
        let server = fleet
            .of_service("desk")
            .iter()
            .find(|server| *server.id == *id);
        assert_eq!(server.map(|server| &*server.region), Some("two"));
    }
    let both: BTreeSet<String> = ["east".to_owned(), "west".to_owned()].into();
    let asked = Asked {
        distances: &RegionDistances::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(1),
        homes: &[],
        evacuated: &both,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    assert!(matches!(
        choose(&asked),
        ServerChoice::Refuse {
            reason: NoServer::NoneFit,
            ..
        }
    ));
    let asked = Asked {
        distances: &RegionDistances::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: Some(1),
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &ServerLimitTable::default(),
    };
    let first = [chosen(&asked).expect("a server")];
    let asked = Asked {
        tried: &first,
        ..asked
    };
    assert_ne!(chosen(&asked).as_deref(), Some(first[0].as_str()));
}

#[test]
fn when_all_are_full_the_request_is_refused_with_a_time() {
    let fleet = fleet(6);
    for server in fleet.of_service("desk") {
        server.on_load(
            ServerLoad {
                running: 3,
                waiting: 30,
                slots: 3,
            },
            Moment(0),
        );
    }
    let none = BTreeSet::new();
    for object in [Some(3), None] {
        let asked = Asked {
            distances: &RegionDistances::default(),
            weights: &RegionWeights::default(),
            fleet: &fleet,
            object,
            homes: &[],
            evacuated: &none,
            tried: &[],
            limits: &ServerLimitTable::default(),
        };
        match choose(&asked) {
            ServerChoice::Refuse {
                reason,
                come_back_ms,
                free_slots,
            } => {
                assert_eq!((reason, free_slots), (NoServer::AllFull, 0));
                assert!((50..=150).contains(&come_back_ms), "{come_back_ms}");
            }
            ServerChoice::Offer(chosen) => panic!("offered to {}", chosen.server.id),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    /// An object moves only if its own server leaves, and then to its next in rank.
    #[test]
    fn other_servers_coming_and_going_moves_no_object(object in any::<u64>(), gone in 0_usize..24) {
        let whole = fleet(24);
        let none = BTreeSet::new();
        let asked = Asked {
            distances: &RegionDistances::default(),
            weights: &RegionWeights::default(),
            fleet: &whole,
            object: Some(object),
            homes: &[],
            evacuated: &none,
                tried: &[],
            limits: &ServerLimitTable::default(),
        };
        let first = chosen(&asked).expect("a server");
        let leaver = [format!("i-{gone:03}")];
        let after = chosen(&Asked { tried: &leaver, ..asked }).expect("a server");
        if leaver[0] != first {
            prop_assert_eq!(after, first);
        }
    }

    /// The servers that are passed over unranked would not have been among the first.
    #[test]
    fn the_first_in_rank_are_those_of_the_plain_version(
        object in any::<u64>(),
        slots in proptest::collection::vec(1_u32..20, 1..120),
        evacuate in any::<bool>(),
        near in any::<bool>(),
        tried in 0_usize..120,
        hosts in (0_u32..9, 0_u32..9),
    ) {
        let whole = fleet_with_slots(&slots);
        let weights = RegionWeights::for_region("one", &[room("one", hosts.0, 30), room("two", hosts.1, 60)]);
        let evacuated: BTreeSet<String> = evacuate.then(|| "west".to_owned()).into_iter().collect();
        let tried = [format!("i-{tried:03}")];
        let asked = Asked {
            distances: &RegionDistances::default(),
            weights: &weights,
            fleet: &whole,
            object: Some(object),
            homes: &[],
            evacuated: &evacuated,
                tried: &tried,
            limits: &ServerLimitTable::default(),
        };
        let query = ChoiceQuery { near, ..query(&asked) };
        let ranked = choice::rank_by_object(&query, object);
        let ranked: Vec<String> = ranked.iter().map(|server| server.id.to_string()).collect();
        prop_assert_eq!(ranked, plain_rank(&query, object));
    }

    /// Every region's servers get the same share of their slots, and own objects go far only for want
    /// of room.
    #[test]
    fn regions_are_equally_busy(hosts in proptest::collection::vec(1_u32..30, 3), slots in proptest::collection::vec(1_u32..90, 3)) {
        let names = ["a", "b", "c"];
        let rooms: Vec<RegionRoom> = (0..3).map(|place| room(names[place], hosts[place], slots[place])).collect();
        let all_hosts = f64::from(hosts.iter().sum::<u32>());
        let all_slots = f64::from(slots.iter().sum::<u32>());
        let mut work = [0.0; 3];
        for own in 0..3 {
            let weights = RegionWeights::for_region(names[own], &rooms);
            let demand = f64::from(hosts[own]) / all_hosts;
            for at in 0..3 {
                let supply = f64::from(slots[at]) / all_slots;
                work[at] += demand * weights.of(names[at]) * supply;
                if at == own {
                    let stays = (supply / demand).min(1.0);
                    prop_assert!((weights.of(names[at]) * supply - stays).abs() < 1e-9 + 0.02 * supply);
                }
            }
        }
        for at in 0..3 {
            let supply = f64::from(slots[at]) / all_slots;
            // The least weight adds up to 0.02 from each of two other regions.
            prop_assert!((work[at] / supply - 1.0).abs() < 0.041, "{} of {}", work[at], supply);
        }
    }

    /// The plain version of the choice on idle servers: the lowest of all ranks. Compared by
    /// leaving out what was chosen before: that gives the same order as a full sort would.
    #[test]
    fn servers_are_tried_in_one_order(object in any::<u64>()) {
        let whole = fleet(9);
        let none = BTreeSet::new();
        let mut tried: Vec<String> = Vec::new();
        for _ in 0..9 {
            let asked = Asked {
                distances: &RegionDistances::default(),
            weights: &RegionWeights::default(),
            fleet: &whole,
                object: Some(object),
                homes: &[],
                evacuated: &none,
                        tried: &tried,
                limits: &ServerLimitTable::default(),
            };
            let next = chosen(&asked).expect("a server");
            prop_assert!(!tried.contains(&next));
            tried.push(next);
        }
        prop_assert!(tried.len() >= HOME_PLACES + OPEN_PLACES);
    }
}

/// A server at its limit is passed over, and who finds none other hears when one may take a request.
#[test]
fn a_server_without_rights_is_passed_over_until_one_may_be_had() {
    let fleet = fleet(2);
    let none = BTreeSet::new();
    let servers = fleet.of_service("desk");
    let mut limits = ServerLimitTable::default();
    let limit = AdvertisedLimit::from_texts(std::iter::once("2"));
    for server in servers {
        limits.on_answer(server.start_hash, limit, None, true, Moment(0));
    }
    limits.on_denied(servers[0].start_hash, 700, Moment(0));
    let asked = Asked {
        distances: &RegionDistances::default(),
        weights: &RegionWeights::default(),
        fleet: &fleet,
        object: None,
        homes: &[],
        evacuated: &none,
        tried: &[],
        limits: &limits,
    };
    assert_eq!(chosen(&asked).expect("a server"), servers[1].id.to_string());
    let mut both = ServerLimitTable::default();
    for (server, wait_ms) in servers.iter().zip([700, 400]) {
        both.on_answer(server.start_hash, limit, None, true, Moment(0));
        both.on_denied(server.start_hash, wait_ms, Moment(0));
    }
    let refused = choose(&Asked {
        limits: &both,
        ..asked
    });
    // 50 to 150 ms more, so that those that were refused together come back apart.
    assert!(matches!(
        refused,
        ServerChoice::Refuse {
            reason: NoServer::AllLimited,
            come_back_ms: 450..=550,
            ..
        }
    ));
}
