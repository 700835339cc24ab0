//! The choice of a backend server within a place.

use std::net;

use rand::Rng as _;

use super::compile::ServerChoice;
use super::request::ChosenServer;
use crate::health::ServerHealth;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;

/// At most this share of a place's servers may be left out as ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// What a worker knows of each backend server, by name and address.
pub(super) type HealthTable = SlotTable<(String, net::SocketAddr), ServerHealth>;

/// The better of two at random (Mitzenmacher, 2001) among servers that are neither ejected nor
/// full of this worker's own requests. When more than half look ejected, the fault is probably
/// not theirs: then all count.
pub(super) fn pick_server(
    servers: &[ServerChoice],
    health: &HealthTable,
    random: &mut rand::rngs::SmallRng,
    avoid: Option<SlotIndex>,
    now: timer::Moment,
) -> Option<ChosenServer> {
    let has_room = |choice: &ServerChoice| {
        let state = health.get(choice.slot);
        Some(choice.slot) != avoid
            && state.is_some_and(|state| !state.is_leaving() && state.in_flight() < choice.slots)
    };
    let is_ejected = |choice: &ServerChoice| {
        health
            .get(choice.slot)
            .is_some_and(|state| state.is_ejected(now))
    };
    let good = |choice: &ServerChoice| has_room(choice) && !is_ejected(choice);
    let draw = |random: &mut rand::rngs::SmallRng| {
        let position = random.random_range(0..servers.len().max(1));
        servers.get(position).copied()
    };
    let first = draw(random).filter(|choice| good(choice));
    let second = draw(random).filter(|choice| good(choice));
    let best = match (first, second) {
        (Some(left), Some(right)) => Some(cheaper(left, right, health, now)),
        (Some(one), None) | (None, Some(one)) => Some(one),
        (None, None) => scan_servers(servers, health, has_room, is_ejected, now),
    };
    best.map(|choice| ChosenServer {
        address: choice.address,
        slot: choice.slot,
    })
}

fn scan_servers(
    servers: &[ServerChoice],
    health: &HealthTable,
    has_room: impl Fn(&ServerChoice) -> bool,
    is_ejected: impl Fn(&ServerChoice) -> bool,
    now: timer::Moment,
) -> Option<ServerChoice> {
    let ejected = servers.iter().filter(|choice| is_ejected(choice)).count();
    let ignore_ejection = ejected as f64 > MAX_EJECTED_SHARE * servers.len() as f64;
    let open = servers
        .iter()
        .filter(|choice| has_room(choice) && (ignore_ejection || !is_ejected(choice)));
    open.copied()
        .reduce(|left, right| cheaper(left, right, health, now))
}

fn cheaper(
    left: ServerChoice,
    right: ServerChoice,
    health: &HealthTable,
    now: timer::Moment,
) -> ServerChoice {
    let cost = |choice: &ServerChoice| {
        health
            .get(choice.slot)
            .map_or(f64::MAX, |state| state.cost(choice.slots, now))
    };
    if cost(&right) < cost(&left) {
        right
    } else {
        left
    }
}

/// The naive choice, kept as the baseline of measurements: one server after the other, whatever
/// their load and health.
pub(super) fn next_in_turn(servers: &[ServerChoice], turn: &mut usize) -> Option<ChosenServer> {
    *turn = turn.wrapping_add(1);
    let choice = servers.get(*turn % servers.len().max(1))?;
    Some(ChosenServer {
        address: choice.address,
        slot: choice.slot,
    })
}
