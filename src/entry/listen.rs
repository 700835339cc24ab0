//! The listening sockets of a host: callers, look-ups, readiness, other hosts and metrics.

use std::{convert, net, rc, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use tokio::net::TcpListener;

use super::configuration::ServiceConfiguration;
use super::host::EntryHost;
use super::peer_message::PeerFormatError;
use super::settings::EntrySettings;
use super::wire::{HostCall, LookupQuestion, WireProtocol};
use super::{catch_up, join, peer_message, request};
use crate::error::{self, Error};
use crate::listener;
use crate::result_code::ResultCode;

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// A head must arrive within this time, counted from the end of the last request, where no
/// configuration says how long callers may rest.
const HEAD_LIMIT: time::Duration = time::Duration::from_mins(5);
/// The same as a multiple of the configured rest: a longer one may come into force while a
/// connection stands.
const REST_FACTOR: u32 = 2;
/// The largest head of a request, in bytes: several times what usual configurations allow.
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Headers of a request, at most: twice what the HTTP library allows unasked.
const MAX_HEADERS: usize = 200;
/// Hosts that one look-up names at most (the wire's own limit).
const MAX_NAMED: usize = 64;
/// How long a look-up's answer holds. A caller that must look up again waits two more ways, which
/// was up to a quarter of a short goal and fell on one request in four with 2 s; a host that stops
/// says so on each connection, and callers pass over one that failed them.
const TIME_TO_LIVE: time::Duration = time::Duration::from_secs(5);

/// How long an answer holds that names hosts of another region, until some of the caller's own are known
/// to live. Their hosts send the caller's objects to servers that don't know them: five seconds after the
/// return of all hosts 12 requests in 100 were late with the whole time, and 4 with this (a play each, with other changes of the start between them).
const STOPGAP_TIME_TO_LIVE: time::Duration = time::Duration::from_secs(1);

/// The open sockets of a host.
#[derive(Debug)]
pub struct HostListeners {
    callers: TcpListener,
    readiness: TcpListener,
    lookups: TcpListener,
    peers: TcpListener,
}

impl HostListeners {
    /// Opens all sockets.
    ///
    /// # Errors
    /// `AddressInvalid` when one cannot be bound.
    pub fn open(settings: &EntrySettings) -> error::Result<Self> {
        Ok(Self {
            callers: open_listener(settings.caller_address)?,
            readiness: open_listener(settings.readiness_address)?,
            lookups: open_listener(settings.lookup_address)?,
            peers: open_listener(settings.peer_address)?,
        })
    }

    /// Serves on all sockets, in tasks of the current thread.
    pub fn serve<W: WireProtocol>(self, host: &rc::Rc<EntryHost<W>>) {
        tokio::task::spawn_local(accept(self.callers, rc::Rc::clone(host), serve_caller));
        tokio::task::spawn_local(accept(self.readiness, rc::Rc::clone(host), serve_host_call));
        tokio::task::spawn_local(accept(self.lookups, rc::Rc::clone(host), serve_host_call));
        tokio::task::spawn_local(accept(self.peers, rc::Rc::clone(host), serve_peer));
    }
}

fn open_listener(address: net::SocketAddr) -> error::Result<TcpListener> {
    let listener = listener::bind(address).map_err(|fault| {
        Error::with_code(ResultCode::AddressInvalid, format!("{address}: {fault}"))
    })?;
    Ok(TcpListener::from_std(listener)?)
}

async fn accept<W, F>(
    listener: TcpListener,
    host: rc::Rc<EntryHost<W>>,
    serve: impl Fn(rc::Rc<EntryHost<W>>, tokio::net::TcpStream) -> F,
) where
    W: WireProtocol,
    F: Future<Output = ()> + 'static,
{
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_ok() {
            tokio::task::spawn_local(serve(rc::Rc::clone(&host), stream));
        }
    }
}

fn builder(head_limit: time::Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(head_limit)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    builder
}

