//! What an entry of the store makes of the server that it tells of.

use std::rc;

use super::fleet::Fleet;
use super::fleet_change::FleetChange;
use super::fleet_server::FleetServer;
use super::server::{ServerRecord, ServerState};
use super::settings::HallMap;
use super::store::{ObjectContent, StoredObject};
use super::{store_era, store_position};
use crate::timer::Moment;

impl Fleet {
    pub(super) fn put(
        &mut self,
        object: &StoredObject,
        halls: &HallMap,
        now: Moment,
    ) -> Option<FleetChange> {
        match &object.content {
            ObjectContent::Server(record) if halls.has(&record.hall) => {
                self.put_server(object, record, halls, now)
            }
            ObjectContent::Server(record) => {
                let reason = format!("there is no hall {:?}", record.hall);
                Some(self.put_unreadable(object, &reason))
            }
            ObjectContent::Unreadable(reason) => Some(self.put_unreadable(object, reason)),
            _ => None,
        }
    }

    /// An entry says nothing that can be understood. Of a known server it says at least that what it said
    /// before does not hold any more: it gets no new work until its entry can be read again.
    fn put_unreadable(&mut self, object: &StoredObject, reason: &str) -> FleetChange {
        if let Some(server) = self.servers.get(&object.name) {
            self.revisions.insert(object.name.clone(), object.revision);
            server.on_unreadable();
            if let Some(record) = self.records.get_mut(&object.name) {
                record.state = ServerState::Draining;
            }
        }
        FleetChange::Unreadable(format!("{}: {reason}", object.name))
    }

    fn put_server(
        &mut self,
        object: &StoredObject,
        record: &ServerRecord,
        halls: &HallMap,
        now: Moment,
    ) -> Option<FleetChange> {
        let known = self.records.get(&record.id);
        let restarted = known.is_some_and(|known| record.start_order(known).is_gt());
        let may_be_copy = !restarted && self.may_be_copy(object, record);
        self.revisions.insert(object.name.clone(), object.revision);
        if !restarted && let Some(server) = self.servers.get(&record.id) {
            let server = rc::Rc::clone(server);
            let change = self.update_server(&server, record, now);
            if may_be_copy {
                server.hold_out(now.plus(store_era::SETTLE_MS));
            }
            return change;
        }
        self.records.insert(record.id.clone(), record.clone());
        let server = FleetServer::from_record(record, halls.region_of(&record.hall));
        server.update(record, now);
        if let Some(notice) = self.past_notices.take(server.start_hash) {
            server.change_notice(|known| *known = notice);
        }
        if may_be_copy {
            server.hold_out(now.plus(store_era::SETTLE_MS));
        }
        let before = self.servers.insert(record.id.clone(), rc::Rc::new(server));
        Some(match before {
            Some(before) => {
                before.on_gone();
                FleetChange::Restarted(record.id.clone())
            }
            None => FleetChange::Joined(record.id.clone()),
        })
    }

    /// Whether an entry perhaps shows only what its server was before it drained or went: it is the first of a new era
    /// of the store, which comes back from an older copy.
    fn may_be_copy(&self, object: &StoredObject, record: &ServerRecord) -> bool {
        if record.state == ServerState::Draining {
            return false;
        }
        let Some(known) = self.records.get(&record.id) else {
            return self.ended.ended_in_former_era(record, object.revision);
        };
        let before = self.revisions.get(&record.id).copied().unwrap_or(0);
        let era = store_position::era_of;
        known.state == ServerState::Draining && era(object.revision) > era(before)
    }

    /// The same start of a server, as it stands now.
    fn update_server(
        &mut self,
        server: &FleetServer,
        record: &ServerRecord,
        now: Moment,
    ) -> Option<FleetChange> {
        let mut record = record.clone();
        let before = self.records.get(&record.id);
        record.born = record.born.or(before.and_then(|before| before.born));
        let turned = before.is_some_and(|before| before.state != record.state);
        let drains = record.state == ServerState::Draining;
        let change = (turned && drains).then(|| FleetChange::Draining(record.id.clone()));
        if before == Some(&record) {
            server.on_present();
        } else {
            server.update(&record, now);
        }
        self.records.insert(record.id.clone(), record);
        change
    }
}
