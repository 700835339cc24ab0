//! Reads the bodies of servers' answers, and returns their connections to the pool.

use std::{rc, time};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use super::exchange::{AttemptOutcome, LossCause};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::server_connection::ServerConnection;
use super::wire::WireProtocol;
use crate::byte_account::HeldBytes;

/// Answers up to this size, in bytes, are buffered completely before the caller gets any byte, so
/// that a truncated one can be retried on another server. The largest usual download is half of it.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;
/// Answers up to this size, in bytes, are part of the memory of their connection.
const UNCOUNTED_ANSWER_BYTES: usize = 16 << 10;
/// How long the body of a refusal may take before its connection is closed.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A server's answer to the request.
#[derive(Debug)]
pub struct ServerAnswer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The part of the body that was read so far.
    pub buffered: Bytes,
    /// The unread part of a large body, and the connection that it arrives on.
    pub remaining: Option<(Incoming, ServerConnection)>,
}

/// Reads an accepted answer: a small one completely, of a large one the first part.
pub(super) async fn read_body<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    connection: ServerConnection,
    head: http::response::Parts,
    body: Incoming,
) -> AttemptOutcome {
    let Ok((buffered, remaining)) = read_start(host, body).await else {
        return AttemptOutcome::Lost(LossCause::Truncated);
    };
    let remaining = if let Some(remaining) = remaining {
        Some((remaining, connection))
    } else {
        return_to_pool(host, server, connection, &head);
        None
    };
    AttemptOutcome::Answered(Box::new(ServerAnswer {
        head,
        buffered,
        remaining,
    }))
}

/// Reads a small answer completely and the first part of a large one. Returns what was read, and
/// the body if there may be more. The first part is shorter if there is no memory for it.
///
/// # Errors
/// When the connection breaks within the answer.
pub(super) async fn read_start<W: WireProtocol>(
    host: &EntryHost<W>,
    mut body: Incoming,
) -> Result<(Bytes, Option<Incoming>), hyper::Error> {
    let mut buffer = AnswerBuffer::default();
    while buffer.bytes.len() <= MAX_BUFFERED_ANSWER_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok((buffer.into_bytes(), None));
        };
        if let Ok(data) = frame?.into_data()
            && !buffer.push(host, &data)
        {
            host.metrics.borrow_mut().callers.answers_unbuffered += 1;
            break;
        }
    }
    Ok((buffer.into_bytes(), Some(body)))
}

/// The part of an answer that has been read.
#[derive(Debug, Default)]
struct AnswerBuffer {
    bytes: BytesMut,
    held: Option<HeldBytes>,
}

/// Bytes that are counted until they have been written to the caller.
#[derive(Debug)]
struct CountedBytes {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerBuffer {
    /// Adds a piece; returns whether there is memory for more.
    fn push<W: WireProtocol>(&mut self, host: &EntryHost<W>, piece: &[u8]) -> bool {
        self.bytes.extend_from_slice(piece);
        let bytes = self.bytes.len();
        if bytes <= UNCOUNTED_ANSWER_BYTES {
            return true;
        }
        let limit = host.large_memory_limit();
        if let Some(held) = &mut self.held {
            return held.try_grow(piece.len() as u64, limit);
        }
        self.held = host.caller_memory.try_hold(bytes as u64, limit);
        self.held.is_some()
    }

    fn into_bytes(self) -> Bytes {
        let bytes = self.bytes.freeze();
        match self.held {
            Some(held) => Bytes::from_owner(CountedBytes { bytes, _held: held }),
            None => bytes,
        }
    }
}

/// Reads and discards the small body of a refusal, so that the connection can be reused. The outcome
/// of the attempt does not wait for it.
pub(super) fn discard_body<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    server: &rc::Rc<FleetServer>,
    connection: ServerConnection,
    head: http::response::Parts,
    body: Incoming,
) {
    if body.is_end_stream() {
        return return_to_pool(host, server, connection, &head);
    }
    let (host, server) = (rc::Rc::clone(host), rc::Rc::clone(server));
    tokio::task::spawn_local(async move {
        let body = http_body_util::Limited::new(body, MAX_BUFFERED_ANSWER_BYTES);
        let whole = tokio::time::timeout(DISCARD_TIMEOUT, body.collect()).await;
        if matches!(whole, Ok(Ok(_))) {
            return_to_pool(&host, &server, connection, &head);
        }
    });
}

/// Returns a connection to the pool after its answer was read completely, unless the server closes
/// it.
pub fn return_to_pool<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    connection: ServerConnection,
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
        .put(&server.id, connection, keep_alive, host.now());
}
