//! The progress of one rollout: the reports of hosts and regions, and the decision based on them.

use std::collections;

use super::message::{RolloutProgress, RolloutReport};
use super::plan::{BAKE_TIME_FRACTION, DRAIN_DEADLINE_FRACTION, RolloutStep};
use super::report_schedule::{self, ReportSchedule};
use super::spec::{RolloutSpec, RolloutState, StoredRollout};
use super::tally::ServiceTally;
use crate::timer::Moment;

#[derive(Debug)]
struct TimedReport {
    report: RolloutReport,
    at: Moment,
}

/// The latest report of each source.
#[derive(Debug, Default)]
pub(super) struct ReportList {
    reports: collections::HashMap<u64, TimedReport>,
}

impl ReportList {
    /// Replaces the previous report of the same source. A restarted host counts from zero, so its
    /// earlier counts are lost.
    pub(super) fn insert(&mut self, report: RolloutReport, now: Moment) {
        self.reports
            .insert(report.source, TimedReport { report, at: now });
    }

    pub(super) fn tally(&self) -> ServiceTally {
        let mut tally = ServiceTally::default();
        for timed in self.reports.values() {
            tally.add(&timed.report.tally);
        }
        tally
    }

    /// The reports that have not expired, given that `sources` hosts or regions share the report
    /// rate.
    pub(super) fn unexpired(
        &self,
        sources: u32,
        now: Moment,
    ) -> impl Iterator<Item = &RolloutReport> {
        let validity_ms = report_schedule::validity_ms(sources);
        let timed = self.reports.values();
        let unexpired = timed.filter(move |timed| now.since(timed.at) <= validity_ms);
        unexpired.map(|timed| &timed.report)
    }
}

/// One rollout and its progress.
#[derive(Debug)]
pub(super) struct TrackedRollout {
    pub(super) spec: RolloutSpec,
    pub(super) revision: u64,
    pub(super) started_at: Moment,
    pub(super) step: RolloutStep,
    /// When all traffic had moved to the new version.
    all_since: Option<Moment>,
    pub(super) state: RolloutState,
    /// When this host decided on or learned of the state.
    pub(super) state_since: Moment,
    pub(super) stored_state: Option<RolloutState>,
    pub(super) own_tally: ServiceTally,
    pub(super) own_schedule: ReportSchedule,
    pub(super) host_reports: ReportList,
    pub(super) region_reports: ReportList,
}

impl TrackedRollout {
    pub(super) fn new(
        stored: StoredRollout,
        revision: u64,
        started_at: Moment,
        now: Moment,
    ) -> Self {
        let state = stored.state.unwrap_or(RolloutState::Running);
        Self {
            spec: stored.spec,
            revision,
            started_at,
            step: RolloutStep::default(),
            all_since: None,
            state,
            state_since: now,
            stored_state: stored.state,
            own_tally: ServiceTally::default(),
            own_schedule: ReportSchedule::default(),
            host_reports: ReportList::default(),
            region_reports: ReportList::default(),
        }
    }

    /// Advances to a later step or state, decided here or on another host; returns whether anything
    /// changed. Decisions are never taken back, and a final state recorded in the store cannot
    /// change.
    pub(super) fn advance(&mut self, step: RolloutStep, state: RolloutState, now: Moment) -> bool {
        if self.stored_state.is_some_and(RolloutState::is_final) {
            return false;
        }
        let has_changed = step > self.step || state > self.state;
        if step > self.step {
            self.step = step;
        }
        if self.step == RolloutStep::All {
            self.all_since.get_or_insert(now);
        }
        if state > self.state {
            self.state = state;
            self.state_since = now;
        }
        has_changed
    }

    /// Applies the state recorded in the store. A final one overrides this host's decision, since
    /// another host may have decided differently.
    pub(super) fn on_stored(&mut self, state: Option<RolloutState>, now: Moment) {
        self.stored_state = self.stored_state.max(state);
        let state = state.filter(|state| state.is_final());
        if let Some(state) = state.filter(|state| *state != self.state) {
            self.state = state;
            self.state_since = now;
        }
    }

    pub(super) fn progress(&self, now: Moment) -> RolloutProgress {
        RolloutProgress {
            spec: self.spec.clone(),
            revision: self.revision,
            age_ms: now.since(self.started_at),
            step: self.step,
            state: self.state,
        }
    }

    /// Decides on the state from the reports of all hosts.
    pub(super) fn evaluate(
        &self,
        others_open: u32,
        region_count: u32,
        now: Moment,
    ) -> RolloutState {
        let mut tally = self.host_reports.tally();
        tally.add(&self.own_tally);
        tally.add(&self.region_reports.tally());
        if tally.is_target_bad() {
            return RolloutState::Reverted;
        }
        let age = now.since(self.started_at) as f64 / self.spec.over_ms.max(1) as f64;
        let bake_ms = self.spec.over_ms as f64 * BAKE_TIME_FRACTION;
        let is_baked = self
            .all_since
            .is_some_and(|since| now.since(since) as f64 >= bake_ms);
        let region_reports: Vec<_> = self.region_reports.unexpired(region_count, now).collect();
        let all_regions_moved = region_reports.len() + 1 >= region_count as usize
            && region_reports
                .iter()
                .all(|region| region.step == RolloutStep::All);
        let open = others_open
            + region_reports
                .iter()
                .map(|region| region.others_open)
                .sum::<u32>();
        if is_baked && all_regions_moved && (open == 0 || age >= DRAIN_DEADLINE_FRACTION) {
            RolloutState::Complete
        } else {
            RolloutState::Running
        }
    }
}
