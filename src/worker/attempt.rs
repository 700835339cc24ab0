//! Sends a request to backend servers, one attempt after the other, and classifies the result of
//! each attempt.

use std::time;

use gotham::helpers::http::Body;
use hyper::body::Incoming;

use super::admitted::AdmittedRequest;
use super::answer::{self, CallerRefusal};
use super::answer_stream;
use super::head;
use super::incoming::CallerRequest;
use super::pool::PooledConnection;
use super::{WorkerState, with_worker};
use crate::client_sender::SendFault;
use crate::connection_headers;
use crate::control_message::ControlInput;
use crate::event::EventCode;
use crate::http_client::{self, ExchangeFault};
use crate::request_body::RequestBody;
use crate::result_code::ResultCode;
use crate::steering::{AttemptResult, RequestAdmission, UNAVAILABLE_RETRY_AFTER_MS};
use crate::tcp_keepalive::ProbeStart;

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Header by which a server states that it did not run the request.
const SHED_HEADER: &str = "x-ledgespool-not-run";
/// Header in which a server reports its load: the number of requests that it runs.
const LOAD_HEADER: &str = "x-ledgespool-load";
/// Header by which a server announces its shutdown.
const LEAVING_HEADER: &str = "x-ledgespool-leaving";

/// Why an attempt failed.
enum AttemptFault {
    /// The request was certainly not run: it was never written, or the server shed it.
    NotRun(ResultCode),
    /// The request was sent, but no valid answer arrived.
    Unknown(ResultCode),
}

pub(super) async fn send_request(
    mut admitted: AdmittedRequest,
    request: &CallerRequest,
) -> Result<http::Response<Body>, CallerRefusal> {
    loop {
        match attempt(&mut admitted, request).await {
            Ok((parts, body, connection)) => {
                return Ok(answer_stream::stream_answer(
                    admitted, request, &parts, body, connection,
                ));
            }
            Err(AttemptFault::NotRun(code)) => {
                admitted.sent = false;
                if !admitted.retry(true) {
                    return Err(CallerRefusal::with_code(
                        code,
                        Some(UNAVAILABLE_RETRY_AFTER_MS),
                    ));
                }
            }
            Err(AttemptFault::Unknown(code)) => {
                if !admitted.retry(false) {
                    return Err(CallerRefusal::with_code(code, None));
                }
            }
        }
    }
}

type AnswerParts = (http::response::Parts, Incoming, PooledConnection);

async fn attempt(
    admitted: &mut AdmittedRequest,
    request: &CallerRequest,
) -> Result<AnswerParts, AttemptFault> {
    let timeout = time_left(&admitted.admission);
    let mut connection = match open_connection(admitted, timeout).await {
        Ok(connection) => connection,
        Err(fault) => {
            admitted.end_attempt(AttemptResult::Failure, None);
            return Err(fault);
        }
    };
    let outgoing = outgoing_request(admitted, request);
    admitted.sent = true;
    let sending = connection.sender.try_send_request(outgoing);
    match tokio::time::timeout(time_left(&admitted.admission), sending).await {
        Err(_elapsed) => {
            admitted.end_attempt(AttemptResult::Failure, None);
            Err(AttemptFault::Unknown(ResultCode::DeadlinePassed))
        }
        Ok(Err(fault)) => {
            admitted.end_attempt(AttemptResult::Failure, None);
            Err(match fault {
                SendFault::NotSent => AttemptFault::NotRun(ResultCode::ConnectFailed),
                SendFault::Broken => AttemptFault::Unknown(ResultCode::AnswerLost),
                SendFault::Framing(_) => {
                    log_dropped(request);
                    AttemptFault::Unknown(ResultCode::AnswerInvalid)
                }
            })
        }
        Ok(Ok(response)) => {
            let (parts, body) = response.into_parts();
            check_answer(admitted, request, &parts, &connection)?;
            Ok((parts, body, connection))
        }
    }
}

fn time_left(admission: &RequestAdmission) -> time::Duration {
    let left = with_worker(|worker| admission.deadline.since(worker.now()));
    time::Duration::from_millis(left.unwrap_or_default())
}

/// Returns an idle connection for repeatable requests and a new one for all others. A server may
/// close an idle connection just as the request is sent, which would leave the outcome unknown.
async fn open_connection(
    admitted: &AdmittedRequest,
    timeout: time::Duration,
) -> Result<PooledConnection, AttemptFault> {
    let address = admitted.admission.server.address;
    if admitted.admission.repeatable
        && let Some(connection) = with_worker(|worker| worker.pool.take(address)).flatten()
    {
        return Ok(connection);
    }
    let probes = ProbeStart::Late;
    let opened = http_client::connect_with(address, timeout.min(CONNECT_TIMEOUT), probes);
    match opened.await {
        Ok(sender) => Ok(PooledConnection {
            sender,
            used: false,
        }),
        Err(ExchangeFault::NotSent | ExchangeFault::Lost) => {
            Err(AttemptFault::NotRun(ResultCode::ConnectFailed))
        }
    }
}

fn outgoing_request(
    admitted: &AdmittedRequest,
    request: &CallerRequest,
) -> http::Request<RequestBody> {
    let mut outgoing = http::Request::new(RequestBody::from(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.head.target.parse().unwrap_or_default();
    *outgoing.headers_mut() = connection_headers::to_server(&request.headers);
    let headers = outgoing.headers_mut();
    let mut put = |name: &'static str, value: String| {
        if let Ok(value) = http::HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    put("host", admitted.admission.server.address.to_string());
    put(answer::REQUEST_HEADER, request.id.clone());
    put(
        head::DEADLINE_HEADER,
        time_left(&admitted.admission).as_millis().to_string(),
    );
    outgoing
}

/// Checks that the answer belongs to this request and that the server ran the request.
fn check_answer(
    admitted: &mut AdmittedRequest,
    request: &CallerRequest,
    parts: &http::response::Parts,
    connection: &PooledConnection,
) -> Result<(), AttemptFault> {
    let load = number_header(&parts.headers, LOAD_HEADER);
    if parts.headers.contains_key(LEAVING_HEADER) {
        report_leaving_server(&admitted.admission);
    }
    if !is_answer_to(request, parts, connection) {
        log_dropped(request);
        admitted.end_attempt(AttemptResult::Failure, None);
        return Err(AttemptFault::Unknown(ResultCode::AnswerInvalid));
    }
    if parts.status == http::StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.contains_key(SHED_HEADER)
    {
        admitted.end_attempt(AttemptResult::Shed, load);
        return Err(AttemptFault::NotRun(ResultCode::ServerShed));
    }
    let failed = parts.status.is_server_error();
    let result = if failed {
        AttemptResult::Failure
    } else {
        AttemptResult::Success
    };
    admitted.settle(Some(parts.status.as_u16()));
    admitted.record_answer(result, load);
    Ok(())
}

fn log_dropped(request: &CallerRequest) {
    with_worker(|worker| {
        worker
            .events
            .write(EventCode::AnswerDropped, request.id.clone());
    });
}

/// Whether the answer carries this request's id. An answer without an id is accepted on a
/// connection that was not used before, since it can't belong to another request.
fn is_answer_to(
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

fn report_leaving_server(admission: &RequestAdmission) {
    with_worker(|worker: &mut WorkerState| {
        if let Some(name) = worker.steering.mark_leaving(admission) {
            // If the ring is full, the server's next answer reports it again.
            let _taken = worker.control.send(ControlInput::ServerLeaving(name));
        }
    });
}
