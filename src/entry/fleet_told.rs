//! What a host tells others of the servers that it knows.

use super::fleet::{Fleet, FleetEntry};
use super::peer_message::GoneServer;
use super::server::ServerObject;
use crate::timer::Moment;

/// What has changed between two counts of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDifference {
    /// Servers that came or changed, as they stand.
    pub changed: Vec<ServerObject>,
    /// Those that are gone, or kept for a moment.
    pub gone: Vec<GoneServer>,
}

impl Fleet {
    /// Every server as the store holds it. One whose entry has perhaps only lapsed is told by
    /// [`Self::kept`] instead.
    pub fn objects(&self) -> impl Iterator<Item = ServerObject> {
        self.objects_past(None)
    }

    /// Those that have changed past the store's count `since`, or all.
    fn objects_past(&self, since: Option<u64>) -> impl Iterator<Item = ServerObject> {
        // Most are left out, so nothing is copied before that is known.
        let entries = self.entries.values().filter(move |entry| {
            since.is_none_or(|since| entry.revision > since)
                && entry.server.missing_until().is_none()
        });
        entries.map(FleetEntry::object)
    }

    /// What has changed past the store's count `since`; `None` when that is not known any more.
    #[must_use]
    pub fn changes_since(&self, since: u64, now: Moment) -> Option<FleetDifference> {
        if !self.is_listed() {
            return None;
        }
        // One whose entry lapsed and came back is there again.
        let ended = self.removed.since(since)?.filter(|id| !self.contains(id));
        let ended = ended.map(|id| GoneServer {
            id: id.clone(),
            hold_ms: 0,
        });
        // When its time is over, a lapsed server ends without a change in the store.
        let gone = ended.chain(self.kept(now));
        Some(FleetDifference {
            changed: self.objects_past(Some(since)).collect(),
            gone: gone.collect(),
        })
    }

    /// Servers that are kept although their entries are missing, and for how much longer.
    pub fn kept(&self, now: Moment) -> impl Iterator<Item = GoneServer> {
        self.missing().filter_map(move |server| {
            let hold_ms = server.missing_until()?.since(now);
            let id = server.id.to_string();
            Some(GoneServer { id, hold_ms })
        })
    }

    /// How much longer a server is kept whose entry is missing, in milliseconds; 0 when it is gone.
    #[must_use]
    pub fn kept_ms(&self, id: &str, now: Moment) -> u64 {
        let server = self.server(id);
        let until = server.and_then(|server| server.missing_until());
        until.map_or(0, |until| until.since(now))
    }
}
