//! One run of a backend server, as the store describes it.

use std::{cmp, net};

use crate::rollout::spec::VersionTag;

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// One incarnation of a backend server: an identity and a start.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// Its identity; a server may start again under the one that it had.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock, if it tells.
    pub born: Option<u64>,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// The hall that it stands in.
    pub hall: String,
    /// The version of its software.
    pub version: VersionTag,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it stays slow, in milliseconds, when this was written.
    pub cold_ms: u64,
}

impl ServerRecord {
    /// How this start of the server stands to another one under the same identity. The told starts
    /// decide, whatever the store's counts say; clocks of servers may be off, so a start that seems earlier
    /// never replaces a later one. One that tells its start comes after one that did not; one that does not
    /// tell it any more is taken for the same.
    #[must_use]
    pub fn start_order(&self, other: &Self) -> cmp::Ordering {
        start_order(self.born, other.born)
    }
}

/// [`ServerRecord::start_order`] by the told starts alone.
pub(super) fn start_order(own: Option<u64>, other: Option<u64>) -> cmp::Ordering {
    match (own, other) {
        (Some(own), Some(other)) => own.cmp(&other),
        (Some(_), None) => cmp::Ordering::Greater,
        (None, _) => cmp::Ordering::Equal,
    }
}

/// A server's record and when the store last changed it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerObject {
    /// The record.
    pub record: ServerRecord,
    /// The store's count at the record's last change.
    pub revision: u64,
}

/// The load that a server told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can work on at a time.
    pub slots: u32,
}

impl ServerLoad {
    /// Whether a slot is free and nobody waits for it.
    ///
    /// ```
    /// use ledgespool::entry::server::ServerLoad;
    /// let load = |running, waiting| ServerLoad { running, waiting, slots: 3 };
    /// assert!(load(2, 0).has_room());
    /// assert!(!load(3, 0).has_room() && !load(2, 1).has_room());
    /// ```
    #[must_use]
    pub const fn has_room(self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}
