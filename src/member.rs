//! Membership records of entry hosts.

use std::net;

/// A host's name and the incarnation of its process.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct HostIdentity {
    /// The entry host's name.
    pub name: String,
    /// The start time of its process in Unix milliseconds; increases with every start.
    pub incarnation: u64,
}

/// The state of a host as its peers see it.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It answers heartbeats.
    Live,
    /// It is being drained or stopped and finishes its remaining requests.
    Leaving,
    /// It missed heartbeats and may refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}

/// One host's membership record.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Its name and incarnation.
    pub identity: HostIdentity,
    /// Counter that the host itself raises to refute a suspicion.
    pub refutation: u32,
    /// Its state.
    pub state: HostState,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for peers and operators.
    pub control_address: net::SocketAddr,
    /// The hall that it is in.
    pub hall: String,
}

impl MemberRecord {
    /// Whether it is advertised to callers.
    #[must_use]
    pub fn is_advertised(&self) -> bool {
        matches!(self.state, HostState::Live | HostState::Suspect)
    }

    /// Whether this record replaces `other` of the same host. The higher incarnation wins, then
    /// the higher refutation counter, then the worse state.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.identity.incarnation, record.refutation, record.state);
        key(self) > key(other)
    }
}
