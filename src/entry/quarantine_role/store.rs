//! What is barred outlives the loss of all hosts: it is written to the store, and read there by hosts that
//! start when no other can tell them.

use std::{rc, time};

use serde_json::json;

use super::super::fingerprint::RequestFingerprint;
use super::super::follow;
use super::super::quarantine::message::SuspectRecord;
use super::super::quarantine::stored::StoredSuspect;
use super::super::store::{
    ObjectContent, ObjectKind, ObjectStore, StoreFault, StoreResult, StoredObject,
};
use super::STORE_SOURCE;
use crate::entry::host::EntryHost;
use crate::entry::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer;

/// How often a host that has started looks whether another has told it, or the store is its to read.
const READ_CHECK: time::Duration = time::Duration::from_millis(100);
/// Pages that are read at most; a page holds hundreds.
const MAX_PAGES: usize = 16;

/// What is to be done in the store.
#[derive(Debug, Clone)]
pub(super) enum StoreTask {
    /// A request was barred.
    Write(SuspectRecord),
    /// The request of this name was cleared.
    Remove(String),
}

/// Starts the tasks that read and write the store.
pub(in crate::entry) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(read_once(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(write_all(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Reads what is barred, unless another host tells it first. Nothing is when the whole system starts for the
/// first time.
async fn read_once<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    if host.settings().first_start {
        host.quarantine.on_read();
    }
    let mut pause_ms = follow::MIN_BACKOFF_MS;
    while !host.quarantine.read.get() {
        // Those that read the list of servers themselves were told by no other host.
        if !host.is_watcher() {
            tokio::time::sleep(READ_CHECK).await;
            continue;
        }
        match read_all(&host, &*store).await {
            Ok(()) => host.quarantine.on_read(),
            Err(fault) => {
                note_fault(&host, &fault);
                follow::sleep_with_jitter(&host, pause_ms).await;
                pause_ms = (pause_ms * 2).min(follow::MAX_BACKOFF_MS);
            }
        }
    }
}

async fn read_all<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
) -> StoreResult<()> {
    let mut after: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let page =
            follow::with_timeout(store.list(ObjectKind::Quarantine, after.as_deref())).await?;
        take_over(host, &page.objects);
        after = page.objects.last().map(|object| object.name.clone());
        if !page.more || after.is_none() {
            break;
        }
    }
    Ok(())
}

fn take_over<W: WireProtocol>(host: &EntryHost<W>, objects: &[StoredObject]) {
    let unix_ms = timer::unix_millis();
    for object in objects {
        match &object.content {
            ObjectContent::Suspect(stored) if stored.is_out_of_date(unix_ms) => {
                let task = StoreTask::Remove(object.name.clone());
                host.quarantine.push_store_task(task);
            }
            ObjectContent::Suspect(stored) => match stored.record() {
                Some(record) => host.on_suspects_told(&[record], STORE_SOURCE),
                None => note_unreadable(host, object, "not a fingerprint"),
            },
            ObjectContent::Unreadable(reason) => note_unreadable(host, object, reason),
            ObjectContent::Configuration(_)
            | ObjectContent::Server(_)
            | ObjectContent::Evacuation
            | ObjectContent::Rollout(_)
            | ObjectContent::Host(_) => note_unreadable(host, object, "another kind of object"),
        }
    }
}

fn note_unreadable<W: WireProtocol>(host: &EntryHost<W>, object: &StoredObject, reason: &str) {
    let fields = json!({ "object": object.name, "reason": reason });
    host.note(EventCode::ObjectUnreadable, fields);
}

impl<W: WireProtocol> EntryHost<W> {
    /// What is barred may have been lost by the store: of the hosts that know a record the first writes it again.
    pub(in crate::entry) fn write_barred_again(&self) {
        for record in self.quarantine.records(self.now()) {
            self.write_if_first(record.fingerprint);
        }
    }

    /// Writes a barred request to the store, if this host is the first of those that count its ends.
    pub(super) fn write_if_first(&self, fingerprint: RequestFingerprint) {
        let now = self.now();
        let record = self.quarantine.barred_record(fingerprint, now);
        let peers = self.peers.borrow();
        let is_first = peers.is_first_keeper(&self.record(), fingerprint, now);
        if let Some(record) = record.filter(|_| is_first) {
            self.quarantine.push_store_task(StoreTask::Write(record));
        }
    }
}

/// Does what is due in the store, one call after the other, each until it is done.
async fn write_all<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        let due = host.quarantine.to_store.take();
        if due.is_empty() {
            host.quarantine.has_store_task.notified().await;
        }
        for task in due {
            do_until_done(&host, &*store, &task).await;
        }
    }
}

async fn do_until_done<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
    task: &StoreTask,
) {
    let mut pause_ms = follow::MIN_BACKOFF_MS;
    while let Err(fault) = follow::with_timeout(do_task(store, task)).await {
        note_fault(host, &fault);
        follow::sleep_with_jitter(host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(follow::MAX_BACKOFF_MS);
    }
}

/// Several hosts may count the last end and write: the first is as good as any.
async fn do_task<S: ObjectStore>(store: &S, task: &StoreTask) -> StoreResult<()> {
    let done = match task {
        StoreTask::Write(record) => {
            let stored = StoredSuspect::from_record(record, timer::unix_millis());
            store.create_suspect(&stored).await
        }
        StoreTask::Remove(name) => store.delete_suspect(name).await,
    };
    match done {
        Err(StoreFault::Conflict | StoreFault::Absent) => Ok(()),
        done => done,
    }
}

fn note_fault<W: WireProtocol>(host: &EntryHost<W>, fault: &StoreFault) {
    let fields = json!({ "fault": fault.to_string() });
    host.note(EventCode::QuarantineNotStored, fields);
}
