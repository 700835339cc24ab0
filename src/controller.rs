//! The controller of one host: the control roles put together, without clock, socket or thread.
//!
//! Memory: that of its roles, one entry for each worker, at most [`MAX_LEAVING`] leaving servers
//! and one entry for each claim that waits for its owner.

mod claims;
mod status;

use std::{collections, net, sync};

use crate::block_map::BlockMap;
use crate::claim_role::{ClaimAction, ClaimRole, WallWindow};
use crate::config_object::ConfigObject;
use crate::config_role::{ConfigAction, ConfigRole};
use crate::control_message::{
    CallPurpose, ControlAction, ControlAnswer, ControlInput, LeavingServer, PeerHeartbeat,
    WorkerUsage,
};
use crate::declaration::{self, DrainKind};
use crate::event::EventCode;
use crate::lookup::LookupTable;
use crate::member::{HostState, MemberRecord};
use crate::membership::{self, HeartbeatTarget, MembershipRole};
use crate::plan::HostGrants;
use crate::planner::{PlannerAction, PlannerRole, PlannerView};
use crate::platform_call::{
    ObjectName, PlatformCall, PlatformReply, ReadResult, STEER_KIND, WatchReply, WriteResult,
};
use crate::report::{HostReport, PlaceUsage};
use crate::roster::HostRoster;
use crate::timer::Moment;
use crate::topology::SteeringTopology;

/// Leaving servers that are remembered.
pub const MAX_LEAVING: usize = 1_000;
/// A leaving server that was not heard of again for this long may serve again.
const LEAVING_LIFE_MS: u64 = 60_000;
/// Leaving servers on one heartbeat.
const LEAVING_PER_HEARTBEAT: usize = 16;
/// Time between two reports to the planner.
const REPORT_MS: u64 = 500;
/// Time between two reads of the platform's host list.
const HOSTS_MS: u64 = 2_000;
/// Pause after a failed watch.
const WATCH_RETRY_MS: u64 = 500;
/// A leaving host keeps serving for this long, until look-ups have stopped naming it: their time
/// to live and the spread of its leaving.
pub const LEAVE_GRACE_MS: u64 = 3_500;
/// A stop that takes longer than this raises an alarm; nothing is cut.
const STOP_ALARM_MS: u64 = 60_000;

/// What a controller must know of its host.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The host's own record.
    pub me: MemberRecord,
    /// Control addresses to try first.
    pub peers: Vec<net::SocketAddr>,
    /// The number of workers.
    pub workers: usize,
    /// Seed of random choices.
    pub seed: u64,
}

/// The controller of one host.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each tells of a change that was logged, none is a mode"
)]
#[derive(Debug)]
pub struct HostController {
    workers: Vec<WorkerUsage>,
    membership: MembershipRole,
    config: ConfigRole,
    planner: PlannerRole,
    claims: ClaimRole,
    roster: HostRoster,
    topology: Option<sync::Arc<SteeringTopology>>,
    map: Option<sync::Arc<BlockMap>>,
    grants: HostGrants,
    leaving_servers: collections::BTreeMap<String, Moment>,
    owner_claims: collections::HashMap<u64, claims::OwnerClaim>,
    next_ticket: u64,
    platform_ok: bool,
    was_cut_off: bool,
    was_leader: bool,
    watch: WatchState,
    next_heartbeat: Moment,
    next_report: Moment,
    next_hosts: Moment,
    stopping: Option<Moment>,
    stop_alarmed: bool,
    now: Moment,
    drain_since: Option<Moment>,
    last_drain_ms: Option<u64>,
    actions: Vec<ControlAction>,
}

#[derive(Debug, Clone, Copy)]
struct WatchState {
    revision: u64,
    running: bool,
    retry_at: Moment,
}

