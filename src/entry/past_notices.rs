//! What servers told of themselves before their entries went: one that comes back is of the same start.

use super::server_notice::ServerNotice;
use crate::timer::Moment;

/// A server that comes back later than this after its entry went has ended meanwhile, in milliseconds.
const KEPT_MS: u64 = 600_000;

/// Notices of servers that are gone, by the hashes of identity and start.
#[derive(Debug, Default)]
pub(super) struct PastNotices {
    notices: rustc_hash::FxHashMap<u64, PastNotice>,
}

#[derive(Debug, Clone, Copy)]
struct PastNotice {
    notice: ServerNotice,
    since: Moment,
}

impl PastNotices {
    /// A server is gone.
    pub(super) fn put(&mut self, incarnation_hash: u64, notice: ServerNotice, now: Moment) {
        if notice.says_something() {
            let past = PastNotice { notice, since: now };
            self.notices.insert(incarnation_hash, past);
        }
    }

    /// What a server told that is there, or there again.
    pub(super) fn take(&mut self, incarnation_hash: u64) -> Option<ServerNotice> {
        let past = self.notices.remove(&incarnation_hash);
        past.map(|past| past.notice)
    }

    /// Forgets those that are gone for long.
    pub(super) fn on_tick(&mut self, now: Moment) {
        self.notices
            .retain(|_, past| now.since(past.since) < KEPT_MS);
    }
}
