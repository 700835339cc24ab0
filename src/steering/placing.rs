//! Finds a place with a free unit and a server for a request; otherwise queues or refuses the
//! request.

use rand::Rng as _;

use super::choice::{self, ChoiceView, HealthTable};
use super::compile::{PlaceChoice, ServiceChoice};
use super::line::{MAX_LINE, WaitEntry};
use super::order::{self, OrderedPlace};
use super::unit::{AnswerEstimate, UnitCounter};
use super::{
    AdmitDecision, COME_BACK_LONG_MS, COME_BACK_MS, ChosenServer, RequestAdmission, RequestRefusal,
    SteeringPolicy, SteeringRole, WaitTicket,
};
use crate::budget::PlaceKey;
use crate::result_code::ResultCode;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;

/// Longest expected wait of a request that is queued.
const MAX_WAIT_MS: f64 = 1_000.0;
/// Largest share of the remaining time that waiting and answering may be expected to take.
const DEADLINE_SHARE: f64 = 0.8;

impl SteeringRole {
    /// Finds a place with a free unit and a server for a request.
    pub(super) fn place(
        &mut self,
        name: &str,
        entry: &WaitEntry,
        now: timer::Moment,
    ) -> PlaceOutcome {
        let Some(service) = self.services.get(name) else {
            return PlaceOutcome::NoServer;
        };
        let order = order::place_order(
            service,
            entry.block_hash,
            entry.home,
            self.own_region,
            &self.units,
        );
        let mut saw_server = false;
        for ordered in &order {
            let server = match self.policy {
                SteeringPolicy::Steered => {
                    let view = view_of(&self.servers, &self.units, ordered.place, None, now);
                    choice::pick_server(&view, &mut self.random)
                }
                SteeringPolicy::Naive => choice::next_in_turn(service, &mut self.turn),
            };
            saw_server |= server.is_some();
            let room = self.policy == SteeringPolicy::Naive || self.has_room(ordered);
            if let (true, Some(server)) = (room, server) {
                let admission = admission_to(service, server, ordered, entry, now);
                self.take(&admission);
                return PlaceOutcome::Admitted(admission);
            }
        }
        if saw_server {
            PlaceOutcome::NoRoom
        } else {
            PlaceOutcome::NoServer
        }
    }

    /// Queues a request if it is expected to get a unit and its answer in time; otherwise refuses
    /// it now, with the time after which to retry.
    pub(super) fn hold_or_refuse(
        &mut self,
        name: &str,
        mut entry: WaitEntry,
        ahead: usize,
        now: timer::Moment,
    ) -> AdmitDecision {
        let Some(service) = self.services.get(name) else {
            return AdmitDecision::Refused(no_server());
        };
        let class = &service.classes[entry.class];
        let weight = class.weight;
        let estimate = self
            .estimates
            .get(class.estimate)
            .copied()
            .unwrap_or(AnswerEstimate::FIRST);
        let order = order::place_order(
            service,
            entry.block_hash,
            entry.home,
            self.own_region,
            &self.units,
        );
        let full = full_slots(&order, &self.units);
        let units: u32 = order.iter().map(|ordered| self.usable_units(ordered)).sum();
        let wait_ms = (ahead + 1) as f64 * estimate.answer_ms / f64::from(units.max(1));
        let time_left = entry.deadline.since(now) as f64;
        let in_time = wait_ms + estimate.answer_ms <= DEADLINE_SHARE * time_left;
        let line = self.lines.entry(name.to_owned()).or_default();
        if units > 0 && in_time && wait_ms <= MAX_WAIT_MS && line.len() < MAX_LINE {
            self.next_ticket += 1;
            entry.ticket = WaitTicket(self.next_ticket);
            line.push(weight, entry);
            return AdmitDecision::Waiting(entry.ticket);
        }
        AdmitDecision::Refused(self.refuse(&full, estimate.answer_ms, wait_ms))
    }

    fn usable_units(&self, ordered: &OrderedPlace<'_>) -> u32 {
        let grant = |slot: SlotIndex| self.units.get(slot).map_or(0, |counter| counter.grant);
        let route = ordered.route.map_or(u32::MAX, grant);
        grant(ordered.place.place).min(route)
    }

