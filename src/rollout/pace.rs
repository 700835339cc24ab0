//! When a host reports what it has counted of a roll-out.
//!
//! **Load pattern.** Every host of a region reports to the one that decides, and a region may have hundreds. What that one
//! gets must not grow with their number, while a bad version must be found out within the time of an answer or two. So
//! hosts report at once what may change a decision, and everything else in turn.

use super::plan::RolloutStep;
use crate::timer::Moment;

/// The least time between two reports of a host, in milliseconds: a fraction of the time for which all requests go to a
/// version before its order is complete.
pub const REPORT_MS: u64 = 200;
/// Reports a second that the host which decides takes from the others in turn; 100 bytes each.
const REPORTS_PER_S: u64 = 100;
/// A report counts as present for this many times the time between two of them: one may be lost.
const VALID_REPORTS: u64 = 3;
/// And for this long at least, in milliseconds.
const LEAST_VALID_MS: u64 = 2_000;

/// What of a report may change a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct ReportMark {
    /// Bad answers of the new version.
    pub(super) target_bad: u32,
    /// Requests that are under way on servers of other versions.
    pub(super) others_open: u32,
    /// How far the traffic has moved.
    pub(super) step: RolloutStep,
}

/// When a host last reported, and what.
#[derive(Debug, Default)]
pub(super) struct ReportPace {
    sent: Moment,
    mark: ReportMark,
}

impl ReportPace {
    /// Whether a report of `source` is due in a region of `hosts`; if so it counts as sent. Hosts that learn of an order
    /// together take their turns one after the other.
    pub(super) fn take_due(
        &mut self,
        source: u64,
        mark: ReportMark,
        hosts: u32,
        now: Moment,
    ) -> bool {
        let turn_ms = turn_ms(hosts);
        let turn_of = |at: Moment| (at.0 + source % turn_ms) / turn_ms;
        let is_its_turn = turn_of(now) > turn_of(self.sent);
        let is_urgent = mark.may_decide_beyond(self.mark) && now.since(self.sent) >= REPORT_MS;
        let is_due = is_its_turn || is_urgent;
        if is_due {
            self.sent = now;
            self.mark = mark;
        }
        is_due
    }
}

impl ReportMark {
    /// A bad answer has come, or the last request has left the other versions.
    fn may_decide_beyond(self, before: Self) -> bool {
        let has_left = self.step == RolloutStep::All && self.others_open == 0;
        self.target_bad > before.target_bad || (has_left && before.others_open > 0)
    }
}

/// The time between two reports of a host in a region of `hosts`, in milliseconds, as long as nothing happens.
fn turn_ms(hosts: u32) -> u64 {
    const MS_PER_S: u64 = 1_000;
    (u64::from(hosts) * MS_PER_S / REPORTS_PER_S).max(REPORT_MS)
}

/// How long a host's report counts as present in a region of `hosts`, in milliseconds.
pub(super) fn valid_ms(hosts: u32) -> u64 {
    (turn_ms(hosts) * VALID_REPORTS).max(LEAST_VALID_MS)
}
