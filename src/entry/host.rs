//! The state of one entry host, shared by the tasks of its one thread, and what runs on it.

use std::{cell, collections, path, rc, time};

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::net::TcpListener;
use xxhash_rust::xxh3;

use super::budget::{ColdShare, RetryShare, RetryWindow};
use super::configuration::{RouteTable, ServiceConfiguration};
use super::decision_log::{DecisionLog, LineWeight};
use super::fleet::{Fleet, FleetChange};
use super::fleet_server::FleetServer;
use super::gossip::PeerSocket;
use super::metrics_page::{CurrentFigures, EntryMetrics};
use super::peer_message::{PeerHeartbeat, PeerSnapshot, WatchState};
use super::peers::{HostRecord, PeerTable};
use super::pool::ServerPool;
use super::settings::{self, EntrySettings};
use super::store::ObjectStore;
use super::wire::WireProtocol;
use super::{follow, gossip, listen};
use crate::error;
use crate::event::EventCode;
use crate::timer::{self, Moment, MonotonicClock};

/// How often what is due is looked after: idle connections, lapsed entries, the log.
const TICK: time::Duration = time::Duration::from_millis(100);
/// How often the settings file is looked at, in ticks; it may change without a signal.
const SETTINGS_TICKS: u64 = 20;
/// Time kept free at the end of the stop grace, for the exit itself.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(250);
/// A stopping host takes any request in this first part of its grace; later only those that are
/// sure to end before it does.
const OPEN_SHARE_OF_GRACE: u32 = 2;
/// A host that was told to stop and has had no request for this long ends early. Longer than the
/// time for which callers keep a look-up's answer.
const QUIET_BEFORE_STOP_MS: u64 = 2_500;
/// A started host that is no seed leaves the store to the seeds for this long, and asks them. When
/// the whole system starts for the first time there are no callers yet, but many hosts at once.
const FIRST_MEETING_MS: u64 = 1_500;
/// The same at any other start, with callers waiting: a few tries to reach a seed.
const MEETING_MS: u64 = 350;
/// Weight of the newest answer in a route's usual time.
const USUAL_WEIGHT: f64 = 0.05;
/// A route's usual time before its first answer, as a share of its goal.
const FIRST_USUAL_SHARE: f64 = 0.5;

/// Halls that get no work, and hosts' servers that may come back cold from it.
#[derive(Debug, Default)]
pub struct EvacuationList {
    halls: collections::BTreeSet<String>,
    /// The store's count up to which the list is current.
    revision: u64,
    /// The store's count at its last change.
    changed: u64,
}

/// How long the requests of a route usually take, in milliseconds; `None` before the first.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    /// On a server that knows their object.
    known: Option<f64>,
    /// On one that does not.
    first: Option<f64>,
}

/// How long one answer took.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample<'a> {
    /// The request's route.
    pub route: &'a str,
    /// From the offer to the answer, in milliseconds.
    pub millis: u64,
    /// Whether the server probably knew the object, or the route has none.
    pub known_object: bool,
}

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
    /// Other hosts.
    pub peers: cell::RefCell<PeerTable>,
    /// The way to them.
    pub socket: PeerSocket,
    /// Whether something is being fetched from another host.
    pub fetching: cell::Cell<bool>,
    /// How this host stands to the store.
    pub watch: cell::Cell<WatchState>,
    /// Source of random choices.
    pub random: cell::RefCell<SmallRng>,
    settings: cell::RefCell<rc::Rc<EntrySettings>>,
    clock: MonotonicClock,
    run: u64,
    routes: cell::RefCell<Option<rc::Rc<RouteTable>>>,
    evacuations: cell::RefCell<EvacuationList>,
    retries: cell::RefCell<collections::HashMap<String, RetryWindow>>,
    usual_ms: cell::RefCell<collections::HashMap<String, RouteTimes>>,
    leaving: cell::Cell<Option<Moment>>,
    open_requests: cell::Cell<u32>,
    last_request: cell::Cell<Moment>,
}

