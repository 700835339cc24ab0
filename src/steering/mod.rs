//! The steering role of one worker: admits, holds or refuses a request on its arrival, and picks
//! its hall and backend server within the worker's slice of the host's grants.
//!
//! Memory: one counter for each place and route of the declaration, one health record for each
//! backend server, one estimate for each class; what a new declaration drops goes once unused.
//! Waiting requests are bounded by their line.

mod choice;
mod compile;
mod line;
mod order;
mod request;
mod unit;

use std::{collections, sync};

use rand::Rng as _;
use rand::SeedableRng as _;

use choice::{ChoiceView, HealthTable};
use compile::{ClassChoice, PlaceChoice, ServiceChoice};
use line::{MAX_LINE, WaitEntry, WaitingLine};
use order::OrderedPlace;
pub use request::{
    AdmitDecision, AttemptResult, ChosenServer, RequestAdmission, RequestFacts, RequestRefusal,
    WaitTicket,
};
use unit::{AnswerEstimate, UnitCounter};

use crate::budget::PlaceKey;
use crate::health::LoadClaim;
use crate::plan;
use crate::report;
use crate::result_code::ResultCode;
use crate::retry::RetryBudget;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;
use crate::topology::{RegionId, ServiceId, SteeringTopology};

/// Come-back times lie in this range, in milliseconds.
const COME_BACK_MS: std::ops::RangeInclusive<u64> = 50..=5_000;
/// Come-back time where only time can help: no host, no server, no configuration.
pub const COME_BACK_LONG_MS: u64 = 1_000;
/// The longest that a request is expected to wait when it is held.
const MAX_WAIT_MS: f64 = 1_000.0;
/// The share of the time left that waiting and answering may be expected to take.
const DEADLINE_SHARE: f64 = 0.8;
/// Waiting requests that are tried when a unit comes free.
const TRIED_WAITERS: usize = 8;
/// Attempts of the naive baseline.
const NAIVE_ATTEMPTS: u32 = 3;

/// Which decisions a worker takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SteeringPolicy {
    /// Those of this project.
    #[default]
    Steered,
    /// The baseline of measurements: servers in turn over all halls, no budget, always a retry.
    Naive,
}

/// The steering role of one worker.
#[derive(Debug)]
pub struct SteeringRole {
    policy: SteeringPolicy,
    own_hall: String,
    own_region: Option<RegionId>,
    topology: Option<sync::Arc<SteeringTopology>>,
    services: collections::HashMap<String, ServiceChoice>,
    lines: collections::HashMap<String, WaitingLine>,
    units: SlotTable<PlaceKey, UnitCounter>,
    servers: HealthTable,
    estimates: SlotTable<(String, String), AnswerEstimate>,
    retries: SlotTable<String, RetryBudget>,
    grants: plan::HostGrants,
    window_start: timer::Moment,
    random: rand::rngs::SmallRng,
    next_ticket: u64,
    turn: usize,
}

/// A waiting request's end: it got a unit, or it is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitEnd {
    /// Which request.
    pub ticket: WaitTicket,
    /// How it ended.
    pub result: Result<RequestAdmission, RequestRefusal>,
}

