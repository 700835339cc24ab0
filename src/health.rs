//! One worker's view of a backend server: answer times, failures and load. The worker's own
//! observations outweigh the load that the server reports.

use crate::timer;

/// Weight of the newest answer in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;
/// A reported load that is older is ignored.
const REPORTED_LOAD_MAX_AGE_MS: u64 = 2_000;
/// A server is ejected when its average failure rate exceeds this.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Duration of the first ejection; each further one in a row doubles it.
const FIRST_EJECTION_MS: u64 = 2_000;
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Duration of the slow start of a new server, or of one back from ejection.
const SLOW_START_MS: u64 = 10_000;
const MIN_SLOW_START_FACTOR: f64 = 0.1;

/// The load that a server reports in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that the server runs.
    pub in_use: u32,
    /// When the report was received.
    pub at: timer::Moment,
}

/// One worker's view of one backend server.
#[derive(Debug, Clone)]
pub struct ServerHealth {
    in_flight: u32,
    /// `None` until the first answer.
    answer_ms: Option<f64>,
    failure_rate: f64,
    reported_load: Option<ReportedLoad>,
    ejected_until: Option<timer::Moment>,
    ejections: u32,
    slow_start_from: timer::Moment,
    leaving: bool,
}

impl ServerHealth {
    /// A server that was not used before; `cold` begins a slow start.
    #[must_use]
    pub const fn new(now: timer::Moment, cold: bool) -> Self {
        let slow_start_from = if cold { now } else { timer::Moment(0) };
        Self {
            in_flight: 0,
            answer_ms: None,
            failure_rate: 0.0,
            reported_load: None,
            ejected_until: None,
            ejections: 0,
            slow_start_from,
            leaving: false,
        }
    }

    /// Requests of this worker in flight at the server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that a request is sent to the server.
    pub const fn start_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a request ended, whatever its result.
    pub const fn finish_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a successful answer after `answer_ms`.
    pub fn on_success(&mut self, answer_ms: u64) {
        let answer_ms = answer_ms as f64;
        let before = self.answer_ms.unwrap_or(answer_ms);
        self.answer_ms = Some(before + AVERAGE_WEIGHT * (answer_ms - before));
        self.failure_rate -= AVERAGE_WEIGHT * self.failure_rate;
        if self.failure_rate < AVERAGE_WEIGHT {
            self.ejections = 0;
        }
    }

    /// Records a failure: an error, a broken connection or a timeout. Ejects the server if it fails
    /// too often.
    pub fn on_failure(&mut self, now: timer::Moment) {
        self.failure_rate += AVERAGE_WEIGHT * (1.0 - self.failure_rate);
        if self.failure_rate > MAX_FAILURE_RATE && !self.is_ejected(now) {
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            let until = now.plus(FIRST_EJECTION_MS << doublings);
            self.ejected_until = Some(until);
            self.ejections += 1;
            self.failure_rate = MAX_FAILURE_RATE / 2.0;
            self.slow_start_from = until;
        }
    }

    /// Records a load that the server reported.
    pub const fn on_reported_load(&mut self, reported_load: ReportedLoad) {
        self.reported_load = Some(reported_load);
    }

    /// Whether the server is leaving and gets no new requests.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets or clears the leaving mark.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the server is currently ejected.
    #[must_use]
    pub fn is_ejected(&self, now: timer::Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// The expected cost of one more request; lower is better. A server without an answer is rated
    /// with `typical_ms`, so that it gets neither all requests nor none.
    #[must_use]
    pub fn cost(&self, slots: u32, typical_ms: f64, now: timer::Moment) -> f64 {
        let reported = self
            .reported_load
            .filter(|load| now.since(load.at) <= REPORTED_LOAD_MAX_AGE_MS);
        let others = reported.map_or(0, |load| load.in_use.saturating_sub(self.in_flight));
        let load = f64::from(self.in_flight + others + 1) / f64::from(slots.max(1));
        load * self.answer_ms.unwrap_or(typical_ms).max(1.0) / self.slow_start_factor(now)
            * (1.0 + 4.0 * self.failure_rate)
    }

    fn slow_start_factor(&self, now: timer::Moment) -> f64 {
        let age = now.since(self.slow_start_from).min(SLOW_START_MS) as f64 / SLOW_START_MS as f64;
        MIN_SLOW_START_FACTOR + (1.0 - MIN_SLOW_START_FACTOR) * age
    }
}
