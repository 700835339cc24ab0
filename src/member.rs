//! Entry hosts as the others know them.

use std::net;

/// A host's name together with the run of its process.
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
    /// Grows with every start of its process: Unix milliseconds of the start.
    pub incarnation: u64,
}

/// What is believed of a host.
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
    /// It answers.
    Live,
    /// It is being drained or stopped: it finishes what it has.
    Leaving,
    /// It missed heartbeats; it may refute.
    Suspect,
    /// It stayed silent past the suspicion.
    Dead,
}

/// One host's entry in the membership.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Who it is.
    pub identity: HostIdentity,
    /// Raised by the host itself to refute a suspicion.
    pub refutation: u32,
    /// What is believed of it.
    pub state: HostState,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Where peers and operators reach it.
    pub control_address: net::SocketAddr,
    /// The hall that it stands in.
    pub hall: String,
}

impl MemberRecord {
    /// Whether callers may be sent to it.
    #[must_use]
    pub fn is_offered(&self) -> bool {
        matches!(self.state, HostState::Live | HostState::Suspect)
    }

    /// Whether this record replaces `other` of the same host: the later incarnation wins, then
    /// the later refutation, then the worse state.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.identity.incarnation, record.refutation, record.state);
        key(self) > key(other)
    }
}
