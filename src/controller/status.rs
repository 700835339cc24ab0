//! The status of the host for operators.

use super::HostController;
use crate::control_message::{HostStatus, PlaceStatus};
use crate::timer::Moment;

impl HostController {
    pub(super) fn status(&self, now: Moment) -> HostStatus {
        HostStatus {
            host: self.membership.me().clone(),
            generation: self.config.generation(),
            in_force: self
                .workers
                .iter()
                .map(|worker| worker.generation)
                .min()
                .unwrap_or(0),
            plan_sequence: self
                .workers
                .iter()
                .map(|worker| worker.sequence)
                .min()
                .unwrap_or(0),
            planner: self.planner.holder().cloned(),
            platform_ok: self.platform_ok,
            cut_off: self.membership.is_cut_off(now) && !self.platform_ok,
            blocks: self.map.as_ref().map_or(0, |map| map.block_count() as u64),
            in_flight: self.workers.iter().map(|worker| worker.in_flight).sum(),
            draining: self.workers.iter().map(|worker| worker.draining).sum(),
            last_drain_ms: self.last_drain_ms,
            leaving_servers: self.leaving_servers.keys().cloned().collect(),
            places: self.place_statuses(),
            members: self.membership.records(),
        }
    }

    fn place_statuses(&self) -> Vec<PlaceStatus> {
        let usage = self.total_usage();
        let mut places: Vec<PlaceStatus> = self
            .grants
            .grants
            .iter()
            .map(|grant| PlaceStatus {
                place: grant.key.to_string(),
                grant: grant.units,
                in_use: usage
                    .iter()
                    .find(|entry| entry.key == grant.key)
                    .map_or(0, |entry| entry.in_use),
            })
            .collect();
        places.sort_by(|left, right| left.place.cmp(&right.place));
        places
    }
}
