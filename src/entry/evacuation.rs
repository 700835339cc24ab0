//! Halls that the operator has evacuated: the list of them, and what a host does when it changes.

use std::{cell, collections};

use serde_json::json;

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::event::EventCode;

/// The servers of a hall that is taken back count as cold for this long, in milliseconds, beyond
/// their service's warm-up: the word that they turned cold may still be on its way.
const WORD_MS: u64 = 2_500;

/// Halls that get no work.
#[derive(Debug, Default)]
pub struct EvacuationList {
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

    /// The store's count up to which the list is current.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The store's count at the list's last change.
    #[must_use]
    pub const fn changed(&self) -> u64 {
        self.changed
    }

    fn take_over(&mut self, halls: collections::BTreeSet<String>, revision: u64) {
        if self.halls != halls {
            self.changed = revision;
        }
        self.halls = halls;
        self.revision = revision;
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
        let before = self.evacuations.borrow().halls().clone();
        for hall in before.difference(&halls) {
            self.on_evacuation_end(hall);
        }
        for hall in halls.difference(&before) {
            self.note(
                EventCode::HallEvacuated,
                json!({ "hall": hall, "revision": revision }),
            );
        }
        self.evacuations.borrow_mut().take_over(halls, revision);
    }

    /// Takes over one change.
    pub fn on_evacuation_change(&self, hall: &str, deleted: bool, revision: u64) {
        let mut halls = self.evacuations.borrow().halls().clone();
        if deleted {
            halls.remove(hall);
        } else {
            halls.insert(hall.to_owned());
        }
        self.on_evacuation_list(halls, revision);
    }

    /// Servers that got nothing for a while may have turned cold, and the word of it may still be
    /// on its way.
    fn on_evacuation_end(&self, hall: &str) {
        self.note(EventCode::HallTakenBack, json!({ "hall": hall }));
        let Some(routes) = self.routes() else { return };
        let now = self.now();
        for server in self.fleet.borrow().servers() {
            if server.hall == hall {
                let rule = routes.service(&server.service);
                let warm_up_ms = rule.map_or(0, |rule| rule.warm_up_ms);
                server.set_cold_until(now.plus(warm_up_ms + WORD_MS));
            }
        }
    }
}
