//! Claiming the key of a request that may not be repeated, before anything is sent.

use super::answer::{self, CallerRefusal};
use super::head::RequestHead;
use super::held::HeldRequest;
use super::with_worker;
use crate::claim::{ClaimAttempt, ClaimKey};
use crate::claim_role::ClaimRequest;
use crate::control_message::{ClaimDecision, ControlAnswer, ControlInput};
use crate::result_code::ResultCode;
use crate::steering::COME_BACK_LONG_MS;
use crate::timer;

/// A claim must be decided within this time, whatever the deadline.
const CLAIM_LIMIT_MS: u64 = 2_000;

/// A claim that was granted to a request.
#[derive(Debug, Clone)]
pub(super) struct GrantedClaim {
    pub(super) key: ClaimKey,
    pub(super) attempt: ClaimAttempt,
}

/// The claim key of a class that may not be repeated.
pub(super) fn read_claim_key(head: &RequestHead) -> Result<Option<ClaimKey>, CallerRefusal> {
    let class = with_worker(|worker| {
        let topology = worker.steering.topology()?;
        let service = topology.declaration.service(&head.service)?;
        Some((
            service.class(&head.class)?.repeatable,
            service.claim_window_ms,
        ))
    });
    let Some((repeatable, window_ms)) = class.flatten() else {
        return Ok(None);
    };
    if repeatable {
        return Ok(None);
    }
    let text = head.claim_key.as_deref();
    let text = text.ok_or_else(|| CallerRefusal::with_code(ResultCode::ClaimKeyMissing, None))?;
    let key = ClaimKey::from_text(&head.service, text);
    let key = key.map_err(|fault| CallerRefusal::with_code(fault.code(), None))?;
    key.check_time(timer::unix_millis(), window_ms)
        .map_err(|fault| CallerRefusal::with_code(fault.code(), None))?;
    Ok(Some(key))
}

/// Claims the key before anything is sent. The request holds the claim from the start, so that it
/// is given back if the caller goes away before the decision.
pub(super) async fn claim(held: &mut HeldRequest, key: ClaimKey) -> Result<(), CallerRefusal> {
    let setup = with_worker(|worker| {
        let deadline = held
            .admission
            .deadline
            .min(worker.now().plus(CLAIM_LIMIT_MS));
        (worker.control.clone(), worker.next_attempt(), deadline)
    });
    let (control, attempt, deadline) = setup.ok_or_else(answer::internal_refusal)?;
    held.claim = Some(GrantedClaim {
        key,
        attempt: attempt.clone(),
    });
    let answer = control
        .request(|ticket| {
            ControlInput::Claim(ClaimRequest {
                ticket,
                key,
                attempt,
                deadline,
            })
        })
        .await;
    let Some(ControlAnswer::Claim(decision)) = answer else {
        return Err(CallerRefusal::with_code(
            ResultCode::WorkRejected,
            Some(COME_BACK_LONG_MS),
        ));
    };
    if decision == ClaimDecision::Granted {
        return Ok(());
    }
    held.claim = None;
    Err(claim_refusal(decision))
}

fn claim_refusal(decision: ClaimDecision) -> CallerRefusal {
    match decision {
        ClaimDecision::Repeated(status) => {
            let mut refusal = CallerRefusal::with_code(ResultCode::ClaimRepeated, None);
            refusal.recorded_status = Some(status);
            refusal
        }
        ClaimDecision::Unavailable(retry_ms) => {
            CallerRefusal::with_code(ResultCode::ClaimsUnavailable, Some(retry_ms))
        }
        ClaimDecision::Pending | ClaimDecision::Granted => {
            CallerRefusal::with_code(ResultCode::ClaimPending, Some(COME_BACK_LONG_MS))
        }
    }
}
