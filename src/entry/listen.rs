//! The listening sockets of a host: caller requests, lookups, readiness checks, and requests of
//! other hosts including metrics.

use std::{cell, convert, net, rc, time};

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use tokio::net::TcpListener;

use super::caller_connections::{AnsweringBody, ConnectionUse, ListenerKind, OpenConnection};
use super::caller_stream::CallerStream;
use super::configuration::ServiceConfiguration;
use super::departure::CallerDeparture;
use super::host::EntryHost;
use super::peer_message::PeerFormatError;
use super::peers::ServingHost;
use super::request::RequestArrival;
use super::settings::EntrySettings;
use super::wire::{HostCall, LookupRequest, WireProtocol};
use super::{catch_up, handoff, join, peer_message, request, retention_review};
use crate::error::{self, Error};
use crate::listener;
use crate::request_boundary::{BoundaryStream, RequestBoundary};
use crate::result_code::ResultCode;
use crate::shared_stream::SharedStream;
use crate::urgency::pipeline::RequestPipeline;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// Time in which a request's head must arrive, counted from the end of the previous request.
/// Applies where no configuration sets an idle time for callers.
const DEFAULT_HEAD_TIMEOUT: time::Duration = time::Duration::from_mins(5);
/// With a configuration, the head timeout is the configured time multiplied by this. A longer time
/// may be configured while a connection is open.
const HEAD_TIMEOUT_FACTOR: u32 = 2;
/// Largest head of a request, in bytes: several times what usual configurations allow.
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// A head is read up to the configured size multiplied by this. Separators and the request line do
/// not count for that size.
const HEAD_SIZE_FACTOR: usize = 2;
/// Smallest buffer for a head, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a request: twice the HTTP library's default.
const MAX_HEADERS: usize = 200;
/// Maximum number of hosts in a lookup response, set by the platform's protocol.
const MAX_LOOKUP_HOSTS: usize = 64;
/// Time to live of a lookup response. A caller that must repeat its lookup waits for one more round
/// trip, up to a quarter of a short goal; with 2 s this affected one request in four. A longer time
/// is safe because a stopping host announces it on each connection and callers skip a host that
/// failed.
const LOOKUP_TIME_TO_LIVE: time::Duration = time::Duration::from_secs(5);

/// Time to live of a lookup response that lists hosts of another region because none of the
/// caller's region is known to be alive. Those hosts send requests to servers that do not have the
/// caller's objects cached: five seconds after a restart of all hosts, 12 % of requests were late
/// with the full time to live, and 4 % with this one and other changes to the start of a host.
const FALLBACK_TIME_TO_LIVE: time::Duration = time::Duration::from_secs(1);

/// The bound listening sockets of a host.
#[derive(Debug)]
pub struct HostListeners {
    callers: TcpListener,
    readiness: TcpListener,
    lookups: TcpListener,
    peers: TcpListener,
}

impl HostListeners {
    /// Binds all sockets.
    ///
    /// # Errors
    /// `AddressInvalid` when a socket cannot be bound.
    pub fn open(settings: &EntrySettings) -> error::Result<Self> {
        Ok(Self {
            callers: open_listener(settings.caller_address)?,
            readiness: open_listener(settings.readiness_address)?,
            lookups: open_listener(settings.lookup_address)?,
            peers: open_listener(settings.peer_address)?,
        })
    }

    /// Accepts connections on all sockets, in tasks of the current thread.
    pub fn serve<W: WireProtocol>(self, host: &rc::Rc<EntryHost<W>>) {
        let callers = (self.callers, ListenerKind::Requests);
        let readiness = (self.readiness, ListenerKind::Readiness);
        let lookups = (self.lookups, ListenerKind::Lookups);
        let peers = (self.peers, ListenerKind::Peers);
        tokio::task::spawn_local(accept(callers, rc::Rc::clone(host), serve_caller));
        tokio::task::spawn_local(accept(readiness, rc::Rc::clone(host), serve_host_call));
        tokio::task::spawn_local(accept(lookups, rc::Rc::clone(host), serve_host_call));
        tokio::task::spawn_local(accept(peers, rc::Rc::clone(host), serve_peer));
    }
}

fn open_listener(address: net::SocketAddr) -> error::Result<TcpListener> {
    let listener = listener::bind(address).map_err(|fault| {
        Error::with_code(ResultCode::AddressInvalid, format!("{address}: {fault}"))
    })?;
    Ok(TcpListener::from_std(listener)?)
}

async fn accept<W, F>(
    (listener, kind): (TcpListener, ListenerKind),
    host: rc::Rc<EntryHost<W>>,
    serve: impl Fn(rc::Rc<EntryHost<W>>, AcceptedConnection) -> F,
) where
    W: WireProtocol,
    F: Future<Output = ()> + 'static,
{
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            host.metrics.borrow_mut().callers.accepts_failed += 1;
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(place) = host.admit_connection(kind) else {
            continue;
        };
        let has_replaced = place.has_replaced();
        if stream.set_nodelay(true).is_ok() {
            let connection = AcceptedConnection { stream, place };
            tokio::task::spawn_local(serve(rc::Rc::clone(&host), connection));
        }
        if has_replaced {
            // Lets the task of the other connection close it.
            tokio::task::yield_now().await;
        }
    }
}

