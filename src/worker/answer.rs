//! Builds responses to callers: refusals with a result code, and streamed answers of backend
//! servers.

use std::{io, pin, task, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Frame, Incoming, SizeHint};

use super::answer_stream::AnsweredRequest;
use crate::result_code::{RequestOutcome, ResultCode};

pub(super) use crate::result_code::CODE_HEADER;
pub(super) const OUTCOME_HEADER: &str = "x-ledgespool-outcome";
pub(super) const REQUEST_HEADER: &str = "x-ledgespool-request-id";
pub(super) const RETRY_HEADER: &str = "x-ledgespool-retry-after-ms";
pub(super) const LOOKUP_HEADER: &str = "x-ledgespool-lookup";

/// A server that sends nothing for this long within an answer counts as broken.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A final response that this host makes itself, instead of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CallerRefusal {
    pub(super) code: ResultCode,
    pub(super) retry_after_ms: Option<u64>,
    /// The request's id, once it has been read.
    pub(super) request_id: Option<String>,
    /// The recorded status, when the claim key was already used.
    pub(super) recorded_status: Option<u16>,
}

impl CallerRefusal {
    pub(super) const fn with_code(code: ResultCode, retry_after_ms: Option<u64>) -> Self {
        Self {
            code,
            retry_after_ms,
            request_id: None,
            recorded_status: None,
        }
    }

    pub(super) fn for_request(mut self, id: &str) -> Self {
        self.request_id = Some(id.to_owned());
        self
    }
}

/// The refusal of a worker that is not set up. Nothing was sent to a server.
pub(super) const fn internal_refusal() -> CallerRefusal {
    CallerRefusal::with_code(
        ResultCode::WorkRejected,
        Some(crate::steering::UNAVAILABLE_RETRY_AFTER_MS),
    )
}

fn put(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = http::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Renders a refusal: status, headers, and a JSON body with the same content.
pub(super) fn refusal_response(refusal: &CallerRefusal) -> http::Response<Body> {
    let outcome = refusal.code.outcome().unwrap_or(RequestOutcome::Unknown);
    let body = serde_json::json!({
        "code": refusal.code.to_string(),
        "outcome": outcome.as_str(),
        "text": refusal.code.text(),
        "advice": refusal.code.advice(),
        "retry_after_ms": refusal.retry_after_ms,
        "recorded_status": refusal.recorded_status,
    });
    let body = Full::from(body.to_string())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = http::Response::new(body);
    let status = http::StatusCode::from_u16(refusal.code.http_status());
    *response.status_mut() = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    put(headers, CODE_HEADER, &refusal.code.to_string());
    put(headers, OUTCOME_HEADER, outcome.as_str());
    if let Some(id) = &refusal.request_id {
        put(headers, REQUEST_HEADER, id);
    }
    if let Some(millis) = refusal.retry_after_ms {
        put(headers, RETRY_HEADER, &millis.to_string());
        put(headers, "retry-after", &millis.div_ceil(1_000).to_string());
    }
    response
}

/// Adds a result code to responses that gotham makes itself, such as 404 for an unknown path.
pub(super) fn with_code(response: http::Response<Body>) -> http::Response<Body> {
    if response.headers().contains_key(CODE_HEADER) {
        return response;
    }
    match response.status() {
        http::StatusCode::NOT_FOUND => {
            refusal_response(&CallerRefusal::with_code(ResultCode::RouteUnknown, None))
        }
        http::StatusCode::METHOD_NOT_ALLOWED => refusal_response(&CallerRefusal::with_code(
            ResultCode::RequestMalformed,
            None,
        )),
        _ => refusal_response(&internal_refusal()),
    }
}

/// Asks the caller to repeat its look-up before the next request.
pub(super) fn request_new_lookup(headers: &mut http::HeaderMap) {
    put(headers, LOOKUP_HEADER, "again");
}

/// Adds this host's headers to a server's answer.
pub(super) fn add_answer_headers(
    headers: &mut http::HeaderMap,
    request_id: &str,
    hall: &str,
    leaving: bool,
) {
    headers.insert(CODE_HEADER, http::HeaderValue::from_static("LS2000"));
    headers.insert(OUTCOME_HEADER, http::HeaderValue::from_static("answered"));
    put(headers, REQUEST_HEADER, request_id);
    put(headers, "x-ledgespool-hall", hall);
    if leaving {
        request_new_lookup(headers);
        headers.insert(
            http::header::CONNECTION,
            http::HeaderValue::from_static("close"),
        );
    }
}

/// Streams a server's answer and finishes the request exactly once, however the stream ends.
///
/// A broken stream becomes an error of the body, which closes the caller's connection, so that the
/// caller never takes a partial answer for a complete one.
pub(super) struct AnswerBody {
    inner: Incoming,
    request: Option<AnsweredRequest>,
    stall: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl AnswerBody {
    pub(super) fn new(inner: Incoming, request: AnsweredRequest) -> Self {
        let mut body = Self {
            inner,
            request: Some(request),
            stall: None,
        };
        if hyper::body::Body::is_end_stream(&body.inner) {
            body.finish(true);
        }
        body
    }

    fn finish(&mut self, complete: bool) {
        if let Some(request) = self.request.take() {
            request.finish(complete);
        }
    }

    fn fail_stream(&mut self, detail: &str) -> task::Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.finish(false);
        task::Poll::Ready(Some(Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            detail.to_owned(),
        ))))
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match pin::Pin::new(&mut self.inner).poll_frame(cx) {
            task::Poll::Ready(Some(Ok(frame))) => {
                self.stall = None;
                if hyper::body::Body::is_end_stream(&self.inner) {
                    self.finish(true);
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            task::Poll::Ready(Some(Err(fault))) => self.fail_stream(&fault.to_string()),
            task::Poll::Ready(None) => {
                self.finish(true);
                task::Poll::Ready(None)
            }
            task::Poll::Pending => {
                let stall = self
                    .stall
                    .get_or_insert_with(|| Box::pin(tokio::time::sleep(STALL_TIMEOUT)));
                match stall.as_mut().poll(cx) {
                    task::Poll::Ready(()) => self.fail_stream("the answer stalled"),
                    task::Poll::Pending => task::Poll::Pending,
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.inner)
    }

    fn size_hint(&self) -> SizeHint {
        hyper::body::Body::size_hint(&self.inner)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.finish(false);
    }
}
