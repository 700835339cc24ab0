//! Joins the placement by halls (`crate::placement`) to this host's settings and knowledge.

use std::{collections, rc};

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::placement::hall_places::{HallCapacity, HallPlaces};

impl<W: WireProtocol> EntryHost<W> {
    /// Whether each hall of this host's region has its own first server for an object with large
    /// answers: the settings enable it, the region has enough hosts, and hosts exchange loads. Without
    /// recent loads no host knows when to use another hall's server.
    #[must_use]
    pub fn has_hall_homes(&self) -> bool {
        let settings = self.settings();
        let Some(min_hosts) = settings.load.hall_homes_min_hosts else {
            return false;
        };
        self.exchanges_loads() && self.peers.borrow().hosts_in_region(&settings.region) >= min_hosts
    }

    /// How the halls of this host's region share its servers of `service`; `None` if each object
    /// has one first server.
    #[must_use]
    pub fn hall_places(&self, service: &str) -> Option<rc::Rc<HallPlaces>> {
        self.has_hall_homes().then(|| {
            self.hall_places.get(service, self.now(), || {
                HallPlaces::new(&self.settings().hall, &self.hall_capacities(service))
            })
        })
    }

    fn hall_capacities(&self, service: &str) -> Vec<HallCapacity> {
        let settings = self.settings();
        let mut halls = collections::BTreeMap::<String, HallCapacity>::new();
        let empty = |hall: &str| HallCapacity {
            hall: hall.to_owned(),
            hosts: 0,
            slots: 0,
        };
        let peers = self.peers.borrow();
        let others = peers
            .records()
            .map(|record| (&*record.hall, &*record.region));
        for (hall, region) in others.chain([(&*settings.hall, &*settings.region)]) {
            if region == settings.region {
                let capacity = halls.entry(hall.to_owned());
                capacity.or_insert_with(|| empty(hall)).hosts += 1;
            }
        }
        let evacuated = self.evacuated_halls();
        for server in self.fleet.borrow().of_service(service) {
            if *server.region == *settings.region
                && server.takes_work()
                && !evacuated.contains(&*server.hall)
            {
                let capacity = halls.entry(server.hall.to_string());
                let capacity = capacity.or_insert_with(|| empty(&server.hall));
                capacity.slots = capacity.slots.saturating_add(server.slots);
            }
        }
        halls.into_values().collect()
    }
}
