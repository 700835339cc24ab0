//! Sends a request to the host that takes it over, and reads the answer.

use std::time;

use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;

use super::HANDOFF_PATH;
use super::message::{
    ANSWER, FAILURE, HANDOFF_HEADER, HEAD_LENGTH_HEADER, HandoffFailure, HandoffHead,
    HandoffRequest,
};
use crate::client_sender::ClientSender;
use crate::entry::exchange::LossCause;
use crate::entry::host::EntryHost;
use crate::entry::open_request::OpenRequest;
use crate::entry::peer_message;
use crate::entry::peers::HandoffTarget;
use crate::entry::request_failure::RequestFailure;
use crate::entry::server_answer::{self, ServerAnswer};
use crate::entry::server_connection::{ConnectionRecord, ServerConnection};
use crate::entry::wire::WireProtocol;
use crate::http_client::{self, ExchangeFault};
use crate::request_body::RequestBody;
use crate::tcp_keepalive::ProbeStart;

/// Timeout for opening a connection to another host.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Largest encoded failure, in bytes.
const MAX_FAILURE_BYTES: usize = 1024;

/// What has been done for a request before it is handed over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::entry) struct HandoffProgress {
    /// How often it was sent to servers.
    pub(in crate::entry) sends: u32,
    /// Whether it was counted for the retry budget.
    pub(in crate::entry) is_counted: bool,
    /// Whether it is the probe of a blocked request.
    pub(in crate::entry) is_probe: bool,
}

