//! How the requests of a service ended on a new version and on the others, and what that says of it.

use std::collections;

/// Routes that a report tells of, at most; it has to fit into one datagram.
pub const REPORTED_ROUTES: usize = 16;
/// Bad answers below which nothing is said of a version.
const LEAST_BAD: u32 = 8;
/// A version is bad if the part of its bad answers is this many times that of the others...
const BAD_FACTOR: f64 = 2.0;
/// ...and this part beyond.
const BAD_EXCESS: f64 = 0.05;

/// Requests that have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct AnswerCount {
    /// All of them.
    pub ended: u32,
    /// Those that failed, or took several times as long as usual.
    pub bad: u32,
}

impl AnswerCount {
    fn add(&mut self, other: Self) {
        self.ended = self.ended.saturating_add(other.ended);
        self.bad = self.bad.saturating_add(other.bad);
    }

    fn bad_part(self) -> f64 {
        f64::from(self.bad) / f64::from(self.ended.max(1))
    }
}

/// The requests of one route since its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RouteTally {
    /// Those on servers of the new version.
    pub target: AnswerCount,
    /// Those on servers of other versions.
    pub others: AnswerCount,
}

impl RouteTally {
    /// Whether the new version is worse than the others, beyond what chance makes likely.
    fn is_bad(&self) -> bool {
        let accepted = self.others.bad_part() * BAD_FACTOR + BAD_EXCESS;
        self.target.bad >= LEAST_BAD && self.target.bad_part() > accepted
    }

    fn add(&mut self, other: &Self) {
        self.target.add(other.target);
        self.others.add(other.others);
    }
}

/// The requests of a service since an order, by routes.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct ServiceTally {
    routes: collections::BTreeMap<String, RouteTally>,
}

impl ServiceTally {
    /// A request has ended on a server of the new version, or of another one.
    pub fn on_answer(&mut self, route: &str, is_target: bool, is_bad: bool) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteTally::default());
        }
        if let Some(tally) = self.routes.get_mut(route) {
            let count = if is_target {
                &mut tally.target
            } else {
                &mut tally.others
            };
            count.add(AnswerCount {
                ended: 1,
                bad: u32::from(is_bad),
            });
        }
    }

    /// Adds what others count.
    pub fn add(&mut self, other: &Self) {
        for (route, tally) in &other.routes {
            match self.routes.get_mut(route) {
                Some(known) => known.add(tally),
                None => {
                    self.routes.insert(route.clone(), *tally);
                }
            }
        }
    }

    /// Bad answers of the new version.
    #[must_use]
    pub fn target_bad(&self) -> u32 {
        let routes = self.routes.values();
        routes.map(|tally| tally.target.bad).sum()
    }

    /// Whether the new version is bad, on all routes together or on one.
    ///
    /// ```
    /// use ledgespool::rollout::tally::ServiceTally;
    /// let mut tally = ServiceTally::default();
    /// for number in 0..40 {
    ///     tally.on_answer("read", true, number % 2 == 0);
    ///     tally.on_answer("read", false, false);
    /// }
    /// assert!(tally.shows_bad());
    /// ```
    #[must_use]
    pub fn shows_bad(&self) -> bool {
        let mut all = RouteTally::default();
        for tally in self.routes.values() {
            all.add(tally);
        }
        all.is_bad() || self.routes.values().any(RouteTally::is_bad)
    }

    /// The same for a report: the routes on which the new version has the most bad answers.
    #[must_use]
    pub fn for_report(&self) -> Self {
        if self.routes.len() <= REPORTED_ROUTES {
            return self.clone();
        }
        let mut routes: Vec<_> = self.routes.iter().collect();
        routes.sort_by_key(|(_, tally)| std::cmp::Reverse((tally.target.bad, tally.target.ended)));
        let reported = routes.into_iter().take(REPORTED_ROUTES);
        Self {
            routes: reported
                .map(|(route, tally)| (route.clone(), *tally))
                .collect(),
        }
    }
}
