//! Finds the owner of a claim's shard and forwards claims and their outcomes to it.

use std::net;

use xxhash_rust::xxh3;

use super::HostController;
use crate::claim::{ClaimAttempt, ClaimKey};
use crate::claim_role::{self, ClaimAction, ClaimAnswer, ClaimRequest, ClaimWindow};
use crate::control_message::{
    CallPurpose, ClaimDecision, ControlAction, ControlAnswer, PeerClaim, PeerSettle,
};
use crate::platform_call::{ObjectName, PlatformCall};
use crate::timer::Moment;

/// Tickets that the controller assigns itself start here; tickets of the daemon are lower.
pub(super) const FIRST_CONTROLLER_TICKET: u64 = 1 << 48;
/// Retry time after a claim that its owner did not answer.
const OWNER_RETRY_AFTER_MS: u64 = 500;
/// Claims that may wait for answers of their owners.
const MAX_FORWARDED_CLAIMS: usize = 4_096;

/// A worker's claim that was forwarded to the owner of its shard.
#[derive(Debug)]
pub(super) struct ForwardedClaim {
    worker_ticket: u64,
    key: ClaimKey,
    attempt: ClaimAttempt,
    deadline: Moment,
}

/// The rendezvous weight of a host for a shard; the host with the highest weight owns the shard
/// (Thaler and Ravishankar, 1998).
pub(super) fn rendezvous_weight(shard: u16, host: &str) -> u64 {
    xxh3::xxh3_64_with_seed(host.as_bytes(), u64::from(shard) + 1)
}

impl HostController {
    /// The control address of the shard's owner; `None` if this host owns it.
    fn shard_owner(&self, shard: u16) -> Option<net::SocketAddr> {
        let advertised = self.membership.advertised();
        let owner = advertised
            .iter()
            .max_by_key(|record| rendezvous_weight(shard, &record.identity.name))?;
        let own = owner.identity.name == self.membership.me().identity.name;
        (!own).then_some(owner.control_address)
    }

    pub(super) fn on_claim(&mut self, request: ClaimRequest, now: Moment, wall: &ClaimWindow) {
        let Some(owner) = self.shard_owner(request.key.shard(claim_role::SHARD_COUNT)) else {
            let actions = self.claims.on_claim(request, now, wall);
            self.run_claim_actions(actions);
            return;
        };
        if self.forwarded_claims.len() >= MAX_FORWARDED_CLAIMS {
            self.answer(
                request.ticket,
                ControlAnswer::Claim(ClaimDecision::Unavailable(OWNER_RETRY_AFTER_MS)),
            );
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let message = PeerClaim {
            digest: format!("{:x}", request.key.digest),
            made_at: request.key.made_at,
            attempt: request.attempt.clone(),
            time_left_ms: request.deadline.since(now),
        };
        let forwarded = ForwardedClaim {
            worker_ticket: request.ticket,
            key: request.key,
            attempt: request.attempt,
            deadline: request.deadline,
        };
        self.forwarded_claims.insert(ticket, forwarded);
        self.actions
            .push(ControlAction::SendClaim(ticket, owner, message));
    }

    pub(super) fn on_peer_claim(
        &mut self,
        ticket: u64,
        claim: &PeerClaim,
        now: Moment,
        wall: &ClaimWindow,
    ) {
        let Ok(digest) = u128::from_str_radix(&claim.digest, 16) else {
            self.answer(
                ticket,
                ControlAnswer::Claim(ClaimDecision::Unavailable(OWNER_RETRY_AFTER_MS)),
            );
            return;
        };
        let request = ClaimRequest {
            ticket,
            key: ClaimKey {
                digest,
                made_at: claim.made_at,
            },
            attempt: claim.attempt.clone(),
            deadline: now.plus(claim.time_left_ms),
        };
        let actions = self.claims.on_claim(request, now, wall);
        self.run_claim_actions(actions);
    }

    pub(super) fn on_peer_claim_done(
        &mut self,
        ticket: u64,
        decision: Option<ClaimDecision>,
        now: Moment,
    ) {
        let Some(claim) = self.forwarded_claims.remove(&ticket) else {
            return;
        };
        match decision {
            Some(decision) => self.answer(claim.worker_ticket, ControlAnswer::Claim(decision)),
            None => self.abort_claim(&claim, now),
        }
    }

    pub(super) fn expire_forwarded_claims(&mut self, now: Moment) {
        let expired: Vec<u64> = self
            .forwarded_claims
            .iter()
            .filter(|(_, claim)| now >= claim.deadline)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in expired {
            if let Some(claim) = self.forwarded_claims.remove(&ticket) {
                self.abort_claim(&claim, now);
            }
        }
    }

    /// Ends a claim that its owner did not decide. Nothing was sent to a server and nothing will
    /// be, so the key is released in case the owner did grant it.
    fn abort_claim(&mut self, claim: &ForwardedClaim, now: Moment) {
        let decision = ClaimDecision::Unavailable(OWNER_RETRY_AFTER_MS);
        self.answer(claim.worker_ticket, ControlAnswer::Claim(decision));
        self.on_settle(&claim.key, claim.attempt.clone(), None, now);
    }

    pub(super) fn on_settle(
        &mut self,
        key: &ClaimKey,
        attempt: ClaimAttempt,
        status: Option<u16>,
        now: Moment,
    ) {
        let Some(owner) = self.shard_owner(key.shard(claim_role::SHARD_COUNT)) else {
            self.settle_locally(key.digest, attempt, status, now);
            return;
        };
        let message = PeerSettle {
            digest: format!("{:x}", key.digest),
            attempt,
            status,
        };
        self.actions.push(ControlAction::SendSettle(owner, message));
    }

    pub(super) fn on_peer_settle(&mut self, settle: &PeerSettle, now: Moment) {
        if let Ok(digest) = u128::from_str_radix(&settle.digest, 16) {
            self.settle_locally(digest, settle.attempt.clone(), settle.status, now);
        }
    }

    fn settle_locally(
        &mut self,
        digest: u128,
        attempt: ClaimAttempt,
        status: Option<u16>,
        now: Moment,
    ) {
        match status {
            Some(status) => self.claims.on_settle(digest, attempt, status, now),
            None => self.claims.on_release(digest, attempt, now),
        }
    }

    pub(super) fn answer_claim(&mut self, ticket: u64, answer: ClaimAnswer) {
        let decision = match answer {
            ClaimAnswer::Decided(verdict) => ClaimDecision::from(verdict),
            ClaimAnswer::Unavailable(retry_ms) => ClaimDecision::Unavailable(retry_ms),
        };
        self.answer(ticket, ControlAnswer::Claim(decision));
    }

    pub(super) fn run_claim_actions(&mut self, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Read(shard) => {
                    let call = PlatformCall::Read(ObjectName::claim_shard(shard));
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Claim(shard), call));
                }
                ClaimAction::Write {
                    shard,
                    bytes,
                    expected,
                } => {
                    let object = ObjectName::claim_shard(shard);
                    let call = PlatformCall::Write {
                        object,
                        bytes,
                        expected,
                    };
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Claim(shard), call));
                }
                ClaimAction::Answer { ticket, answer } => self.answer_claim(ticket, answer),
            }
        }
    }
}
