//! The state of one entry host, shared by the tasks of its one thread.
//!
//! What a host does with one part of its state stands with that part: [`super::evacuation`],
//! [`super::route_times`], [`super::region_shares`], [`super::host_fleet`], [`super::host_budget`], [`super::stop`], [`super::watch_role`] and
//! [`super::self_report`]; [`super::lifecycle`] runs it.

use std::{cell, collections, rc};

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde_json::json;
use xxhash_rust::xxh3;

use super::budget::RetryWindow;
use super::catch_up::OpenFetches;
use super::configuration::{RouteTable, ServiceConfiguration};
use super::customer::CustomerTable;
use super::decision_log::{DecisionLog, LineWeight};
use super::evacuation::EvacuationList;
use super::fleet::Fleet;
use super::fleet_server::FleetServer;
use super::gossip::PeerSocket;
use super::join::{self, JoinState};
use super::leaving_news::LeavingNews;
use super::limit_role::LimitRole;
use super::metrics_page::{CurrentFigures, EntryMetrics};
use super::peer_message::PeerFormatError;
use super::peers::PeerTable;
use super::pool::ServerPool;
use super::quarantine_role::QuarantineRole;
use super::region_distance::RegionDistances;
use super::region_shares::WeightCache;
use super::rollout_role::RolloutRole;
use super::route_times::RouteTimeTable;
use super::server_limit_role::ServerLimitRole;
use super::settings::EntrySettings;
use super::stop::StopState;
use super::watch_role::WatchRole;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::{self, BootClock, Moment};

/// Between two looks at what is due, which come ten times a second, lies no more than this on a host that runs,
/// in milliseconds; else it was suspended or frozen, or its processor was taken away.
const STOOD_STILL_MS: u64 = 1_000;

/// The state of one entry host.
#[derive(Debug)]
pub struct EntryHost<W> {
    /// How the platform writes things.
    pub wire: W,
    /// Structured log.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: cell::RefCell<EntryMetrics>,
    /// Known servers.
    pub fleet: cell::RefCell<Fleet>,
    /// Kept connections to servers.
    pub pool: cell::RefCell<ServerPool>,
    /// How far the regions are.
    pub distances: cell::RefCell<RegionDistances>,
    /// Other hosts.
    pub peers: cell::RefCell<PeerTable>,
    /// The way to them.
    pub socket: PeerSocket,
    /// What is being fetched from other hosts.
    pub fetches: OpenFetches,
    /// How this host joined the others, and helps those who join.
    pub join: JoinState,
    /// How this host stands to the store.
    pub watch: WatchRole,
    /// The store's count at which this host's own entry stands, once it is written.
    pub(super) own_entry: cell::Cell<Option<u64>>,
    /// Source of random choices.
    pub random: cell::RefCell<SmallRng>,
    settings: cell::RefCell<rc::Rc<EntrySettings>>,
    clock: BootClock,
    /// When what is due was last looked at.
    last_tick: cell::Cell<Moment>,
    pub(super) run: u64,
    routes: cell::RefCell<Option<rc::Rc<RouteTable>>>,
    /// When the store, or a host that watches it, last had the same configuration as this one.
    configuration_confirmed: cell::Cell<Option<Moment>>,
    pub(super) evacuations: cell::RefCell<EvacuationList>,
    pub(super) retry_windows: cell::RefCell<collections::HashMap<String, RetryWindow>>,
    pub(super) route_times: cell::RefCell<RouteTimeTable>,
    pub(super) region_weights: WeightCache,
    pub(super) stop: StopState,
    pub(super) limits: LimitRole,
    pub(super) quarantine: QuarantineRole,
    pub(super) server_limits: ServerLimitRole,
    pub(super) leaving_news: LeavingNews,
    pub(super) rollouts: RolloutRole,
    /// The store's era, as this host or another has seen it.
    pub(super) store_epoch: cell::Cell<u64>,
}

impl<W: WireProtocol> EntryHost<W> {
    /// A host that knows nothing yet.
    #[must_use]
    pub fn new(settings: EntrySettings, wire: W, log: DecisionLog) -> Self {
        let run = timer::unix_millis();
        let seed = xxh3::xxh3_64_with_seed(settings.name.as_bytes(), run);
        let mut fleet = Fleet::default();
        fleet.set_leave_ms(settings.bounds.leave_ms());
        let limits = LimitRole::of_host(&settings.name, run);
        let mut peers = PeerTable::default();
        if settings.has_other_seeds() {
            peers.on_other_seeds();
        }
        Self {
            wire,
            log,
            metrics: cell::RefCell::default(),
            fleet: cell::RefCell::new(fleet),
            pool: cell::RefCell::default(),
            distances: cell::RefCell::default(),
            peers: cell::RefCell::new(peers),
            socket: PeerSocket::default(),
            fetches: OpenFetches::default(),
            join: JoinState::default(),
            watch: WatchRole::default(),
            own_entry: cell::Cell::new(None),
            random: cell::RefCell::new(SmallRng::seed_from_u64(seed)),
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            clock: BootClock::start(),
            last_tick: cell::Cell::default(),
            run,
            routes: cell::RefCell::default(),
            configuration_confirmed: cell::Cell::default(),
            evacuations: cell::RefCell::default(),
            retry_windows: cell::RefCell::default(),
            route_times: cell::RefCell::default(),
            region_weights: WeightCache::default(),
            stop: StopState::default(),
            limits,
            quarantine: QuarantineRole::default(),
            server_limits: ServerLimitRole::default(),
            leaving_news: LeavingNews::default(),
            rollouts: RolloutRole::default(),
            store_epoch: cell::Cell::new(0),
        }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> rc::Rc<EntrySettings> {
        rc::Rc::clone(&self.settings.borrow())
    }

    /// The routes in force.
    #[must_use]
    pub fn routes(&self) -> Option<rc::Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// The version of the configuration in force; 0 for none.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or(0, |routes| routes.configuration().version)
    }

