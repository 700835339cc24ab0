//! Follows the store: lists each kind of object, then watches it from the listed revision, and
//! lists it again when the history is gone. Failed calls are retried with exponential backoff and
//! jitter, so that hosts that lost the store at the same time do not all call again at the same
//! instant.
//!
//! Only a few hosts of each region follow the store at a time, since each call is charged. They
//! forward the changes to the other hosts ([`super::gossip`]). When one of them loses the store,
//! the next in rank replaces it.

use std::{collections, rc, time};

use rand::Rng as _;
use serde_json::json;

use super::announcements;
use super::expiry_retention::ReturnObservation;
use super::host::EntryHost;
use super::retention_review::{self, WatchGap};
use super::store::{
    ChangeBatch, ObjectKind, ObjectPage, ObjectStore, PageCursor, StoreFault, StoreResult,
    StoredObject,
};
use super::store_updates;
use super::view_age::ViewSource;
use super::watch_schedule;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// Timeout of a call that does not wait for changes. Ordinary answers take 4 ms, those of a slow
/// store some hundred.
pub(super) const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// The wait of a watch that asks for an immediate answer, in milliseconds. After a failed call the
/// store's return is noticed with the first answered call rather than with the next change.
const NO_WAIT_MS: u64 = 0;
/// The label of a call that is made because a watch is late.
const CHECK_CALL: &str = "check";
/// The store's return was noticed in time if a failed call began at most this long ago, in
/// milliseconds: a call that does not wait is given up after 1 s, a pause of 0.8 s follows, and the
/// next answer may be slow. Servers missing after that may have left since the store returned.
const RETURN_OBSERVED_MS: u64 = 2_500;
/// How long the answer to a call that does not wait for changes may take.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(watch_schedule::CHECK_TIMEOUT_MS);
/// The pause after the first failure, in milliseconds; each further failure doubles it.
pub(super) const MIN_BACKOFF_MS: u64 = 100;
/// The longest pause after a failure, in milliseconds.
pub(super) const MAX_BACKOFF_MS: u64 = 800;
/// Delay of the next watch after a change, in which further changes accumulate: servers and hosts
/// that start together change one after the other.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Starts the tasks that follow the store.
pub fn spawn<W: WireProtocol, S: ObjectStore>(host: &rc::Rc<EntryHost<W>>, store: &rc::Rc<S>) {
    let has_rollouts = host.settings().bounds.canary_share.is_some();
    let is_followed = |kind: &ObjectKind| has_rollouts || *kind != ObjectKind::Rollouts;
    for kind in ObjectKind::WATCHED.into_iter().filter(is_followed) {
        let follower = KindFollower {
            host: rc::Rc::clone(host),
            store: rc::Rc::clone(store),
            kind,
            failures: 0,
            last_failed: None,
            unread_since: None,
        };
        tokio::task::spawn_local(follower.run());
    }
}

/// The answer to a watch, or to the call that replaces it.
struct WatchAnswer {
    /// The label of the answered call in logs and metrics.
    call: &'static str,
    /// When that call began.
    began: Moment,
    batch: StoreResult<ChangeBatch>,
}

/// Follows one kind of object.
struct KindFollower<W, S> {
    host: rc::Rc<EntryHost<W>>,
    store: rc::Rc<S>,
    kind: ObjectKind,
    failures: u32,
    /// When the last unanswered call began: the store was away at or after that moment.
    last_failed: Option<Moment>,
    /// The store revision after which changes of servers were not read in time, while the answer
    /// that has them is being applied.
    unread_since: Option<u64>,
}

