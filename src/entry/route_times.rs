//! How long the requests of each route take, as this host has seen it.

use std::collections;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::wire::WireProtocol;

/// The usual time is this quantile of the answers: below the middle, because some of those that are
/// taken for plain work have waited at a busy server, or were first runs after all. An average
/// follows these: on a busy day it rose above the goal, and hosts then refused requests that free
/// servers would have answered in time.
const USUAL_QUANTILE: f64 = 0.3;
/// How far one answer moves the usual time, as a share of it; about twenty answers count.
const USUAL_STEP: f64 = 0.1;
/// A route's usual time before its first answer, as a share of its goal.
const FIRST_USUAL_SHARE: f64 = 0.5;

/// How long one answer took.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample<'a> {
    /// The request's route.
    pub route: &'a str,
    /// From the offer to the answer, in milliseconds.
    pub millis: u64,
    /// Whether the server probably knew the object, or the route has none.
    pub known_object: bool,
}

/// How long the requests of a route usually take, in milliseconds; `None` before the first.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    /// On a server that knows their object.
    known: Option<f64>,
    /// On one that does not.
    first: Option<f64>,
}

/// The times of all routes, by the route's name.
#[derive(Debug, Default)]
pub struct RouteTimeTable {
    routes: collections::HashMap<String, RouteTimes>,
}

impl RouteTimeTable {
    /// How long a request of `route` usually takes on a server that knows its object, in
    /// milliseconds; `None` before the first answer.
    ///
    /// ```
    /// use ledgespool::entry::route_times::{AnswerSample, RouteTimeTable};
    /// let mut times = RouteTimeTable::default();
    /// assert_eq!(times.known_ms("reads"), None);
    /// let sample = AnswerSample { route: "reads", millis: 90, known_object: true };
    /// assert!((times.on_answer(&sample) - 1.0).abs() < f64::EPSILON);
    /// assert!(times.known_ms("reads").is_some());
    /// ```
    #[must_use]
    pub fn known_ms(&self, route: &str) -> Option<f64> {
        self.times_of(route).known
    }

    fn times_of(&self, route: &str) -> RouteTimes {
        self.routes.get(route).copied().unwrap_or_default()
    }

    /// Takes in one answer; returns its time as a multiple of what was usual before it.
    pub fn on_answer(&mut self, sample: &AnswerSample<'_>) -> f64 {
        let millis = (sample.millis as f64).max(1.0);
        let times = self.routes.entry(sample.route.to_owned()).or_default();
        let kind = if sample.known_object {
            &mut times.known
        } else {
            &mut times.first
        };
        let usual = kind.get_or_insert(millis);
        let pace = millis / *usual;
        // Steps up and down balance where the wanted share of the answers lies below.
        *usual *= if millis > *usual {
            1.0 + USUAL_STEP * USUAL_QUANTILE
        } else {
            1.0 - USUAL_STEP * (1.0 - USUAL_QUANTILE)
        };
        pace
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// How long a request of a route usually takes, in milliseconds.
    #[must_use]
    pub fn usual_ms(&self, route: &str, goal_ms: u64) -> f64 {
        let known = self.route_times.borrow().known_ms(route);
        known.unwrap_or(goal_ms as f64 * FIRST_USUAL_SHARE)
    }

    /// How long a request of a route takes on a server that does not know its object, in
    /// milliseconds.
    #[must_use]
    pub fn first_ms(&self, route: &str, goal_ms: u64) -> f64 {
        let first = self.route_times.borrow().times_of(route).first;
        first.unwrap_or(goal_ms as f64)
    }

    /// A server answered a request of a route. Only answers about objects that the server knows
    /// tell its pace: a first run is several times longer on the fastest server too.
    pub fn on_answer_time(&self, server: &FleetServer, sample: &AnswerSample<'_>) {
        let now = self.now();
        server.on_success(now);
        let pace = self.route_times.borrow_mut().on_answer(sample);
        if sample.known_object {
            server.on_pace(pace, now);
        }
    }
}
