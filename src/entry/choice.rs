//! Which backend server gets a request, or why none does.
//!
//! On sticky routes a server that has seen the request's object lately answers several times
//! faster, so the object's key ranks the servers (weighted rendezvous hashing; Thaler and
//! Ravishankar, 1998) and the first in that order with room gets the request. A full server is
//! passed over, which bounds the load of each (consistent hashing with bounded loads; Mirrokni,
//! Thorup and Zadimoghaddam, 2018). All hosts of a region rank alike without talking to each other.
//!
//! A request that would end past its aim everywhere is refused at once: it would take the place of
//! one that can still be served in time.

use std::{collections, rc};

use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom as _, index};

use super::budget;
use super::choice_refusal::{first_opening, refuse, refuse_until};
use super::fleet_server::FleetServer;
use super::hash;
use super::offer_record::ExpectedAnswer;
use super::region_distance::RegionDistances;
use super::region_shares::RegionWeights;
use super::server_limit::table::ServerLimitTable;
use super::server_notice::ServerAvailability;
use crate::rollout::plan::VersionRule;
use crate::timer::Moment;

/// Places in an object's rank that go by the weights of the regions: its requests run there as long
/// as an answer comes in time.
pub const HOME_PLACES: usize = 1;
/// Places behind them that go by the whole service, so that a busy region's objects find room
/// elsewhere. With three the alternatives met objects so seldom that they were first runs
/// (docs/DECISIONS-UNDER-LOAD.md).
pub const OPEN_PLACES: usize = 2;
/// Servers that are compared on routes where objects do not matter.
const DRAWN_SERVERS: usize = 4;
/// What a first run on an object costs the requests behind it, as a multiple of its own length,
/// when its server is compared with one that knows the object. A first run holds a slot several
/// times as long as another, and those after it on the same object are late as well.
const FIRST_RUN_BURDEN: f64 = 2.0;
/// Servers in rank order that may get first runs on an object that will be late: enough that a
/// busy object gets warm somewhere, few enough that first runs do not take the slots of others.
const FIRST_RUN_DEPTH: usize = 2;
/// Added to the rank of servers in other regions where answers should stay near; larger than any
/// rank that a server can have.
const FAR_RANK: f64 = u32::MAX as f64;
/// Servers that are drawn where objects do not matter, before all are looked through.
const DRAW_TRIES: usize = 4 * DRAWN_SERVERS;
/// A server slower than this multiple of what is usual gets no first runs on an object.
const SLOW_PACE: f64 = 2.5;
/// What is known of a request when a server is chosen.
#[derive(Debug)]
pub struct ChoiceQuery<'a> {
    /// The servers of its service.
    pub servers: &'a [rc::Rc<FleetServer>],
    /// A hash of its object's key, on a sticky route.
    pub object: Option<u64>,
    /// The region of this host.
    pub region: &'a str,
    /// How far the regions are.
    pub distances: &'a RegionDistances,
    /// What the servers of each region weigh in the rank of an object.
    pub weights: &'a RegionWeights,
    /// The only regions that may serve it; empty for all.
    pub homes: &'a [String],
    /// Halls that get no work.
    pub evacuated: &'a collections::BTreeSet<String>,
    /// Identities of servers that it was offered to before.
    pub tried: &'a [String],
    /// The versions whose servers may get it.
    pub versions: VersionRule,
    /// Whether its bytes make distance dear.
    pub near: bool,
    /// How long such a request usually takes, in milliseconds.
    pub usual_ms: f64,
    /// How long it takes on a server that does not know its object, in milliseconds.
    pub first_ms: f64,
    /// How long an answer is still worth waiting for, in milliseconds.
    pub patience_ms: f64,
    /// The most that a cold server may get of this host within a second.
    pub cold_share: budget::ColdShare,
    /// How long a server that leaves serves on at least, in milliseconds.
    pub leave_ms: u64,
    /// What is known of the limits that servers name.
    pub limits: &'a ServerLimitTable,
    /// The present.
    pub now: Moment,
}

/// Why no server gets a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// None that may serve it takes work.
    NoneFit,
    /// Each would answer too late.
    AllFull,
    /// Each that may serve it has as many requests as it takes.
    AllLimited,
}

/// A server that gets a request, and what is expected of it.
#[derive(Debug)]
pub struct ChosenServer {
    /// The server.
    pub server: rc::Rc<FleetServer>,
    /// What is expected.
    pub expected: ExpectedAnswer,
}

/// The outcome of a choice.
#[derive(Debug)]
pub enum ServerChoice {
    /// Offer the request to this server.
    Offer(ChosenServer),
    /// Refuse it.
    Refuse {
        /// Why.
        reason: NoServer,
        /// When coming back may help, in milliseconds.
        come_back_ms: u64,
        /// Free slots of the servers that were compared, as far as this host knows.
        free_slots: u32,
    },
}

