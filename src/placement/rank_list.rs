//! The first servers in an object's ranking, found in one pass over all servers.
//!
//! **Load pattern.** Each request ranks hundreds of servers, of which a few are used. Most are
//! rejected by their sample alone, before their weight or their state is looked at.

/// The items with the lowest ranks so far.
#[derive(Debug)]
pub struct RankList<T> {
    best: Vec<(f64, T)>,
    length: usize,
    /// Upper bound of the weight of any item.
    max_weight: f64,
    /// An item with a smaller sample cannot enter the list, whatever its weight is.
    min_sample: f64,
}

impl<T: Copy> RankList<T> {
    /// A list of at most `length` items, none of which weighs more than `max_weight`.
    ///
    /// ```
    /// use ledgespool::placement::rank_list::{self, RankList};
    /// let mut list = RankList::with_length(1, 4.0);
    /// list.insert(rank_list::rank(0.5, 4.0), "light");
    /// list.insert(rank_list::rank(0.9, 4.0), "chosen");
    /// assert!(!list.can_enter(0.2));
    /// assert_eq!(list.items().collect::<Vec<_>>(), ["chosen"]);
    /// ```
    #[must_use]
    pub fn with_length(length: usize, max_weight: f64) -> Self {
        Self {
            best: Vec::with_capacity(length + 1),
            length,
            max_weight,
            min_sample: 0.0,
        }
    }

    /// Whether an item with this sample can enter the list. Most cannot, so their ranks need not be
    /// computed.
    #[must_use]
    pub fn can_enter(&self, sample: f64) -> bool {
        sample >= self.min_sample
    }

    /// An item with a smaller sample cannot enter the list.
    #[must_use]
    pub const fn min_sample(&self) -> f64 {
        self.min_sample
    }

    /// Inserts an item, unless the list is full of items with lower ranks.
    pub fn insert(&mut self, rank: f64, item: T) {
        let place = self.best.partition_point(|(other, _)| *other <= rank);
        if place >= self.length {
            return;
        }
        self.best.insert(place, (rank, item));
        self.best.truncate(self.length);
        if let [.., (last, _)] = self.best[..]
            && self.best.len() == self.length
        {
            self.min_sample = (-last * self.max_weight).exp();
        }
    }

    /// The items by increasing rank.
    pub fn items(&self) -> impl Iterator<Item = T> {
        self.best.iter().map(|(_, item)| *item)
    }
}

/// The rank of an item with this sample, between 0 and 1, and weight: an item comes first with a
/// probability proportional to its weight.
#[must_use]
pub fn rank(sample: f64, weight: f64) -> f64 {
    -sample.ln() / weight
}
