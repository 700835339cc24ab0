//! Streams a server's answer to the caller and finishes the request when the stream ends.

use gotham::helpers::http::Body;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::answer::{self, AnswerBody};
use super::held::HeldRequest;
use super::incoming::CallerRequest;
use super::pool::PooledConnection;
use super::with_worker;
use crate::connection_headers;
use crate::result_code::ResultCode;
use crate::steering::AttemptResult;

/// A request whose answer is being streamed.
pub(super) struct AnsweredRequest {
    held: HeldRequest,
    connection: Option<PooledConnection>,
}

impl AnsweredRequest {
    /// Finishes the request. Only a connection whose answer was read completely is used again.
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

pub(super) fn stream_answer(
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
    let mut response = http::Response::new(Body::default());
    *response.status_mut() = parts.status;
    *response.headers_mut() = connection_headers::end_to_end(&parts.headers);
    answer::mark_answered(response.headers_mut(), &request.id, &hall, leaving);
    let streamed = AnswerBody::new(body, AnsweredRequest { held, connection });
    response.map(|_empty| streamed.boxed_unsync())
}
