//! Finds the owner of a claim's shard and passes claims and outcomes to it.

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

/// Tickets that the controller makes itself start here; those of the daemon lie below.
pub(super) const FIRST_OWN_TICKET: u64 = 1 << 48;
/// Come-back time after a claim that its owner did not answer.
const OWNER_RETRY_MS: u64 = 500;
/// Claims that may wait for their owners.
const MAX_OWNER_CLAIMS: usize = 4_096;

/// A worker's claim that was passed to the owner of its shard.
#[derive(Debug)]
pub(super) struct OwnerClaim {
    worker_ticket: u64,
    key: ClaimKey,
    attempt: ClaimAttempt,
    deadline: Moment,
}

/// The weight of a host for a shard; the highest owns it (Thaler and Ravishankar, 1998).
pub(super) fn rendezvous_weight(shard: u16, host: &str) -> u64 {
    xxh3::xxh3_64_with_seed(host.as_bytes(), u64::from(shard) + 1)
}

impl HostController {
    /// The control address of the shard's owner; `None` when that is this host.
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
            self.run_claims(actions);
            return;
        };
        if self.owner_claims.len() >= MAX_OWNER_CLAIMS {
            self.answer(
                request.ticket,
                ControlAnswer::Claim(ClaimDecision::Unavailable(OWNER_RETRY_MS)),
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
        let waiting = OwnerClaim {
            worker_ticket: request.ticket,
            key: request.key,
            attempt: request.attempt,
            deadline: request.deadline,
        };
        self.owner_claims.insert(ticket, waiting);
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
                ControlAnswer::Claim(ClaimDecision::Unavailable(OWNER_RETRY_MS)),
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
        self.run_claims(actions);
    }

    pub(super) fn on_peer_claim_done(
        &mut self,
        ticket: u64,
        decision: Option<ClaimDecision>,
        now: Moment,
    ) {
        let Some(claim) = self.owner_claims.remove(&ticket) else {
            return;
        };
        match decision {
            Some(decision) => self.answer(claim.worker_ticket, ControlAnswer::Claim(decision)),
            None => self.give_up_claim(&claim, now),
        }
    }

    pub(super) fn expire_owner_claims(&mut self, now: Moment) {
        let late: Vec<u64> = self
            .owner_claims
            .iter()
            .filter(|(_, claim)| now >= claim.deadline)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in late {
            if let Some(claim) = self.owner_claims.remove(&ticket) {
                self.give_up_claim(&claim, now);
            }
        }
    }

    /// Nothing was sent to a server, and nothing will be: the key is given back if it was taken.
    fn give_up_claim(&mut self, claim: &OwnerClaim, now: Moment) {
        let decision = ClaimDecision::Unavailable(OWNER_RETRY_MS);
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
            self.settle_here(key.digest, attempt, status, now);
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
            self.settle_here(digest, settle.attempt.clone(), settle.status, now);
        }
    }

    fn settle_here(
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

    pub(super) fn run_claims(&mut self, actions: Vec<ClaimAction>) {
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
