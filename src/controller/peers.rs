//! Sends heartbeats to peers and applies theirs.

use super::{HostController, LEAVING_TTL_MS, MAX_LEAVING_PER_HEARTBEAT};
use crate::control_message::{ControlAction, ControlAnswer, LeavingServer, PeerHeartbeat};
use crate::membership::HeartbeatTarget;
use crate::timer::Moment;

impl HostController {
    pub(super) fn heartbeat(
        &mut self,
        peer: Option<&str>,
        full: bool,
        now: Moment,
    ) -> PeerHeartbeat {
        let leaving = self.leaving_servers.iter().take(MAX_LEAVING_PER_HEARTBEAT);
        let leaving_servers = leaving
            .map(|(name, &since)| LeavingServer {
                name: name.clone(),
                age_ms: now.since(since),
            })
            .collect();
        PeerHeartbeat {
            from: self.membership.me().clone(),
            rumors: self.membership.rumors_for(peer, full),
            full: false,
            generation: self.config.generation(),
            plan_sequence: self.planner.sequence(),
            plan_holder: self.planner.holder().cloned(),
            leaving_servers,
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Moment) {
        for target in self.membership.tick(now) {
            let mut heartbeat = self.heartbeat(target.name.as_deref(), target.full, now);
            heartbeat.full = target.full;
            self.actions
                .push(ControlAction::SendHeartbeat(target, heartbeat));
        }
    }

    pub(super) fn on_heartbeat(&mut self, ticket: u64, heartbeat: &PeerHeartbeat, now: Moment) {
        self.apply_heartbeat(heartbeat, now);
        let name = heartbeat.from.identity.name.clone();
        let answer = self.heartbeat(Some(&name), heartbeat.full, now);
        self.answer(ticket, ControlAnswer::Heartbeat(answer));
    }

    pub(super) fn on_heartbeat_done(
        &mut self,
        target: &HeartbeatTarget,
        answer: Option<&PeerHeartbeat>,
        now: Moment,
    ) {
        match (answer, &target.name) {
            (Some(heartbeat), _) => self.apply_heartbeat(heartbeat, now),
            (None, Some(name)) => self.membership.on_missed(name, now),
            (None, None) => {}
        }
    }

    pub(super) fn apply_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Moment) {
        self.membership
            .on_contact(&heartbeat.from, &heartbeat.rumors, now);
        if let Some(holder) = &heartbeat.plan_holder {
            self.planner.observe(heartbeat.plan_sequence, holder, now);
        }
        for server in heartbeat
            .leaving_servers
            .iter()
            .take(MAX_LEAVING_PER_HEARTBEAT)
        {
            if server.age_ms < LEAVING_TTL_MS {
                let since = Moment(now.0.saturating_sub(server.age_ms));
                self.add_leaving_server(server.name.clone(), since);
            }
        }
        let peers = self.membership.advertised().len().saturating_sub(1);
        let peer = &heartbeat.from.identity.name;
        let actions = self
            .config
            .on_peer_generation(peer, heartbeat.generation, peers, now);
        self.run_config_actions(actions);
    }
}
