//! What a host reports to others about the servers that it knows.

use super::fleet::{Fleet, FleetEntry};
use super::peer_message::GoneServer;
use super::server::ServerObject;
use crate::timer::Moment;

/// The changes between two store revisions.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDifference {
    /// Servers that were added or changed, in their current state.
    pub changed: Vec<ServerObject>,
    /// Servers that were removed, and those that are retained although their entries are missing.
    pub gone: Vec<GoneServer>,
}

impl Fleet {
    /// Every server with an entry in the store. A server whose entry may only have expired is
    /// reported by [`Self::retained`] instead.
    pub fn objects(&self) -> impl Iterator<Item = ServerObject> {
        self.objects_after(None)
    }

    /// Servers that have changed after the store revision `since`, or all.
    fn objects_after(&self, since: Option<u64>) -> impl Iterator<Item = ServerObject> {
        // Most servers are filtered out, so objects are copied only after that.
        let entries = self.entries.values().filter(move |entry| {
            since.is_none_or(|since| entry.revision > since)
                && entry.server.missing_until().is_none()
        });
        entries.map(FleetEntry::object)
    }

    /// The changes after the store revision `since`; `None` when they are no longer known.
    #[must_use]
    pub fn changes_since(&self, since: u64, now: Moment) -> Option<FleetDifference> {
        if !self.is_listed() {
            return None;
        }
        // A server whose entry expired and came back is not removed any more.
        let removed = self.removed.since(since)?;
        let removed = removed.filter(|(id, _)| !self.contains(id));
        let removed = removed.map(|(id, last_statement)| GoneServer {
            id: id.clone(),
            hold_ms: 0,
            last_statement,
        });
        // A retained server is removed at the end of its retention without a change in the store.
        let gone = removed.chain(self.retained(now));
        Some(FleetDifference {
            changed: self.objects_after(Some(since)).collect(),
            gone: gone.collect(),
        })
    }

    /// Servers that are retained although their entries are missing, and the remaining time.
    pub fn retained(&self, now: Moment) -> impl Iterator<Item = GoneServer> {
        self.missing().filter_map(move |server| {
            let hold_ms = server.missing_until()?.since(now);
            let id = server.id.to_string();
            let last_statement = self.last_statement(&id);
            Some(GoneServer {
                id,
                hold_ms,
                last_statement,
            })
        })
    }

    /// Whether the entry of a known server is missing.
    pub(super) fn is_missing(&self, id: &str) -> bool {
        let server = self.server(id);
        server.is_some_and(|server| server.missing_until().is_some())
    }

    /// How much longer a server with a missing entry is retained, in milliseconds; 0 when it is
    /// removed.
    #[must_use]
    pub fn retention_ms(&self, id: &str, now: Moment) -> u64 {
        let server = self.server(id);
        let until = server.and_then(|server| server.missing_until());
        until.map_or(0, |until| until.since(now))
    }
}
