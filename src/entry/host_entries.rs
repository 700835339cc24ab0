//! The entries of entry hosts in the store: a few hosts of each hall keep one, by which a host that knows
//! nobody finds others, and those of hosts that have been silent for long are removed.

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

/// Hosts that have been silent are looked for this often.
const SWEEP: time::Duration = time::Duration::from_secs(5);
/// How often a host looks whether its own entry must be written again: well within the time for
/// which it can be silent before the others remove it.
const OWN_ENTRY_CHECK: time::Duration = time::Duration::from_secs(1);

/// A started host has met the others of its region by then, so that no more than those whose turn it is
/// write an entry, in milliseconds. Old entries are good until then: hosts return to their addresses.
const SETTLE_MS: u64 = 3_000;
/// By then a started host has heard of all others, in milliseconds: those that start with it are told of
/// within a second, and each heartbeat is told to eight others twice a second.
const ALL_MET_MS: u64 = 5_000;
/// The same where a hall is known of which no host was heard: it has none, or none that lives.
const ALL_MET_AT_LAST_MS: u64 = 30_000;

/// Starts the tasks that write and remove entries.
pub(super) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(register(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(sweep(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Writes this host's own entry when it is one of those that keep one, and again whenever it is gone.
async fn register<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    let mut was_keeper = false;
    while !host.is_leaving() {
        tokio::time::sleep(OWN_ENTRY_CHECK).await;
        let keeps = host.should_register();
        // Twice in a row: another may only have missed a heartbeat.
        let is_due = keeps && was_keeper && host.own_entry_revision.get().is_none();
        was_keeper = keeps;
        if is_due && write_until_done(&host, &*store).await.is_none() {
            return;
        }
    }
}

/// Tries to write the own entry until it stands; `None` if it must not be written any more.
async fn write_until_done<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
) -> Option<()> {
    let mut pause_ms = follow::FIRST_PAUSE_MS;
    while !host.is_leaving() {
        match follow::within_limit(write_own(&host.record(), store)).await {
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
        follow::pause_up_to(host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(follow::MAX_PAUSE_MS);
    }
    None
}

impl<W: WireProtocol> EntryHost<W> {
    fn should_register(&self) -> bool {
        let now = self.now();
        now.0 >= SETTLE_MS && self.peers.borrow().should_register(&self.record(), now)
    }

    /// Whether this host has probably met all others of its region: it knows all hosts, or has run for as long as
    /// that takes.
    pub(super) fn has_met_region(&self) -> bool {
        self.now().0 >= SETTLE_MS || self.peers.borrow().is_membership_complete()
    }

    /// Takes all hosts for known once there was time to hear of them, and a host of each hall is known.
    pub(super) fn look_for_all_hosts(&self, now: Moment) {
        if now.0 < ALL_MET_MS || self.peers.borrow().is_membership_complete() {
            return;
        }
        let settings = self.settings();
        let halls = settings.halls.names().filter(|hall| *hall != settings.hall);
        let mut peers = self.peers.borrow_mut();
        if peers.knows_halls(halls) || now.0 >= ALL_MET_AT_LAST_MS {
            peers.on_membership_complete();
        }
    }

    /// The own entry of `run` is gone from the store. An earlier run's end changes nothing.
    pub(super) fn on_own_entry_gone(&self, run: u64) {
        if run >= self.run && !self.is_leaving() {
            self.own_entry_revision.set(None);
        }
    }
}

/// What came of writing a host's own entry.
enum OwnEntry {
    /// It stands at this count of the store.
    Written(u64),
    /// A later run of this host has written it.
    LaterRun,
}

/// Makes the entry, or replaces that of an earlier run. The store may carry out a call late, so each
/// names the entry that it replaces.
async fn write_own<S: ObjectStore>(record: &HostRecord, store: &S) -> StoreResult<OwnEntry> {
    match store.create_host(record).await {
        Err(StoreFault::Conflict) => {}
        made => return made.map(OwnEntry::Written),
    }
    let found = store.read_host(&record.name).await?;
    match &found.content {
        ObjectContent::Host(other) if other.run > record.run => Ok(OwnEntry::LaterRun),
        // An earlier call of this run was carried out, though its answer was lost.
        ObjectContent::Host(other) if other == record => Ok(OwnEntry::Written(found.revision)),
        _ => {
            let replaced = store.replace_host(record, found.revision).await;
            replaced.map(OwnEntry::Written)
        }
    }
}

/// Removes this host's own entry as it leaves. If this fails, the others remove it when the host
/// has been silent for a while.
pub(super) async fn withdraw<W: WireProtocol, S: ObjectStore>(
    host: rc::Rc<EntryHost<W>>,
    store: rc::Rc<S>,
) {
    let name = host.settings().name.clone();
    let Some(revision) = host.own_entry_revision.get() else {
        return;
    };
    let removed = follow::within_limit(store.delete_host(&name, revision)).await;
    if let Err(fault) = removed {
        let fields = json!({ "peer": name, "fault": fault.to_string() });
        host.log_event(EventCode::EntryNotRemoved, fields);
    }
}

/// Forgets hosts that have been silent for long. The first host of a region tells the other regions, and
/// removes the entries of such hosts.
async fn sweep<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        tokio::time::sleep(SWEEP).await;
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
    match follow::within_limit(remove_run(entry, store)).await {
        // It is gone, or its host lives again and has changed it.
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

/// Removes a host's entry if it is still that of the run which fell silent.
async fn remove_run<S: ObjectStore>(silent: &GoneHost, store: &S) -> StoreResult<()> {
    let found = store.read_host(&silent.name).await?;
    match &found.content {
        ObjectContent::Host(record) if record.run != silent.run => Err(StoreFault::Conflict),
        _ => store.delete_host(&silent.name, found.revision).await,
    }
}
