//! Finds a place with a free unit and a server for a request; otherwise queues or refuses the
//! request.

use rand::Rng as _;

use super::choice::{self, ChoiceView, HealthTable};
use super::compile::{PlaceChoice, ServiceChoice};
use super::queue::{MAX_QUEUE_LENGTH, WaitEntry};
use super::ranking::{self, RankedPlace};
use super::unit::{AnswerEstimate, UnitCounter};
use super::{
    AdmitDecision, ChosenServer, RETRY_AFTER_RANGE_MS, RequestAdmission, RequestRefusal,
    SteeringPolicy, SteeringRole, UNAVAILABLE_RETRY_AFTER_MS, WaitTicket,
};
use crate::budget::PlaceKey;
use crate::result_code::ResultCode;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;

/// Longest expected wait of a request that is queued.
const MAX_WAIT_MS: f64 = 1_000.0;
/// Largest share of the remaining time that waiting and answering may be expected to take.
const MAX_DEADLINE_SHARE: f64 = 0.8;

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
        let ranking = ranking::rank_places(
            service,
            entry.block_hash,
            entry.home,
            self.own_region,
            &self.units,
        );
        let mut found_server = false;
        for ranked in &ranking {
            let server = match self.policy {
                SteeringPolicy::Steered => {
                    let view = choice_view(&self.servers, &self.units, ranked.place, None, now);
                    choice::select_server(&view, &mut self.random)
                }
                SteeringPolicy::Naive => choice::next_round_robin(service, &mut self.round_robin),
            };
            found_server |= server.is_some();
            let may_place = self.policy == SteeringPolicy::Naive || self.has_free_units(ranked);
            if let (true, Some(server)) = (may_place, server) {
                let admission = admission_to(service, server, ranked, entry, now);
                self.acquire_units(&admission);
                return PlaceOutcome::Admitted(admission);
            }
        }
        if found_server {
            PlaceOutcome::NoCapacity
        } else {
            PlaceOutcome::NoServer
        }
    }

    /// Queues a request if it is expected to get a unit and its answer in time; otherwise refuses
    /// it now, with the time after which to retry.
    pub(super) fn enqueue_or_refuse(
        &mut self,
        name: &str,
        mut entry: WaitEntry,
        ahead: usize,
        now: timer::Moment,
    ) -> AdmitDecision {
        let Some(service) = self.services.get(name) else {
            return AdmitDecision::Refused(no_server_refusal());
        };
        let class = &service.classes[entry.class];
        let weight = class.weight;
        let estimate = self
            .estimates
            .get(class.estimate)
            .copied()
            .unwrap_or(AnswerEstimate::INITIAL);
        let ranking = ranking::rank_places(
            service,
            entry.block_hash,
            entry.home,
            self.own_region,
            &self.units,
        );
        let full = full_slots(&ranking, &self.units);
        let units: u32 = ranking.iter().map(|ranked| self.usable_units(ranked)).sum();
        let wait_ms = (ahead + 1) as f64 * estimate.answer_ms / f64::from(units.max(1));
        let time_left = entry.deadline.since(now) as f64;
        let in_time = wait_ms + estimate.answer_ms <= MAX_DEADLINE_SHARE * time_left;
        let queue = self.queues.entry(name.to_owned()).or_default();
        if units > 0 && in_time && wait_ms <= MAX_WAIT_MS && queue.len() < MAX_QUEUE_LENGTH {
            self.next_ticket += 1;
            entry.ticket = WaitTicket(self.next_ticket);
            queue.push(weight, entry);
            return AdmitDecision::Waiting(entry.ticket);
        }
        AdmitDecision::Refused(self.refuse(&full, estimate.answer_ms, wait_ms))
    }

    fn usable_units(&self, ranked: &RankedPlace<'_>) -> u32 {
        let grant = |slot: SlotIndex| self.units.get(slot).map_or(0, |counter| counter.grant);
        let route = ranked.route.map_or(u32::MAX, grant);
        grant(ranked.place.place).min(route)
    }

    fn has_free_units(&self, ranked: &RankedPlace<'_>) -> bool {
        let is_free =
            |slot: SlotIndex| self.units.get(slot).is_some_and(UnitCounter::has_free_unit);
        is_free(ranked.place.place) && ranked.route.is_none_or(is_free)
    }

    fn acquire_units(&mut self, admission: &RequestAdmission) {
        for slot in std::iter::once(admission.place).chain(admission.route) {
            if let Some(counter) = self.units.get_mut(slot) {
                counter.acquire();
            }
        }
        if let Some(health) = self.servers.get_mut(admission.server.slot) {
            health.start_request();
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
        let retry_after_ms =
            Some(millis.clamp(*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end()));
        RequestRefusal {
            code: ResultCode::BudgetExhausted,
            retry_after_ms,
        }
    }
}

pub(super) fn choice_view<'v>(
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
    ranked: &RankedPlace<'_>,
    entry: &WaitEntry,
    now: timer::Moment,
) -> RequestAdmission {
    let class = &service.classes[entry.class];
    RequestAdmission {
        service: service.id,
        server,
        deadline: entry.deadline,
        repeatable: class.repeatable,
        hall: ranked.place.hall,
        place: ranked.place.place,
        route: ranked.route,
        estimate: class.estimate,
        retry: service.retry,
        attempts: 1,
        started: now,
    }
}

/// What blocks a request at its nearest places: each full place without a route; if there is none,
/// the full place and route of the first place.
fn full_slots(
    ranking: &[RankedPlace<'_>],
    units: &SlotTable<PlaceKey, UnitCounter>,
) -> Vec<SlotIndex> {
    let is_full = |slot: &SlotIndex| {
        units
            .get(*slot)
            .is_some_and(|counter| !counter.has_free_unit())
    };
    let local = ranking.iter().filter(|ranked| ranked.route.is_none());
    let local: Vec<SlotIndex> = local
        .map(|ranked| ranked.place.place)
        .filter(is_full)
        .collect();
    if !local.is_empty() {
        return local;
    }
    let first = ranking.first().into_iter();
    let slots = first.flat_map(|ranked| ranked.route.into_iter().chain([ranked.place.place]));
    slots.filter(is_full).collect()
}

/// The result of the search for a place.
pub(super) enum PlaceOutcome {
    Admitted(RequestAdmission),
    /// There are servers, but no free units.
    NoCapacity,
    /// No server can be selected.
    NoServer,
}

pub(super) const fn deadline_refusal() -> RequestRefusal {
    RequestRefusal {
        code: ResultCode::DeadlineTooShort,
        retry_after_ms: Some(*RETRY_AFTER_RANGE_MS.start()),
    }
}

pub(super) const fn no_server_refusal() -> RequestRefusal {
    RequestRefusal {
        code: ResultCode::NoHealthyServer,
        retry_after_ms: Some(UNAVAILABLE_RETRY_AFTER_MS),
    }
}
