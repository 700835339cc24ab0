//! Event-driven simulation of a scenario under one limit strategy.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::customer::SimCustomer;
use super::report::LimitReport;
use super::scenario::{LimitFault, LimitScenario};
use super::strategies::{self, HostView, LimitStrategy, SentMessage, SimDecision, SimRequest};
use crate::entry::limits::ROUND_INTERVAL_MS;
use crate::timer::Moment;

/// How long the other hosts take a host that stopped answering for alive, in milliseconds.
const FAILURE_DETECTION_MS: u64 = 2_500;
/// How long the other hosts take to see a started host, in milliseconds.
const START_DETECTION_MS: u64 = 300;

/// An event of the simulation.
#[derive(Debug, Clone)]
pub(super) enum WorldEvent<M> {
    Arrive {
        customer: usize,
    },
    Round {
        host: usize,
        run: u64,
    },
    Deliver {
        from: usize,
        to: usize,
        message: M,
    },
    WaitEnded {
        host: usize,
        id: u64,
        wait_number: u64,
    },
    Begin(LimitFault),
    End(LimitFault),
    Start {
        host: usize,
    },
}

/// The state of one simulated host.
#[derive(Debug)]
pub(super) struct SimHost<W> {
    pub(super) strategy: W,
    pub(super) run: u64,
    pub(super) is_alive: bool,
    pub(super) changed_at: Moment,
    pub(super) waiting: HashMap<u64, (SimRequest, usize, u64)>,
}

/// One simulation run.
pub struct LimitWorld<'a, W: LimitStrategy> {
    pub(super) scenario: &'a LimitScenario,
    pub(super) now: Moment,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: HashMap<u64, WorldEvent<W::Message>>,
    pub(super) hosts: Vec<SimHost<W>>,
    regions: Vec<usize>,
    pub(super) customers: Vec<SimCustomer>,
    by_name: HashMap<u64, usize>,
    pub(super) random: SmallRng,
    pub(super) partition_of: Vec<u32>,
    pub(super) partitioned_since: Option<Moment>,
    pub(super) target_region: Option<usize>,
    next_id: u64,
    bytes: u64,
    messages: u64,
}

impl<W: LimitStrategy> std::fmt::Debug for LimitWorld<'_, W> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LimitWorld")
            .field("now", &self.now)
            .field("hosts", &self.hosts.len())
            .finish_non_exhaustive()
    }
}

/// Simulates `scenario` with random numbers from `seed`.
#[must_use]
pub fn simulate<W: LimitStrategy>(scenario: &LimitScenario, seed: u64) -> LimitReport {
    let mut world = LimitWorld::<W>::begin(scenario, seed);
    while let Some(Reverse((at, sequence))) = world.events.pop() {
        if at > scenario.length_ms {
            break;
        }
        world.now = Moment(at);
        if let Some(event) = world.pending_events.remove(&sequence) {
            world.on_event(event);
        }
    }
    world.report()
}

impl<'a, W: LimitStrategy> LimitWorld<'a, W> {
    fn begin(scenario: &'a LimitScenario, seed: u64) -> Self {
        let count = scenario.hosts as usize;
        let start = |own| SimHost {
            strategy: W::start(own, 1, Moment(0)),
            run: 1,
            is_alive: true,
            changed_at: Moment(0),
            waiting: HashMap::new(),
        };
        let rates = scenario.usual_rates();
        let customers: Vec<SimCustomer> = rates
            .iter()
            .enumerate()
            .map(|(number, rate)| SimCustomer::with_rate(scenario, number, *rate))
            .collect();
        let by_name = customers.iter().enumerate();
        let by_name = by_name.map(|(number, customer)| (customer.name, number));
        let mut world = Self {
            scenario,
            now: Moment(0),
            sequence: 0,
            events: BinaryHeap::new(),
            pending_events: HashMap::new(),
            hosts: (0..count).map(start).collect(),
            regions: (0..count)
                .map(|host| host % scenario.regions as usize)
                .collect(),
            by_name: by_name.collect(),
            customers,
            random: SmallRng::seed_from_u64(seed),
            partition_of: vec![0; count],
            partitioned_since: None,
            target_region: None,
            next_id: 0,
            bytes: 0,
            messages: 0,
        };
        for host in 0..count {
            let first = world.random.random_range(0..ROUND_INTERVAL_MS);
            world.schedule(first, WorldEvent::Round { host, run: 1 });
        }
        for customer in 0..world.customers.len() {
            world.schedule_arrival(customer);
        }
        for fault in &scenario.faults {
            world.schedule(fault.at_ms, WorldEvent::Begin(*fault));
        }
        world
    }

    pub(super) fn schedule(&mut self, after_ms: u64, event: WorldEvent<W::Message>) {
        self.sequence += 1;
        let at = self.now.plus(after_ms);
        self.events.push(Reverse((at.0, self.sequence)));
        self.pending_events.insert(self.sequence, event);
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let at = self.customers[customer].sample_next(&mut self.random, self.now);
        self.schedule(at.since(self.now), WorldEvent::Arrive { customer });
    }

    fn on_event(&mut self, event: WorldEvent<W::Message>) {
        match event {
            WorldEvent::Arrive { customer } => {
                self.schedule_arrival(customer);
                self.on_arrival(customer);
            }
            WorldEvent::Round { host, run } => self.on_round(host, run),
            WorldEvent::Deliver { from, to, message } => self.on_message(from, to, &message),
            WorldEvent::WaitEnded {
                host,
                id,
                wait_number,
            } => self.on_wait_ended(host, id, wait_number),
            WorldEvent::Begin(fault) => self.on_begin(fault),
            WorldEvent::End(fault) => self.on_end(fault),
            WorldEvent::Start { host } => self.on_start(host),
        }
    }

