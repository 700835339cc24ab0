//! The waiting line of a service: requests that are expected to get a unit in time.
//!
//! Heavier classes go first, then those that came first. Memory: at most [`MAX_LINE`] entries.

use std::collections;

use super::request::WaitTicket;
use crate::timer;
use crate::topology::RegionId;

/// Requests of one service that may wait in one worker.
pub(super) const MAX_LINE: usize = 1_024;

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEntry {
    pub(super) ticket: WaitTicket,
    /// Position of its class.
    pub(super) class: usize,
    pub(super) home: Option<RegionId>,
    pub(super) block_hash: u64,
    pub(super) deadline: timer::Moment,
}

/// Ordered by weight, the heaviest first, then by arrival.
type LineKey = (std::cmp::Reverse<u32>, u64);

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct WaitingLine {
    entries: collections::BTreeMap<LineKey, WaitEntry>,
}

impl WaitingLine {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Requests that would be served before one of this weight.
    pub(super) fn ahead_of(&self, weight: u32) -> usize {
        let end = (std::cmp::Reverse(weight), u64::MAX);
        self.entries.range(..=end).count()
    }

    pub(super) fn push(&mut self, weight: u32, entry: WaitEntry) {
        self.entries
            .insert((std::cmp::Reverse(weight), entry.ticket.0), entry);
    }

    pub(super) fn remove(&mut self, ticket: WaitTicket) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.ticket != ticket);
        self.entries.len() < before
    }

    /// The entries in their order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitEntry> {
        self.entries.values()
    }

    /// Takes out the entries that `is_late`.
    pub(super) fn take_late(&mut self, is_late: impl Fn(&WaitEntry) -> bool) -> Vec<WaitEntry> {
        let late: Vec<WaitEntry> = self
            .entries
            .values()
            .filter(|entry| is_late(entry))
            .copied()
            .collect();
        self.entries.retain(|_, entry| !is_late(entry));
        late
    }
}
