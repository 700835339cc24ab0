//! Serves a caller's request: reads it, sends it to backend servers and returns the answer.
//!
//! Every request is logged and counted once in the metrics, also if its caller disconnects first.

use std::{rc, time};

use bytes::Bytes;
use hyper::body::Incoming;
use serde_json::json;

use super::answer::AnswerBody;
use super::attempt_record::ExpectedAnswer;
use super::attempts::{self, AnswerSource, AnsweredRequest};
use super::caller_connections::{CallerConnection, ConnectionUse};
use super::configuration::RouteRule;
use super::customer::CustomerRule;
use super::decision_log::LogPriority;
use super::departure::{CallerDeparture, LateWork, RequestPhase, RequestProgress};
use super::fingerprint::RequestFingerprint;
use super::handoff::message::HandoffRequest;
use super::host::EntryHost;
use super::metrics_page::RequestCompletion;
use super::open_request::{OpenRequest, RequestTimes};
use super::peers::HandoffTarget;
use super::request_failure::RequestFailure;
use super::request_metrics::RouteLabel;
use super::streamed_answer::StreamedAnswer;
use super::wire::WireProtocol;
use crate::connection_headers;
use crate::event::EventCode;
use crate::request_boundary::RequestBoundary;
use crate::result_code::CODE_HEADER;
use crate::timer::Moment;

/// A response to a caller.
pub type CallerResponse<W> = http::Response<AnswerBody<StreamedAnswer<W>>>;

/// When and from whom a request arrived.
#[derive(Debug, Clone)]
pub struct RequestArrival {
    /// The earliest moment at which the caller may have sent it.
    pub sent_from: Moment,
    /// Whether its caller has left.
    pub departure: rc::Rc<CallerDeparture>,
    /// Whether another request was read behind it.
    pub boundary: rc::Rc<RequestBoundary>,
    /// The connection that it arrived on.
    pub connection: rc::Rc<CallerConnection>,
}

/// Serves one request and returns the response for the caller.
pub async fn serve<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    request: http::Request<Incoming>,
    arrival: RequestArrival,
) -> CallerResponse<W> {
    let id = host.wire.read_caller(request.headers()).request_id;
    let mut guard =
        RequestGuard::begin(&host, id.unwrap_or_default().to_owned(), arrival.departure);
    host.wait_until_ready().await;
    let times = RequestTimes {
        arrived: guard.arrived,
        sent_from: arrival.sent_from,
    };
    let progress = rc::Rc::clone(&guard.progress);
    let open = OpenRequest::read(&host, request, times, progress).await;
    let connection = &arrival.connection;
    connection.enter(ConnectionUse::Serving, host.now());
    // Boxed, since a connection has room for the largest state of its requests, also while it is idle.
    let mut response = match Box::pin(process(&mut guard, open)).await {
        Ok(response) => response,
        Err(failure) if failure.completion == RequestCompletion::CallerLeft => {
            // The guard records the departure.
            return failure_response(failure.status);
        }
        Err(failure) => guard.fail(failure),
    };
    guard.complete();
    // A request that was read must be answered, also if the host stops.
    if !arrival.boundary.has_next() {
        close_if_unwanted(&host, response.headers_mut());
    }
    response
}

/// Serves a request that another host has read and handed over.
///
/// # Errors
/// Why no server answered.
pub(super) async fn serve_handoff<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    request: HandoffRequest,
    departure: rc::Rc<CallerDeparture>,
) -> Result<CallerResponse<W>, RequestFailure> {
    let id = request.head.id.clone().unwrap_or_default();
    let mut guard = RequestGuard::begin(&host, id, departure);
    let open = OpenRequest::from_handoff(&host, request, rc::Rc::clone(&guard.progress));
    let mut result = process(&mut guard, open).await;
    match &mut result {
        Ok(response) => close_if_unwanted(&host, response.headers_mut()),
        Err(failure) => guard.record_failure(failure),
    }
    guard.complete();
    result
}

async fn process<W: WireProtocol>(
    guard: &mut RequestGuard<W>,
    open: Result<OpenRequest, RequestFailure>,
) -> Result<CallerResponse<W>, RequestFailure> {
    let open = open?;
    guard.route = Some(rc::Rc::clone(&open.route));
    guard.customer.clone_from(&open.customer);
    match attempts::run(&guard.host, &open).await {
        Ok(answered) => Ok(forward_answer(&guard.host, &open, answered)),
        Err(failure) => {
            guard.fingerprint = Some(open.fingerprint());
            guard.waited_ms = open.waited_ms.get();
            guard.earliest = open.earliest.get();
            guard.retry_denied = open.retry_denied.get();
            Err(failure)
        }
    }
}

