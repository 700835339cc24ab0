//! Estimates a server's load from its last report and the requests that this host sent since.
//!
//! **Load pattern.** A report describes the past. Its requests end and other hosts send new ones,
//! so with its age it tells less, and the mean load of the service tells more. A report that is
//! only forgotten would make a full server look idle and attract the requests of all hosts.

use crate::timer::Moment;

/// Time constant with which the expectation approaches the mean load of the service, in
/// milliseconds. Requests hold a slot for about a second, and the popular objects of a server keep
/// it busy for longer than that.
const MEAN_REVERSION_MS: f64 = 2_000.0;
/// Maximum age of the reports that count for the mean load, in milliseconds.
const MEAN_MAX_AGE_MS: u64 = 2_000;
/// One in this many servers of a service must have a recent report before their mean counts for
/// all. A host that hears nothing from others gets answers of fewer.
const MIN_REPORTED_DIVISOR: usize = 4;
/// Time constant of the decay of a reported pace, in milliseconds. Servers share machines, and
/// their pace changes several times a second.
const PACE_DECAY_MS: f64 = 200.0;
/// The pace of a server that works as fast as usual, in percent.
const USUAL_PACE: f64 = 100.0;

/// A server's report of its load, and when it was made by the clock of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests at the server, running or waiting.
    pub requests: u32,
    /// How long work takes there in percent of the usual time, if reported.
    pub pace: Option<u32>,
    /// When it was made.
    pub at: Moment,
}

impl ServerReport {
    /// The factor by which work takes longer than usual at `now`. It decays to 1, the usual time.
    ///
    /// ```
    /// use ledgespool::load_exchange::estimate::ServerReport;
    /// use ledgespool::timer::Moment;
    /// let report = ServerReport { requests: 1, pace: Some(300), at: Moment(0) };
    /// assert!((report.pace_factor(Moment(0)) - 3.0).abs() < 1e-9);
    /// assert!((report.pace_factor(Moment(2_000)) - 1.0).abs() < 1e-3);
    /// ```
    #[must_use]
    pub fn pace_factor(&self, now: Moment) -> f64 {
        let Some(pace) = self.pace else { return 1.0 };
        let excess = f64::from(pace) / USUAL_PACE - 1.0;
        1.0 + excess * (-(now.since(self.at) as f64) / PACE_DECAY_MS).exp()
    }
}

/// What a host knows of the load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Requests of this host at the server now.
    pub own: u32,
    /// The newest report, and the requests of this host at the server when it was made.
    pub reported: Option<(ServerReport, u32)>,
    /// Load of the server if it has the mean load of its service.
    pub mean: f64,
}

impl LoadEstimate {
    /// The number of requests to expect at the server: this host's own, and those of others
    /// according to the report, which approach the mean with its age.
    ///
    /// ```
    /// use ledgespool::load_exchange::estimate::{LoadEstimate, ServerReport};
    /// use ledgespool::timer::Moment;
    /// let report = ServerReport { requests: 6, pace: None, at: Moment(0) };
    /// // One of the six was this host's and has ended; two were sent since.
    /// let estimate = LoadEstimate { own: 2, reported: Some((report, 1)), mean: 4.0 };
    /// assert!((estimate.requests(Moment(0)) - 7.0).abs() < 1e-9);
    /// assert!((estimate.requests(Moment(60_000)) - 4.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn requests(&self, now: Moment) -> f64 {
        let own = f64::from(self.own);
        let mean = (self.mean - own).max(0.0);
        let others = self.reported.map_or(mean, |(report, own_then)| {
            let others = f64::from(report.requests.saturating_sub(own_then));
            let weight = (-(now.since(report.at) as f64) / MEAN_REVERSION_MS).exp();
            mean + (others - mean) * weight
        });
        own + others
    }
}

/// The mean number of requests per slot of a service's servers, given the slots and the newest
/// report of each; `None` while too few of them have a recent report.
///
/// ```
/// use ledgespool::load_exchange::estimate::{self, ServerReport};
/// use ledgespool::timer::Moment;
/// let report = |requests| Some(ServerReport { requests, pace: None, at: Moment(0) });
/// let servers = [(4, report(2)), (4, report(6)), (8, None)];
/// assert_eq!(estimate::mean_per_slot(servers.into_iter(), Moment(0)), Some(1.0));
/// assert_eq!(estimate::mean_per_slot(servers.into_iter(), Moment(9_000)), None);
/// ```
#[must_use]
pub fn mean_per_slot(
    servers: impl Iterator<Item = (u32, Option<ServerReport>)>,
    now: Moment,
) -> Option<f64> {
    let (mut count, mut reported, mut slots, mut requests) = (0_usize, 0_usize, 0.0, 0.0);
    for (server_slots, report) in servers {
        count += 1;
        if let Some(report) = report.filter(|report| now.since(report.at) <= MEAN_MAX_AGE_MS) {
            reported += 1;
            slots += f64::from(server_slots);
            requests += f64::from(report.requests);
        }
    }
    let is_enough = reported > 0 && reported * MIN_REPORTED_DIVISOR >= count;
    is_enough.then(|| requests / slots)
}
