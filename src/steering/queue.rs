//! The queue of a service: requests that are expected to get a unit in time.
//!
//! Classes with a higher weight come first, then earlier requests. Memory: at most
//! [`MAX_QUEUE_LENGTH`] entries.

use std::collections;

use super::request::WaitTicket;
use crate::timer;
use crate::topology::RegionId;

/// Requests of one service that may wait in one worker.
pub(super) const MAX_QUEUE_LENGTH: usize = 1_024;

/// A waiting request.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitEntry {
    pub(super) ticket: WaitTicket,
    /// Index of its class.
    pub(super) class: usize,
    pub(super) home: Option<RegionId>,
    pub(super) block_hash: u64,
    pub(super) deadline: timer::Moment,
}

/// Sorts by descending weight, then by arrival.
type QueueKey = (std::cmp::Reverse<u32>, u64);

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    entries: collections::BTreeMap<QueueKey, WaitEntry>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of requests that come before a new one of this weight.
    pub(super) fn count_ahead(&self, weight: u32) -> usize {
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

    /// The entries in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitEntry> {
        self.entries.values()
    }

    /// Removes and returns the entries for which `is_late` holds.
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