    fn on_arrival(&mut self, customer: usize) {
        let now = self.now;
        let candidates: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].is_alive)
            .filter(|host| {
                self.target_region
                    .is_none_or(|region| self.regions[*host] == region)
            })
            .collect();
        let sender = &mut self.customers[customer];
        sender.on_arrival(now);
        if candidates.is_empty() {
            sender.count.refused += 1;
            return;
        }
        self.next_id += 1;
        let request = SimRequest {
            id: self.next_id,
            customer: sender.name,
            bound: sender.bound,
        };
        let host = candidates[self.random.random_range(0..candidates.len())];
        let view = self.view(host);
        let mut out = Vec::new();
        let strategy = &mut self.hosts[host].strategy;
        let decision = strategy.on_request(&request, &view, now, &mut out);
        self.send_all(host, out);
        self.apply_decision(host, request, customer, decision, 0);
    }

    fn apply_decision(
        &mut self,
        host: usize,
        request: SimRequest,
        customer: usize,
        decision: SimDecision,
        wait_number: u64,
    ) {
        match decision {
            SimDecision::Admit => self.customers[customer].on_admitted(self.now),
            SimDecision::Refuse => self.customers[customer].count.refused += 1,
            SimDecision::Wait(timeout_ms) => {
                let wait_number = wait_number + 1;
                let waiting = &mut self.hosts[host].waiting;
                waiting.insert(request.id, (request, customer, wait_number));
                let id = request.id;
                self.schedule(
                    timeout_ms,
                    WorldEvent::WaitEnded {
                        host,
                        id,
                        wait_number,
                    },
                );
            }
        }
    }

    fn on_round(&mut self, host: usize, run: u64) {
        if !self.hosts[host].is_alive || self.hosts[host].run != run {
            return;
        }
        let view = self.view(host);
        let mut out = Vec::new();
        self.hosts[host]
            .strategy
            .on_round(&view, self.now, &mut out);
        self.send_all(host, out);
        self.schedule(ROUND_INTERVAL_MS, WorldEvent::Round { host, run });
    }

    fn on_message(&mut self, from: usize, to: usize, message: &W::Message) {
        if !self.hosts[to].is_alive || self.is_partitioned(from, to) {
            return;
        }
        let mut out = Vec::new();
        let customers = &self.customers;
        let by_name = &self.by_name;
        let bound_of = |name: u64| customers[by_name[&name]].bound;
        let strategy = &mut self.hosts[to].strategy;
        let decided = strategy.on_message(from, message, &bound_of, self.now, &mut out);
        self.send_all(to, out);
        let Some((id, decision)) = decided else {
            return;
        };
        if let Some((request, customer, wait_number)) = self.hosts[to].waiting.remove(&id) {
            self.apply_decision(to, request, customer, decision, wait_number);
        }
    }

    fn on_wait_ended(&mut self, host: usize, id: u64, wait_number: u64) {
        let is_due = |waiting: &(SimRequest, usize, u64)| waiting.2 == wait_number;
        if !self.hosts[host].waiting.get(&id).is_some_and(is_due) {
            return;
        }
        let Some((request, customer, wait_number)) = self.hosts[host].waiting.remove(&id) else {
            return;
        };
        let mut out = Vec::new();
        let strategy = &mut self.hosts[host].strategy;
        let decision = strategy.on_wait_ended(&request, self.now, &mut out);
        self.send_all(host, out);
        self.apply_decision(host, request, customer, decision, wait_number);
    }

    fn send_all(&mut self, from: usize, out: Vec<SentMessage<W::Message>>) {
        for sent in out {
            let to = sent.to;
            self.messages += 1;
            self.bytes += strategies::encoded_size(&sent.message) as u64;
            if self.random.random_bool(self.scenario.loss) {
                continue;
            }
            let latency_ms = match (from == to, self.regions[from] == self.regions[to]) {
                (true, _) => 0,
                (false, true) => self.scenario.local_latency_ms,
                (false, false) => self.scenario.remote_latency_ms,
            };
            // Some datagrams arrive out of order.
            let delay_ms = if self.random.random_bool(0.02) {
                self.random.random_range(0..=300)
            } else {
                0
            };
            let message = sent.message;
            let event = WorldEvent::Deliver { from, to, message };
            self.schedule(latency_ms + delay_ms, event);
        }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitioned_since.is_some() && self.partition_of[from] != self.partition_of[to]
    }

    fn view(&self, own: usize) -> HostView {
        let noticed = |since: Moment| self.now.since(since) > FAILURE_DETECTION_MS;
        let is_alive = |host: usize| {
            let other = &self.hosts[host];
            let is_detected = self.now.since(other.changed_at) > START_DETECTION_MS
                || other.changed_at == Moment(0);
            let partition_noticed =
                self.is_partitioned(own, host) && self.partitioned_since.is_some_and(noticed);
            let seen = if other.is_alive {
                is_detected
            } else {
                !noticed(other.changed_at)
            };
            host == own || (seen && !partition_noticed)
        };
        HostView {
            own,
            hosts: self.scenario.hosts,
            regions: self.regions.clone(),
            alive: (0..self.hosts.len()).map(is_alive).collect(),
        }
    }

    fn report(self) -> LimitReport {
        let seconds = self.scenario.length_ms as f64 / 1_000.0;
        let host_seconds = seconds * f64::from(self.scenario.hosts);
        let customers = self.customers.into_iter().map(SimCustomer::into_count);
        LimitReport::from_counts(
            W::NAME,
            customers.collect(),
            self.bytes as f64 / host_seconds,
            self.messages as f64 / host_seconds,
        )
    }
}
