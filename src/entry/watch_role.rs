//! Decides whether a host watches the store for its region or leaves that to others.

use std::{cell, collections};

use rand::Rng as _;
use serde_json::json;
use tokio::sync::Notify;

use super::host::EntryHost;
use super::peer_message::WatchState;
use super::store::ObjectKind;
use super::watch_schedule::WatchLimits;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer;

/// On the first start of the whole system, hosts that are not seeds leave the store to the seeds
/// for this long and ask them, in milliseconds. There are no callers yet, but many hosts start at
/// once.
const FIRST_START_DELAY_MS: u64 = 1_500;
/// On any other start callers are waiting, so hosts that have no list of servers begin to list the
/// store one after the other. Each waits this time divided by its share of a core, in milliseconds.
/// A host with half a core reads 1,566 servers in 90 to 140 ms and one with a tenth of a core in
/// 270 ms, so the larger hosts begin first.
const MIN_LIST_DELAY_MS: f64 = 30.0;
/// The range of the random delay that is added, in milliseconds, also divided by the share of a
/// core. Of 27 hosts with half a core, about ten have begun when the first one can serve the
/// others.
const LIST_JITTER_MS: f64 = 100.0;
/// The upper bound of the whole delay, in milliseconds: a host without any others should not wait
/// longer.
const MAX_LIST_DELAY_MS: f64 = 2_000.0;
/// How long after its start a host that is not a seed leaves the store to the seeds if it has
/// reached another host, in milliseconds. It is longer than a join request is held, and long enough
/// to learn which hosts watch. Without it, each of hundreds of hosts that start together lists
/// everything itself.
const SEEDS_ONLY_MS: u64 = 1_500;

/// A span of the store's history that a host has read without interruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedSpan {
    /// The store revision of the first answer.
    pub since: u64,
    /// The store revision of the last answer.
    pub until: u64,
}

/// Signals for the kinds whose changes heartbeats announce.
#[derive(Debug, Default)]
struct OutdatedSignals {
    configuration: Notify,
    servers: Notify,
    evacuations: Notify,
}

impl OutdatedSignals {
    const fn of(&self, kind: ObjectKind) -> Option<&Notify> {
        match kind {
            ObjectKind::Configuration => Some(&self.configuration),
            ObjectKind::Servers => Some(&self.servers),
            ObjectKind::Evacuations => Some(&self.evacuations),
            ObjectKind::Rollouts | ObjectKind::Hosts | ObjectKind::Quarantine => None,
        }
    }
}

/// Whether a host watches the store, and the kinds that it cannot read now.
#[derive(Debug, Default)]
pub struct WatchRole {
    is_watching: cell::Cell<bool>,
    /// Wakes the tasks that follow a kind; they wait while this host leaves the store to others.
    began: Notify,
    lost: cell::RefCell<collections::HashSet<ObjectKind>>,
    /// What this host has read of the servers' history since the last failed call.
    servers_followed: cell::Cell<Option<FollowedSpan>>,
    /// Wakes watches that another host's newer state shows to be late.
    outdated: OutdatedSignals,
    /// The position of this host in the random order in which hosts list the store, from 0 to 1.
    jitter: cell::OnceCell<f64>,
}

impl WatchRole {
    /// Starts or stops watching; returns whether that is a change.
    pub fn set_watching(&self, is_watching: bool) -> bool {
        if !is_watching {
            self.lost.borrow_mut().clear();
        }
        let is_change = self.is_watching.replace(is_watching) != is_watching;
        if is_change {
            self.servers_followed.set(None);
        }
        if is_change && is_watching {
            self.began.notify_waiters();
        }
        is_change
    }

    /// Waits until this host begins to watch the store.
    pub(super) async fn wait_until_watching(&self) {
        self.began.notified().await;
    }

    /// Whether this host watches the store.
    pub(super) const fn is_watching(&self) -> bool {
        self.is_watching.get()
    }

    /// Another host has read a change of `kind` that this host's watch has not reported.
    pub(super) fn on_outdated(&self, kind: ObjectKind) {
        if let Some(signal) = self.outdated.of(kind) {
            // Only a watch that waits now is late.
            signal.notify_waiters();
        }
    }

    /// Waits until another host shows that this host's view of `kind` is outdated.
    pub(super) async fn until_outdated(&self, kind: ObjectKind) {
        match self.outdated.of(kind) {
            Some(signal) => signal.notified().await,
            None => std::future::pending().await,
        }
    }

    /// A number from 0 to 1 that is sampled once.
    fn jitter(&self, sample: impl FnOnce() -> f64) -> f64 {
        *self.jitter.get_or_init(sample)
    }

