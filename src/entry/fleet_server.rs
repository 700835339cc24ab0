//! One backend server as this host sees it: its store entry, and its load and speed as observed by
//! this host's own requests or told by other hosts.

use std::{cell, net, rc};

use super::hash;
use super::name_interner::NameInterner;
use super::server::{ServerLoad, ServerRecord, ServerState};
use super::server_notice::{ServerAvailability, ServerNotice};
use super::server_observations::{LoadReport, ServerObservations, Slowdown};
use crate::load_exchange::estimate::{LoadEstimate, ServerReport};
use crate::rollout::spec::VersionTag;
use crate::timer::Moment;

/// Time constant of the decay of other hosts' requests in a load report while the mean load of the
/// service is unknown, in milliseconds; after this time they count for about a third. It is about
/// the time of two answers of a busy server.
const LOAD_DECAY_MS: f64 = 800.0;
/// Weight of the latest answer in the moving average of the slowdown, as a fraction; about the last
/// seven answers count.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Consecutive failures after which a server is ejected. At one request per second, a server that
/// loses a third of its answers fails three times in a row within a minute, and its objects would
/// then move to servers that do not have them cached. Six consecutive failures of such a server are
/// rare.
const FAILURES_TO_EJECT: u32 = 6;
/// Duration of the first ejection, in milliseconds; each further consecutive one is twice as long.
const BASE_EJECT_MS: u64 = 1_000;
/// Maximum number of doublings, so that a server that stays broken is probed every eight seconds.
const MAX_EJECT_DOUBLINGS: u32 = 3;
/// Number of objects per server that this host remembers as cached; servers cache about as many.
const MAX_CACHED_OBJECTS: usize = 64;
/// Added to a reported cold time, in milliseconds: the report takes about this long from the server
/// to this host.
const COLD_MARGIN_MS: u64 = 500;

/// The part of a server's state that changes.
#[derive(Debug, Default)]
struct ServerView {
    draining: bool,
    address_reused: bool,
    removed: bool,
    retained_until: Option<Moment>,
    cold_until: Moment,
    in_flight: u32,
    /// The load of the server if it has the mean load of its service, once hosts exchange loads and
    /// enough are known.
    mean_load: Option<f64>,
    /// `None` before the first request. In a large fleet, a host sends requests to only few of the
    /// servers that it knows.
    observed: Option<Box<ServerObservations>>,
}

impl ServerView {
    /// Whether it is in service according to its store entry and its address.
    const fn is_in_service(&self) -> bool {
        !self.draining && !self.removed && !self.address_reused
    }

    /// What the server announced about its own availability.
    fn notice(&self) -> ServerNotice {
        let observed = self.observed.as_ref();
        observed.map_or_else(ServerNotice::default, |observed| observed.notice)
    }

    fn load_report(&self) -> Option<LoadReport> {
        self.observed.as_ref()?.load_report
    }

    fn observed_mut(&mut self) -> &mut ServerObservations {
        self.observed.get_or_insert_default()
    }
}

/// One incarnation of a backend server, from its start to its end.
#[derive(Debug)]
pub struct FleetServer {
    /// The server's identity.
    pub id: rc::Rc<str>,
    /// The service that it provides.
    pub service: rc::Rc<str>,
    /// The address it listens on.
    pub address: net::SocketAddr,
    /// The hall it is in.
    pub hall: rc::Rc<str>,
    /// The region of that hall.
    pub region: rc::Rc<str>,
    /// The version of its software.
    pub version: VersionTag,
    /// Number of requests that it processes at a time.
    pub slots: u32,
    /// Hash of the identity, for ranking.
    pub hash: u64,
    /// Hash of identity and start time, so that information about an earlier incarnation is not
    /// applied to this one.
    pub incarnation_hash: u64,
    view: cell::RefCell<ServerView>,
}

impl FleetServer {
    pub(super) fn from_record(
        record: &ServerRecord,
        region: &str,
        names: &mut NameInterner,
    ) -> Self {
        let hash = hash::of_name(&record.id);
        Self {
            id: record.id.as_str().into(),
            service: names.get(&record.service),
            address: record.address,
            hall: names.get(&record.hall),
            region: names.get(region),
            version: record.version,
            slots: record.slots.max(1),
            hash,
            incarnation_hash: hash::mix(hash ^ record.born.unwrap_or(0)),
            view: cell::RefCell::default(),
        }
    }

