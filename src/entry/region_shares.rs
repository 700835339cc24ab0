//! Which region's servers get the objects of a region's callers.
//!
//! The callers of an object mostly stand in one region, and an answer from another one comes later
//! and costs bytes between regions. So a region's objects stay on its own servers as far as those
//! have room, measured against the callers of all regions; what has no room goes to the regions
//! that have some left. All servers are then equally busy, and as little as possible goes far.
//!
//! The number of entry hosts stands for the number of callers: hosts are placed where callers are.
//! Following the work that hosts measure and tell each other was tried and measured worse, since
//! each move of a share makes servers meet objects that they don't know
//! (docs/DECISIONS-UNDER-LOAD.md).

use std::{cell, collections, rc};

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::timer::Moment;

/// The weight of a server in a region that gets none of the objects: low enough to come last,
/// above zero so that it is still ranked when nothing else is left.
const LEAST_WEIGHT: f64 = 0.02;
/// Weights are worked out again after this time, in milliseconds: a small part of the time in which
/// a drain or an evacuation must be in force.
const VALID_MS: u64 = 500;

/// The callers of a region and its servers' room for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionRoom {
    /// The region.
    pub region: String,
    /// Its entry hosts, which stand for its callers.
    pub hosts: u32,
    /// Slots of its servers.
    pub slots: u32,
}

/// What the servers of each region weigh in the rank of an object; 1 where regions don't matter.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RegionWeights {
    weights: collections::HashMap<String, f64>,
}

impl RegionWeights {
    /// The weight of servers in `region`.
    #[must_use]
    pub fn of(&self, region: &str) -> f64 {
        self.weights.get(region).copied().unwrap_or(1.0)
    }

    /// The largest weight of any region, at least 1.
    #[must_use]
    pub fn largest(&self) -> f64 {
        self.weights.values().copied().fold(1.0, f64::max)
    }

    /// Weights for the objects of the callers in region `own`.
    ///
    /// ```
    /// use ledgespool::entry::region_shares::{RegionRoom, RegionWeights};
    /// let room = |region: &str, hosts, slots| RegionRoom {
    ///     region: region.to_owned(),
    ///     hosts,
    ///     slots,
    /// };
    /// let rooms = [room("small", 3, 6), room("large", 3, 54)];
    /// // The large region has room for its own objects; the small one's go there for the most part.
    /// assert!(RegionWeights::for_region("large", &rooms).of("small") < 0.1);
    /// assert!(RegionWeights::for_region("small", &rooms).of("large") > 0.8);
    /// ```
    #[must_use]
    pub fn for_region(own: &str, rooms: &[RegionRoom]) -> Self {
        let whole = RegionTotals::of(rooms);
        let Some(own_room) = rooms.iter().find(|room| room.region == own) else {
            return Self::default();
        };
        if own_room.hosts == 0 || whole.slots <= 0.0 {
            return Self::default();
        }
        let leaving = (-whole.spare(own_room)).max(0.0) / whole.demand(own_room);
        let all_spare: f64 = rooms.iter().map(|room| whole.spare(room).max(0.0)).sum();
        let share = |room: &RegionRoom| {
            if room.region == own {
                1.0 - leaving
            } else if all_spare > 0.0 {
                leaving * whole.spare(room).max(0.0) / all_spare
            } else {
                0.0
            }
        };
        let with_servers = rooms.iter().filter(|room| room.slots > 0);
        let weights = with_servers.map(|room| {
            let weight = share(room) / whole.supply(room);
            (room.region.clone(), weight.max(LEAST_WEIGHT))
        });
        Self {
            weights: weights.collect(),
        }
    }
}

/// The hosts and slots of all regions.
#[derive(Debug, Clone, Copy)]
struct RegionTotals {
    hosts: f64,
    slots: f64,
}

impl RegionTotals {
    fn of(rooms: &[RegionRoom]) -> Self {
        Self {
            hosts: rooms.iter().map(|room| f64::from(room.hosts)).sum(),
            slots: rooms.iter().map(|room| f64::from(room.slots)).sum(),
        }
    }

    /// The part of all callers that stands in a region.
    fn demand(&self, room: &RegionRoom) -> f64 {
        f64::from(room.hosts) / self.hosts
    }

    /// The part of all slots that stands there.
    fn supply(&self, room: &RegionRoom) -> f64 {
        f64::from(room.slots) / self.slots
    }

    /// What a region has left of its fair part after its own callers; below zero where that is not
    /// enough.
    fn spare(&self, room: &RegionRoom) -> f64 {
        self.supply(room) - self.demand(room)
    }
}

/// The weights of each service, until they are worked out again.
#[derive(Debug, Default)]
pub struct WeightCache {
    entries: cell::RefCell<collections::HashMap<String, CachedWeights>>,
}

#[derive(Debug)]
struct CachedWeights {
    weights: rc::Rc<RegionWeights>,
    at: Moment,
}

impl WeightCache {
    fn get(&self, service: &str, now: Moment) -> Option<rc::Rc<RegionWeights>> {
        let entries = self.entries.borrow();
        let cached = entries.get(service)?;
        (now.since(cached.at) < VALID_MS).then(|| rc::Rc::clone(&cached.weights))
    }

    fn put(&self, service: &str, weights: &rc::Rc<RegionWeights>, now: Moment) {
        let cached = CachedWeights {
            weights: rc::Rc::clone(weights),
            at: now,
        };
        let mut entries = self.entries.borrow_mut();
        entries.insert(service.to_owned(), cached);
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// What the regions' servers weigh for objects of `service` that callers of this region ask for.
    #[must_use]
    pub fn region_weights(&self, service: &str) -> rc::Rc<RegionWeights> {
        let now = self.now();
        if let Some(weights) = self.region_weights.get(service, now) {
            return weights;
        }
        let rooms = self.region_rooms(service);
        let weights = RegionWeights::for_region(&self.settings().region, &rooms);
        let weights = rc::Rc::new(weights);
        self.region_weights.put(service, &weights, now);
        weights
    }

    fn region_rooms(&self, service: &str) -> Vec<RegionRoom> {
        let hosts = self.hosts_by_region();
        let mut slots = collections::BTreeMap::<rc::Rc<str>, u32>::new();
        let evacuated = self.evacuated_halls();
        for server in self.fleet.borrow().of_service(service) {
            if server.takes_work() && !evacuated.contains(&*server.hall) {
                *slots.entry(rc::Rc::clone(&server.region)).or_default() += server.slots;
            }
        }
        let with_hosts = hosts.keys().map(String::as_str);
        let with_servers = slots.keys().map(|region| &**region);
        let regions: collections::BTreeSet<&str> = with_hosts.chain(with_servers).collect();
        let room = |region: &str| RegionRoom {
            region: region.to_owned(),
            hosts: hosts.get(region).copied().unwrap_or(0),
            slots: slots.get(region).copied().unwrap_or(0),
        };
        regions.into_iter().map(room).collect()
    }
}
