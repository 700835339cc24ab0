//! Limits shared by all hosts without coordination: each host stays within its own share.
//!
//! The shares are disjoint and their sum stays below the limit, so a host that is disconnected from
//! the others respects the limit too. The number of hosts grows quickly and shrinks slowly; an
//! overestimate makes a share smaller, which is safe.

use std::{collections, rc};

use super::fleet_server::FleetServer;
use super::hash;
use crate::timer::Moment;

/// The fraction of a cold server's limit that the hosts plan with; the rest covers requests that
/// are counted later than they were sent.
const PLANNED_FRACTION: f64 = 0.8;
/// Length of the window in which requests to a cold server are counted, in milliseconds. It is
/// longer than the second that the limit applies to, because requests can bunch up on their way.
const COLD_WINDOW_MS: u64 = 1_150;
/// The fraction of the retry budget that is earned with requests and time.
const EARNED_FRACTION: f64 = 0.6;
/// The fraction of a window's retry budget that can be saved. The sum of both fractions is below 1
/// because retries that are delayed on their way arrive together with later ones.
const SAVED_FRACTION: f64 = 0.25;
/// The same while it is worth less than one retry. With [`EARNED_FRACTION`] it makes a whole.
const SINGLE_RETRY_FRACTION: f64 = 1.0 - EARNED_FRACTION;
/// The time whose part of the slack a process has when it starts, in milliseconds, so that its first
/// requests can be retried. Each further start in a window adds 0.06 of the slack.
const START_CREDIT_MS: u64 = 1_000;
/// A host with less than this of the slack does not know the number of hosts.
const MIN_OWN_SLACK: f64 = 1e-3;
/// Number of steps that the retry window is divided into.
const RETRY_STEPS: u64 = 20;

/// The share of one host in the requests to a cold server.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdShare {
    /// Requests that all hosts together may send within a second.
    pub total_per_s: f64,
    /// Number of hosts that share the limit; may exceed the number of listed hashes.
    pub hosts: u32,
    /// Hash of this host's name.
    pub own_hash: u64,
    /// Hashes of all other hosts' names; `None` until the complete list of hosts is known.
    pub other_hashes: Option<rc::Rc<[u64]>>,
}

impl ColdShare {
    /// Whether one more request may be sent to the cold server `server`.
    ///
    /// If there are more hosts than allowed requests, only as many hosts as there are requests send
    /// one each. They are selected by a hash of host and server.
    #[must_use]
    pub fn allows(&self, server: &FleetServer, now: Moment) -> bool {
        let planned = self.total_per_s * PLANNED_FRACTION;
        let own = planned / f64::from(self.hosts.max(1));
        let sent = server.cold_sends(now, COLD_WINDOW_MS) as f64;
        if own >= 1.0 {
            return sent + 1.0 <= own.floor();
        }
        let Some(others) = &self.other_hashes else {
            return false;
        };
        let order = |hash: u64| hash::mix(hash ^ server.hash);
        let own_order = order(self.own_hash);
        let hosts_before = others.iter().filter(|hash| order(**hash) < own_order);
        sent < 1.0 && (hosts_before.count() as f64) < planned.floor()
    }
}

/// One step of the retry window.
#[derive(Debug, Clone, Copy, Default)]
struct RetryStep {
    number: u64,
    requests: u64,
    retries: u64,
}

/// The retries that one host may send to a service.
///
/// The budget holds for the sum of all hosts in any window, while processes end and start again and
/// callers move from host to host. So a host must not save up a whole window's retries: another
/// process, which does not know of them, may get the callers next. Retries are earned with each
/// request and each moment, and only a part of a window's budget can be saved. In any window all
/// hosts together then send at most what is earned in it, and what was saved before.
#[derive(Debug)]
pub struct RetryWindow {
    step_ms: u64,
    steps: collections::VecDeque<RetryStep>,
    /// Retries that were earned and not used.
    saved: f64,
    /// Until when retries were earned with time; `None` before the first time.
    earned_at: Option<Moment>,
    allowed_total: u64,
}

/// What a window counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryUsage {
    /// First attempts in the window.
    pub requests: u64,
    /// Retries in the window.
    pub retries: u64,
}

/// The retries that one host may send in addition to its requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries that all hosts together may send within a window.
    pub slack: f64,
    /// Number of hosts that share the slack.
    pub hosts: u32,
}

impl RetryShare {
    /// This host's part of the slack.
    fn own_slack(&self) -> f64 {
        self.slack / f64::from(self.hosts.max(1))
    }
}

