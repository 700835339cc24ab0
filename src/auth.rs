//! Authenticates callers of the control listener by bearer token.

use crate::settings;

/// The role that a token grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRole {
    /// May call the methods for operators.
    Operator,
    /// May call the methods for peers.
    Peer,
}

/// The operator token and the peer token of a host.
#[derive(Debug, Clone)]
pub struct TokenPair {
    operator: String,
    peer: String,
}

impl TokenPair {
    /// The tokens from the settings.
    #[must_use]
    pub fn from_settings(settings: &settings::HostSettings) -> Self {
        Self {
            operator: settings.operator_token.clone(),
            peer: settings.peer_token.clone(),
        }
    }

    /// The role of a request's caller; `None` without a valid token.
    #[must_use]
    pub fn role_of(&self, headers: &http::HeaderMap) -> Option<CallerRole> {
        let header = headers.get(http::header::AUTHORIZATION)?.as_bytes();
        let token = header.strip_prefix(b"Bearer ")?;
        if constant_time_eq(token, self.operator.as_bytes()) {
            return Some(CallerRole::Operator);
        }
        constant_time_eq(token, self.peer.as_bytes()).then_some(CallerRole::Peer)
    }
}

/// Compares in a time that does not depend on where the inputs differ, against timing attacks.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let mut difference = left.len() ^ right.len();
    for (left, right) in left.iter().zip(right) {
        difference |= usize::from(left ^ right);
    }
    difference == 0 && !right.is_empty()
}
