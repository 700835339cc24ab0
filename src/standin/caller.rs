//! A reference caller that follows the documentation: it looks up hosts, caches the answer for its
//! time to live, sends requests, and verifies that each answer is its own and whole.

use std::{collections, net, time};

use super::backend;
use crate::client_sender::ClientSender;
use crate::http_client::{self, SmallAnswer};
use crate::lookup::LookupAnswer;
use crate::request_body::RequestBody;
use crate::result_code::{RequestOutcome, ResultCode};

const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time after the deadline at which a caller gives up on an entry host.
const DEADLINE_GRACE: time::Duration = time::Duration::from_millis(500);
const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A request to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The service.
    pub service: String,
    /// The class.
    pub class: String,
    /// Unique request id.
    pub id: String,
    /// Time until the deadline.
    pub deadline: time::Duration,
    /// How long the stand-in server works on it, in milliseconds.
    pub work_ms: u64,
    /// Size of the answer, in bytes.
    pub answer_bytes: usize,
    /// The claim key, for a request that must not be run twice.
    pub claim_key: Option<String>,
    /// The caller's address as a trusted forwarder states it.
    pub from: Option<net::IpAddr>,
    /// Additional query parameters, such as `&pace_ms=20`.
    pub extra_query: String,
}

/// The result of a request, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResult {
    /// The outcome that the entry host reported; `None` if it sent no usable answer.
    pub outcome: Option<RequestOutcome>,
    /// The result code, if the answer has one.
    pub code: Option<ResultCode>,
    /// The HTTP status, if there was an answer.
    pub status: Option<u16>,
    /// Whether the answer belongs to this request and is complete.
    pub whole: bool,
    /// Time to wait before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Time from sending to the last byte.
    pub latency: time::Duration,
    /// Whether the host requests a new look-up.
    pub look_up_again: bool,
    /// The hall that answered.
    pub hall: Option<String>,
}

/// A caller with its cached look-ups and idle connections.
#[derive(Debug, Default)]
pub struct CallerClient {
    entries: Vec<net::SocketAddr>,
    lookups: collections::HashMap<(String, Option<net::IpAddr>), CachedLookup>,
    idle: collections::HashMap<net::SocketAddr, Vec<ClientSender>>,
    next_entry: usize,
}

#[derive(Debug, Clone)]
struct CachedLookup {
    answer: LookupAnswer,
    expires_at: time::Instant,
}

impl CallerClient {
    /// Creates a caller that sends its look-ups to these entry hosts.
    #[must_use]
    pub fn with_entries(entries: Vec<net::SocketAddr>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }

    /// Returns the entry hosts to use, from the cache until the answer expires.
    pub async fn look_up(
        &mut self,
        service: &str,
        from: Option<net::IpAddr>,
    ) -> Option<LookupAnswer> {
        let key = (service.to_owned(), from);
        if let Some(cached) = self.lookups.get(&key)
            && time::Instant::now() < cached.expires_at
        {
            return Some(cached.answer.clone());
        }
        for _ in 0..self.entries.len() {
            self.next_entry += 1;
            let entry = *self.entries.get(self.next_entry % self.entries.len())?;
            if let Some(answer) = look_up_at(entry, service, from).await {
                let expires_at = time::Instant::now() + time::Duration::from_millis(answer.ttl_ms);
                self.lookups.insert(
                    key,
                    CachedLookup {
                        answer: answer.clone(),
                        expires_at,
                    },
                );
                return Some(answer);
            }
        }
        None
    }

    /// Clears the cached look-ups, as after a host's request for a new look-up.
    pub fn clear_lookups(&mut self) {
        self.lookups.clear();
    }

    /// Looks up the service and sends to the first host of the answer.
    pub async fn send(&mut self, request: &CallerRequest) -> CallerResult {
        let began = time::Instant::now();
        let Some(answer) = self.look_up(&request.service, request.from).await else {
            return no_answer(began);
        };
        let Some(host) = answer.hosts.first() else {
            return no_answer(began);
        };
        let result = self.send_to(host.address, request).await;
        if result.look_up_again || result.outcome.is_none() {
            self.clear_lookups();
        }
        result
    }

