//! Selects the backend server for a request, or the reason why no server gets it.
//!
//! On sticky routes, a server that recently processed the request's object answers several times
//! faster because it has the object cached. The object's key therefore ranks the servers (weighted
//! rendezvous hashing; Thaler and Ravishankar, 1998), and the first server in that order with free
//! capacity gets the request. Full servers are skipped, which bounds the load of each server
//! (consistent hashing with bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2018). All hosts of
//! a region compute the same ranking without communicating.
//!
//! A request that every server would answer too late is refused at once, because it would take the
//! place of a request that can still be served in time.

use std::{collections, rc};

use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom as _, index};

use super::attempt_record::ExpectedAnswer;
use super::budget;
use super::choice_refusal::{next_available_at, refuse, refuse_late, refuse_until};
use super::choice_spill;
use super::fleet_server::FleetServer;
use super::hash;
use super::region_latency::RegionLatencies;
use super::region_weights::RegionWeights;
use super::server_limit::table::ServerLimitTable;
use super::server_notice::ServerAvailability;
use crate::placement::hall_lists::{HallLists, RankedServer};
use crate::placement::hall_places::HallPlaces;
use crate::placement::rank_list::{self, RankList};
use crate::rollout::plan::VersionRule;
use crate::timer::Moment;

/// Number of top-ranked candidates selected by the regions' weights. An object's requests go to
/// them as long as they answer in time.
pub const HOME_CANDIDATES: usize = 1;
/// Number of further candidates ranked over the whole service, so that a busy region's objects find
/// free capacity elsewhere. With three, each alternative received an object so rarely that its
/// requests were cache misses (docs/DECISIONS-UNDER-LOAD.md).
pub const GLOBAL_CANDIDATES: usize = 2;
/// The same if the object has a first server in each hall, which are alternatives to each other.
/// Each further server costs cache misses, whose slots are missing for other requests.
const HALL_GLOBAL_CANDIDATES: usize = 1;
/// Number of servers compared on routes where objects do not matter.
const SAMPLED_SERVERS: usize = 4;
/// Cost of a cache miss to the requests behind it, as a multiple of its own duration. It is added
/// when a server without the object is compared with one that has it cached. A cache miss occupies
/// a slot several times as long as a hit, and also delays later requests for the same object.
const CACHE_MISS_COST_FACTOR: f64 = 2.0;
/// Number of servers in rank order that may get a cache miss that will be late. It is large enough
/// that some server caches a busy object, and small enough that cache misses do not take the slots
/// of other requests.
const LATE_CACHE_MISS_CANDIDATES: usize = 2;
/// Cost of leaving the first of several servers that have the object cached, as a multiple of the
/// typical time. A short wait is cheaper than an answer from another hall.
const SPILL_COST_FACTOR: f64 = 0.25;
/// Added to the rank of servers in other regions where answers should stay local; larger than any
/// rank that a server can have.
const REMOTE_RANK_PENALTY: f64 = u32::MAX as f64;
/// Number of servers sampled where objects do not matter, before all servers are searched.
const MAX_SAMPLE_TRIES: usize = 4 * SAMPLED_SERVERS;
/// A server that is slower than typical by at least this factor gets no late cache misses.
const SLOW_SERVER_FACTOR: f64 = 2.5;
/// The inputs of the server selection for one request.
#[derive(Debug)]
pub struct ChoiceQuery<'a> {
    /// The servers of the requested service.
    pub servers: &'a [rc::Rc<FleetServer>],
    /// Hash of the object's key, on a sticky route.
    pub object: Option<u64>,
    /// The hall of this host.
    pub hall: &'a str,
    /// The region of this host.
    pub region: &'a str,
    /// Round trip times to the regions.
    pub latencies: &'a RegionLatencies,
    /// Weights of each region's servers in the ranking of objects.
    pub weights: &'a RegionWeights,
    /// How the halls of the region share its servers, and requests that all ranked servers would
    /// answer late go to others; `None` if each object has one first server.
    pub halls: Option<&'a HallPlaces>,
    /// The only regions that may serve the request; empty if all may.
    pub homes: &'a [String],
    /// Evacuated halls, whose servers get no requests.
    pub evacuated: &'a collections::BTreeSet<String>,
    /// Identities of servers that must not be tried again.
    pub tried: &'a [String],
    /// The versions whose servers may get the request.
    pub versions: VersionRule,
    /// Whether servers in this host's region are preferred, because the request transfers many
    /// bytes.
    pub prefer_local: bool,
    /// Typical time of such a request on a server that has its object cached, in milliseconds.
    pub typical_ms: f64,
    /// Typical time of such a request on a server that does not have its object cached, in
    /// milliseconds.
    pub cache_miss_ms: f64,
    /// Mean time for which a request of any route holds a slot of the service's servers, in
    /// milliseconds.
    pub service_time_ms: f64,
    /// Share of each server's slots that this request must leave free for more urgent ones.
    pub reserved_share: f64,
    /// Time left until the route's goal, in milliseconds; a later answer counts as too late.
    pub goal_left_ms: f64,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_left_ms: f64,
    /// This host's share of the requests that a cold server may get within a second.
    pub cold_share: budget::ColdShare,
    /// How long a leaving server continues to serve at least, in milliseconds.
    pub leave_ms: u64,
    /// Limits that servers advertise, and their current state.
    pub limits: &'a ServerLimitTable,
    /// The current time.
    pub now: Moment,
}

