//! Handles messages of the platform: replies, the watch and the host list.

use std::net;

use super::{HostController, WATCH_RETRY_DELAY_MS};
use crate::claim_role::ClaimWindow;
use crate::config_object::ConfigObject;
use crate::control_message::{CallPurpose, ControlAction};
use crate::event::EventCode;
use crate::member::HostState;
use crate::plan::SteeringPlan;
use crate::planner::PlannerView;
use crate::platform_call::{
    ObjectName, PlatformCall, PlatformReply, ReadResult, STEER_KIND, WatchReply, WriteResult,
};
use crate::timer::Moment;

impl HostController {
    pub(super) fn on_platform(
        &mut self,
        purpose: CallPurpose,
        reply: PlatformReply,
        now: Moment,
        wall: &ClaimWindow,
    ) {
        self.update_platform_state(&reply);
        match (purpose, reply) {
            (CallPurpose::Config, PlatformReply::Read(result)) => {
                let actions = self.config.on_read(&result, now);
                self.run_config_actions(actions);
            }
            (CallPurpose::Config, PlatformReply::Write(result)) => {
                let actions = self.config.on_write(result, now);
                self.run_config_actions(actions);
            }
            (CallPurpose::Plan, PlatformReply::Read(result)) => self.on_plan_read(&result, now),
            (CallPurpose::Plan, PlatformReply::Write(result)) => {
                let action = self.planner.on_write(result, now);
                self.run_planner_action(action);
            }
            (CallPurpose::Claim(shard), PlatformReply::Read(result)) => {
                let actions = self.claims.on_read(shard, &result, now, wall);
                self.run_claim_actions(actions);
            }
            (CallPurpose::Claim(shard), PlatformReply::Write(result)) => {
                let actions = self.claims.on_write(shard, result, now, wall);
                self.run_claim_actions(actions);
            }
            (CallPurpose::Watch, PlatformReply::Watch(result)) => self.on_watch(result, now),
            (CallPurpose::Hosts, PlatformReply::Hosts(Some(list))) => {
                self.roster.update(list);
                let addresses: Vec<net::SocketAddr> = self.roster.addresses().collect();
                self.membership.add_seeds(addresses.into_iter());
            }
            _ => {}
        }
    }

    pub(super) fn update_platform_state(&mut self, reply: &PlatformReply) {
        let failed = matches!(
            reply,
            PlatformReply::Read(ReadResult::Failed)
                | PlatformReply::Write(WriteResult::Uncertain)
                | PlatformReply::Watch(None)
                | PlatformReply::Hosts(None)
        );
        if failed == self.platform_ok {
            let code = if failed {
                EventCode::PlatformLost
            } else {
                EventCode::PlatformFound
            };
            self.event(code, String::new());
        }
        self.platform_ok = !failed;
    }

    pub(super) fn on_plan_read(&mut self, result: &ReadResult, now: Moment) {
        let Some(topology) = self.topology.clone() else {
            return;
        };
        let view = PlannerView {
            topology: &topology,
            roster: &self.roster,
            rank: self.planner_rank(now),
        };
        let action = self.planner.on_read(result, &view, now);
        self.run_planner_action(action);
    }

    /// Starts a watch if this host is the watcher of its hall. One host of each hall watches, so
    /// that the number of watches grows with halls and not with hosts.
    pub(super) fn start_watch(&mut self, now: Moment) {
        if self.watch.running || now < self.watch.retry_at || !self.is_hall_watcher() {
            return;
        }
        self.watch.running = true;
        let call = PlatformCall::Watch {
            kind: STEER_KIND,
            after: self.watch.revision,
        };
        self.actions
            .push(ControlAction::Platform(CallPurpose::Watch, call));
    }

    pub(super) fn is_hall_watcher(&self) -> bool {
        let me = self.membership.me();
        let advertised = self.membership.advertised();
        let first = advertised
            .iter()
            .filter(|record| record.hall == me.hall && record.state == HostState::Live)
            .map(|record| &record.identity.name)
            .min();
        first == Some(&me.identity.name)
    }

    pub(super) fn on_watch(&mut self, result: Option<WatchReply>, now: Moment) {
        self.watch.running = false;
        let Some(reply) = result else {
            self.watch.retry_at = now.plus(WATCH_RETRY_DELAY_MS);
            return;
        };
        self.watch.revision = reply.revision;
        for object in reply.objects {
            if object.name == ObjectName::plan().name {
                self.observe_plan(&object.value, now);
            } else if object.name == ObjectName::config().name {
                self.offer_config(&object.value);
            }
        }
    }

    pub(super) fn observe_plan(&mut self, value: &serde_json::Value, now: Moment) {
        let parsed = SteeringPlan::from_bytes(value.to_string().as_bytes());
        match parsed {
            Ok(plan) => self.planner.observe(plan.sequence, &plan.holder, now),
            Err(fault) => self.event(EventCode::ConfigRejected, fault.to_string()),
        }
    }

    pub(super) fn offer_config(&mut self, value: &serde_json::Value) {
        match ConfigObject::from_bytes(value.to_string().as_bytes()) {
            Ok(object) => {
                let actions = self.config.on_received(&object);
                self.run_config_actions(actions);
            }
            Err(fault) => self.event(EventCode::ConfigRejected, fault.to_string()),
        }
    }
}