impl<W: WireProtocol, S: ObjectStore> KindFollower<W, S> {
    async fn run(mut self) {
        let mut must_list = false;
        let mut position = None;
        loop {
            if !self.host.watch.is_watching() {
                position = None;
                self.host.watch.wait_until_watching().await;
                continue;
            }
            let known = position.or_else(|| self.known_position());
            let known = known.filter(|_| !must_list);
            let result = match known {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match result {
                Ok(revision) => {
                    position = Some(revision);
                    must_list = false;
                }
                // The state from before is out of date as well.
                Err(StoreFault::HistoryGone | StoreFault::FormerEpoch) => must_list = true,
                Err(fault) => {
                    // A list of which a part was applied is not complete. A watch with an event
                    // that is not JSON would be the same again; a list can be read around it.
                    must_list |= matches!(fault, StoreFault::Malformed(_));
                    self.back_off().await;
                }
            }
        }
    }

    /// The revision from which a watch can continue, based on updates from other hosts.
    fn known_position(&self) -> Option<u64> {
        let fleet = self.host.fleet.borrow();
        match self.kind {
            ObjectKind::Servers if fleet.is_listed() => Some(fleet.revision()),
            _ => None,
        }
    }

    async fn list(&mut self) -> StoreResult<u64> {
        let mut objects = Vec::new();
        let mut cursors = collections::HashSet::new();
        let mut after: Option<PageCursor> = None;
        let mut revision = None;
        loop {
            let page = match self.list_page(after.as_ref()).await {
                Ok(page) => page,
                Err(fault) => return Err(self.on_list_failed(&objects, fault)),
            };
            // The first page's revision: changes made while the other pages are read are watched
            // from there.
            revision = revision.or(Some(page.revision));
            objects.extend(page.objects);
            if !page.more {
                break;
            }
            // Without this check a page that does not advance would be read forever.
            let next = page.last.filter(|last| cursors.insert(last.clone()));
            if next.is_none() {
                let fault = StoreFault::Malformed("a list that does not end".to_owned());
                return Err(self.on_list_failed(&objects, fault));
            }
            after = next;
        }
        let revision = revision.unwrap_or(0);
        let before = self.shared_state();
        store_updates::on_list(&self.host, self.kind, &objects, revision);
        if self.shared_state() != before && !self.host.is_starting() {
            self.announce_list();
        }
        self.review_retention(revision);
        Ok(revision)
    }

    /// What heartbeats tell of this host's configuration and evacuations.
    fn shared_state(&self) -> (u64, u64) {
        let evacuations = self.host.evacuations.borrow();
        (self.host.configuration_version(), evacuations.changed())
    }

    /// Announces the news that a list has shown. The hosts that watched before may have ended
    /// without telling it.
    fn announce_list(&self) {
        match self.kind {
            ObjectKind::Configuration => announcements::announce_configuration(&self.host),
            _ => announcements::announce(&self.host),
        }
        announcements::announce_found_changes(&self.host);
    }

    async fn list_page(&mut self, after: Option<&PageCursor>) -> StoreResult<ObjectPage> {
        let began = self.host.now();
        let page = with_timeout(self.store.list(self.kind, after)).await;
        self.record_call("list", began, page.as_ref().map(|page| page.revision));
        page
    }

    /// Handles a list that failed after `objects` were read. If no call can read the rest, these
    /// servers are used: a host that has no other could serve nobody for as long as the rest cannot
    /// be read.
    fn on_list_failed(&self, objects: &[StoredObject], fault: StoreFault) -> StoreFault {
        if let StoreFault::Malformed(reason) = &fault {
            let fields = json!({
                "kind": self.kind.as_str(),
                "objects": objects.len(),
                "reason": reason,
            });
            self.host.log_event(EventCode::ListIncomplete, fields);
            store_updates::on_incomplete_list(&self.host, self.kind, objects);
        }
        fault
    }

    async fn watch(&mut self, revision: u64) -> StoreResult<u64> {
        let began = self.host.now();
        self.host.view_ages.on_watch_begun(self.kind, began);
        let WatchAnswer { call, began, batch } = if self.host.watch.is_lost(self.kind) {
            self.ask(revision, "watch").await
        } else {
            self.wait_for_change(revision, began).await
        };
        self.host.view_ages.on_watch_ended(self.kind);
        self.record_call(call, began, batch.as_ref().map(|batch| batch.revision));
        let batch = batch?;
        if !batch.changes.is_empty() {
            store_updates::on_changes(&self.host, self.kind, &batch);
            if call == CHECK_CALL {
                announcements::announce_found_changes(&self.host);
            }
            self.review_retention(batch.revision);
            // Changes come in groups; receiving a group at once saves calls.
            tokio::time::sleep(BATCH_PAUSE).await;
        } else if self.kind == ObjectKind::Servers {
            self.unread_since = None;
            self.host.fleet.borrow_mut().on_unchanged(batch.revision);
        }
        Ok(batch.revision.max(revision))
    }

    /// Waits for a change. A watch that is not answered when its wait is over, or that another
    /// host's newer state shows to be late, may never be answered: the store is asked again, and
    /// the first answer counts.
    async fn wait_for_change(&self, revision: u64, began: Moment) -> WatchAnswer {
        let wait_ms = self.host.watch_wait_ms(self.kind);
        let mut watch = std::pin::pin!(self.store.watch(self.kind, revision, wait_ms));
        let due = time::Duration::from_millis(wait_ms + watch_schedule::MAX_LATENESS_MS);
        let of_watch = |batch| WatchAnswer {
            call: "watch",
            began,
            batch,
        };
        tokio::select! {
            batch = watch.as_mut() => return of_watch(batch),
            () = tokio::time::sleep(due) => {}
            () = self.host.watch.until_outdated(self.kind) => {}
        }
        let answer = tokio::select! {
            Ok(batch) = watch => of_watch(Ok(batch)),
            answer = self.ask(revision, CHECK_CALL) => answer,
        };
        self.log_overdue(began, &answer);
        answer
    }

    /// Asks for the changes so far without waiting for one.
    async fn ask(&self, revision: u64, call: &'static str) -> WatchAnswer {
        let began = self.host.now();
        let asked = self.store.watch(self.kind, revision, NO_WAIT_MS);
        let batch = tokio::time::timeout(CHECK_TIMEOUT, asked).await;
        WatchAnswer {
            call,
            began,
            batch: batch.unwrap_or(Err(StoreFault::Unreachable)),
        }
    }

    fn log_overdue(&self, began: Moment, answer: &WatchAnswer) {
        let batch = answer.batch.as_ref();
        let fields = json!({
            "kind": self.kind.as_str(),
            "watch_ms": self.host.now().since(began),
            "answered": answer.call,
            "result": result_label(batch.map(|batch| batch.revision)),
            "changes": batch.map_or(0, |batch| batch.changes.len()),
        });
        self.host.log_event(EventCode::WatchOverdue, fields);
    }

    /// Counts a call that began at `began`, and logs when the store is lost or found again.
    /// `result` is the store revision in the answer.
    fn record_call(&mut self, call: &'static str, began: Moment, result: Result<u64, &StoreFault>) {
        let label = result_label(result);
        if let Some(text) = self.store.take_unreadable_epoch() {
            self.host
                .log_event(EventCode::StoreEraUnreadable, json!({ "era": text }));
        }
        self.host
            .metrics
            .borrow_mut()
            .on_store_call(self.kind, call, label);
        match result {
            Ok(revision) => {
                if self.kind == ObjectKind::Servers {
                    self.host.watch.on_servers_read(revision);
                }
                self.on_answered(call, began, Some(revision));
                self.host.on_store_position(revision, "store");
            }
            Err(StoreFault::Conflict | StoreFault::Absent) => self.on_answered(call, began, None),
            // The following list shows whether the store is there.
            Err(StoreFault::HistoryGone | StoreFault::FormerEpoch) => {
                if self.kind == ObjectKind::Servers {
                    self.host.watch.on_servers_interrupted();
                }
            }
            Err(StoreFault::Unreachable | StoreFault::Refused(_) | StoreFault::Malformed(_)) => {
                if self.host.watch.on_call(self.kind, true) {
                    self.on_lost(call, label);
                }
                self.last_failed = Some(began);
            }
        }
    }

    fn on_lost(&self, call: &'static str, label: &'static str) {
        let fields = json!({ "kind": self.kind.as_str(), "call": call, "result": label });
        self.host.log_event(EventCode::PlatformLost, fields);
    }

    fn on_answered(&mut self, call: &'static str, began: Moment, revision: Option<u64>) {
        let now = self.host.now();
        let ages = &self.host.view_ages;
        ages.on_confirmed(self.kind, ViewSource::Store, now);
        if self.host.watch.on_call(self.kind, false) {
            self.on_found(call, began, revision);
        }
    }

    fn on_found(&mut self, call: &'static str, began: Moment, revision: Option<u64>) {
        self.failures = 0;
        let since = |moment| self.host.now().since(moment);
        let fields = json!({
            "kind": self.kind.as_str(),
            "call": call,
            "call_ms": since(began),
            "last_failed_ms": self.last_failed.map(since),
        });
        self.host.log_event(EventCode::PlatformFound, fields);
        if let (ObjectKind::Servers, Some(revision)) = (self.kind, revision) {
            let now = self.host.now();
            let observation = self.return_observation(now);
            let mut fleet = self.host.fleet.borrow_mut();
            self.unread_since = Some(fleet.revision());
            fleet.on_store_return(observation, revision, now);
        }
    }

    /// Checks servers that are retained because of the store's return, once the first answer, which
    /// is current up to the store revision `until`, was applied.
    fn review_retention(&mut self, until: u64) {
        if let Some(since) = self.unread_since.take() {
            retention_review::spawn(&self.host, WatchGap { since, until });
        }
    }

    fn return_observation(&self, now: Moment) -> ReturnObservation {
        match self.last_failed {
            Some(failed) if now.since(failed) <= RETURN_OBSERVED_MS => ReturnObservation::InTime,
            _ => ReturnObservation::Late,
        }
    }

    async fn back_off(&mut self) {
        let doubled = MIN_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        let longest = doubled.min(MAX_BACKOFF_MS);
        sleep_with_jitter(&self.host, longest).await;
    }
}

/// The label of a call's result in logs and metrics.
const fn result_label(result: Result<u64, &StoreFault>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreFault::Unreachable) => "unreachable",
        Err(StoreFault::Refused(_)) => "refused",
        Err(StoreFault::HistoryGone) => "history_gone",
        Err(StoreFault::FormerEpoch) => "former_era",
        Err(_) => "malformed",
    }
}

/// Sleeps for a random time between half of `longest_ms` and all of it.
pub(super) async fn sleep_with_jitter<W: WireProtocol>(host: &EntryHost<W>, longest_ms: u64) {
    let millis = host
        .random
        .borrow_mut()
        .random_range(longest_ms / 2..=longest_ms);
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

/// Runs a store call with the timeout [`CALL_TIMEOUT`].
pub(super) async fn with_timeout<T>(call: impl Future<Output = StoreResult<T>>) -> StoreResult<T> {
    let answered = tokio::time::timeout(CALL_TIMEOUT, call).await;
    answered.unwrap_or(Err(StoreFault::Unreachable))
}
