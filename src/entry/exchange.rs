//! Sends a request to one backend server and classifies the outcome of this attempt.

use std::{cell, rc, time};

use super::answer_outcome::{SentRequest, outcome_from_head};
use super::departure::RequestProgress;
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::pool;
use super::send_gate::{SendPermit, ServerMessage, WithheldCause};
use super::server_answer::{self, ServerAnswer};
use super::server_connection::{SendTrace, ServerConnection};
use super::server_limit::token::SendToken;
use super::wire::WireProtocol;
use crate::client_sender::SendFault;
use crate::request_body::RequestBody;
use crate::timer::{BootClock, Moment};

/// A request in the form in which it is sent to backend servers.
#[derive(Debug)]
pub struct ForwardRequest {
    /// The caller's request id, unchanged.
    pub id: Option<String>,
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query, unchanged.
    pub uri: http::Uri,
    /// The caller's headers without the hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: RequestBody,
    /// Whether the request is safe to run more than once.
    pub is_retryable: bool,
}

/// How an attempt to send a request to a server ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered(Box<ServerAnswer>),
    /// The server could not be reached; the request has not run.
    NotSent,
    /// No connection to the server was open, and its service accepts none. The request has not run,
    /// and the server is not considered at fault.
    NoOpenConnection,
    /// The request was not written because the server must not get it any more.
    Withheld(WithheldCause),
    /// No connection came up, and less time was left than the connection timeout. The request has
    /// not run, and the server is not considered at fault.
    OutOfTime,
    /// The server reports that it did not run the request.
    NotRun {
        /// The status of its answer.
        status: http::StatusCode,
        /// Whether it reported free slots, so that a lack of capacity is not the reason.
        had_free_slot: bool,
    },
    /// Another incarnation of a server listens on the address; the request has not run.
    OtherServer,
    /// The request was sent and not answered before the deadline.
    TimedOut,
    /// The request was sent and no trustworthy answer came back.
    Lost(LossCause),
}

/// Why a request that was sent got no trustworthy answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The connection broke before the answer's head arrived.
    Broken,
    /// The service became unreachable before an answer.
    Unreachable,
    /// The answer's head leaves the length of its body unknown.
    Framing,
    /// The connection broke within the answer.
    Truncated,
    /// The answer carries the id of another request.
    WrongRequest,
    /// The answer carries no id and may belong to an earlier request on the connection.
    NoRequestId,
    /// The answer's status is none that ends a request.
    NoFinalStatus,
    /// The answer reports success without the server's signature.
    Unsigned,
    /// The status implies that the request has not run, but the server does not confirm it.
    UnconfirmedRefusal,
}

impl LossCause {
    /// The text in logs and in metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "the connection broke before an answer",
            Self::Unreachable => "the service became unreachable before an answer",
            Self::Framing => "the length of the answer is unknown",
            Self::Truncated => "the answer broke off",
            Self::WrongRequest => "the answer belongs to another request",
            Self::NoRequestId => "the answer carries no request id",
            Self::NoFinalStatus => "an answer whose status ends no request",
            Self::Unsigned => "a success without the server's signature",
            Self::UnconfirmedRefusal => "a refusal that does not say that the request did not run",
        }
    }

    /// Whether the connection broke, as it does when the server crashes.
    #[must_use]
    pub const fn has_broken(self) -> bool {
        matches!(self, Self::Broken | Self::Truncated)
    }
}

/// Counts a request as in flight at a server until it is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    server: rc::Rc<FleetServer>,
    clock: BootClock,
}

impl SlotGuard {
    /// Counts a new request at `server`.
    #[must_use]
    pub fn at(server: &rc::Rc<FleetServer>, clock: BootClock) -> Self {
        server.remember_in_flight(clock.now());
        server.begin_request();
        Self {
            server: rc::Rc::clone(server),
            clock,
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.server.remember_in_flight(self.clock.now());
        self.server.end_request();
    }
}

/// The deadline and the send token of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions<'a> {
    /// When the request must have been answered.
    pub deadline: Moment,
    /// The token that allows sending it to a server with a limit.
    pub right: SendToken,
    /// Records that the request is written.
    pub progress: &'a RequestProgress,
    /// Receives the trace of the last send.
    pub trace: &'a cell::Cell<Option<SendTrace>>,
}