    /// Records whether a call about a kind was lost; returns whether that is a change.
    ///
    /// ```
    /// use ledgespool::entry::peer_message::WatchState;
    /// use ledgespool::entry::store::ObjectKind;
    /// use ledgespool::entry::watch_role::WatchRole;
    /// let role = WatchRole::default();
    /// role.set_watching(true);
    /// assert!(role.on_call(ObjectKind::Servers, true));
    /// role.on_call(ObjectKind::Hosts, false);
    /// assert_eq!(role.state(), WatchState::Blind, "one kind is still lost");
    /// ```
    pub fn on_call(&self, kind: ObjectKind, lost: bool) -> bool {
        if lost && kind == ObjectKind::Servers {
            self.on_servers_interrupted();
        }
        let mut kinds = self.lost.borrow_mut();
        if lost {
            kinds.insert(kind)
        } else {
            kinds.remove(&kind)
        }
    }

    /// Whether the last call about a kind was not answered.
    #[must_use]
    pub fn is_lost(&self, kind: ObjectKind) -> bool {
        self.lost.borrow().contains(&kind)
    }

    /// A call about servers was answered, current up to the store revision `revision`.
    pub fn on_servers_read(&self, revision: u64) {
        let followed = self.servers_followed.get();
        let since = followed.map_or(revision, |followed| followed.since);
        let until = revision;
        self.servers_followed
            .set(Some(FollowedSpan { since, until }));
    }

    /// Changes of servers may have been missed.
    pub fn on_servers_interrupted(&self) {
        self.servers_followed.set(None);
    }

    /// What this host has read of the servers' history without interruption; `None` if it does not
    /// watch the servers now.
    ///
    /// ```
    /// use ledgespool::entry::store::ObjectKind;
    /// use ledgespool::entry::watch_role::{FollowedSpan, WatchRole};
    /// let role = WatchRole::default();
    /// role.set_watching(true);
    /// role.on_servers_read(5);
    /// role.on_servers_read(8);
    /// assert_eq!(role.servers_followed(), Some(FollowedSpan { since: 5, until: 8 }));
    /// role.on_call(ObjectKind::Servers, true);
    /// assert_eq!(role.servers_followed(), None);
    /// ```
    #[must_use]
    pub fn servers_followed(&self) -> Option<FollowedSpan> {
        let followed = self.servers_followed.get();
        followed.filter(|_| self.is_watching.get())
    }

    /// The state that is sent to other hosts.
    #[must_use]
    pub fn state(&self) -> WatchState {
        match (self.is_watching.get(), self.lost.borrow().is_empty()) {
            (false, _) => WatchState::Idle,
            (true, true) => WatchState::Watching,
            (true, false) => WatchState::Blind,
        }
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Whether this host is one of those that watch the store for its region. Until it has a list
    /// of servers, or for a short time after its start, only seeds watch, and hosts that find no
    /// other host to ask.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let settings = self.settings();
        let is_seed = settings.seeds.contains(&settings.peer_address);
        if !self.fleet.borrow().is_listed() {
            // A host that has begun to list continues: hosts that join meanwhile may wait for its
            // list.
            return is_seed || self.watch.is_watching() || self.now().0 >= self.list_delay_ms();
        }
        if self.join.has_reached_peer() && self.now().0 < SEEDS_ONLY_MS {
            return is_seed;
        }
        let peers = self.peers.borrow();
        peers.is_watcher(&self.record(), self.now())
    }

    /// How long a watch of `kind` waits that begins now, in milliseconds.
    pub(super) fn watch_wait_ms(&self, kind: ObjectKind) -> u64 {
        let slot = self.peers.borrow().watch_slot(&self.record(), self.now());
        let limits = WatchLimits::of_kind(kind, &self.settings().bounds);
        slot.wait_until_slot_ms(slot.interval_ms(limits), timer::unix_millis())
    }

    /// Starts or stops watching the store, as this host's role requires now.
    pub(super) fn update_watch_role(&self) {
        let is_due = self.is_watcher();
        if self.watch.set_watching(is_due) {
            let peers = self.peers.borrow();
            let before = peers.watch_candidates(&self.record(), self.now());
            let fields = json!({ "watching": is_due, "before": before });
            self.log_event(EventCode::WatchRoleChanged, fields);
        }
    }

    /// How long after its start a host without a list of servers lists them itself, in
    /// milliseconds.
    fn list_delay_ms(&self) -> u64 {
        let settings = self.settings();
        if settings.first_start {
            return FIRST_START_DELAY_MS;
        }
        let jitter = self.watch.jitter(|| self.random.borrow_mut().random());
        let delay_ms = (MIN_LIST_DELAY_MS + LIST_JITTER_MS * jitter) / settings.processor_share;
        // The value is positive and bounded.
        delay_ms.min(MAX_LIST_DELAY_MS) as u64
    }
}
