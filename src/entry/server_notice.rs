//! What a backend server has told this host of its own intent: that it leaves, or that it wants no requests for a while.

use crate::timer::Moment;

/// What one start of a server has told.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerNotice {
    leaving_since: Option<Moment>,
    rest_until: Option<Moment>,
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
        is_new
    }

    /// It said something that could not be understood; returns whether that is new.
    pub const fn on_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
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

    /// Until when it wants, or wanted, no requests from this host.
    #[must_use]
    pub const fn rest_until(&self) -> Option<Moment> {
        self.rest_until
    }
}
