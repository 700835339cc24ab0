//! What a host does when the store comes back from an older copy.
//!
//! What hosts and servers wrote since that copy is gone from the store for a moment, and what ended since stands in it
//! again. Until it is written again a host goes on believing what it knew: a server that drained or went gets nothing, a
//! hall that was emptied stays so, a configuration never goes back. What nobody has written again after
//! [`SETTLE_MS`] is taken as the store shows it.

use serde_json::json;

use super::host::EntryHost;
use super::lapse_hold::ReturnSight;
use super::store_position;
use super::wire::WireProtocol;
use crate::event::EventCode;

/// By then operator and servers have written again what was lost, in milliseconds: a server writes each heartbeat of 1.5 s,
/// and the entry of one that is gone lapses after three.
pub(super) const SETTLE_MS: u64 = 6_000;

impl<W: WireProtocol> EntryHost<W> {
    /// The store stands at `position`, as `source` tells. When that is of a new era, entries that are missing from now on were
    /// perhaps lost, and what this host has to write is written again.
    pub(super) fn on_store_position(&self, position: u64, source: &str) {
        let era = store_position::era_of(position);
        let before = self.store_epoch.get();
        if era <= before {
            return;
        }
        self.store_epoch.set(era);
        // A host that has just started, or that never heard of eras, has lost nothing.
        if before == 0 {
            return;
        }
        let fields = json!({ "era": era, "before": before, "source": source });
        self.log_event(EventCode::StoreEraBegan, fields);
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.on_store_return(ReturnSight::InTime, position, now);
        drop(fleet);
        self.rewrite_blocked_requests();
    }
}
