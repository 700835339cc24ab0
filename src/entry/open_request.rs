//! Reads a caller's request: finds its route and customer, reads its body and sets its deadline.

use std::{cell, rc, time};

use hyper::body::Incoming;
use xxhash_rust::xxh3;

use super::attempt_record::ExpectedAnswer;
use super::body_reader;
use super::configuration::{RouteRule, RouteTable};
use super::customer::{self, CustomerRule};
use super::departure::RequestProgress;
use super::exchange::ForwardRequest;
use super::fingerprint::{RequestContent, RequestFingerprint};
use super::handoff::HandoffProgress;
use super::handoff::message::HandoffRequest;
use super::hash;
use super::host::EntryHost;
use super::request_failure::RequestFailure;
use super::wire::{CallerHead, CallerKey, WireProtocol};
use crate::connection_headers;
use crate::timer::Moment;

/// When a request came.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestTimes {
    /// When the request's head was read.
    pub(super) arrived: Moment,
    /// The earliest moment at which the caller may have sent the request.
    pub(super) sent_from: Moment,
}

/// A request that was read completely and has not been answered yet.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// What is sent to a backend server.
    pub(super) forward: ForwardRequest,
    /// The customer whose key the request carries, if keys are configured.
    pub(super) customer: Option<rc::Rc<CustomerRule>>,
    /// The regions that may serve the request; empty if all may.
    pub(super) homes: Vec<String>,
    /// The route that matches the request.
    pub(super) route: rc::Rc<RouteRule>,
    /// The service sampled from the route's services by weight.
    pub(super) service: String,
    /// The version of the configuration by which it was sampled.
    pub(super) version: u64,
    /// A hash of the requested object's key, if the route is sticky.
    pub(super) object: Option<u64>,
    /// When the request's head was read.
    pub(super) arrived: Moment,
    /// The earliest moment at which the caller may have sent the request.
    pub(super) sent_from: Moment,
    /// How far the request has come.
    pub(super) progress: rc::Rc<RequestProgress>,
    /// When the request must have been answered.
    pub(super) deadline: Moment,
    /// How long the caller waits, if it states that.
    pub(super) caller_timeout: Option<time::Duration>,
    /// What another host has done for the request before it handed it over.
    pub(super) handoff: Option<HandoffProgress>,
    /// How long the request waited at this host for a slot, in milliseconds.
    pub(super) waited_ms: cell::Cell<u64>,
    /// The earliest answer expected when no server was selected.
    pub(super) earliest: cell::Cell<Option<ExpectedAnswer>>,
    /// Whether the retry budget denied a further attempt.
    pub(super) retry_denied: cell::Cell<bool>,
}

impl OpenRequest {
    /// Reads a request with its whole body.
    pub(super) async fn read<W: WireProtocol>(
        host: &EntryHost<W>,
        request: http::Request<Incoming>,
        times: RequestTimes,
        progress: rc::Rc<RequestProgress>,
    ) -> Result<Self, RequestFailure> {
        let RequestTimes { arrived, sent_from } = times;
        let routes = host.routes().ok_or(RequestFailure::UNCONFIGURED)?;
        let (head, body) = request.into_parts();
        if header_size(&head.headers) > routes.configuration().limits.header_bytes {
            return Err(RequestFailure::HEAD_TOO_LARGE);
        }
        let route = match_route(&routes, &head.headers, &head.uri);
        let route = route.ok_or(RequestFailure::NO_ROUTE)?;
        let caller = host.wire.read_caller(&head.headers);
        let customer = find_customer(&routes, &route, caller.key)?;
        let homes = allowed_regions(&route, customer.as_deref())?;
        let service = sample_service(host, &route);
        let version = routes.configuration().version;
        let limit = routes.configuration().limits.body_bytes;
        let body = body_reader::read(host, body, limit).await?;
        let deadline = arrived.plus(request_timeout(&caller, &route).as_millis() as u64);
        if host.may_stop_before(deadline) {
            return Err(RequestFailure::LEAVING);
        }
        let mut headers = connection_headers::end_to_end(&head.headers);
        let name = customer.as_ref().map(|customer| customer.name.as_str());
        host.wire.write_customer(&mut headers, name);
        Ok(Self {
            customer,
            homes,
            object: object_hash(&caller, &route),
            arrived,
            sent_from,
            progress,
            deadline,
            caller_timeout: caller.time_left,
            service,
            version,
            forward: ForwardRequest {
                id: caller.request_id.map(str::to_owned),
                method: head.method,
                uri: path_only(&head.uri),
                headers,
                body,
                is_retryable: route.kind.is_retryable(),
            },
            route,
            handoff: None,
            waited_ms: cell::Cell::default(),
            earliest: cell::Cell::default(),
            retry_denied: cell::Cell::default(),
        })
    }