/// Counts a request as open until it is dropped. Logs it as abandoned if the caller disconnects
/// before a response is ready.
#[derive(Debug)]
struct RequestGuard<W: WireProtocol> {
    host: rc::Rc<EntryHost<W>>,
    id: String,
    /// Set once the request has been matched to a route.
    route: Option<rc::Rc<RouteRule>>,
    /// Set once the caller has been identified.
    customer: Option<rc::Rc<CustomerRule>>,
    /// Set only for a request that was read and then failed.
    fingerprint: Option<RequestFingerprint>,
    /// How long a failed request waited at this host for a slot, in milliseconds.
    waited_ms: u64,
    /// The earliest answer expected for a request that was refused for lack of capacity.
    earliest: Option<ExpectedAnswer>,
    /// Whether the retry budget denied a failed request a further attempt.
    retry_denied: bool,
    arrived: Moment,
    progress: rc::Rc<RequestProgress>,
    completed: bool,
}

impl<W: WireProtocol> RequestGuard<W> {
    fn begin(host: &rc::Rc<EntryHost<W>>, id: String, departure: rc::Rc<CallerDeparture>) -> Self {
        host.on_request_begin();
        Self {
            id,
            host: rc::Rc::clone(host),
            route: None,
            customer: None,
            fingerprint: None,
            waited_ms: 0,
            earliest: None,
            retry_denied: false,
            arrived: host.now(),
            progress: rc::Rc::new(RequestProgress::new(departure)),
            completed: false,
        }
    }

    /// Records that a response is ready.
    fn complete(&mut self) {
        self.completed = true;
        if let Some(work) = self.progress.late_work(self.host.now()) {
            on_late_work(&self.host, &self.id, self.progress.phase(), work);
        }
    }

    /// The name and priority of the request's route.
    fn route_label(&self) -> RouteLabel<'_> {
        let route = self.route.as_ref();
        route.map_or_else(RouteLabel::default, |route| label_of(route))
    }

    /// Logs and counts the failure.
    fn record_failure(&self, failure: &RequestFailure) {
        let host = &self.host;
        if failure.completion == RequestCompletion::RefusedMemory {
            host.metrics.borrow_mut().callers.bodies_refused += 1;
        }
        let route = self.route_label();
        let millis = host.now().since(self.arrived);
        host.metrics
            .borrow_mut()
            .requests
            .on_request(route, failure.completion, millis);
        let fields = json!({
            "id": self.id,
            "route": route.name,
            "priority": route.priority,
            "fingerprint": self.fingerprint.map(|fingerprint| fingerprint.to_string()),
            "end": failure.completion.as_str(),
            "goal_ms": self.route.as_ref().map(|route| route.goal_ms),
            "status": failure.status.as_u16(),
            "code": failure.code().to_string(),
            "reason": failure.reason,
            "come_back_ms": failure.retry_after_ms,
            "free_slots": failure.free_slots,
            "expected": self.earliest,
            "retry_denied": self.retry_denied,
            "customer": self.customer.as_ref().map(|customer| &customer.name),
            "limit": failure.limit,
            "key": failure.key.map(|key| key.to_string()),
            "after_ms": millis,
            "waited_ms": self.waited_ms,
            "version": host.configuration_version(),
            "configuration_age_ms": host.configuration_age_ms(),
            "fleet_revision": host.fleet.borrow().revision(),
        });
        host.log_event(EventCode::RequestFailed, fields);
    }

    /// Logs the failure and builds the response that the caller gets for it.
    fn fail(&self, failure: RequestFailure) -> CallerResponse<W> {
        let host = &self.host;
        self.record_failure(&failure);
        if let Some(customer) = &self.customer
            && failure.completion.lacks_server()
        {
            let mut metrics = host.metrics.borrow_mut();
            metrics.requests.on_refused_within_limit(&customer.name);
        }
        let mut response = failure_response(failure.status);
        if let Ok(code) = http::HeaderValue::from_str(&failure.code().to_string()) {
            response.headers_mut().insert(CODE_HEADER, code);
        }
        if let Some(retry_after_ms) = failure.retry_after_ms {
            let after = time::Duration::from_millis(retry_after_ms);
            host.wire.write_retry_after(response.headers_mut(), after);
        }
        response
    }
}

impl<W: WireProtocol> Drop for RequestGuard<W> {
    fn drop(&mut self) {
        self.host.on_request_end();
        if !self.completed {
            on_caller_left(
                &self.host,
                &self.id,
                self.route_label(),
                self.arrived,
                &self.progress,
            );
        }
    }
}