/// Why no server gets a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// No server that may serve the request is available.
    NoneEligible,
    /// Every server would answer too late.
    AllFull,
    /// Every server that may serve the request has reached its limit or asked for a backoff.
    AllLimited,
}

/// The server selected for a request, with the expected answer.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// The server.
    pub server: rc::Rc<FleetServer>,
    /// The expected answer of this server.
    pub expected: ExpectedAnswer,
}

/// The result of a server selection.
#[derive(Debug)]
pub enum ServerChoice {
    /// Send the request to this server.
    Selected(ChosenServer),
    /// Refuse the request.
    Refuse {
        /// Why it is refused.
        reason: NoServer,
        /// When a retry may succeed, in milliseconds.
        retry_after_ms: u64,
        /// Free slots of the compared servers, as far as this host knows.
        free_slots: u32,
        /// The earliest of the answers expected, if servers were compared.
        earliest: Option<ExpectedAnswer>,
    },
}

/// Selects a server for a request.
pub fn choose(query: &ChoiceQuery<'_>, random: &mut SmallRng) -> ServerChoice {
    let mut ranked = find_candidates(query, ServerAvailability::Regular, random);
    if ranked.servers.is_empty() {
        ranked = find_candidates(query, ServerAvailability::LastResort, random);
    }
    if ranked.servers.is_empty() {
        return match next_available_at(query) {
            Some(available_at) => refuse_until(query, available_at, random),
            None => refuse(query, NoServer::NoneEligible, 0, random),
        };
    }
    let RankedServers { servers, cached } = ranked;
    let candidates = servers.into_iter().enumerate();
    let mut candidates: Vec<ChosenServer> = candidates
        .map(|(place, server)| expect_answer(query, server, place, place < cached))
        .collect();
    let selected = if query.halls.is_some() {
        choice_spill::select(query, &mut candidates, cached, random)
    } else {
        cheapest_candidate(query, &candidates).map(|place| candidates.swap_remove(place))
    };
    match selected {
        Some(chosen) => ServerChoice::Selected(chosen),
        None => refuse_late(query, &candidates, free_slots(&candidates), random),
    }
}

/// The servers that are compared.
#[derive(Debug, Default)]
struct RankedServers {
    servers: Vec<rc::Rc<FleetServer>>,
    /// Number of servers at the front that are assumed to have the object cached, because all hosts
    /// of a hall send its requests there.
    cached: usize,
}

