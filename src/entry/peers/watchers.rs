//! Which hosts of a region watch the store.
//!
//! Every call of the store is paid for, so a few hosts of each region watch it and pass on what
//! they see. All hosts put themselves into one order, and who comes first is a watcher: nobody is
//! elected, and when one falls silent or loses the store the next takes over by itself.

use std::{cmp, collections};

use super::{HostRecord, PeerTable, REMOVE_MS};
use crate::entry::hash;
use crate::entry::peer_message::WatchState;
use crate::timer::Moment;

/// Hosts of a region that watch the store. A second one sees what the first may miss.
pub const WATCHERS: usize = 2;
/// Hosts of a region that ask the store at most, however many of those before them cannot reach it:
/// when the store is away for all, the others wait for word of these. When it turns away a third of
/// the hosts, at least one of six is served with a probability of 0.998.
const MOST_WATCHERS: usize = 6;

impl PeerTable {
    /// Whether `own` is one of the hosts of its region that watch the store: fewer than
    /// [`WATCHERS`] hosts come before it that live and do not say that the store is lost to them.
    #[must_use]
    pub fn is_watcher(&self, own: &HostRecord, now: Moment) -> bool {
        let silent_ms = self.silent_ms(&own.region);
        let before = self.near(&own.region).filter(|peer| {
            peer.record.watch_order() < own.watch_order()
                && peer.may_live(now, silent_ms)
                && !peer.leaving
        });
        let (blind, sighted): (Vec<_>, Vec<_>) =
            before.partition(|peer| peer.watch == WatchState::Blind);
        sighted.len() < WATCHERS && blind.len() + sighted.len() < MOST_WATCHERS
    }
}

impl PeerTable {
    /// Whether `own` comes before all hosts of its region that live: it clears up for them.
    #[must_use]
    pub fn is_first_watcher(&self, own: &HostRecord, now: Moment) -> bool {
        self.first_watcher(own, now).is_none()
    }

    /// The first host of the region of `own` that lives; `None` if that is `own`.
    #[must_use]
    pub fn first_watcher(&self, own: &HostRecord, now: Moment) -> Option<&HostRecord> {
        let silent_ms = self.silent_ms(&own.region);
        let before = self.peers.values().filter(|peer| {
            peer.record.region == own.region
                && peer.record.watch_order() < own.watch_order()
                && peer.stays(now, silent_ms)
        });
        let records = before.map(|peer| &peer.record);
        records.min_by_key(|record| record.watch_order())
    }

    /// The regions of which a host has lately been heard, but for `region`.
    #[must_use]
    pub fn other_live_regions(&self, region: &str, now: Moment) -> collections::BTreeSet<&str> {
        let live = self.peers.values().filter(|peer| {
            peer.record.region != region && peer.is_heard(now, REMOVE_MS) && !peer.leaving
        });
        live.map(|peer| peer.record.region.as_str()).collect()
    }
}

impl HostRecord {
    /// The order in which hosts of a region watch the store: the larger first, then by a hash.
    pub(super) fn watch_order(&self) -> (cmp::Reverse<u32>, u64) {
        (
            cmp::Reverse(self.processor_milli),
            hash::of_name(&self.name),
        )
    }
}
