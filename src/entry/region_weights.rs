//! Distributes the objects of a region's callers over the servers of all regions.
//!
//! The callers of an object are mostly in one region, and an answer from another region takes
//! longer and costs traffic between regions. A region's objects therefore stay on its own servers
//! as far as their capacity suffices, relative to the callers of all regions; the excess goes to
//! regions with spare capacity. All servers are then equally busy, and as little as possible leaves
//! its region.
//!
//! The number of entry hosts stands for the number of callers, because hosts are placed where the
//! callers are. Using the load that hosts measure and report to each other performs worse: each
//! change of a share sends objects to servers that do not have them cached
//! (docs/DECISIONS-UNDER-LOAD.md).

use std::{cell, collections, rc};

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::timer::Moment;

/// Minimum weight of a server, for regions that get none of the objects. It is low enough to rank
/// last, and above zero so that the server is still ranked when no other is left.
const MIN_WEIGHT: f64 = 0.02;
/// How long cached weights are valid, in milliseconds: a small part of the time within which a
/// drain or an evacuation must take effect.
const CACHE_TTL_MS: u64 = 500;

/// The callers of a region and the capacity of its servers for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionCapacity {
    /// The region.
    pub region: String,
    /// Number of entry hosts, which stands for the number of callers.
    pub hosts: u32,
    /// Total slots of the region's servers.
    pub slots: u32,
}

/// The weights of each region's servers in the ranking of objects; 1 where regions do not matter.
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

    /// The regions that get a share of the objects.
    pub fn regions_with_share(&self) -> impl Iterator<Item = &str> {
        let shares = self.weights.iter();
        shares
            .filter(|(_, weight)| **weight > MIN_WEIGHT)
            .map(|(region, _)| &**region)
    }

    /// Computes the weights for objects of the callers in region `own`.
    ///
    /// ```
    /// use ledgespool::entry::region_weights::{RegionCapacity, RegionWeights};
    /// let capacity = |region: &str, hosts, slots| RegionCapacity {
    ///     region: region.to_owned(),
    ///     hosts,
    ///     slots,
    /// };
    /// let capacities = [capacity("small", 3, 6), capacity("large", 3, 54)];
    /// // The large region has capacity for its own objects; most of the small one's go there too.
    /// assert!(RegionWeights::for_region("large", &capacities).of("small") < 0.1);
    /// assert!(RegionWeights::for_region("small", &capacities).of("large") > 0.8);
    /// ```
    #[must_use]
    pub fn for_region(own: &str, capacities: &[RegionCapacity]) -> Self {
        let totals = RegionTotals::of(capacities);
        let Some(own_capacity) = capacities.iter().find(|capacity| capacity.region == own) else {
            return Self::default();
        };
        if own_capacity.hosts == 0 || totals.slots <= 0.0 {
            return Self::default();
        }
        let excess = (-totals.spare(own_capacity)).max(0.0) / totals.demand(own_capacity);
        let all_spare: f64 = capacities
            .iter()
            .map(|capacity| totals.spare(capacity).max(0.0))
            .sum();
        let share = |capacity: &RegionCapacity| {
            if capacity.region == own {
                1.0 - excess
            } else if all_spare > 0.0 {
                excess * totals.spare(capacity).max(0.0) / all_spare
            } else {
                0.0
            }
        };
        let with_servers = capacities.iter().filter(|capacity| capacity.slots > 0);
        let weights = with_servers.map(|capacity| {
            let weight = share(capacity) / totals.supply(capacity);
            (capacity.region.clone(), weight.max(MIN_WEIGHT))
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
    fn of(capacities: &[RegionCapacity]) -> Self {
        Self {
            hosts: capacities
                .iter()
                .map(|capacity| f64::from(capacity.hosts))
                .sum(),
            slots: capacities
                .iter()
                .map(|capacity| f64::from(capacity.slots))
                .sum(),
        }
    }

    /// The fraction of all callers that is in a region.
    fn demand(&self, capacity: &RegionCapacity) -> f64 {
        f64::from(capacity.hosts) / self.hosts
    }

    /// The fraction of all slots that is in a region.
    fn supply(&self, capacity: &RegionCapacity) -> f64 {
        f64::from(capacity.slots) / self.slots
    }

    /// The part of a region's supply that its own callers do not need; negative if the supply is
    /// too small.
    fn spare(&self, capacity: &RegionCapacity) -> f64 {
        self.supply(capacity) - self.demand(capacity)
    }
}

/// Values computed from hosts and servers, cached for each service.
#[derive(Debug)]
pub struct WeightCache<T> {
    entries: cell::RefCell<collections::HashMap<String, CachedWeights<T>>>,
}

impl<T> Default for WeightCache<T> {
    fn default() -> Self {
        Self {
            entries: cell::RefCell::default(),
        }
    }
}

#[derive(Debug)]
struct CachedWeights<T> {
    weights: rc::Rc<T>,
    at: Moment,
}

impl<T> WeightCache<T> {
    /// The cached value for `service`; `compute` gives one if there is none or it is too old.
    pub(super) fn get(&self, service: &str, now: Moment, compute: impl FnOnce() -> T) -> rc::Rc<T> {
        let cached = self.entries.borrow().get(service).and_then(|cached| {
            (now.since(cached.at) < CACHE_TTL_MS).then(|| rc::Rc::clone(&cached.weights))
        });
        cached.unwrap_or_else(|| {
            let weights = rc::Rc::new(compute());
            let cached = CachedWeights {
                weights: rc::Rc::clone(&weights),
                at: now,
            };
            let mut entries = self.entries.borrow_mut();
            entries.insert(service.to_owned(), cached);
            weights
        })
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// The weights of the regions' servers for objects of `service` that callers of this region
    /// request.
    #[must_use]
    pub fn region_weights(&self, service: &str) -> rc::Rc<RegionWeights> {
        self.region_weights.get(service, self.now(), || {
            let capacities = self.region_capacities(service);
            RegionWeights::for_region(&self.settings().region, &capacities)
        })
    }

    fn region_capacities(&self, service: &str) -> Vec<RegionCapacity> {
        let hosts = self.hosts_by_region();
        let mut slots = collections::BTreeMap::<rc::Rc<str>, u32>::new();
        let evacuated = self.evacuated_halls();
        for server in self.fleet.borrow().of_service(service) {
            if server.takes_work() && !evacuated.contains(&*server.hall) {
                let slots = slots.entry(rc::Rc::clone(&server.region)).or_default();
                *slots = slots.saturating_add(server.slots);
            }
        }
        let with_hosts = hosts.keys().map(String::as_str);
        let with_servers = slots.keys().map(|region| &**region);
        let regions: collections::BTreeSet<&str> = with_hosts.chain(with_servers).collect();
        let capacity = |region: &str| RegionCapacity {
            region: region.to_owned(),
            hosts: hosts.get(region).copied().unwrap_or(0),
            slots: slots.get(region).copied().unwrap_or(0),
        };
        regions.into_iter().map(capacity).collect()
    }
}
