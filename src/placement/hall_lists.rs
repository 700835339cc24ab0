//! The first servers of an object for each hall of its callers.
//!
//! **Load pattern.** Half of an object's requests come from each of two halls. Both know both first
//! servers and use them in opposite order, so each server caches the object, gets half of its
//! requests, and takes over the other half while the other server has no free slot.

use super::hall_places::HallPlaces;
use super::rank_list::{self, RankList};

/// A server in the ranking.
#[derive(Debug, Clone, Copy)]
pub struct RankedServer<'a, T> {
    /// The server.
    pub server: T,
    /// Its hall.
    pub hall: &'a str,
    /// The region of that hall.
    pub region: &'a str,
    /// Its pseudorandom sample for the object, between 0 and 1.
    pub sample: f64,
    /// Its slots.
    pub slots: f64,
}

/// The first servers of an object in each region that may become its home.
#[derive(Debug)]
pub struct HallLists<'a, T> {
    places: &'a HallPlaces,
    own_region: &'a str,
    /// The first server in the own region for each hall of [`HallPlaces::halls`].
    own: Vec<RankList<T>>,
    /// The first servers in other regions, one for each hall.
    others: Vec<(&'a str, RankList<T>)>,
    /// A server with a smaller sample enters no list.
    min_sample: f64,
}

impl<'a, T: Copy> HallLists<'a, T> {
    /// Empty lists for callers in `own_region`, and for the regions `others`; no server has more
    /// than `max_slots`.
    ///
    /// ```
    /// use ledgespool::placement::hall_lists::{HallLists, RankedServer};
    /// use ledgespool::placement::hall_places::{HallCapacity, HallPlaces};
    /// let capacity = |hall: &str| HallCapacity { hall: hall.to_owned(), hosts: 5, slots: 9 };
    /// let places = HallPlaces::new("b", &[capacity("a"), capacity("b")]);
    /// let mut lists = HallLists::new(&places, "north", 9.0, ["south"].into_iter());
    /// for (server, hall, region, sample) in
    ///     [(1, "a", "north", 0.7), (2, "b", "north", 0.6), (3, "c", "south", 0.9), (4, "d", "south", 0.8)]
    /// {
    ///     lists.insert(&RankedServer { server, hall, region, sample, slots: 9.0 });
    /// }
    /// assert_eq!(lists.first_servers("north"), [2, 1]);
    /// // Hall `a` uses these two in opposite order.
    /// assert_eq!(lists.first_servers("south"), [4, 3]);
    /// ```
    #[must_use]
    pub fn new(
        places: &'a HallPlaces,
        own_region: &'a str,
        max_slots: f64,
        others: impl Iterator<Item = &'a str>,
    ) -> Self {
        let own = places
            .halls()
            .iter()
            .map(|hall| RankList::with_length(1, max_slots * hall.largest_weight()));
        let others = others.filter(|region| *region != own_region);
        Self {
            places,
            own_region,
            own: own.collect(),
            others: others
                .map(|region| (region, RankList::with_length(places.len(), max_slots)))
                .collect(),
            min_sample: 0.0,
        }
    }

    /// Whether a server with this sample can enter any list.
    #[must_use]
    pub fn can_enter(&self, sample: f64) -> bool {
        sample >= self.min_sample
    }

    /// Inserts a server into the lists of its region.
    pub fn insert(&mut self, ranked: &RankedServer<'_, T>) {
        let RankedServer {
            server,
            sample,
            slots,
            ..
        } = *ranked;
        if ranked.region == self.own_region {
            for (list, hall) in self.own.iter_mut().zip(self.places.halls()) {
                if list.can_enter(sample) {
                    let weight = slots * hall.weight_of(ranked.hall);
                    list.insert(rank_list::rank(sample, weight), server);
                }
            }
        } else if let Some((_, list)) = self
            .others
            .iter_mut()
            .find(|(region, _)| *region == ranked.region)
        {
            list.insert(rank_list::rank(sample, slots), server);
        } else {
            return;
        }
        let own = self.own.iter().map(RankList::min_sample);
        let others = self.others.iter().map(|(_, list)| list.min_sample());
        self.min_sample = own.chain(others).fold(f64::INFINITY, f64::min);
    }

    /// The servers that get the object's requests if its home is in `region`, in the order in which
    /// the own hall uses them. May contain a server twice.
    #[must_use]
    pub fn first_servers(&self, region: &str) -> Vec<T> {
        if region == self.own_region {
            return self.own.iter().flat_map(RankList::items).collect();
        }
        let list = self.others.iter().find(|(other, _)| *other == region);
        let mut servers: Vec<T> = list.map_or_else(Vec::new, |(_, list)| list.items().collect());
        if !servers.is_empty() {
            let turn = self.places.turn() % servers.len();
            servers.rotate_left(turn);
        }
        servers
    }
}
