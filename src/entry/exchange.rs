//! One offer of a request to one server: what came of it, and what that proves.

use std::{rc, time};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;

use super::answer_end::end_by_head;
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::pool::{self, ServerSender};
use super::send_gate::{SendPermit, ServerMessage, WithheldCause};
use super::server_limit::right::SendRight;
use super::wire::WireProtocol;
use crate::timer::Moment;

/// Answers up to this size are read to their end before the caller sees a byte of them, so that
/// one that breaks off can be asked for again elsewhere. The largest usual download is half of it.
const WHOLE_ANSWER_BYTES: usize = 1 << 20;

/// A request as it is offered to servers.
#[derive(Debug)]
pub struct ForwardRequest {
    /// Its identity, as the caller wrote it.
    pub id: Option<String>,
    /// The method.
    pub method: http::Method,
    /// Path and query, unchanged.
    pub uri: http::Uri,
    /// The caller's headers without those of its connection.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether a second run does no harm.
    pub may_repeat: bool,
}

/// A server's answer that belongs to the request.
#[derive(Debug)]
pub struct ServerAnswer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// What was read of the body.
    pub first: Bytes,
    /// The rest of a large body, and the connection that it comes over.
    pub rest: Option<(Incoming, ServerSender)>,
}

/// What came of an offer.
#[derive(Debug)]
pub enum OfferEnd {
    /// An answer.
    Answered(Box<ServerAnswer>),
    /// The server was not reached: it has not run.
    NotSent,
    /// The server may not get it any more: it was not written.
    Withheld(WithheldCause),
    /// The request's time was over before a connection could be expected to come up: it has not
    /// run, and the server is not to blame.
    OutOfTime,
    /// The server says that it did not run it.
    NotRun {
        /// Its status.
        status: http::StatusCode,
        /// Whether it told free slots with it: then it is not for want of room.
        had_room: bool,
    },
    /// Another incarnation has the address: it has not run.
    OtherServer,
    /// It was sent and no answer came in time.
    TimedOut,
    /// It was sent and no answer that can be trusted came.
    Lost(LossCause),
}

/// Why an offer that was sent brought no answer that can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The connection broke before an answer.
    Broken,
    /// It broke within the answer.
    BrokenOff,
    /// The answer is another request's.
    OtherRequest,
    /// A success that the server has not signed.
    Unsigned,
    /// A status that would promise that the request has not run, which the server does not say.
    FalseRefusal,
}

impl LossCause {
    /// The words in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "the connection broke before an answer",
            Self::BrokenOff => "the answer broke off",
            Self::OtherRequest => "the answer belongs to another request",
            Self::Unsigned => "a success without the server's signature",
            Self::FalseRefusal => "a refusal that does not say that the request did not run",
        }
    }

    /// Whether the connection ended with it, as when the server's process ends.
    #[must_use]
    pub const fn has_broken(self) -> bool {
        matches!(self, Self::Broken | Self::BrokenOff)
    }
}

/// Counts a request at a server for as long as it is held.
#[derive(Debug)]
pub struct HeldSlot {
    server: rc::Rc<FleetServer>,
}

impl HeldSlot {
    /// Begins a request at `server`.
    #[must_use]
    pub fn at(server: &rc::Rc<FleetServer>) -> Self {
        server.begin_request();
        Self {
            server: rc::Rc::clone(server),
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.server.end_request();
    }
}

/// On what terms a request is offered to a server.
#[derive(Debug, Clone, Copy)]
pub struct OfferTerms {
    /// When it must have been answered.
    pub deadline: Moment,
    /// The right to send it.
    pub right: SendRight,
}

/// Offers a request to a server until its deadline. Dropping the future closes the connection, which
/// cancels the server's work.
pub async fn offer<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &rc::Rc<FleetServer>,
    request: &ForwardRequest,
    terms: OfferTerms,
) -> OfferEnd {
    let _slot = HeldSlot::at(server);
    let must_be_fresh = !request.may_repeat;
    let kept = host
        .pool
        .borrow_mut()
        .take(&server.id, must_be_fresh, host.now());
    if let Some(sender) = kept {
        match send_in_time(host, server, sender, request, terms).await {
            // The server closed the connection while it rested; nothing was written.
            OfferEnd::NotSent => {}
            end => return end,
        }
    }
    match connect(host, server, terms.deadline).await {
        Ok(sender) => send_in_time(host, server, sender, request, terms).await,
        Err(end) => end,
    }
}

