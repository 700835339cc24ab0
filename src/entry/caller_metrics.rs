//! Counters of callers that met a limit of the host.

use crate::metrics_writer::MetricsWriter;
use crate::timer::Moment;

/// Shortest time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// How often callers met a limit since the start.
///
/// ```
/// use ledgespool::entry::caller_metrics::CallerCounters;
/// use ledgespool::timer::Moment;
/// let mut counters = CallerCounters::default();
/// assert_eq!(counters.due_report(Moment(5_000)), None);
/// counters.bodies_refused += 2;
/// let report = counters.due_report(Moment(5_000)).expect("something to report");
/// assert_eq!(report.bodies_refused, 2);
/// counters.bodies_refused += 1;
/// assert_eq!(counters.due_report(Moment(5_900)), None, "too soon");
/// assert!(counters.due_report(Moment(6_000)).is_some());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerCounters {
    /// Requests refused because there was no memory for their bodies.
    pub bodies_refused: u64,
    /// Bodies that yielded their memory to others while they arrived.
    pub bodies_yielded: u64,
    /// Connections closed because there was no memory for a head.
    pub heads_refused: u64,
    /// Connections closed to give their places to others.
    pub connections_closed: u64,
    /// Connections closed at once because there was no place for them.
    pub connections_refused: u64,
    /// Connections closed because their callers did not read their answers in time.
    pub answers_unread: u64,
    /// Answers passed on while they arrived because there was no memory to complete them first.
    pub answers_unbuffered: u64,
    /// Connections that could not be accepted, for example for lack of descriptors.
    pub accepts_failed: u64,
    reported: ReportedCounts,
    reported_at: Option<Moment>,
}

/// How often callers met each limit since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReportedCounts {
    /// See [`CallerCounters::bodies_refused`].
    pub bodies_refused: u64,
    /// See [`CallerCounters::bodies_yielded`].
    pub bodies_yielded: u64,
    /// See [`CallerCounters::heads_refused`].
    pub heads_refused: u64,
    /// See [`CallerCounters::connections_closed`].
    pub connections_closed: u64,
    /// See [`CallerCounters::connections_refused`].
    pub connections_refused: u64,
    /// See [`CallerCounters::answers_unread`].
    pub answers_unread: u64,
    /// See [`CallerCounters::answers_unbuffered`].
    pub answers_unbuffered: u64,
    /// See [`CallerCounters::accepts_failed`].
    pub accepts_failed: u64,
}

impl CallerCounters {
    /// The report that is due, if callers met a limit since the last one.
    pub fn due_report(&mut self, now: Moment) -> Option<ReportedCounts> {
        let is_early = |at: Moment| now.since(at) < REPORT_INTERVAL_MS;
        let current = self.current();
        if current == self.reported || self.reported_at.is_some_and(is_early) {
            return None;
        }
        let last = std::mem::replace(&mut self.reported, current);
        self.reported_at = Some(now);
        Some(current.since(last))
    }

    const fn current(&self) -> ReportedCounts {
        ReportedCounts {
            bodies_refused: self.bodies_refused,
            bodies_yielded: self.bodies_yielded,
            heads_refused: self.heads_refused,
            connections_closed: self.connections_closed,
            connections_refused: self.connections_refused,
            answers_unread: self.answers_unread,
            answers_unbuffered: self.answers_unbuffered,
            accepts_failed: self.accepts_failed,
        }
    }

    /// Writes the counters and what is held now.
    pub fn write_to(&self, page: &mut MetricsWriter, held: &HeldForCallers) {
        page.value("ledgespool_bodies_refused_total", self.bodies_refused);
        page.value("ledgespool_bodies_yielded_total", self.bodies_yielded);
        page.value("ledgespool_heads_refused_total", self.heads_refused);
        let closed = self.connections_closed;
        page.value("ledgespool_accepted_connections_closed_total", closed);
        let refused = self.connections_refused;
        page.value("ledgespool_accepted_connections_refused_total", refused);
        page.value("ledgespool_answers_unread_total", self.answers_unread);
        let unbuffered = self.answers_unbuffered;
        page.value("ledgespool_answers_unbuffered_total", unbuffered);
        page.value("ledgespool_accepts_failed_total", self.accepts_failed);
        let limit = held.connections_limit as u64;
        page.value("ledgespool_accepted_connections_limit", limit);
        page.value("ledgespool_caller_memory_bytes", held.memory_bytes);
        page.value(
            "ledgespool_caller_memory_limit_bytes",
            held.memory_limit_bytes,
        );
        page.value("ledgespool_arriving_bodies", held.arriving_bodies as u64);
    }
}

impl ReportedCounts {
    const fn since(self, earlier: Self) -> Self {
        Self {
            bodies_refused: self.bodies_refused - earlier.bodies_refused,
            bodies_yielded: self.bodies_yielded - earlier.bodies_yielded,
            heads_refused: self.heads_refused - earlier.heads_refused,
            connections_closed: self.connections_closed - earlier.connections_closed,
            connections_refused: self.connections_refused - earlier.connections_refused,
            answers_unread: self.answers_unread - earlier.answers_unread,
            answers_unbuffered: self.answers_unbuffered - earlier.answers_unbuffered,
            accepts_failed: self.accepts_failed - earlier.accepts_failed,
        }
    }
}

/// What a host holds for callers now.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldForCallers {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// The limit of that memory.
    pub memory_limit_bytes: u64,
    /// Bodies that are arriving.
    pub arriving_bodies: usize,
    /// The limit of callers' connections.
    pub connections_limit: usize,
}
