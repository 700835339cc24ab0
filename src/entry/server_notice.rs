//! Tracks what a backend server announced about itself: that it is leaving, or that it wants a
//! backoff. Derives from this whether the server may get new requests.

use crate::timer::Moment;

/// Share of a leaving server's remaining time in which it may still get requests that no other
/// server takes. The other half is left for the network latency and the work.
const LAST_RESORT_SHARE: f64 = 0.5;

/// After a backoff, another probe request may be sent if the previous one got no answer within this
/// time, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Whether a server may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAvailability {
    /// It may get any request.
    Regular,
    /// It gets only requests that no other server takes.
    LastResort,
    /// It gets no requests.
    Closed,
}

/// What one incarnation of a server has announced.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerNotice {
    leaving_since: Option<Moment>,
    backoff_until: Option<Moment>,
    /// When the last probe request after a backoff was sent.
    probed_at: Option<Moment>,
    /// Whether it has sent an unreadable header.
    unreadable: bool,
}

impl ServerNotice {
    /// Records that the server is leaving; returns whether that is new.
    pub const fn on_leaving(&mut self, now: Moment) -> bool {
        let is_new = self.leaving_since.is_none();
        if is_new {
            self.leaving_since = Some(now);
        }
        is_new
    }

    /// Records a backoff until the given time; returns whether the server was not in backoff
    /// before. A later end of a previous backoff is kept.
    pub fn on_backoff(&mut self, until: Moment, now: Moment) -> bool {
        let is_new = !self.is_in_backoff(now);
        self.backoff_until = self.backoff_until.max(Some(until));
        self.probed_at = None;
        is_new
    }

    /// Records an unreadable header; returns whether it is the server's first one.
    pub const fn on_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }

    /// Merges another notice of the same incarnation.
    pub fn merge(&mut self, other: Self) {
        let earlier = [self.leaving_since, other.leaving_since];
        self.leaving_since = earlier.into_iter().flatten().min();
        self.backoff_until = self.backoff_until.max(other.backoff_until);
    }

    /// Whether the notice contains an announcement.
    #[must_use]
    pub const fn has_announcement(&self) -> bool {
        self.leaving_since.is_some() || self.backoff_until.is_some()
    }

    /// When the server first announced that it is leaving. This holds for the whole incarnation.
    #[must_use]
    pub const fn leaving_since(&self) -> Option<Moment> {
        self.leaving_since
    }

    /// Whether the server is in backoff.
    #[must_use]
    pub fn is_in_backoff(&self, now: Moment) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether the backoff is over and no answer has shown yet that the server works again.
    #[must_use]
    pub fn needs_probe(&self, now: Moment) -> bool {
        self.backoff_until.is_some_and(|until| until <= now)
    }

    /// Records a request to the server. After a backoff, that request is a probe.
    pub fn on_sent(&mut self, now: Moment) {
        if self.needs_probe(now) {
            self.probed_at = Some(now);
        }
    }

    /// Whether a probe request was sent recently and not answered yet.
    #[must_use]
    pub fn is_probing(&self, now: Moment) -> bool {
        let is_recent = |probed| now.since(probed) < PROBE_INTERVAL_MS;
        self.needs_probe(now) && self.probed_at.is_some_and(is_recent)
    }

    /// Records an answer. After a backoff, it completes the probe.
    pub fn on_served(&mut self, now: Moment) {
        if self.needs_probe(now) {
            self.backoff_until = None;
            self.probed_at = None;
        }
    }

    /// Whether the server may get new requests. A leaving server keeps serving for at least
    /// `leave_ms`.
    ///
    /// ```
    /// use ledgespool::entry::server_notice::{ServerNotice, ServerAvailability};
    /// use ledgespool::timer::Moment;
    /// let mut notice = ServerNotice::default();
    /// notice.on_leaving(Moment(0));
    /// assert_eq!(notice.availability(2_000, Moment(10)), ServerAvailability::LastResort);
    /// assert_eq!(notice.availability(2_000, Moment(1_000)), ServerAvailability::Closed);
    /// ```
    #[must_use]
    pub fn availability(&self, leave_ms: u64, now: Moment) -> ServerAvailability {
        if self.is_in_backoff(now) || self.is_probing(now) {
            return ServerAvailability::Closed;
        }
        let last_resort_ms = leave_ms as f64 * LAST_RESORT_SHARE;
        match self.leaving_since {
            None => ServerAvailability::Regular,
            Some(since) if (now.since(since) as f64) < last_resort_ms => {
                ServerAvailability::LastResort
            }
            Some(_) => ServerAvailability::Closed,
        }
    }

    /// When the current or previous backoff ends.
    #[must_use]
    pub const fn backoff_until(&self) -> Option<Moment> {
        self.backoff_until
    }
}
