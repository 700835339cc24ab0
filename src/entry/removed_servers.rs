//! The backend servers that were removed most recently, for hosts that missed the removal.
//!
//! A host that requests all changes since an older store revision must also learn which servers
//! were removed. Only the latest removals are remembered; for anything older, the host reads the
//! complete list.

use std::collections;

use super::hash;
use super::store_position;

/// Minimum number of removed servers that are remembered. In a larger fleet it is the number of
/// servers, so that a host that missed the loss of a hall or region of any size does not have to
/// read the complete list.
const MIN_REMOVED_SERVERS: usize = 1_024;

/// A removed server.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RemovedServer {
    id: String,
    born: Option<u64>,
    removal: ServerRemoval,
}

/// How and when a server was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ServerRemoval {
    /// The store revision up to which it was removed.
    pub(super) by: u64,
    pub(super) kind: RemovalKind,
    /// The number of the last known statement of the server about itself.
    pub(super) last_statement: Option<u64>,
}

/// Identifies one incarnation of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerIncarnation<'a> {
    pub(super) id: &'a str,
    pub(super) born: Option<u64>,
}

/// How the removal of a server was detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RemovalKind {
    /// The store deleted its entry.
    Deleted,
    /// Its entry went missing and was not restored in time, as far as this host observed. The entry
    /// may have been restored before the revision at which the server was given up.
    Expired,
}

/// The most recently removed servers.
#[derive(Debug, Default)]
pub(super) struct RemovedServers {
    servers: collections::VecDeque<RemovedServer>,
    /// Number of removals already forgotten, which is the number of the first remembered one.
    forgotten: usize,
    /// Number of the last removal of each identity, by the identity's hash.
    last_numbers: rustc_hash::FxHashMap<u64, usize>,
    /// Removals up to this store revision may have been forgotten.
    complete_since: u64,
}

impl RemovedServers {
    /// The first list was read; removals up to its revision `revision` are unknown.
    pub(super) fn on_first_list(&mut self, revision: u64) {
        self.complete_since = self.complete_since.max(revision);
    }

    /// A server was removed; `fleet_size` servers are left.
    pub(super) fn on_removed(
        &mut self,
        incarnation: ServerIncarnation<'_>,
        removal: ServerRemoval,
        fleet_size: usize,
    ) {
        let number = self.forgotten + self.servers.len();
        self.last_numbers
            .insert(hash::of_name(incarnation.id), number);
        self.servers.push_back(RemovedServer {
            id: incarnation.id.to_owned(),
            born: incarnation.born,
            removal,
        });
        while self.servers.len() > fleet_size.max(MIN_REMOVED_SERVERS) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(first) = self.servers.pop_front() else {
            return;
        };
        let key = hash::of_name(&first.id);
        if self.last_numbers.get(&key) == Some(&self.forgotten) {
            self.last_numbers.remove(&key);
        }
        self.forgotten += 1;
        self.complete_since = self.complete_since.max(first.removal.by);
    }

    /// The last removal of a server, if it is remembered.
    fn last_removal(&self, id: &str) -> Option<&RemovedServer> {
        let number = self.last_numbers.get(&hash::of_name(id))?;
        let removed = self.servers.get(number - self.forgotten)?;
        (removed.id == id).then_some(removed)
    }

    /// Whether the store deleted the entry of this incarnation of a server, or of a later one, at
    /// `revision` or later. An entry of that revision is then outdated.
    pub(super) fn was_removed_since(
        &self,
        incarnation: ServerIncarnation<'_>,
        revision: u64,
    ) -> bool {
        let last = self.last_removal(incarnation.id);
        last.is_some_and(|removed| {
            let is_later_incarnation = incarnation.born > removed.born;
            removed.removal.kind == RemovalKind::Deleted
                && removed.removal.by >= revision
                && !is_later_incarnation
        })
    }

    /// Whether the entry of this incarnation of a server was removed in an epoch before that of
    /// `position`. If the entry is present again, the store was restored from an older copy, or the
    /// server is alive and has written it again.
    pub(super) fn removed_in_earlier_epoch(
        &self,
        incarnation: ServerIncarnation<'_>,
        position: u64,
    ) -> bool {
        let last = self.last_removal(incarnation.id);
        let epoch = store_position::epoch_of;
        last.is_some_and(|removed| {
            epoch(removed.removal.by) < epoch(position) && incarnation.born <= removed.born
        })
    }

    /// The number of the last known statement of this incarnation of a server, if it was removed. A
    /// later incarnation numbers its statements anew.
    pub(super) fn last_statement(&self, incarnation: ServerIncarnation<'_>) -> Option<u64> {
        let last = self.last_removal(incarnation.id)?;
        let is_later_incarnation = incarnation.born > last.born;
        last.removal
            .last_statement
            .filter(|_| !is_later_incarnation)
    }

    /// The number of the last known statement of a server that was removed.
    pub(super) fn last_statement_of(&self, id: &str) -> Option<u64> {
        self.last_removal(id)?.removal.last_statement
    }

    /// The identities of the servers removed after the store revision `since`, and the numbers of
    /// their last statements; `None` if these are no longer known.
    pub(super) fn since(&self, since: u64) -> Option<impl Iterator<Item = (&String, Option<u64>)>> {
        if since < self.complete_since {
            return None;
        }
        let later = self
            .servers
            .iter()
            .filter(move |removed| removed.removal.by > since);
        Some(later.map(|removed| (&removed.id, removed.removal.last_statement)))
    }
}
