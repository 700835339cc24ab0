//! Persists blocked requests in the store, so that they survive the loss of all hosts. A starting
//! host reads them from the store when no other host can send them.

use std::{rc, time};

use serde_json::json;

use super::super::fingerprint::RequestFingerprint;
use super::super::follow;
use super::super::quarantine::message::SuspectRecord;
use super::super::quarantine::stored::StoredSuspect;
use super::super::store::{
    ObjectContent, ObjectKind, ObjectStore, PageCursor, StoreFault, StoreResult, StoredObject,
};
use super::STORE_SOURCE;
use crate::entry::host::EntryHost;
use crate::entry::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer;

/// Interval at which a starting host checks whether another host has sent the suspects or whether
/// it has to read them from the store itself.
const READ_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Maximum number of pages to read; a page holds hundreds of objects.
const MAX_PAGES: usize = 16;

/// A pending write to the store.
#[derive(Debug, Clone)]
pub(super) enum StoreTask {
    /// Create the object of a blocked request.
    Write(SuspectRecord),
    /// Delete the object with this name, whose request was cleared or has expired.
    Remove(String),
}

/// Starts the tasks that read from and write to the store.
pub(in crate::entry) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(read_once(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(write_all(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Reads the blocked requests from the store, unless another host sends them first. On the first
/// start of the whole system there are none.
async fn read_once<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    if host.settings().first_start {
        host.quarantine.on_loaded();
    }
    let mut pause_ms = follow::MIN_BACKOFF_MS;
    while !host.quarantine.is_loaded.get() {
        // Only watchers read the store: they read the list of servers themselves because no other
        // host sent it.
        if !host.is_watcher() {
            tokio::time::sleep(READ_CHECK_INTERVAL).await;
            continue;
        }
        match read_all(&host, &*store).await {
            Ok(()) => host.quarantine.on_loaded(),
            Err(fault) => {
                log_fault(&host, &fault);
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
    let mut after: Option<PageCursor> = None;
    for _ in 0..MAX_PAGES {
        let call = store.list(ObjectKind::Quarantine, after.as_ref());
        let page = follow::with_timeout(call).await?;
        apply_objects(host, &page.objects);
        after = page.last;
        if !page.more || after.is_none() {
            break;
        }
    }
    Ok(())
}

fn apply_objects<W: WireProtocol>(host: &EntryHost<W>, objects: &[StoredObject]) {
    let unix_ms = timer::unix_millis();
    for object in objects {
        match &object.content {
            ObjectContent::Suspect(stored) if stored.is_expired(unix_ms) => {
                let task = StoreTask::Remove(object.name.clone());
                host.quarantine.queue_store_task(task);
            }
            ObjectContent::Suspect(stored) => match stored.record() {
                Some(record) => host.on_suspect_records(&[record], STORE_SOURCE),
                None => log_unreadable(host, object, "not a fingerprint"),
            },
            ObjectContent::Unreadable(reason) => log_unreadable(host, object, reason),
            ObjectContent::Configuration(_)
            | ObjectContent::Server(_)
            | ObjectContent::Evacuation
            | ObjectContent::Rollout(_)
            | ObjectContent::Host(_) => log_unreadable(host, object, "another kind of object"),
        }
    }
}

fn log_unreadable<W: WireProtocol>(host: &EntryHost<W>, object: &StoredObject, reason: &str) {
    let fields = json!({ "object": object.name, "reason": reason });
    host.log_event(EventCode::ObjectUnreadable, fields);
}

impl<W: WireProtocol> EntryHost<W> {
    /// Writes the blocked requests again after the store may have lost them. Each is written by the
    /// first of its suspect trackers.
    pub(in crate::entry) fn rewrite_blocked_requests(&self) {
        for record in self.quarantine.records(self.now()) {
            self.write_if_first(record.fingerprint);
        }
    }

    /// Queues a blocked request for the store if this host is the first of its suspect trackers.
    pub(super) fn write_if_first(&self, fingerprint: RequestFingerprint) {
        let now = self.now();
        let record = self.quarantine.blocked_record(fingerprint, now);
        let peers = self.peers.borrow();
        let is_first = peers.is_first_tracker(&self.record(), fingerprint, now);
        if let Some(record) = record.filter(|_| is_first) {
            self.quarantine.queue_store_task(StoreTask::Write(record));
        }
    }
}

/// Runs the pending store tasks one after the other, retrying each until it succeeds.
async fn write_all<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        let tasks = host.quarantine.pending_store_tasks.take();
        if tasks.is_empty() {
            host.quarantine.has_store_task.notified().await;
        }
        for task in tasks {
            run_until_done(&host, &*store, &task).await;
        }
    }
}

async fn run_until_done<W: WireProtocol, S: ObjectStore>(
    host: &EntryHost<W>,
    store: &S,
    task: &StoreTask,
) {
    let mut pause_ms = follow::MIN_BACKOFF_MS;
    while let Err(fault) = follow::with_timeout(run_task(store, task)).await {
        log_fault(host, &fault);
        follow::sleep_with_jitter(host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(follow::MAX_BACKOFF_MS);
    }
}

/// Runs one task. A conflict or a missing object counts as success, since several hosts may write
/// or delete the same request.
async fn run_task<S: ObjectStore>(store: &S, task: &StoreTask) -> StoreResult<()> {
    let result = match task {
        StoreTask::Write(record) => {
            let stored = StoredSuspect::from_record(record, timer::unix_millis());
            store.create_suspect(&stored).await
        }
        StoreTask::Remove(name) => store.delete_suspect(name).await,
    };
    match result {
        Err(StoreFault::Conflict | StoreFault::Absent) => Ok(()),
        result => result,
    }
}

fn log_fault<W: WireProtocol>(host: &EntryHost<W>, fault: &StoreFault) {
    let fields = json!({ "fault": fault.to_string() });
    host.log_event(EventCode::QuarantineNotStored, fields);
}
