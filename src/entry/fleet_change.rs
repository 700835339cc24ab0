//! Changes of the known servers, and the extent of a batch of changes.

use super::expiry_retention::RetentionReason;

/// What a change did to the fleet, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// A new server.
    Joined(String),
    /// The server has restarted under the same identity; what was known of its previous incarnation
    /// is dropped.
    Restarted(String),
    /// The server takes no new requests.
    Draining(String),
    /// The server's entry is missing and may only have expired; the server is retained for a short
    /// time.
    Retained(RetainedServer),
    /// The server was removed.
    Removed(String),
    /// An entry could not be parsed.
    Unreadable(String),
    /// An entry holds an older statement of its server than the last known one; it is not believed
    /// for now.
    Doubted(String),
}

impl FleetChange {
    /// The identity of a new server.
    #[must_use]
    pub fn joined(&self) -> Option<&str> {
        match self {
            Self::Joined(id) => Some(id),
            _ => None,
        }
    }

    /// The identity of a removed server.
    #[must_use]
    pub fn removed(&self) -> Option<&str> {
        match self {
            Self::Removed(id) => Some(id),
            _ => None,
        }
    }
}

/// A server that is retained although its entry is missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetainedServer {
    /// The server's identity.
    pub id: String,
    /// How much longer it is retained, in milliseconds.
    pub retained_ms: u64,
    /// Why it is retained.
    pub reason: RetentionReason,
}

/// The extent of a batch of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeSpan {
    /// The store revision after the last of them.
    pub until: u64,
    /// Whether the batch has every change between the revision that the host knew and `until`.
    pub contiguous: bool,
}
