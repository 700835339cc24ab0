//! The backend servers that this host knows, by identity.
//!
//! A server's data comes from two sources. The store lists the servers, their state and whether
//! their hall is evacuated; this host's own requests show how fast and how loaded each server is
//! ([`super::fleet_server`]).

use std::{cmp, collections, rc};

use super::entry_order::DoubtedEntries;
use super::expiry_retention::{ExpiryRetention, MissingSource, ReturnObservation};
use super::fleet_change::{ChangeSpan, FleetChange, RetainedServer};
use super::fleet_index::FleetIndex;
use super::fleet_server::FleetServer;
use super::name_interner::NameInterner;
use super::past_notices::PastNotices;
use super::removed_servers::{RemovalKind, RemovedServers, ServerIncarnation, ServerRemoval};
use super::server::{self, ServerObject, ServerRecord, ServerState};
use super::settings::HallMap;
use super::store::{ObjectChange, ObjectContent, StoredObject};
use crate::timer::Moment;

/// When at least this many available servers vanish at the same time, and they are at least one in
/// [`MASS_EXPIRY_DIVISOR`] of the available servers, their entries may only have expired. An
/// outage of the store that falls between two calls cannot be detected in another way.
const MIN_MASS_EXPIRY: usize = 3;
/// See [`MIN_MASS_EXPIRY`]. One in four is more than a hall that loses power takes away in current
/// deployments; the servers of such a hall could not serve if they were retained.
const MASS_EXPIRY_DIVISOR: usize = 4;

/// A server, with the part of its store entry that may change.
#[derive(Debug)]
pub(super) struct FleetEntry {
    pub(super) server: rc::Rc<FleetServer>,
    /// The store revision of the entry's last change.
    pub(super) revision: u64,
    pub(super) stored: StoredState,
    /// Whether the last entry could be parsed. If not, `stored` says that the server drains.
    pub(super) is_readable: bool,
}

/// The fields of a store entry that may change during one incarnation of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StoredState {
    pub(super) born: Option<u64>,
    pub(super) state: ServerState,
    pub(super) cold_ms: u64,
    /// The number of the server's last statement.
    pub(super) sequence: Option<u64>,
}

impl StoredState {
    pub(super) const fn of(record: &ServerRecord) -> Self {
        Self {
            born: record.born,
            state: record.state,
            cold_ms: record.cold_ms,
            sequence: record.sequence,
        }
    }

    /// Whether both say the same, whatever the numbers of the statements are.
    pub(super) fn says_same(&self, other: &Self) -> bool {
        let sequence = other.sequence;
        Self { sequence, ..*self } == *other
    }
}

impl FleetEntry {
    /// The server as listed in the store.
    pub(super) fn object(&self) -> ServerObject {
        let server = &self.server;
        let record = ServerRecord {
            id: server.id.to_string(),
            born: self.stored.born,
            service: server.service.to_string(),
            address: server.address,
            hall: server.hall.to_string(),
            version: server.version,
            slots: server.slots,
            state: self.stored.state,
            cold_ms: self.stored.cold_ms,
            sequence: self.stored.sequence,
        };
        ServerObject {
            record,
            revision: self.revision,
        }
    }
}

/// All servers that this host knows.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(super) entries: collections::HashMap<rc::Rc<str>, FleetEntry>,
    /// Names that many servers share.
    pub(super) names: NameInterner,
    index: FleetIndex,
    /// Servers whose entries went missing. Servers that are no longer missing are dropped at the
    /// next tick.
    missing: Vec<rc::Rc<FleetServer>>,
    /// The most recently removed servers, for hosts that missed the removal.
    pub(super) removed: RemovedServers,
    pub(super) past_notices: PastNotices,
    pub(super) doubted: DoubtedEntries,
    revision: u64,
    changed: u64,
    retention: ExpiryRetention,
    is_listed: bool,
}

