//! What own requests have shown of a backend server, and what it told with its answers.

use std::collections;

use super::server::ServerLoad;
use super::server_notice::ServerNotice;
use crate::timer::Moment;

/// What was seen of a server's pace counts for less with age; after this time, in milliseconds, for
/// about a third. A server that seemed slow gets no work, so only time can clear it; with the
/// usual slow spells of five to ten seconds it is tried again once or twice within one.
const PACE_FADE_MS: f64 = 3_000.0;

/// What own requests have shown of a server, and what it told with its answers.
#[derive(Debug, Default)]
pub(super) struct SeenServer {
    pub(super) notice: ServerNotice,
    pub(super) told: Option<ToldLoad>,
    pub(super) pace: Option<SeenPace>,
    /// The time of the answer before, as a multiple of what is usual.
    pub(super) last_share: Option<f64>,
    pub(super) failures: u32,
    pub(super) ejected_until: Option<Moment>,
    pub(super) ejections: u32,
    pub(super) cold_sends: collections::VecDeque<Moment>,
    /// Hashes of the objects that this host lately sent there, the oldest first.
    pub(super) objects: collections::VecDeque<u64>,
}

/// A load that a server told, and how much of it was this host's.
#[derive(Debug, Clone, Copy)]
pub(super) struct ToldLoad {
    pub(super) load: ServerLoad,
    pub(super) own: u32,
    pub(super) at: Moment,
}

/// How long a server took as a multiple of what is usual, averaged up to a moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct SeenPace {
    pub(super) share: f64,
    pub(super) at: Moment,
}

impl SeenPace {
    /// What it still says at `now`: it fades towards the usual pace.
    pub(super) fn faded(self, now: Moment) -> f64 {
        let age_ms = now.since(self.at) as f64;
        1.0 + (self.share - 1.0) * (-age_ms / PACE_FADE_MS).exp()
    }
}