impl<W: WireProtocol> EntryHost<W> {
    /// A host that knows nothing yet.
    #[must_use]
    pub fn new(settings: EntrySettings, wire: W, log: DecisionLog) -> Self {
        let run = timer::unix_millis();
        let seed = xxh3::xxh3_64_with_seed(settings.name.as_bytes(), run);
        Self {
            wire,
            log,
            metrics: cell::RefCell::default(),
            fleet: cell::RefCell::default(),
            pool: cell::RefCell::default(),
            peers: cell::RefCell::default(),
            socket: PeerSocket::default(),
            fetching: cell::Cell::new(false),
            watch: cell::Cell::new(WatchState::Idle),
            random: cell::RefCell::new(SmallRng::seed_from_u64(seed)),
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            clock: MonotonicClock::start(),
            run,
            routes: cell::RefCell::default(),
            evacuations: cell::RefCell::default(),
            retries: cell::RefCell::default(),
            usual_ms: cell::RefCell::default(),
            leaving: cell::Cell::new(None),
            open_requests: cell::Cell::new(0),
            last_request: cell::Cell::new(Moment(0)),
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
        *self.routes.borrow_mut() = Some(rc::Rc::new(table));
        self.note(EventCode::ConfigInstalled, fields);
    }

    /// Writes an important log line.
    pub fn note(&self, event: EventCode, fields: serde_json::Value) {
        self.log.write(event, LineWeight::Important, fields);
    }

    /// Writes what has changed in the fleet to the log.
    pub fn note_fleet(&self, changes: &[FleetChange], source: &str) {
        for change in changes {
            let (event, server) = match change {
                FleetChange::Joined(id) => (EventCode::ServerJoined, id),
                FleetChange::Draining(id) => (EventCode::ServerLeaving, id),
                FleetChange::Lapsed(id) => (EventCode::ServerLapsed, id),
                FleetChange::Gone(id) => (EventCode::ServerGone, id),
                FleetChange::Unreadable(reason) => (EventCode::ObjectUnreadable, reason),
            };
            let fields = json!({
                "server": server,
                "source": source,
                "revision": self.fleet.borrow().revision(),
            });
            self.note(event, fields);
        }
    }

    /// The halls that are to get no work.
    #[must_use]
    pub fn evacuated_halls(&self) -> cell::Ref<'_, collections::BTreeSet<String>> {
        cell::Ref::map(self.evacuations.borrow(), |list| &list.halls)
    }

    /// The store's count up to which the evacuations are current.
    #[must_use]
    pub fn evacuation_revision(&self) -> u64 {
        self.evacuations.borrow().revision
    }

    /// Takes over the whole list of evacuated halls.
    pub fn on_evacuation_list(&self, halls: collections::BTreeSet<String>, revision: u64) {
        if revision < self.evacuation_revision() {
            return;
        }
        let before = self.evacuations.borrow().halls.clone();
        for hall in before.difference(&halls) {
            self.on_evacuation_end(hall);
        }
        for hall in halls.difference(&before) {
            self.note(
                EventCode::HallEvacuated,
                json!({ "hall": hall, "revision": revision }),
            );
        }
        let mut evacuations = self.evacuations.borrow_mut();
        if before != halls {
            evacuations.changed = revision;
        }
        evacuations.halls = halls;
        evacuations.revision = revision;
    }

    /// Takes over one change.
    pub fn on_evacuation_change(&self, hall: &str, deleted: bool, revision: u64) {
        let mut halls = self.evacuations.borrow().halls.clone();
        if deleted {
            halls.remove(hall);
        } else {
            halls.insert(hall.to_owned());
        }
        self.on_evacuation_list(halls, revision);
    }

    /// Servers that got nothing for a while may have turned cold, and the word of it may still be
    /// on its way.
    fn on_evacuation_end(&self, hall: &str) {
        const WORD_MS: u64 = 2_500;
        self.note(EventCode::HallTakenBack, json!({ "hall": hall }));
        let Some(routes) = self.routes() else { return };
        let now = self.now();
        for server in self.fleet.borrow().servers() {
            if server.hall == hall {
                let rule = routes.service(&server.service);
                let warm_up_ms = rule.map_or(0, |rule| rule.warm_up_ms);
                server.set_cold_until(now.plus(warm_up_ms + WORD_MS));
            }
        }
    }

