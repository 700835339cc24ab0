//! Limits that all hosts keep together without talking: each host stays within its own part.
//!
//! The parts are disjoint and their sum stays below the limit, so a host that is cut off from the
//! others keeps it as well. The number of hosts only grows quickly and shrinks slowly; counting
//! too many makes a part smaller, which is safe.

use std::{collections, rc};

use super::fleet_server::FleetServer;
use super::hash;
use crate::timer::Moment;

/// Of a shared limit, the part that the hosts plan with; the rest covers requests that are counted
/// later than they were sent.
const PLANNED_SHARE: f64 = 0.8;
/// Requests on their way bunch up, so a second is counted a little longer; in milliseconds.
const COLD_WINDOW_MS: u64 = 1_150;
/// The retry window is counted in this many steps.
const RETRY_STEPS: u64 = 20;

/// What one host may send to a cold server.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdShare {
    /// Requests within a second that all hosts may send together.
    pub all_per_s: f64,
    /// Hosts that share them, if more than are listed below.
    pub hosts: u32,
    /// A hash of this host's name.
    pub own_hash: u64,
    /// Hashes of the names of all others; `None` until the whole list of hosts was read.
    pub other_hashes: Option<rc::Rc<[u64]>>,
}

impl ColdShare {
    /// Whether one more request may go to `server`, which is cold.
    ///
    /// With more hosts than requests, only as many hosts as there are requests send one each: the
    /// first by a hash of host and server.
    #[must_use]
    pub fn allows(&self, server: &FleetServer, now: Moment) -> bool {
        let planned = self.all_per_s * PLANNED_SHARE;
        let own = planned / f64::from(self.hosts.max(1));
        let sent = server.cold_sends(now, COLD_WINDOW_MS) as f64;
        if own >= 1.0 {
            return sent + 1.0 <= own.floor();
        }
        let Some(others) = &self.other_hashes else {
            return false;
        };
        let place = |hash: u64| hash::mix(hash ^ server.hash);
        let own_place = place(self.own_hash);
        let before = others.iter().filter(|hash| place(**hash) < own_place);
        sent < 1.0 && (before.count() as f64) < planned.floor()
    }
}

/// One step of the retry window.
#[derive(Debug, Clone, Copy, Default)]
struct RetryStep {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Counts the requests to a service and those sent again, over a sliding window.
#[derive(Debug)]
pub struct RetryWindow {
    step_ms: u64,
    steps: collections::VecDeque<RetryStep>,
}

/// What one host may send again, beside what it sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window that all hosts may send beside.
    pub slack: f64,
    /// Hosts that share the slack.
    pub hosts: u32,
}

impl RetryWindow {
    /// An empty window of `window_ms`.
    #[must_use]
    pub const fn with_length(window_ms: u64) -> Self {
        let step = window_ms / RETRY_STEPS;
        Self {
            step_ms: if step == 0 { 1 } else { step },
            steps: collections::VecDeque::new(),
        }
    }

    /// A request was offered for the first time.
    pub fn on_request(&mut self, now: Moment) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat if the share allows it.
    ///
    /// ```
    /// use ledgespool::entry::budget;
    /// use ledgespool::timer::Moment;
    /// let share = budget::RetryShare { ratio: 0.2, slack: 0.0, hosts: 9 };
    /// let mut window = budget::RetryWindow::with_length(10_000);
    /// assert!(!window.try_repeat(&share, Moment(0)));
    /// for _ in 0..10 {
    ///     window.on_request(Moment(1));
    /// }
    /// assert!(window.try_repeat(&share, Moment(2)));
    /// ```
    pub fn try_repeat(&mut self, share: &RetryShare, now: Moment) -> bool {
        self.step(now);
        let requests: u64 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u64 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = share.slack / f64::from(share.hosts.max(1));
        let allowed = (requests as f64 * share.ratio + slack) * PLANNED_SHARE;
        if repeats as f64 + 1.0 > allowed {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    fn step(&mut self, now: Moment) -> &mut RetryStep {
        let number = now.0 / self.step_ms;
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + RETRY_STEPS < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(RetryStep {
                number,
                ..RetryStep::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
