//! Takes requests over from other hosts.

use std::{rc, time};

use bytes::Bytes;
use hyper::body::Incoming;

use super::message::{
    ANSWER, FAILURE, HANDOFF_HEADER, HEAD_LENGTH_HEADER, HandoffFailure, HandoffRequest,
};
use super::role::HandoffRole;
use crate::entry::answer::AnswerBody;
use crate::entry::body_reader;
use crate::entry::departure::CallerDeparture;
use crate::entry::host::EntryHost;
use crate::entry::metrics_page::RequestCompletion;
use crate::entry::peer_message;
use crate::entry::request::{self, CallerResponse};
use crate::entry::request_failure::RequestFailure;
use crate::entry::wire::WireProtocol;

/// Added to the largest body of a caller's request, in bytes: the encoded head with all headers.
const MAX_HEAD_BYTES: u64 = 256 * 1024;
/// Time in which the whole message must arrive.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Serves a request that another host hands over; `departure` tells whether that host has closed the
/// connection.
pub(in crate::entry) async fn receive<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    request: http::Request<Incoming>,
    departure: rc::Rc<CallerDeparture>,
) -> CallerResponse<W> {
    let Some(_taken_over) = HandoffRole::take_over(host) else {
        return failure_response(host, &too_many());
    };
    let Some(request) = read_request(host, request.into_body()).await else {
        return failure_response(host, &not_understood());
    };
    host.metrics.borrow_mut().taken_over += 1;
    match request::serve_handoff(rc::Rc::clone(host), request, departure).await {
        Ok(mut response) => {
            let answer = http::HeaderValue::from_static(ANSWER);
            let headers = response.headers_mut();
            headers.insert(HANDOFF_HEADER, answer);
            if let Some(length) = headers.remove(http::header::CONTENT_LENGTH) {
                headers.insert(HEAD_LENGTH_HEADER, length);
            }
            response
        }
        Err(failure) => failure_response(host, &to_message(&failure)),
    }
}

/// Reads the message. Only hosts that this one knows may hand requests over.
async fn read_request<W: WireProtocol>(
    host: &EntryHost<W>,
    body: Incoming,
) -> Option<HandoffRequest> {
    let limit = host.routes()?.configuration().limits.body_bytes;
    let message = body_reader::read(host, body, limit.saturating_add(MAX_HEAD_BYTES));
    let message = tokio::time::timeout(MESSAGE_TIMEOUT, message).await;
    let message = message.ok()?.ok()?;
    match HandoffRequest::from_message(&message) {
        Ok(request) => {
            let run = host.peers.borrow().run_of(&request.head.host);
            (run == request.head.run).then_some(request)
        }
        Err(fault) => {
            host.log_malformed_message("handoff", &fault);
            None
        }
    }
}

const fn too_many() -> HandoffFailure {
    of_this_host(RequestCompletion::RefusedUnreachable)
}

const fn not_understood() -> HandoffFailure {
    of_this_host(RequestCompletion::RefusedUnconfigured)
}

const fn of_this_host(completion: RequestCompletion) -> HandoffFailure {
    HandoffFailure {
        status: http::StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        completion,
        retry_after_ms: None,
    }
}

const fn to_message(failure: &RequestFailure) -> HandoffFailure {
    HandoffFailure {
        status: failure.status.as_u16(),
        completion: failure.completion,
        retry_after_ms: failure.retry_after_ms,
    }
}

fn failure_response<W: WireProtocol>(
    host: &EntryHost<W>,
    failure: &HandoffFailure,
) -> CallerResponse<W> {
    let bytes = match peer_message::to_bytes(failure) {
        Ok(bytes) => Bytes::from(bytes),
        Err(fault) => {
            host.log_malformed_message("self", &fault);
            Bytes::new()
        }
    };
    let mut response = http::Response::new(AnswerBody::whole(bytes));
    let kind = http::HeaderValue::from_static(FAILURE);
    response.headers_mut().insert(HANDOFF_HEADER, kind);
    response
}
