//! Runs the reachability checks of an entry host: connects the decisions of [`crate::reachability`]
//! to sockets and clock.

use std::{cell, rc, time};

use rand::Rng as _;
use serde_json::json;
use tokio::sync::Notify;

use super::announcements;
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::request_failure::RequestFailure;
use super::server_check::TargetOrder;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::reachability::ReachabilityTable;
use crate::timer::Moment;

/// Number of servers that a check connects to. All of four that answered recently, in different
/// halls, rarely fail while others of the service still run.
const SERVERS_PER_CHECK: usize = 4;
/// Number of servers that a host connects to at a time while a service is unreachable. They are
/// random, since the only ones left may be others than those that answered last.
const SERVERS_PER_RETRY: usize = 4;
/// Pause between two such attempts, in milliseconds, sampled so that hosts do not retry at the same
/// time.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 200..400;
/// Retry-after time of a request that no host can serve, in milliseconds. The end of the failure is
/// unknown; the spread keeps refused callers from retrying at the same time.
const RETRY_AFTER_MS: std::ops::Range<u64> = 500..1_500;

/// What this host knows of its own way to the servers.
#[derive(Debug, Default)]
pub struct ReachabilityRole {
    table: cell::RefCell<ReachabilityTable>,
    /// When a server last accepted a connection or sent an answer.
    last_reached: cell::Cell<Option<Moment>>,
    /// Services that must be checked.
    pending_checks: cell::RefCell<Vec<PendingCheck>>,
    has_pending_check: Notify,
    /// Notified at each tick while a service is unreachable.
    unreachable_tick: Notify,
}

/// A service that must be checked.
#[derive(Debug)]
struct PendingCheck {
    service: rc::Rc<str>,
    cause: CheckCause,
}

/// Why a service is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckCause {
    /// A connection to a server could not be opened, or broke.
    ConnectionFailed,
    /// No request was answered for a while, which may have harmless reasons.
    Silence,
    /// Another service has become unreachable.
    OtherService,
}

impl CheckCause {
    const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionFailed => "a connection failed",
            Self::Silence => "no answer for a while",
            Self::OtherService => "another service is unreachable",
        }
    }
}

impl ReachabilityRole {
    fn queue_check(&self, service: &rc::Rc<str>, cause: CheckCause) {
        self.pending_checks.borrow_mut().push(PendingCheck {
            service: rc::Rc::clone(service),
            cause,
        });
        self.has_pending_check.notify_one();
    }
}

/// Starts the task that runs checks.
pub(super) fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) {
    tokio::task::spawn_local(run_checks(rc::Rc::clone(host)));
}

async fn run_checks<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    loop {
        host.reachability.has_pending_check.notified().await;
        for check in host.reachability.pending_checks.take() {
            tokio::task::spawn_local(check_service(rc::Rc::clone(&host), check));
        }
    }
}

async fn check_service<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, check: PendingCheck) {
    let PendingCheck { service, cause } = check;
    let table = &host.reachability.table;
    let order = TargetOrder::LastAnswer;
    let has_servers = !host.check_targets(&service, 1, order).is_empty();
    if !has_servers || !table.borrow_mut().begin_check(&service, host.now()) {
        return;
    }
    // Silence is often harmless, and a single connection is cheaper.
    let is_reached =
        cause == CheckCause::Silence && host.connect_to_any(&service, 1, order).await.is_some();
    if !is_reached {
        host.connect_to_any(&service, SERVERS_PER_CHECK, order)
            .await;
    }
    let is_lost = table.borrow_mut().end_check(&service);
    if is_lost {
        host.on_service_unreachable(&service, cause);
        tokio::task::spawn_local(retry_until_reached(host, service));
    }
}

