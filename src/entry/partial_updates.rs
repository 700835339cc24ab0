//! Tracks fleet updates that arrive in several datagrams until all fragments are received.

use std::collections;

use super::peer_message::FleetUpdate;

/// Maximum number of incomplete updates that are tracked.
const MAX_PARTIAL_UPDATES: usize = 64;

/// Fleet updates of which some fragments are still missing, oldest first.
#[derive(Debug, Default)]
pub struct PartialUpdates {
    updates: collections::VecDeque<PartialUpdate>,
}

#[derive(Debug)]
struct PartialUpdate {
    host: String,
    until: u64,
    /// Indexes of the received fragments; the network may deliver one twice.
    received: collections::BTreeSet<u32>,
}

impl PartialUpdates {
    /// Records a fragment; returns whether all fragments of its update have arrived.
    ///
    /// ```
    /// use ledgespool::entry::partial_updates::PartialUpdates;
    /// use ledgespool::entry::peer_message::FleetUpdate;
    /// let part = |part| FleetUpdate { part, parts: 2, ..FleetUpdate::default() };
    /// let mut list = PartialUpdates::default();
    /// assert!(!list.on_fragment(&part(0)) && !list.on_fragment(&part(0)));
    /// assert!(list.on_fragment(&part(1)));
    /// ```
    pub fn on_fragment(&mut self, update: &FleetUpdate) -> bool {
        if update.parts <= 1 {
            return true;
        }
        let known = self
            .updates
            .iter_mut()
            .find(|known| known.until == update.until && known.host == update.host);
        if let Some(known) = known {
            known.received.insert(update.part);
            return known.received.len() as u64 >= u64::from(update.parts);
        }
        self.updates.push_back(PartialUpdate {
            host: update.host.clone(),
            until: update.until,
            received: [update.part].into(),
        });
        if self.updates.len() > MAX_PARTIAL_UPDATES {
            self.updates.pop_front();
        }
        false
    }
}
