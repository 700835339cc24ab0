//! How the halls of a region share its servers.
//!
//! **Load pattern.** The callers of an object are in all halls of one region. With one first server
//! for the whole region, half of its answers cross halls, and while that server is full no other
//! has the object cached. With a first server in each hall most answers stay in their hall, and
//! each of the first servers is an alternative to the others. The halls of a region have different
//! numbers of callers and of slots; the objects of a hall whose slots do not suffice go to the
//! region's other halls.

/// Requests that a hall's servers take from the hall's own callers, as a multiple of their share of
/// the region's requests. Below it all objects stay in their hall, so that a few servers that come
/// or go do not move objects, which would be cache misses elsewhere; the requests that find their
/// server full are answered by the other halls' first servers.
const MAX_OWN_LOAD: f64 = 1.5;
/// Minimum weight of a server, above zero so that it is still ranked when no other is left.
const MIN_WEIGHT: f64 = 0.02;
/// Maximum number of first servers of an object. Servers cache a few dozen objects, and each
/// further one costs another cache miss.
const MAX_PLACES: usize = 2;

/// The callers of a hall and the capacity of its servers for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallCapacity {
    /// The hall.
    pub hall: String,
    /// Number of entry hosts, which stands for the number of callers.
    pub hosts: u32,
    /// Total slots of the hall's servers.
    pub slots: u32,
}

/// A hall with callers, and the weights of its region's servers in the ranking of their objects.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHall {
    hall: String,
    own_weight: f64,
    other_weight: f64,
}

impl CallerHall {
    fn new(hall: &HallCapacity, all: &HallTotals) -> Self {
        let demand = f64::from(hall.hosts) / all.hosts;
        let supply = f64::from(hall.slots) / all.slots;
        let own_share = (MAX_OWN_LOAD * supply / demand).min(1.0);
        let weight = |share: f64, supply: f64| {
            if supply > 0.0 {
                (share / supply).max(MIN_WEIGHT)
            } else {
                MIN_WEIGHT
            }
        };
        Self {
            hall: hall.hall.clone(),
            own_weight: weight(own_share, supply),
            other_weight: weight(1.0 - own_share, 1.0 - supply),
        }
    }

    /// The weight of servers in `hall`.
    #[must_use]
    pub fn weight_of(&self, hall: &str) -> f64 {
        if *self.hall == *hall {
            self.own_weight
        } else {
            self.other_weight
        }
    }

    /// The largest weight of any hall.
    #[must_use]
    pub const fn largest_weight(&self) -> f64 {
        self.own_weight.max(self.other_weight)
    }
}

/// The hosts and slots of all halls of a region.
#[derive(Debug, Clone, Copy)]
struct HallTotals {
    hosts: f64,
    slots: f64,
}

/// The halls of a region from the point of view of a host in one of them.
#[derive(Debug, Clone, PartialEq)]
pub struct HallPlaces {
    /// The host's own hall first, then the others in an order that all hosts agree on.
    halls: Vec<CallerHall>,
    /// Position of the host's own hall in the agreed order.
    turn: usize,
}

impl HallPlaces {
    /// Computes the places for a host in the hall `own`, from all halls of its region.
    ///
    /// ```
    /// use ledgespool::placement::hall_places::{HallCapacity, HallPlaces};
    /// let capacity = |hall: &str, slots| HallCapacity { hall: hall.to_owned(), hosts: 5, slots };
    /// let places = HallPlaces::new("a", &[capacity("a", 10), capacity("b", 90)]);
    /// let [own, other] = places.halls() else { panic!("two halls") };
    /// // Hall `a` has slots for a part of its objects; the others go to `b`.
    /// assert!(own.weight_of("b") > 0.7);
    /// assert!(other.weight_of("a") < 0.1);
    /// ```
    #[must_use]
    pub fn new(own: &str, capacities: &[HallCapacity]) -> Self {
        let sum =
            |of: fn(&HallCapacity) -> u32| capacities.iter().map(|hall| f64::from(of(hall))).sum();
        let totals = HallTotals {
            hosts: sum(|hall| hall.hosts),
            slots: f64::max(sum(|hall| hall.slots), 1.0),
        };
        let with_callers = capacities.iter().filter(|capacity| capacity.hosts > 0);
        let mut halls: Vec<&HallCapacity> = with_callers.collect();
        halls.sort_unstable_by(|a, b| a.hall.cmp(&b.hall));
        let turn = halls.iter().position(|capacity| *capacity.hall == *own);
        let turn = turn.unwrap_or(0);
        halls.rotate_left(turn);
        let halls = halls.into_iter().take(MAX_PLACES);
        Self {
            halls: halls.map(|hall| CallerHall::new(hall, &totals)).collect(),
            turn,
        }
    }

    /// The halls with callers, the host's own first.
    #[must_use]
    pub fn halls(&self) -> &[CallerHall] {
        &self.halls
    }

    /// Number of servers that get an object's requests in turn.
    #[must_use]
    pub fn len(&self) -> usize {
        self.halls.len()
    }

    /// Whether no hall has callers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }

    /// Position of the host's own hall among the halls with callers, in an order that all hosts of
    /// the region agree on.
    #[must_use]
    pub const fn turn(&self) -> usize {
        self.turn
    }
}
