//! The backend servers that this host knows, by incarnation.
//!
//! Two sources meet here. The store says which servers exist, whether they drain and whether
//! their hall is to be emptied; own requests show how fast and how loaded each one is
//! ([`super::fleet_server`]).

use std::{cmp, collections, rc};

use super::ended_servers::{EndKind, EndedServers, ServerStart};
use super::expiry_retention::{ExpiryRetention, MissingSource, ReturnObservation};
use super::fleet_change::{ChangeSpan, FleetChange, LapsedServer};
use super::fleet_index::FleetIndex;
use super::fleet_server::FleetServer;
use super::past_notices::PastNotices;
use super::server::{self, ServerObject, ServerRecord, ServerState};
use super::settings::HallMap;
use super::shared_names::SharedNames;
use super::store::{ObjectChange, ObjectContent, StoredObject};
use crate::timer::Moment;

/// When at least this many servers vanish at the same time, and at least one of
/// [`LAPSE_ONE_OF`] that serve, their entries have perhaps only lapsed: an outage of the store
/// that falls between two calls is seen by nothing else.
const LAPSE_LEAST: usize = 3;
/// See [`LAPSE_LEAST`]. More than a hall that loses power takes away in the deployments in use, and
/// its servers would not take work if they were kept.
const LAPSE_ONE_OF: usize = 4;

/// A server, and what the store says of it that may change.
#[derive(Debug)]
pub(super) struct FleetEntry {
    pub(super) server: rc::Rc<FleetServer>,
    /// The store's count at the entry's last change.
    pub(super) revision: u64,
    pub(super) stored: StoredState,
}

/// What the store says of a server, beside what stays the same for one start of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StoredState {
    pub(super) born: Option<u64>,
    pub(super) state: ServerState,
    pub(super) cold_ms: u64,
}

impl StoredState {
    pub(super) const fn of(record: &ServerRecord) -> Self {
        Self {
            born: record.born,
            state: record.state,
            cold_ms: record.cold_ms,
        }
    }
}

impl FleetEntry {
    /// The server as the store holds it.
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
    pub(super) names: SharedNames,
    index: FleetIndex,
    /// Servers whose entries went missing, until that is found to be over.
    missing: Vec<rc::Rc<FleetServer>>,
    /// The last that ended, for hosts that missed it.
    pub(super) ended: EndedServers,
    pub(super) past_notices: PastNotices,
    revision: u64,
    changed: u64,
    lapses: ExpiryRetention,
    listed: bool,
}

