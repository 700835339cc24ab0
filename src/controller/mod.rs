//! The controller of one host. It combines the control roles, without clock, socket or thread.
//!
//! Memory: that of its roles, one entry for each worker, at most [`MAX_LEAVING_SERVERS`] leaving
//! servers and one entry for each claim that waits for its owner.

mod claims;
mod configuration;
mod grants;
mod leaving;
mod peers;
mod platform;
mod status;

use std::{collections, net, sync};

use crate::block_map::BlockMap;
use crate::claim_role::{ClaimRole, ClaimWindow};
use crate::config_role::ConfigRole;
use crate::control_message::{
    CallPurpose, ControlAction, ControlAnswer, ControlInput, WorkerUsage,
};
use crate::event::EventCode;
use crate::member::{HostState, MemberRecord};
use crate::membership::{self, MembershipRole};
use crate::plan::HostGrants;
use crate::planner::{PlannerAction, PlannerRole, PlannerView};
use crate::platform_call::{ObjectName, PlatformCall};
use crate::roster::HostRoster;
use crate::timer::Moment;
use crate::topology::SteeringTopology;

/// Leaving servers that are remembered.
pub const MAX_LEAVING_SERVERS: usize = 1_000;
/// A leaving server may serve again if it was not reported as leaving for this long.
const LEAVING_TTL_MS: u64 = 60_000;
/// Leaving servers in one heartbeat.
const MAX_LEAVING_PER_HEARTBEAT: usize = 16;
/// Interval of reports to the planner.
const REPORT_INTERVAL_MS: u64 = 500;
/// Interval of reads of the platform's host list.
const HOSTS_INTERVAL_MS: u64 = 2_000;
/// The same interval on a host that is neither the planner nor its hall's watcher. Such a host
/// learns relevant changes by heartbeats.
const HOSTS_IDLE_INTERVAL_MS: u64 = 20_000;
/// Delay after a failed watch.
const WATCH_RETRY_DELAY_MS: u64 = 500;
/// A leaving host keeps serving for this long, until look-ups no longer name it. This covers the
/// lifetime of look-up answers and the time in which its leaving spreads.
pub const LEAVE_GRACE_MS: u64 = 3_500;
/// After that it has this long to release its units, so that nobody has to wait for the platform's
/// list.
const RELEASE_GRACE_MS: u64 = 2_000;
/// A stop that takes longer than this raises an alarm; no request is cut off.
const STOP_ALARM_MS: u64 = 60_000;

/// The settings of a controller.
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
    reason = "each records a state that was already logged, none is a mode"
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
    forwarded_claims: collections::HashMap<u64, claims::ForwardedClaim>,
    next_ticket: u64,
    platform_ok: bool,
    was_cut_off: bool,
    was_leader: bool,
    watch: WatchState,
    next_heartbeat: Moment,
    next_report: Moment,
    next_hosts: Moment,
    leaving_since: Option<Moment>,
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
    /// A controller without configuration, plan or known peers.
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
            forwarded_claims: collections::HashMap::new(),
            next_ticket: claims::FIRST_CONTROLLER_TICKET,
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
            leaving_since: None,
            stopping: None,
            stop_alarmed: false,
            now,
            drain_since: None,
            last_drain_ms: None,
            actions: Vec::new(),
        }
    }

    /// Handles one input and returns the actions to carry out, in order.
    pub fn handle(
        &mut self,
        input: ControlInput,
        now: Moment,
        wall_unix_ms: u64,
    ) -> Vec<ControlAction> {
        self.now = now;
        let wall = ClaimWindow {
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
                self.run_config_actions(actions);
            }
            ControlInput::Usage(usage) => self.on_usage(usage, now),
            ControlInput::ServerLeaving(name) => self.add_leaving_server(name, now),
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

    fn on_tick(&mut self, now: Moment, wall: &ClaimWindow) {
        let config = self.config.tick(now);
        self.run_config_actions(config);
        self.tick_planner(now);
        let claims = self.claims.tick(now, wall);
        self.run_claim_actions(claims);
        self.expire_forwarded_claims(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.plus(membership::HEARTBEAT_INTERVAL_MS);
            self.send_heartbeats(now);
        }
        if now >= self.next_report {
            self.next_report = now.plus(REPORT_INTERVAL_MS);
            self.send_report(now);
        }
        if now >= self.next_hosts {
            self.next_hosts = now.plus(self.hosts_interval_ms());
            self.actions.push(ControlAction::Platform(
                CallPurpose::Hosts,
                PlatformCall::Hosts,
            ));
        }
        self.start_watch(now);
        self.expire_leaving_servers(now);
        self.check_stop(now);
    }

    fn hosts_interval_ms(&self) -> u64 {
        if self.planner.is_leader() || self.is_hall_watcher() {
            HOSTS_INTERVAL_MS
        } else {
            HOSTS_IDLE_INTERVAL_MS
        }
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
        self.run_planner_action(action);
    }

    /// The host's rank among the candidates, which are ordered by a hash of their names; `None` if
    /// it is leaving or cut off.
    fn planner_rank(&self, now: Moment) -> Option<u64> {
        if self.is_leaving() || self.membership.is_cut_off(now) {
            return None;
        }
        let own = claims::rendezvous_weight(0, &self.membership.me().identity.name);
        let advertised = self.membership.advertised();
        let ahead = advertised
            .iter()
            .filter(|record| claims::rendezvous_weight(0, &record.identity.name) > own);
        Some(ahead.count() as u64)
    }

    fn run_planner_action(&mut self, action: Option<PlannerAction>) {
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

    fn after_input(&mut self, now: Moment) {
        let leaving = self.is_leaving();
        if leaving != (self.membership.me().state == HostState::Leaving) {
            self.leaving_since = leaving.then_some(now);
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
            self.next_hosts = now;
            let code = if self.was_leader {
                EventCode::PlannerStarted
            } else {
                EventCode::PlannerStopped
            };
            self.event(code, String::new());
        }
        if self.membership.take_changed() {
            for (code, detail) in self.membership.take_events() {
                self.event(code, detail);
            }
            self.push_lookup();
        }
    }
}
