//! Counts the results of a service's requests on the new version and on others, and compares them
//! to decide whether the new version is bad.

use std::collections;

/// Maximum number of routes in a report, which has to fit into one datagram.
pub const MAX_REPORTED_ROUTES: usize = 16;
/// Minimum number of bad answers before a version is considered bad.
const MIN_BAD_ANSWERS: u32 = 8;
/// A version is bad if its share of bad answers exceeds that of the other versions times this
/// factor plus [`BAD_SHARE_EXCESS`].
const BAD_SHARE_FACTOR: f64 = 2.0;
/// Absolute share of bad answers that is tolerated in addition to [`BAD_SHARE_FACTOR`].
const BAD_SHARE_EXCESS: f64 = 0.05;

/// Counts of finished requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct AnswerCount {
    /// Number of finished requests.
    pub ended: u32,
    /// Number of those that failed or took several times as long as expected.
    pub bad: u32,
}

impl AnswerCount {
    fn add(&mut self, other: Self) {
        self.ended = self.ended.saturating_add(other.ended);
        self.bad = self.bad.saturating_add(other.bad);
    }

    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.ended.max(1))
    }
}

/// The counts of one route since the start of the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RouteTally {
    /// Requests on servers of the new version.
    pub target: AnswerCount,
    /// Requests on servers of other versions.
    pub others: AnswerCount,
}

impl RouteTally {
    /// Returns whether the new version is worse than the others by more than chance explains.
    fn is_bad(&self) -> bool {
        let tolerated = self.others.bad_share() * BAD_SHARE_FACTOR + BAD_SHARE_EXCESS;
        self.target.bad >= MIN_BAD_ANSWERS && self.target.bad_share() > tolerated
    }

    fn add(&mut self, other: &Self) {
        self.target.add(other.target);
        self.others.add(other.others);
    }
}

/// The counts of a service since the start of a rollout, by route.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct ServiceTally {
    routes: collections::BTreeMap<String, RouteTally>,
}

impl ServiceTally {
    /// Counts a finished request.
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

    /// Adds the counts of another source.
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

    /// Number of bad answers of the new version.
    #[must_use]
    pub fn target_bad_count(&self) -> u32 {
        let routes = self.routes.values();
        routes.map(|tally| tally.target.bad).sum()
    }

    /// Returns whether the new version is bad, over all routes together or on a single one.
    ///
    /// ```
    /// use ledgespool::rollout::tally::ServiceTally;
    /// let mut tally = ServiceTally::default();
    /// for number in 0..40 {
    ///     tally.on_answer("read", true, number % 2 == 0);
    ///     tally.on_answer("read", false, false);
    /// }
    /// assert!(tally.is_target_bad());
    /// ```
    #[must_use]
    pub fn is_target_bad(&self) -> bool {
        let mut all = RouteTally::default();
        for tally in self.routes.values() {
            all.add(tally);
        }
        all.is_bad() || self.routes.values().any(RouteTally::is_bad)
    }

    /// Returns the counts to put into a report. If there are more than [`MAX_REPORTED_ROUTES`]
    /// routes, it keeps those on which the new version has the most bad answers.
    #[must_use]
    pub fn for_report(&self) -> Self {
        if self.routes.len() <= MAX_REPORTED_ROUTES {
            return self.clone();
        }
        let mut routes: Vec<_> = self.routes.iter().collect();
        routes.sort_by_key(|(_, tally)| std::cmp::Reverse((tally.target.bad, tally.target.ended)));
        let reported = routes.into_iter().take(MAX_REPORTED_ROUTES);
        Self {
            routes: reported
                .map(|(route, tally)| (route.clone(), *tally))
                .collect(),
        }
    }
}
