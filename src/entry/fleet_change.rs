//! Changes of the known servers: what the store or another host tells, and what came of it.

use super::expiry_retention::RetentionReason;

/// What a change did to the fleet, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// A new incarnation.
    Joined(String),
    /// It has started again under its identity: what was known of it is forgotten.
    Restarted(String),
    /// It takes no new work.
    Draining(String),
    /// Its entry went missing and has perhaps only lapsed; it is kept for a moment.
    Lapsed(LapsedServer),
    /// It is gone.
    Gone(String),
    /// An entry could not be understood.
    Unreadable(String),
}

impl FleetChange {
    /// The identity of a new incarnation.
    #[must_use]
    pub fn joined(&self) -> Option<&str> {
        match self {
            Self::Joined(id) => Some(id),
            _ => None,
        }
    }

    /// The identity of one that is gone.
    #[must_use]
    pub fn gone(&self) -> Option<&str> {
        match self {
            Self::Gone(id) => Some(id),
            _ => None,
        }
    }
}

/// A server that is kept although its entry went missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsedServer {
    /// Its identity.
    pub id: String,
    /// How much longer it is kept, in milliseconds.
    pub hold_ms: u64,
    /// Why it is kept.
    pub reason: RetentionReason,
}

/// How far some changes of servers bring a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeSpan {
    /// The store's count behind the last of them.
    pub until: u64,
    /// Whether nothing between what the host knew and that count can be missing.
    pub contiguous: bool,
}
