//! Whether a host watches the store for its region or leaves that to others.

use super::host::EntryHost;
use super::wire::WireProtocol;

/// A started host that is no seed leaves the store to the seeds for this long, in milliseconds, and
/// asks them. When the whole system starts for the first time there are no callers yet, but many
/// hosts at once.
const FIRST_MEETING_MS: u64 = 1_500;
/// The same at any other start, with callers waiting, in milliseconds: a few tries to reach a seed.
const MEETING_MS: u64 = 350;

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
