//! Who calls the control listener, told by the bearer token.

use crate::settings;

/// The right that a token gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRole {
    /// May call the operators' methods.
    Operator,
    /// May call the peers' methods.
    Peer,
}

/// The tokens of a host.
#[derive(Debug, Clone)]
pub struct TokenPair {
    operator: String,
    peer: String,
}

impl TokenPair {
    /// Takes the tokens from settings.
    #[must_use]
    pub fn from_settings(settings: &settings::HostSettings) -> Self {
        Self {
            operator: settings.operator_token.clone(),
            peer: settings.peer_token.clone(),
        }
    }

    /// The role of a request; `None` without a valid token.
    #[must_use]
    pub fn role_of(&self, headers: &http::HeaderMap) -> Option<CallerRole> {
        let header = headers.get(http::header::AUTHORIZATION)?.as_bytes();
        let token = header.strip_prefix(b"Bearer ")?;
        if is_equal(token, self.operator.as_bytes()) {
            return Some(CallerRole::Operator);
        }
        is_equal(token, self.peer.as_bytes()).then_some(CallerRole::Peer)
    }
}

/// Compares without telling by its time where the difference is.
fn is_equal(left: &[u8], right: &[u8]) -> bool {
    let mut difference = left.len() ^ right.len();
    for (left, right) in left.iter().zip(right) {
        difference |= usize::from(left ^ right);
    }
    difference == 0 && !right.is_empty()
}