    /// The part of a cold server's limit that is this host's.
    #[must_use]
    pub fn cold_share(&self, cold_per_s: f64) -> ColdShare {
        let settings = self.settings.borrow();
        ColdShare {
            all_per_s: cold_per_s * settings.bounds.cold_factor + settings.bounds.cold_slack,
            hosts: self.peers.borrow().host_count(),
            own_hash: xxh3::xxh3_64(settings.name.as_bytes()),
            other_hashes: self.peers.borrow().other_hashes(),
        }
    }

    /// A request was offered to a server of `service` for the first time.
    pub fn on_first_offer(&self, service: &str) {
        let now = self.now();
        self.with_retries(service, |window| window.on_request(now));
    }

    /// Takes one repeat from the budget of `service`.
    pub fn try_repeat(&self, service: &str) -> bool {
        let share = {
            let bounds = self.settings.borrow().bounds;
            RetryShare {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                hosts: self.peers.borrow().host_count(),
            }
        };
        let now = self.now();
        let allowed = self.with_retries(service, |window| window.try_repeat(&share, now));
        let mut metrics = self.metrics.borrow_mut();
        if allowed {
            metrics.repeats += 1;
        } else {
            metrics.repeats_denied += 1;
        }
        allowed
    }

    fn with_retries<T>(&self, service: &str, work: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let window_ms = self.settings.borrow().bounds.retry_window.as_millis() as u64;
        let mut retries = self.retries.borrow_mut();
        if let Some(window) = retries.get_mut(service) {
            return work(window);
        }
        let window = retries
            .entry(service.to_owned())
            .or_insert_with(|| RetryWindow::with_length(window_ms));
        work(window)
    }

    /// How long a request of a route usually takes, in milliseconds.
    #[must_use]
    pub fn usual_ms(&self, route: &str, goal_ms: u64) -> f64 {
        let known = self
            .usual_ms
            .borrow()
            .get(route)
            .and_then(|times| times.known);
        known.unwrap_or(goal_ms as f64 * FIRST_USUAL_SHARE)
    }

    /// A server answered a request of a route. Only answers about objects that the server knows
    /// tell its pace: a first run is several times longer on the fastest server too.
    pub fn on_answer_time(&self, server: &FleetServer, sample: &AnswerSample<'_>) {
        server.on_success();
        let millis = (sample.millis as f64).max(1.0);
        let mut all = self.usual_ms.borrow_mut();
        let times = all.entry(sample.route.to_owned()).or_default();
        let kind = if sample.known_object {
            &mut times.known
        } else {
            &mut times.first
        };
        let usual = kind.get_or_insert(millis);
        if sample.known_object {
            server.on_pace(millis / *usual);
        }
        *usual += USUAL_WEIGHT * (millis - *usual);
    }

    /// How long a request of a route takes on a server that does not know its object, in
    /// milliseconds.
    #[must_use]
    pub fn first_ms(&self, route: &str, goal_ms: u64) -> f64 {
        let first = self
            .usual_ms
            .borrow()
            .get(route)
            .and_then(|times| times.first);
        first.unwrap_or(goal_ms as f64)
    }

    /// A caller's request begins.
    pub fn on_request_begin(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.last_request.set(self.now());
    }

    /// A caller's request has ended, however.
    pub fn on_request_end(&self) {
        self.open_requests
            .set(self.open_requests.get().saturating_sub(1));
    }

    /// Whether the process was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Whether a request that may take until `deadline` would outlast this host.
    #[must_use]
    pub fn ends_before(&self, deadline: Moment) -> bool {
        let Some(since) = self.leaving.get() else {
            return false;
        };
        let open_ms = self.settings.borrow().bounds.stop_grace / OPEN_SHARE_OF_GRACE;
        let open_until = since.plus(open_ms.as_millis() as u64);
        self.now() >= open_until && deadline >= self.stop_limit(since)
    }

