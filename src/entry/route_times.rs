//! How long the requests of each route take, as measured by this host.

use std::collections;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::wire::WireProtocol;

/// The typical time is this quantile of the measured times. It is below the median, because some
/// answers that count as cache hits waited at a busy server or were cache misses after all. An
/// average is dominated by these: under heavy load it rose above the goal, and hosts refused
/// requests that idle servers would have answered in time.
const TYPICAL_QUANTILE: f64 = 0.3;
/// How far one answer moves the typical time, as a fraction of it; about the last twenty answers
/// count.
const TYPICAL_STEP: f64 = 0.1;
/// Weight of the latest answer in a service's mean time, as a fraction; about the last fifty answers
/// count, so that the mean follows a change of the routes' shares within seconds.
const SERVICE_TIME_WEIGHT: f64 = 0.02;
/// A route's typical time before its first answer, as a fraction of its goal.
const INITIAL_GOAL_FRACTION: f64 = 0.5;

/// The time of one answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample<'a> {
    /// The request's route.
    pub route: &'a str,
    /// Time from the start of the attempt to the answer, in milliseconds.
    pub took_ms: u64,
    /// Whether the server probably had the object cached; also true if the route has no objects.
    pub object_cached: bool,
}

/// Typical times of the requests of a route, in milliseconds; `None` before the first answer.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    /// On a server that has the object cached.
    cached: Option<f64>,
    /// On a server that does not have the object cached.
    cache_miss: Option<f64>,
}

/// The typical times of all routes, by the route's name, and the mean of them by service.
#[derive(Debug, Default)]
pub struct RouteTimeTable {
    routes: collections::HashMap<String, RouteTimes>,
    /// Mean time for which a request holds a slot of each service's servers, in milliseconds.
    services: collections::HashMap<String, f64>,
}

impl RouteTimeTable {
    /// Typical time of a request of `route` on a server that has its object cached, in
    /// milliseconds; `None` before the first answer.
    ///
    /// ```
    /// use ledgespool::entry::route_times::{AnswerSample, RouteTimeTable};
    /// let mut times = RouteTimeTable::default();
    /// assert_eq!(times.cached_ms("reads"), None);
    /// let sample = AnswerSample { route: "reads", took_ms: 90, object_cached: true };
    /// assert!((times.on_answer(&sample) - 1.0).abs() < f64::EPSILON);
    /// assert!(times.cached_ms("reads").is_some());
    /// ```
    #[must_use]
    pub fn cached_ms(&self, route: &str) -> Option<f64> {
        self.times_of(route).cached
    }

    /// Mean time for which a request of any route holds a slot of the servers of `service`, in
    /// milliseconds; `None` before the first answer.
    ///
    /// The typical times of the answers' routes count, not the measured times: these contain the
    /// waits that the mean serves to estimate.
    ///
    /// ```
    /// use ledgespool::entry::route_times::{AnswerSample, RouteTimeTable};
    /// let mut times = RouteTimeTable::default();
    /// let sample = AnswerSample { route: "reads", took_ms: 90, object_cached: true };
    /// times.on_answer(&sample);
    /// times.on_service_answer("desk", &sample);
    /// assert!(times.service_time_ms("desk").is_some_and(|mean| (80.0..100.0).contains(&mean)));
    /// ```
    #[must_use]
    pub fn service_time_ms(&self, service: &str) -> Option<f64> {
        self.services.get(service).copied()
    }

    /// Counts an answer, which [`Self::on_answer`] has recorded, for the mean time of `service`.
    pub fn on_service_answer(&mut self, service: &str, sample: &AnswerSample<'_>) {
        let times = self.times_of(sample.route);
        let typical = if sample.object_cached {
            times.cached
        } else {
            times.cache_miss
        };
        let Some(typical) = typical else { return };
        match self.services.get_mut(service) {
            Some(mean) => *mean += SERVICE_TIME_WEIGHT * (typical - *mean),
            None => {
                self.services.insert(service.to_owned(), typical);
            }
        }
    }

    fn times_of(&self, route: &str) -> RouteTimes {
        self.routes.get(route).copied().unwrap_or_default()
    }

    /// Records one answer; returns its time as a multiple of the previous typical time.
    pub fn on_answer(&mut self, sample: &AnswerSample<'_>) -> f64 {
        let took_ms = (sample.took_ms as f64).max(1.0);
        let times = self.routes.entry(sample.route.to_owned()).or_default();
        let kind = if sample.object_cached {
            &mut times.cached
        } else {
            &mut times.cache_miss
        };
        let typical = kind.get_or_insert(took_ms);
        let slowdown = took_ms / *typical;
        // Steps up and down balance when the desired fraction of the answers is faster.
        *typical *= if took_ms > *typical {
            1.0 + TYPICAL_STEP * TYPICAL_QUANTILE
        } else {
            1.0 - TYPICAL_STEP * (1.0 - TYPICAL_QUANTILE)
        };
        slowdown
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Typical time of a request of `route` on a server that has its object cached, in
    /// milliseconds.
    #[must_use]
    pub fn typical_ms(&self, route: &str, goal_ms: u64) -> f64 {
        let cached = self.route_times.borrow().cached_ms(route);
        cached.unwrap_or(goal_ms as f64 * INITIAL_GOAL_FRACTION)
    }

    /// Typical time of a request of `route` on a server that does not have its object cached, in
    /// milliseconds.
    #[must_use]
    pub fn cache_miss_ms(&self, route: &str, goal_ms: u64) -> f64 {
        let cache_miss = self.route_times.borrow().times_of(route).cache_miss;
        cache_miss.unwrap_or(goal_ms as f64)
    }

    /// Mean time for which a request of any route holds a slot of the servers of `service`, in
    /// milliseconds; `typical_ms` before the first answer.
    #[must_use]
    pub fn service_time_ms(&self, service: &str, typical_ms: f64) -> f64 {
        let mean = self.route_times.borrow().service_time_ms(service);
        mean.unwrap_or(typical_ms)
    }

    /// Records the time of an answer. Only cache hits count for the server's slowdown, because a
    /// cache miss takes several times longer even on the fastest server.
    pub fn record_answer_time(&self, server: &FleetServer, sample: &AnswerSample<'_>) {
        let now = self.now();
        server.on_success(now);
        let mut times = self.route_times.borrow_mut();
        let slowdown = times.on_answer(sample);
        times.on_service_answer(&server.service, sample);
        drop(times);
        if sample.object_cached {
            server.record_slowdown(slowdown, now);
        }
    }
}
