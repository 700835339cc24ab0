//! Why an answer was late.

use std::fmt;

use super::line::AnsweredLine;

/// The main reason why an answer came after its goal: the first of these that holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LateCause {
    /// The host answered in time, but the caller had begun earlier: it was refused before, or
    /// looked up.
    CameBack,
    /// An earlier offer took the time.
    EarlierOffer,
    /// It was the first request about its object at its server.
    FirstRun,
    /// It waited at the server, longer than its work and way would have taken together.
    Wait,
    /// Without the way to another region it would have been in time.
    Way,
    /// The work itself: a slow server, or a goal that is too short for it.
    Work,
}

impl LateCause {
    /// All causes, in the order in which they are looked for.
    pub const ALL: [Self; 6] = [
        Self::CameBack,
        Self::EarlierOffer,
        Self::FirstRun,
        Self::Wait,
        Self::Way,
        Self::Work,
    ];

    /// Its name in tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CameBack => "came back",
            Self::EarlierOffer => "earlier offer",
            Self::FirstRun => "first run",
            Self::Wait => "wait",
            Self::Way => "way",
            Self::Work => "work",
        }
    }

    /// Why `answer` was late; `None` if it was not. `begun_ms` is how long before its arrival here
    /// the caller had begun, `first_run` whether its server was not seen to know the object.
    #[must_use]
    pub fn of(answer: &AnsweredLine, begun_ms: u64, first_run: bool) -> Option<Self> {
        if answer.after_ms + begun_ms <= answer.goal_ms {
            return None;
        }
        if answer.after_ms <= answer.goal_ms {
            return Some(Self::CameBack);
        }
        let offer = &answer.offer;
        if offer.earlier_attempts > 0 && offer.took_ms <= answer.goal_ms {
            return Some(Self::EarlierOffer);
        }
        if first_run {
            return Some(Self::FirstRun);
        }
        let took_ms = offer.took_ms as f64;
        if took_ms > 2.0 * (offer.expected.work_ms + offer.expected.rtt_ms) {
            return Some(Self::Wait);
        }
        if took_ms - offer.expected.rtt_ms <= answer.goal_ms as f64 {
            return Some(Self::Way);
        }
        Some(Self::Work)
    }
}

impl fmt::Display for LateCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