    fn has_room(&self, ordered: &OrderedPlace<'_>) -> bool {
        let room = |slot: SlotIndex| self.units.get(slot).is_some_and(UnitCounter::has_room);
        room(ordered.place.place) && ordered.route.is_none_or(room)
    }

    fn take(&mut self, admission: &RequestAdmission) {
        for slot in std::iter::once(admission.place).chain(admission.route) {
            if let Some(counter) = self.units.get_mut(slot) {
                counter.take();
            }
        }
        if let Some(health) = self.servers.get_mut(admission.server.slot) {
            health.begin();
        }
    }

    /// Refuses a request and attributes the refusal to what was full: the eligible places, or the
    /// route.
    fn refuse(&mut self, full: &[SlotIndex], answer_ms: f64, wait_ms: f64) -> RequestRefusal {
        let share_ms = answer_ms / full.len().max(1) as f64;
        for &slot in full {
            if let Some(counter) = self.units.get_mut(slot) {
                counter.refused += 1;
                counter.refused_ms += share_ms;
            }
        }
        let spread = self.random.random_range(0.5..1.5);
        let millis = (wait_ms.max(answer_ms) * spread) as u64;
        let retry_after_ms = Some(millis.clamp(*COME_BACK_MS.start(), *COME_BACK_MS.end()));
        RequestRefusal {
            code: ResultCode::BudgetExhausted,
            retry_after_ms,
        }
    }
}

pub(super) fn view_of<'v>(
    health: &'v HealthTable,
    units: &SlotTable<PlaceKey, UnitCounter>,
    place: &'v PlaceChoice,
    avoid: Option<SlotIndex>,
    now: timer::Moment,
) -> ChoiceView<'v> {
    let typical_ms = units
        .get(place.place)
        .map_or(0.0, |counter| counter.answer_ms);
    ChoiceView {
        servers: &place.servers,
        health,
        typical_ms,
        avoid,
        now,
    }
}

/// The admission of a request at a server, before its first attempt.
fn admission_to(
    service: &ServiceChoice,
    server: ChosenServer,
    ordered: &OrderedPlace<'_>,
    entry: &WaitEntry,
    now: timer::Moment,
) -> RequestAdmission {
    let class = &service.classes[entry.class];
    RequestAdmission {
        service: service.id,
        server,
        deadline: entry.deadline,
        repeatable: class.repeatable,
        hall: ordered.place.hall,
        place: ordered.place.place,
        route: ordered.route,
        estimate: class.estimate,
        retry: service.retry,
        attempts: 1,
        started: now,
    }
}

/// What blocks a request at its nearest places: each full place without a route; if there is none,
/// the full place and route of the first place.
fn full_slots(
    order: &[OrderedPlace<'_>],
    units: &SlotTable<PlaceKey, UnitCounter>,
) -> Vec<SlotIndex> {
    let is_full = |slot: &SlotIndex| units.get(*slot).is_some_and(|counter| !counter.has_room());
    let near = order.iter().filter(|ordered| ordered.route.is_none());
    let near: Vec<SlotIndex> = near
        .map(|ordered| ordered.place.place)
        .filter(is_full)
        .collect();
    if !near.is_empty() {
        return near;
    }
    let first = order.first().into_iter();
    let parts = first.flat_map(|ordered| ordered.route.into_iter().chain([ordered.place.place]));
    parts.filter(is_full).collect()
}

/// The result of the search for a place.
pub(super) enum PlaceOutcome {
    Admitted(RequestAdmission),
    /// There are servers, but no free units.
    NoRoom,
    /// No server can be selected.
    NoServer,
}

pub(super) const fn too_late() -> RequestRefusal {
    RequestRefusal {
        code: ResultCode::DeadlineTooShort,
        retry_after_ms: Some(*COME_BACK_MS.start()),
    }
}

pub(super) const fn no_server() -> RequestRefusal {
    RequestRefusal {
        code: ResultCode::NoHealthyServer,
        retry_after_ms: Some(COME_BACK_LONG_MS),
    }
}
