//! Halls that the operator has evacuated: the list of them, and what a host does when it changes.

use std::{cell, collections};

use serde_json::json;

use super::host::EntryHost;
use super::wire::WireProtocol;
use super::{store_epoch, store_position};
use crate::event::EventCode;
use crate::timer::Moment;

/// The servers of a hall that is taken back count as cold for this long, in milliseconds, beyond
/// their service's warm-up: the word that they turned cold may still be on its way.
const WORD_MS: u64 = 2_500;

/// Halls that get no work.
#[derive(Debug, Default)]
pub struct EvacuationList {
    /// As the store shows them.
    stored: collections::BTreeSet<String>,
    /// Halls that the store showed before it came back from a copy, and until when they are held.
    held: collections::BTreeMap<String, Moment>,
    /// All of them.
    halls: collections::BTreeSet<String>,
    revision: u64,
    changed: u64,
}

impl EvacuationList {
    /// The halls.
    #[must_use]
    pub const fn halls(&self) -> &collections::BTreeSet<String> {
        &self.halls
    }

    /// The halls as the store shows them, for other hosts: each holds for itself what was lost.
    #[must_use]
    pub const fn stored(&self) -> &collections::BTreeSet<String> {
        &self.stored
    }

    /// The store's position up to which the list is current.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The store's position at the list's last change.
    #[must_use]
    pub const fn changed(&self) -> u64 {
        self.changed
    }

    fn take_over(&mut self, stored: collections::BTreeSet<String>, revision: u64, now: Moment) {
        let era_rises =
            store_position::epoch_of(revision) > store_position::epoch_of(self.revision);
        if era_rises && self.revision > 0 {
            let until = now.plus(store_epoch::EPOCH_SETTLE_MS);
            let lost = self.stored.difference(&stored);
            self.held.extend(lost.map(|hall| (hall.clone(), until)));
        }
        if era_rises || self.stored != stored {
            self.changed = revision;
        }
        self.stored = stored;
        self.revision = revision;
        self.join();
    }

    /// What is held longer than it may take to write it again is let go.
    fn on_tick(&mut self, now: Moment) {
        self.held.retain(|_, until| now < *until);
        self.join();
    }

    fn join(&mut self) {
        self.held.retain(|hall, _| !self.stored.contains(hall));
        self.halls = self.stored.clone();
        self.halls.extend(self.held.keys().cloned());
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// The halls that are to get no work.
    #[must_use]
    pub fn evacuated_halls(&self) -> cell::Ref<'_, collections::BTreeSet<String>> {
        cell::Ref::map(self.evacuations.borrow(), EvacuationList::halls)
    }

    /// The store's count up to which the evacuations are current.
    #[must_use]
    pub fn evacuation_revision(&self) -> u64 {
        self.evacuations.borrow().revision()
    }

    /// Takes over the whole list of evacuated halls.
    pub fn on_evacuation_list(&self, halls: collections::BTreeSet<String>, revision: u64) {
        if revision < self.evacuation_revision() {
            return;
        }
        let now = self.now();
        self.change_evacuations(|list| list.take_over(halls, revision, now));
    }

    /// Takes over one change.
    pub fn on_evacuation_change(&self, hall: &str, deleted: bool, revision: u64) {
        let mut halls = self.evacuations.borrow().stored().clone();
        if deleted {
            halls.remove(hall);
            self.evacuations.borrow_mut().held.remove(hall);
        } else {
            halls.insert(hall.to_owned());
        }
        self.on_evacuation_list(halls, revision);
    }

    /// Lets halls go that were held since the store lost the word of them.
    pub(super) fn on_evacuation_tick(&self) {
        if self.evacuations.borrow().held.is_empty() {
            return;
        }
        let now = self.now();
        self.change_evacuations(|list| list.on_tick(now));
    }

    /// Changes the list, and does what is due for halls that come or go by it.
    fn change_evacuations(&self, change: impl FnOnce(&mut EvacuationList)) {
        let before = self.evacuations.borrow().halls().clone();
        change(&mut self.evacuations.borrow_mut());
        let after = self.evacuations.borrow().halls().clone();
        for hall in before.difference(&after) {
            self.on_evacuation_end(hall);
        }
        let revision = self.evacuation_revision();
        for hall in after.difference(&before) {
            self.note(
                EventCode::HallEvacuated,
                json!({ "hall": hall, "revision": revision }),
            );
        }
    }

    /// Servers that got nothing for a while may have turned cold, and the word of it may still be
    /// on its way.
    fn on_evacuation_end(&self, hall: &str) {
        self.note(EventCode::HallTakenBack, json!({ "hall": hall }));
        let Some(routes) = self.routes() else { return };
        let now = self.now();
        for server in self.fleet.borrow().servers() {
            if *server.hall == *hall {
                let rule = routes.service(&server.service);
                let warm_up_ms = rule.map_or(0, |rule| rule.warm_up_ms);
                server.set_cold_until(now.plus(warm_up_ms + WORD_MS));
            }
        }
    }
}
