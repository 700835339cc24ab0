//! The rollouts that a host knows and their progress.

use std::collections;

use super::message::{RolloutAnswer, RolloutChange, RolloutReport, RolloutUpdate};
use super::plan::{RolloutStep, VersionRule};
use super::report_schedule::DecisionInputs;
use super::spec::{RolloutRecord, RolloutSpec, RolloutState, StoredRollout};
use super::tracked_rollout::TrackedRollout;
use crate::timer::Moment;

/// Time after completion for which requests still go to the target version only, in milliseconds.
/// Servers of other versions are stopped on completion, but hosts may still know them for this
/// long. Servers of any version that join later are allowed.
const STOP_GRACE_MS: u64 = 10_000;

/// What the rollout leader of a region knows in addition to reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionView {
    /// Number of its own requests in flight on servers of other versions.
    pub others_open: u32,
    /// Number of hosts in its region.
    pub hosts: u32,
    /// Number of regions with a live host, including its own.
    pub regions: u32,
}

impl RegionView {
    /// Number of requests of the whole region in flight on servers of other versions.
    fn others_open(self, rollout: &TrackedRollout, now: Moment) -> u32 {
        let hosts = rollout.host_reports.unexpired(self.hosts, now);
        self.others_open + hosts.map(|host| host.others_open).sum::<u32>()
    }
}

/// The rollouts that a host knows, by service.
#[derive(Debug, Default)]
pub struct RolloutTable {
    position: u64,
    rollouts: collections::BTreeMap<String, TrackedRollout>,
}

impl RolloutTable {
    /// Returns whether there is no rollout.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// The store revision up to which the rollouts are current.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Replaces the rollouts with a complete list from the store or another host.
    pub fn on_list(&mut self, stored: Vec<(StoredRollout, u64)>, position: u64, now: Moment) {
        let services: collections::BTreeSet<String> = stored
            .iter()
            .map(|(stored, _)| stored.spec.service.clone())
            .collect();
        self.rollouts
            .retain(|service, _| services.contains(service));
        for (stored, revision) in stored {
            self.on_rollout(stored, revision, now);
        }
        self.position = position;
    }

    /// Applies one rollout as read from the store. It replaces an older rollout of the same
    /// service.
    pub fn on_rollout(&mut self, stored: StoredRollout, revision: u64, now: Moment) {
        let service = stored.spec.service.clone();
        if let Some(known) = self.rollouts.get_mut(&service) {
            if known.spec.is_same(&stored.spec) {
                known.revision = known.revision.max(revision);
                known.on_stored(stored.state, now);
                return;
            }
            if known.revision > revision {
                return;
            }
        }
        let rollout = TrackedRollout::new(stored, revision, now, now);
        self.rollouts.insert(service, rollout);
    }

    /// Removes a rollout that was deleted from the store.
    pub fn on_deleted(&mut self, name: &str) {
        self.rollouts.retain(|_, rollout| rollout.spec.name != name);
    }

