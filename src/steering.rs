//! The steering role of one worker: admits or refuses a request at once, and picks its hall and
//! backend server within the worker's slice of the host's grants.
//!
//! Memory: one counter for each place and route of the declaration, one health record for each
//! backend server, one estimate for each class; what a new declaration drops goes once unused.

use std::{collections, net, sync};

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::budget::PlaceKey;
use crate::declaration::SteeringPriority;
use crate::health::{LoadClaim, ServerHealth};
use crate::plan;
use crate::report;
use crate::result_code::ResultCode;
use crate::retry::RetryBudget;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;
use crate::topology::{HallId, RegionId, ServerId, ServiceId, SteeringTopology};

/// Come-back times lie in this range, in milliseconds.
const COME_BACK_MS: std::ops::RangeInclusive<u64> = 50..=5_000;
/// Come-back time where only time can help: no host, no server, no configuration.
pub const COME_BACK_LONG_MS: u64 = 1_000;
const AVERAGE_WEIGHT: f64 = 0.1;
/// One part in so many of a grant is kept for the heaviest class.
const RESERVE_DIVISOR: u32 = 8;
/// At most this share of a place's servers may be left out as ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// What steering must know of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'r> {
    /// The service's name.
    pub service: &'r str,
    /// The class's name.
    pub class: &'r str,
    /// The region that the caller is near, if its block is known.
    pub home: Option<RegionId>,
    /// A hash that stays the same for the caller's block.
    pub block_hash: u64,
    /// Time left until the deadline, in milliseconds; `None` takes the class's own.
    pub time_left_ms: Option<u64>,
}

/// An admitted request. It must be given back by [`SteeringRole::finish`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAdmission {
    /// The service.
    pub service: ServiceId,
    /// The chosen backend server.
    pub server: ChosenServer,
    /// When the request must be answered.
    pub deadline: timer::Moment,
    /// Whether it may be sent twice.
    pub repeatable: bool,
    /// The hall, by name, for the caller and the logs.
    pub hall: HallId,
    place: SlotIndex,
    route: Option<SlotIndex>,
    estimate: SlotIndex,
    retry: SlotIndex,
    started: timer::Moment,
}

/// A backend server that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenServer {
    /// Where it listens.
    pub address: net::SocketAddr,
    slot: SlotIndex,
}

/// A request that was not admitted; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why.
    pub code: ResultCode,
    /// When to come back, in milliseconds; `None` where the same request can't succeed.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It answered below 500.
    Success,
    /// It answered 500 or above, or not at all.
    Failure,
    /// It said that it did not run the request.
    Shed,
    /// The caller went away; says nothing about the server.
    Abandoned,
}

/// Use of a place or route by this worker.
#[derive(Debug, Default)]
struct UnitCounter {
    grant: u32,
    in_use: u32,
    peak: u32,
    completed: u32,
    refused: u32,
    refused_ms: f64,
}

impl UnitCounter {
    const fn has_room(&self, reserve: u32) -> bool {
        self.in_use < self.grant.saturating_sub(reserve)
    }

    const fn take(&mut self) {
        self.in_use += 1;
        if self.in_use > self.peak {
            self.peak = self.in_use;
        }
    }

    const fn put_back(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }
}

#[derive(Debug, Clone, Copy)]
struct AnswerEstimate {
    answer_ms: f64,
    fastest_ms: f64,
}

#[derive(Debug, Clone)]
struct PlaceChoice {
    hall: HallId,
    region: RegionId,
    place: SlotIndex,
    servers: Vec<ServerChoice>,
}

#[derive(Debug, Clone, Copy)]
struct ServerChoice {
    slot: SlotIndex,
    address: net::SocketAddr,
    slots: u32,
}

#[derive(Debug, Clone)]
struct ClassChoice {
    name: String,
    reserve: bool,
    deadline_ms: u64,
    repeatable: bool,
    estimate: SlotIndex,
}

#[derive(Debug, Clone)]
struct ShiftChoice {
    from: RegionId,
    to: RegionId,
    share: f64,
}

#[derive(Debug, Clone)]
struct ServiceChoice {
    id: ServiceId,
    classes: Vec<ClassChoice>,
    priority: SteeringPriority,
    near: Vec<PlaceChoice>,
    far: Vec<PlaceChoice>,
    routes: collections::HashMap<(RegionId, RegionId), SlotIndex>,
    shifts: Vec<ShiftChoice>,
    retry: SlotIndex,
}