/// The servers of this availability that are compared.
fn find_candidates(
    query: &ChoiceQuery<'_>,
    availability: ServerAvailability,
    random: &mut SmallRng,
) -> RankedServers {
    match query.object {
        Some(object) => rank(query, object, availability),
        None => RankedServers {
            servers: sample_servers(query, availability, random),
            cached: HOME_CANDIDATES,
        },
    }
}

/// Total free slots of all candidates, as far as this host knows.
fn free_slots(candidates: &[ChosenServer]) -> u32 {
    let free = candidates.iter().map(|candidate| {
        let free = f64::from(candidate.server.slots) - candidate.expected.load;
        // Between zero and the number of slots.
        free.max(0.0) as u32
    });
    free.sum()
}

/// Index of the candidate with the lowest cost, else of a candidate that gets a late cache miss;
/// `None` if every candidate would answer too late.
fn cheapest_candidate(query: &ChoiceQuery<'_>, candidates: &[ChosenServer]) -> Option<usize> {
    cheapest_if_in_time(query, candidates).or_else(|| {
        // A cache miss is allowed even if it will be late, because later requests for the same
        // object will not be.
        let mut late_candidates = candidates.iter().take(LATE_CACHE_MISS_CANDIDATES);
        late_candidates.position(|candidate| has_capacity(query, &candidate.server))
    })
}

/// Index of the candidate with the lowest cost; `None` if it would answer too late.
fn cheapest_if_in_time(query: &ChoiceQuery<'_>, candidates: &[ChosenServer]) -> Option<usize> {
    let cheapest = candidates
        .iter()
        .map(|candidate| cost_ms(query, &candidate.expected))
        .enumerate()
        .min_by(|a, b| a.1.total_cmp(&b.1));
    let (place, _cost) = cheapest?;
    (candidates[place].expected.total_ms() <= query.goal_left_ms).then_some(place)
}

pub(super) fn is_eligible(
    query: &ChoiceQuery<'_>,
    server: &FleetServer,
    availability: ServerAvailability,
) -> bool {
    !is_tried(query, server) && is_available(query, server, availability)
}

fn is_tried(query: &ChoiceQuery<'_>, server: &FleetServer) -> bool {
    query.tried.iter().any(|id| **id == *server.id)
}

/// Whether the server may get other requests like this one now.
fn is_available(
    query: &ChoiceQuery<'_>,
    server: &FleetServer,
    availability: ServerAvailability,
) -> bool {
    availability_for(query, server) == availability
        && query
            .limits
            .is_token_expected(server.incarnation_hash, query.now)
        && is_usable(query, server)
}

/// A request that another server refused is not used as the probe of a server whose backoff has
/// just ended, because this may be its last attempt.
fn availability_for(query: &ChoiceQuery<'_>, server: &FleetServer) -> ServerAvailability {
    let availability = server.availability(query.leave_ms, query.now);
    let is_retry = !query.tried.is_empty();
    match availability {
        ServerAvailability::Regular if is_retry && server.notice().needs_probe(query.now) => {
            ServerAvailability::LastResort
        }
        availability => availability,
    }
}

/// Whether the server may get the request once its limit and its backoff allow it.
pub(super) fn is_eligible_later(query: &ChoiceQuery<'_>, server: &FleetServer) -> bool {
    !is_tried(query, server) && is_usable(query, server)
}

fn is_usable(query: &ChoiceQuery<'_>, server: &FleetServer) -> bool {
    query.versions.allows(server.version)
        && !query.evacuated.contains(&*server.hall)
        && (query.homes.is_empty() || query.homes.iter().any(|home| **home == *server.region))
        && !server.is_ejected(query.now)
        && (!server.is_cold(query.now) || query.cold_share.allows(server, query.now))
}