/// A connection that was accepted and has a place.
#[derive(Debug)]
struct AcceptedConnection {
    stream: tokio::net::TcpStream,
    place: OpenConnection,
}

fn builder(head_timeout: time::Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    builder
}

async fn serve_caller<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, accepted: AcceptedConnection) {
    let AcceptedConnection { stream, place } = accepted;
    let stream = SharedStream::from(stream);
    let departure = rc::Rc::new(CallerDeparture::default());
    let pipeline = cell::RefCell::new(RequestPipeline::default());
    let boundary = rc::Rc::new(RequestBoundary::default());
    let service = service_fn(|request: http::Request<Incoming>| {
        let sent_from = pipeline.borrow_mut().on_request(host.now());
        boundary.on_request(request.body().size_hint().exact());
        let connection = rc::Rc::clone(place.connection());
        connection.enter(ConnectionUse::Reading, host.now());
        let arrival = RequestArrival {
            sent_from,
            departure: rc::Rc::clone(&departure),
            boundary: rc::Rc::clone(&boundary),
            connection: rc::Rc::clone(&connection),
        };
        let answer = request::serve(rc::Rc::clone(&host), request, arrival);
        let (host, pipeline) = (&host, &pipeline);
        let clock = host.clock();
        async move {
            let answer = answer.await;
            pipeline.borrow_mut().on_answer(host.now());
            let time_left = answer.body().time_left();
            let until = time_left.map(|left| host.now().plus(left.as_millis() as u64));
            connection.on_answer(until);
            let answer = answer.map(|body| AnsweringBody::new(body, connection, clock));
            Ok::<_, convert::Infallible>(answer)
        }
    });
    let limits = CallerStream::new(rc::Rc::clone(&host), rc::Rc::clone(place.connection()));
    let requests = BoundaryStream::new(stream.clone(), rc::Rc::clone(&boundary), limits);
    let connection = builder(caller_idle_timeout(&host))
        .max_buf_size(max_head_bytes(&host))
        .serve_connection(TokioIo::new(requests), service);
    serve_until_left(&host, (&stream, &place), &departure, connection).await;
}

/// Serves a connection until it ends, its peer leaves or it must give up its place, which drops the
/// work on all its requests.
/// The HTTP server does not notice a departure while it has buffered a part of the next request.
async fn serve_until_left<W: WireProtocol>(
    host: &EntryHost<W>,
    (stream, place): (&SharedStream, &OpenConnection),
    departure: &CallerDeparture,
    connection: impl Future<Output = hyper::Result<()>>,
) {
    let left = async {
        stream.peer_closed().await;
        departure.on_left(host.now());
    };
    tokio::select! {
        // A departure is recorded before anything else is done for the caller.
        biased;
        () = left => {}
        () = place.closed() => {}
        // A broken connection needs no handling here; the peer sees it.
        _outcome = connection => {}
    }
}

/// The size up to which a head is read, in bytes. A larger limit may be configured while a connection
/// is open.
fn max_head_bytes<W: WireProtocol>(host: &EntryHost<W>) -> usize {
    let configured = host.routes().map_or(u64::MAX, |routes| {
        routes.configuration().limits.header_bytes
    });
    let configured = usize::try_from(configured).unwrap_or(usize::MAX);
    let doubled = configured.saturating_mul(HEAD_SIZE_FACTOR);
    doubled.clamp(MIN_HEAD_BUFFER_BYTES, MAX_HEAD_BYTES)
}

fn caller_idle_timeout<W: WireProtocol>(host: &EntryHost<W>) -> time::Duration {
    host.routes().map_or(DEFAULT_HEAD_TIMEOUT, |routes| {
        let limits = routes.configuration().limits;
        let timeout = time::Duration::from_millis(limits.idle_ms.max(limits.header_ms));
        timeout.saturating_mul(HEAD_TIMEOUT_FACTOR)
    })
}

async fn serve_small<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    accepted: AcceptedConnection,
    answer: impl Fn(&EntryHost<W>, &http::Request<Incoming>) -> http::Response<Full<Bytes>>,
) {
    let AcceptedConnection { stream, place } = accepted;
    let service = service_fn(|request: http::Request<Incoming>| {
        let answer = answer(&host, &request);
        place.connection().enter(ConnectionUse::Idle, host.now());
        async move { Ok::<_, convert::Infallible>(answer) }
    });
    let connection = builder(DEFAULT_HEAD_TIMEOUT)
        .max_buf_size(MIN_HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = place.closed() => {}
        // A broken connection needs no handling here; the caller sees it.
        _outcome = connection => {}
    }
}

async fn serve_host_call<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    accepted: AcceptedConnection,
) {
    serve_small(host, accepted, |host, request| {
        match host.wire.read_host_call(request.method(), request.uri()) {
            Some(HostCall::Readiness) if host.wants_callers() => {
                empty_response(http::StatusCode::OK)
            }
            Some(HostCall::Readiness) => empty_response(http::StatusCode::SERVICE_UNAVAILABLE),
            Some(HostCall::Lookup(request)) => lookup(host, &request),
            None => empty_response(http::StatusCode::NOT_FOUND),
        }
    })
    .await;
}

