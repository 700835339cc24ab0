//! The token to send one request to one server, as its holder sees it.

use crate::timer::Moment;

/// Permission to send one request to a server, as far as its advertised limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendToken {
    /// The server advertised no limit when the token was requested.
    NotNeeded,
    /// Granted by the limit owner and valid until then.
    Until(Moment),
}

impl SendToken {
    /// Whether the token is valid at `now`, given whether the server advertises a limit.
    ///
    /// ```
    /// use ledgespool::entry::server_limit::token::SendToken;
    /// use ledgespool::timer::Moment;
    /// let token = SendToken::Until(Moment(250));
    /// assert!(token.is_valid(true, Moment(250)) && !token.is_valid(true, Moment(251)));
    /// assert!(SendToken::NotNeeded.is_valid(false, Moment(0)));
    /// // The server advertised its limit while a connection was being opened.
    /// assert!(!SendToken::NotNeeded.is_valid(true, Moment(0)));
    /// ```
    #[must_use]
    pub const fn is_valid(self, is_limited: bool, now: Moment) -> bool {
        match self {
            _ if !is_limited => true,
            Self::NotNeeded => false,
            Self::Until(until) => now.0 <= until.0,
        }
    }
}