impl SteeringRole {
    /// A worker of a host in `own_hall` that has neither topology nor grants.
    #[must_use]
    pub fn new(own_hall: &str, policy: SteeringPolicy, seed: u64) -> Self {
        Self {
            policy,
            own_hall: own_hall.to_owned(),
            own_region: None,
            topology: None,
            services: collections::HashMap::new(),
            lines: collections::HashMap::new(),
            units: SlotTable::default(),
            servers: SlotTable::default(),
            estimates: SlotTable::default(),
            retries: SlotTable::default(),
            grants: plan::HostGrants::default(),
            window_start: timer::Moment::default(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            next_ticket: 0,
            turn: 0,
        }
    }

    /// The topology in force.
    #[must_use]
    pub const fn topology(&self) -> Option<&sync::Arc<SteeringTopology>> {
        self.topology.as_ref()
    }

    /// The plan sequence in force.
    #[must_use]
    pub const fn installed_sequence(&self) -> u64 {
        self.grants.sequence
    }

    /// Puts a topology in force; an older one is ignored.
    pub fn install_topology(&mut self, topology: &sync::Arc<SteeringTopology>, now: timer::Moment) {
        if self
            .topology
            .as_ref()
            .is_some_and(|installed| installed.generation >= topology.generation)
        {
            return;
        }
        let first = self.topology.is_none();
        let own_hall = topology.hall_id(&self.own_hall);
        self.own_region = own_hall.and_then(|hall| topology.region_of(hall));
        self.topology = Some(sync::Arc::clone(topology));
        let mut services = collections::HashMap::new();
        for (index, service) in topology.services.iter().enumerate() {
            let id = ServiceId(u16::try_from(index).unwrap_or(u16::MAX));
            let choice = self.compile_service(topology, id, own_hall, !first, now);
            services.insert(service.entry.name.clone(), choice);
        }
        self.services = services;
        self.drop_unused(topology);
        self.apply_grants();
    }

    fn drop_unused(&mut self, topology: &SteeringTopology) {
        let mut units: collections::HashSet<SlotIndex> = collections::HashSet::new();
        for service in self.services.values() {
            units.extend(
                service
                    .near
                    .iter()
                    .chain(&service.far)
                    .map(|place| place.place),
            );
            units.extend(service.routes.values());
        }
        let table = &self.units;
        let kept: collections::HashSet<PlaceKey> = units
            .iter()
            .filter_map(|&slot| table.key_of(slot).cloned())
            .collect();
        self.units
            .retain(|key, counter| counter.in_use > 0 || kept.contains(key));
        self.servers.retain(|(name, address), health| {
            let declared = topology
                .servers
                .iter()
                .any(|server| server.name == *name && server.address == *address);
            declared || health.in_flight() > 0
        });
    }

    /// Puts grants in force; older ones are ignored.
    pub fn install_grants(&mut self, grants: &plan::HostGrants) {
        if grants.sequence > self.grants.sequence {
            self.grants = grants.clone();
            self.apply_grants();
        }
    }

    fn apply_grants(&mut self) {
        for (_, counter) in self.units.iter_mut() {
            counter.grant = 0;
        }
        for grant in self.grants.grants.clone() {
            if let Some(slot) = self.units.slot_of(&grant.key)
                && let Some(counter) = self.units.get_mut(slot)
            {
                counter.grant = grant.units;
                self.deal_grant(slot, grant.offset, grant.units);
            }
        }
    }

    fn deal_grant(&mut self, slot: SlotIndex, offset: u32, units: u32) {
        for service in self.services.values_mut() {
            let mut places = service.near.iter_mut().chain(&mut service.far);
            if let Some(place) = places.find(|place| place.place == slot) {
                compile::deal_slots(&mut place.servers, offset, units);
            }
        }
    }

    /// Admits a request, holds it, or refuses it on its arrival.
    pub fn admit(&mut self, facts: &RequestFacts<'_>, now: timer::Moment) -> AdmitDecision {
        let Some(service) = self.services.get(facts.service) else {
            return AdmitDecision::Refused(self.unknown_service());
        };
        let Some(class) = service
            .classes
            .iter()
            .position(|class| class.name == facts.class)
        else {
            let code = ResultCode::ClassUnknown;
            return AdmitDecision::Refused(RequestRefusal {
                code,
                retry_after_ms: None,
            });
        };
        let entry = WaitEntry {
            ticket: WaitTicket(self.next_ticket),
            class,
            home: facts.home.or(self.own_region),
            block_hash: facts.block_hash,
            deadline: now.plus(
                facts
                    .time_left_ms
                    .unwrap_or(service.classes[class].deadline_ms),
            ),
        };
        if self.is_too_late(&service.classes[class], &entry, now) {
            return AdmitDecision::Refused(too_late());
        }
        let ahead = self
            .lines
            .get(facts.service)
            .map_or(0, |line| line.ahead_of(service.classes[class].weight));
        let placed = if ahead == 0 {
            self.place(facts.service, &entry, now)
        } else {
            PlaceOutcome::NoRoom
        };
        match placed {
            PlaceOutcome::Admitted(admission) => AdmitDecision::Admitted(admission),
            PlaceOutcome::NoServer => AdmitDecision::Refused(no_server()),
            PlaceOutcome::NoRoom => self.hold_or_refuse(facts.service, entry, ahead, now),
        }
    }

    fn unknown_service(&self) -> RequestRefusal {
        if self.topology.is_some() {
            return RequestRefusal {
                code: ResultCode::ServiceUnknown,
                retry_after_ms: None,
            };
        }
        RequestRefusal {
            code: ResultCode::ConfigurationMissing,
            retry_after_ms: Some(COME_BACK_LONG_MS),
        }
    }

    /// Whether not even the fastest answer would come in time.
    fn is_too_late(&self, class: &ClassChoice, entry: &WaitEntry, now: timer::Moment) -> bool {
        let time_left = entry.deadline.since(now);
        let fastest = self
            .estimates
            .get(class.estimate)
            .map_or(0.0, |estimate| estimate.fastest_ms);
        time_left == 0 || (time_left as f64) < fastest
    }

    /// Finds a place with room and a server for a request.
    fn place(&mut self, name: &str, entry: &WaitEntry, now: timer::Moment) -> PlaceOutcome {
        let Some(service) = self.services.get(name) else {
            return PlaceOutcome::NoServer;
        };
        let class = &service.classes[entry.class];
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
                SteeringPolicy::Naive => {
                    let all = service
                        .near
                        .iter()
                        .chain(&service.far)
                        .flat_map(|place| &place.servers);
                    let all: Vec<compile::ServerChoice> = all.copied().collect();
                    choice::next_in_turn(&all, &mut self.turn)
                }
            };
            saw_server |= server.is_some();
            let room = self.policy == SteeringPolicy::Naive || self.has_room(ordered);
            if let (true, Some(server)) = (room, server) {
                let admission = RequestAdmission {
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
                };
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

    /// A request without room waits if it is expected to get a unit and its answer in time;
    /// otherwise it is refused now, with when to come back.
    fn hold_or_refuse(
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

    /// Requests whose waiting has ended, after units came free or time passed.
    pub fn take_ready(&mut self, now: timer::Moment) -> Vec<WaitEnd> {
        let names: Vec<String> = self
            .lines
            .iter()
            .filter(|(_, line)| line.len() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        let mut ends = Vec::new();
        for name in names {
            self.refuse_late(&name, now, &mut ends);
            self.place_waiting(&name, now, &mut ends);
        }
        ends
    }

    /// Waiting requests that can't be answered in time any more get that answer now.
    fn refuse_late(&mut self, name: &str, now: timer::Moment, ends: &mut Vec<WaitEnd>) {
        let Some(mut line) = self.lines.remove(name) else {
            return;
        };
        let late = match self.services.get(name) {
            Some(service) => line.take_late(|entry| {
                service
                    .classes
                    .get(entry.class)
                    .is_none_or(|class| self.is_too_late(class, entry, now))
            }),
            None => line.take_late(|_| true),
        };
        ends.extend(late.into_iter().map(|entry| WaitEnd {
            ticket: entry.ticket,
            result: Err(too_late()),
        }));
        self.lines.insert(name.to_owned(), line);
    }

    fn place_waiting(&mut self, name: &str, now: timer::Moment, ends: &mut Vec<WaitEnd>) {
        let mut failed = 0;
        let mut tried = collections::HashSet::new();
        while failed < TRIED_WAITERS {
            let line = self.lines.get(name);
            let Some(entry) = line.and_then(|line| {
                line.iter()
                    .find(|entry| !tried.contains(&entry.ticket))
                    .copied()
            }) else {
                return;
            };
            tried.insert(entry.ticket);
            let PlaceOutcome::Admitted(admission) = self.place(name, &entry, now) else {
                failed += 1;
                continue;
            };
            self.cancel_wait(entry.ticket);
            ends.push(WaitEnd {
                ticket: entry.ticket,
                result: Ok(admission),
            });
        }
    }

    /// The caller of a waiting request has gone away.
    pub fn cancel_wait(&mut self, ticket: WaitTicket) {
        for line in self.lines.values_mut() {
            if line.remove(ticket) {
                return;
            }
        }
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

    /// A refusal is put down to what was full: the places that would have done, or the route.
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

    /// Another server of the same place for an attempt that failed, if the retry budget and the
    /// deadline allow one. `proved_unrun` says that the first attempt did not run.
    pub fn retry(
        &mut self,
        admission: &mut RequestAdmission,
        proved_unrun: bool,
        now: timer::Moment,
    ) -> bool {
        if !(admission.repeatable || proved_unrun) || now >= admission.deadline {
            return false;
        }
        let Some(server) = self.other_server(admission, now) else {
            return false;
        };
        let allowed = match self.policy {
            SteeringPolicy::Naive => admission.attempts < NAIVE_ATTEMPTS,
            SteeringPolicy::Steered => self
                .retries
                .get_mut(admission.retry)
                .is_some_and(RetryBudget::try_retry),
        };
        if !allowed {
            return false;
        }
        admission.attempts += 1;
        admission.server = server;
        if let Some(health) = self.servers.get_mut(server.slot) {
            health.begin();
        }
        true
    }

    fn other_server(
        &mut self,
        admission: &RequestAdmission,
        now: timer::Moment,
    ) -> Option<ChosenServer> {
        let service = self
            .services
            .values()
            .find(|service| service.id == admission.service)?;
        let places = service.near.iter().chain(&service.far);
        if self.policy == SteeringPolicy::Naive {
            let all: Vec<compile::ServerChoice> =
                places.flat_map(|place| &place.servers).copied().collect();
            return choice::next_in_turn(&all, &mut self.turn);
        }
        let place = places
            .into_iter()
            .find(|place| place.place == admission.place)?;
        let avoid = Some(admission.server.slot);
        choice::pick_server(
            &view_of(&self.servers, &self.units, place, avoid, now),
            &mut self.random,
        )
    }

    /// An attempt at the admission's server ended; its place is kept until [`Self::finish`].
    pub fn end_attempt(
        &mut self,
        admission: &RequestAdmission,
        result: AttemptResult,
        claimed_load: Option<u32>,
        now: timer::Moment,
    ) {
        self.note_answer(admission, result, claimed_load, now);
        if let Some(health) = self.servers.get_mut(admission.server.slot) {
            health.end();
        }
    }

    /// The head of an answer came, or it is known that none will; the attempt itself goes on.
    pub fn note_answer(
        &mut self,
        admission: &RequestAdmission,
        result: AttemptResult,
        claimed_load: Option<u32>,
        now: timer::Moment,
    ) {
        let answer_ms = now.since(admission.started);
        if let Some(health) = self.servers.get_mut(admission.server.slot) {
            match result {
                AttemptResult::Success => health.on_success(answer_ms),
                AttemptResult::Failure => health.on_failure(now),
                AttemptResult::Shed | AttemptResult::Abandoned => {}
            }
            if let Some(in_use) = claimed_load {
                health.on_claim(LoadClaim { in_use, at: now });
            }
        }
        if result == AttemptResult::Success {
            self.note_success(admission, answer_ms as f64);
        }
    }

    fn note_success(&mut self, admission: &RequestAdmission, answer_ms: f64) {
        if let Some(retry) = self.retries.get_mut(admission.retry) {
            retry.on_success();
        }
        if let Some(counter) = self.units.get_mut(admission.place) {
            counter.note_answer(answer_ms);
        }
        if let Some(estimate) = self.estimates.get_mut(admission.estimate) {
            estimate.note(answer_ms);
        }
    }

    /// Gives back the units of an admission, however it ended.
    pub fn finish(&mut self, admission: &RequestAdmission) {
        for slot in std::iter::once(admission.place).chain(admission.route) {
            if let Some(counter) = self.units.get_mut(slot) {
                counter.put_back();
                counter.completed += 1;
            }
        }
    }

    /// Gives no new work to the named backend servers, and lifts that from all others.
    pub fn set_leaving_servers(&mut self, names: &[String]) {
        for ((name, _), health) in self.servers.iter_mut() {
            health.set_leaving(names.contains(name));
        }
    }

    /// The server of an admission says itself that it leaves: it gets no new work from here on.
    /// Returns its name, for the other workers and hosts.
    pub fn mark_leaving(&mut self, admission: &RequestAdmission) -> Option<String> {
        let health = self.servers.get_mut(admission.server.slot)?;
        if health.is_leaving() {
            return None;
        }
        health.set_leaving(true);
        self.servers
            .key_of(admission.server.slot)
            .map(|(name, _)| name.clone())
    }

    /// Requests still running at backend servers that get no new work.
    #[must_use]
    pub fn draining_in_flight(&mut self) -> u32 {
        let Some(topology) = &self.topology else {
            return 0;
        };
        let serving: collections::HashSet<&str> = topology
            .servers
            .iter()
            .filter(|server| server.serving)
            .map(|server| server.name.as_str())
            .collect();
        let draining = self
            .servers
            .iter_mut()
            .filter(|((name, _), health)| health.is_leaving() || !serving.contains(name.as_str()));
        draining.map(|(_, health)| health.in_flight()).sum()
    }

    /// Units granted and not in use, by hall.
    pub fn headroom(&mut self) -> impl Iterator<Item = (&PlaceKey, u32)> {
        let halls = self
            .units
            .iter_mut()
            .filter(|(key, _)| matches!(key, PlaceKey::Hall { .. }));
        halls.map(|(key, counter)| (key, counter.grant.saturating_sub(counter.in_use)))
    }

    /// Units in use now, over all places and without routes.
    #[must_use]
    pub fn in_flight(&mut self) -> u32 {
        let halls = self
            .units
            .iter_mut()
            .filter(|(key, _)| matches!(key, PlaceKey::Hall { .. }));
        halls.map(|(_, counter)| counter.in_use).sum()
    }

    /// Waiting requests count as load of all near places alike, since any of them would do.
    fn count_waiting(&mut self) {
        for (name, service) in &self.services {
            let places = if service.near.is_empty() {
                &service.far
            } else {
                &service.near
            };
            let waiting = self.lines.get(name).map_or(0, WaitingLine::len);
            let share = waiting as f64 / places.len().max(1) as f64;
            for place in places {
                if let Some(counter) = self.units.get_mut(place.place) {
                    counter.waiting = share;
                }
            }
        }
    }

    /// The use of each place since the last call, for the planner.
    pub fn take_usage(&mut self, now: timer::Moment) -> Vec<report::PlaceUsage> {
        let window_ms = now.since(self.window_start).max(1) as f64;
        self.window_start = now;
        self.count_waiting();
        let mut usage = Vec::new();
        for (key, counter) in self.units.iter_mut() {
            let unserved = counter.refused_ms / window_ms;
            let load = f64::from(counter.in_use) + counter.waiting + unserved;
            let load_milli = (load * 1_000.0).round() as u32;
            if load_milli > 0 || counter.completed > 0 {
                usage.push(report::PlaceUsage {
                    key: key.clone(),
                    in_use: counter.in_use,
                    load_milli,
                    completed: counter.completed,
                    refused: counter.refused,
                });
            }
            counter.completed = 0;
            counter.refused = 0;
            counter.refused_ms = 0.0;
        }
        usage
    }
}

fn view_of<'v>(
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

/// What keeps a request out of the places that are nearest to it: each full place without a route,
/// or else the full parts of the first one with a route.
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

/// What came of looking for a place.
enum PlaceOutcome {
    Admitted(RequestAdmission),
    /// Servers there are, but no units.
    NoRoom,
    /// No server may be chosen at all.
    NoServer,
}

const fn too_late() -> RequestRefusal {
    RequestRefusal {
        code: ResultCode::DeadlineTooShort,
        retry_after_ms: Some(*COME_BACK_MS.start()),
    }
}

const fn no_server() -> RequestRefusal {
    RequestRefusal {
        code: ResultCode::NoHealthyServer,
        retry_after_ms: Some(COME_BACK_LONG_MS),
    }
}
