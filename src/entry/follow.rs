//! Keeps what the store holds in view: list a kind, then watch it from there, and again from the
//! list when the history is gone. Errors are met with growing pauses, so that hosts that all lost
//! the store do not come back at the same instant.

use std::{rc, time};

use rand::Rng as _;
use serde_json::json;

use super::host::EntryHost;
use super::store::{
    ChangeBatch, ObjectContent, ObjectKind, ObjectStore, StoreFault, StoreResult, StoredObject,
};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// A call that does not wait must be answered within this time; ordinary answers take 4 ms, those
/// of a slow store some hundred.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// A watch that has fallen silent is found out when this time is over, so it bounds how old the
/// view can be. Each end costs a call.
const WATCH_WAIT_MS: u64 = 5_000;
/// Hosts learn of each other by heartbeats as well, so their kind is watched with fewer calls.
const HOSTS_WAIT_MS: u64 = 25_000;
/// A watch's answer may be this late.
const WATCH_MARGIN: time::Duration = time::Duration::from_millis(1_000);
/// The pause after a first failure; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 800;
/// Pages that one list has at most.
const MAX_PAGES: usize = 100;
/// Hosts that have been silent are looked for this often.
const SWEEP: time::Duration = time::Duration::from_secs(5);

/// Starts the tasks that follow the store, and writes this host's own entry.
pub fn spawn<W: WireProtocol, S: ObjectStore>(host: &rc::Rc<EntryHost<W>>, store: &rc::Rc<S>) {
    for kind in ObjectKind::ALL {
        let follower = KindFollower {
            host: rc::Rc::clone(host),
            store: rc::Rc::clone(store),
            kind,
            failures: 0,
            away: false,
        };
        tokio::task::spawn_local(follower.run());
    }
    tokio::task::spawn_local(register(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(sweep(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Follows one kind.
struct KindFollower<W, S> {
    host: rc::Rc<EntryHost<W>>,
    store: rc::Rc<S>,
    kind: ObjectKind,
    failures: u32,
    away: bool,
}

impl<W: WireProtocol, S: ObjectStore> KindFollower<W, S> {
    async fn run(mut self) {
        let mut position = None;
        loop {
            let result = match position {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match result {
                Ok(revision) => position = Some(revision),
                Err(StoreFault::HistoryGone) => position = None,
                Err(_) => self.pause().await,
            }
        }
    }

    async fn list(&mut self) -> StoreResult<u64> {
        let mut objects = Vec::new();
        let mut after: Option<String> = None;
        let mut revision = None;
        for _ in 0..MAX_PAGES {
            let call = self.store.list(self.kind, after.as_deref());
            let page = tokio::time::timeout(CALL_LIMIT, call)
                .await
                .unwrap_or(Err(StoreFault::Unreachable));
            self.note("list", &page);
            let page = page?;
            // The first page's count: what changes while the rest is read is watched from there.
            revision = revision.or(Some(page.revision));
            after = page.objects.last().map(|object| object.name.clone());
            objects.extend(page.objects);
            if !page.more || after.is_none() {
                break;
            }
        }
        let revision = revision.unwrap_or(0);
        self.apply_list(&objects, revision);
        Ok(revision)
    }

    async fn watch(&mut self, revision: u64) -> StoreResult<u64> {
        let wait_ms = match self.kind {
            ObjectKind::Hosts => HOSTS_WAIT_MS,
            _ => WATCH_WAIT_MS,
        };
        let limit = time::Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let call = self.store.watch(self.kind, revision, wait_ms);
        let batch = tokio::time::timeout(limit, call)
            .await
            .unwrap_or(Err(StoreFault::Unreachable));
        self.note("watch", &batch);
        let batch = batch?;
        self.apply_changes(&batch);
        Ok(batch.revision.max(revision))
    }

    /// Counts a call and notes when the store is lost or found again.
    fn note<T>(&mut self, call: &'static str, result: &StoreResult<T>) {
        let word = match result {
            Ok(_) => "ok",
            Err(StoreFault::Unreachable) => "unreachable",
            Err(StoreFault::Refused(_)) => "refused",
            Err(StoreFault::HistoryGone) => "history_gone",
            Err(_) => "malformed",
        };
        self.host
            .metrics
            .borrow_mut()
            .on_store_call(self.kind, call, word);
        let lost = matches!(
            result,
            Err(StoreFault::Unreachable | StoreFault::Refused(_) | StoreFault::Malformed(_))
        );
        if lost && !self.away {
            self.host.note(
                EventCode::PlatformLost,
                json!({ "kind": self.kind.as_str(), "call": call, "result": word }),
            );
        }
        if !lost && self.away {
            self.failures = 0;
            self.host
                .note(EventCode::PlatformFound, json!({ "kind": self.kind.as_str() }));
            if self.kind == ObjectKind::Servers {
                let now = self.host.now();
                self.host.fleet.borrow_mut().on_store_return(now);
            }
        }
        self.away = lost;
    }

    async fn pause(&mut self) {
        let doubled = FIRST_PAUSE_MS << self.failures.min(8);
        self.failures += 1;
        let longest = doubled.min(MAX_PAUSE_MS);
        let millis = self
            .host
            .random
            .borrow_mut()
            .random_range(longest / 2..=longest);
        tokio::time::sleep(time::Duration::from_millis(millis)).await;
    }

    fn apply_list(&self, objects: &[StoredObject], revision: u64) {
        let now = self.host.now();
        match self.kind {
            ObjectKind::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            ObjectKind::Servers => {
                let settings = self.host.settings();
                let mut fleet = self.host.fleet.borrow_mut();
                let changes = fleet.on_list(objects, revision, &settings.halls, now);
                drop(fleet);
                self.host.note_fleet(&changes, "store");
            }
            ObjectKind::Evacuations => {
                let halls = objects.iter().map(|object| object.name.clone()).collect();
                self.host.on_evacuation_list(halls, revision);
            }
            ObjectKind::Hosts => {
                for object in objects {
                    self.apply_host(object);
                }
            }
        }
    }

    fn apply_changes(&self, batch: &ChangeBatch) {
        if batch.changes.is_empty() {
            return;
        }
        let now = self.host.now();
        match self.kind {
            ObjectKind::Configuration => {
                for change in batch.changes.iter().filter(|change| !change.deleted) {
                    self.apply_configuration(&change.object);
                }
            }
            ObjectKind::Servers => {
                let settings = self.host.settings();
                let mut fleet = self.host.fleet.borrow_mut();
                let changes =
                    fleet.on_changes(&batch.changes, batch.revision, &settings.halls, now);
                drop(fleet);
                self.host.note_fleet(&changes, "store");
            }
            ObjectKind::Evacuations => {
                for change in &batch.changes {
                    let hall = &change.object.name;
                    self.host
                        .on_evacuation_change(hall, change.deleted, batch.revision);
                }
            }
            ObjectKind::Hosts => {
                for change in &batch.changes {
                    if change.deleted {
                        let mut peers = self.host.peers.borrow_mut();
                        peers.on_removed(&change.object.name);
                    } else {
                        self.apply_host(&change.object);
                    }
                }
            }
        }
    }

    fn apply_configuration(&self, object: &StoredObject) {
        match &object.content {
            ObjectContent::Configuration(configuration) => {
                self.host.install_configuration(configuration, "store");
            }
            ObjectContent::Unreadable(reason) => self.host.note(
                EventCode::ConfigRejected,
                json!({ "object": object.name, "reason": reason }),
            ),
            _ => {}
        }
    }

    fn apply_host(&self, object: &StoredObject) {
        let ObjectContent::Host(record) = &object.content else {
            return;
        };
        if record.name != self.host.settings().name {
            let now = self.host.now();
            self.host.peers.borrow_mut().on_record(record, now);
        }
    }
}

/// Writes this host's own entry, by which the others meet it.
async fn register<W: WireProtocol, S: ObjectStore>(
    host: rc::Rc<EntryHost<W>>,
    store: rc::Rc<S>,
) {
    let mut pause_ms = FIRST_PAUSE_MS;
    while !host.is_leaving() {
        let record = host.record();
        let call = tokio::time::timeout(CALL_LIMIT, store.put_host(&record));
        if matches!(call.await, Ok(Ok(()))) {
            return;
        }
        let millis = host.random.borrow_mut().random_range(pause_ms / 2..=pause_ms);
        tokio::time::sleep(time::Duration::from_millis(millis)).await;
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
    }
}

/// Removes the entries of hosts that have been silent for long. One host does it for each entry:
/// the live one whose name comes first.
async fn sweep<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = host.now();
        let own = host.settings().name.clone();
        if host.is_leaving() || !host.peers.borrow().is_first_alive(&own, now) {
            continue;
        }
        let silent = host.peers.borrow().removable(now);
        for name in silent {
            let call = tokio::time::timeout(CALL_LIMIT, store.delete_host(&name, None));
            if matches!(call.await, Ok(Ok(()) | Err(StoreFault::Absent))) {
                host.peers.borrow_mut().on_removed(&name);
                host.note(EventCode::MemberDied, json!({ "peer": name }));
            }
        }
    }
}
