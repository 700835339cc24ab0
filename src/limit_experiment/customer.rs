//! A simulated customer.

use std::collections::VecDeque;

use rand::Rng as _;
use rand::rngs::SmallRng;

use super::report::CustomerCount;
use super::scenario::LimitScenario;
use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::timer::Moment;

/// One customer: its load, its limit, and the counts of its requests.
#[derive(Debug)]
pub(super) struct SimCustomer {
    pub(super) name: u64,
    usual_per_s: f64,
    pub(super) load_factor: f64,
    /// When its next request arrives, in milliseconds; fractional, as several may arrive within
    /// one.
    next_ms: f64,
    pub(super) bound: LimitBound,
    /// When its limit was last lowered, and the bound before that.
    lowered: Option<(Moment, LimitBound)>,
    admitted: Vec<Moment>,
    pub(super) count: CustomerCount,
    /// The tokens left in a single bucket that sees all requests.
    ideal_tokens: f64,
    ideal_updated_at: Moment,
}

impl SimCustomer {
    pub(super) fn with_rate(scenario: &LimitScenario, number: usize, usual_per_s: f64) -> Self {
        let bound = scenario.bound(usual_per_s);
        Self {
            name: hash::of_name(&format!("customer-{number}")),
            usual_per_s,
            load_factor: 1.0,
            next_ms: 0.0,
            bound,
            lowered: None,
            admitted: Vec::new(),
            count: CustomerCount::default(),
            ideal_tokens: bound.limit.burst,
            ideal_updated_at: Moment(0),
        }
    }

    /// Samples the arrival of its next request from a Poisson process.
    pub(super) fn sample_next(&mut self, random: &mut SmallRng, now: Moment) -> Moment {
        let sampled: f64 = random.random_range(f64::EPSILON..1.0);
        let rate = self.usual_per_s * self.load_factor;
        self.next_ms = self.next_ms.max(now.0 as f64) - sampled.ln() / rate * 1_000.0;
        // A float cast saturates, and the moment lies ahead.
        Moment(self.next_ms as u64)
    }

    /// Counts a request, and whether a single bucket that sees all requests would let it through.
    pub(super) fn on_arrival(&mut self, now: Moment) {
        let limit = self.bound.limit;
        let accrued = limit.per_s * now.since(self.ideal_updated_at) as f64 / 1_000.0;
        self.ideal_tokens = (self.ideal_tokens + accrued).min(limit.burst);
        self.ideal_updated_at = now;
        self.count.sent += 1;
        if self.ideal_tokens >= 1.0 {
            self.ideal_tokens -= 1.0;
            self.count.owed += 1;
        }
    }

    pub(super) fn on_admitted(&mut self, now: Moment) {
        self.count.admitted += 1;
        self.admitted.push(now);
    }

    pub(super) fn lower_limit(&mut self, factor: f64, now: Moment) {
        // If the limit was lowered shortly before, the bound before that one still applies.
        let window_ms = (self.bound.tolerance.window_s * 1_000.0) as u64;
        let before = match self.lowered {
            Some((since, before)) if now.since(since) < 2 * window_ms => before,
            _ => self.bound,
        };
        self.lowered = Some((now, before));
        self.bound.limit.per_s *= factor;
        self.bound.limit.burst *= factor;
    }

    pub(super) fn into_count(self) -> CustomerCount {
        let window_ms = (self.bound.tolerance.window_s * 1_000.0) as u64;
        let mut count = self.count;
        let mut window = VecDeque::new();
        for at in self.admitted {
            window.push_back(at);
            while window
                .front()
                .is_some_and(|first| at.since(*first) >= window_ms)
            {
                window.pop_front();
            }
            // A lowered limit applies to windows that begin a full window after the change.
            let bound = match self.lowered {
                Some((since, before)) if at.since(since) < 2 * window_ms => before,
                _ => self.bound,
            };
            let fill = window.len() as f64 / bound.allowed();
            count.fullest = count.fullest.max(fill);
        }
        count
    }
}
