//! One run of a backend server, as the store describes it.

use std::net;

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// One incarnation of a backend server: each start has an identity of its own.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// Its identity, drawn anew at each start.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// The hall that it stands in.
    pub hall: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it stays slow, in milliseconds, when this was written.
    pub cold_ms: u64,
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