/// Sends a request to a server and waits for the answer until the deadline. Dropping the future
/// closes the connection, which cancels the server's work.
pub async fn attempt<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    server: &rc::Rc<FleetServer>,
    request: &ForwardRequest,
    options: AttemptOptions<'_>,
) -> AttemptOutcome {
    let _slot = SlotGuard::at(server, host.clock());
    let must_be_fresh = !request.is_retryable;
    // A request without an id gets a new connection: its answer cannot be matched on a used one.
    let idle = request.id.as_deref().and_then(|id| {
        let mut pool = host.pool.borrow_mut();
        pool.take(&server.id, id, must_be_fresh, host.now())
    });
    if let Some(connection) = idle {
        let connection = OpenConnection {
            connection,
            is_new: false,
        };
        match send_in_time(host, server, connection, request, options).await {
            // The server closed the idle connection; nothing was written.
            AttemptOutcome::NotSent => {}
            outcome => return outcome,
        }
    }
    match connect(host, server, options.deadline).await {
        Ok(connection) => {
            let connection = OpenConnection {
                connection,
                is_new: true,
            };
            let outcome = send_in_time(host, server, connection, request, options).await;
            if matches!(outcome, AttemptOutcome::NotSent) {
                // It was closed before the request was written.
                host.on_connection_failed(server);
            }
            outcome
        }
        Err(outcome) => outcome,
    }
}

/// Opens a connection, or returns the outcome of the attempt if that fails.
async fn connect<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    deadline: Moment,
) -> Result<ServerConnection, AttemptOutcome> {
    if host.is_unreachable(&server.service) {
        return Err(AttemptOutcome::NoOpenConnection);
    }
    let began = host.now();
    let left = time::Duration::from_millis(deadline.since(began));
    let limit = host.latencies.borrow().connect_timeout(&server.region);
    host.metrics.borrow_mut().connections += 1;
    let source = host.settings().server_source_address;
    let Ok(connection) = pool::connect(server, source, limit.min(left)).await else {
        host.metrics.borrow_mut().connect_failures += 1;
        if left < limit {
            return Err(AttemptOutcome::OutOfTime);
        }
        host.on_connection_failed(server);
        return Err(AttemptOutcome::NotSent);
    };
    let took = time::Duration::from_millis(host.now().since(began));
    let mut latencies = host.latencies.borrow_mut();
    latencies.on_connected(&server.region, took);
    Ok(connection)
}

/// A connection that a request is sent over.
#[derive(Debug)]
struct OpenConnection {
    connection: ServerConnection,
    /// Whether it was opened for this request.
    is_new: bool,
}

async fn send_in_time<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    server: &rc::Rc<FleetServer>,
    connection: OpenConnection,
    request: &ForwardRequest,
    options: AttemptOptions<'_>,
) -> AttemptOutcome {
    let left = time::Duration::from_millis(options.deadline.since(host.now()));
    let sending = send(host, server, connection, request, options);
    let outcome = tokio::time::timeout(left, sending).await;
    outcome.unwrap_or(AttemptOutcome::TimedOut)
}

async fn send<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    server: &rc::Rc<FleetServer>,
    connection: OpenConnection,
    request: &ForwardRequest,
    options: AttemptOptions<'_>,
) -> AttemptOutcome {
    let OpenConnection {
        mut connection,
        is_new,
    } = connection;
    let id = request.id.as_deref();
    let permit = match SendPermit::obtain(host, server, options.right, id) {
        Ok(permit) => permit,
        Err(cause) => return AttemptOutcome::Withheld(cause),
    };
    let time_left = time::Duration::from_millis(options.deadline.since(host.now()));
    let message = build_message(host, server, request, time_left);
    let sent_in = host
        .server_limits
        .table()
        .period_of(server.incarnation_hash);
    let began = host.now();
    options.progress.on_sent(began);
    let trace = connection.record.begin_send(id);
    options.trace.set(Some(trace));
    let wait = host.begin_wait(server);
    let written = tokio::select! {
        written = permit.write(&mut connection.sender, message) => written,
        // Another host may still serve it in time.
        () = host.until_answer_is_unlikely(&server.service), if request.is_retryable => {
            return AttemptOutcome::Lost(LossCause::Unreachable);
        }
    };
    if !matches!(written, Err(SendFault::NotSent | SendFault::Broken)) {
        wait.on_answered(host.now());
        if is_new {
            host.on_server_connected(server);
        }
    }
    let (head, body) = match written {
        Ok(answer) => answer.into_parts(),
        Err(SendFault::NotSent) => return AttemptOutcome::NotSent,
        Err(SendFault::Broken) => return AttemptOutcome::Lost(LossCause::Broken),
        Err(SendFault::Framing(_)) => {
            host.metrics.borrow_mut().answers_dropped += 1;
            return AttemptOutcome::Lost(LossCause::Framing);
        }
    };
    let sent = SentRequest {
        request,
        sent_in,
        trace,
        began,
    };
    let (outcome, trace) = outcome_from_head(host, server, &sent, &head);
    options.trace.set(Some(trace));
    let Some(outcome) = outcome else {
        return server_answer::read_body(host, server, connection, head, body).await;
    };
    if matches!(outcome, AttemptOutcome::NotRun { .. }) {
        server_answer::discard_body(host, server, connection, head, body);
    }
    outcome
}

fn build_message<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    request: &ForwardRequest,
    time_left: time::Duration,
) -> ServerMessage {
    let mut message = http::Request::new(request.body.clone());
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = request.headers.clone();
    host.wire
        .write_forwarded(message.headers_mut(), time_left, &server.id);
    message
}
