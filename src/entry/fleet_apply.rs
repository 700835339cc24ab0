//! Applies a store entry to the fleet.

use std::rc;

use super::fleet::{Fleet, FleetEntry, StoredState};
use super::fleet_change::FleetChange;
use super::fleet_server::FleetServer;
use super::server::{self, ServerRecord, ServerState};
use super::settings::HallMap;
use super::store::{ObjectContent, StoredObject};
use super::{store_epoch, store_position};
use crate::timer::Moment;

impl Fleet {
    pub(super) fn apply_entry(
        &mut self,
        object: &StoredObject,
        halls: &HallMap,
        now: Moment,
    ) -> Option<FleetChange> {
        self.doubted.remove(&object.name);
        match &object.content {
            ObjectContent::Server(record) if halls.has(&record.hall) => {
                self.apply_server(object, record, halls, now)
            }
            ObjectContent::Server(record) => {
                let reason = format!("there is no hall {:?}", record.hall);
                Some(self.apply_unreadable(object, &reason))
            }
            ObjectContent::Unreadable(reason) => Some(self.apply_unreadable(object, reason)),
            _ => None,
        }
    }

    /// Handles an entry that cannot be parsed. What is known of the server may no longer be true,
    /// so a known server gets no new requests until its entry can be parsed again.
    fn apply_unreadable(&mut self, object: &StoredObject, reason: &str) -> FleetChange {
        if let Some(entry) = self.entries.get_mut(&*object.name) {
            entry.revision = object.revision;
            entry.server.on_unreadable();
            entry.stored.state = ServerState::Draining;
            entry.is_readable = false;
        }
        FleetChange::Unreadable(format!("{}: {reason}", object.name))
    }

    fn apply_server(
        &mut self,
        object: &StoredObject,
        record: &ServerRecord,
        halls: &HallMap,
        now: Moment,
    ) -> Option<FleetChange> {
        let known = self.entries.get(&*record.id);
        let is_restarted =
            known.is_some_and(|known| server::start_order(record.born, known.stored.born).is_gt());
        let may_be_stale = !is_restarted && self.may_be_stale(object, record);
        let ejected_until = may_be_stale.then(|| now.plus(store_epoch::EPOCH_SETTLE_MS));
        if !is_restarted && let Some(entry) = self.entries.get_mut(&*record.id) {
            // A newer statement may have the older revision.
            entry.revision = entry.revision.max(object.revision);
            let change = entry.update(record, now);
            if let Some(until) = ejected_until {
                entry.server.eject_until(until);
            }
            return change;
        }
        let region = halls.region_of(&record.hall);
        let server = FleetServer::from_record(record, region, &mut self.names);
        server.update(record, now);
        if let Some(notice) = self.past_notices.take(server.incarnation_hash) {
            server.change_notice(|known| *known = notice);
        }
        if let Some(until) = ejected_until {
            server.eject_until(until);
        }
        let entry = FleetEntry {
            server: rc::Rc::new(server),
            revision: object.revision,
            stored: StoredState::of(record),
            is_readable: true,
        };
        let id = rc::Rc::clone(&entry.server.id);
        let before = self.entries.insert(id, entry);
        Some(match before {
            Some(before) => {
                before.server.on_removed();
                FleetChange::Restarted(record.id.clone())
            }
            None => FleetChange::Joined(record.id.clone()),
        })
    }

    /// Whether an entry may show the state of its server before it drained or was removed. This is
    /// possible for its first entry in a new epoch, because the store may have been restored from
    /// an older copy.
    fn may_be_stale(&self, object: &StoredObject, record: &ServerRecord) -> bool {
        if record.state == ServerState::Draining {
            return false;
        }
        let Some(known) = self.entries.get(&*record.id) else {
            return self
                .removed
                .removed_in_earlier_epoch(record.incarnation(), object.revision);
        };
        let epoch = store_position::epoch_of;
        known.stored.state == ServerState::Draining
            && epoch(object.revision) > epoch(known.revision)
    }
}

impl FleetEntry {
    /// Applies a new entry of the same incarnation.
    fn update(&mut self, record: &ServerRecord, now: Moment) -> Option<FleetChange> {
        let before = self.stored;
        self.stored = StoredState {
            born: record.born.or(before.born),
            sequence: record.sequence.max(before.sequence),
            ..StoredState::of(record)
        };
        self.is_readable = true;
        if before.says_same(&self.stored) {
            self.server.on_present();
        } else {
            self.server.update(record, now);
        }
        let has_changed = before.state != record.state;
        let drains = record.state == ServerState::Draining;
        (has_changed && drains).then(|| FleetChange::Draining(record.id.clone()))
    }
}