impl HostController {
    /// A host that knows nothing yet.
    #[must_use]
    pub fn new(settings: &ControlSettings, now: Moment) -> Self {
        let me = settings.me.clone();
        let idle = |worker| WorkerUsage {
            worker,
            generation: 0,
            sequence: 0,
            usage: Vec::new(),
            in_flight: 0,
            draining: 0,
        };
        Self {
            workers: (0..settings.workers).map(idle).collect(),
            membership: MembershipRole::new(me.clone(), settings.peers.clone(), settings.seed, now),
            config: ConfigRole::new(),
            planner: PlannerRole::new(me.identity, now),
            claims: ClaimRole::new(),
            roster: HostRoster::default(),
            topology: None,
            map: None,
            grants: HostGrants::default(),
            leaving_servers: collections::BTreeMap::new(),
            owner_claims: collections::HashMap::new(),
            next_ticket: claims::FIRST_OWN_TICKET,
            platform_ok: true,
            was_cut_off: false,
            was_leader: false,
            watch: WatchState {
                revision: 0,
                running: false,
                retry_at: now,
            },
            next_heartbeat: now,
            next_report: now,
            next_hosts: now,
            stopping: None,
            stop_alarmed: false,
            now,
            drain_since: None,
            last_drain_ms: None,
            actions: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn handle(
        &mut self,
        input: ControlInput,
        now: Moment,
        wall_unix_ms: u64,
    ) -> Vec<ControlAction> {
        self.now = now;
        let wall = WallWindow {
            now_unix_ms: wall_unix_ms,
            window_ms: self.claim_window_ms(),
        };
        match input {
            ControlInput::Tick => self.on_tick(now, &wall),
            ControlInput::Platform(purpose, reply) => self.on_platform(purpose, reply, now, &wall),
            ControlInput::Heartbeat(ticket, heartbeat) => {
                self.on_heartbeat(ticket, &heartbeat, now);
            }
            ControlInput::HeartbeatDone(target, answer) => {
                self.on_heartbeat_done(&target, answer.as_ref(), now);
            }
            ControlInput::Report(ticket, report) => {
                let grants = self.planner.on_report(report, now);
                self.answer(ticket, ControlAnswer::Grants(grants));
            }
            ControlInput::ReportDone(grants) => self.on_grants(grants),
            ControlInput::Fetch(ticket) => {
                let object = self.config.installed().cloned();
                self.answer(ticket, ControlAnswer::Config(object));
            }
            ControlInput::Fetched(object) => self.on_fetched(object.as_ref()),
            ControlInput::Change(request) => {
                let actions = self.config.on_change(request, now);
                self.run_config(actions);
            }
            ControlInput::Usage(usage) => self.on_usage(usage, now),
            ControlInput::ServerLeaving(name) => self.note_leaving_server(name, now),
            ControlInput::Status(ticket) => {
                let status = Box::new(self.status(now));
                self.answer(ticket, ControlAnswer::Status(status));
            }
            ControlInput::Stop => self.on_stop(now),
            ControlInput::Claim(request) => self.on_claim(request, now, &wall),
            ControlInput::PeerClaim(ticket, claim) => {
                self.on_peer_claim(ticket, &claim, now, &wall);
            }
            ControlInput::PeerClaimDone(ticket, decision) => {
                self.on_peer_claim_done(ticket, decision, now);
            }
            ControlInput::Settle(key, attempt, status) => {
                self.on_settle(&key, attempt, status, now);
            }
            ControlInput::PeerSettle(settle) => self.on_peer_settle(&settle, now),
        }
        self.after_input(now);
        std::mem::take(&mut self.actions)
    }

    fn answer(&mut self, ticket: u64, answer: ControlAnswer) {
        self.actions.push(ControlAction::Answer(ticket, answer));
    }

    fn event(&mut self, code: EventCode, detail: impl Into<String>) {
        self.actions.push(ControlAction::Event(code, detail.into()));
    }

    fn claim_window_ms(&self) -> u64 {
        let services = self.topology.iter().flat_map(|topology| &topology.services);
        services
            .map(|service| service.entry.claim_window_ms)
            .max()
            .unwrap_or(0)
    }

    // --- time -------------------------------------------------------------------------------

    fn on_tick(&mut self, now: Moment, wall: &WallWindow) {
        let config = self.config.tick(now);
        self.run_config(config);
        self.tick_planner(now);
        let claims = self.claims.tick(now, wall);
        self.run_claims(claims);
        self.expire_owner_claims(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.plus(membership::HEARTBEAT_MS);
            self.send_heartbeats(now);
        }
        if now >= self.next_report {
            self.next_report = now.plus(REPORT_MS);
            self.send_report(now);
        }
        if now >= self.next_hosts {
            self.next_hosts = now.plus(HOSTS_MS);
            self.actions.push(ControlAction::Platform(
                CallPurpose::Hosts,
                PlatformCall::Hosts,
            ));
        }
        self.start_watch(now);
        self.expire_leaving_servers(now);
        self.check_stop(now);
    }

    fn tick_planner(&mut self, now: Moment) {
        let Some(topology) = self.topology.clone() else {
            return;
        };
        let view = PlannerView {
            topology: &topology,
            roster: &self.roster,
            rank: self.planner_rank(now),
        };
        let action = self.planner.tick(&view, now);
        self.run_planner(action);
    }

    /// Candidates are ordered by a hash of their names; a leaving or cut off host is none.
    fn planner_rank(&self, now: Moment) -> Option<u64> {
        if self.is_leaving() || self.membership.is_cut_off(now) {
            return None;
        }
        let own = claims::rendezvous_weight(0, &self.membership.me().identity.name);
        let offered = self.membership.offered();
        let ahead = offered
            .iter()
            .filter(|record| claims::rendezvous_weight(0, &record.identity.name) > own);
        Some(ahead.count() as u64)
    }

    fn run_planner(&mut self, action: Option<PlannerAction>) {
        let call = match action {
            None => return,
            Some(PlannerAction::Read) => PlatformCall::Read(ObjectName::plan()),
            Some(PlannerAction::Write { bytes, expected }) => PlatformCall::Write {
                object: ObjectName::plan(),
                bytes,
                expected,
            },
        };
        self.actions
            .push(ControlAction::Platform(CallPurpose::Plan, call));
    }

    // --- platform ---------------------------------------------------------------------------

    fn on_platform(
        &mut self,
        purpose: CallPurpose,
        reply: PlatformReply,
        now: Moment,
        wall: &WallWindow,
    ) {
        self.note_platform(&reply);
        match (purpose, reply) {
            (CallPurpose::Config, PlatformReply::Read(result)) => {
                let actions = self.config.on_read(&result, now);
                self.run_config(actions);
            }
            (CallPurpose::Config, PlatformReply::Write(result)) => {
                let actions = self.config.on_write(result, now);
                self.run_config(actions);
            }
            (CallPurpose::Plan, PlatformReply::Read(result)) => self.on_plan_read(&result, now),
            (CallPurpose::Plan, PlatformReply::Write(result)) => {
                let action = self.planner.on_write(result, now);
                self.run_planner(action);
            }
            (CallPurpose::Claim(shard), PlatformReply::Read(result)) => {
                let actions = self.claims.on_read(shard, &result, now, wall);
                self.run_claims(actions);
            }
            (CallPurpose::Claim(shard), PlatformReply::Write(result)) => {
                let actions = self.claims.on_write(shard, result, now, wall);
                self.run_claims(actions);
            }
            (CallPurpose::Watch, PlatformReply::Watch(result)) => self.on_watch(result, now),
            (CallPurpose::Hosts, PlatformReply::Hosts(Some(list))) => {
                self.roster.update(list);
                let addresses: Vec<net::SocketAddr> = self.roster.addresses().collect();
                self.membership.add_seeds(addresses.into_iter());
            }
            _ => {}
        }
    }

    fn note_platform(&mut self, reply: &PlatformReply) {
        let failed = matches!(
            reply,
            PlatformReply::Read(ReadResult::Failed)
                | PlatformReply::Write(WriteResult::Uncertain)
                | PlatformReply::Watch(None)
                | PlatformReply::Hosts(None)
        );
        if failed == self.platform_ok {
            let code = if failed {
                EventCode::PlatformLost
            } else {
                EventCode::PlatformFound
            };
            self.event(code, String::new());
        }
        self.platform_ok = !failed;
    }

    fn on_plan_read(&mut self, result: &ReadResult, now: Moment) {
        let Some(topology) = self.topology.clone() else {
            return;
        };
        let view = PlannerView {
            topology: &topology,
            roster: &self.roster,
            rank: self.planner_rank(now),
        };
        let action = self.planner.on_read(result, &view, now);
        self.run_planner(action);
    }

    /// One host of each hall watches for the others, so that watches grow with halls.
    fn start_watch(&mut self, now: Moment) {
        if self.watch.running || now < self.watch.retry_at || !self.is_hall_watcher() {
            return;
        }
        self.watch.running = true;
        let call = PlatformCall::Watch {
            kind: STEER_KIND,
            after: self.watch.revision,
        };
        self.actions
            .push(ControlAction::Platform(CallPurpose::Watch, call));
    }

    fn is_hall_watcher(&self) -> bool {
        let me = self.membership.me();
        let offered = self.membership.offered();
        let first = offered
            .iter()
            .filter(|record| record.hall == me.hall && record.state == HostState::Live)
            .map(|record| &record.identity.name)
            .min();
        first == Some(&me.identity.name)
    }

    fn on_watch(&mut self, result: Option<WatchReply>, now: Moment) {
        self.watch.running = false;
        let Some(reply) = result else {
            self.watch.retry_at = now.plus(WATCH_RETRY_MS);
            return;
        };
        self.watch.revision = reply.revision;
        for object in reply.objects {
            if object.name == ObjectName::plan().name {
                self.observe_plan(&object.value, now);
            } else if object.name == ObjectName::config().name {
                self.offer_config(&object.value);
            }
        }
    }

    fn observe_plan(&mut self, value: &serde_json::Value, now: Moment) {
        let parsed = crate::plan::SteeringPlan::from_bytes(value.to_string().as_bytes());
        match parsed {
            Ok(plan) => self.planner.observe(plan.sequence, &plan.holder, now),
            Err(fault) => self.event(EventCode::ConfigRejected, fault.to_string()),
        }
    }

    fn offer_config(&mut self, value: &serde_json::Value) {
        match ConfigObject::from_bytes(value.to_string().as_bytes()) {
            Ok(object) => {
                let actions = self.config.on_offer(&object);
                self.run_config(actions);
            }
            Err(fault) => self.event(EventCode::ConfigRejected, fault.to_string()),
        }
    }

    // --- configuration ----------------------------------------------------------------------

    fn run_config(&mut self, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Read => {
                    let call = PlatformCall::Read(ObjectName::config());
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Config, call));
                }
                ConfigAction::Write { bytes, expected } => {
                    let call = PlatformCall::Write {
                        object: ObjectName::config(),
                        bytes,
                        expected,
                    };
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Config, call));
                }
                ConfigAction::Fetch(peer) => {
                    if let Some(record) = self.membership.record(&peer) {
                        self.actions
                            .push(ControlAction::SendFetch(record.control_address));
                    }
                }
                ConfigAction::Install(object) => self.install(&object),
                ConfigAction::Answer(answer) => {
                    let code = if answer.result.is_ok() {
                        EventCode::ChangeAccepted
                    } else {
                        EventCode::ChangeRefused
                    };
                    let detail = match &answer.result {
                        Ok(generation) => format!("generation {generation}"),
                        Err(fault) => format!("{} {}", fault.code, fault.detail),
                    };
                    self.event(code, detail);
                    self.answer(answer.ticket, ControlAnswer::Change(answer));
                }
            }
        }
    }

    fn install(&mut self, object: &ConfigObject) {
        let topology = SteeringTopology::from_declaration(object.generation, &object.declaration);
        let topology = sync::Arc::new(topology);
        self.start_drain_clock(&topology);
        let same_map = self
            .topology
            .as_ref()
            .is_some_and(|installed| has_same_map(installed, &topology));
        if !same_map {
            self.map = Some(sync::Arc::new(BlockMap::from_topology(&topology)));
        }
        self.topology = Some(sync::Arc::clone(&topology));
        self.actions.push(ControlAction::InstallTopology(topology));
        self.event(
            EventCode::ConfigInstalled,
            format!("generation {}", object.generation),
        );
        self.push_lookup();
        self.next_heartbeat = Moment::default();
    }

    fn push_lookup(&mut self) {
        if let (Some(topology), Some(map)) = (&self.topology, &self.map) {
            let offered = self.membership.offered();
            let table = LookupTable::with_map(sync::Arc::clone(map), topology, &offered);
            self.actions
                .push(ControlAction::InstallLookup(sync::Arc::new(table)));
        }
    }

    fn on_fetched(&mut self, object: Option<&ConfigObject>) {
        match object {
            Some(object) => {
                let actions = self.config.on_offer(object);
                self.run_config(actions);
            }
            None => self.config.on_fetch_failed(),
        }
    }

    // --- peers ------------------------------------------------------------------------------

    fn heartbeat(&mut self, peer: Option<&str>, full: bool, now: Moment) -> PeerHeartbeat {
        let leaving = self.leaving_servers.iter().take(LEAVING_PER_HEARTBEAT);
        let leaving_servers = leaving
            .map(|(name, &since)| LeavingServer {
                name: name.clone(),
                age_ms: now.since(since),
            })
            .collect();
        PeerHeartbeat {
            from: self.membership.me().clone(),
            rumors: self.membership.rumors_for(peer, full),
            full: false,
            generation: self.config.generation(),
            plan_sequence: self.planner.sequence(),
            plan_holder: self.planner.holder().cloned(),
            leaving_servers,
        }
    }

    fn send_heartbeats(&mut self, now: Moment) {
        for target in self.membership.tick(now) {
            let mut heartbeat = self.heartbeat(target.name.as_deref(), target.full, now);
            heartbeat.full = target.full;
            self.actions
                .push(ControlAction::SendHeartbeat(target, heartbeat));
        }
    }

    fn on_heartbeat(&mut self, ticket: u64, heartbeat: &PeerHeartbeat, now: Moment) {
        self.learn(heartbeat, now);
        let name = heartbeat.from.identity.name.clone();
        let answer = self.heartbeat(Some(&name), heartbeat.full, now);
        self.answer(ticket, ControlAnswer::Heartbeat(answer));
    }

    fn on_heartbeat_done(
        &mut self,
        target: &HeartbeatTarget,
        answer: Option<&PeerHeartbeat>,
        now: Moment,
    ) {
        match (answer, &target.name) {
            (Some(heartbeat), _) => self.learn(heartbeat, now),
            (None, Some(name)) => self.membership.on_missed(name, now),
            (None, None) => {}
        }
    }

    fn learn(&mut self, heartbeat: &PeerHeartbeat, now: Moment) {
        self.membership
            .on_contact(&heartbeat.from, &heartbeat.rumors, now);
        if let Some(holder) = &heartbeat.plan_holder {
            self.planner.observe(heartbeat.plan_sequence, holder, now);
        }
        for server in heartbeat.leaving_servers.iter().take(LEAVING_PER_HEARTBEAT) {
            if server.age_ms < LEAVING_LIFE_MS {
                let since = Moment(now.0.saturating_sub(server.age_ms));
                self.note_leaving_server(server.name.clone(), since);
            }
        }
        let peers = self.membership.offered().len().saturating_sub(1);
        let peer = &heartbeat.from.identity.name;
        let actions = self
            .config
            .on_peer_generation(peer, heartbeat.generation, peers, now);
        self.run_config(actions);
    }

    // --- grants -----------------------------------------------------------------------------

    fn send_report(&mut self, now: Moment) {
        let report = HostReport {
            identity: self.membership.me().identity.clone(),
            control_address: self.membership.me().control_address,
            hall: self.membership.me().hall.clone(),
            leaving: self.is_leaving(),
            installed: self
                .workers
                .iter()
                .map(|worker| worker.sequence)
                .min()
                .unwrap_or(0),
            usage: self.joined_usage(),
        };
        for worker in &mut self.workers {
            clear_counts(&mut worker.usage);
        }
        if self.planner.is_leader() {
            let grants = self.planner.on_report(report, now);
            self.on_grants(grants);
            return;
        }
        let planner = self
            .planner
            .holder()
            .and_then(|holder| self.membership.record(&holder.name));
        if let Some(record) = planner {
            self.actions
                .push(ControlAction::SendReport(record.control_address, report));
        }
    }

    fn joined_usage(&self) -> Vec<PlaceUsage> {
        let mut joined: Vec<PlaceUsage> = Vec::new();
        for usage in self.workers.iter().flat_map(|worker| &worker.usage) {
            match joined.iter_mut().find(|entry| entry.key == usage.key) {
                Some(entry) => {
                    entry.in_use += usage.in_use;
                    entry.demand += usage.demand;
                    entry.completed += usage.completed;
                    entry.refused += usage.refused;
                }
                None => joined.push(usage.clone()),
            }
        }
        joined
    }

    fn on_grants(&mut self, grants: Option<HostGrants>) {
        let Some(grants) = grants.filter(|grants| grants.sequence > self.grants.sequence) else {
            return;
        };
        if grants.grants != self.grants.grants {
            self.event(
                EventCode::GrantsInstalled,
                format!("plan {}", grants.sequence),
            );
        }
        self.grants = grants.clone();
        self.actions.push(ControlAction::InstallGrants(grants));
    }

    /// A worker's counts add up until the next report; what it uses now replaces what it used.
    fn on_usage(&mut self, usage: WorkerUsage, now: Moment) {
        let Some(worker) = self.workers.get_mut(usage.worker) else {
            return;
        };
        let before = std::mem::replace(worker, usage);
        for entry in before.usage {
            match worker.usage.iter_mut().find(|newer| newer.key == entry.key) {
                Some(newer) => {
                    newer.demand = newer.demand.max(entry.demand);
                    newer.completed += entry.completed;
                    newer.refused += entry.refused;
                }
                None if entry.demand > 0 => worker.usage.push(PlaceUsage { in_use: 0, ..entry }),
                None => {}
            }
        }
        self.check_drain(now);
    }

    // --- leaving ----------------------------------------------------------------------------

    fn is_leaving(&self) -> bool {
        let name = &self.membership.me().identity.name;
        let drained = self.topology.as_ref().is_some_and(|topology| {
            topology.declaration.is_draining(DrainKind::Host, name)
                || topology
                    .declaration
                    .is_draining(DrainKind::Hall, &self.membership.me().hall)
        });
        self.stopping.is_some() || drained || self.roster.is_leaving(name)
    }

    fn note_leaving_server(&mut self, name: String, since: Moment) {
        let known = self.leaving_servers.contains_key(&name);
        if !known && self.leaving_servers.len() >= MAX_LEAVING {
            return;
        }
        let entry = self.leaving_servers.entry(name.clone()).or_insert(since);
        *entry = (*entry).max(since);
        if !known {
            self.event(EventCode::ServerLeaving, name);
            self.push_leaving_servers();
        }
    }

    fn expire_leaving_servers(&mut self, now: Moment) {
        let before = self.leaving_servers.len();
        self.leaving_servers
            .retain(|_, since| now.since(*since) < LEAVING_LIFE_MS);
        if self.leaving_servers.len() != before {
            self.push_leaving_servers();
        }
        let listed: Vec<String> = self
            .topology
            .iter()
            .flat_map(|topology| &topology.servers)
            .filter(|server| self.roster.is_leaving(&server.name))
            .map(|server| server.name.clone())
            .collect();
        for name in listed {
            self.note_leaving_server(name, now);
        }
    }

    fn push_leaving_servers(&mut self) {
        let names = self.leaving_servers.keys().cloned().collect();
        self.actions
            .push(ControlAction::SetLeavingServers(sync::Arc::new(names)));
    }

    fn on_stop(&mut self, now: Moment) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            self.event(EventCode::ProcessLeaving, String::new());
        }
    }

    fn check_stop(&mut self, now: Moment) {
        let Some(since) = self.stopping else {
            return;
        };
        let in_flight: u32 = self.workers.iter().map(|worker| worker.in_flight).sum();
        if now.since(since) >= LEAVE_GRACE_MS && in_flight == 0 {
            self.actions.push(ControlAction::Finished);
        } else if now.since(since) >= STOP_ALARM_MS && !self.stop_alarmed {
            self.stop_alarmed = true;
            self.event(EventCode::DrainSlow, format!("{in_flight} in flight"));
        }
    }

    /// A drain is timed from its installation here until nothing runs on what is drained.
    fn start_drain_clock(&mut self, topology: &SteeringTopology) {
        let before = self
            .topology
            .as_ref()
            .map_or(&[][..], |installed| &installed.declaration.drains);
        let drains = &topology.declaration.drains;
        if drains.iter().any(|drain| !before.contains(drain)) {
            self.drain_since = Some(self.now);
            self.last_drain_ms = None;
        }
    }

    fn check_drain(&mut self, now: Moment) {
        let Some(since) = self.drain_since else {
            return;
        };
        let generation = self.config.generation();
        let in_force = self
            .workers
            .iter()
            .all(|worker| worker.generation == generation);
        let draining: u32 = self.workers.iter().map(|worker| worker.draining).sum();
        if in_force && draining == 0 {
            let took = now.since(since);
            self.drain_since = None;
            self.last_drain_ms = Some(took);
            self.event(EventCode::DrainFinished, format!("{took} ms"));
        }
    }

    // --- after every input ------------------------------------------------------------------

    fn after_input(&mut self, now: Moment) {
        let leaving = self.is_leaving();
        if leaving != (self.membership.me().state == HostState::Leaving) {
            self.membership.set_leaving(leaving);
            self.actions.push(ControlAction::SetLeaving(leaving));
            self.next_heartbeat = Moment::default();
            self.next_report = Moment::default();
        }
        let cut_off = self.membership.is_cut_off(now) && !self.platform_ok;
        if cut_off != self.was_cut_off {
            self.was_cut_off = cut_off;
            let code = if cut_off {
                EventCode::CutOff
            } else {
                EventCode::Reconnected
            };
            self.event(code, String::new());
        }
        if self.planner.is_leader() != self.was_leader {
            self.was_leader = !self.was_leader;
            let code = if self.was_leader {
                EventCode::PlannerStarted
            } else {
                EventCode::PlannerStopped
            };
            self.event(code, String::new());
        }
        if self.membership.take_changed() {
            for (code, detail) in self.membership.take_news() {
                self.event(code, detail);
            }
            self.push_lookup();
        }
    }
}

