//! Retains the notices of servers whose store entries are gone. If the same incarnation returns,
//! its notice applies again.

use super::server_notice::ServerNotice;
use crate::timer::Moment;

/// How long notices are retained, in milliseconds. The server's process is assumed to have ended by
/// then.
const RETENTION_MS: u64 = 600_000;

/// Notices of servers that are gone, by the hash of server id and start time.
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
    /// Retains the notice of a server that is gone.
    pub(super) fn put(&mut self, incarnation_hash: u64, notice: ServerNotice, now: Moment) {
        if notice.has_announcement() {
            let past = PastNotice { notice, since: now };
            self.notices.insert(incarnation_hash, past);
        }
    }

    /// Takes the retained notice of a server that has returned.
    pub(super) fn take(&mut self, incarnation_hash: u64) -> Option<ServerNotice> {
        let past = self.notices.remove(&incarnation_hash);
        past.map(|past| past.notice)
    }

    /// Removes expired notices.
    pub(super) fn on_tick(&mut self, now: Moment) {
        self.notices
            .retain(|_, past| now.since(past.since) < RETENTION_MS);
    }
}
