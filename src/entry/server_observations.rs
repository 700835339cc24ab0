//! What this host observed of a backend server through its own requests and the server's answers,
//! and which load other hosts reported.

use std::collections;

use super::server_notice::ServerNotice;
use crate::load_exchange::estimate::ServerReport;
use crate::timer::Moment;

/// Time constant of the decay of an observed slowdown, in milliseconds; after this time it counts
/// for about a third. A slow server gets no requests, so only time can clear it. Slow periods
/// typically last five to ten seconds, so the server is tried again once or twice within one.
const SLOWDOWN_DECAY_MS: f64 = 3_000.0;

/// Number of changes of this host's requests at a server that are remembered. A host sends a server
/// fewer within the age at which reports are still told.
const MAX_IN_FLIGHT_CHANGES: usize = 8;

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
    /// The latest changes of this host's requests at the server, the oldest first: when, and how
    /// many they were before.
    in_flight_changes: collections::VecDeque<(Moment, u32)>,
}

impl ServerObservations {
    /// Records that the number of this host's requests at the server changes from `before`.
    pub(super) fn on_in_flight_change(&mut self, before: u32, now: Moment) {
        if self.in_flight_changes.len() == MAX_IN_FLIGHT_CHANGES {
            self.in_flight_changes.pop_front();
        }
        self.in_flight_changes.push_back((now, before));
    }

    /// Number of this host's requests at the server at an earlier moment, given the present one.
    pub(super) fn in_flight_at(&self, at: Moment, present: u32) -> u32 {
        let mut later = self.in_flight_changes.iter();
        let next = later.find(|(changed, _)| *changed > at);
        next.map_or(present, |(_, before)| *before)
    }
}

/// A load report of a server, and how much of that load was this host's.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadReport {
    pub(super) report: ServerReport,
    pub(super) own_in_flight: u32,
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