/// Connects to some servers of an unreachable service at short intervals until one accepts.
async fn retry_until_reached<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, service: rc::Rc<str>) {
    loop {
        let pause_ms = host.random.borrow_mut().random_range(RETRY_PAUSE_MS);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        if !host.is_unreachable(&service) {
            return;
        }
        let (host, service) = (rc::Rc::clone(&host), rc::Rc::clone(&service));
        // Not awaited: an attempt that began before the failure ended may take long to fail.
        tokio::task::spawn_local(async move {
            host.connect_to_any(&service, SERVERS_PER_RETRY, TargetOrder::Random)
                .await;
        });
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Records that a new connection to a server works. Call it before the connection is pooled.
    pub(super) fn on_server_connected(&self, server: &FleetServer) {
        let now = self.now();
        self.reachability.last_reached.set(Some(now));
        let did_reach_any = self.reaches_servers();
        let mut table = self.reachability.table.borrow_mut();
        let were_alive = table.are_open_connections_alive(&server.service, now);
        let unreachable_ms = table.on_connected(&server.service, now);
        drop(table);
        let Some(unreachable_ms) = unreachable_ms else {
            return;
        };
        if !were_alive {
            self.forget_idle_connections(&server.service);
        }
        let fields = json!({
            "service": &*server.service,
            "server": &*server.id,
            "unreachable_ms": unreachable_ms,
        });
        self.log_event(EventCode::ServersReached, fields);
        if !did_reach_any {
            announcements::announce(self);
        }
    }

    /// Idle connections from before a partition break with the first request.
    fn forget_idle_connections(&self, service: &str) {
        let fleet = self.fleet.borrow();
        let mut pool = self.pool.borrow_mut();
        for server in fleet.of_service(service) {
            pool.forget(&server.id);
        }
    }

    /// Records that a connection to a server could not be opened, or broke.
    pub(super) fn on_connection_failed(&self, server: &FleetServer) {
        self.reachability
            .queue_check(&server.service, CheckCause::ConnectionFailed);
    }

    /// Starts the checks of services that have been silent for too long.
    pub(super) fn on_reachability_tick(&self) {
        let silent = self.reachability.table.borrow().silent_services(self.now());
        for service in silent {
            self.reachability.queue_check(&service, CheckCause::Silence);
        }
        if self.reachability.table.borrow().unreachable_count() > 0 {
            self.reachability.unreachable_tick.notify_waiters();
        }
    }

    /// Waits until a request that was sent to a server of `service` will probably get no answer.
    pub(super) async fn until_answer_is_unlikely(&self, service: &str) {
        loop {
            self.reachability.unreachable_tick.notified().await;
            let table = self.reachability.table.borrow();
            let now = self.now();
            // Without another host, the answer may still arrive after a short failure.
            let can_hand_over = self.peers.borrow().any_reaches_servers(now);
            if can_hand_over && table.is_answer_unlikely(service, now) {
                return;
            }
        }
    }

    /// Records a request to a server that waits for its answer until the value is dropped.
    pub(super) fn begin_wait(&self, server: &FleetServer) -> AnswerWait<'_> {
        let now = self.now();
        let service = rc::Rc::clone(&server.service);
        self.reachability.table.borrow_mut().on_sent(&service, now);
        AnswerWait {
            role: &self.reachability,
            service,
            sent: now,
        }
    }

    /// Whether no server of `service` accepts connections of this host.
    #[must_use]
    pub fn is_unreachable(&self, service: &str) -> bool {
        self.reachability.table.borrow().is_unreachable(service)
    }

    /// Whether a server of `service` was certainly reached after `at`.
    pub(super) fn is_reach_confirmed_since(&self, service: &str, at: Moment) -> bool {
        let table = self.reachability.table.borrow();
        table.is_confirmed_since(service, at)
    }

    /// Whether another server accepts a connection now: one of the same hall if there is any, since
    /// the link to a hall may fail alone.
    pub(super) async fn reaches_neighbour(&self, server: &FleetServer) -> bool {
        let others = self.check_targets(&server.service, usize::MAX, TargetOrder::LastAnswer);
        let others = others.into_iter().filter(|other| other.id != server.id);
        let (mut targets, elsewhere): (Vec<_>, Vec<_>) =
            others.partition(|other| other.hall == server.hall);
        if targets.is_empty() {
            targets = elsewhere;
        }
        targets.truncate(SERVERS_PER_CHECK);
        self.connect_to_first(&targets).await.is_some()
    }

    /// Whether requests for `service` may be sent to its servers by this host. While none accepts
    /// connections, open ones may still work.
    pub(super) fn may_send(&self, service: &str) -> bool {
        let table = self.reachability.table.borrow();
        !table.is_unreachable(service) || table.are_open_connections_alive(service, self.now())
    }

    /// Whether this host reaches servers of at least one service, or has no reason to doubt it.
    #[must_use]
    pub fn reaches_servers(&self) -> bool {
        let table = self.reachability.table.borrow();
        if table.unreachable_count() == 0 {
            return true;
        }
        let Some(routes) = self.routes() else {
            return true;
        };
        let fleet = self.fleet.borrow();
        let services = routes.configuration().services.iter();
        let mut with_servers =
            services.filter(|service| !fleet.of_service(&service.name).is_empty());
        with_servers.any(|service| !table.is_unreachable(&service.name))
    }

    /// Time since any server accepted a connection of this host or sent it an answer, in
    /// milliseconds. `None` before the first.
    #[must_use]
    pub fn servers_reached_age_ms(&self) -> Option<u64> {
        let reached = self.reachability.last_reached.get();
        reached.map(|reached| self.now().since(reached))
    }

    /// The refusal of a request that neither this host nor another one can serve.
    pub(super) fn unreachable_failure(&self) -> RequestFailure {
        let retry_after_ms = self.random.borrow_mut().random_range(RETRY_AFTER_MS);
        RequestFailure::unreachable(retry_after_ms)
    }

    /// What this host concluded about single servers since it last reached one may be wrong.
    fn on_service_unreachable(&self, service: &rc::Rc<str>, cause: CheckCause) {
        let last_connected = self
            .reachability
            .table
            .borrow()
            .last_connected(service)
            .unwrap_or_default();
        for server in self.fleet.borrow().of_service(service) {
            server.forget_failures_since(last_connected);
        }
        let fields = json!({
            "service": &**service,
            "cause": cause.as_str(),
            "last_connected_ms": self.now().since(last_connected),
            "servers_reached_age_ms": self.servers_reached_age_ms(),
            "reaches_others": self.reaches_servers(),
        });
        self.log_event(EventCode::ServersUnreachable, fields);
        if self.reaches_servers() {
            self.check_other_services(service);
        } else {
            announcements::announce(self);
        }
    }

    fn check_other_services(&self, unreachable: &str) {
        let Some(routes) = self.routes() else {
            return;
        };
        let services = routes.configuration().services.iter();
        for service in services.filter(|service| service.name != unreachable) {
            let name = rc::Rc::from(service.name.as_str());
            self.reachability
                .queue_check(&name, CheckCause::OtherService);
        }
    }
}

/// A request that waits for the answer of a server.
#[derive(Debug)]
pub(super) struct AnswerWait<'a> {
    role: &'a ReachabilityRole,
    service: rc::Rc<str>,
    sent: Moment,
}

impl AnswerWait<'_> {
    /// The answer begins to arrive.
    pub(super) fn on_answered(&self, now: Moment) {
        self.role.last_reached.set(Some(now));
        let mut table = self.role.table.borrow_mut();
        table.on_answered(&self.service, self.sent, now);
    }
}

impl Drop for AnswerWait<'_> {
    fn drop(&mut self) {
        self.role.table.borrow_mut().on_wait_ended(&self.service);
    }
}
