//! Claims the key of a request that must not be repeated, before anything is sent.

use super::admitted::AdmittedRequest;
use super::answer::{self, CallerRefusal};
use super::head::RequestHead;
use super::with_worker;
use crate::claim::{ClaimAttempt, ClaimKey};
use crate::claim_role::ClaimRequest;
use crate::control_message::{ClaimDecision, ControlAnswer, ControlInput};
use crate::result_code::ResultCode;
use crate::steering::UNAVAILABLE_RETRY_AFTER_MS;
use crate::timer;

/// Upper bound for the wait for a claim decision, whatever the request's deadline.
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// A claim that was granted to a request, or is being requested for it.
#[derive(Debug, Clone)]
pub(super) struct GrantedClaim {
    pub(super) key: ClaimKey,
    pub(super) attempt: ClaimAttempt,
}

/// Reads the claim key of a request whose class is not repeatable; `None` for other classes.
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

/// Claims the key. The claim is recorded in the request before the decision arrives, so that it is
/// released if the caller disconnects in the meantime.
pub(super) async fn claim(
    admitted: &mut AdmittedRequest,
    key: ClaimKey,
) -> Result<(), CallerRefusal> {
    let setup = with_worker(|worker| {
        let deadline = admitted
            .admission
            .deadline
            .min(worker.now().plus(CLAIM_TIMEOUT_MS));
        (worker.control.clone(), worker.next_attempt(), deadline)
    });
    let (control, attempt, deadline) = setup.ok_or_else(answer::internal_refusal)?;
    admitted.claim = Some(GrantedClaim {
        key,
        attempt: attempt.clone(),
    });
    let answer = control
        .ask(|ticket| {
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
            Some(UNAVAILABLE_RETRY_AFTER_MS),
        ));
    };
    if decision == ClaimDecision::Granted {
        return Ok(());
    }
    admitted.claim = None;
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
            CallerRefusal::with_code(ResultCode::ClaimPending, Some(UNAVAILABLE_RETRY_AFTER_MS))
        }
    }
}
