//! Sends reports to the planner and applies the grants that it answers with.

use super::HostController;
use crate::control_message::{ControlAction, WorkerUsage};
use crate::event::EventCode;
use crate::plan::HostGrants;
use crate::report::{HostReport, PlaceUsage};
use crate::timer::Moment;

impl HostController {
    pub(super) fn send_report(&mut self, now: Moment) {
        let report = HostReport {
            identity: self.membership.me().identity.clone(),
            control_address: self.membership.me().control_address,
            hall: self.membership.me().hall.clone(),
            leaving: self.releases_units(now),
            installed: self
                .workers
                .iter()
                .map(|worker| worker.sequence)
                .min()
                .unwrap_or(0),
            usage: self.total_usage(),
        };
        for worker in &mut self.workers {
            reset_counters(&mut worker.usage);
        }
        if self.planner.is_leader() {
            let grants = self.planner.on_report(report, now);
            self.on_grants(grants);
            return;
        }
        let planner = self
            .planner
            .holder()
            .and_then(|holder| self.membership.record(&holder.name));
        if let Some(record) = planner {
            self.actions
                .push(ControlAction::SendReport(record.control_address, report));
        }
    }

    pub(super) fn total_usage(&self) -> Vec<PlaceUsage> {
        let mut total: Vec<PlaceUsage> = Vec::new();
        for usage in self.workers.iter().flat_map(|worker| &worker.usage) {
            match total.iter_mut().find(|entry| entry.key == usage.key) {
                Some(entry) => {
                    entry.in_use = entry.in_use.saturating_add(usage.in_use);
                    entry.load_milli = entry.load_milli.saturating_add(usage.load_milli);
                    entry.completed = entry.completed.saturating_add(usage.completed);
                    entry.refused = entry.refused.saturating_add(usage.refused);
                }
                None => total.push(usage.clone()),
            }
        }
        total
    }

    pub(super) fn on_grants(&mut self, grants: Option<HostGrants>) {
        let Some(grants) = grants.filter(|grants| grants.sequence > self.grants.sequence) else {
            return;
        };
        if grants.grants != self.grants.grants {
            self.event(
                EventCode::GrantsInstalled,
                format!("plan {}", grants.sequence),
            );
        }
        self.grants = grants.clone();
        self.actions.push(ControlAction::InstallGrants(grants));
    }

    /// Merges a worker's usage. Counters add up until the next report; the number of units in use
    /// replaces the previous one.
    pub(super) fn on_usage(&mut self, usage: WorkerUsage, now: Moment) {
        let Some(worker) = self.workers.get_mut(usage.worker) else {
            return;
        };
        let before = std::mem::replace(worker, usage);
        for entry in before.usage {
            match worker.usage.iter_mut().find(|newer| newer.key == entry.key) {
                Some(newer) => {
                    newer.load_milli = average_load(entry.load_milli, newer.load_milli);
                    newer.completed += entry.completed;
                    newer.refused += entry.refused;
                }
                None if entry.load_milli > 0 => {
                    let load_milli = average_load(entry.load_milli, 0);
                    worker.usage.push(PlaceUsage {
                        in_use: 0,
                        load_milli,
                        ..entry
                    });
                }
                None => {}
            }
        }
        self.check_drain(now);
    }
}

/// Resets the counters after a report. The load stays, since it is an average.
fn reset_counters(usage: &mut Vec<PlaceUsage>) {
    for entry in usage.iter_mut() {
        entry.completed = 0;
        entry.refused = 0;
    }
    usage.retain(|entry| entry.in_use > 0 || entry.load_milli > 0);
}

/// The average load after one more sample. Integer division makes it reach zero.
const fn average_load(before: u32, sample: u32) -> u32 {
    (before.saturating_mul(3).saturating_add(sample)) / 4
}
