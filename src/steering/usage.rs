//! Figures that the role reports: requests in flight, free units, and the usage of each place.

use std::collections;

use super::SteeringRole;
use super::queue::WaitQueue;
use crate::budget::PlaceKey;
use crate::report;
use crate::timer;

impl SteeringRole {
    /// Requests still running at backend servers that get no new requests.
    #[must_use]
    pub fn draining_in_flight(&mut self) -> u32 {
        let Some(topology) = &self.topology else {
            return 0;
        };
        let serving: collections::HashSet<&str> = topology
            .servers
            .iter()
            .filter(|server| server.serving)
            .map(|server| server.name.as_str())
            .collect();
        let draining = self
            .servers
            .iter_mut()
            .filter(|((name, _), health)| health.is_leaving() || !serving.contains(name.as_str()));
        draining.map(|(_, health)| health.in_flight()).sum()
    }

    /// Granted units that are not in use, by hall.
    pub fn headroom(&mut self) -> impl Iterator<Item = (&PlaceKey, u32)> {
        let halls = self
            .units
            .iter_mut()
            .filter(|(key, _)| matches!(key, PlaceKey::Hall { .. }));
        halls.map(|(key, counter)| (key, counter.grant.saturating_sub(counter.in_use)))
    }

    /// Units in use now, over all places, not counting routes.
    #[must_use]
    pub fn in_flight(&mut self) -> u32 {
        let halls = self
            .units
            .iter_mut()
            .filter(|(key, _)| matches!(key, PlaceKey::Hall { .. }));
        halls.map(|(_, counter)| counter.in_use).sum()
    }

    /// Divides the waiting requests evenly over all places of the own region, or of the other regions
    /// if it has none, since any of these places could serve them.
    fn count_waiting(&mut self) {
        for (name, service) in &self.services {
            let places = if service.local.is_empty() {
                &service.remote
            } else {
                &service.local
            };
            let waiting = self.queues.get(name).map_or(0, WaitQueue::len);
            let share = waiting as f64 / places.len().max(1) as f64;
            for place in places {
                if let Some(counter) = self.units.get_mut(place.place) {
                    counter.waiting = share;
                }
            }
        }
    }

    /// Returns the usage of each place since the last call, for the planner.
    pub fn take_usage(&mut self, now: timer::Moment) -> Vec<report::PlaceUsage> {
        let window_ms = now.since(self.window_start).max(1) as f64;
        self.window_start = now;
        self.count_waiting();
        let mut usage = Vec::new();
        for (key, counter) in self.units.iter_mut() {
            let unserved = counter.refused_ms / window_ms;
            let load = f64::from(counter.in_use) + counter.waiting + unserved;
            let load_milli = (load * 1_000.0).round() as u32;
            if load_milli > 0 || counter.completed > 0 {
                usage.push(report::PlaceUsage {
                    key: key.clone(),
                    in_use: counter.in_use,
                    load_milli,
                    completed: counter.completed,
                    refused: counter.refused,
                });
            }
            counter.completed = 0;
            counter.refused = 0;
            counter.refused_ms = 0.0;
        }
        usage
    }
}
