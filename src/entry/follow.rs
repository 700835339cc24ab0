//! Keeps what the store holds in view: list a kind, then watch it from there, and again from the
//! list when the history is gone. Errors are met with growing pauses, so that hosts that all lost
//! the store do not come back at the same instant.
//!
//! Only a few hosts of each region do this at a time, since every call is paid for; they pass on
//! what they see ([`gossip`]). When one of them loses the store, the next in order takes over.

use std::{rc, time};

use rand::Rng as _;
use serde_json::json;

use super::gossip;
use super::host::EntryHost;
use super::peer_message::{HostNews, WatchState};
use super::store::{
    ChangeBatch, ObjectContent, ObjectKind, ObjectStore, StoreFault, StoreResult, StoredObject,
};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// A call that does not wait must be answered within this time; ordinary answers take 4 ms, those
/// of a slow store some hundred.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// A watch that has fallen silent is found out when this time is over, so it bounds how old the
/// view can be; in milliseconds. Each end costs a call.
const WATCH_WAIT_MS: u64 = 5_000;
/// Hosts learn of each other by heartbeats as well, so their kind is watched with fewer calls; in
/// milliseconds.
const HOSTS_WAIT_MS: u64 = 25_000;
/// A watch's answer may be this late.
const WATCH_MARGIN: time::Duration = time::Duration::from_secs(1);
/// The pause after a first failure, in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;
/// The longest such pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 800;
/// After a change the next watch begins this much later, in which others join it: servers and
/// hosts that start together change one after the other.
const GROUP_PAUSE: time::Duration = time::Duration::from_millis(150);
/// How often a host that leaves the store to others looks whether that still holds.
const ROLE_PAUSE: time::Duration = time::Duration::from_millis(100);
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
            if !self.is_due() {
                self.away = false;
                position = None;
                tokio::time::sleep(ROLE_PAUSE).await;
                continue;
            }
            let result = match position.or_else(|| self.known_position()) {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match result {
                Ok(revision) => position = Some(revision),
                Err(StoreFault::HistoryGone) => {
                    // What was known before is out of date as well.
                    position = self.list().await.ok();
                }
                Err(_) => self.pause().await,
            }
        }
    }

    /// Whether this host watches the store for its region.
    fn is_due(&self) -> bool {
        let due = self.host.is_watcher();
        let state = self.host.watch.get();
        if due != (state != WatchState::Idle) {
            let next = if due {
                WatchState::Watching
            } else {
                WatchState::Idle
            };
            self.host.watch.set(next);
            self.host
                .note(EventCode::WatchRoleChanged, json!({ "watching": due }));
        }
        due
    }

    /// Where a watch can go on after what other hosts have told.
    fn known_position(&self) -> Option<u64> {
        let fleet = self.host.fleet.borrow();
        match self.kind {
            ObjectKind::Servers if fleet.is_listed() => Some(fleet.revision()),
            _ => None,
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
        if !batch.changes.is_empty() {
            self.apply_changes(&batch);
            // Changes come in groups; taking a group at once saves calls.
            tokio::time::sleep(GROUP_PAUSE).await;
        } else if self.kind == ObjectKind::Servers {
            self.host.fleet.borrow_mut().on_quiet(batch.revision);
        }
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
            self.host.watch.set(WatchState::Blind);
            self.host.note(
                EventCode::PlatformLost,
                json!({ "kind": self.kind.as_str(), "call": call, "result": word }),
            );
        }
        if !lost && self.away {
            self.failures = 0;
            self.host.watch.set(WatchState::Watching);
            self.host.note(
                EventCode::PlatformFound,
                json!({ "kind": self.kind.as_str() }),
            );
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
        pause_up_to(&self.host, longest).await;
    }

    fn apply_list(&self, objects: &[StoredObject], revision: u64) {
        match self.kind {
            ObjectKind::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            ObjectKind::Servers => self.host.on_server_list(objects, revision, "store"),
            ObjectKind::Evacuations => {
                let halls = objects.iter().map(|object| object.name.clone()).collect();
                self.host.on_evacuation_list(halls, revision);
            }
            ObjectKind::Hosts => {
                let records = objects.iter().filter_map(|object| match &object.content {
                    ObjectContent::Host(record) => Some(record.clone()),
                    _ => None,
                });
                let records: Vec<_> = records.collect();
                gossip::learn_hosts(&self.host, &records);
                self.host.peers.borrow_mut().on_listed();
            }
        }
    }

    fn apply_changes(&self, batch: &ChangeBatch) {
        match self.kind {
            ObjectKind::Configuration => {
                for change in batch.changes.iter().filter(|change| !change.deleted) {
                    self.apply_configuration(&change.object);
                }
                gossip::announce(&self.host);
            }
            ObjectKind::Servers => self.apply_servers(batch),
            ObjectKind::Evacuations => {
                for change in &batch.changes {
                    let hall = &change.object.name;
                    self.host
                        .on_evacuation_change(hall, change.deleted, batch.revision);
                }
                gossip::announce(&self.host);
            }
            ObjectKind::Hosts => self.apply_hosts(batch),
        }
    }

    fn apply_servers(&self, batch: &ChangeBatch) {
        let since = self.host.fleet.borrow().changed();
        let revision = Some(batch.revision);
        let now = self.host.now();
        self.host
            .on_server_changes(&batch.changes, revision, now, "store");
        gossip::pass_on_fleet(&self.host, since, batch.revision, &batch.changes);
    }

    fn apply_hosts(&self, batch: &ChangeBatch) {
        let mut news = HostNews {
            joined: Vec::new(),
            gone: Vec::new(),
        };
        for change in &batch.changes {
            if change.deleted {
                let mut peers = self.host.peers.borrow_mut();
                peers.on_removed(&change.object.name);
                news.gone.push(change.object.name.clone());
            } else if let ObjectContent::Host(record) = &change.object.content {
                news.joined.push(record.clone());
            }
        }
        gossip::learn_hosts(&self.host, &news.joined);
        gossip::pass_on_hosts(&self.host, news);
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
}

/// Waits at least half of `longest_ms` and at most all of it, at random.
async fn pause_up_to<W: WireProtocol>(host: &EntryHost<W>, longest_ms: u64) {
    let millis = host
        .random
        .borrow_mut()
        .random_range(longest_ms / 2..=longest_ms);
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

/// Writes this host's own entry, by which the others meet it.
async fn register<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    let mut pause_ms = FIRST_PAUSE_MS;
    while !host.is_leaving() {
        let record = host.record();
        let call = tokio::time::timeout(CALL_LIMIT, store.put_host(&record));
        if matches!(call.await, Ok(Ok(()))) {
            return;
        }
        pause_up_to(&host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
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
        for name in silent {
            let call = tokio::time::timeout(CALL_LIMIT, store.delete_host(&name, None));
            if matches!(call.await, Ok(Ok(()) | Err(StoreFault::Absent))) {
                host.peers.borrow_mut().on_removed(&name);
                host.note(EventCode::MemberDied, json!({ "peer": name }));
            }
        }
    }
}
