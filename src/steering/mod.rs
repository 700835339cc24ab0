//! The steering role of one worker. It admits, queues or refuses a request on arrival, and selects
//! its hall and backend server within the worker's slice of the host's grants.
//!
//! Memory: one counter for each place and route of the declaration, one health record for each
//! backend server, and one estimate for each class. Entries that a new declaration no longer
//! contains are removed once they are unused. Queues are bounded.

mod attempts;
mod choice;
mod compile;
mod placement;
mod queue;
mod ranking;
mod request;
mod unit;
mod usage;
mod waiting;

use std::{collections, sync};

use rand::SeedableRng as _;

use choice::HealthTable;
use compile::{ClassChoice, ServiceChoice};
use placement::PlaceOutcome;
use queue::{WaitEntry, WaitQueue};
pub use request::{
    AdmitDecision, AttemptResult, ChosenServer, RequestAdmission, RequestFacts, RequestRefusal,
    WaitTicket,
};
use unit::{AnswerEstimate, UnitCounter};

use crate::budget::PlaceKey;
use crate::plan;
use crate::result_code::ResultCode;
use crate::retry::RetryBudget;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::timer;
use crate::topology::{RegionId, ServiceId, SteeringTopology};

/// Range of retry times that are sent to refused callers, in milliseconds.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 50..=5_000;
/// Retry time if the request can't be served for now: no host, no server or no configuration.
pub const UNAVAILABLE_RETRY_AFTER_MS: u64 = 1_000;

/// How a worker selects servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SteeringPolicy {
    /// Budgets, health and load decide.
    #[default]
    Steered,
    /// The baseline for measurements: round robin over the servers of all halls, no budget, always
    /// a retry.
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
    queues: collections::HashMap<String, WaitQueue>,
    units: SlotTable<PlaceKey, UnitCounter>,
    servers: HealthTable,
    estimates: SlotTable<(String, String), AnswerEstimate>,
    retries: SlotTable<String, RetryBudget>,
    grants: plan::HostGrants,
    window_start: timer::Moment,
    random: rand::rngs::SmallRng,
    next_ticket: u64,
    round_robin: usize,
}

/// How the wait of a request ended: it was admitted or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitOutcome {
    /// The ticket of the request.
    pub ticket: WaitTicket,
    /// The admission or the refusal.
    pub result: Result<RequestAdmission, RequestRefusal>,
}

impl SteeringRole {
    /// A worker of a host in `own_hall` without topology and grants.
    #[must_use]
    pub fn new(own_hall: &str, policy: SteeringPolicy, seed: u64) -> Self {
        Self {
            policy,
            own_hall: own_hall.to_owned(),
            own_region: None,
            topology: None,
            services: collections::HashMap::new(),
            queues: collections::HashMap::new(),
            units: SlotTable::default(),
            servers: SlotTable::default(),
            estimates: SlotTable::default(),
            retries: SlotTable::default(),
            grants: plan::HostGrants::default(),
            window_start: timer::Moment::default(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            next_ticket: 0,
            round_robin: 0,
        }
    }

    /// The active topology.
    #[must_use]
    pub const fn topology(&self) -> Option<&sync::Arc<SteeringTopology>> {
        self.topology.as_ref()
    }

    /// The sequence of the active plan.
    #[must_use]
    pub const fn installed_sequence(&self) -> u64 {
        self.grants.sequence
    }

    /// Applies a topology; an older one is ignored.
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
        self.remove_unused(topology);
        self.apply_grants();
    }

    fn remove_unused(&mut self, topology: &SteeringTopology) {
        let mut units: collections::HashSet<SlotIndex> = collections::HashSet::new();
        for service in self.services.values() {
            units.extend(
                service
                    .local
                    .iter()
                    .chain(&service.remote)
                    .map(|place| place.place),
            );
            units.extend(service.routes.values());
        }
        let table = &self.units;
        let used: collections::HashSet<PlaceKey> = units
            .iter()
            .filter_map(|&slot| table.key_of(slot).cloned())
            .collect();
        self.units
            .retain(|key, counter| counter.in_use > 0 || used.contains(key));
        self.servers.retain(|(name, address), health| {
            let declared = topology
                .servers
                .iter()
                .any(|server| server.name == *name && server.address == *address);
            declared || health.in_flight() > 0
        });
    }

    /// Applies grants; older ones are ignored.
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
                self.assign_grant(slot, grant.offset, grant.units);
            }
        }
    }

    fn assign_grant(&mut self, slot: SlotIndex, offset: u32, units: u32) {
        for service in self.services.values_mut() {
            let mut places = service.local.iter_mut().chain(&mut service.remote);
            if let Some(place) = places.find(|place| place.place == slot) {
                compile::assign_slots(&mut place.servers, offset, units);
            }
        }
    }

    /// Admits, queues or refuses a request on arrival.
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
            return AdmitDecision::Refused(placement::deadline_refusal());
        }
        let ahead = self
            .queues
            .get(facts.service)
            .map_or(0, |queue| queue.count_ahead(service.classes[class].weight));
        let placed = if ahead == 0 {
            self.place(facts.service, &entry, now)
        } else {
            PlaceOutcome::NoCapacity
        };
        match placed {
            PlaceOutcome::Admitted(admission) => AdmitDecision::Admitted(admission),
            PlaceOutcome::NoServer => AdmitDecision::Refused(placement::no_server_refusal()),
            PlaceOutcome::NoCapacity => self.enqueue_or_refuse(facts.service, entry, ahead, now),
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
            retry_after_ms: Some(UNAVAILABLE_RETRY_AFTER_MS),
        }
    }

    /// Whether even the fastest answer would miss the deadline.
    fn is_too_late(&self, class: &ClassChoice, entry: &WaitEntry, now: timer::Moment) -> bool {
        let time_left = entry.deadline.since(now);
        let fastest = self
            .estimates
            .get(class.estimate)
            .map_or(0.0, |estimate| estimate.fastest_ms);
        time_left == 0 || (time_left as f64) < fastest
    }

    /// Marks exactly these backend servers as leaving: they get no new requests.
    pub fn set_leaving_servers(&mut self, names: &[String]) {
        for ((name, _), health) in self.servers.iter_mut() {
            health.set_leaving(names.contains(name));
        }
    }

    /// Marks an admission's server as leaving because it announced its shutdown. Returns its name
    /// if it was not marked before, for the other workers and hosts.
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
}