async fn serve_caller<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, stream: tokio::net::TcpStream) {
    let service = service_fn(|request: http::Request<Incoming>| {
        let answer = request::serve(rc::Rc::clone(&host), request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    // A broken connection concerns its caller alone, who sees it.
    let _outcome = builder(caller_head_limit(&host))
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn caller_head_limit<W: WireProtocol>(host: &EntryHost<W>) -> time::Duration {
    host.routes().map_or(HEAD_LIMIT, |routes| {
        let limits = routes.configuration().limits;
        let rest = time::Duration::from_millis(limits.idle_ms.max(limits.header_ms));
        rest.saturating_mul(REST_FACTOR)
    })
}

async fn serve_small<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    stream: tokio::net::TcpStream,
    answer: impl Fn(&EntryHost<W>, &http::Request<Incoming>) -> http::Response<Full<Bytes>>,
) {
    let service = service_fn(|request: http::Request<Incoming>| {
        let answer = answer(&host, &request);
        async move { Ok::<_, convert::Infallible>(answer) }
    });
    // A broken connection concerns its caller alone, who sees it.
    let _outcome = builder(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn serve_host_call<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    stream: tokio::net::TcpStream,
) {
    serve_small(host, stream, |host, request| {
        match host.wire.read_host_call(request.method(), request.uri()) {
            Some(HostCall::Readiness) if host.is_ready() => plain(http::StatusCode::OK),
            Some(HostCall::Readiness) => plain(http::StatusCode::SERVICE_UNAVAILABLE),
            Some(HostCall::Lookup(question)) => lookup(host, &question),
            None => plain(http::StatusCode::NOT_FOUND),
        }
    })
    .await;
}

fn lookup<W: WireProtocol>(
    host: &EntryHost<W>,
    question: &LookupQuestion,
) -> http::Response<Full<Bytes>> {
    let own = host.record();
    let own = host.is_ready().then_some(&own);
    let peers = host.peers.borrow();
    let live = peers.named_for(&question.region, own, host.now());
    let named = named_part(live.addresses, &mut host.random.borrow_mut());
    if named.is_empty() {
        return plain(http::StatusCode::SERVICE_UNAVAILABLE);
    }
    let wanted = if live.is_elsewhere {
        STOPGAP_TIME_TO_LIVE
    } else {
        TIME_TO_LIVE
    };
    let time_to_live = wanted.min(host.settings().bounds.time_to_live_max);
    json_response(host.wire.lookup_body(&named, time_to_live))
}

/// The hosts that one look-up names: another part each time where they are too many, so that all
/// hosts of a large region get callers.
///
/// ```
/// use ledgespool::entry::listen;
/// use rand::SeedableRng as _;
/// let mut random = rand::rngs::SmallRng::seed_from_u64(7);
/// assert!(listen::named_part(Vec::new(), &mut random).is_empty());
/// ```
#[must_use]
pub fn named_part(live: Vec<net::SocketAddr>, random: &mut SmallRng) -> Vec<net::SocketAddr> {
    live.into_iter().choose_multiple(random, MAX_NAMED)
}

async fn serve_peer<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, stream: tokio::net::TcpStream) {
    let service = service_fn(|request: http::Request<Incoming>| {
        let host = rc::Rc::clone(&host);
        async move { Ok::<_, convert::Infallible>(answer_peer(&host, request).await) }
    });
    // A broken connection concerns its peer alone, who sees it.
    let _outcome = builder(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer_peer<W: WireProtocol>(
    host: &EntryHost<W>,
    request: http::Request<Incoming>,
) -> http::Response<Full<Bytes>> {
    let path = request.uri().path();
    if let Some(since) = path.strip_prefix(catch_up::CHANGES_PATH) {
        return match since.parse() {
            Ok(since) => peer_response(host, write(&host.fleet_news_since(since))),
            Err(_not_a_number) => plain(http::StatusCode::BAD_REQUEST),
        };
    }
    match path {
        join::JOIN_PATH => match join::answer(host, request.into_body()).await {
            Some(written) => peer_response(host, written),
            None => plain(http::StatusCode::SERVICE_UNAVAILABLE),
        },
        catch_up::SUSPECTS_PATH => peer_response(host, write(&host.quarantine.records(host.now()))),
        catch_up::SNAPSHOT_PATH => peer_response(host, host.encoded_snapshot()),
        catch_up::CONFIGURATION_PATH => match host.routes() {
            Some(routes) => peer_response(host, routes.written()),
            None => peer_response(host, write(&None::<ServiceConfiguration>)),
        },
        "/metrics" => http::Response::new(Full::new(Bytes::from(host.metrics_page()))),
        _ => plain(http::StatusCode::NOT_FOUND),
    }
}

fn write(message: &impl serde::Serialize) -> Result<Bytes, PeerFormatError> {
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
            host.note_malformed("self", &fault);
            plain(http::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn plain(status: http::StatusCode) -> http::Response<Full<Bytes>> {
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
