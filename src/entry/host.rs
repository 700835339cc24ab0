//! The state of one entry host, shared by the tasks of its single thread.
//!
//! Methods that concern one part of the state are in the module of that part:
//! [`super::evacuation`], [`super::route_times`], [`super::region_weights`], [`super::host_fleet`],
//! [`super::host_budget`], [`super::stop`], [`super::watch_role`] and [`super::self_report`].
//! [`super::lifecycle`] starts and stops the host.

use std::{cell, collections, rc};

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde_json::json;
use xxhash_rust::xxh3;

use super::arriving_bodies::ArrivingBodies;
use super::budget::RetryWindow;
use super::caller_connections::ListenerConnections;
use super::caller_limits::CallerLimits;
use super::caller_metrics::HeldForCallers;
use super::catch_up::OpenFetches;
use super::configuration::{RouteTable, ServiceConfiguration};
use super::customer::CustomerTable;
use super::decision_log::{DecisionLog, LogPriority};
use super::evacuation::EvacuationList;
use super::fleet::Fleet;
use super::fleet_server::FleetServer;
use super::gossip::PeerSocket;
use super::handoff::HandoffRole;
use super::join::{self, JoinState};
use super::leaving_updates::LeavingUpdates;
use super::limit_role::LimitRole;
use super::load_exchange_role::LoadExchangeRole;
use super::metrics_page::{CurrentFigures, EntryMetrics};
use super::peer_message::PeerFormatError;
use super::peers::PeerTable;
use super::pool::ServerPool;
use super::quarantine_role::QuarantineRole;
use super::reachability_role::ReachabilityRole;
use super::region_latency::RegionLatencies;
use super::region_weights::{RegionWeights, WeightCache};
use super::rollout_role::RolloutRole;
use super::route_times::RouteTimeTable;
use super::server_limit_role::ServerLimitRole;
use super::settings::EntrySettings;
use super::stop::StopState;
use super::store::ObjectKind;
use super::urgency_role::UrgencyRole;
use super::view_age::ViewAges;
use super::watch_role::WatchRole;
use super::wire::WireProtocol;
use crate::byte_account::ByteAccount;
use crate::event::EventCode;
use crate::metrics_writer::MetricsWriter;
use crate::placement::hall_places::HallPlaces;
use crate::timer::{self, BootClock, Moment};

/// Minimum time between two ticks that is logged as a stall of the process, in milliseconds. Ticks
/// are 100 ms apart on a running host; a longer gap means that the host was suspended or frozen, or
/// got no processor time.
const MIN_STALL_MS: u64 = 1_000;

/// The state of one entry host.
#[derive(Debug)]
pub struct EntryHost<W> {
    /// The platform's wire format.
    pub wire: W,
    /// Structured log.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: cell::RefCell<EntryMetrics>,
    /// Known servers.
    pub fleet: cell::RefCell<Fleet>,
    /// Idle connections to servers.
    pub pool: cell::RefCell<ServerPool>,
    /// Distances between regions.
    pub latencies: cell::RefCell<RegionLatencies>,
    /// Other entry hosts.
    pub peers: cell::RefCell<PeerTable>,
    /// Socket for datagrams to other hosts.
    pub socket: PeerSocket,
    /// Fetches from other hosts that are in progress.
    pub fetches: OpenFetches,
    /// State of this host's own join and of the joins it helps with.
    pub join: JoinState,
    /// Whether this host watches the store.
    pub watch: WatchRole,
    /// Store revision of this host's own entry, once it is written.
    pub(super) own_entry_revision: cell::Cell<Option<u64>>,
    /// Source of random choices.
    pub random: cell::RefCell<SmallRng>,
    settings: cell::RefCell<rc::Rc<EntrySettings>>,
    clock: BootClock,
    /// Time of the last tick.
    last_tick: cell::Cell<Moment>,
    pub(super) run: u64,
    routes: cell::RefCell<Option<rc::Rc<RouteTable>>>,
    /// Age of this host's view of the store.
    pub(super) view_ages: ViewAges,
    pub(super) evacuations: cell::RefCell<EvacuationList>,
    pub(super) retry_windows: cell::RefCell<collections::HashMap<String, RetryWindow>>,
    pub(super) route_times: cell::RefCell<RouteTimeTable>,
    pub(super) region_weights: WeightCache<RegionWeights>,
    pub(super) hall_places: WeightCache<HallPlaces>,
    pub(super) stop: StopState,
    pub(super) limits: LimitRole,
    pub(super) load_exchange: LoadExchangeRole,
    pub(super) quarantine: QuarantineRole,
    pub(super) server_limits: ServerLimitRole,
    pub(super) leaving_updates: LeavingUpdates,
    pub(super) rollouts: RolloutRole,
    pub(super) reachability: ReachabilityRole,
    pub(super) handoffs: HandoffRole,
    pub(super) urgency: UrgencyRole,
    /// Streamed answers in flight.
    pub(super) open_answers: cell::Cell<u32>,
    /// Memory that is held for callers.
    pub(super) caller_memory: ByteAccount,
    pub(super) arriving_bodies: ArrivingBodies,
    /// Connections that were accepted.
    pub(super) connections: ListenerConnections,
    /// The store's epoch, as observed by this host or reported by another.
    pub(super) store_epoch: cell::Cell<u64>,
}