    fn stop_limit(&self, leaving_since: Moment) -> Moment {
        let grace = self.settings.borrow().bounds.stop_grace;
        leaving_since.plus(grace.saturating_sub(STOP_MARGIN).as_millis() as u64)
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routes.borrow().is_some() && self.fleet.borrow().is_listed()
    }

    /// This run of this host, for the others.
    #[must_use]
    pub fn record(&self) -> HostRecord {
        let settings = self.settings.borrow();
        let mut heartbeat_address = settings.peer_address;
        heartbeat_address.set_port(settings.heartbeat_port);
        HostRecord {
            name: settings.name.clone(),
            run: self.run,
            hall: settings.hall.clone(),
            region: settings.region.clone(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            heartbeat_address,
            // The share of a core is checked to be small.
            processor_milli: (settings.processor_share * 1_000.0) as u32,
        }
    }

    /// What the other hosts are told; `whole` adds the host's record.
    #[must_use]
    pub fn heartbeat(&self, whole: bool) -> PeerHeartbeat {
        let evacuations = self.evacuations.borrow();
        PeerHeartbeat {
            host: self.settings.borrow().name.clone(),
            run: self.run,
            record: whole.then(|| self.record()),
            ready: self.is_ready(),
            leaving: self.is_leaving(),
            watch: self.watch.get(),
            configuration_version: self.configuration_version(),
            fleet_changed: self.fleet.borrow().changed(),
            evacuation_changed: evacuations.changed,
            evacuated: evacuations.halls.iter().cloned().collect(),
        }
    }

    /// All that another host may want to know.
    #[must_use]
    pub fn snapshot(&self) -> PeerSnapshot {
        let fleet = self.fleet.borrow();
        let routes = self.routes.borrow();
        let evacuations = self.evacuations.borrow();
        let mut hosts: Vec<_> = self.peers.borrow().records().cloned().collect();
        hosts.push(self.record());
        PeerSnapshot {
            configuration: routes.as_ref().map(|routes| routes.configuration().clone()),
            servers: fleet.objects().collect(),
            fleet_revision: if fleet.is_listed() {
                fleet.revision()
            } else {
                0
            },
            evacuated: evacuations.halls.iter().cloned().collect(),
            evacuation_revision: evacuations.revision,
            hosts,
            hosts_listed: self.peers.borrow().is_listed(),
        }
    }

    /// Whether this host is one of those that watch the store for its region. Until it has met
    /// others, or for a short time from its start, only a seed is.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let peers = self.peers.borrow();
        let now = self.now();
        if peers.is_empty() {
            let settings = self.settings.borrow();
            let meeting = if settings.first_start {
                FIRST_MEETING_MS
            } else {
                MEETING_MS
            };
            if now.0 < meeting {
                return settings.seeds.contains(&settings.peer_address);
            }
        }
        peers.is_watcher(&self.record(), now)
    }

    /// The metrics page.
    #[must_use]
    pub fn metrics_page(&self) -> String {
        let loss = self.log.loss();
        let current = CurrentFigures {
            configuration_version: self.configuration_version(),
            servers: self.fleet.borrow().servers().count(),
            peers: self.peers.borrow().records().count(),
            idle_connections: self.pool.borrow().idle_count(),
            open_requests: self.open_requests.get(),
            log_left_out: loss.left_out,
            log_dropped: loss.dropped,
        };
        self.metrics.borrow().page(&current)
    }

    fn on_tick(&self) {
        let now = self.now();
        let changes = self.fleet.borrow_mut().on_tick(now);
        self.note_fleet(&changes, "timer");
        let fleet = self.fleet.borrow();
        let is_gone = |id: &str| !fleet.knows(id);
        self.pool.borrow_mut().on_tick(is_gone, now);
        self.log.flush();
    }

    fn install_settings(&self, settings: EntrySettings) {
        if *self.settings.borrow().as_ref() == settings {
            return;
        }
        *self.settings.borrow_mut() = rc::Rc::new(settings);
        self.note(EventCode::SettingsReloaded, json!({}));
    }
}

