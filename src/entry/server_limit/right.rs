//! The token to send one request to one server, as its holder sees it.

use crate::timer::Moment;

/// Permission to send one request to a server, as far as its advertised limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendRight {
    /// The server advertised no limit when the token was requested.
    NotNeeded,
    /// Granted by the limit owner and valid until then.
    Until(Moment),
}

impl SendRight {
    /// Whether the token is valid at `now`, given whether the server advertises a limit.
    ///
    /// ```
    /// use ledgespool::entry::server_limit::right::SendRight;
    /// use ledgespool::timer::Moment;
    /// let right = SendRight::Until(Moment(250));
    /// assert!(right.is_good(true, Moment(250)) && !right.is_good(true, Moment(251)));
    /// assert!(SendRight::NotNeeded.is_good(false, Moment(0)));
    /// // The server advertised its limit while a connection was being opened.
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