impl<W: WireProtocol> EntryHost<W> {
    /// Creates a host without any knowledge of servers, peers or configuration.
    #[must_use]
    pub fn new(settings: EntrySettings, wire: W, log: DecisionLog) -> Self {
        let run = timer::unix_millis();
        let seed = xxh3::xxh3_64_with_seed(settings.name.as_bytes(), run);
        let mut fleet = Fleet::default();
        fleet.set_leave_ms(settings.bounds.leave_ms());
        let limits = LimitRole::of_host(&settings.name, run);
        let mut peers = PeerTable::default();
        peers.set_shortest_bound(settings.bounds.shortest_change_ms());
        if settings.has_other_seeds() {
            peers.on_other_seeds();
        }
        Self {
            wire,
            log,
            metrics: cell::RefCell::default(),
            fleet: cell::RefCell::new(fleet),
            pool: cell::RefCell::default(),
            latencies: cell::RefCell::default(),
            peers: cell::RefCell::new(peers),
            socket: PeerSocket::default(),
            fetches: OpenFetches::default(),
            join: JoinState::default(),
            watch: WatchRole::default(),
            own_entry_revision: cell::Cell::new(None),
            random: cell::RefCell::new(SmallRng::seed_from_u64(seed)),
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            clock: BootClock::start(),
            last_tick: cell::Cell::default(),
            run,
            routes: cell::RefCell::default(),
            view_ages: ViewAges::default(),
            evacuations: cell::RefCell::default(),
            retry_windows: cell::RefCell::default(),
            route_times: cell::RefCell::default(),
            region_weights: WeightCache::default(),
            hall_places: WeightCache::default(),
            stop: StopState::default(),
            limits,
            load_exchange: LoadExchangeRole::default(),
            quarantine: QuarantineRole::default(),
            server_limits: ServerLimitRole::default(),
            leaving_updates: LeavingUpdates::default(),
            rollouts: RolloutRole::default(),
            reachability: ReachabilityRole::default(),
            handoffs: HandoffRole::default(),
            urgency: UrgencyRole::default(),
            open_answers: cell::Cell::default(),
            caller_memory: ByteAccount::default(),
            arriving_bodies: ArrivingBodies::default(),
            connections: ListenerConnections::default(),
            store_epoch: cell::Cell::new(0),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The clock of [`Self::now`].
    pub(super) const fn clock(&self) -> BootClock {
        self.clock
    }

    /// The active settings.
    #[must_use]
    pub fn settings(&self) -> rc::Rc<EntrySettings> {
        rc::Rc::clone(&self.settings.borrow())
    }

    /// What this host holds for callers at most.
    pub(super) fn caller_limits(&self) -> CallerLimits {
        CallerLimits::of(&self.settings.borrow())
    }

    /// The memory for all that is held for callers, in bytes.
    fn caller_memory_limit(&self) -> u64 {
        self.caller_limits().memory(self.max_body_bytes())
    }

    /// The memory up to which heads, large bodies and answers are held, in bytes. The rest is for
    /// small bodies.
    pub(super) fn large_memory_limit(&self) -> u64 {
        let max_body_bytes = self.max_body_bytes();
        self.caller_limits().memory_for(u64::MAX, max_body_bytes)
    }

    fn max_body_bytes(&self) -> u64 {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or(0, |routes| routes.configuration().limits.body_bytes)
    }

    /// The active routes.
    #[must_use]
    pub fn routes(&self) -> Option<rc::Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The version of the active configuration; 0 for none.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or(0, |routes| routes.configuration().version)
    }

    /// Age of this host's view of the configuration, in milliseconds. A newer configuration may
    /// have become active elsewhere within that time. `None` before the first confirmation.
    #[must_use]
    pub fn configuration_age_ms(&self) -> Option<u64> {
        self.view_ages.age_ms(ObjectKind::Configuration, self.now())
    }

    /// Age of this host's view of the servers, in milliseconds. A server may have begun to leave
    /// within that time. `None` before the first confirmation.
    #[must_use]
    pub fn servers_age_ms(&self) -> Option<u64> {
        self.view_ages.age_ms(ObjectKind::Servers, self.now())
    }

    /// Activates a configuration unless the active one is at least as new.
    pub fn install_configuration(&self, configuration: &ServiceConfiguration, source: &str) {
        if configuration.version <= self.configuration_version() {
            return;
        }
        let table = RouteTable::from_configuration(configuration.clone());
        let fields = json!({
            "version": configuration.version,
            "before": self.configuration_version(),
            "routes": configuration.routes.len(),
            "source": source,
            "patient_routes": self.patient_routes(table.urgency()),
        });
        self.log_configuration_faults(configuration);
        self.log_customer_faults(&table);
        *self.routes.borrow_mut() = Some(rc::Rc::new(table));
        self.log_event(EventCode::ConfigInstalled, fields);
        self.limits.on_configured();
        self.on_state_received(source);
    }

    fn log_configuration_faults(&self, configuration: &ServiceConfiguration) {
        for fault in &configuration.faults {
            let fields = json!({
                "version": configuration.version,
                "fault": fault.to_string(),
            });
            self.log_event(EventCode::ConfigPartUnread, fields);
        }
    }

    fn log_customer_faults(&self, table: &RouteTable) {
        let faults = table.customers().map_or(&[][..], CustomerTable::faults);
        for fault in faults {
            let fields = json!({
                "version": table.configuration().version,
                "fault": fault.to_string(),
            });
            self.log_event(EventCode::CustomerUnfit, fields);
        }
    }

    /// Writes a log line of high importance.
    pub fn log_event(&self, event: EventCode, fields: serde_json::Value) {
        self.log.write(event, LogPriority::Important, fields);
    }

    /// Whether this host can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routes.borrow().is_some() && self.fleet.borrow().is_listed()
    }

