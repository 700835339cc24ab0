//! The compact form in which hosts tell each other load reports and cached objects.
//!
//! **Load pattern.** Every host tells reports many times a second, and traffic between halls is paid
//! for, so a report takes 6 bytes. It carries its age instead of a time, because the clocks of
//! hosts differ.

use super::estimate::ServerReport;
use crate::timer::Moment;

/// Maximum number of own reports told at a time. A host that gets more answers per second tells of
/// the newest. With [`super::schedule::RECIPIENTS`], this and [`MAX_RELAYED_REPORTS`] keep digests
/// below 10 KB/s ten times a second, headers of the datagrams included.
pub const MAX_OWN_REPORTS: usize = 3;
/// Maximum number of reports told on at a time. See [`MAX_OWN_REPORTS`].
pub const MAX_RELAYED_REPORTS: usize = 20;
/// Maximum number of cached objects told at a time. They change far less often than loads.
pub const MAX_PLACEMENTS: usize = 1;
/// Resolution of an age, in milliseconds; a report crosses a region in less.
const AGE_STEP_MS: u64 = 10;
/// Resolution of a pace, in percent. The largest pace that can be told is over ten times the usual
/// one.
const PACE_STEP: u32 = 4;

/// The incarnation of a server, as the lower bytes of its hash. Among 10,000
/// servers, about three pairs have the same key and are left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ServerKey([u8; 3]);

impl ServerKey {
    /// The key of the incarnation with this hash.
    ///
    /// ```
    /// use ledgespool::load_exchange::digest::ServerKey;
    /// assert_eq!(ServerKey::of_incarnation(1 << 40 | 7), ServerKey::of_incarnation(7));
    /// ```
    #[must_use]
    pub const fn of_incarnation(incarnation_hash: u64) -> Self {
        let [first, second, third, ..] = incarnation_hash.to_le_bytes();
        Self([first, second, third])
    }
}

/// A server's report as told to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ToldReport {
    /// The server.
    pub server: ServerKey,
    /// Requests at the server; 255 stands for more as well.
    requests: u8,
    /// The pace in steps of [`PACE_STEP`]; 0 if the server reported none.
    pace_steps: u8,
    /// The age in steps of [`AGE_STEP_MS`].
    age_steps: u8,
}

impl ToldReport {
    /// Encodes a report; `None` if it is too old to be told.
    ///
    /// ```
    /// use ledgespool::load_exchange::digest::{ServerKey, ToldReport};
    /// use ledgespool::load_exchange::estimate::ServerReport;
    /// use ledgespool::timer::Moment;
    /// let report = ServerReport { requests: 6, pace: Some(148), at: Moment(5_000) };
    /// let key = ServerKey::of_incarnation(7);
    /// let told = ToldReport::from_report(key, &report, Moment(5_040)).unwrap();
    /// // Another host's clock differs; the age counts.
    /// let heard = told.report(Moment(940));
    /// assert_eq!(heard, ServerReport { at: Moment(900), ..report });
    /// assert!(ToldReport::from_report(key, &report, Moment(9_000)).is_none());
    /// ```
    #[must_use]
    pub fn from_report(server: ServerKey, report: &ServerReport, now: Moment) -> Option<Self> {
        // Rounded up, so that a report never becomes younger on its way.
        let age_steps = now.since(report.at).div_ceil(AGE_STEP_MS);
        Some(Self {
            server,
            requests: u8::try_from(report.requests).unwrap_or(u8::MAX),
            pace_steps: report.pace.map_or(0, pace_steps),
            age_steps: u8::try_from(age_steps).ok()?,
        })
    }

    /// The report as a host knows it that hears it at `now`.
    #[must_use]
    pub fn report(&self, now: Moment) -> ServerReport {
        let pace = (self.pace_steps > 0).then(|| u32::from(self.pace_steps) * PACE_STEP);
        ServerReport {
            requests: u32::from(self.requests),
            pace,
            at: now.before(u64::from(self.age_steps) * AGE_STEP_MS),
        }
    }
}

fn pace_steps(pace: u32) -> u8 {
    let steps = (pace / PACE_STEP).max(1);
    u8::try_from(steps).unwrap_or(u8::MAX)
}

/// An object that a server probably has cached, because a host sent it a request for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CachedObject {
    /// The server.
    pub server: ServerKey,
    object: [u8; 8],
}

impl CachedObject {
    /// The object with the hash `object` at a server.
    ///
    /// ```
    /// use ledgespool::load_exchange::digest::{CachedObject, ServerKey};
    /// let cached = CachedObject::at(ServerKey::of_incarnation(7), 11);
    /// assert_eq!(cached.object(), 11);
    /// ```
    #[must_use]
    pub const fn at(server: ServerKey, object: u64) -> Self {
        Self {
            server,
            object: object.to_le_bytes(),
        }
    }

    /// Hash of the object.
    #[must_use]
    pub const fn object(&self) -> u64 {
        u64::from_le_bytes(self.object)
    }
}

/// What a host tells another one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct LoadDigest {
    /// Load reports, the newest first.
    pub reports: Vec<ToldReport>,
    /// Objects that were cached at servers other than their first.
    pub placements: Vec<CachedObject>,
}

impl LoadDigest {
    /// Adds what another digest contains.
    #[must_use]
    pub fn with(mut self, other: &Self) -> Self {
        self.reports.extend_from_slice(&other.reports);
        self.placements.extend_from_slice(&other.placements);
        self
    }

    /// Whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.placements.is_empty()
    }
}