impl Fleet {
    /// The known servers of a service.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[rc::Rc<FleetServer>] {
        self.index.of_service(service)
    }

    /// Whether a server of this identity is known and not removed.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    pub(super) fn server(&self, id: &str) -> Option<&rc::Rc<FleetServer>> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Records the notice of a server whose answer arrived after its entry was removed. The same
    /// incarnation may be listed again, now or later.
    pub fn on_late_notice(&mut self, server: &FleetServer, now: Moment) {
        let notice = server.notice();
        match self.index.of_incarnation(server.incarnation_hash) {
            Some(current) => current.change_notice(|known| known.merge(notice)),
            None => self.past_notices.put(server.incarnation_hash, notice, now),
        }
    }

    /// Servers that are retained although their entries are missing.
    pub(super) fn missing(&self) -> impl Iterator<Item = &rc::Rc<FleetServer>> {
        let missing = self.missing.iter();
        missing.filter(|server| !server.is_removed() && server.missing_until().is_some())
    }

    /// The server with this incarnation hash, if it is known and not removed.
    #[must_use]
    pub fn of_incarnation(&self, incarnation_hash: u64) -> Option<rc::Rc<FleetServer>> {
        self.index.of_incarnation(incarnation_hash).cloned()
    }

    /// How often a server was added to the index, a measure of the cost of changes.
    #[must_use]
    pub const fn servers_indexed(&self) -> u64 {
        self.index.indexed()
    }

    /// All known servers.
    pub fn servers(&self) -> impl Iterator<Item = &rc::Rc<FleetServer>> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Whether a complete list was read at least once.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// The store revision up to which the fleet is current.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The store revision of the last change that the fleet has applied; between it and
    /// [`Self::revision`] no server changed.
    #[must_use]
    pub const fn changed(&self) -> u64 {
        self.changed
    }

    /// Sets how long a leaving server continues to serve, in milliseconds.
    pub const fn set_leave_ms(&mut self, leave_ms: u64) {
        self.retention.set_leave_time_ms(leave_ms);
    }

    /// The store is available again after an outage, first with its revision `revision`: entries
    /// that are missing from now on may only have expired.
    pub fn on_store_return(&mut self, observation: ReturnObservation, revision: u64, now: Moment) {
        self.retention.on_store_return(observation, revision, now);
    }

    /// Applies a complete list.
    pub fn on_list(
        &mut self,
        objects: &[StoredObject],
        revision: u64,
        source: MissingSource<'_>,
        halls: &HallMap,
        now: Moment,
    ) -> Vec<FleetChange> {
        if self.is_listed && revision < self.revision {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if !self.is_listed {
            self.removed.on_first_list(revision);
        }
        let missing = self.missing_from(objects, revision);
        self.prepare_retention(missing.iter().map(String::as_str), source, now);
        for id in missing {
            changes.extend(self.remove(&id, revision, source, now));
        }
        for object in objects {
            changes.extend(self.apply_in_order(object, halls, now));
        }
        self.doubted.retain_listed(objects);
        self.revision = revision;
        self.changed = revision;
        self.is_listed = true;
        let servers = self.entries.values().map(|entry| &entry.server);
        self.index.rebuild(servers);
        self.names.remove_unused();
        changes
    }

    /// Decides whether missing entries may only have expired.
    fn prepare_retention<'a>(
        &mut self,
        vanished: impl Iterator<Item = &'a str>,
        source: MissingSource<'_>,
        now: Moment,
    ) {
        match source {
            MissingSource::Store => self.retain_if_many(vanished, now),
            MissingSource::Peer(retentions) => {
                if let Some(until) = retentions.outage_end() {
                    self.retention.on_reported(until);
                }
            }
        }
    }

    /// Retains vanished servers if they are too many to have left at the same time. Servers that
    /// drained before are not retained.
    fn retain_if_many<'a>(&mut self, vanished: impl Iterator<Item = &'a str>, now: Moment) {
        let is_available = |server: &rc::Rc<FleetServer>| server.takes_work();
        let vanished = vanished.filter_map(|id| self.server(id));
        let vanished = vanished.filter(|server| is_available(server)).count();
        if vanished < MIN_MASS_EXPIRY {
            return;
        }
        let available = self.servers().filter(|server| is_available(server)).count();
        if vanished * MASS_EXPIRY_DIVISOR >= available {
            self.retention.on_many_vanished(now);
        }
    }

    /// The servers that are missing from a list of the store revision `revision` and have not
    /// changed since.
    fn missing_from(&self, objects: &[StoredObject], revision: u64) -> Vec<String> {
        let present: collections::HashSet<&str> =
            objects.iter().map(|object| object.name.as_str()).collect();
        let missing = self.entries.iter();
        missing
            .filter(|(id, entry)| !present.contains(&***id) && entry.revision <= revision)
            .map(|(id, _)| id.to_string())
            .collect()
    }

    /// Whether the server is known from an entry newer than the store revision `revision`.
    fn is_newer_known(&self, id: &str, revision: u64) -> bool {
        let known = self.entries.get(id);
        known.is_some_and(|known| known.revision > revision)
    }

    /// Applies changes in their order.
    pub fn on_changes(
        &mut self,
        batch: &[ObjectChange],
        span: ChangeSpan,
        source: MissingSource<'_>,
        halls: &HallMap,
        now: Moment,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let vanished = batch.iter().filter(|change| change.deleted);
        let vanished = vanished.map(|change| change.object.name.as_str());
        self.prepare_retention(vanished, source, now);
        // Removals within the batch are in order. Those known before the batch may be newer than
        // its entries, so they are checked first.
        let outdated: Vec<bool> = batch
            .iter()
            .map(|change| self.is_removed_later(change))
            .collect();
        for (change, outdated) in batch.iter().zip(outdated) {
            let id = &change.object.name;
            if outdated {
                continue;
            }
            let before = self.server(id).cloned();
            if change.deleted {
                changes.extend(self.apply_removal(&change.object, span.until, source, now));
            } else if change.object.revision > self.revision || self.contains(id) {
                changes.extend(self.apply_in_order(&change.object, halls, now));
            }
            let after = self.entries.get(id.as_str()).map(|entry| &entry.server);
            self.index.replace(before.as_ref(), after);
        }
        if span.contiguous && span.until > self.revision {
            self.revision = span.until;
            self.changed = span.until;
        }
        changes
    }

    /// Removes the server whose entry was deleted, unless a later incarnation or a newer entry of it
    /// is known. `object` is the last state of the entry.
    fn apply_removal(
        &mut self,
        object: &StoredObject,
        by: u64,
        source: MissingSource<'_>,
        now: Moment,
    ) -> Option<FleetChange> {
        let is_newer_known = self.is_newer_known(&object.name, object.revision);
        let mut last_statement = source.last_statement(&object.name);
        if let Some(known) = self.entries.get_mut(&*object.name) {
            let order = match &object.content {
                ObjectContent::Server(record) => {
                    last_statement = record.sequence;
                    server::start_order(record.born, known.stored.born)
                }
                _ => cmp::Ordering::Equal,
            };
            match order {
                cmp::Ordering::Less => return None,
                cmp::Ordering::Equal if is_newer_known => return None,
                cmp::Ordering::Equal => {
                    known.stored.sequence = known.stored.sequence.max(last_statement);
                }
                cmp::Ordering::Greater => {}
            }
        }
        self.remove(&object.name, by, source, now)
    }

    /// The number of the last known statement of a server about itself, also if it was removed.
    #[must_use]
    pub fn last_statement(&self, id: &str) -> Option<u64> {
        let known = self.entries.get(id);
        let stored = known.map(|known| known.stored.sequence);
        stored.unwrap_or_else(|| self.removed.last_statement_of(id))
    }

    /// Replaces a server in the index.
    pub(super) fn replace_indexed(
        &mut self,
        before: Option<&rc::Rc<FleetServer>>,
        after: Option<&rc::Rc<FleetServer>>,
    ) {
        self.index.replace(before, after);
    }

    /// Whether a change is an entry of a server that is known to have been removed later.
    fn is_removed_later(&self, change: &ObjectChange) -> bool {
        let revision = change.object.revision;
        match &change.object.content {
            ObjectContent::Server(record) => {
                let incarnation = record.incarnation();
                !change.deleted && self.removed.was_removed_since(incarnation, revision)
            }
            _ => false,
        }
    }

    /// The store revision advanced without a change of any server.
    pub fn on_unchanged(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Removes missing servers whose retention time is over.
    pub fn on_tick(&mut self, now: Moment) -> Vec<FleetChange> {
        self.past_notices.on_tick(now);
        if self.missing.is_empty() {
            return Vec::new();
        }
        let missing: Vec<_> = self.missing().cloned().collect();
        let (expired, still_missing) = missing
            .into_iter()
            .partition(|server| server.is_retention_over(now));
        self.missing = still_missing;
        let mut changes = Vec::new();
        for server in expired {
            changes.extend(self.remove_now(&server.id, self.revision, RemovalKind::Expired, now));
            self.index.replace(Some(&server), None);
        }
        changes
    }

    fn remove(
        &mut self,
        id: &str,
        by: u64,
        source: MissingSource<'_>,
        now: Moment,
    ) -> Option<FleetChange> {
        self.doubted.remove(id);
        let server = rc::Rc::clone(self.server(id)?);
        let retained = match source {
            MissingSource::Store => self.retention.server_retention(by, now),
            MissingSource::Peer(retentions) => retentions.server_retention(id),
        };
        let Some(retained) = retained else {
            return self.remove_now(id, by, RemovalKind::Deleted, now);
        };
        if !server.on_missing(retained.until) {
            return None;
        }
        // It may have been listed and gone missing again since the last tick.
        let is_known = self
            .missing
            .iter()
            .any(|known| rc::Rc::ptr_eq(known, &server));
        if !is_known {
            self.missing.push(server);
        }
        Some(FleetChange::Retained(RetainedServer {
            id: id.to_owned(),
            retained_ms: retained.until.since(now),
            reason: retained.reason,
        }))
    }

    fn remove_now(
        &mut self,
        id: &str,
        by: u64,
        kind: RemovalKind,
        now: Moment,
    ) -> Option<FleetChange> {
        let entry = self.entries.remove(id)?;
        let server = entry.server;
        let notice = server.notice();
        self.past_notices.put(server.incarnation_hash, notice, now);
        server.on_removed();
        let left = self.entries.len();
        let by = by.max(self.revision);
        let incarnation = ServerIncarnation {
            id: &server.id,
            born: entry.stored.born,
        };
        let removal = ServerRemoval {
            by,
            kind,
            last_statement: entry.stored.sequence,
        };
        self.removed.on_removed(incarnation, removal, left);
        Some(FleetChange::Removed(id.to_owned()))
    }
}
