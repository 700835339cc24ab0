//! Broadcast counts: a host admits requests until the sum of all reported counts reaches the limit.

use std::collections;

use super::{HostView, LimitStrategy, SentMessage, SimDecision, SimRequest};
use crate::entry::limits::LimitBound;
use crate::timer::Moment;

/// The requests that a host let through in one round.
#[derive(Debug, Clone, serde::Serialize)]
pub struct CountReport {
    counts: Vec<(u64, u32)>,
}

/// Every host reports to all others what it let through; each one admits requests until the sum
/// that it knows reaches the limit. A host that is missing reports of others uses a correspondingly
/// smaller share.
#[derive(Debug)]
pub struct CountsStrategy {
    own: usize,
    unsent: collections::BTreeMap<u64, u32>,
    known: collections::HashMap<u64, collections::VecDeque<(Moment, u32)>>,
    last_reports: collections::HashMap<usize, Moment>,
}

impl CountsStrategy {
    /// A host counts as alive for this long after its last report, in milliseconds.
    const REPORT_TIMEOUT_MS: u64 = 1_000;

    fn add(&mut self, customer: u64, count: u32, now: Moment) {
        self.known
            .entry(customer)
            .or_default()
            .push_back((now, count));
    }

    fn sum(&mut self, customer: u64, window_ms: u64, now: Moment) -> f64 {
        let known = self.known.entry(customer).or_default();
        while known
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window_ms)
        {
            known.pop_front();
        }
        known.iter().map(|(_, count)| f64::from(*count)).sum()
    }
}

impl LimitStrategy for CountsStrategy {
    type Message = CountReport;

    const NAME: &'static str = "counts told";

    fn start(own: usize, _run: u64, _now: Moment) -> Self {
        Self {
            own,
            unsent: collections::BTreeMap::new(),
            known: collections::HashMap::new(),
            last_reports: collections::HashMap::new(),
        }
    }

    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        _out: &mut Vec<SentMessage<CountReport>>,
    ) -> SimDecision {
        let bound = &request.bound;
        let window_ms = (bound.tolerance.window_s * 1_000.0) as u64;
        let reporting = self.last_reports.values();
        let reporting = reporting
            .filter(|at| now.since(**at) <= Self::REPORT_TIMEOUT_MS)
            .count();
        let share = ((reporting + 1) as f64 / f64::from(view.hosts)).min(1.0);
        let max_admitted =
            (bound.limit.per_s * bound.tolerance.window_s + bound.limit.burst) * share;
        if self.sum(request.customer, window_ms, now) + 1.0 > max_admitted {
            return SimDecision::Refuse;
        }
        self.add(request.customer, 1, now);
        *self.unsent.entry(request.customer).or_default() += 1;
        SimDecision::Admit
    }

    fn on_round(&mut self, view: &HostView, _now: Moment, out: &mut Vec<SentMessage<CountReport>>) {
        let counts = std::mem::take(&mut self.unsent).into_iter().collect();
        let report = CountReport { counts };
        for to in (0..view.alive.len()).filter(|to| *to != self.own && view.alive[*to]) {
            out.push(SentMessage {
                to,
                message: report.clone(),
            });
        }
    }

    fn on_message(
        &mut self,
        from: usize,
        message: &CountReport,
        _bound_of: &dyn Fn(u64) -> LimitBound,
        now: Moment,
        _out: &mut Vec<SentMessage<CountReport>>,
    ) -> Option<(u64, SimDecision)> {
        self.last_reports.insert(from, now);
        for (customer, count) in &message.counts {
            self.add(*customer, *count, now);
        }
        None
    }
}
