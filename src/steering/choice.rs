//! Selects a backend server within a place.

use std::net;

use rand::Rng as _;

use super::compile::{ServerChoice, ServiceChoice};
use super::request::ChosenServer;
use crate::health::ServerHealth;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;

/// Largest share of a place's servers that may be skipped as ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// The health of each backend server, by name and address.
pub(super) type HealthTable = SlotTable<(String, net::SocketAddr), ServerHealth>;

/// A place with at most this many servers is scanned completely; a larger one is sampled.
const MAX_SCANNED_SERVERS: usize = 16;
/// Number of servers sampled from a larger place.
const SAMPLED_SERVERS: usize = 4;

/// Cost factor of a slot that is assigned to another host's units.
const BORROWED_SLOT_FACTOR: f64 = 4.0;

/// The inputs of a selection within a place.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceView<'v> {
    pub(super) servers: &'v [ServerChoice],
    pub(super) health: &'v HealthTable,
    /// Typical answer time of the place's servers.
    pub(super) typical_ms: f64,
    /// A server that has just failed this request.
    pub(super) avoid: Option<SlotIndex>,
    pub(super) now: timer::Moment,
}

impl ChoiceView<'_> {
    /// Whether a server may get one more request from this worker.
    fn has_free_slot(&self, choice: &ServerChoice) -> bool {
        let state = self.health.get(choice.slot);
        Some(choice.slot) != self.avoid
            && state.is_some_and(|state| !state.is_leaving() && state.in_flight() < choice.slots)
    }

    fn is_ejected(&self, choice: &ServerChoice) -> bool {
        let state = self.health.get(choice.slot);
        state.is_some_and(|state| state.is_ejected(self.now))
    }

    fn cost(&self, choice: &ServerChoice) -> f64 {
        let state = self.health.get(choice.slot);
        state.map_or(f64::MAX, |state| {
            let cost = state.cost(choice.slots, self.typical_ms, self.now);
            let borrowed = state.in_flight() >= choice.owned;
            if borrowed {
                cost * BORROWED_SLOT_FACTOR
            } else {
                cost
            }
        })
    }

    /// The cheapest selectable server; the first one among equals.
    fn cheapest<'c>(
        &self,
        choices: impl Iterator<Item = &'c ServerChoice>,
        ignore_ejection: bool,
    ) -> Option<ServerChoice> {
        let mut best = None;
        let mut best_cost = f64::INFINITY;
        for choice in choices {
            let selectable =
                self.has_free_slot(choice) && (ignore_ejection || !self.is_ejected(choice));
            let cost = if selectable {
                self.cost(choice)
            } else {
                f64::INFINITY
            };
            if cost < best_cost {
                best_cost = cost;
                best = Some(*choice);
            }
        }
        best
    }

    /// If more than half of the servers are ejected, the fault is probably not theirs, and
    /// ejections are ignored.
    fn ignores_ejection(&self) -> bool {
        let ejected = self
            .servers
            .iter()
            .filter(|choice| self.is_ejected(choice))
            .count();
        ejected as f64 > MAX_EJECTED_SHARE * self.servers.len() as f64
    }
}

/// Selects the cheapest server of a small place, or the cheapest of a random sample of a larger one
/// (Mitzenmacher, 2001). The scan starts at a random position, so that hosts don't all select the
/// first of equals.
pub(super) fn select_server(
    view: &ChoiceView<'_>,
    random: &mut rand::rngs::SmallRng,
) -> Option<ChosenServer> {
    let count = view.servers.len();
    if count == 0 {
        return None;
    }
    let start = random.random_range(0..count);
    let mut best = None;
    if count > MAX_SCANNED_SERVERS {
        let sampled: [usize; SAMPLED_SERVERS] =
            std::array::from_fn(|_| random.random_range(0..count));
        best = view.cheapest(
            sampled
                .iter()
                .filter_map(|&position| view.servers.get(position)),
            false,
        );
    }
    if best.is_none() {
        let (later, first) = view.servers.split_at(start);
        let all = first.iter().chain(later);
        best = view.cheapest(all.clone(), false);
        if best.is_none() && view.ignores_ejection() {
            best = view.cheapest(all, true);
        }
    }
    best.map(|choice| ChosenServer {
        address: choice.address,
        slot: choice.slot,
    })
}

/// The naive policy, the baseline for measurements: round robin over all servers of the service,
/// whatever their place, load and health.
pub(super) fn next_round_robin(
    service: &ServiceChoice,
    round_robin: &mut usize,
) -> Option<ChosenServer> {
    let places = service.local.iter().chain(&service.remote);
    let servers: Vec<&ServerChoice> = places.flat_map(|place| &place.servers).collect();
    *round_robin = round_robin.wrapping_add(1);
    let choice = servers.get(*round_robin % servers.len().max(1))?;
    Some(ChosenServer {
        address: choice.address,
        slot: choice.slot,
    })
}