    /// Whether it may get new requests according to its store entry and its own answers, regardless
    /// of a backoff.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let view = self.view.borrow();
        view.is_in_service() && view.notice().leaving_since().is_none()
    }

    /// Whether its process may still listen on its address. Includes servers that leave or want no
    /// requests now.
    #[must_use]
    pub fn may_listen(&self) -> bool {
        let view = self.view.borrow();
        !view.removed && !view.address_reused
    }

    /// Whether it is draining according to the store.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.view.borrow().draining
    }

    /// Whether it may get new requests now; `leave_ms` is how long a leaving server continues to
    /// serve at least.
    #[must_use]
    pub fn availability(&self, leave_ms: u64, now: Moment) -> ServerAvailability {
        let view = self.view.borrow();
        if view.is_in_service() {
            view.notice().availability(leave_ms, now)
        } else {
            ServerAvailability::Closed
        }
    }

    /// What it announced to this host about its own availability.
    #[must_use]
    pub fn notice(&self) -> ServerNotice {
        self.view.borrow().notice()
    }

    /// Changes what is known of the server's announcements.
    pub fn change_notice<T>(&self, change: impl FnOnce(&mut ServerNotice) -> T) -> T {
        change(&mut self.view.borrow_mut().observed_mut().notice)
    }

    /// Whether it was removed.
    #[must_use]
    pub fn is_removed(&self) -> bool {
        self.view.borrow().removed
    }

    /// Number of requests of this host at the server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.view.borrow().in_flight
    }

    /// Remembers the number of this host's requests for reports that were made before it changes
    /// now.
    pub fn remember_in_flight(&self, now: Moment) {
        let mut view = self.view.borrow_mut();
        let in_flight = view.in_flight;
        view.observed_mut().on_in_flight_change(in_flight, now);
    }

    /// Counts a request that is sent to the server.
    pub fn begin_request(&self) {
        self.view.borrow_mut().in_flight += 1;
    }

    /// Counts the end of a request, whatever its outcome is.
    pub fn end_request(&self) {
        let mut view = self.view.borrow_mut();
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// Records the load that the server reported with an answer. Call it before
    /// [`Self::end_request`] of that answer's request, which the load includes.
    pub fn on_load_report(&self, load: ServerLoad, now: Moment) {
        let mut view = self.view.borrow_mut();
        let own_in_flight = view.in_flight;
        view.observed_mut().load_report = Some(LoadReport {
            report: ServerReport {
                requests: load.requests(),
                pace: load.pace,
                at: now,
            },
            own_in_flight,
        });
    }

    /// Records a load report of the server that another host has told. A report that is not newer
    /// than the known one changes nothing.
    pub fn on_told_report(&self, report: ServerReport) {
        let mut view = self.view.borrow_mut();
        if view
            .load_report()
            .is_some_and(|known| known.report.at >= report.at)
        {
            return;
        }
        let present = view.in_flight;
        let observed = view.observed_mut();
        observed.load_report = Some(LoadReport {
            report,
            own_in_flight: observed.in_flight_at(report.at, present),
        });
    }

    /// Its newest load report.
    #[must_use]
    pub fn last_report(&self) -> Option<ServerReport> {
        let view = self.view.borrow();
        view.load_report().map(|known| known.report)
    }

    /// Sets the load that it has if it has the mean load of its service; `None` while that is
    /// unknown or hosts do not exchange loads.
    pub fn set_mean_load(&self, mean_load: Option<f64>) {
        self.view.borrow_mut().mean_load = mean_load;
    }

    /// Whether this host recently sent requests for `object` to the server, which then probably has
    /// it cached.
    #[must_use]
    pub fn has_object_cached(&self, object: u64) -> bool {
        let view = self.view.borrow();
        let observed = view.observed.as_ref();
        observed.is_some_and(|observed| observed.objects.contains(&object))
    }

    /// Records a request for `object`. Returns whether this host recently sent one to the server
    /// before, so that the server probably has the object cached.
    pub fn record_object(&self, object: u64) -> bool {
        let mut view = self.view.borrow_mut();
        let view = view.observed_mut();
        let known = view.objects.iter().rposition(|known| *known == object);
        if let Some(index) = known {
            view.objects.remove(index);
        }
        view.objects.push_back(object);
        if view.objects.len() > MAX_CACHED_OBJECTS {
            view.objects.pop_front();
        }
        known.is_some()
    }

    /// Records the time of an answer as a multiple of the typical time. Of two consecutive answers
    /// the faster counts: a slow server is slow twice in a row, while a single long answer may have
    /// waited or was a cache miss.
    pub fn record_slowdown(&self, factor: f64, now: Moment) {
        let mut view = self.view.borrow_mut();
        let view = view.observed_mut();
        let last = view.last_factor.replace(factor).unwrap_or(1.0);
        let factor = factor.min(last.max(1.0));
        let before = view.slowdown.map_or(1.0, |slowdown| slowdown.decayed(now));
        view.slowdown = Some(Slowdown {
            factor: before + SLOWDOWN_WEIGHT * (factor - before),
            at: now,
        });
    }

    /// Records an answer, which ends an ejection and resets the failure counts.
    pub fn on_success(&self, now: Moment) {
        let mut view = self.view.borrow_mut();
        let view = view.observed_mut();
        view.notice.on_served(now);
        view.last_success = Some(now);
        view.failures = 0;
        view.ejections = 0;
        view.ejected_until = None;
    }

    /// Records a lost or late answer; returns whether the server is ejected by it. Requests that
    /// were in flight at an ejection are not counted.
    pub fn on_failure(&self, now: Moment) -> bool {
        self.record_failure(now, FAILURES_TO_EJECT)
    }

    /// Records a failed connection, which ejects the server at once; returns whether it was not yet
    /// ejected.
    pub fn on_unreachable(&self, now: Moment) -> bool {
        self.record_failure(now, 1)
    }

    /// Another server answered at its address, so it has ended, whatever its store entry says.
    pub fn on_address_reused(&self) {
        self.view.borrow_mut().address_reused = true;
    }

    fn record_failure(&self, now: Moment, max_failures: u32) -> bool {
        let mut view = self.view.borrow_mut();
        let view = view.observed_mut();
        if view.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        view.failures += 1;
        let is_probe = view.ejected_until.is_some();
        if view.failures < max_failures && !is_probe {
            return false;
        }
        let doublings = view.ejections.min(MAX_EJECT_DOUBLINGS);
        view.ejected_at = now;
        view.ejected_until = Some(now.plus(BASE_EJECT_MS << doublings));
        view.ejections += 1;
        view.failures = 0;
        true
    }

    /// Forgets failures since `since`, whose cause may be this host's own link.
    pub(super) fn forget_failures_since(&self, since: Moment) {
        let mut view = self.view.borrow_mut();
        let Some(observed) = &mut view.observed else {
            return;
        };
        observed.failures = 0;
        if observed.ejected_until.is_some() && observed.ejected_at >= since {
            observed.ejected_until = None;
            observed.ejections = 0;
        }
        if observed
            .slowdown
            .is_some_and(|slowdown| slowdown.at >= since)
        {
            observed.slowdown = None;
            observed.last_factor = None;
        }
    }

    /// When it last answered a request of this host.
    #[must_use]
    pub fn last_success(&self) -> Option<Moment> {
        let view = self.view.borrow();
        view.observed.as_ref()?.last_success
    }

    /// Ejects the server until `until`; it is probed afterwards, as after failures.
    pub(super) fn eject_until(&self, until: Moment) {
        self.view.borrow_mut().observed_mut().ejected_until = Some(until);
    }

    /// Whether the server is ejected. After an ejection it gets one request at a time until one
    /// succeeds.
    #[must_use]
    pub fn is_ejected(&self, now: Moment) -> bool {
        let view = self.view.borrow();
        let until = view
            .observed
            .as_ref()
            .and_then(|observed| observed.ejected_until);
        until.is_some_and(|until| now < until || view.in_flight > 0)
    }

    /// Estimated number of requests at the server: this host's own, and those of other hosts
    /// according to the last load report. With its age these approach the mean load of the service,
    /// or decay if that is unknown.
    #[must_use]
    pub fn expected_load(&self, now: Moment) -> f64 {
        let view = self.view.borrow();
        let known = view.load_report();
        let reported = known.map(|known| (known.report, known.own_in_flight));
        if let Some(mean) = view.mean_load {
            let estimate = LoadEstimate {
                own: view.in_flight,
                reported,
                mean,
            };
            return estimate.requests(now);
        }
        let others = reported.map_or(0.0, |(report, own_then)| {
            let others = f64::from(report.requests.saturating_sub(own_then));
            others * (-(now.since(report.at) as f64) / LOAD_DECAY_MS).exp()
        });
        f64::from(view.in_flight) + others
    }

    /// Age of the last load report, in milliseconds; `None` if there is none.
    #[must_use]
    pub fn load_report_age_ms(&self, now: Moment) -> Option<u64> {
        let report = self.last_report();
        report.map(|report| now.since(report.at))
    }

    /// Its current answer time as a multiple of the typical time. If it reports a pace, the slower
    /// of the pace and the observed slowdown counts, because answers at a slow pace show in both.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        let view = self.view.borrow();
        let slowdown = view
            .observed
            .as_ref()
            .and_then(|observed| observed.slowdown);
        let observed = slowdown.map_or(1.0, |slowdown| slowdown.decayed(now));
        let pace = view
            .load_report()
            .map_or(1.0, |known| known.report.pace_factor(now));
        if pace <= 1.0 {
            observed * pace
        } else {
            observed.max(pace)
        }
    }

    /// Whether it is in slow start.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.view.borrow().cold_until
    }

    /// Sets the end of its slow start.
    pub fn set_cold_until(&self, until: Moment) {
        self.view.borrow_mut().cold_until = until;
    }

    /// Number of requests sent to it within the last `window_ms` while it was cold.
    #[must_use]
    pub fn cold_sends(&self, now: Moment, window_ms: u64) -> usize {
        let mut view = self.view.borrow_mut();
        let Some(observed) = &mut view.observed else {
            return 0;
        };
        let is_over = |sent: &Moment| now.since(*sent) > window_ms;
        while observed.cold_sends.front().is_some_and(is_over) {
            observed.cold_sends.pop_front();
        }
        observed.cold_sends.len()
    }

    /// Records a request that is sent to it while it is cold.
    pub fn on_cold_send(&self, now: Moment) {
        self.view
            .borrow_mut()
            .observed_mut()
            .cold_sends
            .push_back(now);
    }

    /// Applies its store entry, which is present.
    pub(super) fn update(&self, record: &ServerRecord, now: Moment) {
        let mut view = self.view.borrow_mut();
        view.draining = record.state == ServerState::Draining;
        view.retained_until = None;
        view.cold_until = match record.cold_ms {
            0 => Moment(0),
            cold_ms => now.plus(cold_ms + COLD_MARGIN_MS),
        };
    }

    /// Its entry can no longer be parsed: it gets no new requests.
    pub(super) fn on_unreadable(&self) {
        self.view.borrow_mut().draining = true;
    }

    /// Its entry is present and unchanged.
    pub(super) fn on_present(&self) {
        self.view.borrow_mut().retained_until = None;
    }

    /// Its entry is missing and may only have expired. The server is retained until `until`, or for
    /// the shorter of two such times. Returns whether it was not yet missing.
    pub(super) fn on_missing(&self, until: Moment) -> bool {
        let mut view = self.view.borrow_mut();
        let before = view.retained_until;
        view.retained_until = Some(before.map_or(until, |before| before.min(until)));
        before.is_none()
    }

    /// Until when it is retained although its entry is missing; `None` if the entry is present.
    pub(super) fn missing_until(&self) -> Option<Moment> {
        self.view.borrow().retained_until
    }

    /// Whether its entry is missing and the retention time is over.
    pub(super) fn is_retention_over(&self, now: Moment) -> bool {
        self.view
            .borrow()
            .retained_until
            .is_some_and(|at| at <= now)
    }

    /// The server was removed.
    pub(super) fn on_removed(&self) {
        self.view.borrow_mut().removed = true;
    }
}