fn lookup<W: WireProtocol>(
    host: &EntryHost<W>,
    request: &LookupRequest,
) -> http::Response<Full<Bytes>> {
    let record = host.record();
    let own = host.is_ready().then(|| ServingHost {
        record: &record,
        reaches_servers: host.reaches_servers(),
    });
    let peers = host.peers.borrow();
    let live = peers.advertised_for(&request.region, own, host.now());
    let sample = sample_hosts(live.addresses, &mut host.random.borrow_mut());
    if sample.is_empty() {
        return empty_response(http::StatusCode::SERVICE_UNAVAILABLE);
    }
    let max_ttl = if live.is_remote {
        FALLBACK_TIME_TO_LIVE
    } else {
        LOOKUP_TIME_TO_LIVE
    };
    let time_to_live = max_ttl.min(host.settings().bounds.time_to_live_max);
    json_response(host.wire.lookup_body(&sample, time_to_live))
}

/// The hosts in one lookup response. If there are too many for one response, it contains a random
/// sample, so that every host of a large region gets callers.
///
/// ```
/// use ledgespool::entry::listen;
/// use rand::SeedableRng as _;
/// let mut random = rand::rngs::SmallRng::seed_from_u64(7);
/// assert!(listen::sample_hosts(Vec::new(), &mut random).is_empty());
/// ```
#[must_use]
pub fn sample_hosts(live: Vec<net::SocketAddr>, random: &mut SmallRng) -> Vec<net::SocketAddr> {
    live.into_iter().choose_multiple(random, MAX_LOOKUP_HOSTS)
}

async fn serve_peer<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, accepted: AcceptedConnection) {
    let AcceptedConnection { stream, place } = accepted;
    let stream = SharedStream::from(stream);
    let departure = rc::Rc::new(CallerDeparture::default());
    let service = service_fn(|request: http::Request<Incoming>| {
        let host = rc::Rc::clone(&host);
        let departure = rc::Rc::clone(&departure);
        async move {
            let response = if request.uri().path() == handoff::HANDOFF_PATH {
                let response = handoff::receive(&host, request, departure).await;
                response.map(Either::Right)
            } else {
                let response = serve_peer_request(&host, request).await;
                response.map(Either::Left)
            };
            Ok::<_, convert::Infallible>(response)
        }
    });
    let connection =
        builder(DEFAULT_HEAD_TIMEOUT).serve_connection(TokioIo::new(stream.clone()), service);
    serve_until_left(&host, (&stream, &place), &departure, connection).await;
}

async fn serve_peer_request<W: WireProtocol>(
    host: &EntryHost<W>,
    request: http::Request<Incoming>,
) -> http::Response<Full<Bytes>> {
    let path = request.uri().path();
    if let Some(since) = path.strip_prefix(catch_up::CHANGES_PATH) {
        return match since.parse() {
            Ok(since) => peer_response(host, encode(&host.fleet_news_since(since))),
            Err(_invalid_number) => empty_response(http::StatusCode::BAD_REQUEST),
        };
    }
    if let Some(since) = path.strip_prefix(retention_review::FOLLOWED_CHANGES_PATH) {
        return match since.parse() {
            Ok(since) => peer_response(host, encode(&host.followed_changes_since(since))),
            Err(_invalid_number) => empty_response(http::StatusCode::BAD_REQUEST),
        };
    }
    match path {
        join::JOIN_PATH => match join::answer(host, request.into_body()).await {
            Some(written) => peer_response(host, written),
            None => empty_response(http::StatusCode::SERVICE_UNAVAILABLE),
        },
        catch_up::SUSPECTS_PATH => {
            peer_response(host, encode(&host.quarantine.records(host.now())))
        }
        catch_up::SNAPSHOT_PATH => peer_response(host, host.encoded_snapshot()),
        catch_up::CONFIGURATION_PATH => match host.routes() {
            Some(routes) => peer_response(host, routes.encoded()),
            None => peer_response(host, encode(&None::<ServiceConfiguration>)),
        },
        "/metrics" => http::Response::new(Full::new(Bytes::from(host.metrics_page()))),
        _ => empty_response(http::StatusCode::NOT_FOUND),
    }
}

fn encode(message: &impl serde::Serialize) -> Result<Bytes, PeerFormatError> {
    peer_message::to_bytes(message).map(Bytes::from)
}

fn peer_response<W: WireProtocol>(
    host: &EntryHost<W>,
    written: Result<Bytes, PeerFormatError>,
) -> http::Response<Full<Bytes>> {
    match written {
        Ok(bytes) => {
            host.metrics.borrow_mut().peer_bytes_sent += bytes.len() as u64;
            http::Response::new(Full::new(bytes))
        }
        Err(fault) => {
            host.log_malformed_message("self", &fault);
            empty_response(http::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: http::StatusCode) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn json_response(body: Bytes) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::new(body));
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}
