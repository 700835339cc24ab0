//! What a host does when its fleet changes, whoever tells it: the store, another host, time or its
//! own requests.

use serde_json::json;

use super::expiry_retention::MissingSource;
use super::fleet_change::{ChangeSpan, FleetChange};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::store::{ObjectChange, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// Servers that come or go together get a line each up to this number, so that a search for one of
/// them finds it.
const SINGLE_LINES: usize = 4;
/// Of more, this many are named in the line that counts them.
const NAMED_SERVERS: usize = 16;

impl<W: WireProtocol> EntryHost<W> {
    /// Takes over a whole list of servers, current up to `revision`.
    pub fn on_server_list(
        &self,
        objects: &[StoredObject],
        revision: u64,
        missing: MissingSource<'_>,
        source: &str,
    ) {
        let settings = self.settings();
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let changes = fleet.on_list(objects, revision, missing, &settings.halls, now);
        drop(fleet);
        self.note_fleet(&changes, source);
        self.on_state_received(source);
    }

    /// Takes over changes of servers in their order.
    pub fn on_server_changes(
        &self,
        batch: &[ObjectChange],
        span: ChangeSpan,
        missing: MissingSource<'_>,
        source: &str,
    ) {
        let settings = self.settings();
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let changes = fleet.on_changes(batch, span, missing, &settings.halls, now);
        drop(fleet);
        self.note_fleet(&changes, source);
    }

    /// Writes what has changed in the fleet to the log; `source` is who said so. Servers that came or went
    /// together share a line: one for each of 1,356 servers that 295 starting hosts met made up 45 in 100
    /// of all lines of a day (counted in its log).
    pub fn note_fleet(&self, changes: &[FleetChange], source: &str) {
        let joined = changes.iter().filter_map(FleetChange::joined);
        self.note_servers(EventCode::ServerJoined, joined, source);
        let gone = changes.iter().filter_map(FleetChange::gone);
        self.note_servers(EventCode::ServerGone, gone, source);
        for change in changes {
            self.note_change(change, source);
        }
    }

    fn note_servers<'a>(&self, event: EventCode, ids: impl Iterator<Item = &'a str>, source: &str) {
        let ids: Vec<&str> = ids.collect();
        let revision = self.fleet.borrow().revision();
        if ids.len() <= SINGLE_LINES {
            for id in ids {
                let fields = json!({ "server": id, "source": source, "revision": revision });
                self.note(event, fields);
            }
            return;
        }
        let named = &ids[..ids.len().min(NAMED_SERVERS)];
        let fields = json!({
            "count": ids.len(),
            "servers": named,
            "source": source,
            "revision": revision,
        });
        self.note(event, fields);
    }

    /// One change that is told by itself.
    fn note_change(&self, change: &FleetChange, source: &str) {
        let (event, server) = match change {
            // Told with others above.
            FleetChange::Joined(_) | FleetChange::Gone(_) => return,
            FleetChange::Restarted(id) => {
                self.pool.borrow_mut().forget(id);
                (EventCode::ServerRestarted, id)
            }
            FleetChange::Draining(id) => (EventCode::ServerLeaving, id),
            FleetChange::Lapsed(lapsed) => (EventCode::ServerLapsed, &lapsed.id),
            FleetChange::Unreadable(reason) => (EventCode::ObjectUnreadable, reason),
        };
        let mut fields = json!({
            "server": server,
            "source": source,
            "revision": self.fleet.borrow().revision(),
        });
        if let FleetChange::Lapsed(lapsed) = change {
            fields["hold_ms"] = lapsed.hold_ms.into();
            fields["reason"] = lapsed.reason.as_str().into();
        }
        self.note(event, fields);
    }

    /// An answer of a server was lost or did not come in time.
    pub fn on_server_failure(&self, server: &FleetServer) {
        if server.on_failure(self.now()) {
            self.note_ejected(server);
        }
    }

    /// No connection to a server came up.
    pub fn on_server_unreachable(&self, server: &FleetServer) {
        if server.on_unreachable(self.now()) {
            self.note_ejected(server);
        }
    }

    fn note_ejected(&self, server: &FleetServer) {
        self.note(EventCode::ServerEjected, json!({ "server": server.id }));
    }
}
