//! Schedules the reports that a host sends about a rollout.
//!
//! **Load pattern.** Every host of a region reports to the rollout leader, and a region may have
//! hundreds of hosts. The leader's load must not grow with their number, while a bad version must
//! be detected within the time of one or two responses. So hosts report immediately what may change
//! a decision, and share a fixed report rate for everything else.

use super::plan::RolloutStep;
use crate::timer::Moment;

/// Minimum time between two reports of a host, in milliseconds. It is a fraction of the time for
/// which the new version gets all requests before its rollout completes.
pub const MIN_REPORT_INTERVAL_MS: u64 = 200;
/// Routine reports per second that a leader receives from all hosts together, 100 bytes each.
const ROUTINE_REPORTS_PER_S: u64 = 100;
/// Number of report intervals for which a report stays valid, so that one report may be lost.
const VALIDITY_INTERVALS: u64 = 3;
/// Minimum time for which a report stays valid, in milliseconds.
const MIN_VALIDITY_MS: u64 = 2_000;

/// The parts of a report that may change a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct DecisionInputs {
    /// Number of bad answers of the new version.
    pub(super) target_bad_count: u32,
    /// Number of requests in flight on servers of other versions.
    pub(super) others_open: u32,
    /// How far the traffic has moved.
    pub(super) step: RolloutStep,
}

/// When a host sent its last report, and what it contained.
#[derive(Debug, Default)]
pub(super) struct ReportSchedule {
    sent_at: Moment,
    inputs: DecisionInputs,
}

impl ReportSchedule {
    /// Returns whether a report of `source` is due in a region of `hosts`, and if so records it as
    /// sent. `source` offsets the interval, so that hosts that learn of a rollout together report
    /// at different times.
    pub(super) fn take_due(
        &mut self,
        source: u64,
        inputs: DecisionInputs,
        hosts: u32,
        now: Moment,
    ) -> bool {
        let interval_ms = interval_ms(hosts);
        let interval_index = |at: Moment| (at.0 + source % interval_ms) / interval_ms;
        let is_new_interval = interval_index(now) > interval_index(self.sent_at);
        let is_urgent = inputs.may_change_decision(self.inputs)
            && now.since(self.sent_at) >= MIN_REPORT_INTERVAL_MS;
        let is_due = is_new_interval || is_urgent;
        if is_due {
            self.sent_at = now;
            self.inputs = inputs;
        }
        is_due
    }
}

impl DecisionInputs {
    /// Returns whether there are new bad answers, or whether the last request on other versions has
    /// ended since the previous report.
    fn may_change_decision(self, previous: Self) -> bool {
        let is_drained = self.step == RolloutStep::All && self.others_open == 0;
        self.target_bad_count > previous.target_bad_count
            || (is_drained && previous.others_open > 0)
    }
}

/// Time between two routine reports of a host in a region of `hosts`, in milliseconds.
fn interval_ms(hosts: u32) -> u64 {
    const MS_PER_S: u64 = 1_000;
    (u64::from(hosts) * MS_PER_S / ROUTINE_REPORTS_PER_S).max(MIN_REPORT_INTERVAL_MS)
}

/// Time for which a host's report stays valid in a region of `hosts`, in milliseconds.
pub(super) fn validity_ms(hosts: u32) -> u64 {
    (interval_ms(hosts) * VALIDITY_INTERVALS).max(MIN_VALIDITY_MS)
}
