//! Finds the main cause of a late answer.

use std::fmt;

use super::line::AnsweredLine;

/// The main reason why an answer missed its goal: the first of these causes that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LateCause {
    /// The host answered in time, but the caller had started earlier: an earlier request was
    /// refused, or the caller made a look-up first.
    #[serde(rename = "came_back")]
    CallerRetry,
    /// It would have been in time without its wait at the host for a free slot.
    WaitedAtHost,
    /// An earlier attempt used up the time.
    #[serde(rename = "earlier_offer")]
    EarlierAttempt,
    /// It was the first request for its object on its server.
    #[serde(rename = "first_run")]
    CacheMiss,
    /// It waited at the server: the attempt took more than twice the expected work and round trip.
    Wait,
    /// It would have been in time without the expected round trip.
    #[serde(rename = "way")]
    NetworkLatency,
    /// The work itself: the server is slow, or the goal is too short for the work.
    Work,
}

impl LateCause {
    /// All causes, in the order in which they are checked.
    pub const ALL: [Self; 7] = [
        Self::CallerRetry,
        Self::WaitedAtHost,
        Self::EarlierAttempt,
        Self::CacheMiss,
        Self::Wait,
        Self::NetworkLatency,
        Self::Work,
    ];

    /// Returns the name of the cause in tables and charts.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallerRetry => "came back",
            Self::WaitedAtHost => "at host",
            Self::EarlierAttempt => "earlier",
            Self::CacheMiss => "first run",
            Self::Wait => "wait",
            Self::NetworkLatency => "way",
            Self::Work => "work",
        }
    }

    /// Returns why `answer` was late, or `None` if it was in time.
    ///
    /// `begun_ms` is how long before the request's arrival the caller had started. `cache_miss`
    /// states that the logs show no earlier answer for the object from this server.
    #[must_use]
    pub fn of(answer: &AnsweredLine, begun_ms: u64, cache_miss: bool) -> Option<Self> {
        if answer.after_ms + begun_ms <= answer.goal_ms {
            return None;
        }
        if answer.after_ms <= answer.goal_ms {
            return Some(Self::CallerRetry);
        }
        let waited_ms = answer.waited_ms.unwrap_or(0);
        if waited_ms > 0 && answer.after_ms.saturating_sub(waited_ms) <= answer.goal_ms {
            return Some(Self::WaitedAtHost);
        }
        let attempt = &answer.attempt;
        if attempt.earlier_attempts > 0 && attempt.took_ms <= answer.goal_ms {
            return Some(Self::EarlierAttempt);
        }
        if cache_miss {
            return Some(Self::CacheMiss);
        }
        let took_ms = attempt.took_ms as f64;
        if took_ms > 2.0 * (attempt.expected.work_ms + attempt.expected.rtt_ms) {
            return Some(Self::Wait);
        }
        if took_ms - attempt.expected.rtt_ms <= answer.goal_ms as f64 {
            return Some(Self::NetworkLatency);
        }
        Some(Self::Work)
    }
}

impl fmt::Display for LateCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
