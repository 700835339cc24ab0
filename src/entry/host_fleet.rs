//! What a host does when its fleet changes, whoever tells it: the store, another host, time or its
//! own requests.

use serde_json::json;

use super::fleet_change::{ChangeSpan, FleetChange};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::lapse_hold::MissingSource;
use super::store::{ObjectChange, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;

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

    /// Writes what has changed in the fleet to the log; `source` is who said so.
    pub fn note_fleet(&self, changes: &[FleetChange], source: &str) {
        for change in changes {
            let (event, server) = match change {
                FleetChange::Joined(id) => (EventCode::ServerJoined, id),
                FleetChange::Draining(id) => (EventCode::ServerLeaving, id),
                FleetChange::Lapsed(lapsed) => (EventCode::ServerLapsed, &lapsed.id),
                FleetChange::Gone(id) => (EventCode::ServerGone, id),
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