/// Runs a host until the process is told to stop and its requests have ended.
///
/// # Errors
/// `AddressInvalid` when a listener cannot be opened; I/O errors when signals or the log cannot
/// be set up.
pub async fn run<W, S, C>(
    file: &path::Path,
    settings: EntrySettings,
    wire: W,
    connect_store: C,
) -> error::Result<()>
where
    W: WireProtocol,
    S: ObjectStore,
    C: FnOnce(std::net::SocketAddr) -> S,
{
    let (log, writer) = DecisionLog::start(&settings.name)?;
    let store = rc::Rc::new(connect_store(settings.store_address));
    let host = rc::Rc::new(EntryHost::new(settings, wire, log));
    let signals = StopSignals::open()?;
    let listeners = listen::HostListeners::open(&host.settings())?;
    host.note(EventCode::ProcessStarted, json!({ "run": host.run }));
    listeners.serve(&host);
    gossip::spawn(&host)?;
    follow::spawn(&host, &store);
    look_after(&host, &store, file, signals).await;
    host.note(
        EventCode::ProcessStopped,
        json!({ "open_requests": host.open_requests.get() }),
    );
    host.log.close();
    // A writer that panicked has ended too.
    let _outcome = writer.join();
    Ok(())
}

/// The signals that concern a host.
#[derive(Debug)]
struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hang_up: tokio::signal::unix::Signal,
}

impl StopSignals {
    fn open() -> std::io::Result<Self> {
        use tokio::signal::unix::{SignalKind, signal};
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

async fn look_after<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
    file: &path::Path,
    mut signals: StopSignals,
) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        tokio::select! {
            _tick = ticks.tick() => {
                host.on_tick();
                count += 1;
                if count.is_multiple_of(SETTINGS_TICKS) {
                    reload_settings(host, file);
                }
                if may_stop(host) {
                    return;
                }
            }
            _signal = signals.hang_up.recv() => reload_settings(host, file),
            _signal = signals.terminate.recv() => begin_leaving(host, store),
            _signal = signals.interrupt.recv() => begin_leaving(host, store),
        }
    }
}

fn begin_leaving<W: WireProtocol, S: ObjectStore>(host: &rc::Rc<EntryHost<W>>, store: &rc::Rc<S>) {
    if host.is_leaving() {
        return;
    }
    host.leaving.set(Some(host.now()));
    host.note(
        EventCode::ProcessLeaving,
        json!({ "open_requests": host.open_requests.get() }),
    );
    gossip::announce(host);
    let store = rc::Rc::clone(store);
    let name = host.settings().name.clone();
    tokio::task::spawn_local(async move {
        // If this fails, the others remove the entry when the host has been silent for a while.
        let _removed = store.delete_host(&name, None).await;
    });
}

/// A leaving host serves on as long as callers may still come, but not past its grace.
fn may_stop<W: WireProtocol>(host: &EntryHost<W>) -> bool {
    let Some(since) = host.leaving.get() else {
        return false;
    };
    let now = host.now();
    let quiet = now.since(host.last_request.get().max(since)) > QUIET_BEFORE_STOP_MS;
    now >= host.stop_limit(since) || (quiet && host.open_requests.get() == 0)
}

fn reload_settings<W: WireProtocol>(host: &EntryHost<W>, file: &path::Path) {
    match settings::from_file(file) {
        Ok(settings) => host.install_settings(settings),
        // What was in force stays so; the file is read again soon.
        Err(fault) => host.note(
            EventCode::SettingsRejected,
            json!({ "code": fault.code().to_string(), "detail": fault.to_string() }),
        ),
    }
}

/// Opens a listener on the current runtime.
pub(super) fn open_listener(address: std::net::SocketAddr) -> error::Result<TcpListener> {
    let listener = crate::listener::bind(address).map_err(|fault| {
        error::Error::with_code(
            crate::result_code::ResultCode::AddressInvalid,
            format!("{address}: {fault}"),
        )
    })?;
    Ok(TcpListener::from_std(listener)?)
}
