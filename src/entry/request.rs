//! One caller's request from its head to its answer.

use std::{rc, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde_json::json;
use xxhash_rust::xxh3;

use super::answer::{AnswerBody, StreamEnd};
use super::choice::{self, ChoiceQuery, NoServer, ServerChoice};
use super::configuration::{RequestKind, RouteRule};
use super::decision_log::LineWeight;
use super::exchange::{self, ForwardRequest, OfferEnd, ServerAnswer};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::metrics_page::RequestEnd;
use super::pool::ServerSender;
use super::route_times::AnswerSample;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// A caller must send its body within this time, whatever its deadline.
const BODY_LIMIT: time::Duration = time::Duration::from_secs(10);
/// A host without a configuration asks callers to come back after this time: about what it takes
/// to read one from the store or another host.
const NO_CONFIGURATION_MS: u64 = 300;
/// A caller that a stopping host turns away finds another at once.
const LEAVING_COME_BACK_MS: u64 = 10;
/// A request that was not sent for want of a connection may be offered to this many servers.
const MAX_OFFERS: u32 = 4;
/// With less time left than this a request is not offered: no answer would come back in time.
const LEAST_TIME: time::Duration = time::Duration::from_millis(20);

/// A response to a caller.
pub type CallerResponse<W> = http::Response<AnswerBody<StreamedAnswer<W>>>;

/// A request on its way.
#[derive(Debug)]
struct OpenRequest {
    forward: ForwardRequest,
    route: rc::Rc<RouteRule>,
    service: String,
    object: Option<u64>,
    arrived: Moment,
    deadline: Moment,
    time_told: Option<time::Duration>,
}

/// Counts a request for as long as it is held, and tells when its caller leaves first.
#[derive(Debug)]
struct RequestGuard<W: WireProtocol> {
    host: rc::Rc<EntryHost<W>>,
    ended: bool,
    id: String,
}

impl<W: WireProtocol> Drop for RequestGuard<W> {
    fn drop(&mut self) {
        self.host.on_request_end();
        if !self.ended {
            let fields = json!({ "id": self.id });
            self.host
                .log
                .write(EventCode::CallerLeft, LineWeight::Ordinary, fields);
        }
    }
}

/// Why a request ends without a server's answer.
#[derive(Debug, Clone, Copy)]
struct RequestFailure {
    status: http::StatusCode,
    end: RequestEnd,
    come_back_ms: Option<u64>,
    reason: &'static str,
}

impl RequestFailure {
    const fn refused(end: RequestEnd, come_back_ms: u64, reason: &'static str) -> Self {
        Self {
            status: http::StatusCode::SERVICE_UNAVAILABLE,
            end,
            come_back_ms: Some(come_back_ms),
            reason,
        }
    }

    const fn with_status(status: http::StatusCode, end: RequestEnd, reason: &'static str) -> Self {
        Self {
            status,
            end,
            come_back_ms: None,
            reason,
        }
    }
}

/// Serves one request.
pub async fn serve<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    request: http::Request<Incoming>,
) -> CallerResponse<W> {
    host.on_request_begin();
    let id = host.wire.read_caller(request.headers()).request_id;
    let mut guard = RequestGuard {
        id: id.unwrap_or_default().to_owned(),
        host: rc::Rc::clone(&host),
        ended: false,
    };
    let arrived = host.now();
    let response = match read(&host, request, arrived).await {
        Ok(open) => match run(&host, &open).await {
            Ok((server, answer)) => pass_on(&host, &open, &server, *answer),
            Err(failure) => fail(&host, &guard.id, &open.route.name, arrived, failure),
        },
        Err(failure) => fail(&host, &guard.id, "", arrived, failure),
    };
    guard.ended = true;
    response
}

