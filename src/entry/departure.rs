//! Callers that leave before their answer is complete: when this host learned of it, and what it did
//! for them afterwards.

use std::{cell, rc};

use crate::metrics_writer::{FixedHistogram, MetricsWriter};
use crate::timer::Moment;

/// Upper bounds of the time that work went on after a departure, in milliseconds. A departure must
/// end it within half a second.
const BUCKETS_MS: [u64; 6] = [10, 50, 100, 250, 500, 2_000];

/// Whether the caller at the other end of a connection has left.
///
/// ```
/// use ledgespool::entry::departure::CallerDeparture;
/// use ledgespool::timer::Moment;
/// let departure = CallerDeparture::default();
/// assert_eq!(departure.age_ms(Moment(10)), None);
/// departure.on_left(Moment(10));
/// assert_eq!(departure.age_ms(Moment(25)), Some(15));
/// ```
#[derive(Debug, Default)]
pub struct CallerDeparture {
    left_at: cell::Cell<Option<Moment>>,
}

impl CallerDeparture {
    /// Records that this host learned of the departure.
    pub fn on_left(&self, now: Moment) {
        self.left_at.set(Some(now));
    }

    /// The time since the departure, in milliseconds; `None` if the caller has not left.
    #[must_use]
    pub fn age_ms(&self, now: Moment) -> Option<u64> {
        self.left_at.get().map(|left| now.since(left))
    }
}

/// What a host does for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// Reads it, or waits for a configuration.
    #[default]
    Reading,
    /// Holds it until a server has a slot, a limit lets it through or a connection is open.
    Waiting,
    /// A server runs it, or another host serves it.
    Running,
    /// Its answer is being sent.
    Answering,
}

impl RequestPhase {
    const ALL: [Self; 4] = [Self::Reading, Self::Waiting, Self::Running, Self::Answering];

    /// The label in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Answering => "answering",
        }
    }
}

/// How far a request has come, and whether its caller is still there.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Shared by the requests of a connection.
    departure: rc::Rc<CallerDeparture>,
    phase: cell::Cell<RequestPhase>,
    late_sends: cell::Cell<u32>,
}

impl RequestProgress {
    /// The progress of a request that has just arrived.
    #[must_use]
    pub fn new(departure: rc::Rc<CallerDeparture>) -> Self {
        Self {
            departure,
            phase: cell::Cell::default(),
            late_sends: cell::Cell::default(),
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> RequestPhase {
        self.phase.get()
    }

    /// Records that the request has entered a phase.
    pub fn enter(&self, phase: RequestPhase) {
        self.phase.set(phase);
    }

    /// Records that the request is sent to a server or to another host.
    pub fn on_sent(&self, now: Moment) {
        self.enter(RequestPhase::Running);
        if self.departure.age_ms(now).is_some() {
            self.late_sends.set(self.late_sends.get() + 1);
        }
    }

    /// What was done after the caller left, if work ends `now`; `None` if the caller is there.
    #[must_use]
    pub fn late_work(&self, now: Moment) -> Option<LateWork> {
        let lasted_ms = self.departure.age_ms(now)?;
        Some(LateWork {
            lasted_ms,
            sends: self.late_sends.get(),
        })
    }
}

/// What a host did for a request after its caller had left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct LateWork {
    /// How long it went on, in milliseconds.
    pub lasted_ms: u64,
    /// How often the request was sent to a server or to another host.
    pub sends: u32,
}

/// Counters of callers that left.
#[derive(Debug, Clone, Copy)]
pub struct DepartureCounters {
    /// Requests in flight whose work a departure ended, by phase.
    ended: [u64; RequestPhase::ALL.len()],
    late_sends: u64,
    late_work: FixedHistogram<{ BUCKETS_MS.len() }>,
}

impl Default for DepartureCounters {
    fn default() -> Self {
        Self {
            ended: [0; RequestPhase::ALL.len()],
            late_sends: 0,
            late_work: FixedHistogram::with_bounds(&BUCKETS_MS),
        }
    }
}

impl DepartureCounters {
    /// Counts a request that ended in `phase` because its caller left.
    pub const fn on_ended(&mut self, phase: RequestPhase) {
        self.ended[phase as usize] += 1;
    }

    /// Counts what was done for a request after its caller left.
    pub fn on_late_work(&mut self, work: LateWork) {
        self.late_sends += u64::from(work.sends);
        self.late_work.record(work.lasted_ms);
    }

    /// Writes the counters.
    ///
    /// ```
    /// use ledgespool::entry::departure::{DepartureCounters, LateWork, RequestPhase};
    /// use ledgespool::metrics_writer::MetricsWriter;
    /// let mut counters = DepartureCounters::default();
    /// counters.on_ended(RequestPhase::Running);
    /// counters.on_late_work(LateWork { lasted_ms: 3, sends: 1 });
    /// let mut page = MetricsWriter::default();
    /// counters.write_to(&mut page);
    /// let text = page.into_text();
    /// assert!(text.contains("ledgespool_callers_left_total{phase=\"running\"} 1\n"));
    /// assert!(text.contains("ledgespool_sent_after_departure_total 1\n"));
    /// ```
    pub fn write_to(&self, page: &mut MetricsWriter) {
        for phase in RequestPhase::ALL {
            let labels = [("phase", phase.as_str())];
            let count = self.ended[phase as usize];
            page.labelled("ledgespool_callers_left_total", &labels, count);
        }
        page.value("ledgespool_sent_after_departure_total", self.late_sends);
        let name = "ledgespool_work_after_departure_milliseconds";
        self.late_work.write_to(page, name, &[]);
    }
}
