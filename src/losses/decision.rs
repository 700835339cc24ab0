//! Finds the decision of a host by which a request was lost: refused, failed or late.

use std::fmt;

use super::cause::LateCause;
use super::line::{AnsweredLine, FailedLine};
use crate::entry::refusal_reason;

/// A server counts as fuller than expected if its answer reports at least this many requests more
/// than the host expected. A request or two come and go while an attempt is on its way.
const UNEXPECTED_REQUESTS: f64 = 2.0;

/// The decision by which a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossDecision {
    /// Refused: the customer's limit is reached.
    RefusedLimit,
    /// Refused: every place would be late.
    RefusedAllLate,
    /// Refused: every server has as many requests as it takes.
    RefusedAllLimited,
    /// Refused: every server that was asked refused it unrun.
    RefusedByServers,
    /// Refused: no server may serve it.
    RefusedNoServer,
    /// Refused: this host reaches no server, and no other host serves it.
    RefusedUnreachable,
    /// Refused: servers crashed while processing it.
    RefusedQuarantined,
    /// Refused: the host had no memory for its body.
    RefusedMemory,
    /// Refused: the host stops.
    RefusedLeaving,
    /// Refused after it waited at the host.
    RefusedAfterWait,
    /// Refused: the host has no configuration or no list of servers yet.
    RefusedNotReady,
    /// Refused: route and customer have no region in common.
    RefusedHomes,
    /// The request itself is invalid.
    Rejected,
    /// Sent, and no trustworthy answer came back.
    FailedLost,
    /// Sent, and not answered before its deadline.
    FailedTimedOut,
    /// Ended with an outcome that this build does not know.
    FailedOther,
    /// Late: an earlier request of its caller was refused, or the caller made a look-up first.
    LateCallerRetry,
    /// Late: it waited at the host for a free slot.
    LateWaitedAtHost,
    /// Late: an earlier attempt took the time.
    LateEarlierAttempt,
    /// Late: sent to a server that did not have its object cached.
    LateCacheMiss,
    /// Late: waited at a server that was fuller than expected.
    LateFullerThanExpected,
    /// Late: waited at a server that was as full as expected.
    LateFullAsExpected,
    /// Late: waited at a server that reported no load with the answer.
    LateLoadUnknown,
    /// Late: sent to a distant server.
    LateNetworkLatency,
    /// Late: the work itself took too long.
    LateWork,
}

impl LossDecision {
    /// Returns the decision by which a request failed.
    ///
    /// ```
    /// use ledgespool::losses::decision::LossDecision;
    /// use ledgespool::losses::line::{self, LossLine};
    /// let text = r#"{"unix_ms":5,"event":"EV5011","route":"reads","end":"refused_limit"}"#;
    /// let Ok(LossLine::Failed(line)) = line::read(text) else { panic!("a failed request") };
    /// assert_eq!(LossDecision::of_failed(&line), LossDecision::RefusedLimit);
    /// ```
    #[must_use]
    pub fn of_failed(line: &FailedLine) -> Self {
        let outcome = line.outcome.as_str();
        if outcome.starts_with("refused") && line.waited_ms.unwrap_or(0) > 0 {
            return Self::RefusedAfterWait;
        }
        match (outcome, line.reason.as_deref()) {
            ("refused_full", Some(refusal_reason::NOT_RUN)) => Self::RefusedByServers,
            ("refused_full", Some(refusal_reason::EVERY_SERVER_LIMITED)) => Self::RefusedAllLimited,
            ("refused_full", _) => Self::RefusedAllLate,
            ("refused_limit", _) => Self::RefusedLimit,
            ("refused_no_server", _) => Self::RefusedNoServer,
            ("refused_unreachable", _) => Self::RefusedUnreachable,
            ("refused_quarantined", _) => Self::RefusedQuarantined,
            ("refused_memory", _) => Self::RefusedMemory,
            ("refused_leaving", _) => Self::RefusedLeaving,
            ("refused_unconfigured" | "refused_unlisted", _) => Self::RefusedNotReady,
            ("refused_homes", _) => Self::RefusedHomes,
            ("rejected", _) => Self::Rejected,
            ("lost", _) => Self::FailedLost,
            ("timed_out", _) => Self::FailedTimedOut,
            _ => Self::FailedOther,
        }
    }

    /// Returns the decision by which `line` was late for `cause`.
    #[must_use]
    pub fn of_late(line: &AnsweredLine, cause: LateCause) -> Self {
        match cause {
            LateCause::CallerRetry => Self::LateCallerRetry,
            LateCause::WaitedAtHost => Self::LateWaitedAtHost,
            LateCause::EarlierAttempt => Self::LateEarlierAttempt,
            LateCause::CacheMiss => Self::LateCacheMiss,
            LateCause::Wait => Self::of_wait(line),
            LateCause::NetworkLatency => Self::LateNetworkLatency,
            LateCause::Work => Self::LateWork,
        }
    }

    fn of_wait(line: &AnsweredLine) -> Self {
        let Some(reported) = line.attempt.reported_load else {
            return Self::LateLoadUnknown;
        };
        if f64::from(reported) >= line.attempt.expected.load + UNEXPECTED_REQUESTS {
            Self::LateFullerThanExpected
        } else {
            Self::LateFullAsExpected
        }
    }

    /// Returns the description in tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RefusedLimit => "refused: customer's limit",
            Self::RefusedAllLate => "refused: every place late",
            Self::RefusedAllLimited => "refused: every server at its limit",
            Self::RefusedByServers => "refused: servers refused it",
            Self::RefusedNoServer => "refused: no server may serve it",
            Self::RefusedUnreachable => "refused: no server reached",
            Self::RefusedQuarantined => "refused: quarantined",
            Self::RefusedMemory => "refused: no memory for its body",
            Self::RefusedLeaving => "refused: host leaving",
            Self::RefusedAfterWait => "refused: after a wait at the host",
            Self::RefusedNotReady => "refused: host not ready",
            Self::RefusedHomes => "refused: no common region",
            Self::Rejected => "rejected: invalid request",
            Self::FailedLost => "failed: answer lost",
            Self::FailedTimedOut => "failed: deadline passed",
            Self::FailedOther => "failed: other",
            Self::LateCallerRetry => "late: caller came back",
            Self::LateWaitedAtHost => "late: waited at the host",
            Self::LateEarlierAttempt => "late: earlier offer",
            Self::LateCacheMiss => "late: first run",
            Self::LateFullerThanExpected => "late: server fuller than expected",
            Self::LateFullAsExpected => "late: server as full as expected",
            Self::LateLoadUnknown => "late: wait, load not reported",
            Self::LateNetworkLatency => "late: way",
            Self::LateWork => "late: work",
        }
    }
}

impl fmt::Display for LossDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
