//! Servers by service and by incarnation.
//!
//! **Load pattern.** Each host knows every server of every region, and each change of a server is
//! sent to every host. The cost of a change must not grow with the number of servers, otherwise the
//! total cost grows with its square.

use std::{collections, rc};

use super::fleet_server::FleetServer;

/// Indexes of the servers other than by identity.
#[derive(Debug, Default)]
pub(super) struct FleetIndex {
    /// Each list is sorted by identity.
    by_service: collections::HashMap<rc::Rc<str>, Vec<rc::Rc<FleetServer>>>,
    /// By incarnation hash.
    by_incarnation: rustc_hash::FxHashMap<u64, rc::Rc<FleetServer>>,
    indexed: u64,
}

impl FleetIndex {
    /// The servers of a service, sorted by identity.
    pub(super) fn of_service(&self, service: &str) -> &[rc::Rc<FleetServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The server with this incarnation hash.
    pub(super) fn of_incarnation(&self, incarnation_hash: u64) -> Option<&rc::Rc<FleetServer>> {
        self.by_incarnation.get(&incarnation_hash)
    }

    /// How often a server was added.
    pub(super) const fn indexed(&self) -> u64 {
        self.indexed
    }

    /// Rebuilds the index from all servers, which is cheaper than single updates if most servers
    /// have changed.
    pub(super) fn rebuild<'a>(&mut self, servers: impl Iterator<Item = &'a rc::Rc<FleetServer>>) {
        self.by_service.clear();
        self.by_incarnation.clear();
        for server in servers {
            self.by_incarnation
                .insert(server.incarnation_hash, rc::Rc::clone(server));
            self.list_of(server).push(rc::Rc::clone(server));
            self.indexed += 1;
        }
        for list in self.by_service.values_mut() {
            list.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// Replaces the server of one identity by another incarnation, adds it or removes it.
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
        self.by_incarnation.remove(&server.incarnation_hash);
        let list = self.list_of(server);
        if let Ok(place) = list.binary_search_by(|other| other.id.cmp(&server.id)) {
            list.remove(place);
        }
        if list.is_empty() {
            self.by_service.remove(&server.service);
        }
    }

    fn insert(&mut self, server: &rc::Rc<FleetServer>) {
        self.by_incarnation
            .insert(server.incarnation_hash, rc::Rc::clone(server));
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
