//! Attempts at backend servers, one after the other: what came of each and what that proves.

use std::time;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::Full;
use hyper::body::Incoming;

use super::answer::{self, CallerRefusal};
use super::head;
use super::held::HeldRequest;
use super::incoming::CallerRequest;
use super::pool::PooledConnection;
use super::streamed;
use super::{WorkerState, with_worker};
use crate::connection_headers;
use crate::control_message::ControlInput;
use crate::event::EventCode;
use crate::http_client::{self, ExchangeFault};
use crate::result_code::ResultCode;
use crate::steering::{AttemptResult, COME_BACK_LONG_MS, RequestAdmission};

/// A connection to a backend server must open within this time.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Marks an answer by which a server says that it did not run the request.
const SHED_HEADER: &str = "x-ledgespool-not-run";
/// The load that a server claims: requests that it runs.
const LOAD_HEADER: &str = "x-ledgespool-load";
/// A server says that it leaves.
const LEAVING_HEADER: &str = "x-ledgespool-leaving";

/// How one attempt at a server failed.
enum AttemptFault {
    /// Proved not run: never written, or shed.
    Unrun(ResultCode),
    /// Sent, without a trustworthy answer.
    Unknown(ResultCode),
}

pub(super) async fn send_request(
    mut held: HeldRequest,
    request: &CallerRequest,
) -> Result<http::Response<Body>, CallerRefusal> {
    loop {
        match attempt(&mut held, request).await {
            Ok((parts, body, connection)) => {
                return Ok(streamed::stream_answer(
                    held, request, &parts, body, connection,
                ));
            }
            Err(AttemptFault::Unrun(code)) => {
                held.sent = false;
                if !held.retry(true) {
                    return Err(CallerRefusal::with_code(code, Some(COME_BACK_LONG_MS)));
                }
            }
            Err(AttemptFault::Unknown(code)) => {
                if !held.retry(false) {
                    return Err(CallerRefusal::with_code(code, None));
                }
            }
        }
    }
}

type AnswerParts = (http::response::Parts, Incoming, PooledConnection);

async fn attempt(
    held: &mut HeldRequest,
    request: &CallerRequest,
) -> Result<AnswerParts, AttemptFault> {
    let limit = time_left(&held.admission);
    let mut connection = match open_connection(held, limit).await {
        Ok(connection) => connection,
        Err(fault) => {
            held.end_attempt(AttemptResult::Failure, None);
            return Err(fault);
        }
    };
    let outgoing = outgoing_request(held, request);
    held.sent = true;
    let sending = connection.sender.try_send_request(outgoing);
    match tokio::time::timeout(time_left(&held.admission), sending).await {
        Err(_elapsed) => {
            held.end_attempt(AttemptResult::Failure, None);
            Err(AttemptFault::Unknown(ResultCode::DeadlinePassed))
        }
        Ok(Err(mut fault)) => {
            held.end_attempt(AttemptResult::Failure, None);
            if fault.take_message().is_some() {
                return Err(AttemptFault::Unrun(ResultCode::ConnectFailed));
            }
            Err(AttemptFault::Unknown(ResultCode::AnswerLost))
        }
        Ok(Ok(response)) => {
            let (parts, body) = response.into_parts();
            check_answer(held, request, &parts, &connection)?;
            Ok((parts, body, connection))
        }
    }
}

fn time_left(admission: &RequestAdmission) -> time::Duration {
    let left = with_worker(|worker| admission.deadline.since(worker.now()));
    time::Duration::from_millis(left.unwrap_or_default())
}

/// A connection: an idle one for repeatable requests, otherwise always a new one, so that a
/// connection which its server has just closed can't leave the outcome unknown.
async fn open_connection(
    held: &HeldRequest,
    limit: time::Duration,
) -> Result<PooledConnection, AttemptFault> {
    let address = held.admission.server.address;
    if held.admission.repeatable
        && let Some(connection) = with_worker(|worker| worker.pool.take(address)).flatten()
    {
        return Ok(connection);
    }
    match http_client::connect(address, limit.min(CONNECT_LIMIT)).await {
        Ok(sender) => Ok(PooledConnection {
            sender,
            used: false,
        }),
        Err(ExchangeFault::NotSent | ExchangeFault::Lost) => {
            Err(AttemptFault::Unrun(ResultCode::ConnectFailed))
        }
    }
}

fn outgoing_request(held: &HeldRequest, request: &CallerRequest) -> http::Request<Full<Bytes>> {
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.head.target.parse().unwrap_or_default();
    *outgoing.headers_mut() = connection_headers::to_server(&request.headers);
    let headers = outgoing.headers_mut();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = http::HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    put("host", held.admission.server.address.to_string());
    put(answer::REQUEST_HEADER, request.id.clone());
    put(
        head::DEADLINE_HEADER,
        time_left(&held.admission).as_millis().to_string(),
    );
    outgoing
}

/// Whether the answer's head belongs to this request and says that the request was run.
fn check_answer(
    held: &mut HeldRequest,
    request: &CallerRequest,
    parts: &http::response::Parts,
    connection: &PooledConnection,
) -> Result<(), AttemptFault> {
    let load = number_header(&parts.headers, LOAD_HEADER);
    if parts.headers.contains_key(LEAVING_HEADER) {
        note_leaving(&held.admission);
    }
    if !belongs(request, parts, connection) {
        with_worker(|worker| {
            worker
                .events
                .write(EventCode::AnswerDropped, request.id.clone());
        });
        held.end_attempt(AttemptResult::Failure, None);
        return Err(AttemptFault::Unknown(ResultCode::AnswerInvalid));
    }
    if parts.status == http::StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.contains_key(SHED_HEADER)
    {
        held.end_attempt(AttemptResult::Shed, load);
        return Err(AttemptFault::Unrun(ResultCode::ServerShed));
    }
    let failed = parts.status.is_server_error();
    let result = if failed {
        AttemptResult::Failure
    } else {
        AttemptResult::Success
    };
    held.settle(Some(parts.status.as_u16()));
    held.answered(result, load);
    Ok(())
}

/// Whether an answer names this request, or names none and can be of no other.
fn belongs(
    request: &CallerRequest,
    parts: &http::response::Parts,
    connection: &PooledConnection,
) -> bool {
    match parts.headers.get(answer::REQUEST_HEADER) {
        Some(id) => id.as_bytes() == request.id.as_bytes(),
        None => !connection.used,
    }
}

fn number_header(headers: &http::HeaderMap, name: &str) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn note_leaving(admission: &RequestAdmission) {
    with_worker(|worker: &mut WorkerState| {
        if let Some(name) = worker.steering.mark_leaving(admission) {
            // When the ring is full, the server's next answer says it again.
            let _taken = worker.control.send(ControlInput::ServerLeaving(name));
        }
    });
}