    /// Whether callers should be sent to this host: it can serve them, and either reaches servers
    /// or knows no other host that does.
    #[must_use]
    pub fn wants_callers(&self) -> bool {
        self.is_ready() && !self.should_redirect_callers()
    }

    /// Whether callers are better served by another host, since this one reaches no server.
    #[must_use]
    pub fn should_redirect_callers(&self) -> bool {
        !self.reaches_servers() && self.peers.borrow().any_reaches_servers(self.now())
    }

    /// Logs that a message of another host could not be decoded.
    pub fn log_malformed_message(&self, source: &str, fault: &PeerFormatError) {
        let fields = json!({ "source": source, "fault": fault.to_string() });
        self.log_event(EventCode::HeartbeatMalformed, fields);
    }

    /// Renders the metrics page.
    #[must_use]
    pub fn metrics_page(&self) -> String {
        let loss = self.log.loss();
        let now = self.now();
        let current = CurrentFigures {
            configuration_version: self.configuration_version(),
            configuration_age_ms: self.configuration_age_ms(),
            servers_age_ms: self.servers_age_ms(),
            servers_reached_age_ms: self.servers_reached_age_ms(),
            reaches_servers: self.reaches_servers(),
            servers: self.fleet.borrow().servers().count(),
            servers_indexed: self.fleet.borrow().servers_indexed(),
            peers: self.peers.borrow().records().count(),
            limit_hosts: self.limits.hosts(),
            suspects: self.quarantine.digest().count,
            blocked_requests: self.quarantine.blocked_count(),
            store_epoch: self.store_epoch.get(),
            limited_servers: self.server_limits.limited_count(),
            leaving_servers: self.count_servers(|server| server.notice().leaving_since().is_some()),
            servers_in_backoff: self.count_servers(|server| server.notice().is_in_backoff(now)),
            idle_connections: self.pool.borrow().idle_count(),
            open_requests: self.open_requests(),
            open_answers: self.open_answers.get(),
            waiting: self.waiting_count(),
            callers: HeldForCallers {
                memory_bytes: self.caller_memory.held(),
                memory_limit_bytes: self.caller_memory_limit(),
                arriving_bodies: self.arriving_bodies.count(),
                connections_limit: self.caller_limits().connections(),
            },
            log_suppressed: loss.left_out,
            log_dropped: loss.dropped,
        };
        let mut page = MetricsWriter::default();
        self.metrics.borrow().write_to(&mut page, &current);
        self.view_ages.write_to(&mut page, now);
        self.connections.write_to(&mut page);
        self.write_retries(&mut page);
        page.into_text()
    }

