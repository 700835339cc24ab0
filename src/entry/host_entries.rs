//! The entries of entry hosts in the store: each host writes its own, and those of hosts that have
//! been silent for long are removed.

use std::{rc, time};

use serde_json::json;

use super::follow;
use super::host::EntryHost;
use super::peers::HostRecord;
use super::store::{ObjectContent, ObjectStore, StoreFault, StoreResult};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// Hosts that have been silent are looked for this often.
const SWEEP: time::Duration = time::Duration::from_secs(5);
/// How often a host looks whether its own entry must be written again: well within the time for
/// which it can be silent before the others remove it.
const OWN_ENTRY_CHECK: time::Duration = time::Duration::from_secs(1);

/// Starts the tasks that write and remove entries.
pub(super) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(register(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(sweep(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Writes this host's own entry, by which the others meet it, and again whenever it is gone.
async fn register<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    while !host.is_leaving() {
        if host.own_entry.get().is_none() && write_until_done(&host, &*store).await.is_none() {
            return;
        }
        tokio::time::sleep(OWN_ENTRY_CHECK).await;
    }
}

/// Tries to write the own entry until it stands; `None` if it must not be written any more.
async fn write_until_done<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
) -> Option<()> {
    let mut pause_ms = follow::FIRST_PAUSE_MS;
    while !host.is_leaving() {
        match within_limit(write_own(&host.record(), store)).await {
            Ok(OwnEntry::Written(revision)) => {
                host.own_entry.set(Some(revision));
                return Some(());
            }
            Ok(OwnEntry::LaterRun) => return None,
            Err(fault) => {
                let fields = json!({ "fault": fault.to_string() });
                host.note(EventCode::EntryNotWritten, fields);
            }
        }
        follow::pause_up_to(host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(follow::MAX_PAUSE_MS);
    }
    None
}

impl<W: WireProtocol> EntryHost<W> {
    /// The own entry of `run` is gone from the store. An earlier run's end changes nothing.
    pub(super) fn on_own_entry_gone(&self, run: u64) {
        if run >= self.run && !self.is_leaving() {
            self.own_entry.set(None);
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
    let Some(revision) = host.own_entry.get() else {
        return;
    };
    let removed = within_limit(store.delete_host(&name, revision)).await;
    if let Err(fault) = removed {
        let fields = json!({ "peer": name, "fault": fault.to_string() });
        host.note(EventCode::EntryNotRemoved, fields);
    }
}

/// Removes the entries of hosts that have been silent for long. One host does it for each entry:
/// the live one whose name comes first.
async fn sweep<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = host.now();
        let own = host.record();
        if host.is_leaving() || !host.peers.borrow().is_first_alive(&own, now) {
            continue;
        }
        let silent = host.peers.borrow().removable(&own.region, now);
        for record in silent {
            match within_limit(remove_run(&record, &*store)).await {
                Ok(()) | Err(StoreFault::Absent) => {
                    host.peers.borrow_mut().on_removed(&record.name, record.run);
                    host.note(EventCode::MemberDied, json!({ "peer": record.name }));
                }
                // It has changed meanwhile, so its host lives again.
                Err(StoreFault::Conflict) => {}
                Err(fault) => {
                    let fields = json!({ "peer": record.name, "fault": fault.to_string() });
                    host.note(EventCode::EntryNotRemoved, fields);
                }
            }
        }
    }
}

/// Removes a host's entry if it is still that of the run which fell silent.
async fn remove_run<S: ObjectStore>(silent: &HostRecord, store: &S) -> StoreResult<()> {
    let found = store.read_host(&silent.name).await?;
    match &found.content {
        ObjectContent::Host(record) if record.run != silent.run => Err(StoreFault::Conflict),
        _ => store.delete_host(&silent.name, found.revision).await,
    }
}

async fn within_limit<T>(call: impl Future<Output = StoreResult<T>>) -> StoreResult<T> {
    let answered = tokio::time::timeout(follow::CALL_LIMIT, call).await;
    answered.unwrap_or(Err(StoreFault::Unreachable))
}