/// Opens a connection, or says what came of the offer without one.
async fn connect<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    deadline: Moment,
) -> Result<ServerSender, OfferEnd> {
    let began = host.now();
    let left = time::Duration::from_millis(deadline.since(began));
    let limit = host.latencies.borrow().connect_timeout(&server.region);
    host.metrics.borrow_mut().connections += 1;
    let Ok(sender) = pool::connect(server, limit.min(left)).await else {
        host.metrics.borrow_mut().connect_failures += 1;
        return Err(if left < limit {
            OfferEnd::OutOfTime
        } else {
            OfferEnd::NotSent
        });
    };
    let took = time::Duration::from_millis(host.now().since(began));
    let mut latencies = host.latencies.borrow_mut();
    latencies.on_connected(&server.region, took);
    Ok(sender)
}

async fn send_in_time<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    sender: ServerSender,
    request: &ForwardRequest,
    terms: OfferTerms,
) -> OfferEnd {
    let left = time::Duration::from_millis(terms.deadline.since(host.now()));
    let sending = send(host, server, sender, request, terms);
    let end = tokio::time::timeout(left, sending).await;
    end.unwrap_or(OfferEnd::TimedOut)
}

async fn send<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    mut sender: ServerSender,
    request: &ForwardRequest,
    terms: OfferTerms,
) -> OfferEnd {
    let id = request.id.as_deref();
    let permit = match SendPermit::obtain(host, server, terms.right, id) {
        Ok(permit) => permit,
        Err(cause) => return OfferEnd::Withheld(cause),
    };
    let time_left = time::Duration::from_millis(terms.deadline.since(host.now()));
    let message = build_message(host, server, request, time_left);
    let sent_in = host.server_limits.table().spell_of(server.incarnation_hash);
    let (head, body) = match permit.write(&mut sender, message).await {
        Ok(answer) => answer.into_parts(),
        Err(mut fault) => {
            return if fault.take_message().is_some() {
                OfferEnd::NotSent
            } else {
                OfferEnd::Lost(LossCause::Broken)
            };
        }
    };
    let Some(end) = end_by_head(host, server, request, &head, sent_in) else {
        return read_body(host, server, sender, head, body).await;
    };
    if matches!(end, OfferEnd::NotRun { .. }) {
        keep_after(host, server, sender, &head, body).await;
    }
    end
}

fn build_message<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    request: &ForwardRequest,
    time_left: time::Duration,
) -> ServerMessage {
    let mut message = http::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = request.headers.clone();
    host.wire
        .write_forwarded(message.headers_mut(), time_left, &server.id);
    message
}

/// Reads a small answer to its end; of a large one, the first part.
async fn read_body<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    sender: ServerSender,
    head: http::response::Parts,
    mut body: Incoming,
) -> OfferEnd {
    let mut first = BytesMut::new();
    while first.len() <= WHOLE_ANSWER_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    first.extend_from_slice(&data);
                }
            }
            Some(Err(_fault)) => {
                return OfferEnd::Lost(LossCause::BrokenOff);
            }
            None => {
                keep(host, server, sender, &head);
                let answer = ServerAnswer {
                    head,
                    first: first.freeze(),
                    rest: None,
                };
                return OfferEnd::Answered(Box::new(answer));
            }
        }
    }
    let answer = ServerAnswer {
        head,
        first: first.freeze(),
        rest: Some((body, sender)),
    };
    OfferEnd::Answered(Box::new(answer))
}

/// Reads the small body of a refusal, so that its connection can be used again.
async fn keep_after<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    sender: ServerSender,
    head: &http::response::Parts,
    body: Incoming,
) {
    let whole = http_body_util::Limited::new(body, WHOLE_ANSWER_BYTES)
        .collect()
        .await;
    if whole.is_ok() {
        keep(host, server, sender, head);
    }
}

/// Keeps a connection whose answer was read to its end, unless the server closes it.
pub fn keep<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    sender: ServerSender,
    head: &http::response::Parts,
) {
    let closes = head
        .headers
        .get(http::header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes || !server.takes_work() {
        return;
    }
    let keep_alive = host.wire.read_answer(&head.headers).keep_alive;
    host.pool
        .borrow_mut()
        .put(&server.id, sender, keep_alive, host.now());
}
