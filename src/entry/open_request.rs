//! A caller's request as it is read: its route, its body, and how long it may take.

use std::{rc, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use xxhash_rust::xxh3;

use super::configuration::{RouteRule, RouteTable};
use super::customer::{self, CustomerRule};
use super::exchange::ForwardRequest;
use super::fingerprint::{RequestContent, RequestFingerprint};
use super::host::EntryHost;
use super::request_failure::RequestFailure;
use super::wire::{CallerHead, CallerKey, WireProtocol};
use crate::connection_headers;
use crate::timer::Moment;

/// A caller must send its body within this time, whatever its deadline.
const BODY_LIMIT: time::Duration = time::Duration::from_secs(10);

/// A request on its way.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// What servers are offered.
    pub(super) forward: ForwardRequest,
    /// Who asks, where requests need a key.
    pub(super) customer: Option<rc::Rc<CustomerRule>>,
    /// The only regions that may serve it; empty for all.
    pub(super) homes: Vec<String>,
    /// Its route.
    pub(super) route: rc::Rc<RouteRule>,
    /// The service that was drawn for it from those of the route.
    pub(super) service: String,
    /// A hash of the object that it is about, where the route keeps objects together.
    pub(super) object: Option<u64>,
    /// When its head was read.
    pub(super) arrived: Moment,
    /// When it must have been answered.
    pub(super) deadline: Moment,
    /// The time that the caller said that it would wait.
    pub(super) time_told: Option<time::Duration>,
}

impl OpenRequest {
    /// Reads a request to its end.
    pub(super) async fn read<W: WireProtocol>(
        host: &EntryHost<W>,
        request: http::Request<Incoming>,
        arrived: Moment,
    ) -> Result<Self, RequestFailure> {
        let routes = host.routes().ok_or(RequestFailure::UNCONFIGURED)?;
        let (head, body) = request.into_parts();
        if head_bytes(&head.headers) > routes.configuration().limits.header_bytes {
            return Err(RequestFailure::HEAD_TOO_LARGE);
        }
        let route = route_of(&routes, &head).ok_or(RequestFailure::NO_ROUTE)?;
        let caller = host.wire.read_caller(&head.headers);
        let customer = customer_of(&routes, &route, caller.key)?;
        let homes = homes_of(&route, customer.as_deref())?;
        let service = draw_service(host, &route);
        let limit = routes.configuration().limits.body_bytes;
        let body = read_body(body, usize::try_from(limit).unwrap_or(usize::MAX)).await?;
        let deadline = arrived.plus(longest_time(&caller, &route).as_millis() as u64);
        if host.may_stop_before(deadline) {
            return Err(RequestFailure::LEAVING);
        }
        let mut headers = connection_headers::end_to_end(&head.headers);
        let name = customer.as_ref().map(|customer| customer.name.as_str());
        host.wire.write_customer(&mut headers, name);
        Ok(Self {
            customer,
            homes,
            object: object_of(&caller, &route),
            arrived,
            deadline,
            time_told: caller.time_left,
            service,
            forward: ForwardRequest {
                id: caller.request_id.map(str::to_owned),
                method: head.method,
                uri: path_only(&head.uri),
                headers,
                body,
                may_repeat: route.kind.may_repeat(),
            },
            route,
        })
    }

    /// What its repeats have in common with it, at whatever host they arrive.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let forward = &self.forward;
        let customer = self.customer.as_ref();
        let site = forward.headers.get(http::header::HOST);
        let content = RequestContent {
            customer: customer.map_or("", |customer| &customer.name),
            method: forward.method.as_str(),
            site: site.map_or(&[][..], |site| site.as_bytes()),
            path: forward
                .uri
                .path_and_query()
                .map_or("", |path| path.as_str()),
            body: &forward.body,
        };
        RequestFingerprint::of(&content)
    }
}

/// The size of the headers as they are written, in bytes.
fn head_bytes(headers: &http::HeaderMap) -> u64 {
    // A colon, a space and the end of the line stand around name and value.
    const AROUND: usize = 4;
    let lines = headers.iter();
    let bytes = lines.map(|(name, value)| name.as_str().len() + value.len() + AROUND);
    bytes.sum::<usize>() as u64
}

fn route_of(routes: &RouteTable, head: &http::request::Parts) -> Option<rc::Rc<RouteRule>> {
    let named = head.headers.get(http::header::HOST);
    let named = named.and_then(|name| name.to_str().ok()).unwrap_or("");
    // A whole address in the request line comes before the header (RFC 9112, section 3.2.2).
    let name = head.uri.host().unwrap_or(named);
    let route = routes.route_of(without_port(name), head.uri.path());
    route.map(rc::Rc::clone)
}

/// Who asks. A key on a public route still says who, if a customer holds it.
fn customer_of(
    routes: &RouteTable,
    route: &RouteRule,
    key: CallerKey,
) -> Result<Option<rc::Rc<CustomerRule>>, RequestFailure> {
    let Some(customers) = routes.customers() else {
        return Ok(None);
    };
    let failure = match key {
        CallerKey::Given(key) => match customers.holder_of(key) {
            Some(customer) => return Ok(Some(rc::Rc::clone(customer))),
            None if routes.configuration().has_unread_customers => {
                RequestFailure::key_undecided(key)
            }
            None => RequestFailure::key_unknown(key),
        },
        CallerKey::Missing => RequestFailure::KEY_MISSING,
        CallerKey::Several => RequestFailure::KEYS_SEVERAL,
    };
    if route.public { Ok(None) } else { Err(failure) }
}

fn homes_of(
    route: &RouteRule,
    customer: Option<&CustomerRule>,
) -> Result<Vec<String>, RequestFailure> {
    let others = customer.map_or(&[][..], |customer| &customer.homes);
    customer::common_homes(&route.homes, others).ok_or(RequestFailure::HOMES_APART)
}

fn draw_service<W: WireProtocol>(host: &EntryHost<W>, route: &RouteRule) -> String {
    let point = rand::Rng::random::<f64>(&mut *host.random.borrow_mut());
    route.service_at(point).unwrap_or_default().to_owned()
}

fn longest_time(caller: &CallerHead<'_>, route: &RouteRule) -> time::Duration {
    let longest = time::Duration::from_millis(route.timeout_ms);
    caller.time_left.map_or(longest, |left| left.min(longest))
}

fn object_of(caller: &CallerHead<'_>, route: &RouteRule) -> Option<u64> {
    let key = caller.object_key.filter(|_| route.sticky)?;
    // The same key under another route names another object.
    let seed = xxh3::xxh3_64(route.prefix.as_bytes());
    Some(xxh3::xxh3_64_with_seed(key.as_bytes(), seed))
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    })
}

fn path_only(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, RequestFailure> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    match tokio::time::timeout(BODY_LIMIT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(RequestFailure::rejected(
            http::StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(_)) => Err(RequestFailure::rejected(
            http::StatusCode::BAD_REQUEST,
            "the body broke off",
        )),
        Err(_elapsed) => Err(RequestFailure::rejected(
            http::StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        )),
    }
}