    /// Sends to the given host.
    pub async fn send_to(
        &mut self,
        host: net::SocketAddr,
        request: &CallerRequest,
    ) -> CallerResult {
        let began = time::Instant::now();
        let idle = self.idle.entry(host).or_default();
        let mut sender = None;
        while let Some(candidate) = idle.pop() {
            if candidate.is_ready() {
                sender = Some(candidate);
                break;
            }
        }
        let result = exchange(host, request, sender).await;
        let Some((answer, sender)) = result else {
            return no_answer(began);
        };
        let idle = self.idle.entry(host).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
        read_result(request, &answer, began)
    }
}

fn no_answer(began: time::Instant) -> CallerResult {
    CallerResult {
        outcome: None,
        code: None,
        status: None,
        whole: false,
        retry_after_ms: None,
        latency: began.elapsed(),
        look_up_again: false,
        hall: None,
    }
}

/// Looks up a service at one entry host.
pub async fn look_up_at(
    entry: net::SocketAddr,
    service: &str,
    from: Option<net::IpAddr>,
) -> Option<LookupAnswer> {
    let uri = format!("/lookup?service={service}");
    let mut builder = http::Request::get(uri).header(http::header::HOST, "entry");
    if let Some(from) = from {
        builder = builder.header("x-ledgespool-caller", from.to_string());
    }
    let request = builder.body(RequestBody::default()).ok()?;
    let answer = http_client::exchange(entry, request, LOOKUP_TIMEOUT, 1 << 16)
        .await
        .ok()?;
    (answer.status == http::StatusCode::OK)
        .then(|| serde_json::from_slice(&answer.body).ok())
        .flatten()
}

async fn exchange(
    host: net::SocketAddr,
    request: &CallerRequest,
    sender: Option<ClientSender>,
) -> Option<(SmallAnswer, ClientSender)> {
    let limit = request.deadline + DEADLINE_GRACE;
    let mut sender = match sender {
        Some(sender) => sender,
        None => http_client::connect(host, LOOKUP_TIMEOUT).await.ok()?,
    };
    let outgoing = http_request(request)?;
    let answer = http_client::read_answer(&mut sender, outgoing, MAX_ANSWER_BYTES);
    let answer = tokio::time::timeout(limit.max(time::Duration::from_mins(1)), answer)
        .await
        .ok()?
        .ok()?;
    Some((answer, sender))
}

fn http_request(request: &CallerRequest) -> Option<http::Request<RequestBody>> {
    let uri = format!(
        "/call/{}/work?ms={}&bytes={}{}",
        request.service, request.work_ms, request.answer_bytes, request.extra_query
    );
    let method = if request.claim_key.is_some() {
        http::Method::POST
    } else {
        http::Method::GET
    };
    let mut builder = http::Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::HOST, "entry")
        .header("x-ledgespool-class", &request.class)
        .header("x-ledgespool-request-id", &request.id)
        .header(
            "x-ledgespool-deadline-ms",
            request.deadline.as_millis().to_string(),
        );
    if let Some(key) = &request.claim_key {
        builder = builder.header("x-ledgespool-claim-key", key);
    }
    if let Some(from) = request.from {
        builder = builder.header("x-ledgespool-caller", from.to_string());
    }
    builder.body(RequestBody::default()).ok()
}

fn read_result(
    request: &CallerRequest,
    answer: &SmallAnswer,
    began: time::Instant,
) -> CallerResult {
    let text = |name: &str| {
        answer
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let code =
        text("x-ledgespool-code").and_then(|code| code.trim_start_matches("LS").parse().ok());
    let code = code.and_then(ResultCode::from_number);
    let own = text("x-ledgespool-request-id") == Some(request.id.as_str());
    let expected = backend::answer_bytes(&request.id, request.answer_bytes);
    CallerResult {
        outcome: code.and_then(ResultCode::outcome),
        code,
        status: Some(answer.status.as_u16()),
        whole: own && code == Some(ResultCode::Answered) && answer.body == expected,
        retry_after_ms: text("x-ledgespool-retry-after-ms").and_then(|millis| millis.parse().ok()),
        latency: began.elapsed(),
        look_up_again: text("x-ledgespool-lookup") == Some("again"),
        hall: text("x-ledgespool-hall").map(str::to_owned),
    }
}
