//! Applies changes of the fleet and logs them, whatever their source is: the store, another host,
//! time or this host's own requests.

use serde_json::json;

use super::expiry_retention::MissingSource;
use super::fleet_change::{ChangeSpan, FleetChange};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::store::{ObjectChange, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// Up to this number, servers that are added or removed together get a log line each, so that a
/// search for a server finds it.
const MAX_SINGLE_LINES: usize = 4;
/// Maximum number of servers listed in a log line that covers more of them.
const MAX_LISTED_SERVERS: usize = 16;

impl<W: WireProtocol> EntryHost<W> {
    /// Applies a complete list of servers, current up to `revision`.
    pub fn on_server_list(
        &self,
        objects: &[StoredObject],
        revision: u64,
        missing_source: MissingSource<'_>,
        source: &str,
    ) {
        let settings = self.settings();
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let changes = fleet.on_list(objects, revision, missing_source, &settings.halls, now);
        drop(fleet);
        self.log_fleet_changes(&changes, source);
        self.on_state_received(source);
    }

    /// Applies changes of servers in their order.
    pub fn on_server_changes(
        &self,
        batch: &[ObjectChange],
        span: ChangeSpan,
        missing_source: MissingSource<'_>,
        source: &str,
    ) {
        let settings = self.settings();
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let changes = fleet.on_changes(batch, span, missing_source, &settings.halls, now);
        drop(fleet);
        self.log_fleet_changes(&changes, source);
    }

    /// Logs changes of the fleet; `source` is where they came from. Servers added or removed
    /// together share a line: with a line for each of the 1,356 servers that 295 starting hosts
    /// discovered, these made up 45 of 100 log lines of a day.
    pub fn log_fleet_changes(&self, changes: &[FleetChange], source: &str) {
        let joined = changes.iter().filter_map(FleetChange::joined);
        self.log_servers(EventCode::ServerJoined, joined, source);
        let removed = changes.iter().filter_map(FleetChange::removed);
        self.log_servers(EventCode::ServerGone, removed, source);
        for change in changes {
            self.log_change(change, source);
        }
    }

    fn log_servers<'a>(&self, event: EventCode, ids: impl Iterator<Item = &'a str>, source: &str) {
        let ids: Vec<&str> = ids.collect();
        let revision = self.fleet.borrow().revision();
        if ids.len() <= MAX_SINGLE_LINES {
            for id in ids {
                let fields = json!({ "server": id, "source": source, "revision": revision });
                self.log_event(event, fields);
            }
            return;
        }
        let listed = &ids[..ids.len().min(MAX_LISTED_SERVERS)];
        let fields = json!({
            "count": ids.len(),
            "servers": listed,
            "source": source,
            "revision": revision,
        });
        self.log_event(event, fields);
    }

    /// Logs a change that gets its own line.
    fn log_change(&self, change: &FleetChange, source: &str) {
        let (event, server) = match change {
            // Logged together above.
            FleetChange::Joined(_) | FleetChange::Removed(_) => return,
            FleetChange::Restarted(id) => {
                self.pool.borrow_mut().forget(id);
                (EventCode::ServerRestarted, id)
            }
            FleetChange::Draining(id) => (EventCode::ServerLeaving, id),
            FleetChange::Retained(retained) => (EventCode::ServerLapsed, &retained.id),
            FleetChange::Unreadable(reason) => (EventCode::ObjectUnreadable, reason),
            FleetChange::Doubted(id) => (EventCode::EntryDoubted, id),
        };
        let mut fields = json!({
            "server": server,
            "source": source,
            "revision": self.fleet.borrow().revision(),
        });
        if let FleetChange::Retained(retained) = change {
            fields["hold_ms"] = retained.retained_ms.into();
            fields["reason"] = retained.reason.as_str().into();
        }
        self.log_event(event, fields);
    }

    /// Records that an answer of a server was lost or late.
    pub fn on_server_failure(&self, server: &FleetServer) {
        if server.on_failure(self.now()) {
            self.log_ejection(server, "lost or late answers");
        }
    }

    /// Records that no connection to a server could be established.
    pub fn on_server_unreachable(&self, server: &FleetServer) {
        if server.on_unreachable(self.now()) {
            self.log_ejection(server, "no connection");
        }
    }

    fn log_ejection(&self, server: &FleetServer, cause: &str) {
        let fields = json!({
            "server": server.id,
            "cause": cause,
            "servers_reached_age_ms": self.servers_reached_age_ms(),
        });
        self.log_event(EventCode::ServerEjected, fields);
    }
}
