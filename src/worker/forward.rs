//! One forwarded request: read, admit, claim, send, stream.
//!
//! Every decision is asked of the steering role or the claim's owner; this module carries it out.

use std::{pin, time};

use bytes::Bytes;
use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::state::{FromState as _, State};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::answer::{self, AnswerBody, CallerRefusal};
use super::head::{self, RequestHead};
use super::pool::PooledConnection;
use super::route;
use super::wait;
use super::{WorkerState, with_worker};
use crate::block_map::BlockPlace;
use crate::claim::{ClaimAttempt, ClaimKey};
use crate::claim_role::ClaimRequest;
use crate::control_message::{ClaimDecision, ControlAnswer, ControlInput};
use crate::controller::LEAVE_GRACE_MS;
use crate::event::EventCode;
use crate::http_client::{self, ExchangeFault};
use crate::result_code::ResultCode;
use crate::steering::{
    AdmitDecision, AttemptResult, COME_BACK_LONG_MS, RequestAdmission, RequestFacts, RequestRefusal,
};
use crate::timer::{self, Moment};

/// A connection to a backend server must open within this time.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);
/// A caller must send its body within this time, whatever its deadline.
const BODY_LIMIT: time::Duration = time::Duration::from_secs(10);
/// A claim must be decided within this time, whatever the deadline.
const CLAIM_LIMIT_MS: u64 = 2_000;

/// Marks an answer by which a server says that it did not run the request.
const SHED_HEADER: &str = "x-ledgespool-not-run";
/// The load that a server claims: requests that it runs.
const LOAD_HEADER: &str = "x-ledgespool-load";
/// A server says that it leaves.
const LEAVING_HEADER: &str = "x-ledgespool-leaving";

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

/// A refusal; one by a leaving host sends its caller to look up again.
fn refuse(refusal: &CallerRefusal) -> http::Response<Body> {
    let mut response = answer::refusal_response(refusal);
    if with_worker(|worker| worker.leaving_since.is_some()) == Some(true) {
        answer::send_to_look_up(response.headers_mut());
    }
    response
}

/// A request on its way, read and checked.
struct CallerRequest {
    head: RequestHead,
    id: String,
    method: http::Method,
    headers: http::HeaderMap,
    body: Bytes,
    arrived: Moment,
    /// The caller's place, if a client block covers it.
    place: Option<BlockPlace>,
}

/// A claim that was granted to a request.
#[derive(Debug, Clone)]
struct GrantedClaim {
    key: ClaimKey,
    attempt: ClaimAttempt,
}

async fn forward_request(state: &mut State) -> Result<http::Response<Body>, CallerRefusal> {
    let request = read_request(state).await?;
    let id = request.id.clone();
    let result = run_request(&request)
        .await
        .map_err(|refusal| refusal.for_request(&id));
    if let Err(refusal) = &result {
        note_end(&request.head, refusal.code, request.arrived);
    }
    result
}

fn note_end(head: &RequestHead, code: ResultCode, arrived: Moment) {
    with_worker(|worker| {
        let millis = worker.now().since(arrived);
        worker
            .metrics
            .on_request(&head.service, &head.class, code, millis);
    });
}

async fn read_request(state: &mut State) -> Result<CallerRequest, CallerRefusal> {
    let setup = with_worker(|worker| {
        let leaving = worker
            .leaving_since
            .is_some_and(|since| worker.now().since(since) > LEAVE_GRACE_MS);
        let caller = route::caller_address(state, &worker.settings.trusted_forwarders);
        let place = caller.and_then(|caller| worker.lookup.place_of(caller));
        (
            worker.now(),
            leaving,
            worker.settings.max_body_bytes,
            worker.next_attempt(),
            place,
        )
    });
    let (arrived, leaving, max_body_bytes, attempt, place) =
        setup.ok_or_else(answer::internal_refusal)?;
    if leaving {
        return Err(CallerRefusal::with_code(ResultCode::HostLeaving, Some(1)));
    }
    let headers = http::HeaderMap::take_from(state);
    let head = RequestHead::from_request(http::Uri::borrow_from(state), &headers)
        .map_err(|code| CallerRefusal::with_code(code, None))?;
    let body = Body::take_from(state);
    let body = read_body(body, max_body_bytes as usize).await?;
    let id = match &head.request_id {
        Some(id) => id.clone(),
        None => format!(
            "{}-{:x}-{:x}",
            attempt.host, attempt.incarnation, attempt.number
        ),
    };
    let method = http::Method::borrow_from(state).clone();
    Ok(CallerRequest {
        head,
        id,
        method,
        headers,
        body,
        arrived,
        place,
    })
}