/// Counts and logs a request that its caller left.
pub(super) fn on_caller_left<W: WireProtocol>(
    host: &EntryHost<W>,
    id: &str,
    route: RouteLabel<'_>,
    arrived: Moment,
    progress: &RequestProgress,
) {
    let now = host.now();
    let millis = now.since(arrived);
    let phase = progress.phase();
    let late_work = progress.late_work(now);
    let mut metrics = host.metrics.borrow_mut();
    metrics.departures.on_ended(phase);
    if phase != RequestPhase::Answering {
        // Otherwise it has been counted as answered.
        metrics
            .requests
            .on_request(route, RequestCompletion::CallerLeft, millis);
    }
    if let Some(work) = late_work {
        metrics.departures.on_late_work(work);
    }
    drop(metrics);
    let fields = json!({
        "id": id,
        "route": route.name,
        "after_ms": millis,
        "phase": phase.as_str(),
        "late_work": late_work,
    });
    host.log
        .write(EventCode::CallerLeft, LogPriority::Ordinary, fields);
}

/// Counts and logs work that did not end when its caller left.
pub(super) fn on_late_work<W: WireProtocol>(
    host: &EntryHost<W>,
    id: &str,
    phase: RequestPhase,
    work: LateWork,
) {
    host.metrics.borrow_mut().departures.on_late_work(work);
    let fields = json!({ "id": id, "phase": phase.as_str(), "late_work": work });
    host.log
        .write(EventCode::WorkAfterDeparture, LogPriority::Ordinary, fields);
}

fn failure_response<W: WireProtocol>(status: http::StatusCode) -> CallerResponse<W> {
    let mut response = http::Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

pub(super) fn label_of(route: &RouteRule) -> RouteLabel<'_> {
    RouteLabel {
        name: &route.name,
        priority: Some(route.priority),
    }
}

/// Closes the caller's connection after the response if its next request should go to another host.
fn close_if_unwanted<W: WireProtocol>(host: &EntryHost<W>, headers: &mut http::HeaderMap) {
    if host.is_leaving() || host.should_redirect_callers() {
        let close = http::HeaderValue::from_static("close");
        headers.insert(http::header::CONNECTION, close);
    }
}

fn forward_answer<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
    answered: AnsweredRequest,
) -> CallerResponse<W> {
    log_answer(host, open, &answered);
    let AnsweredRequest { source, answer } = answered;
    let answer = *answer;
    let headers = connection_headers::to_caller(&answer.head.headers, &open.forward.method);
    let status = answer.head.status;
    let body = match answer.remaining {
        None => AnswerBody::whole(answer.buffered),
        Some((remaining, connection)) => {
            let time_left = time::Duration::from_millis(open.deadline.since(host.now()));
            let stream = StreamedAnswer::begin(host, open, connection, (source, answer.head));
            AnswerBody::streamed(answer.buffered, remaining, time_left, stream)
        }
    };
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn log_answer<W: WireProtocol>(
    host: &EntryHost<W>,
    open: &OpenRequest,
    answered: &AnsweredRequest,
) {
    let millis = host.now().since(open.arrived);
    host.metrics.borrow_mut().requests.on_request(
        label_of(&open.route),
        RequestCompletion::Answered,
        millis,
    );
    let (server, attempt) = match &answered.source {
        AnswerSource::Server(server, attempt) => (server, attempt),
        AnswerSource::Host(target) => return log_handoff(host, open, target, millis),
    };
    let fields = json!({
        "id": open.forward.id,
        "route": open.route.name,
        "priority": open.route.priority,
        "server": server.id,
        "hall": server.hall,
        "status": answered.answer.head.status.as_u16(),
        "after_ms": millis,
        "waited_ms": open.waited_ms.get(),
        "goal_ms": open.route.goal_ms,
        "time_left_ms": open.caller_timeout.map(|left| left.as_millis() as u64),
        "customer": open.customer.as_ref().map(|customer| &customer.name),
        "object": open.object.map(|object| format!("{object:016x}")),
        "offer": attempt,
    });
    host.log
        .write(EventCode::RequestAnswered, LogPriority::Ordinary, fields);
}

fn log_handoff<W: WireProtocol>(
    host: &EntryHost<W>,
    open: &OpenRequest,
    target: &HandoffTarget,
    millis: u64,
) {
    let fields = json!({
        "id": open.forward.id,
        "route": open.route.name,
        "peer": target.name,
        "after_ms": millis,
    });
    host.log
        .write(EventCode::RequestHandedOver, LogPriority::Ordinary, fields);
}
