//! Decides whether this host reaches the backend servers of each service.
//!
//! A server that cannot be connected to tells nothing about the host, and neither does a quiet
//! moment. Both start a check, which connects to a few servers of the service in different halls. If
//! none accepts, either all of them have failed or the host is partitioned from them. In both cases
//! the host stops trying them with requests, and checks at short intervals whether one accepts again.

use std::{collections, rc};

use crate::timer::Moment;

/// Minimum time between two checks of a service, in milliseconds.
const MIN_CHECK_INTERVAL_MS: u64 = 300;
/// Time without any answer while requests wait for one that starts a check, in milliseconds.
const MAX_SILENCE_MS: u64 = 700;
/// How long an answer over an open connection shows that open connections still work, in
/// milliseconds.
const OPEN_CONNECTION_MS: u64 = 1_000;

/// What a host knows of its way to the servers of one service.
#[derive(Debug, Default)]
struct ServiceReachability {
    last_connected: Option<Moment>,
    /// The last moment at which a server was certainly reached: a connection opened, or a request
    /// was sent that was answered.
    last_confirmed: Option<Moment>,
    /// The start of the last check, and whether it is still running.
    last_check: Option<(Moment, bool)>,
    /// The start of the check that found no server.
    unreachable_since: Option<Moment>,
    /// The last answer to a request that was sent after `unreachable_since`.
    last_open_answer: Option<Moment>,
    /// Number of requests that wait for an answer.
    waiting: u32,
    /// The last answer or connection while requests wait.
    silent_since: Moment,
}

/// Which services' servers this host reaches.
///
/// ```
/// use ledgespool::reachability::ReachabilityTable;
/// use ledgespool::timer::Moment;
/// let mut table = ReachabilityTable::default();
/// let service = std::rc::Rc::from("desk");
/// assert!(table.begin_check(&service, Moment(1_000)));
/// assert!(table.end_check(&service));
/// assert!(table.is_unreachable("desk"));
/// assert_eq!(table.on_connected(&service, Moment(3_000)), Some(2_000));
/// assert!(!table.is_unreachable("desk"));
/// ```
#[derive(Debug, Default)]
pub struct ReachabilityTable {
    services: collections::BTreeMap<rc::Rc<str>, ServiceReachability>,
}

impl ReachabilityTable {
    fn entry(&mut self, service: &rc::Rc<str>) -> &mut ServiceReachability {
        self.services.entry(rc::Rc::clone(service)).or_default()
    }

    /// A server of the service accepted a connection. Returns for how many milliseconds the
    /// service was unreachable, if it was until now.
    pub fn on_connected(&mut self, service: &rc::Rc<str>, now: Moment) -> Option<u64> {
        let entry = self.entry(service);
        entry.last_connected = Some(now);
        entry.last_confirmed = Some(now);
        entry.silent_since = now;
        entry.last_open_answer = None;
        let since = entry.unreachable_since.take();
        since.map(|since| now.since(since))
    }

    /// A request was sent to a server of the service.
    pub fn on_sent(&mut self, service: &rc::Rc<str>, now: Moment) {
        let entry = self.entry(service);
        if entry.waiting == 0 {
            entry.silent_since = now;
        }
        entry.waiting += 1;
    }

    /// The answer to a request that was sent at `sent` begins to arrive.
    pub fn on_answered(&mut self, service: &rc::Rc<str>, sent: Moment, now: Moment) {
        let entry = self.entry(service);
        entry.silent_since = now;
        entry.last_confirmed = entry.last_confirmed.max(Some(sent));
        if entry.unreachable_since.is_some_and(|since| sent >= since) {
            entry.last_open_answer = Some(now);
        }
    }

    /// A request no longer waits for an answer, whatever the reason is.
    pub fn on_wait_ended(&mut self, service: &rc::Rc<str>) {
        let entry = self.entry(service);
        entry.waiting = entry.waiting.saturating_sub(1);
    }

    /// Services without any answer for so long that they must be checked, although requests wait.
    #[must_use]
    pub fn silent_services(&self, now: Moment) -> Vec<rc::Rc<str>> {
        let silent = self.services.iter().filter(|(_, entry)| {
            let is_silent = now.since(entry.silent_since) >= MAX_SILENCE_MS;
            entry.waiting > 0 && is_silent && entry.may_check(now)
        });
        silent.map(|(service, _)| rc::Rc::clone(service)).collect()
    }

    /// Starts a check of a service; returns false if one is running, was made just before or is not
    /// needed because the service is known to be unreachable.
    pub fn begin_check(&mut self, service: &rc::Rc<str>, now: Moment) -> bool {
        let entry = self.entry(service);
        let may_check = entry.may_check(now);
        if may_check {
            entry.last_check = Some((now, true));
        }
        may_check
    }

    /// Ends a check; returns whether the service has now become unreachable, because no server
    /// accepted a connection since the check began.
    pub fn end_check(&mut self, service: &rc::Rc<str>) -> bool {
        let entry = self.entry(service);
        let Some((began, true)) = entry.last_check else {
            return false;
        };
        entry.last_check = Some((began, false));
        if entry.last_connected.is_some_and(|at| at >= began) {
            return false;
        }
        entry.unreachable_since = Some(began);
        true
    }

    /// When a server of the service last accepted a connection.
    #[must_use]
    pub fn last_connected(&self, service: &str) -> Option<Moment> {
        let entry = self.services.get(service);
        entry.and_then(|entry| entry.last_connected)
    }

    /// Whether a server of the service was certainly reached after `at`. What a host observed at
    /// `at` may otherwise be a failure of its own link.
    #[must_use]
    pub fn is_confirmed_since(&self, service: &str, at: Moment) -> bool {
        let entry = self.services.get(service);
        let confirmed = entry.and_then(|entry| entry.last_confirmed);
        confirmed.is_some_and(|confirmed| confirmed > at)
    }

    /// Whether no server of the service accepts connections of this host.
    #[must_use]
    pub fn is_unreachable(&self, service: &str) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| entry.unreachable_since.is_some())
    }

    /// Whether requests sent over open connections to an unreachable service were answered
    /// recently.
    #[must_use]
    pub fn are_open_connections_alive(&self, service: &str, now: Moment) -> bool {
        let entry = self.services.get(service);
        let answer = entry.and_then(|entry| entry.last_open_answer);
        answer.is_some_and(|at| now.since(at) <= OPEN_CONNECTION_MS)
    }

    /// Whether a request that was sent to an unreachable service will probably get no answer.
    #[must_use]
    pub fn is_answer_unlikely(&self, service: &str, now: Moment) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| {
            let is_silent = now.since(entry.silent_since) >= MAX_SILENCE_MS;
            entry.unreachable_since.is_some() && is_silent
        })
    }

    /// Number of services whose servers this host does not reach.
    #[must_use]
    pub fn unreachable_count(&self) -> usize {
        let entries = self.services.values();
        entries
            .filter(|entry| entry.unreachable_since.is_some())
            .count()
    }
}

impl ServiceReachability {
    fn may_check(&self, now: Moment) -> bool {
        let is_due = self.last_check.is_none_or(|(began, is_running)| {
            !is_running && now.since(began) >= MIN_CHECK_INTERVAL_MS
        });
        is_due && self.unreachable_since.is_none()
    }
}
