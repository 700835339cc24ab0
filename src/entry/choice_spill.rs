//! Selects a server for a request that the ranked servers may not answer in time.
//!
//! **Load pattern.** For some seconds, the servers of an object are full while others have free
//! slots. A late answer is better for a caller than a refusal, as long as it takes no slot from
//! requests that can still be answered in time.

use std::rc;

use rand::rngs::SmallRng;
use rand::seq::index;

use super::choice::{self, ChoiceQuery, ChosenServer};
use super::fleet_server::FleetServer;
use super::server_notice::ServerAvailability;
use crate::placement::overflow::{self, FreeServer, ServerDistance};

/// A server that has the object cached gets a request that it answers late, if it answers within
/// this multiple of the time left until the goal.
const MAX_LATE_FACTOR: f64 = 2.0;
/// A load report older than this, in milliseconds, does not show that a slot is still free: it is
/// the time of a few requests.
const FREE_SLOT_REPORT_MS: u64 = 2_000;
/// Largest load with which a server outside of the ranking gets a request, as a fraction of its
/// slots, this request included.
const MAX_OVERFLOW_LOAD: f64 = 0.5;

/// Selects the cheapest candidate that answers in time, else a server that answers late without
/// delaying others. Of the candidates after the first `cached`, one gets late cache misses, so that
/// it soon has the object cached too. `None` if no server can take the request.
pub(super) fn select(
    query: &ChoiceQuery<'_>,
    candidates: &mut Vec<ChosenServer>,
    cached: usize,
    random: &mut SmallRng,
) -> Option<ChosenServer> {
    let mut late_candidates = candidates.iter().take(cached + 1);
    let selected = cheapest_in_time(query, candidates)
        .or_else(|| least_late_hit(query, candidates))
        .or_else(|| {
            late_candidates.position(|candidate| choice::has_capacity(query, &candidate.server))
        });
    if let Some(place) = selected {
        return Some(candidates.swap_remove(place));
    }
    let drawn = draw_idle_servers(query, candidates.len(), random);
    select_drawn(query, &drawn)
}

/// Index of the cheapest of the candidates that answer in time.
fn cheapest_in_time(query: &ChoiceQuery<'_>, candidates: &[ChosenServer]) -> Option<usize> {
    let in_time = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.expected.total_ms() <= query.goal_left_ms);
    let costs =
        in_time.map(|(place, candidate)| (place, choice::cost_ms(query, &candidate.expected)));
    let cheapest = costs.min_by(|a, b| a.1.total_cmp(&b.1));
    cheapest.map(|(place, _cost)| place)
}

/// Index of the server with the object cached that answers first, if it is not much too late. A
/// cache miss elsewhere would be late as well, and would hold a slot several times as long.
fn least_late_hit(query: &ChoiceQuery<'_>, candidates: &[ChosenServer]) -> Option<usize> {
    let max_ms = (query.goal_left_ms * MAX_LATE_FACTOR).min(query.deadline_left_ms);
    let hits = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.expected.object_cached);
    let times = hits.map(|(place, candidate)| (place, candidate.expected.total_ms()));
    let first = times.min_by(|a, b| a.1.total_cmp(&b.1));
    let (place, total_ms) = first?;
    (total_ms <= max_ms).then_some(place)
}

/// Draws servers that recently reported that most of their slots are free. A cache miss holds a
/// slot several times as long as a hit, so on a busier server it would delay the server's own
/// objects. They rank from `place`.
fn draw_idle_servers(
    query: &ChoiceQuery<'_>,
    place: usize,
    random: &mut SmallRng,
) -> Vec<ChosenServer> {
    let servers = query.servers;
    let drawn = servers.len().min(overflow::DRAWN_SERVERS);
    index::sample(random, servers.len(), drawn)
        .iter()
        .map(|index| &servers[index])
        .filter(|server| {
            let report_age_ms = server.load_report_age_ms(query.now);
            let load = server.expected_load(query.now);
            report_age_ms.is_some_and(|age_ms| age_ms <= FREE_SLOT_REPORT_MS)
                && load + 1.0 <= f64::from(server.slots) * MAX_OVERFLOW_LOAD
                && choice::has_capacity(query, server)
                && choice::is_eligible(query, server, ServerAvailability::Regular)
        })
        .map(|server| choice::expect_answer(query, rc::Rc::clone(server), place, false))
        .collect()
}

/// The drawn server that gets the request, if one answers before the deadline.
fn select_drawn(query: &ChoiceQuery<'_>, drawn: &[ChosenServer]) -> Option<ChosenServer> {
    let free = drawn.iter().map(|candidate| FreeServer {
        server: candidate,
        distance: distance_of(query, &candidate.server),
        total_ms: candidate.expected.total_ms(),
        load_share: candidate.expected.load / f64::from(candidate.server.slots),
    });
    let free: Vec<FreeServer<&ChosenServer>> = free.collect();
    overflow::select(&free, query.deadline_left_ms).cloned()
}

fn distance_of(query: &ChoiceQuery<'_>, server: &FleetServer) -> ServerDistance {
    if *server.hall == *query.hall {
        ServerDistance::Hall
    } else if *server.region == *query.region {
        ServerDistance::Region
    } else {
        ServerDistance::Remote
    }
}
