//! What an entry of the store makes of the server that it tells of.

use std::rc;

use super::ended_servers::ServerStart;
use super::fleet::{Fleet, FleetEntry, StoredState};
use super::fleet_change::FleetChange;
use super::fleet_server::FleetServer;
use super::server::{self, ServerRecord, ServerState};
use super::settings::HallMap;
use super::store::{ObjectContent, StoredObject};
use super::{store_epoch, store_position};
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
        if let Some(entry) = self.entries.get_mut(&*object.name) {
            entry.revision = object.revision;
            entry.server.on_unreadable();
            entry.stored.state = ServerState::Draining;
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
        let known = self.entries.get(&*record.id);
        let restarted =
            known.is_some_and(|known| server::start_order(record.born, known.stored.born).is_gt());
        let may_be_copy = !restarted && self.may_be_copy(object, record);
        let held_until = may_be_copy.then(|| now.plus(store_epoch::EPOCH_SETTLE_MS));
        if !restarted && let Some(entry) = self.entries.get_mut(&*record.id) {
            entry.revision = object.revision;
            let change = entry.update(record, now);
            if let Some(until) = held_until {
                entry.server.hold_out(until);
            }
            return change;
        }
        let region = halls.region_of(&record.hall);
        let server = FleetServer::from_record(record, region, &mut self.names);
        server.update(record, now);
        if let Some(notice) = self.past_notices.take(server.start_hash) {
            server.change_notice(|known| *known = notice);
        }
        if let Some(until) = held_until {
            server.hold_out(until);
        }
        let entry = FleetEntry {
            server: rc::Rc::new(server),
            revision: object.revision,
            stored: StoredState::of(record),
        };
        let id = rc::Rc::clone(&entry.server.id);
        let before = self.entries.insert(id, entry);
        Some(match before {
            Some(before) => {
                before.server.on_gone();
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
        let Some(known) = self.entries.get(&*record.id) else {
            let start = ServerStart {
                id: &record.id,
                born: record.born,
            };
            return self.ended.ended_in_former_era(start, object.revision);
        };
        let era = store_position::epoch_of;
        known.stored.state == ServerState::Draining && era(object.revision) > era(known.revision)
    }
}

impl FleetEntry {
    /// The same start of a server, as it stands now.
    fn update(&mut self, record: &ServerRecord, now: Moment) -> Option<FleetChange> {
        let before = self.stored;
        self.stored = StoredState {
            born: record.born.or(before.born),
            ..StoredState::of(record)
        };
        if before == self.stored {
            self.server.on_present();
        } else {
            self.server.update(record, now);
        }
        let turned = before.state != record.state;
        let drains = record.state == ServerState::Draining;
        (turned && drains).then(|| FleetChange::Draining(record.id.clone()))
    }
}