/// Chooses a server.
pub fn choose(query: &ChoiceQuery<'_>, random: &mut SmallRng) -> ServerChoice {
    let mut ranked = find(query, ServerAvailability::Regular, random);
    if ranked.is_empty() {
        ranked = find(query, ServerAvailability::LastResort, random);
    }
    if ranked.is_empty() {
        return match first_opening(query) {
            Some(opens) => refuse_until(query, opens, random),
            None => refuse(query, NoServer::NoneFit, 0, random),
        };
    }
    let mut candidates: Vec<ChosenServer> = ranked
        .into_iter()
        .enumerate()
        .map(|(place, server)| ChosenServer {
            expected: expect(query, &server, place),
            server,
        })
        .collect();
    match best_place(query, &candidates) {
        Some(place) => ServerChoice::Offer(candidates.swap_remove(place)),
        None => refuse(query, NoServer::AllFull, free_slots(&candidates), random),
    }
}

/// The servers of this standing that are compared.
fn find(
    query: &ChoiceQuery<'_>,
    standing: ServerAvailability,
    random: &mut SmallRng,
) -> Vec<rc::Rc<FleetServer>> {
    match query.object {
        Some(object) => rank(query, object, standing),
        None => draw(query, standing, random),
    }
}

/// Free slots of all candidates together, as far as this host knows.
fn free_slots(candidates: &[ChosenServer]) -> u32 {
    let free = candidates.iter().map(|candidate| {
        let free = f64::from(candidate.server.slots) - candidate.expected.load;
        // At most the slots, and never below zero.
        free.max(0.0) as u32
    });
    free.sum()
}

/// The candidate whose answer costs least; `None` if each would answer too late.
fn best_place(query: &ChoiceQuery<'_>, candidates: &[ChosenServer]) -> Option<usize> {
    let cheapest = candidates
        .iter()
        .map(|candidate| cost_ms(query, &candidate.expected))
        .enumerate()
        .min_by(|a, b| a.1.total_cmp(&b.1));
    if let Some((place, _cost)) = cheapest
        && candidates[place].expected.total_ms() <= query.patience_ms
    {
        return Some(place);
    }
    // A first run on an object is let through also when it will be late: those after it are not.
    let mut first_runs = candidates.iter().take(FIRST_RUN_DEPTH);
    first_runs.position(|candidate| has_room(query, &candidate.server))
}

fn fits(query: &ChoiceQuery<'_>, server: &FleetServer, standing: ServerAvailability) -> bool {
    standing_for(query, server) == standing
        && query.limits.is_token_expected(server.start_hash, query.now)
        && fits_later(query, server)
}

/// A request that another server turned away is no trial for one that has just rested: it may be its last attempt.
fn standing_for(query: &ChoiceQuery<'_>, server: &FleetServer) -> ServerAvailability {
    let standing = server.availability(query.leave_ms, query.now);
    let is_repeat = !query.tried.is_empty();
    match standing {
        ServerAvailability::Regular if is_repeat && server.notice().needs_probe(query.now) => {
            ServerAvailability::LastResort
        }
        standing => standing,
    }
}

/// Whether it may get the request once its limit and its rest let it.
pub(super) fn fits_later(query: &ChoiceQuery<'_>, server: &FleetServer) -> bool {
    query.versions.allows(server.version)
        && !query.evacuated.contains(&*server.hall)
        && (query.homes.is_empty() || query.homes.iter().any(|home| **home == *server.region))
        && !query.tried.iter().any(|id| **id == *server.id)
        && !server.is_ejected(query.now)
        && (!server.is_cold(query.now) || query.cold_share.allows(server, query.now))
}

/// The servers that may get an object's requests: first [`HOME_PLACES`] by the weights of their
/// regions, then the first [`OPEN_PLACES`] of the whole service that are not among them.
///
/// Each server draws a number from 0 to 1 for the object; its rank is the negative logarithm over
/// its weight, so that servers of more weight come first more often, in proportion. Slots are the
/// weight; in the home places they are multiplied by the region's.
#[must_use]
pub fn rank_by_object(query: &ChoiceQuery<'_>, object: u64) -> Vec<rc::Rc<FleetServer>> {
    rank(query, object, ServerAvailability::Regular)
}

