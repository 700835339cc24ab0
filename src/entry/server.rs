//! The store's record of a backend server, and the load that a server reports.

use std::{cmp, net};

use super::removed_servers::ServerIncarnation;
use crate::rollout::spec::VersionTag;

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It only finishes the requests that it has.
    Draining,
}

/// One incarnation of a backend server, given by its id and start time.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// The server's id; it stays the same over restarts.
    pub id: String,
    /// When the server started, in Unix milliseconds by its own clock, if it reports that.
    pub born: Option<u64>,
    /// The service that the server runs.
    pub service: String,
    /// The address on which it accepts requests.
    pub address: net::SocketAddr,
    /// The hall in which it is located.
    pub hall: String,
    /// The version of its software.
    pub version: VersionTag,
    /// The number of requests that it processes at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it stays cold, in milliseconds, at the time of writing.
    pub cold_ms: u64,
    /// The number of this statement of the server about itself, which rises within one incarnation;
    /// `None` if it is not known.
    pub sequence: Option<u64>,
}

impl ServerRecord {
    /// The incarnation that the record describes.
    pub(super) fn incarnation(&self) -> ServerIncarnation<'_> {
        ServerIncarnation {
            id: &self.id,
            born: self.born,
        }
    }

    /// Compares this incarnation with another one of the same server, by the reported start times
    /// and not by store revisions. Server clocks may be wrong, so an earlier start never replaces a
    /// later one. A record with a start time is newer than one without; a record without one counts
    /// as the same incarnation.
    #[must_use]
    pub fn start_order(&self, other: &Self) -> cmp::Ordering {
        start_order(self.born, other.born)
    }
}

/// [`ServerRecord::start_order`] for two start times.
pub(super) fn start_order(own: Option<u64>, other: Option<u64>) -> cmp::Ordering {
    match (own, other) {
        (Some(own), Some(other)) => own.cmp(&other),
        (Some(_), None) => cmp::Ordering::Greater,
        (None, _) => cmp::Ordering::Equal,
    }
}

/// A server's record with its store revision.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServerObject {
    /// The record.
    pub record: ServerRecord,
    /// The store revision of the record's last change.
    pub revision: u64,
}

/// The load that a server reports in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in the server's queue.
    pub waiting: u32,
    /// Requests that can be processed at the same time.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of the usual time, if reported.
    pub pace: Option<u32>,
}

impl ServerLoad {
    /// Number of requests at the server.
    #[must_use]
    pub const fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Whether a slot is free and no request waits for it.
    ///
    /// ```
    /// use ledgespool::entry::server::ServerLoad;
    /// let load = |running, waiting| ServerLoad { running, waiting, slots: 3, pace: None };
    /// assert!(load(2, 0).has_free_slot());
    /// assert!(!load(3, 0).has_free_slot() && !load(2, 1).has_free_slot());
    /// ```
    #[must_use]
    pub const fn has_free_slot(self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}
