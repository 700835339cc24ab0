//! Whether a host watches the store for its region or leaves that to others.

use std::{cell, collections};

use super::host::EntryHost;
use super::peer_message::WatchState;
use super::store::ObjectKind;
use super::wire::WireProtocol;

/// A started host that is no seed leaves the store to the seeds for this long, in milliseconds, and
/// asks them. When the whole system starts for the first time there are no callers yet, but many
/// hosts at once.
const FIRST_MEETING_MS: u64 = 1_500;
/// The same at any other start, with callers waiting, in milliseconds: a few tries to reach a seed.
const MEETING_MS: u64 = 350;

/// A started host that is no seed, and that another host gives or gave what it needs, leaves the store to
/// the seeds for this long, in milliseconds: longer than a question is kept, and long enough to hear of
/// those who watch. Else each of hundreds that start together lists everything for itself.
const CONTACT_MS: u64 = 1_500;

/// How a host stands to the store: whether it watches, and the kinds that it cannot see now.
#[derive(Debug, Default)]
pub struct WatchRole {
    watches: cell::Cell<bool>,
    lost: cell::RefCell<collections::HashSet<ObjectKind>>,
}

impl WatchRole {
    /// Takes the role up or leaves it; returns whether that is a change.
    pub fn set_watching(&self, watches: bool) -> bool {
        if !watches {
            self.lost.borrow_mut().clear();
        }
        self.watches.replace(watches) != watches
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
    /// Whether this host is one of those that watch the store for its region. Until it has met
    /// others, or for a short time from its start, only a seed is.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        if self.is_meeting_others() {
            let settings = self.settings();
            return settings.seeds.contains(&settings.peer_address);
        }
        let peers = self.peers.borrow();
        peers.is_watcher(&self.record(), self.now())
    }

    fn is_meeting_others(&self) -> bool {
        if self.join.has_contact() {
            return self.now().0 < CONTACT_MS;
        }
        if !self.peers.borrow().is_empty() {
            return false;
        }
        let meeting_ms = if self.settings().first_start {
            FIRST_MEETING_MS
        } else {
            MEETING_MS
        };
        self.now().0 < meeting_ms
    }
}