    /// Records the store revision up to which the rollouts are current.
    pub fn on_position(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// The state that is sent to other hosts.
    #[must_use]
    pub fn to_update(&self, now: Moment) -> RolloutUpdate {
        let rollouts = self.rollouts.values();
        RolloutUpdate {
            position: self.position,
            rollouts: rollouts.map(|rollout| rollout.progress(now)).collect(),
        }
    }

    /// Merges the state of another host; returns whether the number of rollouts has changed or a
    /// rollout has advanced.
    pub fn on_update(&mut self, update: &RolloutUpdate, now: Moment) -> bool {
        let mut has_changed = false;
        if update.position > self.position {
            let received = update.rollouts.iter().map(|received| {
                let stored = StoredRollout {
                    spec: received.spec.clone(),
                    state: None,
                };
                (stored, received.revision)
            });
            let before = self.rollouts.len();
            self.on_list(received.collect(), update.position, now);
            has_changed = self.rollouts.len() != before;
        }
        for received in &update.rollouts {
            if let Some(rollout) = self.rollouts.get_mut(&received.spec.service)
                && rollout.spec.is_same(&received.spec)
            {
                rollout.started_at = rollout.started_at.min(now.before(received.age_ms));
                has_changed |= rollout.advance(received.step, received.state, now);
            }
        }
        has_changed
    }

    /// Returns the versions that may get a request of `service`. `point` is a number from 0 to 1
    /// (exclusive) that is the same for all requests for the same object. `is_retry` is set for a
    /// retry after a server failed the request.
    #[must_use]
    pub fn version_rule(
        &self,
        service: &str,
        point: f64,
        canary_share: f64,
        is_retry: bool,
        now: Moment,
    ) -> VersionRule {
        let Some(rollout) = self.rollouts.get(service) else {
            return VersionRule::Any;
        };
        let target = rollout.spec.target_tag();
        let is_over = now.since(rollout.state_since) > STOP_GRACE_MS;
        if rollout.state == RolloutState::Complete && is_over {
            return VersionRule::Any;
        }
        let has_moved = rollout.step == RolloutStep::All;
        let is_canary = !is_retry && point < rollout.step.share(canary_share);
        let uses_target = match rollout.state {
            RolloutState::Running => has_moved || is_canary,
            RolloutState::Complete => true,
            RolloutState::Reverted => false,
        };
        if uses_target {
            VersionRule::Only(target)
        } else {
            VersionRule::Except(target)
        }
    }

    /// Counts the result of a request of `service`.
    pub fn on_answer(&mut self, service: &str, answer: &RolloutAnswer<'_>) {
        if let Some(rollout) = self.rollouts.get_mut(service)
            && rollout.state == RolloutState::Running
        {
            let is_target = answer.version == rollout.spec.target_tag();
            rollout
                .own_tally
                .on_answer(answer.route, is_target, answer.is_bad);
        }
    }

    /// The rollouts that are in progress.
    pub fn running(&self) -> impl Iterator<Item = &RolloutSpec> {
        let running = self.rollouts.values();
        let running = running.filter(|rollout| rollout.state == RolloutState::Running);
        running.map(|rollout| &rollout.spec)
    }

    /// The counts of this host for the region's rollout leader; `None` if no report is due. `hosts`
    /// is the number of hosts in the region.
    #[must_use]
    pub fn own_report(
        &mut self,
        service: &str,
        source: u64,
        others_open: u32,
        hosts: u32,
        now: Moment,
    ) -> Option<RolloutReport> {
        let rollout = self.rollouts.get_mut(service)?;
        let inputs = DecisionInputs {
            target_bad_count: rollout.own_tally.target_bad_count(),
            others_open,
            step: rollout.step,
        };
        if !rollout.own_schedule.take_due(source, inputs, hosts, now) {
            return None;
        }
        Some(RolloutReport {
            source,
            service: service.to_owned(),
            created: rollout.spec.created,
            tally: rollout.own_tally.for_report(),
            others_open,
            step: rollout.step,
        })
    }

    /// The sum of the counts of this region's hosts, for the other regions.
    #[must_use]
    pub fn region_report(
        &self,
        service: &str,
        source: u64,
        view: RegionView,
        now: Moment,
    ) -> Option<RolloutReport> {
        let rollout = self.rollouts.get(service)?;
        let mut tally = rollout.host_reports.tally();
        tally.add(&rollout.own_tally);
        Some(RolloutReport {
            source,
            service: service.to_owned(),
            created: rollout.spec.created,
            tally: tally.for_report(),
            others_open: view.others_open(rollout, now),
            step: rollout.step,
        })
    }

    /// Stores the report of a host in this region.
    pub fn on_host_report(&mut self, report: RolloutReport, now: Moment) {
        if let Some(rollout) = self.rollout_of(&report) {
            rollout.host_reports.insert(report, now);
        }
    }

    /// Stores the report of another region.
    pub fn on_region_report(&mut self, report: RolloutReport, now: Moment) {
        if let Some(rollout) = self.rollout_of(&report) {
            rollout.region_reports.insert(report, now);
        }
    }

    fn rollout_of(&mut self, report: &RolloutReport) -> Option<&mut TrackedRollout> {
        let rollout = self.rollouts.get_mut(&report.service)?;
        (rollout.spec.created == report.created).then_some(rollout)
    }

    /// Decides on a rollout as the leader of the region; `None` if nothing changes.
    pub fn decide(
        &mut self,
        service: &str,
        view: RegionView,
        now: Moment,
    ) -> Option<RolloutChange> {
        let rollout = self.rollouts.get_mut(service)?;
        if rollout.state != RolloutState::Running {
            return None;
        }
        let state = rollout.evaluate(view.others_open(rollout, now), view.regions, now);
        let step = RolloutStep::due(now.since(rollout.started_at), rollout.spec.over_ms);
        rollout.advance(step, state, now).then(|| RolloutChange {
            spec: rollout.spec.clone(),
            step: rollout.step,
            state: rollout.state,
        })
    }

    /// The states that are not recorded in the store yet and have been known for at least
    /// `wait_ms`.
    #[must_use]
    pub fn unrecorded(&self, wait_ms: u64, now: Moment) -> Vec<RolloutRecord> {
        let unrecorded = self.rollouts.values().filter(|rollout| {
            let is_due = rollout
                .stored_state
                .is_none_or(|stored| stored < rollout.state);
            is_due && now.since(rollout.state_since) >= wait_ms
        });
        unrecorded
            .map(|rollout| RolloutRecord {
                spec: rollout.spec.clone(),
                state: rollout.state,
                revision: rollout.revision,
            })
            .collect()
    }

    /// Notes that a state was recorded, which changed the object's store revision to `revision`.
    pub fn on_recorded(&mut self, record: &RolloutRecord, revision: u64, now: Moment) {
        if let Some(rollout) = self.rollouts.get_mut(&record.spec.service)
            && rollout.spec.is_same(&record.spec)
        {
            rollout.on_stored(Some(record.state), now);
            rollout.revision = rollout.revision.max(revision);
        }
    }
}
