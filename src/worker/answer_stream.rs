//! Streams a server's answer to the caller and finishes the request when the stream ends.

use gotham::helpers::http::Body;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::admitted::AdmittedRequest;
use super::answer::{self, AnswerBody};
use super::incoming::CallerRequest;
use super::pool::PooledConnection;
use super::with_worker;
use crate::connection_headers;
use crate::result_code::ResultCode;
use crate::steering::AttemptResult;

/// A request whose answer is being streamed.
pub(super) struct AnsweredRequest {
    admitted: AdmittedRequest,
    connection: Option<PooledConnection>,
}

impl AnsweredRequest {
    /// Finishes the request. Only a connection whose answer was read completely is used again.
    pub(super) fn finish(mut self, complete: bool) {
        let code = if complete {
            ResultCode::Answered
        } else {
            ResultCode::AnswerLost
        };
        self.admitted.end_attempt(AttemptResult::Abandoned, None);
        let connection = self.connection.take().filter(|_| complete);
        with_worker(|worker| {
            let millis = worker.now().since(self.admitted.arrived);
            worker
                .metrics
                .on_request(&self.admitted.service, &self.admitted.class, code, millis);
            if let Some(connection) = connection {
                worker
                    .pool
                    .put(self.admitted.admission.server.address, connection);
            }
        });
    }
}

pub(super) fn stream_answer(
    admitted: AdmittedRequest,
    request: &CallerRequest,
    parts: &http::response::Parts,
    body: Incoming,
    connection: PooledConnection,
) -> http::Response<Body> {
    let view = with_worker(|worker| {
        let hall = admitted.admission.hall;
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
    let reusable = echoed && admitted.admission.repeatable;
    let connection = reusable.then_some(PooledConnection {
        used: true,
        ..connection
    });
    let mut response = http::Response::new(Body::default());
    *response.status_mut() = parts.status;
    *response.headers_mut() = connection_headers::to_caller(&parts.headers, &request.method);
    answer::add_answer_headers(response.headers_mut(), &request.id, &hall, leaving);
    let stream = AnswerBody::new(
        body,
        AnsweredRequest {
            admitted,
            connection,
        },
    );
    response.map(|_empty| stream.boxed_unsync())
}