fn clear_counts(usage: &mut Vec<PlaceUsage>) {
    for entry in usage.iter_mut() {
        entry.completed = 0;
        entry.refused = 0;
        entry.demand = entry.in_use;
    }
    usage.retain(|entry| entry.in_use > 0);
}

fn has_same_map(old: &SteeringTopology, new: &SteeringTopology) -> bool {
    let drained_halls = |declaration: &declaration::SteeringDeclaration| {
        let halls = declaration
            .drains
            .iter()
            .filter(|drain| drain.kind == DrainKind::Hall);
        halls.map(|drain| drain.name.clone()).collect::<Vec<_>>()
    };
    let (old, new) = (&old.declaration, &new.declaration);
    old.blocks
        .iter()
        .map(|block| (block.prefix, block.split, &block.region))
        .eq(new
            .blocks
            .iter()
            .map(|block| (block.prefix, block.split, &block.region)))
        && old
            .halls
            .iter()
            .map(|hall| (&hall.name, &hall.region, hall.capacity))
            .eq(new
                .halls
                .iter()
                .map(|hall| (&hall.name, &hall.region, hall.capacity)))
        && old
            .regions
            .iter()
            .map(|region| &region.name)
            .eq(new.regions.iter().map(|region| &region.name))
        && drained_halls(old) == drained_halls(new)
}

/// Claim answers of the role, for the shards that this host commits.
impl HostController {
    fn run_claims(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Read(shard) => {
                    let call = PlatformCall::Read(ObjectName::claim_shard(shard));
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Claim(shard), call));
                }
                ClaimAction::Write {
                    shard,
                    bytes,
                    expected,
                } => {
                    let object = ObjectName::claim_shard(shard);
                    let call = PlatformCall::Write {
                        object,
                        bytes,
                        expected,
                    };
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Claim(shard), call));
                }
                ClaimAction::Answer { ticket, answer } => self.answer_claim(ticket, answer),
            }
        }
    }
}
