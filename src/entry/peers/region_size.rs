//! How many hosts there are, as far as this one knows or was told: limits are divided by their number, and
//! objects belong to regions by theirs.

use std::collections;

use super::PeerTable;
use crate::entry::peer_message::RegionSize;
use crate::timer::Moment;

/// The size of a region that nobody has told again for this long is not gone by any more, in milliseconds:
/// several times the time in which each host hears from those that know all.
const TOLD_SIZE_MS: u64 = 60_000;
/// The count until all hosts are known: so large that the fixed part of any limit is worth no request. Whatever number
/// were assumed, in a larger deployment all parts together would exceed the limit.
const UNLISTED_HOSTS: u32 = u32::MAX;

/// How many hosts a region has, as another host knew.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldSize {
    pub(super) hosts: u32,
    at: Moment,
}

impl PeerTable {
    /// The hosts that are known, this one included.
    #[must_use]
    pub fn known_count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// All hosts that shared limits are divided by, this one included: those that are known, or as many as others told
    /// lately. A host that has just started and has met few others must not take their parts.
    #[must_use]
    pub fn host_count(&self) -> u32 {
        if !self.listed {
            return UNLISTED_HOSTS;
        }
        let told = self.told_sizes.iter().map(|(region, told)| {
            let known = self.region_counts.get(region).copied().unwrap_or(0);
            // This host may be one of those that others count there.
            told.hosts.saturating_sub(known + 1)
        });
        let unknown = told.sum::<u32>();
        self.known_count().saturating_add(unknown)
    }

    /// How many hosts each region has: those that are known, `own` included, or as many as another host knew
    /// lately. Objects belong to regions by these sizes. When each host went by those that it knew itself, 383
    /// of 3,170 objects met two servers or more within four calm seconds; when all had the store's list, 213.
    #[must_use]
    pub fn hosts_by_region(&self, own_region: &str) -> collections::BTreeMap<String, u32> {
        let mut counts = self.region_counts.clone();
        *counts.entry(own_region.to_owned()).or_default() += 1;
        for (region, told) in &self.told_sizes {
            let count = counts.entry(region.clone()).or_default();
            *count = told.hosts.max(*count);
        }
        counts
    }

    /// Another host tells how many hosts each region has.
    pub fn on_told_sizes(&mut self, sizes: &[RegionSize], now: Moment) {
        for size in sizes {
            self.on_told_size(&size.region, size.hosts, now);
        }
    }

    pub(super) fn on_told_size(&mut self, region: &str, hosts: u32, now: Moment) {
        let told = self.told_sizes.get(region);
        let is_over = |told: &ToldSize| now.since(told.at) > TOLD_SIZE_MS;
        if told.is_none_or(|told| hosts >= told.hosts || is_over(told)) {
            let size = ToldSize { hosts, at: now };
            self.told_sizes.insert(region.to_owned(), size);
        }
    }

    /// Hosts that are known in `region`, `own` included.
    #[must_use]
    pub fn region_size(&self, region: &str) -> u32 {
        self.region_counts.get(region).copied().unwrap_or(0) + 1
    }

    /// The size of `region` that others are told: the hosts that are known there, or, by a host that has just
    /// started and met few, what it was told itself; 0 when it was told nothing. Once it knows all hosts it
    /// tells what it knows: sizes that are passed on and on would never shrink.
    #[must_use]
    pub fn told_region_size(&self, region: &str) -> u32 {
        if self.listed {
            return self.region_size(region);
        }
        match self.told_sizes.get(region) {
            Some(told) if told.hosts > 0 => told.hosts.max(self.region_size(region)),
            _ => 0,
        }
    }
}