    fn count_servers(&self, is_counted: impl Fn(&FleetServer) -> bool) -> usize {
        let fleet = self.fleet.borrow();
        fleet.servers().filter(|server| is_counted(server)).count()
    }

    /// Runs the periodic tasks.
    pub(super) fn on_tick(&self) {
        let now = self.now();
        self.log_stall(now);
        self.update_watch_role();
        let settings = self.settings();
        let mut fleet = self.fleet.borrow_mut();
        let mut changes = fleet.on_tick(now);
        changes.extend(fleet.on_doubts_over(&settings.halls, now));
        drop(fleet);
        self.log_fleet_changes(&changes, "timer");
        let fleet = self.fleet.borrow();
        let is_gone = |id: &str| !fleet.contains(id);
        let server_connections = self.caller_limits().server_connections();
        let max_idle = server_connections.saturating_sub(self.open_requests() as usize);
        self.pool.borrow_mut().on_tick(is_gone, max_idle, now);
        self.drop_expired_snapshot();
        self.update_membership_complete(now);
        self.quarantine.on_tick(now);
        self.on_limit_tick();
        self.on_leaving_tick();
        self.on_evacuation_tick();
        self.on_rollout_tick();
        self.on_reachability_tick();
        self.on_load_exchange_tick();
        self.handoffs.on_tick(now);
        self.close_unread_answers(now);
        self.log_caller_limits(now);
        join::broadcast_discovered(self);
        self.log.flush();
    }

    /// Logs that callers met a limit of this host, at most once a second.
    fn log_caller_limits(&self, now: Moment) {
        let due = self.metrics.borrow_mut().callers.due_report(now);
        if let Some(report) = due {
            let fields = json!({
                "since_last": report,
                "memory_bytes": self.caller_memory.held(),
                "memory_limit_bytes": self.caller_memory_limit(),
            });
            self.log_event(EventCode::CallerLimitReached, fields);
        }
    }

    fn log_stall(&self, now: Moment) {
        let stall_ms = now.since(self.last_tick.replace(now));
        if stall_ms >= MIN_STALL_MS {
            self.log_event(
                EventCode::ProcessStoodStill,
                json!({ "stood_ms": stall_ms }),
            );
        }
    }

    /// Activates changed settings.
    pub(super) fn install_settings(&self, settings: EntrySettings) {
        if *self.settings.borrow().as_ref() == settings {
            return;
        }
        let leave_ms = settings.bounds.leave_ms();
        self.fleet.borrow_mut().set_leave_ms(leave_ms);
        let bound_ms = settings.bounds.shortest_change_ms();
        self.peers.borrow_mut().set_shortest_bound(bound_ms);
        *self.settings.borrow_mut() = rc::Rc::new(settings);
        self.log_event(EventCode::SettingsReloaded, json!({}));
    }
}
