//! Selects the hosts of a region that watch the store.
//!
//! Each call of the store is paid for, so a few hosts of each region watch it and forward the
//! changes. All hosts rank the hosts of their region in the same way, and the first ones watch.
//! There is no election: when a watcher is no longer seen, has just started again or cannot reach the
//! store, the next host takes over.

use std::{cmp, collections};

use super::{HostRecord, PeerEntry, PeerTable, REMOVE_TIMEOUT_MS};
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
/// How long news takes after a host has found the watchers silent, in milliseconds: a tick (100), a
/// call of the store (80), the repeated announcement (135), the wait and the fetch of the others
/// (290), and some delay of a busy host.
const TAKEOVER_MS: u64 = 750;
/// Shortest silence after which a host counts as no longer watching, in milliseconds. Two heartbeats
/// may be lost.
const MIN_SILENCE_MS: u64 = 1_250;
/// Time after its start in which a host cannot tell hosts that start again from hosts that it meets
/// for the first time, in milliseconds.
const FIRST_CONTACT_MS: u64 = 2_500;
/// How long a host that has just started may take until it watches, in milliseconds. It leaves the
/// store to the seeds at first, then lists it.
const START_MS: u64 = 5_000;

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

    /// Sets the shortest time in which changes in the store must be in force on all hosts, in
    /// milliseconds. A host takes over from silent watchers early enough to keep to it.
    ///
    /// ```
    /// use ledgespool::entry::peers::PeerTable;
    /// let mut peers = PeerTable::default();
    /// peers.set_shortest_bound(2_000);
    /// ```
    pub const fn set_shortest_bound(&mut self, bound_ms: u64) {
        self.shortest_bound_ms = Some(bound_ms);
    }

    /// How long a host of `region` that watches may be silent, in milliseconds.
    pub(super) fn watch_timeout_ms(&self, region: &str) -> u64 {
        let timeout_ms = self.timeout_ms(region);
        self.shortest_bound_ms.map_or(timeout_ms, |bound_ms| {
            let silence_ms = bound_ms.saturating_sub(TAKEOVER_MS);
            silence_ms.max(MIN_SILENCE_MS).min(timeout_ms)
        })
    }

    /// The hosts of the region of `own` that rank before it, as far as they may be alive.
    fn ranked_before(&self, own: &HostRecord) -> impl Iterator<Item = &PeerEntry> {
        let own_rank = own.watcher_rank();
        let region = own.region.clone();
        self.peers.values().filter(move |peer| {
            peer.record.region == region && peer.record.watcher_rank() < own_rank && !peer.leaving
        })
    }

    /// Counts the hosts of the region of `own` that rank before it and may watch the store.
    fn hosts_before(&self, own: &HostRecord, now: Moment) -> HostsBefore {
        let timeout_ms = self.watch_timeout_ms(&own.region);
        let before = self.ranked_before(own);
        let before = before.filter(|peer| peer.may_watch(timeout_ms, now));
        let (unable, able): (Vec<_>, Vec<_>) =
            before.partition(|peer| peer.watch == WatchState::Blind);
        HostsBefore {
            able: able.len(),
            unable: unable.len(),
        }
    }

    /// What `own` knows of the hosts of its region that rank before it, for the log.
    #[must_use]
    pub fn watch_candidates(&self, own: &HostRecord, now: Moment) -> Vec<WatchCandidate<'_>> {
        let timeout_ms = self.watch_timeout_ms(&own.region);
        let mut before: Vec<&PeerEntry> = self.ranked_before(own).collect();
        before.sort_by_key(|peer| peer.record.watcher_rank());
        before.truncate(MAX_WATCHERS_PER_REGION);
        let candidates = before.into_iter().map(|peer| WatchCandidate {
            host: &peer.record.name,
            watch: peer.watch,
            silent_ms: peer.silent_ms(now),
            known_ms: now.since(peer.discovered_at),
            may_watch: peer.may_watch(timeout_ms, now),
        });
        candidates.collect()
    }
}

impl PeerEntry {
    /// Whether the host may watch the store: it was heard of recently, and has not just started
    /// again. A host that starts again has stopped watching and does not watch at once.
    fn may_watch(&self, timeout_ms: u64, now: Moment) -> bool {
        let is_starting = self.watch == WatchState::Idle
            && self.discovered_at.0 > FIRST_CONTACT_MS
            && now.since(self.discovered_at) <= START_MS;
        self.may_be_alive(now, timeout_ms) && !is_starting
    }
}

/// A host that ranks before another, as the other one sees it.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub struct WatchCandidate<'a> {
    /// The host's name.
    pub host: &'a str,
    /// What it reported last about watching the store.
    pub watch: WatchState,
    /// How long it has been silent, in milliseconds.
    pub silent_ms: u64,
    /// How long this run of it has been known, in milliseconds.
    pub known_ms: u64,
    /// Whether it counts as a host that may watch the store.
    pub may_watch: bool,
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
