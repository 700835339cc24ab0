//! What this host observed of a backend server through its own requests and the server's answers.

use std::collections;

use super::server::ServerLoad;
use super::server_notice::ServerNotice;
use crate::timer::Moment;

/// Time constant of the decay of an observed slowdown, in milliseconds; after this time it counts
/// for about a third. A slow server gets no requests, so only time can clear it. Slow periods
/// typically last five to ten seconds, so the server is tried again once or twice within one.
const SLOWDOWN_DECAY_MS: f64 = 3_000.0;

/// Observations of a server by this host's own requests and the server's answers.
#[derive(Debug, Default)]
pub(super) struct ServerObservations {
    pub(super) notice: ServerNotice,
    pub(super) load_report: Option<LoadReport>,
    pub(super) slowdown: Option<Slowdown>,
    /// The time of the previous answer, as a multiple of the typical time.
    pub(super) last_factor: Option<f64>,
    pub(super) failures: u32,
    /// When its last answer arrived.
    pub(super) last_success: Option<Moment>,
    /// The start of the last ejection.
    pub(super) ejected_at: Moment,
    pub(super) ejected_until: Option<Moment>,
    pub(super) ejections: u32,
    pub(super) cold_sends: collections::VecDeque<Moment>,
    /// Hashes of the objects for which this host recently sent requests, the oldest first.
    pub(super) objects: collections::VecDeque<u64>,
}

/// A load report of a server, and how much of that load was this host's.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadReport {
    pub(super) load: ServerLoad,
    pub(super) own_in_flight: u32,
    pub(super) at: Moment,
}

/// A server's average answer time as a multiple of the typical time, and when it was last updated.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slowdown {
    pub(super) factor: f64,
    pub(super) at: Moment,
}

impl Slowdown {
    /// The slowdown at `now`, which decays towards 1.
    pub(super) fn decayed(self, now: Moment) -> f64 {
        let age_ms = now.since(self.at) as f64;
        1.0 + (self.factor - 1.0) * (-age_ms / SLOWDOWN_DECAY_MS).exp()
    }
}
