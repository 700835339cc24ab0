//! One order to move a service's traffic: what hosts have reported of it, and what follows.

use std::collections;

use super::message::{RolloutProgress, RolloutReport};
use super::order::{RolloutOrder, RolloutState, StoredRollout};
use super::pace::{self, ReportPace};
use super::plan::{LAST_CALL, PROVED_FOR, RolloutStep};
use super::tally::ServiceTally;
use crate::timer::Moment;

#[derive(Debug)]
struct TimedReport {
    report: RolloutReport,
    at: Moment,
}

/// Reports by who counts.
#[derive(Debug, Default)]
pub(super) struct ReportList {
    reports: collections::HashMap<u64, TimedReport>,
}

impl ReportList {
    /// A host that starts anew counts from nothing; what it had counted is lost with it.
    pub(super) fn put(&mut self, report: RolloutReport, now: Moment) {
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

    /// The reports that are not too old where `sources` report in turn.
    pub(super) fn present(
        &self,
        sources: u32,
        now: Moment,
    ) -> impl Iterator<Item = &RolloutReport> {
        let valid_ms = pace::valid_ms(sources);
        let timed = self.reports.values();
        let present = timed.filter(move |timed| now.since(timed.at) <= valid_ms);
        present.map(|timed| &timed.report)
    }
}

/// One order, and how far it has come.
#[derive(Debug)]
pub(super) struct OpenRollout {
    pub(super) order: RolloutOrder,
    pub(super) revision: u64,
    pub(super) began: Moment,
    pub(super) step: RolloutStep,
    /// Since when all traffic goes to the new version.
    all_since: Option<Moment>,
    pub(super) state: RolloutState,
    /// When that was decided, or heard.
    pub(super) state_since: Moment,
    pub(super) stored: Option<RolloutState>,
    pub(super) own: ServiceTally,
    pub(super) own_pace: ReportPace,
    pub(super) hosts: ReportList,
    pub(super) regions: ReportList,
}

impl OpenRollout {
    pub(super) fn new(stored: StoredRollout, revision: u64, began: Moment, now: Moment) -> Self {
        let state = stored.state.unwrap_or(RolloutState::Running);
        Self {
            order: stored.order,
            revision,
            began,
            step: RolloutStep::default(),
            all_since: None,
            state,
            state_since: now,
            stored: stored.state,
            own: ServiceTally::default(),
            own_pace: ReportPace::default(),
            hosts: ReportList::default(),
            regions: ReportList::default(),
        }
    }

    /// Takes in what is known elsewhere; returns whether it is news. What is decided stays so, and what the store
    /// records is final.
    pub(super) fn advance(&mut self, step: RolloutStep, state: RolloutState, now: Moment) -> bool {
        if self.stored.is_some_and(RolloutState::is_final) {
            return false;
        }
        let is_news = step > self.step || state > self.state;
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
        is_news
    }

    /// The store shows what was recorded. Another host may have decided otherwise than this one.
    pub(super) fn on_stored(&mut self, state: Option<RolloutState>, now: Moment) {
        self.stored = self.stored.max(state);
        let state = state.filter(|state| state.is_final());
        if let Some(state) = state.filter(|state| *state != self.state) {
            self.state = state;
            self.state_since = now;
        }
    }

    pub(super) fn progress(&self, now: Moment) -> RolloutProgress {
        RolloutProgress {
            order: self.order.clone(),
            revision: self.revision,
            age_ms: now.since(self.began),
            step: self.step,
            state: self.state,
        }
    }

    /// What the reports of all hosts say.
    pub(super) fn judge(&self, others_open: u32, region_count: u32, now: Moment) -> RolloutState {
        let mut tally = self.hosts.tally();
        tally.add(&self.own);
        tally.add(&self.regions.tally());
        if tally.shows_bad() {
            return RolloutState::Reverted;
        }
        let age = now.since(self.began) as f64 / self.order.over_ms.max(1) as f64;
        let proved_ms = self.order.over_ms as f64 * PROVED_FOR;
        let is_proved = self
            .all_since
            .is_some_and(|since| now.since(since) as f64 >= proved_ms);
        let regions: Vec<_> = self.regions.present(region_count, now).collect();
        let have_moved = regions.len() + 1 >= region_count as usize
            && regions.iter().all(|region| region.step == RolloutStep::All);
        let open = others_open + regions.iter().map(|region| region.others_open).sum::<u32>();
        if is_proved && have_moved && (open == 0 || age >= LAST_CALL) {
            RolloutState::Complete
        } else {
            RolloutState::Running
        }
    }
}
