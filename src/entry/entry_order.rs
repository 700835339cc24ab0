//! The order of a server's statements in the store.
//!
//! The store may do a write late, after it has done newer ones. The revision of an entry then tells
//! only when the store wrote it; the number that the server gives each of its statements tells which
//! one is newer. An older statement may still be the current one: of a server that has started again
//! and counts from the beginning, if it does not report its start. So it is believed once it has
//! stood in the store for [`DOUBT_MS`]: a server that is alive would have replaced it, and the entry
//! of one that is gone would have been removed.

use std::{cmp, collections};

use super::fleet::{Fleet, FleetEntry, StoredState};
use super::fleet_change::FleetChange;
use super::server::{self, ServerRecord, ServerState};
use super::settings::HallMap;
use super::store::{ObjectContent, StoredObject};
use crate::timer::Moment;

/// How long an older statement must stand in the store until it is believed, in milliseconds. The
/// entry of a server that is gone is removed after three heartbeats, which take 3 s each at most.
pub const DOUBT_MS: u64 = 12_000;

/// How an entry relates to what is known of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryOrder {
    /// It is newer, or nothing is known.
    Newer,
    /// It describes an earlier state.
    Outdated,
    /// Its server made the statement earlier than the last known one, and the store wrote it later.
    Doubtful,
}

/// Older statements that stand in the store, by the server's identity.
#[derive(Debug, Default)]
pub(super) struct DoubtedEntries {
    entries: collections::HashMap<String, DoubtedEntry>,
}

#[derive(Debug)]
struct DoubtedEntry {
    object: StoredObject,
    until: Moment,
}

impl DoubtedEntries {
    /// Adds an entry; returns whether it was not known.
    fn put(&mut self, object: &StoredObject, now: Moment) -> bool {
        let known = self.entries.get(&object.name);
        if known.is_some_and(|known| known.object.revision >= object.revision) {
            return false;
        }
        let entry = DoubtedEntry {
            object: object.clone(),
            until: now.plus(DOUBT_MS),
        };
        self.entries.insert(object.name.clone(), entry);
        true
    }

    /// Forgets the entry of a server of which something newer is known.
    pub(super) fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Forgets entries that are not in a list of the store.
    pub(super) fn retain_listed(&mut self, objects: &[StoredObject]) {
        if self.entries.is_empty() {
            return;
        }
        let listed: collections::HashSet<&str> =
            objects.iter().map(|object| object.name.as_str()).collect();
        self.entries.retain(|id, _entry| listed.contains(&**id));
    }

    fn take_due(&mut self, now: Moment) -> Vec<StoredObject> {
        let is_due = |_id: &String, entry: &mut DoubtedEntry| entry.until <= now;
        let due = self.entries.extract_if(is_due);
        due.map(|(_id, entry)| entry.object).collect()
    }
}

impl Fleet {
    /// Applies an entry unless something newer is known of its server.
    pub(super) fn apply_in_order(
        &mut self,
        object: &StoredObject,
        halls: &HallMap,
        now: Moment,
    ) -> Option<FleetChange> {
        match self.entry_order(object) {
            EntryOrder::Newer => self.apply_entry(object, halls, now),
            EntryOrder::Doubtful => self.doubt(object, now),
            EntryOrder::Outdated => None,
        }
    }

    /// How an entry relates to what is known of its server: by the reported starts, then by the
    /// numbers of the statements, then by the store's revisions.
    fn entry_order(&self, object: &StoredObject) -> EntryOrder {
        let by_revision = match self.entries.get(&*object.name) {
            Some(known) if known.revision > object.revision => EntryOrder::Outdated,
            _ => EntryOrder::Newer,
        };
        let ObjectContent::Server(record) = &object.content else {
            return by_revision;
        };
        let Some(known) = self.entries.get(&*object.name) else {
            return self.order_after_removal(record);
        };
        match server::start_order(record.born, known.stored.born) {
            cmp::Ordering::Less => EntryOrder::Outdated,
            cmp::Ordering::Greater => EntryOrder::Newer,
            cmp::Ordering::Equal => known.statement_order(record).unwrap_or(by_revision),
        }
    }

    /// The order of an entry whose server was removed or is not known.
    fn order_after_removal(&self, record: &ServerRecord) -> EntryOrder {
        let last = self.removed.last_statement(record.incarnation());
        match (record.sequence, last) {
            (Some(own), Some(last)) if own <= last => EntryOrder::Doubtful,
            _ => EntryOrder::Newer,
        }
    }

    /// Keeps an older statement until it is believed or replaced.
    fn doubt(&mut self, object: &StoredObject, now: Moment) -> Option<FleetChange> {
        let is_new = self.doubted.put(object, now);
        is_new.then(|| FleetChange::Doubted(object.name.clone()))
    }

    /// Applies older statements that have stood in the store for long enough.
    ///
    /// ```
    /// use ledgespool::entry::fleet::Fleet;
    /// use ledgespool::entry::settings::HallMap;
    /// use ledgespool::timer::Moment;
    /// let halls: HallMap = [("east".to_owned(), "one".to_owned())].into_iter().collect();
    /// let mut fleet = Fleet::default();
    /// assert!(fleet.on_doubts_over(&halls, Moment(60_000)).is_empty());
    /// ```
    pub fn on_doubts_over(&mut self, halls: &HallMap, now: Moment) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for object in self.doubted.take_due(now) {
            let before = self.server(&object.name).cloned();
            if let Some(known) = self.entries.get_mut(&*object.name) {
                // The server counts anew.
                known.stored.sequence = None;
            }
            changes.extend(self.apply_entry(&object, halls, now));
            let after = self.server(&object.name).cloned();
            self.replace_indexed(before.as_ref(), after.as_ref());
        }
        changes
    }
}

impl FleetEntry {
    /// The order of a statement of the same incarnation; `None` if the numbers do not tell.
    fn statement_order(&self, record: &ServerRecord) -> Option<EntryOrder> {
        let (own, last) = (record.sequence?, self.stored.sequence?);
        if own < last && self.is_readable && self.stored.says_same(&StoredState::of(record)) {
            return None;
        }
        let is_withdrawn_notice = own == last
            && self.is_readable
            && self.stored.state == ServerState::Draining
            && record.state == ServerState::Ready;
        if own > last {
            return Some(EntryOrder::Newer);
        }
        if own == last && !is_withdrawn_notice {
            return None;
        }
        // A server that drains never takes work again in the same incarnation.
        Some(match record.state {
            ServerState::Draining => EntryOrder::Newer,
            ServerState::Ready => EntryOrder::Doubtful,
        })
    }
}