fn rank(
    query: &ChoiceQuery<'_>,
    object: u64,
    standing: ServerAvailability,
) -> Vec<rc::Rc<FleetServer>> {
    let most_slots = query.servers.iter().map(|server| server.slots).max();
    let most_slots = f64::from(most_slots.unwrap_or(1));
    let mut home = RankList::with_places(HOME_PLACES, most_slots * query.weights.largest());
    // One of them may stand in the home places already.
    let mut open = RankList::with_places(HOME_PLACES + OPEN_PLACES, most_slots);
    for server in query.servers {
        let drawn = hash::uniform(object ^ server.hash);
        if !(home.may_enter(drawn) || open.may_enter(drawn)) || !fits(query, server, standing) {
            continue;
        }
        let slots = f64::from(server.slots);
        let far = query.near && *server.region != *query.region;
        // A far server ranks behind every near one.
        let behind = if far { FAR_RANK } else { 0.0 };
        let weight = slots * query.weights.of(&server.region);
        home.insert(-drawn.ln() / weight + behind, server);
        open.insert(-drawn.ln() / slots + behind, server);
    }
    let is_home = |server: &FleetServer| home.best.iter().any(|(_, known)| known.id == server.id);
    let others = open.best.iter().filter(|(_, server)| !is_home(server));
    home.best
        .iter()
        .chain(others.take(OPEN_PLACES))
        .map(|(_, server)| rc::Rc::clone(server))
        .collect()
}

/// The servers of the lowest rank so far.
#[derive(Debug)]
struct RankList<'a> {
    best: Vec<(f64, &'a rc::Rc<FleetServer>)>,
    places: usize,
    /// No server weighs more.
    most_weight: f64,
    /// Who draws less does not get in, whatever it weighs.
    least_drawn: f64,
}

impl<'a> RankList<'a> {
    fn with_places(places: usize, most_weight: f64) -> Self {
        Self {
            best: Vec::with_capacity(places + 1),
            places,
            most_weight,
            least_drawn: 0.0,
        }
    }

    /// Most servers draw too low to be among the first: they need not be ranked.
    fn may_enter(&self, drawn: f64) -> bool {
        drawn >= self.least_drawn
    }

    fn insert(&mut self, rank: f64, server: &'a rc::Rc<FleetServer>) {
        let place = self.best.partition_point(|(other, _)| *other <= rank);
        if place >= self.places {
            return;
        }
        self.best.insert(place, (rank, server));
        self.best.truncate(self.places);
        if let [.., (last, _)] = self.best[..]
            && self.best.len() == self.places
        {
            self.least_drawn = (-last * self.most_weight).exp();
        }
    }
}

/// A few at random, among which the earliest expected answer decides: two choices are nearly as
/// good as all, and hosts do not all run to the same server (Mitzenmacher, 2001).
fn draw(
    query: &ChoiceQuery<'_>,
    standing: ServerAvailability,
    random: &mut SmallRng,
) -> Vec<rc::Rc<FleetServer>> {
    let servers = query.servers;
    let tries = servers.len().min(DRAW_TRIES);
    let drawn: Vec<rc::Rc<FleetServer>> = index::sample(random, servers.len(), tries)
        .iter()
        .map(|place| &servers[place])
        .filter(|server| fits(query, server, standing))
        .take(DRAWN_SERVERS)
        .cloned()
        .collect();
    if drawn.len() == DRAWN_SERVERS || tries == servers.len() {
        return drawn;
    }
    // Few fit, as when a region is cut off.
    let fit = servers
        .iter()
        .filter(|server| fits(query, server, standing));
    fit.cloned().choose_multiple(random, DRAWN_SERVERS)
}

/// What may be expected of a server: the wait for a slot, the work, the way. The first in rank is
/// taken to know the object, since all hosts send it there.
fn expect(query: &ChoiceQuery<'_>, server: &FleetServer, place: usize) -> ExpectedAnswer {
    let slots = f64::from(server.slots);
    let load = server.expected_load(query.now);
    let ahead = (load + 1.0 - slots).max(0.0);
    let knows_object = place == 0
        || query
            .object
            .is_none_or(|object| server.knows_object(object));
    let usual_ms = if knows_object {
        query.usual_ms
    } else {
        query.first_ms
    };
    let multiple = server.pace(query.now);
    let way_ms = query.distances.way_ms(&server.region, query.region);
    // The keeper of its limit stands in its region and is asked first.
    let is_limited = query.limits.update_of(server.start_hash).is_some();
    let ways = if is_limited { 2.0 } else { 1.0 };
    ExpectedAnswer {
        place,
        knows_object,
        load,
        load_age_ms: server.told_age_ms(query.now),
        wait_ms: query.usual_ms * multiple * ahead / slots,
        work_ms: usual_ms * multiple,
        way_ms: way_ms * ways,
    }
}

/// What an answer costs its own caller and those behind it, in milliseconds.
fn cost_ms(query: &ChoiceQuery<'_>, expected: &ExpectedAnswer) -> f64 {
    let burden_ms = if expected.knows_object {
        0.0
    } else {
        FIRST_RUN_BURDEN * query.first_ms
    };
    expected.total_ms() + burden_ms
}

fn has_room(query: &ChoiceQuery<'_>, server: &FleetServer) -> bool {
    server.expected_load(query.now) + 1.0 <= f64::from(server.slots)
        && server.pace(query.now) < SLOW_PACE
}
