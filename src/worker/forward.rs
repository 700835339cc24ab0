//! Handles one forwarded request: read, admit, claim, send, stream.
//!
//! The steering role and the owner of the claim make the decisions; this module carries them out.

use std::pin;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::State;

use super::admitted::AdmittedRequest;
use super::answer::{self, CallerRefusal};
use super::head::RequestHead;
use super::incoming::{self, CallerRequest};
use super::{attempt, claiming, wait, with_worker};
use crate::result_code::ResultCode;
use crate::steering::{AdmitDecision, RequestAdmission, RequestFacts, RequestRefusal};
use crate::timer::Moment;

pub(super) fn forward(state: State) -> pin::Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let mut state = state;
        let response = match forward_request(&mut state).await {
            Ok(response) => response,
            Err(refusal) => refuse(&refusal),
        };
        Ok((state, response))
    })
}

/// Renders a refusal. A leaving host also asks the caller to repeat its look-up.
fn refuse(refusal: &CallerRefusal) -> http::Response<Body> {
    let mut response = answer::refusal_response(refusal);
    if with_worker(|worker| worker.leaving_since.is_some()) == Some(true) {
        answer::request_new_lookup(response.headers_mut());
    }
    response
}

async fn forward_request(state: &mut State) -> Result<http::Response<Body>, CallerRefusal> {
    let request = incoming::read_request(state).await?;
    let id = request.id.clone();
    let result = run_request(&request)
        .await
        .map_err(|refusal| refusal.for_request(&id));
    if let Err(refusal) = &result {
        record_completion(&request.head, refusal.code, request.arrived);
    }
    result
}

fn record_completion(head: &RequestHead, code: ResultCode, arrived: Moment) {
    with_worker(|worker| {
        let millis = worker.now().since(arrived);
        worker
            .metrics
            .on_request(&head.service, &head.class, code, millis);
    });
}

async fn run_request(request: &CallerRequest) -> Result<http::Response<Body>, CallerRefusal> {
    let key = claiming::read_claim_key(&request.head)?;
    let admission = admit(request).await?;
    let mut admitted = AdmittedRequest::new(admission, request);
    if let Some(key) = key {
        claiming::claim(&mut admitted, key).await?;
    }
    attempt::send_request(admitted, request).await
}

async fn admit(request: &CallerRequest) -> Result<RequestAdmission, CallerRefusal> {
    let decision = with_worker(|worker| {
        let now = worker.now();
        let topology = worker.steering.topology();
        let home = request
            .place
            .and_then(|place| topology?.region_of(place.hall));
        let time_left_ms = request
            .head
            .time_left_ms
            .map(|left| left.saturating_sub(now.since(request.arrived)));
        let facts = RequestFacts {
            service: &request.head.service,
            class: &request.head.class,
            home,
            block_hash: request.place.map_or(0, |place| place.hash),
            time_left_ms,
        };
        worker.steering.admit(&facts, now)
    });
    match decision.ok_or_else(answer::internal_refusal)? {
        AdmitDecision::Admitted(admission) => Ok(admission),
        AdmitDecision::Refused(refusal) => Err(caller_refusal(refusal)),
        AdmitDecision::Waiting(ticket) => wait::for_unit(ticket).await.map_err(caller_refusal),
    }
}

const fn caller_refusal(refusal: RequestRefusal) -> CallerRefusal {
    CallerRefusal::with_code(refusal.code, refusal.retry_after_ms)
}