/// The servers that may get an object's requests: first [`HOME_CANDIDATES`] by the weights of their
/// regions, then the first [`GLOBAL_CANDIDATES`] of the whole service that are not among them. If
/// halls have first servers of their own, these replace the home candidate; its region stays.
///
/// Each server has a pseudorandom sample between 0 and 1 for the object. Its rank is the negative
/// logarithm of the sample divided by the server's weight, so a server comes first with a
/// probability proportional to its weight. The weight is the number of slots; for the home
/// candidates it is multiplied by the region's weight.
#[must_use]
pub fn rank_by_object(query: &ChoiceQuery<'_>, object: u64) -> Vec<rc::Rc<FleetServer>> {
    rank(query, object, ServerAvailability::Regular).servers
}

fn rank(query: &ChoiceQuery<'_>, object: u64, availability: ServerAvailability) -> RankedServers {
    let max_slots = query.servers.iter().map(|server| server.slots).max();
    let max_slots = f64::from(max_slots.unwrap_or(1));
    let mut home = RankList::with_length(HOME_CANDIDATES, max_slots * query.weights.largest());
    // Longer by the candidates before them, because they may appear in this list too.
    let before = query
        .halls
        .map_or(HOME_CANDIDATES, |places| places.len() + query.tried.len());
    let mut global = RankList::with_length(before + global_candidates(query), max_slots);
    let mut halls = query
        .halls
        .map(|places| hall_lists(query, places, max_slots));
    for server in query.servers {
        let sample = hash::uniform(object ^ server.hash);
        let enters_hall = halls.as_ref().is_some_and(|halls| halls.can_enter(sample));
        if !(home.can_enter(sample) || global.can_enter(sample) || enters_hall)
            || !is_available(query, server, availability)
            || (halls.is_none() && is_tried(query, server))
        {
            continue;
        }
        let slots = f64::from(server.slots);
        let is_remote = query.prefer_local && *server.region != *query.region;
        // Remote servers rank behind all local ones.
        let penalty = if is_remote { REMOTE_RANK_PENALTY } else { 0.0 };
        let weight = slots * query.weights.of(&server.region);
        home.insert(rank_list::rank(sample, weight) + penalty, server);
        // A first server in each hall of the region is near; the alternative to them is anywhere.
        let global_penalty = if halls.is_some() { 0.0 } else { penalty };
        global.insert(rank_list::rank(sample, slots) + global_penalty, server);
        if let Some(halls) = &mut halls {
            halls.insert(&RankedServer {
                server,
                hall: &server.hall,
                region: &server.region,
                sample,
                slots,
            });
        }
    }
    merge_candidates(query, &home, &global, halls.as_ref())
}

const fn global_candidates(query: &ChoiceQuery<'_>) -> usize {
    if query.halls.is_some() {
        HALL_GLOBAL_CANDIDATES
    } else {
        GLOBAL_CANDIDATES
    }
}

/// Empty lists for the regions that may become the object's home.
fn hall_lists<'a>(
    query: &ChoiceQuery<'a>,
    places: &'a HallPlaces,
    max_slots: f64,
) -> HallLists<'a, &'a rc::Rc<FleetServer>> {
    let homes = query.homes.iter().map(String::as_str);
    let regions = query.weights.regions_with_share().chain(homes);
    HallLists::new(places, query.region, max_slots, regions)
}

/// Puts the servers with the object cached before the others, each server once. A tried server is
/// left out after the ranking, so that no server without the object takes its place.
fn merge_candidates(
    query: &ChoiceQuery<'_>,
    home: &RankList<&rc::Rc<FleetServer>>,
    global: &RankList<&rc::Rc<FleetServer>>,
    halls: Option<&HallLists<'_, &rc::Rc<FleetServer>>>,
) -> RankedServers {
    let mut servers: Vec<&rc::Rc<FleetServer>> = Vec::new();
    if let (Some(halls), Some(first)) = (halls, home.items().next()) {
        servers = halls.first_servers(&first.region);
        servers.dedup_by_key(|server| server.hash);
    }
    if servers.is_empty() {
        servers = home.items().collect();
    }
    servers.retain(|server| !is_tried(query, server));
    let cached = servers.len();
    for server in global.items() {
        if servers.len() == cached + global_candidates(query) {
            break;
        }
        if !servers.iter().any(|known| known.id == server.id) && !is_tried(query, server) {
            servers.push(server);
        }
    }
    RankedServers {
        servers: servers.into_iter().map(rc::Rc::clone).collect(),
        cached,
    }
}

