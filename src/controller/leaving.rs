//! Tracks the shutdown of this host, leaving backend servers, and the duration of drains.

use std::sync;

use super::{
    HostController, LEAVE_GRACE_MS, LEAVING_TTL_MS, MAX_LEAVING_SERVERS, RELEASE_GRACE_MS,
    STOP_ALARM_MS,
};
use crate::control_message::ControlAction;
use crate::declaration::DrainKind;
use crate::event::EventCode;
use crate::timer::Moment;
use crate::topology::SteeringTopology;

impl HostController {
    pub(super) fn is_leaving(&self) -> bool {
        let name = &self.membership.me().identity.name;
        let drained = self.topology.as_ref().is_some_and(|topology| {
            topology.declaration.is_draining(DrainKind::Host, name)
                || topology
                    .declaration
                    .is_draining(DrainKind::Hall, &self.membership.me().hall)
        });
        self.stopping.is_some() || drained || self.roster.is_leaving(name)
    }

    /// Whether a leaving host releases its units. It keeps them while callers may still arrive
    /// through cached look-ups.
    pub(super) fn releases_units(&self, now: Moment) -> bool {
        self.leaving_since
            .is_some_and(|since| now.since(since) >= LEAVE_GRACE_MS)
    }

    pub(super) fn add_leaving_server(&mut self, name: String, since: Moment) {
        let known = self.leaving_servers.contains_key(&name);
        if !known && self.leaving_servers.len() >= MAX_LEAVING_SERVERS {
            return;
        }
        let entry = self.leaving_servers.entry(name.clone()).or_insert(since);
        *entry = (*entry).max(since);
        if !known {
            self.event(EventCode::ServerLeaving, name);
            self.push_leaving_servers();
        }
    }

    pub(super) fn expire_leaving_servers(&mut self, now: Moment) {
        let before = self.leaving_servers.len();
        self.leaving_servers
            .retain(|_, since| now.since(*since) < LEAVING_TTL_MS);
        if self.leaving_servers.len() != before {
            self.push_leaving_servers();
        }
        let listed: Vec<String> = self
            .topology
            .iter()
            .flat_map(|topology| &topology.servers)
            .filter(|server| self.roster.is_leaving(&server.name))
            .map(|server| server.name.clone())
            .collect();
        for name in listed {
            self.add_leaving_server(name, now);
        }
    }

    pub(super) fn push_leaving_servers(&mut self) {
        let names = self.leaving_servers.keys().cloned().collect();
        self.actions
            .push(ControlAction::SetLeavingServers(sync::Arc::new(names)));
    }

    pub(super) fn on_stop(&mut self, now: Moment) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            self.event(EventCode::ProcessLeaving, String::new());
        }
    }

    pub(super) fn check_stop(&mut self, now: Moment) {
        let Some(since) = self.stopping else {
            return;
        };
        let in_flight: u32 = self.workers.iter().map(|worker| worker.in_flight).sum();
        if now.since(since) >= LEAVE_GRACE_MS + RELEASE_GRACE_MS && in_flight == 0 {
            self.actions.push(ControlAction::Finished);
        } else if now.since(since) >= STOP_ALARM_MS && !self.stop_alarmed {
            self.stop_alarmed = true;
            self.event(EventCode::DrainSlow, format!("{in_flight} in flight"));
        }
    }

    /// Starts the timer of a drain, which ends when nothing runs on the drained servers any more.
    pub(super) fn start_drain_timer(&mut self, topology: &SteeringTopology) {
        let before = self
            .topology
            .as_ref()
            .map_or(&[][..], |installed| &installed.declaration.drains);
        let drains = &topology.declaration.drains;
        if drains.iter().any(|drain| !before.contains(drain)) {
            self.drain_since = Some(self.now);
            self.last_drain_ms = None;
        }
    }

    pub(super) fn check_drain(&mut self, now: Moment) {
        let Some(since) = self.drain_since else {
            return;
        };
        let generation = self.config.generation();
        let active = self
            .workers
            .iter()
            .all(|worker| worker.generation == generation);
        let draining: u32 = self.workers.iter().map(|worker| worker.draining).sum();
        if active && draining == 0 {
            let took = now.since(since);
            self.drain_since = None;
            self.last_drain_ms = Some(took);
            self.event(EventCode::DrainFinished, format!("{took} ms"));
        }
    }
}
