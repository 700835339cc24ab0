//! Servers by service and by start.
//!
//! **Load pattern.** Each host knows every server of every region, and each change of one is told to every host: what a
//! change costs must not grow with the number of servers, or the work of all grows with its square.

use std::{collections, rc};

use super::fleet_server::FleetServer;

/// Ways to find servers other than by identity.
#[derive(Debug, Default)]
pub(super) struct FleetIndex {
    /// Each list in the order of identities.
    by_service: collections::HashMap<rc::Rc<str>, Vec<rc::Rc<FleetServer>>>,
    /// By the hash of identity and start.
    by_start: rustc_hash::FxHashMap<u64, rc::Rc<FleetServer>>,
    indexed: u64,
}

impl FleetIndex {
    /// The servers of a service, in the order of their identities.
    pub(super) fn of_service(&self, service: &str) -> &[rc::Rc<FleetServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The server with this hash of identity and start.
    pub(super) fn of_start(&self, start_hash: u64) -> Option<&rc::Rc<FleetServer>> {
        self.by_start.get(&start_hash)
    }

    /// How often a server was put here.
    pub(super) const fn indexed(&self) -> u64 {
        self.indexed
    }

    /// Indexes all servers anew: cheaper than one by one when most have changed.
    pub(super) fn rebuild<'a>(&mut self, servers: impl Iterator<Item = &'a rc::Rc<FleetServer>>) {
        self.by_service.clear();
        self.by_start.clear();
        for server in servers {
            self.by_start
                .insert(server.start_hash, rc::Rc::clone(server));
            self.list_of(server).push(rc::Rc::clone(server));
            self.indexed += 1;
        }
        for list in self.by_service.values_mut() {
            list.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// One identity stands for another start of a server than before, or for none.
    pub(super) fn replace(
        &mut self,
        before: Option<&rc::Rc<FleetServer>>,
        after: Option<&rc::Rc<FleetServer>>,
    ) {
        let is_same = match (before, after) {
            (Some(before), Some(after)) => rc::Rc::ptr_eq(before, after),
            (None, None) => true,
            _ => false,
        };
        if is_same {
            return;
        }
        if let Some(before) = before {
            self.remove(before);
        }
        if let Some(after) = after {
            self.insert(after);
        }
    }

    fn remove(&mut self, server: &FleetServer) {
        self.by_start.remove(&server.start_hash);
        let list = self.list_of(server);
        if let Ok(place) = list.binary_search_by(|other| other.id.cmp(&server.id)) {
            list.remove(place);
        }
        if list.is_empty() {
            self.by_service.remove(&server.service);
        }
    }

    fn insert(&mut self, server: &rc::Rc<FleetServer>) {
        self.by_start
            .insert(server.start_hash, rc::Rc::clone(server));
        let list = self.list_of(server);
        let place = list.partition_point(|other| other.id < server.id);
        list.insert(place, rc::Rc::clone(server));
        self.indexed += 1;
    }

    fn list_of(&mut self, server: &FleetServer) -> &mut Vec<rc::Rc<FleetServer>> {
        let service = rc::Rc::clone(&server.service);
        self.by_service.entry(service).or_default()
    }
}