    /// Whoever sees the store had the same configuration as this host at `at`.
    pub(super) fn on_configuration_confirmed(&self, at: Moment) {
        self.configuration_confirmed.set(Some(at));
    }

    /// How old this host's view of the configuration is, in milliseconds: since then a newer one may be in force
    /// elsewhere. `None` before it has any.
    #[must_use]
    pub fn configuration_age_ms(&self) -> Option<u64> {
        let confirmed = self.configuration_confirmed.get();
        confirmed.map(|confirmed| self.now().since(confirmed))
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn install_configuration(&self, configuration: &ServiceConfiguration, source: &str) {
        if configuration.version <= self.configuration_version() {
            return;
        }
        let fields = json!({
            "version": configuration.version,
            "before": self.configuration_version(),
            "routes": configuration.routes.len(),
            "source": source,
        });
        let table = RouteTable::from_configuration(configuration.clone());
        self.note_faults(configuration);
        self.note_customer_faults(&table);
        *self.routes.borrow_mut() = Some(rc::Rc::new(table));
        self.note(EventCode::ConfigInstalled, fields);
        self.limits.on_configured();
        self.on_state_received(source);
    }

    fn note_faults(&self, configuration: &ServiceConfiguration) {
        for fault in &configuration.faults {
            let fields = json!({
                "version": configuration.version,
                "fault": fault.to_string(),
            });
            self.note(EventCode::ConfigPartUnread, fields);
        }
    }

    fn note_customer_faults(&self, table: &RouteTable) {
        let faults = table.customers().map_or(&[][..], CustomerTable::faults);
        for fault in faults {
            let fields = json!({
                "version": table.configuration().version,
                "fault": fault.to_string(),
            });
            self.note(EventCode::CustomerUnfit, fields);
        }
    }

    /// Writes an important log line.
    pub fn note(&self, event: EventCode, fields: serde_json::Value) {
        self.log.write(event, LineWeight::Important, fields);
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routes.borrow().is_some() && self.fleet.borrow().is_listed()
    }

    /// Writes that what another host said could not be understood.
    pub fn note_malformed(&self, source: &str, fault: &PeerFormatError) {
        let fields = json!({ "source": source, "fault": fault.to_string() });
        self.note(EventCode::HeartbeatMalformed, fields);
    }

    /// The metrics page.
    #[must_use]
    pub fn metrics_page(&self) -> String {
        let loss = self.log.loss();
        let now = self.now();
        let current = CurrentFigures {
            configuration_version: self.configuration_version(),
            configuration_age_ms: self.configuration_age_ms(),
            servers: self.fleet.borrow().servers().count(),
            servers_indexed: self.fleet.borrow().servers_indexed(),
            peers: self.peers.borrow().records().count(),
            limit_hosts: self.limits.hosts(),
            suspects: self.quarantine.digest().count,
            blocked_requests: self.quarantine.barred_count(),
            store_epoch: self.store_epoch.get(),
            limited_servers: self.server_limits.limited_count(),
            leaving_servers: self.count_servers(|server| server.notice().leaving_since().is_some()),
            servers_in_backoff: self.count_servers(|server| server.notice().is_resting(now)),
            idle_connections: self.pool.borrow().idle_count(),
            open_requests: self.open_requests(),
            log_suppressed: loss.left_out,
            log_dropped: loss.dropped,
        };
        self.metrics.borrow().page(&current)
    }

    fn count_servers(&self, is_counted: impl Fn(&FleetServer) -> bool) -> usize {
        let fleet = self.fleet.borrow();
        fleet.servers().filter(|server| is_counted(server)).count()
    }

    /// Looks after what is due with time.
    pub(super) fn on_tick(&self) {
        let now = self.now();
        self.note_standstill(now);
        self.update_watch_role();
        let changes = self.fleet.borrow_mut().on_tick(now);
        self.note_fleet(&changes, "timer");
        let fleet = self.fleet.borrow();
        let is_gone = |id: &str| !fleet.knows(id);
        self.pool.borrow_mut().on_tick(is_gone, now);
        self.drop_expired_snapshot();
        self.update_membership_complete(now);
        self.quarantine.on_tick(now);
        self.on_limit_tick();
        self.on_leaving_tick();
        self.on_evacuation_tick();
        self.on_rollout_tick();
        join::broadcast_discovered(self);
        self.log.flush();
    }

    fn note_standstill(&self, now: Moment) {
        let stood_ms = now.since(self.last_tick.replace(now));
        if stood_ms >= STOOD_STILL_MS {
            self.note(
                EventCode::ProcessStoodStill,
                json!({ "stood_ms": stood_ms }),
            );
        }
    }

    /// Puts changed settings in force.
    pub(super) fn install_settings(&self, settings: EntrySettings) {
        if *self.settings.borrow().as_ref() == settings {
            return;
        }
        let leave_ms = settings.bounds.leave_ms();
        self.fleet.borrow_mut().set_leave_ms(leave_ms);
        *self.settings.borrow_mut() = rc::Rc::new(settings);
        self.note(EventCode::SettingsReloaded, json!({}));
    }
}
