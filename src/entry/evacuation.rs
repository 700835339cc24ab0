//! The list of halls that the operator has evacuated, and what a host does when it changes.

use std::{cell, collections};

use serde_json::json;

use super::host::EntryHost;
use super::wire::WireProtocol;
use super::{store_epoch, store_position};
use crate::event::EventCode;
use crate::timer::Moment;

/// After an evacuation, the hall's servers count as cold for the warm-up time of their service plus
/// this time, in milliseconds: their own reports that they became cold may not have arrived yet.
const REPORT_DELAY_MS: u64 = 2_500;

/// Halls whose servers get no requests.
#[derive(Debug, Default)]
pub struct EvacuationList {
    /// As listed in the store.
    stored: collections::BTreeSet<String>,
    /// Halls that are missing since the store was restored from an older copy, and until when they
    /// stay evacuated.
    retained: collections::BTreeMap<String, Moment>,
    /// All evacuated halls: the stored and the retained ones.
    halls: collections::BTreeSet<String>,
    revision: u64,
    changed: u64,
}

impl EvacuationList {
    /// All evacuated halls.
    #[must_use]
    pub const fn halls(&self) -> &collections::BTreeSet<String> {
        &self.halls
    }

    /// The halls listed in the store. This is what other hosts get, because each host retains lost
    /// entries itself.
    #[must_use]
    pub const fn stored(&self) -> &collections::BTreeSet<String> {
        &self.stored
    }

    /// The store position up to which the list is current.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The store position of the list's last change.
    #[must_use]
    pub const fn changed(&self) -> u64 {
        self.changed
    }

    fn apply_list(&mut self, stored: collections::BTreeSet<String>, revision: u64, now: Moment) {
        let is_new_epoch =
            store_position::epoch_of(revision) > store_position::epoch_of(self.revision);
        if is_new_epoch && self.revision > 0 {
            let until = now.plus(store_epoch::EPOCH_SETTLE_MS);
            let lost = self.stored.difference(&stored);
            self.retained.extend(lost.map(|hall| (hall.clone(), until)));
        }
        if is_new_epoch || self.stored != stored {
            self.changed = revision;
        }
        self.stored = stored;
        self.revision = revision;
        self.merge();
    }

    /// Drops retained halls when the time to restore their entries is over.
    fn on_tick(&mut self, now: Moment) {
        self.retained.retain(|_, until| now < *until);
        self.merge();
    }

    fn merge(&mut self) {
        self.retained.retain(|hall, _| !self.stored.contains(hall));
        self.halls = self.stored.clone();
        self.halls.extend(self.retained.keys().cloned());
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// The halls whose servers get no requests.
    #[must_use]
    pub fn evacuated_halls(&self) -> cell::Ref<'_, collections::BTreeSet<String>> {
        cell::Ref::map(self.evacuations.borrow(), EvacuationList::halls)
    }

    /// The store revision up to which the evacuations are current.
    #[must_use]
    pub fn evacuation_revision(&self) -> u64 {
        self.evacuations.borrow().revision()
    }

    /// Applies a complete list of evacuated halls.
    pub fn on_evacuation_list(&self, halls: collections::BTreeSet<String>, revision: u64) {
        if revision < self.evacuation_revision() {
            return;
        }
        let now = self.now();
        self.change_evacuations(|list| list.apply_list(halls, revision, now));
    }

    /// Applies one change.
    pub fn on_evacuation_change(&self, hall: &str, deleted: bool, revision: u64) {
        let mut halls = self.evacuations.borrow().stored().clone();
        if deleted {
            halls.remove(hall);
            self.evacuations.borrow_mut().retained.remove(hall);
        } else {
            halls.insert(hall.to_owned());
        }
        self.on_evacuation_list(halls, revision);
    }

    /// Drops halls that were retained after the store lost their entries.
    pub(super) fn on_evacuation_tick(&self) {
        if self.evacuations.borrow().retained.is_empty() {
            return;
        }
        let now = self.now();
        self.change_evacuations(|list| list.on_tick(now));
    }

    /// Changes the list, and handles the halls that were added or removed.
    fn change_evacuations(&self, change: impl FnOnce(&mut EvacuationList)) {
        let before = self.evacuations.borrow().halls().clone();
        change(&mut self.evacuations.borrow_mut());
        let after = self.evacuations.borrow().halls().clone();
        for hall in before.difference(&after) {
            self.on_evacuation_end(hall);
        }
        let revision = self.evacuation_revision();
        for hall in after.difference(&before) {
            self.log_event(
                EventCode::HallEvacuated,
                json!({ "hall": hall, "revision": revision }),
            );
        }
    }

    /// Marks the servers of a hall as cold after its evacuation. They may have become cold without
    /// requests, and their reports of it may not have arrived yet.
    fn on_evacuation_end(&self, hall: &str) {
        self.log_event(EventCode::HallTakenBack, json!({ "hall": hall }));
        let Some(routes) = self.routes() else { return };
        let now = self.now();
        for server in self.fleet.borrow().servers() {
            if *server.hall == *hall {
                let rule = routes.service(&server.service);
                let warm_up_ms = rule.map_or(0, |rule| rule.warm_up_ms);
                server.set_cold_until(now.plus(warm_up_ms + REPORT_DELAY_MS));
            }
        }
    }
}