impl RetryWindow {
    /// A window of `window_ms` in a process that started at `Moment(0)`. Nothing is saved, since an
    /// earlier process may have used it.
    #[must_use]
    pub const fn with_length(window_ms: u64) -> Self {
        let step = window_ms / RETRY_STEPS;
        Self {
            step_ms: if step == 0 { 1 } else { step },
            steps: collections::VecDeque::new(),
            saved: 0.0,
            earned_at: None,
            allowed_total: 0,
        }
    }

    /// Counts the first attempt to send a request.
    pub fn on_request(&mut self, share: &RetryShare, now: Moment) {
        self.earn_slack(share, now);
        self.step(now).requests += 1;
        self.save(EARNED_FRACTION * share.ratio, share);
    }

    /// Counts one retry if the share allows it; returns whether it does.
    ///
    /// ```
    /// use ledgespool::entry::budget;
    /// use ledgespool::timer::Moment;
    /// let share = budget::RetryShare { ratio: 0.2, slack: 0.0, hosts: 9 };
    /// let mut window = budget::RetryWindow::with_length(10_000);
    /// assert!(!window.try_retry(&share, Moment(0)));
    /// for _ in 0..20 {
    ///     window.on_request(&share, Moment(1));
    /// }
    /// assert!(window.try_retry(&share, Moment(2)));
    /// ```
    pub fn try_retry(&mut self, share: &RetryShare, now: Moment) -> bool {
        self.try_retry_within(share, 1.0, now)
    }

    /// Counts one retry if more than the other part of what can be saved is left; returns whether it
    /// is. With a part below 1, the rest is kept for other retries.
    ///
    /// ```
    /// use ledgespool::entry::budget;
    /// use ledgespool::timer::Moment;
    /// let share = budget::RetryShare { ratio: 0.0, slack: 16.0, hosts: 1 };
    /// let mut window = budget::RetryWindow::with_length(10_000);
    /// let now = Moment(20_000);
    /// assert!(window.try_retry_within(&share, 0.5, now));
    /// assert!(window.try_retry_within(&share, 0.5, now));
    /// assert!(!window.try_retry_within(&share, 0.5, now));
    /// assert!(window.try_retry(&share, now));
    /// ```
    pub fn try_retry_within(&mut self, share: &RetryShare, part: f64, now: Moment) -> bool {
        if !self.allows_within(share, part, now) {
            return false;
        }
        self.saved -= 1.0;
        self.step(now).retries += 1;
        self.allowed_total += 1;
        true
    }

    /// Whether the share allows one more retry.
    pub fn allows(&mut self, share: &RetryShare, now: Moment) -> bool {
        self.allows_within(share, 1.0, now)
    }

    fn allows_within(&mut self, share: &RetryShare, part: f64, now: Moment) -> bool {
        self.earn_slack(share, now);
        let limit = self.save_limit(share);
        // Where little can be saved, the kept part must not exceed what one retry leaves.
        let kept = ((1.0 - part) * limit).min((limit - 1.0).max(0.0));
        self.saved >= 1.0 + kept
    }

    /// Earns the part of the slack for the time since the last request or retry.
    fn earn_slack(&mut self, share: &RetryShare, now: Moment) {
        self.step(now);
        let window_ms = (self.step_ms * RETRY_STEPS) as f64;
        if share.own_slack() < MIN_OWN_SLACK {
            // The number of hosts is not known yet; the time counts once it is.
            return;
        }
        let since = self
            .earned_at
            .map_or(now.0 + START_CREDIT_MS, |at| now.since(at));
        self.earned_at = Some(now.max(self.earned_at.unwrap_or_default()));
        let earned = EARNED_FRACTION * share.own_slack() * since as f64 / window_ms;
        self.save(earned, share);
    }

    fn save(&mut self, earned: f64, share: &RetryShare) {
        self.saved = (self.saved + earned).min(self.save_limit(share));
    }

    /// The most retries that can be saved. A host with few requests saves one retry if its budget of
    /// a window allows that.
    fn save_limit(&self, share: &RetryShare) -> f64 {
        let requests = self.usage().requests as f64;
        let budget = requests * share.ratio + share.own_slack();
        let single = (budget * SINGLE_RETRY_FRACTION).min(1.0);
        (budget * SAVED_FRACTION).max(single)
    }

    /// The counts of the window that ended with the last request or retry.
    #[must_use]
    pub fn usage(&self) -> RetryUsage {
        RetryUsage {
            requests: self.steps.iter().map(|step| step.requests).sum(),
            retries: self.steps.iter().map(|step| step.retries).sum(),
        }
    }

    /// Retries that were allowed since the process started.
    #[must_use]
    pub const fn allowed_total(&self) -> u64 {
        self.allowed_total
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
