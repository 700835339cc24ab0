//! Whether a host watches the store for its region or leaves that to others.

use std::{cell, collections};

use rand::Rng as _;
use serde_json::json;
use tokio::sync::Notify;

use super::host::EntryHost;
use super::peer_message::WatchState;
use super::store::ObjectKind;
use super::wire::WireProtocol;
use crate::event::EventCode;

/// A started host that is no seed leaves the store to the seeds for this long, in milliseconds, and
/// asks them. When the whole system starts for the first time there are no callers yet, but many
/// hosts at once.
const FIRST_MEETING_MS: u64 = 1_500;
/// At any other start, with callers waiting, hosts that nobody has told begin to list the store one after
/// the other: each after this time over its part of a core, in milliseconds. A host of half a core reads
/// 1,566 servers in 90 to 140 ms and one of a tenth in 270 (logs of a return of 295 hosts), so the larger
/// ones go first.
const LIST_LEAST_MS: f64 = 30.0;
/// And a random part of this time over its part of a core, in milliseconds, so that some ten of 27 hosts
/// with half a core have begun when the first can serve the others.
const LIST_SPREAD_MS: f64 = 100.0;
/// The longest that both take, in milliseconds: a host that is alone should not wait longer.
const LONGEST_WAIT_MS: f64 = 2_000.0;
/// A started host that is no seed, and that another host gives or gave what it needs, leaves the store to
/// the seeds for this long, in milliseconds: longer than a question is kept, and long enough to hear of
/// those who watch. Else each of hundreds that start together lists everything for itself.
const CONTACT_MS: u64 = 1_500;

/// How a host stands to the store: whether it watches, and the kinds that it cannot see now.
#[derive(Debug, Default)]
pub struct WatchRole {
    watches: cell::Cell<bool>,
    /// Wakes the tasks that follow a kind, which wait while this host leaves the store to others.
    began: Notify,
    lost: cell::RefCell<collections::HashSet<ObjectKind>>,
    /// Where in the order of hosts that list the store this one stands, from 0 to 1.
    spread: cell::OnceCell<f64>,
}

impl WatchRole {
    /// Takes the role up or leaves it; returns whether that is a change.
    pub fn set_watching(&self, watches: bool) -> bool {
        if !watches {
            self.lost.borrow_mut().clear();
        }
        let is_change = self.watches.replace(watches) != watches;
        if is_change && watches {
            self.began.notify_waiters();
        }
        is_change
    }

    /// Waits until this host begins to watch the store.
    pub(super) async fn begins(&self) {
        self.began.notified().await;
    }

    /// Whether this host watches the store.
    pub(super) const fn is_watching(&self) -> bool {
        self.watches.get()
    }

    /// A number from 0 to 1 that is drawn once.
    fn spread(&self, draw: impl FnOnce() -> f64) -> f64 {
        *self.spread.get_or_init(draw)
    }

    /// A call about a kind was or was not answered; returns whether that is a change.
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

    /// What other hosts are told.
    #[must_use]
    pub fn state(&self) -> WatchState {
        match (self.watches.get(), self.lost.borrow().is_empty()) {
            (false, _) => WatchState::Idle,
            (true, true) => WatchState::Watching,
            (true, false) => WatchState::Blind,
        }
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Whether this host is one of those that watch the store for its region. Until it has a list of
    /// servers, or for a short time from its start, only a seed is, and who finds no one to ask.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let settings = self.settings();
        let is_seed = settings.seeds.contains(&settings.peer_address);
        if !self.fleet.borrow().is_listed() {
            // Who has begun to list goes on: hosts that it meets meanwhile may wait for its list.
            return is_seed || self.watch.is_watching() || self.now().0 >= self.list_after_ms();
        }
        if self.join.has_contact() && self.now().0 < CONTACT_MS {
            return is_seed;
        }
        let peers = self.peers.borrow();
        peers.is_watcher(&self.record(), self.now())
    }

    /// Takes up the watch, or leaves it to others, as is due now.
    pub(super) fn look_at_watch_role(&self) {
        let is_due = self.is_watcher();
        if self.watch.set_watching(is_due) {
            let fields = json!({ "watching": is_due });
            self.log_event(EventCode::WatchRoleChanged, fields);
        }
    }

    /// How long after its start a host without a list of servers lists them itself, in milliseconds.
    fn list_after_ms(&self) -> u64 {
        let settings = self.settings();
        if settings.first_start {
            return FIRST_MEETING_MS;
        }
        let spread = self.watch.spread(|| self.random.borrow_mut().random());
        let wait_ms = (LIST_LEAST_MS + LIST_SPREAD_MS * spread) / settings.processor_share;
        // A positive number up to the longest.
        wait_ms.min(LONGEST_WAIT_MS) as u64
    }
}
