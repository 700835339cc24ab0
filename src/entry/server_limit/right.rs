//! The right to send one request to one server, as the sender holds it.

use crate::timer::Moment;

/// Whether a request may be sent to a server as far as the limit goes that this names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendRight {
    /// The server named no limit when the right was looked for.
    NotNeeded,
    /// Its keeper gave the right, which is good until then.
    Until(Moment),
}

impl SendRight {
    /// Whether it is good at `now` for a server that names a limit, or names none.
    ///
    /// ```
    /// use ledgespool::entry::server_limit::right::SendRight;
    /// use ledgespool::timer::Moment;
    /// let right = SendRight::Until(Moment(250));
    /// assert!(right.is_good(true, Moment(250)) && !right.is_good(true, Moment(251)));
    /// assert!(SendRight::NotNeeded.is_good(false, Moment(0)));
    /// // The server named its limit while a connection was opened.
    /// assert!(!SendRight::NotNeeded.is_good(true, Moment(0)));
    /// ```
    #[must_use]
    pub const fn is_good(self, is_limited: bool, now: Moment) -> bool {
        match self {
            _ if !is_limited => true,
            Self::NotNeeded => false,
            Self::Until(until) => now.0 <= until.0,
        }
    }
}