async fn read_body(body: Body, max_bytes: usize) -> Result<Bytes, CallerRefusal> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    match tokio::time::timeout(BODY_LIMIT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
            Err(CallerRefusal::with_code(ResultCode::BodyTooLarge, None))
        }
        _ => Err(CallerRefusal::with_code(ResultCode::BodyBroken, None)),
    }
}

async fn run_request(request: &CallerRequest) -> Result<http::Response<Body>, CallerRefusal> {
    let key = read_claim_key(&request.head)?;
    let admission = admit(request).await?;
    let mut held = HeldRequest::new(admission, request);
    if let Some(key) = key {
        claim(&mut held, key).await?;
    }
    send_request(held, request).await
}

/// The claim key of a class that may not be repeated.
fn read_claim_key(head: &RequestHead) -> Result<Option<ClaimKey>, CallerRefusal> {
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
        AdmitDecision::Refused(refusal) => Err(refused(refusal)),
        AdmitDecision::Waiting(ticket) => wait::for_unit(ticket).await.map_err(refused),
    }
}

const fn refused(refusal: RequestRefusal) -> CallerRefusal {
    CallerRefusal::with_code(refusal.code, refusal.retry_after_ms)
}

/// Claims the key before anything is sent. The request holds the claim from the start, so that it
/// is given back if the caller goes away before the decision.
async fn claim(held: &mut HeldRequest, key: ClaimKey) -> Result<(), CallerRefusal> {
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

/// An admitted request. Dropping it gives its units back, and its claim if it was never sent.
struct HeldRequest {
    admission: RequestAdmission,
    service: String,
    class: String,
    arrived: Moment,
    claim: Option<GrantedClaim>,
    /// Whether an attempt at the present server is under way.
    attempting: bool,
    /// Whether anything may have reached a server.
    sent: bool,
    finished: bool,
}

impl HeldRequest {
    fn new(admission: RequestAdmission, request: &CallerRequest) -> Self {
        Self {
            admission,
            service: request.head.service.clone(),
            class: request.head.class.clone(),
            arrived: request.arrived,
            claim: None,
            attempting: true,
            sent: false,
            finished: false,
        }
    }

    fn end_attempt(&mut self, result: AttemptResult, claimed_load: Option<u32>) {
        if !std::mem::take(&mut self.attempting) {
            return;
        }
        with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .end_attempt(&self.admission, result, claimed_load, now);
        });
    }

    /// Another server, if the retry budget allows one.
    fn retry(&mut self, proved_unrun: bool) -> bool {
        let retried = with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .retry(&mut self.admission, proved_unrun, now)
        });
        self.attempting = retried == Some(true);
        self.attempting
    }

    fn settle(&mut self, status: Option<u16>) {
        if let Some(claim) = self.claim.take() {
            with_worker(|worker| {
                // An outcome that finds the ring full leaves the claim pending, which is safe.
                let _taken =
                    worker
                        .control
                        .tell(ControlInput::Settle(claim.key, claim.attempt, status));
            });
        }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.end_attempt(AttemptResult::Abandoned, None);
        if !self.sent {
            self.settle(None);
        }
        if !std::mem::replace(&mut self.finished, true) {
            with_worker(|worker| worker.give_back(&self.admission));
        }
    }
}

