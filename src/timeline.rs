//! One ordered view of the events of all processes.
//!
//! Each event carries a hybrid logical clock (Kulkarni et al., 2014): the wall clock, moved ahead
//! of every stamp that the process has received from a peer. An effect is therefore never stamped
//! before its cause, however far the hosts' clocks differ. Events are ordered by stamp, then host,
//! then the host's event number.

use std::sync::atomic;
use std::{collections, sync};

use crate::event;
use crate::timer;

/// Events that each process retains in memory.
pub const MAX_EVENTS: usize = 4_096;
const COUNTER_BITS: u32 = 16;

/// A reading of the hybrid clock: Unix milliseconds in the upper 48 bits, a counter below.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct ClockStamp(pub u64);

impl ClockStamp {
    /// The Unix milliseconds of the stamp.
    #[must_use]
    pub const fn unix_millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// The hybrid clock of a process, shared by its threads.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: sync::Arc<atomic::AtomicU64>,
}

impl HybridClock {
    /// Returns a stamp later than all previous ones.
    #[must_use]
    pub fn tick(&self) -> ClockStamp {
        let wall = timer::unix_millis() << COUNTER_BITS;
        let next = |last: u64| Some(wall.max(last + 1));
        let update =
            self.last
                .fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, next);
        let last = update.unwrap_or_else(|last| last);
        ClockStamp(wall.max(last + 1))
    }

    /// Advances the clock past a stamp received from another process. A stamp more than a minute
    /// ahead of this host's wall clock is ignored, so that one broken clock does not move all
    /// others.
    pub fn observe(&self, stamp: ClockStamp) {
        const MAX_AHEAD_MS: u64 = 60_000;
        if stamp.unix_millis() <= timer::unix_millis() + MAX_AHEAD_MS {
            self.last.fetch_max(stamp.0, atomic::Ordering::AcqRel);
        }
    }
}

/// One event, as stored and shown.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct EventRecord {
    /// When the event happened, by the hybrid clock.
    pub stamp: ClockStamp,
    /// The host whose process wrote the event.
    pub host: String,
    /// Sequence number within the process.
    pub number: u64,
    /// The event's number, such as 2001.
    pub event: u16,
    /// Details.
    pub detail: String,
}

impl EventRecord {
    /// The event's sentence in the catalogue.
    #[must_use]
    pub fn text(&self) -> &'static str {
        let known = event::EventCode::ALL
            .iter()
            .find(|code| code.number() == self.event);
        known.map_or("An event of another release.", |code| code.text())
    }
}

/// Merges the events of several processes, ordered by stamp, host and number.
///
/// ```
/// use ledgespool::timeline;
/// let event = |stamp, host: &str| timeline::EventRecord {
///     stamp: timeline::ClockStamp(stamp), host: host.into(), number: 1, event: 1001, detail: String::new(),
/// };
/// let merged = timeline::merge_events(vec![vec![event(2, "b")], vec![event(1, "a"), event(3, "a")]]);
/// assert_eq!(merged.iter().map(|event| event.stamp.0).collect::<Vec<_>>(), vec![1, 2, 3]);
/// ```
#[must_use]
pub fn merge_events(processes: Vec<Vec<EventRecord>>) -> Vec<EventRecord> {
    let mut merged: Vec<EventRecord> = processes.into_iter().flatten().collect();
    merged.sort_by(|left, right| {
        (left.stamp, &left.host, left.number).cmp(&(right.stamp, &right.host, right.number))
    });
    merged.dedup_by(|right, left| {
        (right.stamp, &right.host, right.number) == (left.stamp, &left.host, left.number)
    });
    merged
}

/// The latest events of one process, at most [`MAX_EVENTS`].
#[derive(Debug, Default)]
pub struct EventLog {
    records: collections::VecDeque<EventRecord>,
}

impl EventLog {
    /// Adds an event; when full, the oldest is removed.
    pub fn push(&mut self, record: EventRecord) {
        if self.records.len() == MAX_EVENTS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the events later than `after`.
    #[must_use]
    pub fn since(&self, after: ClockStamp) -> Vec<EventRecord> {
        self.records
            .iter()
            .filter(|record| record.stamp > after)
            .cloned()
            .collect()
    }
}