/// How a handoff ended.
#[derive(Debug)]
pub(in crate::entry) enum HandoffOutcome {
    /// A server answered.
    Answered(Box<ServerAnswer>),
    /// The request has not run, because of that host; another may serve it.
    NotServed(&'static str),
    /// The other host determined the failure.
    Failed(RequestFailure),
    /// No answer came back; the request may have run.
    Lost(LossCause),
    /// No answer came back before the deadline.
    TimedOut,
}

/// Hands a request over to another host and waits for the answer until the deadline. Dropping the
/// future closes the connection, which cancels the work there.
pub(in crate::entry) async fn send<W: WireProtocol>(
    host: &EntryHost<W>,
    target: &HandoffTarget,
    open: &OpenRequest,
    progress: HandoffProgress,
) -> HandoffOutcome {
    let _open = host.handoffs.begin(target.address);
    let left = time::Duration::from_millis(open.deadline.since(host.now()));
    let exchange = exchange_request(host, target, open, progress);
    let outcome = tokio::time::timeout(left, exchange).await;
    outcome.unwrap_or(HandoffOutcome::TimedOut)
}

async fn exchange_request<W: WireProtocol>(
    host: &EntryHost<W>,
    target: &HandoffTarget,
    open: &OpenRequest,
    progress: HandoffProgress,
) -> HandoffOutcome {
    let Some(message) = encode(host, open, progress) else {
        return HandoffOutcome::NotServed("the request could not be encoded");
    };
    let idle = host.handoffs.take_connection(target.address);
    if let Some(sender) = idle {
        open.progress.on_sent(host.now());
        match write(host, target, sender, message.clone()).await {
            // The other host closed the idle connection; nothing was written.
            None => {}
            Some(outcome) => return outcome,
        }
    }
    let probes = ProbeStart::Late;
    let opened = http_client::connect_with(target.address, CONNECT_TIMEOUT, probes).await;
    let Ok(sender) = opened else {
        return HandoffOutcome::NotServed("the host was not reached");
    };
    open.progress.on_sent(host.now());
    let outcome = write(host, target, sender, message).await;
    outcome.unwrap_or(HandoffOutcome::NotServed("the host closed the connection"))
}

fn encode<W: WireProtocol>(
    host: &EntryHost<W>,
    open: &OpenRequest,
    progress: HandoffProgress,
) -> Option<RequestBody> {
    let now = host.now();
    let forward = &open.forward;
    let headers = forward.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    let request = HandoffRequest {
        head: HandoffHead {
            host: host.settings().name.clone(),
            run: host.run,
            id: forward.id.clone(),
            method: forward.method.to_string(),
            uri: forward.uri.to_string(),
            headers: headers.collect(),
            customer: open.customer.as_ref().map(|rule| rule.name.clone()),
            service: open.service.clone(),
            version: open.version,
            age_ms: now.since(open.arrived),
            time_left_ms: open.deadline.since(now),
            sends: progress.sends,
            is_counted: progress.is_counted,
            is_probe: progress.is_probe,
        },
        body: forward.body.clone(),
    };
    match request.to_message() {
        Ok(message) => Some(message),
        Err(fault) => {
            host.log_malformed_message("self", &fault);
            None
        }
    }
}

/// Writes the message and reads the answer; `None` if nothing was written.
async fn write<W: WireProtocol>(
    host: &EntryHost<W>,
    target: &HandoffTarget,
    mut sender: ClientSender,
    message: RequestBody,
) -> Option<HandoffOutcome> {
    let mut request = http::Request::new(message);
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static(HANDOFF_PATH);
    let peer = http::HeaderValue::from_static("peer");
    request.headers_mut().insert(http::header::HOST, peer);
    let (head, body) = match http_client::read_head(&mut sender, request).await {
        Ok(answer) => answer.into_parts(),
        Err(ExchangeFault::NotSent) => return None,
        Err(ExchangeFault::Lost) => return Some(HandoffOutcome::Lost(LossCause::Broken)),
    };
    let kind = head.headers.get(HANDOFF_HEADER);
    Some(match kind.map(http::HeaderValue::as_bytes) {
        Some(kind) if kind == ANSWER.as_bytes() => {
            read_answer(host, target, sender, head, body).await
        }
        Some(kind) if kind == FAILURE.as_bytes() => {
            let outcome = read_failure(host, target, body).await;
            host.handoffs
                .put_connection(target.address, sender, host.now());
            outcome
        }
        _ => HandoffOutcome::NotServed("the host takes no requests over"),
    })
}

async fn read_answer<W: WireProtocol>(
    host: &EntryHost<W>,
    target: &HandoffTarget,
    sender: ClientSender,
    mut head: http::response::Parts,
    body: Incoming,
) -> HandoffOutcome {
    head.headers.remove(HANDOFF_HEADER);
    // That of the response between the hosts.
    head.headers.remove(http::header::CONTENT_LENGTH);
    if let Some(length) = head.headers.remove(HEAD_LENGTH_HEADER) {
        head.headers.insert(http::header::CONTENT_LENGTH, length);
    }
    let Ok((buffered, remaining)) = server_answer::read_start(host, body).await else {
        return HandoffOutcome::Lost(LossCause::Truncated);
    };
    let remaining = if let Some(remaining) = remaining {
        let record = ConnectionRecord::default();
        Some((remaining, ServerConnection { sender, record }))
    } else {
        host.handoffs
            .put_connection(target.address, sender, host.now());
        None
    };
    HandoffOutcome::Answered(Box::new(ServerAnswer {
        head,
        buffered,
        remaining,
    }))
}

async fn read_failure<W: WireProtocol>(
    host: &EntryHost<W>,
    target: &HandoffTarget,
    body: Incoming,
) -> HandoffOutcome {
    let Ok(whole) = Limited::new(body, MAX_FAILURE_BYTES).collect().await else {
        return HandoffOutcome::Lost(LossCause::Truncated);
    };
    match peer_message::from_bytes::<HandoffFailure>(&whole.to_bytes()) {
        Ok(failure) if failure.is_of_host() => {
            HandoffOutcome::NotServed(failure.completion.as_str())
        }
        Ok(failure) => HandoffOutcome::Failed(RequestFailure::of_other_host(&failure)),
        Err(fault) => {
            host.log_malformed_message(&target.name, &fault);
            HandoffOutcome::Lost(LossCause::Truncated)
        }
    }
}