/// Samples a few servers at random; the one with the lowest expected cost is selected. Two choices
/// are nearly as good as comparing all servers, and they prevent all hosts from selecting the same
/// server (Mitzenmacher, 2001).
fn sample_servers(
    query: &ChoiceQuery<'_>,
    availability: ServerAvailability,
    random: &mut SmallRng,
) -> Vec<rc::Rc<FleetServer>> {
    let servers = query.servers;
    let tries = servers.len().min(MAX_SAMPLE_TRIES);
    let sampled: Vec<rc::Rc<FleetServer>> = index::sample(random, servers.len(), tries)
        .iter()
        .map(|index| &servers[index])
        .filter(|server| is_eligible(query, server, availability))
        .take(SAMPLED_SERVERS)
        .cloned()
        .collect();
    if sampled.len() == SAMPLED_SERVERS || tries == servers.len() {
        return sampled;
    }
    // Only few servers are eligible, for example because a region is unreachable.
    let eligible = servers
        .iter()
        .filter(|server| is_eligible(query, server, availability));
    eligible.cloned().choose_multiple(random, SAMPLED_SERVERS)
}

/// The expected answer of a server: the wait for a slot, the processing time and the round trip.
/// `is_first` tells that the server is assumed to have the object cached.
pub(super) fn expect_answer(
    query: &ChoiceQuery<'_>,
    server: rc::Rc<FleetServer>,
    place: usize,
    is_first: bool,
) -> ChosenServer {
    let load = server.expected_load(query.now);
    let queued = (load + 1.0 - usable_slots(query, &server)).max(0.0);
    let object_cached = is_first
        || query
            .object
            .is_none_or(|object| server.has_object_cached(object));
    let typical_ms = if object_cached {
        query.typical_ms
    } else {
        query.cache_miss_ms
    };
    let slowdown = server.slowdown(query.now);
    let rtt_ms = query.latencies.rtt_ms(&server.region, query.region);
    // The owner of the server's limit is in the server's region and is asked for a token first,
    // which takes one more round trip.
    let is_limited = query.limits.update_of(server.incarnation_hash).is_some();
    let round_trips = if is_limited { 2.0 } else { 1.0 };
    let expected = ExpectedAnswer {
        place,
        object_cached,
        load,
        load_age_ms: server.load_report_age_ms(query.now),
        wait_ms: query.service_time_ms * slowdown * queued / f64::from(server.slots),
        work_ms: typical_ms * slowdown,
        rtt_ms: rtt_ms * round_trips,
    };
    ChosenServer { server, expected }
}

/// Cost of an answer to its own caller and to the requests behind it, in milliseconds.
pub(super) fn cost_ms(query: &ChoiceQuery<'_>, expected: &ExpectedAnswer) -> f64 {
    let extra_ms = if !expected.object_cached {
        CACHE_MISS_COST_FACTOR * query.cache_miss_ms
    } else if expected.place > 0 && query.halls.is_some() && query.object.is_some() {
        SPILL_COST_FACTOR * query.typical_ms
    } else {
        0.0
    };
    expected.total_ms() + extra_ms
}

/// The slots of a server that this request may use; one at least.
fn usable_slots(query: &ChoiceQuery<'_>, server: &FleetServer) -> f64 {
    let slots = f64::from(server.slots);
    (slots * (1.0 - query.reserved_share)).max(1.0)
}

pub(super) fn has_capacity(query: &ChoiceQuery<'_>, server: &FleetServer) -> bool {
    server.expected_load(query.now) + 1.0 <= usable_slots(query, server)
        && server.slowdown(query.now) < SLOW_SERVER_FACTOR
}