    /// Restores a request that another host has read. Its route is matched again, since this host's
    /// configuration may be newer. If it is older, this host does not serve the request.
    pub(super) fn from_handoff<W: WireProtocol>(
        host: &EntryHost<W>,
        request: HandoffRequest,
        progress: rc::Rc<RequestProgress>,
    ) -> Result<Self, RequestFailure> {
        let routes = host.routes().ok_or(RequestFailure::UNCONFIGURED)?;
        let HandoffRequest { head, body } = request;
        let version = routes.configuration().version;
        // An older configuration may send it to a service that it must no longer reach.
        if version < head.version {
            return Err(RequestFailure::UNCONFIGURED);
        }
        let malformed = RequestFailure::NO_ROUTE;
        let method = head.method.parse().map_err(|_invalid| malformed)?;
        let uri: http::Uri = head.uri.parse().map_err(|_invalid| malformed)?;
        let headers = headers_from(&head.headers).ok_or(malformed)?;
        let route = match_route(&routes, &headers, &uri).ok_or(malformed)?;
        let customer = find_customer_by_name(&routes, head.customer.as_deref());
        let homes = allowed_regions(&route, customer.as_deref())?;
        let service = if route.has_service(&head.service) {
            head.service
        } else {
            sample_service(host, &route)
        };
        let now = host.now();
        let deadline = now.plus(head.time_left_ms.min(route.timeout_ms));
        if host.may_stop_before(deadline) {
            return Err(RequestFailure::LEAVING);
        }
        let caller = host.wire.read_caller(&headers);
        Ok(Self {
            customer,
            homes,
            object: object_hash(&caller, &route),
            arrived: now.before(head.age_ms),
            sent_from: now.before(head.age_ms),
            progress,
            deadline,
            caller_timeout: caller.time_left,
            service,
            version,
            forward: ForwardRequest {
                id: head.id,
                method,
                uri,
                headers,
                body,
                is_retryable: route.kind.is_retryable(),
            },
            route,
            handoff: Some(HandoffProgress {
                sends: head.sends,
                is_counted: head.is_counted,
                is_probe: head.is_probe,
            }),
            waited_ms: cell::Cell::default(),
            earliest: cell::Cell::default(),
            retry_denied: cell::Cell::default(),
        })
    }

    /// A hash that is equal for repeats of the same request, on all hosts.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let forward = &self.forward;
        let customer = self.customer.as_ref();
        let site = forward.headers.get(http::header::HOST);
        let body: Vec<&[u8]> = forward.body.parts().map(AsRef::as_ref).collect();
        let content = RequestContent {
            customer: customer.map_or("", |customer| &customer.name),
            method: forward.method.as_str(),
            site: site.map_or(&[][..], |site| site.as_bytes()),
            path: forward
                .uri
                .path_and_query()
                .map_or("", |path| path.as_str()),
            body: &body,
        };
        RequestFingerprint::of(&content)
    }
}

/// The size of the headers on the wire, in bytes.
fn header_size(headers: &http::HeaderMap) -> u64 {
    // A colon, a space and CRLF.
    const SEPARATOR_BYTES: usize = 4;
    let lines = headers.iter();
    let bytes = lines.map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    bytes.sum::<usize>() as u64
}

fn headers_from(pairs: &[(String, Vec<u8>)]) -> Option<http::HeaderMap> {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = name.parse::<http::HeaderName>().ok()?;
        let value = http::HeaderValue::from_bytes(value).ok()?;
        Some((name, value))
    });
    pairs.collect()
}

fn find_customer_by_name(routes: &RouteTable, name: Option<&str>) -> Option<rc::Rc<CustomerRule>> {
    let customer = routes.customers()?.find_by_name_hash(hash::of_name(name?));
    customer.map(rc::Rc::clone)
}

fn match_route(
    routes: &RouteTable,
    headers: &http::HeaderMap,
    uri: &http::Uri,
) -> Option<rc::Rc<RouteRule>> {
    let header = headers.get(http::header::HOST);
    let header = header.and_then(|name| name.to_str().ok()).unwrap_or("");
    // An absolute URI in the request line takes precedence over the Host header (RFC 9112,
    // section 3.2.2).
    let name = uri.host().unwrap_or(header);
    let route = routes.find_route(without_port(name), uri.path());
    route.map(rc::Rc::clone)
}

/// Finds the customer by the request's key. On a public route the key is optional, but a customer's
/// key still identifies the customer.
fn find_customer(
    routes: &RouteTable,
    route: &RouteRule,
    key: CallerKey,
) -> Result<Option<rc::Rc<CustomerRule>>, RequestFailure> {
    let Some(customers) = routes.customers() else {
        return Ok(None);
    };
    let failure = match key {
        CallerKey::Given(key) => match customers.find_by_key(key) {
            Some(customer) => return Ok(Some(rc::Rc::clone(customer))),
            None if routes.configuration().has_unread_customers => {
                RequestFailure::undecided_key(key)
            }
            None => RequestFailure::unknown_key(key),
        },
        CallerKey::Missing => RequestFailure::MISSING_KEY,
        CallerKey::Multiple => RequestFailure::MULTIPLE_KEYS,
    };
    if route.public { Ok(None) } else { Err(failure) }
}

fn allowed_regions(
    route: &RouteRule,
    customer: Option<&CustomerRule>,
) -> Result<Vec<String>, RequestFailure> {
    let others = customer.map_or(&[][..], |customer| &customer.homes);
    customer::common_homes(&route.homes, others).ok_or(RequestFailure::NO_COMMON_REGION)
}

fn sample_service<W: WireProtocol>(host: &EntryHost<W>, route: &RouteRule) -> String {
    let point = rand::Rng::random::<f64>(&mut *host.random.borrow_mut());
    route.service_at(point).unwrap_or_default().to_owned()
}

fn request_timeout(caller: &CallerHead<'_>, route: &RouteRule) -> time::Duration {
    let max_time = time::Duration::from_millis(route.timeout_ms);
    caller.time_left.map_or(max_time, |left| left.min(max_time))
}

fn object_hash(caller: &CallerHead<'_>, route: &RouteRule) -> Option<u64> {
    let key = caller.object_key.filter(|_| route.sticky)?;
    // The same key under another route is another object.
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