async fn read<W: WireProtocol>(
    host: &EntryHost<W>,
    request: http::Request<Incoming>,
    arrived: Moment,
) -> Result<OpenRequest, RequestFailure> {
    let Some(routes) = host.routes() else {
        return Err(RequestFailure::refused(
            RequestEnd::RefusedUnconfigured,
            NO_CONFIGURATION_MS,
            "no configuration yet",
        ));
    };
    let (head, body) = request.into_parts();
    let name = head.headers.get(http::header::HOST);
    let name = name.and_then(|name| name.to_str().ok()).unwrap_or("");
    let name = head.uri.host().unwrap_or(name);
    let route = routes.route_of(without_port(name), head.uri.path());
    let Some(route) = route.map(rc::Rc::clone) else {
        return Err(RequestFailure::with_status(
            http::StatusCode::NOT_FOUND,
            RequestEnd::Rejected,
            "no route",
        ));
    };
    let point = rand::Rng::random::<f64>(&mut *host.random.borrow_mut());
    let service = route.service_at(point).unwrap_or_default().to_owned();
    let limit = routes.configuration().limits.body_bytes;
    let body = read_body(body, usize::try_from(limit).unwrap_or(usize::MAX)).await?;
    let caller = host.wire.read_caller(&head.headers);
    let longest = time::Duration::from_millis(route.timeout_ms);
    let time_left = caller.time_left.map_or(longest, |left| left.min(longest));
    let object = caller
        .object_key
        .filter(|_| route.sticky)
        .map(|key| xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(route.prefix.as_bytes())));
    let deadline = arrived.plus(time_left.as_millis() as u64);
    if host.ends_before(deadline) {
        return Err(RequestFailure::refused(
            RequestEnd::RefusedLeaving,
            LEAVING_COME_BACK_MS,
            "this host stops before the request's time is over",
        ));
    }
    Ok(OpenRequest {
        object,
        arrived,
        deadline,
        time_told: caller.time_left,
        service,
        forward: ForwardRequest {
            id: caller.request_id.map(str::to_owned),
            method: head.method,
            uri: path_only(&head.uri),
            headers: end_to_end(&head.headers),
            body,
            may_repeat: route.kind.may_repeat(),
        },
        route,
    })
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
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(RequestFailure::with_status(
            http::StatusCode::PAYLOAD_TOO_LARGE,
            RequestEnd::Rejected,
            "the body is too large",
        )),
        Ok(Err(_)) => Err(RequestFailure::with_status(
            http::StatusCode::BAD_REQUEST,
            RequestEnd::Rejected,
            "the body broke off",
        )),
        Err(_elapsed) => Err(RequestFailure::with_status(
            http::StatusCode::REQUEST_TIMEOUT,
            RequestEnd::Rejected,
            "the body did not arrive in time",
        )),
    }
}

/// Headers of one connection only (RFC 9110, section 7.6.1) stay behind.
fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    const ONE_CONNECTION: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = headers.clone();
    for name in ONE_CONNECTION {
        kept.remove(name);
    }
    for name in named {
        kept.remove(name);
    }
    kept
}

