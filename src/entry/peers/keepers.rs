//! Which hosts keep an entry in the store, and how hosts are forgotten.
//!
//! **Load pattern.** Each call of the store is paid for, and hundreds of hosts that return at once would
//! each make, find, read and replace an entry. The store's entries are there only so that a host that
//! knows nobody finds someone. So a few hosts of each hall keep one; all others are known by what hosts
//! tell each other.

use std::collections;

use super::{HostRecord, PeerTable, REMOVE_MS};
use crate::entry::peer_message::GoneHost;
use crate::timer::Moment;

/// Hosts of a hall that keep an entry: two may be lost at the same moment, and one is still found. When a
/// whole hall or region is lost, the entries of the others are there; when all hosts are, they return to
/// the same addresses, and their entries are still there.
pub const ENTRY_KEEPERS: usize = 3;
/// A host of another region that was not heard for this long is forgotten, in milliseconds. Each
/// heartbeat goes to two hosts of other regions, so in a fleet of 470 hosts one is heard of every 80 s.
const FAR_REMOVE_MS: u64 = 600_000;

/// What is known of a host's entry in the store.
#[derive(Debug)]
pub(super) struct HostEntry {
    run: u64,
    region: String,
}

impl PeerTable {
    /// Whether `own` is one of the hosts of its hall that keep an entry in the store.
    #[must_use]
    pub fn keeps_entry(&self, own: &HostRecord, now: Moment) -> bool {
        let silent_ms = self.silent_ms(&own.region);
        let before = self.near(&own.region).filter(|peer| {
            peer.record.hall == own.hall
                && peer.record.watch_order() < own.watch_order()
                && peer.stays(now, silent_ms)
        });
        before.count() < ENTRY_KEEPERS
    }

    /// Where hosts of `own`'s hall that probably keep an entry can be asked: the first by size and name.
    #[must_use]
    pub fn hall_keepers(&self, own: &HostRecord) -> Vec<std::net::SocketAddr> {
        let near = self.near(&own.region).map(|peer| &peer.record);
        let mut hall: Vec<_> = near.filter(|record| record.hall == own.hall).collect();
        hall.sort_by_key(|record| record.watch_order());
        let keepers = hall.iter().take(ENTRY_KEEPERS);
        keepers.map(|record| record.peer_address).collect()
    }

    /// Forgets the hosts that were silent for long, and returns those of `region`.
    pub fn forget_silent(&mut self, region: &str, now: Moment) -> Vec<GoneHost> {
        let silent_for = |peer: &super::PeerEntry| now.since(peer.heard.unwrap_or(peer.met));
        let is_over = |peer: &super::PeerEntry| {
            let is_near = peer.record.region == region;
            silent_for(peer) > if is_near { REMOVE_MS } else { FAR_REMOVE_MS }
        };
        let over = self.peers.values().filter(|peer| is_over(peer));
        let over: Vec<HostRecord> = over.map(|peer| peer.record.clone()).collect();
        for record in &over {
            self.on_removed(&record.name, record.run);
        }
        let near = over.into_iter().filter(|record| record.region == region);
        near.map(|record| GoneHost {
            name: record.name,
            run: record.run,
        })
        .collect()
    }

    /// The entries of hosts as the store has just listed them. A hall with fewer than it may keep has no other
    /// hosts; if that is so of each, all hosts are known. No entries at all prove nothing before another host is known:
    /// those that start together write theirs later.
    pub fn on_entries(&mut self, records: &[HostRecord]) {
        self.entries_read = true;
        self.entries.clear();
        let mut halls = collections::BTreeMap::<&str, usize>::new();
        for record in records {
            self.on_entry(record);
            *halls.entry(&record.hall).or_default() += 1;
        }
        let are_few = halls.values().all(|count| *count < ENTRY_KEEPERS);
        if are_few && !(records.is_empty() && self.may_have_peers && self.is_empty()) {
            self.on_listed();
        }
    }

    /// The entry of this run of a host stands in the store.
    pub fn on_entry(&mut self, record: &HostRecord) {
        let entry = HostEntry {
            run: record.run,
            region: record.region.clone(),
        };
        self.entries.insert(record.name.clone(), entry);
    }

    /// The entry of a host's run is gone from the store.
    pub fn on_entry_gone(&mut self, name: &str, run: u64) {
        if self.entries.get(name).is_some_and(|entry| entry.run <= run) {
            self.entries.remove(name);
        }
    }

    /// The entries of `own`'s region, as far as this host has seen them in the store, whose hosts were
    /// silent for so long that they are forgotten.
    #[must_use]
    pub fn abandoned_entries(&self, own: &HostRecord) -> Vec<GoneHost> {
        let near = self.entries.iter();
        let near = near.filter(|(name, entry)| entry.region == own.region && **name != own.name);
        let abandoned = near.filter(|(name, entry)| self.run_of(name) < entry.run);
        abandoned
            .map(|(name, entry)| GoneHost {
                name: name.clone(),
                run: entry.run,
            })
            .collect()
    }
}
