//! One backend server as this host sees it: what the store says of it, and what own requests have
//! shown of its load and pace.

use std::{cell, net, rc};

use super::hash;
use super::seen_server::{SeenPace, SeenServer, ToldLoad};
use super::server::{ServerLoad, ServerRecord, ServerState};
use super::server_notice::{ServerAvailability, ServerNotice};
use super::shared_names::SharedNames;
use crate::rollout::spec::VersionTag;
use crate::timer::Moment;

/// What other hosts had running when a server told its load counts for less with age; after this
/// time, in milliseconds, for about a third. About two answers of a busy server.
const TOLD_DECAY_MS: f64 = 800.0;
/// Weight of the newest answer in the moving average of the pace; a share. About the last seven
/// answers count.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Failures in a row that take a server out of service. One that loses a third of its answers fails
/// three times in a row within a minute at a request a second, and its objects would then meet
/// servers that don't know them; six in a row it hardly ever does.
const FAILURES_TO_EJECT: u32 = 6;
/// The first time out of service, in milliseconds; each further one in a row doubles it.
const EJECT_MS: u64 = 1_000;
/// Doublings of that time, at most: a server that stays broken is tried every eight seconds.
const MAX_EJECT_DOUBLINGS: u32 = 3;
/// Objects that this host remembers to have sent to a server; servers remember about as many.
const MAX_OBJECTS: usize = 64;
/// Added to a told cold time, in milliseconds: the word takes about this long from the server to
/// this host.
const COLD_MARGIN_MS: u64 = 500;

/// What is known of a server beside what stays the same.
#[derive(Debug, Default)]
struct ServerView {
    draining: bool,
    displaced: bool,
    gone: bool,
    gone_at: Option<Moment>,
    cold_until: Moment,
    in_flight: u32,
    /// Nothing before the first request: in a large fleet a host sends to few of the servers that it knows.
    seen: Option<Box<SeenServer>>,
}

impl ServerView {
    /// Whether it works, as far as the store and its address say.
    const fn is_in_service(&self) -> bool {
        !self.draining && !self.gone && !self.displaced
    }

    /// What it told of its own intent.
    fn notice(&self) -> ServerNotice {
        let seen = self.seen.as_ref();
        seen.map_or_else(ServerNotice::default, |seen| seen.notice)
    }

    fn seen_mut(&mut self) -> &mut SeenServer {
        self.seen.get_or_insert_default()
    }
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub struct FleetServer {
    /// Its identity.
    pub id: rc::Rc<str>,
    /// The service that it serves.
    pub service: rc::Rc<str>,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// The hall that it stands in.
    pub hall: rc::Rc<str>,
    /// The region of that hall.
    pub region: rc::Rc<str>,
    /// The version of its software.
    pub version: VersionTag,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// A hash of the identity, for ranking.
    pub hash: u64,
    /// A hash of identity and start: what was said of an earlier start is not taken for this one's.
    pub start_hash: u64,
    view: cell::RefCell<ServerView>,
}

impl FleetServer {
    pub(super) fn from_record(
        record: &ServerRecord,
        region: &str,
        names: &mut SharedNames,
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
            start_hash: hash::mix(hash ^ record.born.unwrap_or(0)),
            view: cell::RefCell::default(),
        }
    }

