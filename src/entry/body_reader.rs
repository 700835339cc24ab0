//! Reads the bodies of requests.

use std::{error, io, iter, time};

use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::body_buffer::BodyBuffer;
use super::request_failure::RequestFailure;
use crate::request_body::RequestBody;

/// Time in which a caller must send its body, whatever the request's deadline.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Reads a whole body of at most `max_bytes`.
pub(super) async fn read(body: Incoming, max_bytes: u64) -> Result<RequestBody, RequestFailure> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let reading = tokio::time::timeout(BODY_TIMEOUT, read_pieces(body, max_bytes));
    reading.await.unwrap_or(Err(RequestFailure::BODY_LATE))
}

async fn read_pieces(mut body: Incoming, max_bytes: u64) -> Result<RequestBody, RequestFailure> {
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|length| usize::try_from(length).ok());
    let mut buffer = BodyBuffer::with_length(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|fault| failure_of(&fault))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if (buffer.len() + piece.len()) as u64 > max_bytes {
            return Err(RequestFailure::BODY_TOO_LARGE);
        }
        buffer.push(&piece);
    }
    Ok(buffer.into_body())
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
