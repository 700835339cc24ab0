//! The callers' routes: `/lookup`, `/call/SERVICE/...` and `/health`.

use std::net;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::router::{Router, builder};
use gotham::state::State;
use http_body_util::{BodyExt as _, Full};

use super::answer::{self, CallerRefusal};
use super::forward;
use super::with_worker;
use crate::lookup::LookupFault;
use crate::result_code::ResultCode;
use crate::steering::UNAVAILABLE_RETRY_AFTER_MS;

/// Header in which a trusted forwarder reports the caller's address.
const CALLER_HEADER: &str = "x-ledgespool-caller";

pub(super) fn build_router() -> Router {
    builder::build_simple_router(|route| {
        route.get("/lookup").to(lookup);
        route.get("/health").to(health);
        let methods = vec![
            http::Method::GET,
            http::Method::HEAD,
            http::Method::POST,
            http::Method::PUT,
            http::Method::PATCH,
            http::Method::DELETE,
        ];
        route.request(methods, "/call/*").to_async(forward::forward);
    })
}

/// The caller's address: the peer's, or the one that a trusted forwarder reports.
pub(super) fn caller_address(state: &State, trusted: &[net::IpAddr]) -> Option<net::IpAddr> {
    let peer = gotham::state::client_addr(state)?.ip();
    if !trusted.contains(&peer) {
        return Some(peer);
    }
    let headers = http::HeaderMap::borrow_from(state);
    let reported = headers
        .get(CALLER_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    Some(reported.unwrap_or(peer))
}

fn query_value<'u>(uri: &'u http::Uri, name: &str) -> Option<&'u str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn lookup(state: State) -> (State, http::Response<Body>) {
    let response = match find_answer(&state) {
        Ok(bytes) => json_response(bytes),
        Err(refusal) => answer::refusal_response(&refusal),
    };
    (state, response)
}

fn find_answer(state: &State) -> Result<Bytes, CallerRefusal> {
    let service = query_value(http::Uri::borrow_from(state), "service")
        .ok_or_else(|| CallerRefusal::with_code(ResultCode::RequestMalformed, None))?;
    let found = with_worker(|worker| {
        let caller = caller_address(state, &worker.settings.trusted_forwarders)?;
        Some(
            worker
                .lookup
                .find(service, caller, worker.own_hall)
                .map_err(|fault| match fault {
                    LookupFault::ServiceUnknown if worker.generation == 0 => {
                        CallerRefusal::with_code(
                            ResultCode::ConfigurationMissing,
                            Some(UNAVAILABLE_RETRY_AFTER_MS),
                        )
                    }
                    LookupFault::ServiceUnknown => {
                        CallerRefusal::with_code(ResultCode::ServiceUnknown, None)
                    }
                    LookupFault::NoHost => CallerRefusal::with_code(
                        ResultCode::EntryUnavailable,
                        Some(UNAVAILABLE_RETRY_AFTER_MS),
                    ),
                }),
        )
    });
    found
        .flatten()
        .unwrap_or_else(|| Err(answer::internal_refusal()))
}

fn json_response(bytes: Bytes) -> http::Response<Body> {
    let body = Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = http::Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    headers.insert(
        answer::CODE_HEADER,
        http::HeaderValue::from_static("LS2000"),
    );
    response
}

/// Responds with 200 while the host accepts callers, otherwise with the reason why it does not.
fn health(state: State) -> (State, http::Response<Body>) {
    let refusal = with_worker(|worker| {
        if worker.leaving_since.is_some() {
            return Some(CallerRefusal::with_code(ResultCode::HostLeaving, None));
        }
        (worker.generation == 0).then(|| {
            CallerRefusal::with_code(
                ResultCode::ConfigurationMissing,
                Some(UNAVAILABLE_RETRY_AFTER_MS),
            )
        })
    });
    let response = match refusal.flatten() {
        Some(refusal) => answer::refusal_response(&refusal),
        None => json_response(Bytes::from_static(b"{\"status\":\"ready\"}")),
    };
    (state, response)
}