    /// Whether it may get new work as far as the store and its own answers say, rests aside.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let view = self.view.borrow();
        view.is_in_service() && view.notice().leaving_since().is_none()
    }

    /// Whether the store says that it leaves.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.view.borrow().draining
    }

    /// Whether it may get new work now; `leave_ms` is how long a server that leaves serves on at least.
    #[must_use]
    pub fn availability(&self, leave_ms: u64, now: Moment) -> ServerAvailability {
        let view = self.view.borrow();
        if view.is_in_service() {
            view.notice().availability(leave_ms, now)
        } else {
            ServerAvailability::Closed
        }
    }

    /// What it has told this host of its own intent.
    #[must_use]
    pub fn notice(&self) -> ServerNotice {
        self.view.borrow().notice()
    }

    /// Takes in what it tells of its own intent.
    pub fn change_notice<T>(&self, change: impl FnOnce(&mut ServerNotice) -> T) -> T {
        change(&mut self.view.borrow_mut().seen_mut().notice)
    }

    /// Whether its incarnation has ended.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.view.borrow().gone
    }

    /// Requests of this host at the server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.view.borrow().in_flight
    }

    /// A request is sent to it.
    pub fn begin(&self) {
        self.view.borrow_mut().in_flight += 1;
    }

    /// A request has left it, however it ended.
    pub fn end(&self) {
        let mut view = self.view.borrow_mut();
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// It told its load with an answer. Call after [`Self::end`] of that answer's request.
    pub fn on_load(&self, load: ServerLoad, now: Moment) {
        let mut view = self.view.borrow_mut();
        let own = view.in_flight;
        view.seen_mut().told = Some(ToldLoad { load, own, at: now });
    }

    /// Whether this host lately sent requests about `object` there.
    #[must_use]
    pub fn knows_object(&self, object: u64) -> bool {
        let view = self.view.borrow();
        let seen = view.seen.as_ref();
        seen.is_some_and(|seen| seen.objects.contains(&object))
    }

    /// Whether this host lately sent requests about `object` there, so that the server probably
    /// works faster on it. Notes that one more was sent.
    pub fn remember_object(&self, object: u64) -> bool {
        let mut view = self.view.borrow_mut();
        let view = view.seen_mut();
        let known = view.objects.iter().rposition(|known| *known == object);
        if let Some(place) = known {
            view.objects.remove(place);
        }
        view.objects.push_back(object);
        if view.objects.len() > MAX_OBJECTS {
            view.objects.pop_front();
        }
        known.is_some()
    }

    /// It answered in `share` of the time that such a request usually takes. Of two answers in a row
    /// the faster counts: a server that is slow is slow twice, while one long answer may have
    /// waited, or was a first run on its object.
    pub fn on_pace(&self, share: f64, now: Moment) {
        let mut view = self.view.borrow_mut();
        let view = view.seen_mut();
        let last = view.last_share.replace(share).unwrap_or(1.0);
        let share = share.min(last.max(1.0));
        let before = view.pace.map_or(1.0, |pace| pace.faded(now));
        view.pace = Some(SeenPace {
            share: before + AVERAGE_WEIGHT * (share - before),
            at: now,
        });
    }

    /// It answered.
    pub fn on_success(&self, now: Moment) {
        let mut view = self.view.borrow_mut();
        let view = view.seen_mut();
        view.notice.on_served(now);
        view.failures = 0;
        view.ejections = 0;
        view.ejected_until = None;
    }

    /// An answer was lost or did not come in time; returns whether this takes it out of service.
    /// Requests that were under way when it was taken out tell nothing new.
    pub fn on_failure(&self, now: Moment) -> bool {
        self.fail(now, FAILURES_TO_EJECT)
    }

    /// No connection came up, which takes it out of service at once; returns whether it was in.
    pub fn on_unreachable(&self, now: Moment) -> bool {
        self.fail(now, 1)
    }

    /// Another incarnation has its address: it has ended, whatever the store still says.
    pub fn on_displaced(&self) {
        self.view.borrow_mut().displaced = true;
    }

    fn fail(&self, now: Moment, limit: u32) -> bool {
        let mut view = self.view.borrow_mut();
        let view = view.seen_mut();
        if view.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        view.failures += 1;
        let on_trial = view.ejected_until.is_some();
        if view.failures < limit && !on_trial {
            return false;
        }
        let doublings = view.ejections.min(MAX_EJECT_DOUBLINGS);
        view.ejected_until = Some(now.plus(EJECT_MS << doublings));
        view.ejections += 1;
        view.failures = 0;
        true
    }

    /// It gets no work until then, and is tried afterwards as after failures.
    pub(super) fn hold_out(&self, until: Moment) {
        self.view.borrow_mut().seen_mut().ejected_until = Some(until);
    }

    /// Whether it is out of service after failures. When its time is over it gets one request at
    /// a time until one succeeds.
    #[must_use]
    pub fn is_ejected(&self, now: Moment) -> bool {
        let view = self.view.borrow();
        let until = view.seen.as_ref().and_then(|seen| seen.ejected_until);
        until.is_some_and(|until| now < until || view.in_flight > 0)
    }

    /// Requests that are probably at the server now: own ones, and what others had when it last
    /// told, fading with age.
    #[must_use]
    pub fn expected_load(&self, now: Moment) -> f64 {
        let view = self.view.borrow();
        let told = view.seen.as_ref().and_then(|seen| seen.told);
        let others = told.map_or(0.0, |told| {
            let all = told.load.running + told.load.waiting;
            let others = f64::from(all.saturating_sub(told.own));
            others * (-(now.since(told.at) as f64) / TOLD_DECAY_MS).exp()
        });
        f64::from(view.in_flight) + others
    }

    /// How long ago it last told its load, in milliseconds; `None` if it never did.
    #[must_use]
    pub fn told_age_ms(&self, now: Moment) -> Option<u64> {
        let view = self.view.borrow();
        let told = view.seen.as_ref().and_then(|seen| seen.told);
        told.map(|told| now.since(told.at))
    }

    /// How long it takes, as a multiple of what is usual.
    #[must_use]
    pub fn pace(&self, now: Moment) -> f64 {
        let view = self.view.borrow();
        let pace = view.seen.as_ref().and_then(|seen| seen.pace);
        pace.map_or(1.0, |pace| pace.faded(now))
    }

    /// Whether it is slow from a start.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.view.borrow().cold_until
    }

    /// It stays slow until then.
    pub fn set_cold_until(&self, until: Moment) {
        self.view.borrow_mut().cold_until = until;
    }

    /// Requests sent to it while cold within the last `window_ms`.
    #[must_use]
    pub fn cold_sends(&self, now: Moment, window_ms: u64) -> usize {
        let mut view = self.view.borrow_mut();
        let Some(seen) = &mut view.seen else {
            return 0;
        };
        let is_over = |sent: &Moment| now.since(*sent) > window_ms;
        while seen.cold_sends.front().is_some_and(is_over) {
            seen.cold_sends.pop_front();
        }
        seen.cold_sends.len()
    }

    /// A request is sent to it while it is cold.
    pub fn on_cold_send(&self, now: Moment) {
        self.view.borrow_mut().seen_mut().cold_sends.push_back(now);
    }

    /// Takes over what the store says; the entry is there.
    pub(super) fn update(&self, record: &ServerRecord, now: Moment) {
        let mut view = self.view.borrow_mut();
        view.draining = record.state == ServerState::Draining;
        view.gone_at = None;
        view.cold_until = match record.cold_ms {
            0 => Moment(0),
            cold_ms => now.plus(cold_ms + COLD_MARGIN_MS),
        };
    }

    /// Its entry cannot be understood any more: it gets no new work.
    pub(super) fn on_unreadable(&self) {
        self.view.borrow_mut().draining = true;
    }

    /// Its entry stands in the store, unchanged.
    pub(super) fn on_present(&self) {
        self.view.borrow_mut().gone_at = None;
    }

    /// Its entry went missing and has perhaps only lapsed: it is kept until `until`, or for the
    /// shorter of two such times. Returns whether it was not yet missing.
    pub(super) fn on_missing(&self, until: Moment) -> bool {
        let mut view = self.view.borrow_mut();
        let before = view.gone_at;
        view.gone_at = Some(before.map_or(until, |before| before.min(until)));
        before.is_none()
    }

    /// Until when it is kept although its entry is missing; `None` when it is there.
    pub(super) fn missing_until(&self) -> Option<Moment> {
        self.view.borrow().gone_at
    }

    /// Whether it was kept for a moment and that is over.
    pub(super) fn has_lapsed(&self, now: Moment) -> bool {
        self.view.borrow().gone_at.is_some_and(|at| at <= now)
    }

    /// Its incarnation has ended.
    pub(super) fn on_gone(&self) {
        self.view.borrow_mut().gone = true;
    }
}
