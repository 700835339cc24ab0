//! Manages the entries of entry hosts in the store.
//!
//! A few hosts of each hall register an entry, so that a host that knows no other host can find
//! one. Entries of hosts that have been silent for long are removed.

use std::{rc, time};

use serde_json::json;

use super::follow;
use super::host::EntryHost;
use super::host_gossip;
use super::peer_message::GoneHost;
use super::peers::HostRecord;
use super::store::{ObjectContent, ObjectStore, StoreFault, StoreResult};
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// How often silent hosts are looked for.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// How often a host checks whether its own entry must be written again: well within the time for
/// which it can be silent before the others remove the entry.
const ENTRY_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// By then a started host has discovered the others of its region, in milliseconds, so that only
/// the selected hosts write an entry. Old entries can be used until then, as hosts return to their
/// addresses.
const REGION_DISCOVERY_MS: u64 = 3_000;
/// By then a started host has learned of all others, in milliseconds: hosts that start with it are
/// announced within a second, and each heartbeat is sent to eight others twice a second.
const DISCOVERY_MS: u64 = 5_000;
/// The same limit if no host of some hall was discovered, in milliseconds: the hall has no host, or
/// none that is alive.
const MAX_DISCOVERY_MS: u64 = 30_000;

/// Starts the tasks that write and remove entries.
pub(super) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(register(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(sweep(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Writes this host's own entry when it is selected to register one, and again whenever the entry
/// is missing.
async fn register<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    let mut was_selected = false;
    while !host.is_leaving() {
        tokio::time::sleep(ENTRY_CHECK_INTERVAL).await;
        let is_selected = host.should_register();
        // Two checks in a row must agree: another host may only have missed a heartbeat.
        let is_due = is_selected && was_selected && host.own_entry_revision.get().is_none();
        was_selected = is_selected;
        if is_due && write_until_done(&host, &*store).await.is_none() {
            return;
        }
    }
}

/// Retries writing the own entry until it succeeds; `None` if the entry must not be written any
/// more.
async fn write_until_done<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
) -> Option<()> {
    let mut pause_ms = follow::MIN_BACKOFF_MS;
    while !host.is_leaving() {
        match follow::with_timeout(write_own(&host.record(), store)).await {
            Ok(OwnEntry::Written(revision)) => {
                host.own_entry_revision.set(Some(revision));
                return Some(());
            }
            Ok(OwnEntry::LaterRun) => return None,
            Err(fault) => {
                let fields = json!({ "fault": fault.to_string() });
                host.log_event(EventCode::EntryNotWritten, fields);
            }
        }
        follow::sleep_with_jitter(host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(follow::MAX_BACKOFF_MS);
    }
    None
}

impl<W: WireProtocol> EntryHost<W> {
    fn should_register(&self) -> bool {
        let now = self.now();
        now.0 >= REGION_DISCOVERY_MS && self.peers.borrow().should_register(&self.record(), now)
    }

    /// Whether this host has probably discovered all others of its region: its membership is
    /// complete, or it has run for long enough.
    pub(super) fn has_discovered_region(&self) -> bool {
        self.now().0 >= REGION_DISCOVERY_MS || self.peers.borrow().is_membership_complete()
    }

    /// Marks the membership as complete once there was time to learn of all hosts and a host of
    /// each hall is known.
    pub(super) fn update_membership_complete(&self, now: Moment) {
        if now.0 < DISCOVERY_MS || self.peers.borrow().is_membership_complete() {
            return;
        }
        let settings = self.settings();
        let halls = settings.halls.names().filter(|hall| *hall != settings.hall);
        let mut peers = self.peers.borrow_mut();
        if peers.knows_halls(halls) || now.0 >= MAX_DISCOVERY_MS {
            peers.on_membership_complete();
        }
    }

    /// Handles the removal of the entry that `run` of this host wrote. The removal of an earlier
    /// run's entry changes nothing.
    pub(super) fn on_own_entry_gone(&self, run: u64) {
        if run >= self.run && !self.is_leaving() {
            self.own_entry_revision.set(None);
        }
    }
}

/// The result of writing a host's own entry.
enum OwnEntry {
    /// The entry was written at this store revision.
    Written(u64),
    /// A later run of this host has written the entry.
    LaterRun,
}

/// Creates the entry, or replaces that of an earlier run. The store may execute a call late, so
/// each call states the revision that it replaces.
async fn write_own<S: ObjectStore>(record: &HostRecord, store: &S) -> StoreResult<OwnEntry> {
    match store.create_host(record).await {
        Err(StoreFault::Conflict) => {}
        made => return made.map(OwnEntry::Written),
    }
    let found = store.read_host(&record.name).await?;
    match &found.content {
        ObjectContent::Host(other) if other.run > record.run => Ok(OwnEntry::LaterRun),
        // An earlier call of this run was executed, but its answer was lost.
        ObjectContent::Host(other) if other == record => Ok(OwnEntry::Written(found.revision)),
        _ => {
            let replaced = store.replace_host(record, found.revision).await;
            replaced.map(OwnEntry::Written)
        }
    }
}

/// Removes this host's own entry when it leaves. If this fails, the others remove the entry after
/// the host has been silent for a while.
pub(super) async fn deregister<W: WireProtocol, S: ObjectStore>(
    host: rc::Rc<EntryHost<W>>,
    store: rc::Rc<S>,
) {
    let name = host.settings().name.clone();
    let Some(revision) = host.own_entry_revision.get() else {
        return;
    };
    let removed = follow::with_timeout(store.delete_host(&name, revision)).await;
    if let Err(fault) = removed {
        let fields = json!({ "peer": name, "fault": fault.to_string() });
        host.log_event(EventCode::EntryNotRemoved, fields);
    }
}

/// Removes hosts that have been silent for long from the peer table. The first watcher of a region
/// also reports them to the other regions, and removes their entries from the store.
async fn sweep<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if host.is_leaving() {
            continue;
        }
        let now = host.now();
        let own = host.record();
        let forgotten = host.peers.borrow_mut().forget_silent(&own.region, now);
        for gone in &forgotten {
            host.log_event(EventCode::MemberDied, json!({ "peer": gone.name }));
        }
        if !host.peers.borrow().is_first_watcher(&own, now) {
            continue;
        }
        host_gossip::broadcast_host_update(&host, &[], &forgotten);
        let abandoned = host.peers.borrow().abandoned_entries(&own);
        for entry in abandoned {
            remove_abandoned(&host, &*store, &entry).await;
        }
    }
}

async fn remove_abandoned<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
    entry: &GoneHost,
) {
    match follow::with_timeout(remove_run(entry, store)).await {
        // The entry was removed, or its host is alive again and has changed it.
        Ok(()) | Err(StoreFault::Absent | StoreFault::Conflict) => {
            let mut peers = host.peers.borrow_mut();
            peers.on_entry_gone(&entry.name, entry.run);
        }
        Err(fault) => {
            let fields = json!({ "peer": entry.name, "fault": fault.to_string() });
            host.log_event(EventCode::EntryNotRemoved, fields);
        }
    }
}

/// Removes a host's entry if it is still that of the run that fell silent.
async fn remove_run<S: ObjectStore>(silent: &GoneHost, store: &S) -> StoreResult<()> {
    let found = store.read_host(&silent.name).await?;
    match &found.content {
        ObjectContent::Host(record) if record.run != silent.run => Err(StoreFault::Conflict),
        _ => store.delete_host(&silent.name, found.revision).await,
    }
}