/// Offers the request until a server answers or nothing more may be tried.
async fn run<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
) -> Result<(rc::Rc<FleetServer>, Box<ServerAnswer>), RequestFailure> {
    let mut tried = Vec::new();
    let mut sent = 0_u32;
    let mut last = None;
    for _ in 0..MAX_OFFERS {
        let left = open.deadline.since(host.now());
        let left = time::Duration::from_millis(left);
        if left < LEAST_TIME {
            break;
        }
        let server = match choose(host, open, &tried) {
            Ok(server) => server,
            Err(failure) => return Err(last.unwrap_or(failure)),
        };
        if sent > 0 && !host.try_repeat(&open.service) {
            break;
        }
        if sent == 0 {
            host.on_first_offer(&open.service);
        }
        tried.push(server.id.clone());
        let known_object = open
            .object
            .is_none_or(|object| server.remember_object(object));
        let began = host.now();
        let offered = exchange::offer(host, &server, &open.forward, left);
        let Ok(end) = tokio::time::timeout(left, offered).await else {
            note_offer(host, open, &server, "timed out");
            let usual = host.usual_ms(&open.route.name, open.route.goal_ms);
            server.on_pace(host.now().since(began) as f64 / usual);
            note_failure(host, &server);
            return Err(RequestFailure::with_status(
                http::StatusCode::GATEWAY_TIMEOUT,
                RequestEnd::TimedOut,
                "no answer in time",
            ));
        };
        match end {
            OfferEnd::Answered(answer) => {
                let sample = AnswerSample {
                    route: &open.route.name,
                    millis: host.now().since(began),
                    known_object,
                };
                host.on_answer_time(&server, &sample);
                return Ok((server, answer));
            }
            OfferEnd::NotSent => {
                note_offer(host, open, &server, "not reached");
                if server.on_unreachable(host.now()) {
                    host.note(EventCode::ServerEjected, json!({ "server": server.id }));
                }
                continue;
            }
            OfferEnd::NotRun { status } => {
                host.metrics.borrow_mut().shed += 1;
                note_offer(host, open, &server, status.as_str());
                last = Some(refused_by_server(host, open));
            }
            OfferEnd::OtherServer => {
                note_offer(host, open, &server, "another server has the address");
                server.on_displaced();
                last = Some(refused_by_server(host, open));
            }
            OfferEnd::Lost { reason } => {
                note_offer(host, open, &server, reason);
                note_failure(host, &server);
                let failure = RequestFailure::with_status(
                    http::StatusCode::BAD_GATEWAY,
                    RequestEnd::Lost,
                    reason,
                );
                if !open.forward.may_repeat {
                    return Err(failure);
                }
                last = Some(failure);
            }
        }
        sent += 1;
        if sent >= open.route.attempts.max(1) {
            break;
        }
    }
    Err(last.unwrap_or_else(|| refused_by_server(host, open)))
}

fn refused_by_server<W: WireProtocol>(host: &EntryHost<W>, open: &OpenRequest) -> RequestFailure {
    let usual = host.usual_ms(&open.route.name, open.route.goal_ms);
    RequestFailure::refused(
        RequestEnd::RefusedFull,
        usual as u64,
        "no server that was asked ran it",
    )
}

fn choose<W: WireProtocol>(
    host: &EntryHost<W>,
    open: &OpenRequest,
    tried: &[String],
) -> Result<rc::Rc<FleetServer>, RequestFailure> {
    let now = host.now();
    let settings = host.settings();
    let fleet = host.fleet.borrow();
    let evacuated = host.evacuated_halls();
    let routes = host.routes();
    let rule = routes
        .as_ref()
        .and_then(|routes| routes.service(&open.service));
    let goal_left = open.route.goal_ms.saturating_sub(now.since(open.arrived));
    let query = ChoiceQuery {
        servers: fleet.of_service(&open.service),
        object: open.object,
        region: &settings.region,
        homes: &open.route.homes,
        evacuated: &evacuated,
        tried,
        near: open.route.kind == RequestKind::Download,
        usual_ms: host.usual_ms(&open.route.name, open.route.goal_ms),
        first_ms: host.first_ms(&open.route.name, open.route.goal_ms),
        patience_ms: goal_left as f64,
        cold_share: host.cold_share(rule.map_or(0.0, |rule| rule.cold_per_s)),
        now,
    };
    let choice = choice::choose(&query, &mut host.random.borrow_mut());
    match choice {
        ServerChoice::Offer(server) => {
            if server.is_cold(now) {
                server.on_cold_send(now);
            }
            Ok(server)
        }
        ServerChoice::Refuse {
            reason: NoServer::AllFull,
            come_back_ms,
        } => Err(RequestFailure::refused(
            RequestEnd::RefusedFull,
            come_back_ms,
            "every server would answer too late",
        )),
        ServerChoice::Refuse {
            reason: NoServer::NoneFit,
            come_back_ms,
        } => Err(RequestFailure::refused(
            RequestEnd::RefusedNoServer,
            come_back_ms,
            "no server may serve it now",
        )),
    }
}