/// The steering role of one worker.
#[derive(Debug)]
pub struct SteeringRole {
    own_hall: String,
    own_region: Option<RegionId>,
    topology: Option<sync::Arc<SteeringTopology>>,
    services: collections::HashMap<String, ServiceChoice>,
    units: SlotTable<PlaceKey, UnitCounter>,
    servers: SlotTable<(String, net::SocketAddr), ServerHealth>,
    estimates: SlotTable<(String, String), AnswerEstimate>,
    retries: SlotTable<String, RetryBudget>,
    grants: plan::HostGrants,
    window_start: timer::Moment,
    random: rand::rngs::SmallRng,
}

impl SteeringRole {
    /// A worker of a host in `own_hall` that has neither topology nor grants.
    #[must_use]
    pub fn new(own_hall: &str, seed: u64) -> Self {
        Self {
            own_hall: own_hall.to_owned(),
            own_region: None,
            topology: None,
            services: collections::HashMap::new(),
            units: SlotTable::default(),
            servers: SlotTable::default(),
            estimates: SlotTable::default(),
            retries: SlotTable::default(),
            grants: plan::HostGrants::default(),
            window_start: timer::Moment::default(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
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

    fn compile_service(
        &mut self,
        topology: &SteeringTopology,
        id: ServiceId,
        own_hall: Option<HallId>,
        cold: bool,
        now: timer::Moment,
    ) -> ServiceChoice {
        let service = &topology.services[id.index()];
        let name = &service.entry.name;
        let mut places = Vec::new();
        for place in &service.places {
            let hall = &topology.halls[place.hall.index()];
            let key = PlaceKey::with_hall(name, &hall.name);
            places.push(PlaceChoice {
                hall: place.hall,
                region: hall.region,
                place: self.units.ensure(&key, UnitCounter::default),
                servers: place
                    .servers
                    .iter()
                    .map(|&server| self.server_choice(topology, server, cold, now))
                    .collect(),
            });
        }
        let own_region = self.own_region;
        let (mut near, mut far): (Vec<_>, Vec<_>) = places
            .into_iter()
            .partition(|place| Some(place.region) == own_region);
        near.sort_by_key(|place| Some(place.hall) != own_hall);
        far.sort_by_key(|place| own_region.map_or(0, |own| topology.latency_ms(own, place.region)));
        let retry = self
            .retries
            .ensure(name, || RetryBudget::with_share(service.entry.retry_budget));
        if let Some(budget) = self.retries.get_mut(retry) {
            budget.set_share(service.entry.retry_budget);
        }
        ServiceChoice {
            id,
            classes: self.class_choices(topology, id),
            priority: service.entry.priority,
            near,
            far,
            routes: self.route_slots(topology, name),
            shifts: shift_choices(topology, name),
            retry,
        }
    }

    fn server_choice(
        &mut self,
        topology: &SteeringTopology,
        server: ServerId,
        cold: bool,
        now: timer::Moment,
    ) -> ServerChoice {
        let server = &topology.servers[server.index()];
        let key = (server.name.clone(), server.address);
        let slot = self.servers.ensure(&key, || ServerHealth::new(now, cold));
        ServerChoice {
            slot,
            address: server.address,
            slots: server.slots,
        }
    }

    fn class_choices(&mut self, topology: &SteeringTopology, id: ServiceId) -> Vec<ClassChoice> {
        let entry = &topology.services[id.index()].entry;
        let heaviest = entry
            .classes
            .iter()
            .map(|class| class.weight)
            .max()
            .unwrap_or(1);
        let mut classes = Vec::new();
        for class in &entry.classes {
            let key = (entry.name.clone(), class.name.clone());
            let estimate = AnswerEstimate {
                answer_ms: 20.0,
                fastest_ms: 0.0,
            };
            classes.push(ClassChoice {
                name: class.name.clone(),
                reserve: class.weight < heaviest,
                deadline_ms: class.deadline_ms,
                repeatable: class.repeatable,
                estimate: self.estimates.ensure(&key, || estimate),
            });
        }
        classes
    }

    fn route_slots(
        &mut self,
        topology: &SteeringTopology,
        service: &str,
    ) -> collections::HashMap<(RegionId, RegionId), SlotIndex> {
        let mut routes = collections::HashMap::new();
        for link in &topology.declaration.links {
            for (from, to) in [(&link.from, &link.to), (&link.to, &link.from)] {
                let ends = (topology.region_id(from), topology.region_id(to));
                if let (Some(from_id), Some(to_id)) = ends {
                    let key = PlaceKey::with_route(service, from, to);
                    routes.insert(
                        (from_id, to_id),
                        self.units.ensure(&key, UnitCounter::default),
                    );
                }
            }
        }
        routes
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
        for grant in &self.grants.grants {
            if let Some(slot) = self.units.slot_of(&grant.key)
                && let Some(counter) = self.units.get_mut(slot)
            {
                counter.grant = grant.units;
            }
        }
    }

    /// Admits a request or refuses it at once.
    ///
    /// # Errors
    /// [`RequestRefusal`] with its code and when to come back.
    pub fn admit(
        &mut self,
        facts: &RequestFacts<'_>,
        now: timer::Moment,
    ) -> Result<RequestAdmission, RequestRefusal> {
        let Some(service) = self.services.get(facts.service) else {
            let known = self.topology.is_some();
            let code = if known {
                ResultCode::ServiceUnknown
            } else {
                ResultCode::ConfigurationMissing
            };
            return Err(RequestRefusal {
                code,
                retry_after_ms: (!known).then_some(COME_BACK_LONG_MS),
            });
        };
        let Some(class) = service
            .classes
            .iter()
            .find(|class| class.name == facts.class)
        else {
            return Err(RequestRefusal {
                code: ResultCode::ClassUnknown,
                retry_after_ms: None,
            });
        };
        let time_left = facts.time_left_ms.unwrap_or(class.deadline_ms);
        let estimate = self.estimates.get(class.estimate).copied();
        if estimate.is_some_and(|estimate| (time_left as f64) < estimate.fastest_ms)
            || time_left == 0
        {
            return Err(RequestRefusal {
                code: ResultCode::DeadlineTooShort,
                retry_after_ms: Some(*COME_BACK_MS.start()),
            });
        }
        let home = facts.home.or(self.own_region);
        let order = place_order(service, facts, home, self.own_region, &self.units);
        let mut saw_server = false;
        for choice in &order {
            let room = self.has_room(choice, class.reserve);
            let server = pick_server(
                &choice.place.servers,
                &self.servers,
                &mut self.random,
                None,
                now,
            );
            saw_server |= server.is_some();
            if let (true, Some(server)) = (room, server) {
                let admission = RequestAdmission {
                    service: service.id,
                    server,
                    deadline: now.plus(time_left),
                    repeatable: class.repeatable,
                    hall: choice.place.hall,
                    place: choice.place.place,
                    route: choice.route,
                    estimate: class.estimate,
                    retry: service.retry,
                    started: now,
                };
                self.take(&admission);
                return Ok(admission);
            }
        }
        let answer_ms = estimate.map_or(0.0, |estimate| estimate.answer_ms);
        let first = order
            .first()
            .map(|choice| (choice.place.place, choice.route));
        Err(self.refuse(first, saw_server, answer_ms))
    }

    fn has_room(&self, choice: &OrderedPlace<'_>, reserve: bool) -> bool {
        let room = |slot: SlotIndex, reserve: bool| {
            self.units.get(slot).is_some_and(|counter| {
                counter.has_room(if reserve {
                    counter.grant / RESERVE_DIVISOR
                } else {
                    0
                })
            })
        };
        room(choice.place.place, reserve) && choice.route.is_none_or(|route| room(route, false))
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

    fn refuse(
        &mut self,
        first: Option<(SlotIndex, Option<SlotIndex>)>,
        saw_server: bool,
        answer_ms: f64,
    ) -> RequestRefusal {
        let Some((place, route)) = first.filter(|_| saw_server) else {
            return RequestRefusal {
                code: ResultCode::NoHealthyServer,
                retry_after_ms: Some(COME_BACK_LONG_MS),
            };
        };
        let mut pressure = 1.0;
        for slot in std::iter::once(place).chain(route) {
            if let Some(counter) = self.units.get_mut(slot) {
                counter.refused += 1;
                counter.refused_ms += answer_ms;
                pressure = 1.0 + f64::from(counter.refused) / f64::from(counter.grant.max(1));
            }
        }
        let spread = self.random.random_range(0.5..1.5);
        let millis = (answer_ms * pressure * spread) as u64;
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
        let places = self
            .services
            .values()
            .find(|service| service.id == admission.service);
        let place = places.and_then(|service| {
            service
                .near
                .iter()
                .chain(&service.far)
                .find(|place| place.place == admission.place)
        });
        let Some(place) = place else {
            return false;
        };
        let avoid = Some(admission.server.slot);
        let Some(server) = pick_server(&place.servers, &self.servers, &mut self.random, avoid, now)
        else {
            return false;
        };
        if !self
            .retries
            .get_mut(admission.retry)
            .is_some_and(RetryBudget::try_retry)
        {
            return false;
        }
        admission.server = server;
        if let Some(health) = self.servers.get_mut(server.slot) {
            health.begin();
        }
        true
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
        if let Some(estimate) = self.estimates.get_mut(admission.estimate) {
            estimate.answer_ms += AVERAGE_WEIGHT * (answer_ms - estimate.answer_ms);
            estimate.fastest_ms = if estimate.fastest_ms == 0.0 {
                answer_ms
            } else {
                answer_ms.min(estimate.fastest_ms * 1.01)
            };
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

    /// The use of each place since the last call, for the planner.
    pub fn take_usage(&mut self, now: timer::Moment) -> Vec<report::PlaceUsage> {
        let window_ms = now.since(self.window_start).max(1) as f64;
        self.window_start = now;
        let mut usage = Vec::new();
        for (key, counter) in self.units.iter_mut() {
            let unserved = (counter.refused_ms / window_ms).ceil() as u32;
            let unserved = if counter.refused > 0 {
                unserved.max(1)
            } else {
                0
            };
            let demand = counter.peak + unserved;
            if demand > 0 || counter.completed > 0 || counter.in_use > 0 {
                usage.push(report::PlaceUsage {
                    key: key.clone(),
                    in_use: counter.in_use,
                    demand,
                    completed: counter.completed,
                    refused: counter.refused,
                });
            }
            counter.peak = counter.in_use;
            counter.completed = 0;
            counter.refused = 0;
            counter.refused_ms = 0.0;
        }
        usage
    }
}

#[derive(Debug, Clone, Copy)]
struct OrderedPlace<'c> {
    place: &'c PlaceChoice,
    route: Option<SlotIndex>,
}

/// The places that may serve a request, best first: where a shift sends it, the own region, then
/// the others by latency. Work that leaves its home region needs a unit of the route.
fn place_order<'c>(
    service: &'c ServiceChoice,
    facts: &RequestFacts<'_>,
    home: Option<RegionId>,
    own: Option<RegionId>,
    units: &SlotTable<PlaceKey, UnitCounter>,
) -> Vec<OrderedPlace<'c>> {
    let mut order = Vec::with_capacity(service.near.len() + service.far.len());
    for place in service.near.iter().chain(&service.far) {
        if let Some(ordered) = ordered_place(service, place, home, own) {
            order.push(ordered);
        }
    }
    if service.priority == SteeringPriority::Headroom {
        let load = |ordered: &OrderedPlace<'_>| {
            units.get(ordered.place.place).map_or(1.0, |counter| {
                f64::from(counter.in_use) / f64::from(counter.grant.max(1))
            })
        };
        order.sort_by(|left, right| {
            let far = |ordered: &OrderedPlace<'_>| Some(ordered.place.region) != own;
            far(left)
                .cmp(&far(right))
                .then(load(left).total_cmp(&load(right)))
        });
    }
    if let Some(to) = shifted_region(service, facts.block_hash, home) {
        order.sort_by_key(|ordered| ordered.place.region != to);
    }
    order
}

fn ordered_place<'c>(
    service: &ServiceChoice,
    place: &'c PlaceChoice,
    home: Option<RegionId>,
    own: Option<RegionId>,
) -> Option<OrderedPlace<'c>> {
    let (home, own) = (home?, own?);
    if place.region == home && home == own {
        return Some(OrderedPlace { place, route: None });
    }
    let ends = if place.region == home {
        (own, place.region)
    } else if place.region == own || home == own {
        (home, place.region)
    } else {
        return None;
    };
    let route = service.routes.get(&ends).copied()?;
    Some(OrderedPlace {
        place,
        route: Some(route),
    })
}

