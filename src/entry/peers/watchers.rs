//! Selects the hosts of a region that watch the store.
//!
//! Each call of the store is paid for, so a few hosts of each region watch it and forward the
//! changes. All hosts rank the hosts of their region in the same way, and the first ones watch.
//! There is no election: when a watcher is no longer seen or cannot reach the store, the next host
//! takes over.

use std::{cmp, collections};

use super::{HostRecord, PeerTable, REMOVE_TIMEOUT_MS};
use crate::entry::hash;
use crate::entry::peer_message::WatchState;
use crate::entry::watch_schedule::WatchSlot;
use crate::timer::Moment;

/// Hosts of a region that watch the store. The second one covers changes that the first misses.
pub const WATCHERS_PER_REGION: usize = 2;
/// Maximum number of hosts of a region that call the store, however many hosts ranked before them
/// cannot reach it. During an outage of the store, the others wait for updates from these. If the
/// store refuses a third of the hosts, at least one of six is served with a probability of 0.998.
const MAX_WATCHERS_PER_REGION: usize = 6;

impl PeerTable {
    /// Whether `own` watches the store for its region: fewer than [`WATCHERS_PER_REGION`] hosts
    /// rank before it that may be alive and do not report that they cannot reach the store.
    #[must_use]
    pub fn is_watcher(&self, own: &HostRecord, now: Moment) -> bool {
        let before = self.hosts_before(own, now);
        before.able < WATCHERS_PER_REGION && before.unable + before.able < MAX_WATCHERS_PER_REGION
    }

    /// The position of `own` among the watchers of all regions that have live hosts. The regions
    /// take turns, so that watchers of one region ask at different times.
    #[must_use]
    pub fn watch_slot(&self, own: &HostRecord, now: Moment) -> WatchSlot {
        let rank = self.hosts_before(own, now).able % WATCHERS_PER_REGION;
        let mut regions = self.other_live_regions(&own.region, now);
        regions.insert(&own.region);
        let region = regions.range(..own.region.as_str()).count();
        WatchSlot {
            index: (rank * regions.len() + region) as u64,
            count: (WATCHERS_PER_REGION * regions.len()) as u64,
        }
    }

    /// Counts the hosts of the region of `own` that rank before it.
    fn hosts_before(&self, own: &HostRecord, now: Moment) -> HostsBefore {
        let timeout_ms = self.timeout_ms(&own.region);
        let before = self.in_region(&own.region).filter(|peer| {
            peer.record.watcher_rank() < own.watcher_rank()
                && peer.may_be_alive(now, timeout_ms)
                && !peer.leaving
        });
        let (unable, able): (Vec<_>, Vec<_>) =
            before.partition(|peer| peer.watch == WatchState::Blind);
        HostsBefore {
            able: able.len(),
            unable: unable.len(),
        }
    }
}

/// Hosts of a region that rank before another.
#[derive(Debug, Clone, Copy)]
struct HostsBefore {
    /// Those that do not report that they cannot reach the store.
    able: usize,
    /// Those that report it.
    unable: usize,
}

impl PeerTable {
    /// Whether `own` ranks before all live hosts of its region and thus does the region's cleanup.
    #[must_use]
    pub fn is_first_watcher(&self, own: &HostRecord, now: Moment) -> bool {
        self.first_watcher(own, now).is_none()
    }

    /// The first live host by rank in the region of `own`; `None` if that is `own`.
    #[must_use]
    pub fn first_watcher(&self, own: &HostRecord, now: Moment) -> Option<&HostRecord> {
        let timeout_ms = self.timeout_ms(&own.region);
        let before = self.peers.values().filter(|peer| {
            peer.record.region == own.region
                && peer.record.watcher_rank() < own.watcher_rank()
                && peer.is_active(now, timeout_ms)
        });
        let records = before.map(|peer| &peer.record);
        records.min_by_key(|record| record.watcher_rank())
    }

    /// The regions except `region` that have a recently seen host.
    #[must_use]
    pub fn other_live_regions(&self, region: &str, now: Moment) -> collections::BTreeSet<&str> {
        let live = self.peers.values().filter(|peer| {
            peer.record.region != region && peer.is_alive(now, REMOVE_TIMEOUT_MS) && !peer.leaving
        });
        live.map(|peer| peer.record.region.as_str()).collect()
    }
}

impl HostRecord {
    /// The order in which hosts of a region watch the store: larger hosts first, then by name hash.
    pub(super) fn watcher_rank(&self) -> (cmp::Reverse<u32>, u64) {
        (
            cmp::Reverse(self.processor_milli),
            hash::of_name(&self.name),
        )
    }
}
