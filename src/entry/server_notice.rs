//! What a backend server has told this host of its own intent: that it leaves, or that it wants no requests for a while.

use crate::timer::Moment;

/// Of the time that a server which leaves serves on, the share in which it may still get requests that no other
/// takes; the rest covers the way there and the work.
const LAST_RESORT_SHARE: f64 = 0.5;

/// A server that has rested is tried again after this time, in milliseconds, if the request before has brought no answer.
const TRIAL_GAP_MS: u64 = 1_000;

/// Whether a server may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStanding {
    /// As any other.
    Regular,
    /// It gets only what no other takes.
    LastResort,
    /// It gets none.
    Closed,
}

/// What one start of a server has told.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerNotice {
    leaving_since: Option<Moment>,
    rest_until: Option<Moment>,
    /// When a request was last sent to show whether its rest is over.
    tried_at: Option<Moment>,
    /// Whether it said something that could not be understood.
    unreadable: bool,
}

impl ServerNotice {
    /// It says that it leaves; returns whether that is new.
    pub const fn on_leaving(&mut self, now: Moment) -> bool {
        let is_new = self.leaving_since.is_none();
        if is_new {
            self.leaving_since = Some(now);
        }
        is_new
    }

    /// It wants nothing from this host until then; returns whether it did not rest before. An earlier word that
    /// names a later time holds on.
    pub fn on_rest(&mut self, until: Moment, now: Moment) -> bool {
        let is_new = !self.is_resting(now);
        self.rest_until = self.rest_until.max(Some(until));
        self.tried_at = None;
        is_new
    }

    /// It said something that could not be understood; returns whether that is new.
    pub const fn on_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }

    /// The same start of the server has also told this.
    pub fn join(&mut self, other: Self) {
        let earlier = [self.leaving_since, other.leaving_since];
        self.leaving_since = earlier.into_iter().flatten().min();
        self.rest_until = self.rest_until.max(other.rest_until);
    }

    /// Whether it told anything that holds on.
    #[must_use]
    pub const fn says_something(&self) -> bool {
        self.leaving_since.is_some() || self.rest_until.is_some()
    }

    /// When it first said that it leaves. Nothing but another start of the server takes this back.
    #[must_use]
    pub const fn leaving_since(&self) -> Option<Moment> {
        self.leaving_since
    }

    /// Whether it wants no requests from this host now.
    #[must_use]
    pub fn is_resting(&self, now: Moment) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Whether its rest is over and no request has shown yet that it works again.
    #[must_use]
    pub fn is_on_trial(&self, now: Moment) -> bool {
        self.rest_until.is_some_and(|until| until <= now)
    }

    /// A request is sent to it: if its rest is over, this one shows whether it works again.
    pub fn on_sent(&mut self, now: Moment) {
        if self.is_on_trial(now) {
            self.tried_at = Some(now);
        }
    }

    /// Whether a request is on its way that shows whether it works again.
    #[must_use]
    pub fn is_being_tried(&self, now: Moment) -> bool {
        let is_lately = |tried| now.since(tried) < TRIAL_GAP_MS;
        self.is_on_trial(now) && self.tried_at.is_some_and(is_lately)
    }

    /// It answered a request.
    pub fn on_served(&mut self, now: Moment) {
        if self.is_on_trial(now) {
            self.rest_until = None;
            self.tried_at = None;
        }
    }

    /// What follows for new work. A server that leaves serves on for `leave_ms` at least.
    ///
    /// ```
    /// use ledgespool::entry::server_notice::{ServerNotice, ServerStanding};
    /// use ledgespool::timer::Moment;
    /// let mut notice = ServerNotice::default();
    /// notice.on_leaving(Moment(0));
    /// assert_eq!(notice.standing(2_000, Moment(10)), ServerStanding::LastResort);
    /// assert_eq!(notice.standing(2_000, Moment(1_000)), ServerStanding::Closed);
    /// ```
    #[must_use]
    pub fn standing(&self, leave_ms: u64, now: Moment) -> ServerStanding {
        if self.is_resting(now) || self.is_being_tried(now) {
            return ServerStanding::Closed;
        }
        let last_resort_ms = leave_ms as f64 * LAST_RESORT_SHARE;
        match self.leaving_since {
            None => ServerStanding::Regular,
            Some(since) if (now.since(since) as f64) < last_resort_ms => ServerStanding::LastResort,
            Some(_) => ServerStanding::Closed,
        }
    }

    /// Until when it wants, or wanted, no requests from this host.
    #[must_use]
    pub const fn rest_until(&self) -> Option<Moment> {
        self.rest_until
    }
}
