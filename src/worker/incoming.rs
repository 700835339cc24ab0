//! Reads a caller's request, before any decision about it.

use std::time;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::{FromState as _, State};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};

use super::answer::{self, CallerRefusal};
use super::head::RequestHead;
use super::{route, with_worker};
use crate::block_map::BlockPlace;
use crate::controller::LEAVE_GRACE_MS;
use crate::result_code::ResultCode;
use crate::timer::Moment;

/// Timeout for reading the caller's body, whatever the request's deadline.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A request that was read and checked.
pub(super) struct CallerRequest {
    pub(super) head: RequestHead,
    pub(super) id: String,
    pub(super) method: http::Method,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
    pub(super) arrived: Moment,
    /// The hall and hash of the caller's client block, if a block covers its address.
    pub(super) place: Option<BlockPlace>,
}

pub(super) async fn read_request(state: &mut State) -> Result<CallerRequest, CallerRefusal> {
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
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
            Err(CallerRefusal::with_code(ResultCode::BodyTooLarge, None))
        }
        _ => Err(CallerRefusal::with_code(ResultCode::BodyBroken, None)),
    }
}