fn shifted_region(
    service: &ServiceChoice,
    block_hash: u64,
    home: Option<RegionId>,
) -> Option<RegionId> {
    let position = (block_hash >> 11) as f64 / (1_u64 << 53) as f64;
    let shift = service
        .shifts
        .iter()
        .find(|shift| Some(shift.from) == home)?;
    (position < shift.share).then_some(shift.to)
}

fn shift_choices(topology: &SteeringTopology, service: &str) -> Vec<ShiftChoice> {
    let shifts = topology
        .declaration
        .shifts
        .iter()
        .filter(|shift| shift.service == service);
    shifts
        .filter_map(|shift| {
            Some(ShiftChoice {
                from: topology.region_id(&shift.from)?,
                to: topology.region_id(&shift.to)?,
                share: shift.share,
            })
        })
        .collect()
}

/// The better of two at random (Mitzenmacher, 2001) among servers that are neither ejected nor
/// full of this worker's own requests. When more than half look ejected, the fault is probably
/// not theirs: then all count.
fn pick_server(
    servers: &[ServerChoice],
    health: &SlotTable<(String, net::SocketAddr), ServerHealth>,
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
    health: &SlotTable<(String, net::SocketAddr), ServerHealth>,
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
    health: &SlotTable<(String, net::SocketAddr), ServerHealth>,
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
