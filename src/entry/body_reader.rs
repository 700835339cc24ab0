//! Reads the bodies of requests, within the memory that a host has for callers.

use std::{error, io, iter, time};

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::arriving_bodies::ArrivingBody;
use super::host::EntryHost;
use super::request_failure::RequestFailure;
use super::wire::WireProtocol;
use crate::request_body::RequestBody;

/// Time in which a caller must send its body, whatever the request's deadline.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time in which the rest of a refused body is read and dropped. A connection that is closed while
/// its caller sends is reset, and the caller may lose the refusal.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Largest part of a refused body that is read and dropped, in bytes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Reads a whole body of at most `max_bytes`.
pub(super) async fn read<W: WireProtocol>(
    host: &EntryHost<W>,
    mut body: Incoming,
    max_bytes: u64,
) -> Result<RequestBody, RequestFailure> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    if body.size_hint().lower() > max_bytes {
        tokio::task::spawn_local(discard(body));
        return Err(RequestFailure::BODY_TOO_LARGE);
    }
    let reading = tokio::time::timeout(BODY_TIMEOUT, read_pieces(host, &mut body, max_bytes));
    let read = reading.await.unwrap_or(Err(RequestFailure::BODY_LATE));
    if read.is_err() && !body.is_end_stream() {
        tokio::task::spawn_local(discard(body));
    }
    read
}

async fn read_pieces<W: WireProtocol>(
    host: &EntryHost<W>,
    body: &mut Incoming,
    max_bytes: u64,
) -> Result<RequestBody, RequestFailure> {
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|length| usize::try_from(length).ok());
    let (account, now) = (&host.caller_memory, host.now());
    let arriving = host.arriving_bodies.begin(stated, account, now);
    loop {
        let frame = tokio::select! {
            biased;
            () = arriving.yielded() => return Err(RequestFailure::NO_MEMORY),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return arriving.complete().ok_or(RequestFailure::NO_MEMORY);
        };
        let frame = frame.map_err(|fault| failure_of(&fault))?;
        if let Ok(piece) = frame.into_data() {
            add_piece(host, &arriving, &piece, max_bytes)?;
        }
    }
}

/// Adds a piece to its body. If memory is short, other bodies or this one yield, or
/// connections are closed.
fn add_piece<W: WireProtocol>(
    host: &EntryHost<W>,
    arriving: &ArrivingBody,
    piece: &[u8],
    max_bytes: u64,
) -> Result<(), RequestFailure> {
    loop {
        let length = arriving.arrived_bytes().ok_or(RequestFailure::NO_MEMORY)?;
        let length = (length + piece.len()) as u64;
        if length > max_bytes {
            return Err(RequestFailure::BODY_TOO_LARGE);
        }
        let limit = host.caller_limits().memory_for(length, max_bytes);
        if arriving.push(piece, limit) {
            return Ok(());
        }
        if !host.make_room() {
            return Err(RequestFailure::NO_MEMORY);
        }
    }
}

/// Reads and drops a part of a refused body.
async fn discard(mut body: Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(length);
            if left == 0 {
                return;
            }
        }
    };
    // The connection is closed if the body goes on.
    let _outcome = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

fn failure_of(fault: &hyper::Error) -> RequestFailure {
    if has_connection_ended(fault) {
        RequestFailure::CALLER_LEFT
    } else {
        RequestFailure::BODY_MALFORMED
    }
}

/// Whether a body could not be read because its connection was closed or reset.
fn has_connection_ended(fault: &(dyn error::Error + 'static)) -> bool {
    let causes = iter::successors(Some(fault), |fault| fault.source());
    let mut kinds = causes.filter_map(|cause| cause.downcast_ref::<io::Error>());
    kinds.any(|fault| {
        matches!(
            fault.kind(),
            io::ErrorKind::UnexpectedEof
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
        )
    })
}