fn note_failure<W: WireProtocol>(host: &EntryHost<W>, server: &FleetServer) {
    if server.on_failure(host.now()) {
        host.note(EventCode::ServerEjected, json!({ "server": server.id }));
    }
}

fn note_offer<W: WireProtocol>(
    host: &EntryHost<W>,
    open: &OpenRequest,
    server: &FleetServer,
    result: &str,
) {
    let fields = json!({
        "id": open.forward.id,
        "route": open.route.name,
        "server": server.id,
        "hall": server.hall,
        "result": result,
        "after_ms": host.now().since(open.arrived),
        "version": host.configuration_version(),
        "fleet_revision": host.fleet.borrow().revision(),
        "expected_load": server.expected_load(host.now()),
    });
    host.note(EventCode::OfferFailed, fields);
}

fn fail<W: WireProtocol>(
    host: &EntryHost<W>,
    id: &str,
    route: &str,
    arrived: Moment,
    failure: RequestFailure,
) -> CallerResponse<W> {
    let millis = host.now().since(arrived);
    host.metrics
        .borrow_mut()
        .on_request(route, failure.end, millis);
    let fields = json!({
        "id": id,
        "route": route,
        "end": failure.end.as_str(),
        "status": failure.status.as_u16(),
        "reason": failure.reason,
        "come_back_ms": failure.come_back_ms,
        "after_ms": millis,
        "version": host.configuration_version(),
        "fleet_revision": host.fleet.borrow().revision(),
    });
    host.note(EventCode::RequestFailed, fields);
    let mut response = http::Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = failure.status;
    if let Some(come_back_ms) = failure.come_back_ms {
        let after = time::Duration::from_millis(come_back_ms);
        host.wire.write_come_back(response.headers_mut(), after);
    }
    close_if_leaving(host, response.headers_mut());
    response
}

fn close_if_leaving<W: WireProtocol>(host: &EntryHost<W>, headers: &mut http::HeaderMap) {
    if host.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        headers.insert(http::header::CONNECTION, close);
    }
}

/// What is due when a streamed answer ends.
#[derive(Debug)]
pub struct StreamedAnswer<W: WireProtocol> {
    host: rc::Rc<EntryHost<W>>,
    server: rc::Rc<FleetServer>,
    head: http::response::Parts,
    sender: ServerSender,
    slot: exchange::HeldSlot,
}

impl<W: WireProtocol> Unpin for StreamedAnswer<W> {}

impl<W: WireProtocol> StreamEnd for StreamedAnswer<W> {
    fn on_end(self, whole: bool) {
        drop(self.slot);
        if whole {
            exchange::keep(&self.host, &self.server, self.sender, &self.head);
        } else {
            note_failure(&self.host, &self.server);
        }
    }
}

fn pass_on<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
    server: &rc::Rc<FleetServer>,
    answer: ServerAnswer,
) -> CallerResponse<W> {
    let millis = host.now().since(open.arrived);
    host.metrics
        .borrow_mut()
        .on_request(&open.route.name, RequestEnd::Answered, millis);
    let fields = json!({
        "id": open.forward.id,
        "route": open.route.name,
        "server": server.id,
        "hall": server.hall,
        "status": answer.head.status.as_u16(),
        "after_ms": millis,
        "time_left_ms": open.time_told.map(|left| left.as_millis() as u64),
    });
    host.log
        .write(EventCode::RequestAnswered, LineWeight::Ordinary, fields);
    let headers = end_to_end(&answer.head.headers);
    let status = answer.head.status;
    let body = match answer.rest {
        None => AnswerBody::whole(answer.first),
        Some((rest, sender)) => AnswerBody::Streamed {
            first: Some(answer.first),
            rest,
            end: Some(StreamedAnswer {
                host: rc::Rc::clone(host),
                server: rc::Rc::clone(server),
                head: answer.head,
                sender,
                slot: exchange::HeldSlot::at(server),
            }),
        },
    };
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    close_if_leaving(host, response.headers_mut());
    response
}
