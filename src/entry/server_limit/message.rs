//! Messages between hosts about the limits that backend servers advertise.

use std::net;

use super::rate::RequestRate;
use crate::entry::limits::message::TokenVerdict;

/// The newest state that a host knows of one server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LimitUpdate {
    /// A hash of the server's identity and incarnation.
    pub server: u64,
    /// Rises with each change; the higher version wins.
    pub version: u32,
    /// The limit; `None` once it has ended.
    pub rate: Option<RequestRate>,
}

impl LimitUpdate {
    /// Whether this update replaces `other`. If two hosts wrote the same version, the stricter
    /// limit wins.
    ///
    /// ```
    /// use ledgespool::entry::server_limit::message::LimitUpdate;
    /// use ledgespool::entry::server_limit::rate::RequestRate;
    /// let update = |version, text| LimitUpdate { server: 1, version, rate: RequestRate::from_text(text) };
    /// assert!(update(2, "over").supersedes(&update(1, "1")));
    /// assert!(update(2, "1").supersedes(&update(2, "2")));
    /// assert!(!update(2, "over").supersedes(&update(2, "2")));
    /// ```
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.version != other.version {
            return self.version > other.version;
        }
        match (self.rate, other.rate) {
            (Some(own), Some(other)) => own < other,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

/// A host asks for a token to send one request to a server.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SendTokenRequest {
    /// Matches the answer to this request.
    pub id: u64,
    /// The server, and what the host knows of its limit.
    #[serde(rename = "word")]
    pub update: LimitUpdate,
    /// The requester, if a host that is not the limit owner has forwarded the request.
    pub reply_to: Option<net::SocketAddr>,
}

/// A limit owner's answer to a token request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SendTokenAnswer {
    /// The identity of the request.
    pub id: u64,
    /// What the limit owner knows of the limit.
    #[serde(rename = "word")]
    pub update: LimitUpdate,
    /// The decision.
    pub verdict: TokenVerdict,
}

/// A datagram about the limits of servers.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerLimitMessage {
    /// New updates, or those that the receiver was found to be missing.
    Words(Vec<LimitUpdate>),
    /// To a limit owner.
    Ask(SendTokenRequest),
    /// From a limit owner.
    Answer(SendTokenAnswer),
}
