//! Broadcast counts: a host admits requests until the sum of all reported counts reaches the limit.

use std::collections;

use super::{HostView, LimitWay, SentMessage, SimDecision, SimRequest};
use crate::entry::limits::LimitBound;
use crate::timer::Moment;

/// The requests that a host let through in one round.
#[derive(Debug, Clone, serde::Serialize)]
pub struct CountNews {
    counts: Vec<(u64, u32)>,
}

/// Every host reports to all others what it let through; each one admits requests until the sum
/// that it knows reaches the limit. A host that is missing reports of others uses a correspondingly
/// smaller share.
#[derive(Debug)]
pub struct CountsWay {
    own: usize,
    untold: collections::BTreeMap<u64, u32>,
    known: collections::HashMap<u64, collections::VecDeque<(Moment, u32)>>,
    heard: collections::HashMap<usize, Moment>,
}

impl CountsWay {
    /// A host counts as alive for this long after its last report, in milliseconds.
    const HEARD_MS: u64 = 1_000;

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

impl LimitWay for CountsWay {
    type Message = CountNews;

    const NAME: &'static str = "counts told";

    fn start(own: usize, _run: u64, _now: Moment) -> Self {
        Self {
            own,
            untold: collections::BTreeMap::new(),
            known: collections::HashMap::new(),
            heard: collections::HashMap::new(),
        }
    }

    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        _out: &mut Vec<SentMessage<CountNews>>,
    ) -> SimDecision {
        let bound = &request.bound;
        let window_ms = (bound.tolerance.window_s * 1_000.0) as u64;
        let heard = self.heard.values();
        let heard = heard.filter(|at| now.since(**at) <= Self::HEARD_MS).count();
        let share = ((heard + 1) as f64 / f64::from(view.hosts)).min(1.0);
        let most = (bound.limit.per_s * bound.tolerance.window_s + bound.limit.burst) * share;
        if self.sum(request.customer, window_ms, now) + 1.0 > most {
            return SimDecision::Refuse;
        }
        self.add(request.customer, 1, now);
        *self.untold.entry(request.customer).or_default() += 1;
        SimDecision::Admit
    }

    fn on_round(&mut self, view: &HostView, _now: Moment, out: &mut Vec<SentMessage<CountNews>>) {
        let counts = std::mem::take(&mut self.untold).into_iter().collect();
        let news = CountNews { counts };
        for to in (0..view.lives.len()).filter(|to| *to != self.own && view.lives[*to]) {
            out.push(SentMessage {
                to,
                message: news.clone(),
            });
        }
    }

    fn on_message(
        &mut self,
        from: usize,
        message: &CountNews,
        _bound_of: &dyn Fn(u64) -> LimitBound,
        now: Moment,
        _out: &mut Vec<SentMessage<CountNews>>,
    ) -> Option<(u64, SimDecision)> {
        self.heard.insert(from, now);
        for (customer, count) in &message.counts {
            self.add(*customer, *count, now);
        }
        None
    }
}