impl Fleet {
    /// The servers of a service that are not gone.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[rc::Rc<FleetServer>] {
        self.index.of_service(service)
    }

    /// Whether an incarnation is known and not gone.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    pub(super) fn server(&self, id: &str) -> Option<&rc::Rc<FleetServer>> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// A server told something of itself with an answer that came when its entry was gone: the same start of it may come
    /// back, or be back already.
    pub fn on_late_notice(&mut self, server: &FleetServer, now: Moment) {
        let notice = server.notice();
        match self.index.of_start(server.start_hash) {
            Some(current) => current.change_notice(|known| known.join(notice)),
            None => self.past_notices.put(server.start_hash, notice, now),
        }
    }

    /// Servers that are kept although their entries are missing.
    pub(super) fn missing(&self) -> impl Iterator<Item = &rc::Rc<FleetServer>> {
        let missing = self.missing.iter();
        missing.filter(|server| !server.is_gone() && server.missing_until().is_some())
    }

    /// The server with this hash of identity and start, if it is known and not gone.
    #[must_use]
    pub fn of_start(&self, start_hash: u64) -> Option<rc::Rc<FleetServer>> {
        self.index.of_start(start_hash).cloned()
    }

    /// How often a server was put into the ways to find it: what changes cost.
    #[must_use]
    pub const fn servers_indexed(&self) -> u64 {
        self.index.indexed()
    }

    /// Every server that is not gone.
    pub fn servers(&self) -> impl Iterator<Item = &rc::Rc<FleetServer>> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Whether the whole list was read at least once.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// The store's count up to which the fleet is current.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The store's count at the last change that the fleet has taken in; between it and
    /// [`Self::revision`] no server changed.
    #[must_use]
    pub const fn changed(&self) -> u64 {
        self.changed
    }

    /// A server that leaves serves on for this long, in milliseconds.
    pub const fn set_leave_ms(&mut self, leave_ms: u64) {
        self.lapses.set_leave_time_ms(leave_ms);
    }

    /// The store was away and answers again, first with its count `revision`: entries that go missing
    /// now have perhaps only lapsed.
    pub fn on_store_return(&mut self, sight: ReturnObservation, revision: u64, now: Moment) {
        self.lapses.on_store_return(sight, revision, now);
    }

    /// Takes over a whole list.
    pub fn on_list(
        &mut self,
        objects: &[StoredObject],
        revision: u64,
        source: MissingSource<'_>,
        halls: &HallMap,
        now: Moment,
    ) -> Vec<FleetChange> {
        if self.listed && revision < self.revision {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if !self.listed {
            self.ended.on_first_list(revision);
        }
        let missing = self.missing_from(objects, revision);
        self.prepare_holds(missing.iter().map(String::as_str), source, now);
        for id in missing {
            changes.extend(self.remove(&id, revision, source, now));
        }
        for object in objects {
            if !self.is_superseded(object) {
                changes.extend(self.put(object, halls, now));
            }
        }
        self.revision = revision;
        self.changed = revision;
        self.listed = true;
        let servers = self.entries.values().map(|entry| &entry.server);
        self.index.rebuild(servers);
        self.names.forget_unused();
        changes
    }

    /// Decides whether entries that are missing may have lapsed.
    fn prepare_holds<'a>(
        &mut self,
        vanished: impl Iterator<Item = &'a str>,
        source: MissingSource<'_>,
        now: Moment,
    ) {
        match source {
            MissingSource::Store => self.hold_if_many(vanished, now),
            MissingSource::Peer(told) => {
                if let Some(until) = told.latest_end() {
                    self.lapses.on_reported(until);
                }
            }
        }
    }

    /// Keeps servers that vanish when they are too many to have ended at the same time. Those that
    /// drained before are gone.
    fn hold_if_many<'a>(&mut self, vanished: impl Iterator<Item = &'a str>, now: Moment) {
        let serves = |server: &rc::Rc<FleetServer>| server.takes_work();
        let vanished = vanished.filter_map(|id| self.server(id));
        let vanished = vanished.filter(|server| serves(server)).count();
        if vanished < LAPSE_LEAST {
            return;
        }
        let serving = self.servers().filter(|server| serves(server)).count();
        if vanished * LAPSE_ONE_OF >= serving {
            self.lapses.on_many_vanished(now);
        }
    }

    /// The servers that are not in a list made at `revision` and were not seen later.
    fn missing_from(&self, objects: &[StoredObject], revision: u64) -> Vec<String> {
        let present: collections::HashSet<&str> =
            objects.iter().map(|object| object.name.as_str()).collect();
        let missing = self.entries.iter();
        missing
            .filter(|(id, entry)| !present.contains(&***id) && entry.revision <= revision)
            .map(|(id, _)| id.to_string())
            .collect()
    }

    /// Whether the server is known as it stood after the store's count `revision`.
    fn knows_newer(&self, id: &str, revision: u64) -> bool {
        let known = self.entries.get(id);
        known.is_some_and(|known| known.revision > revision)
    }

    /// Whether an entry tells of an earlier start of its server than is known, or of the same as it stood
    /// earlier.
    fn is_superseded(&self, object: &StoredObject) -> bool {
        let order = match (&object.content, self.entries.get(&*object.name)) {
            (ObjectContent::Server(record), Some(known)) => {
                server::start_order(record.born, known.stored.born)
            }
            _ => cmp::Ordering::Equal,
        };
        match order {
            cmp::Ordering::Less => true,
            cmp::Ordering::Equal => self.knows_newer(&object.name, object.revision),
            cmp::Ordering::Greater => false,
        }
    }

    /// Takes over changes in their order.
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
        self.prepare_holds(vanished, source, now);
        // Ends within the batch are in order; those known before may be later than its entries.
        let outdated: Vec<bool> = batch
            .iter()
            .map(|change| self.is_outdated(change))
            .collect();
        for (change, outdated) in batch.iter().zip(outdated) {
            let id = &change.object.name;
            if outdated || self.is_superseded(&change.object) {
                continue;
            }
            let before = self.server(id).cloned();
            if change.deleted {
                changes.extend(self.remove(id, span.until, source, now));
            } else if change.object.revision > self.revision || self.knows(id) {
                changes.extend(self.put(&change.object, halls, now));
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

    /// Whether a change tells of an entry whose server is known to have ended later.
    fn is_outdated(&self, change: &ObjectChange) -> bool {
        let revision = change.object.revision;
        match &change.object.content {
            ObjectContent::Server(record) => {
                let start = ServerStart {
                    id: &record.id,
                    born: record.born,
                };
                !change.deleted && self.ended.has_ended(start, revision)
            }
            _ => false,
        }
    }

    /// The store's count has moved on and no server has changed.
    pub fn on_quiet(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes lapsed servers out whose time is over.
    pub fn on_tick(&mut self, now: Moment) -> Vec<FleetChange> {
        self.past_notices.on_tick(now);
        if self.missing.is_empty() {
            return Vec::new();
        }
        let missing: Vec<_> = self.missing().cloned().collect();
        let (lapsed, kept) = missing
            .into_iter()
            .partition(|server| server.has_lapsed(now));
        self.missing = kept;
        let mut changes = Vec::new();
        for server in lapsed {
            changes.extend(self.end(&server.id, self.revision, EndKind::Lapsed, now));
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
        let server = rc::Rc::clone(self.server(id)?);
        let hold = match source {
            MissingSource::Store => self.lapses.server_retention(by, now),
            MissingSource::Peer(told) => told.server_retention(id),
        };
        let Some(hold) = hold else {
            return self.end(id, by, EndKind::Removed, now);
        };
        if !server.on_missing(hold.until) {
            return None;
        }
        // It may have come back and gone again since the last look.
        let is_known = self
            .missing
            .iter()
            .any(|known| rc::Rc::ptr_eq(known, &server));
        if !is_known {
            self.missing.push(server);
        }
        Some(FleetChange::Lapsed(LapsedServer {
            id: id.to_owned(),
            hold_ms: hold.until.since(now),
            reason: hold.reason,
        }))
    }

    fn end(&mut self, id: &str, by: u64, kind: EndKind, now: Moment) -> Option<FleetChange> {
        let entry = self.entries.remove(id)?;
        let server = entry.server;
        let notice = server.notice();
        self.past_notices.put(server.start_hash, notice, now);
        server.on_gone();
        let left = self.entries.len();
        let by = by.max(self.revision);
        let start = ServerStart {
            id: &server.id,
            born: entry.stored.born,
        };
        self.ended.on_ended(start, by, kind, left);
        Some(FleetChange::Gone(id.to_owned()))
    }
}
