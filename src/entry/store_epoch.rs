//! Handles a store that returns from an older backup and starts a new epoch.
//!
//! Entries that hosts and servers wrote after the backup are then missing for a moment, and entries
//! removed since are there again. Until they are written again a host relies on what it knew: a
//! server that drained or was removed gets no requests, an evacuated hall stays evacuated, and the
//! configuration version never goes back. After [`EPOCH_SETTLE_MS`] the state in the store is accepted.

use serde_json::json;

use super::expiry_retention::ReturnObservation;
use super::host::EntryHost;
use super::store_position;
use super::wire::WireProtocol;
use crate::event::EventCode;

/// By then the operator and the servers have rewritten what was lost, in milliseconds: a server
/// writes its entry with each heartbeat, every 1.5 s, and the entry of a removed server expires
/// after 3 s.
pub(super) const EPOCH_SETTLE_MS: u64 = 6_000;

impl<W: WireProtocol> EntryHost<W> {
    /// Processes the store position `position`, reported by `source`. If it belongs to a new epoch,
    /// entries that go missing from now on may have been lost, and this host writes its blocked
    /// requests again.
    pub(super) fn on_store_position(&self, position: u64, source: &str) {
        let epoch = store_position::epoch_of(position);
        let before = self.store_epoch.get();
        if epoch <= before {
            return;
        }
        self.store_epoch.set(epoch);
        // A host that has just started, or that has not seen an epoch before, has lost nothing.
        if before == 0 {
            return;
        }
        let fields = json!({ "era": epoch, "before": before, "source": source });
        self.log_event(EventCode::StoreEraBegan, fields);
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.on_store_return(ReturnObservation::Undated, position, now);
        drop(fleet);
        self.rewrite_blocked_requests();
    }
}