/// How one attempt at a server failed.
enum AttemptFault {
    /// Proved not run: never written, or shed.
    Unrun(ResultCode),
    /// Sent, without a trustworthy answer.
    Unknown(ResultCode),
}

async fn send_request(
    mut held: HeldRequest,
    request: &CallerRequest,
) -> Result<http::Response<Body>, CallerRefusal> {
    loop {
        match attempt(&mut held, request).await {
            Ok((parts, body, connection)) => {
                return Ok(stream_answer(held, request, &parts, body, connection));
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
    *outgoing.headers_mut() = forwarded_headers(&request.headers);
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

/// Headers without those that belong to one connection.
fn forwarded_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    const HOP_HEADERS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    let mut forwarded = headers.clone();
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_HEADERS
        .iter()
        .copied()
        .chain(named.iter().map(String::as_str))
    {
        forwarded.remove(name);
    }
    forwarded
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
    let echoed = parts
        .headers
        .get(answer::REQUEST_HEADER)
        .map(http::HeaderValue::as_bytes);
    let belongs = match echoed {
        Some(id) => id == request.id.as_bytes(),
        None => !connection.used,
    };
    if !belongs {
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

fn number_header(headers: &http::HeaderMap, name: &str) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn note_leaving(admission: &RequestAdmission) {
    with_worker(|worker: &mut WorkerState| {
        if let Some(name) = worker.steering.mark_leaving(admission) {
            // When the ring is full, the server's next answer says it again.
            let _taken = worker.control.tell(ControlInput::ServerLeaving(name));
        }
    });
}

impl HeldRequest {
    /// The head of an answer came; the server stays occupied until the body has ended.
    fn answered(&mut self, result: AttemptResult, claimed_load: Option<u32>) {
        with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .note_answer(&self.admission, result, claimed_load, now);
        });
    }
}

/// A request whose answer is being streamed.
pub(super) struct AnsweredRequest {
    held: HeldRequest,
    connection: Option<PooledConnection>,
}

impl AnsweredRequest {
    /// Ends the request; only a connection whose answer was read to the end is used again.
    pub(super) fn finish(mut self, whole: bool) {
        let code = if whole {
            ResultCode::Answered
        } else {
            ResultCode::AnswerLost
        };
        self.held.end_attempt(AttemptResult::Abandoned, None);
        let connection = self.connection.take().filter(|_| whole);
        with_worker(|worker| {
            let millis = worker.now().since(self.held.arrived);
            worker
                .metrics
                .on_request(&self.held.service, &self.held.class, code, millis);
            if let Some(connection) = connection {
                worker
                    .pool
                    .put(self.held.admission.server.address, connection);
            }
        });
    }
}

fn stream_answer(
    held: HeldRequest,
    request: &CallerRequest,
    parts: &http::response::Parts,
    body: Incoming,
    connection: PooledConnection,
) -> http::Response<Body> {
    let view = with_worker(|worker| {
        let hall = held.admission.hall;
        let name = worker
            .steering
            .topology()
            .and_then(|topology| topology.halls.get(hall.index()));
        (
            name.map(|hall| hall.name.clone()).unwrap_or_default(),
            worker.leaving_since.is_some(),
        )
    });
    let (hall, leaving) = view.unwrap_or_default();
    let echoed = parts.headers.contains_key(answer::REQUEST_HEADER);
    let reusable = echoed && held.admission.repeatable;
    let connection = reusable.then_some(PooledConnection {
        used: true,
        ..connection
    });
    let length = parts.headers.get(http::header::CONTENT_LENGTH).cloned();
    let mut response = http::Response::new(Body::default());
    *response.status_mut() = parts.status;
    *response.headers_mut() = forwarded_headers(&parts.headers);
    if let Some(length) = length {
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length);
    }
    answer::mark_answered(response.headers_mut(), &request.id, &hall, leaving);
    let streamed = AnswerBody::new(body, AnsweredRequest { held, connection });
    response.map(|_empty| streamed.boxed_unsync())
}
