//! A caller as the documentation tells callers to be: it looks up, keeps the answer for its time
//! to live, sends, and checks that it got its own whole answer.

use std::{collections, net, time};

use bytes::Bytes;
use http_body_util::Full;

use super::backend;
use crate::http_client::{self, ClientSender, SmallAnswer};
use crate::lookup::LookupAnswer;
use crate::result_code::{RequestOutcome, ResultCode};

const LOOKUP_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Time past the deadline after which a caller gives up on an entry host.
const PATIENCE: time::Duration = time::Duration::from_millis(500);
const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_IDLE: usize = 64;

/// A request to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The service.
    pub service: String,
    /// The class.
    pub class: String,
    /// Unique id.
    pub id: String,
    /// Time until the deadline.
    pub deadline: time::Duration,
    /// How long the stand-in server works on it, in milliseconds.
    pub work_ms: u64,
    /// Bytes of its answer.
    pub answer_bytes: usize,
    /// The claim key of one that may not be repeated.
    pub claim_key: Option<String>,
    /// The address that a trusted forwarder names.
    pub from: Option<net::IpAddr>,
    /// More of the query, such as `&pace_ms=20`.
    pub extra_query: String,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResult {
    /// What the entry host proved; `None` when the caller heard nothing usable from it.
    pub outcome: Option<RequestOutcome>,
    /// The numbered code, if one came.
    pub code: Option<ResultCode>,
    /// The HTTP status, if one came.
    pub status: Option<u16>,
    /// Whether the answer is the caller's own and whole.
    pub whole: bool,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// From sending to the last byte.
    pub latency: time::Duration,
    /// Whether the host asks for a new look-up.
    pub look_up_again: bool,
    /// The hall that answered.
    pub hall: Option<String>,
}

/// A caller with its kept look-ups and connections.
#[derive(Debug, Default)]
pub struct CallerClient {
    entries: Vec<net::SocketAddr>,
    lookups: collections::HashMap<(String, Option<net::IpAddr>), KeptLookup>,
    idle: collections::HashMap<net::SocketAddr, Vec<ClientSender>>,
    turn: usize,
}

#[derive(Debug, Clone)]
struct KeptLookup {
    answer: LookupAnswer,
    until: time::Instant,
}

impl CallerClient {
    /// A caller that knows these entry hosts to ask first.
    #[must_use]
    pub fn with_entries(entries: Vec<net::SocketAddr>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }

    /// The entry hosts to use, from memory while the answer may be kept.
    pub async fn look_up(
        &mut self,
        service: &str,
        from: Option<net::IpAddr>,
    ) -> Option<LookupAnswer> {
        let key = (service.to_owned(), from);
        if let Some(kept) = self.lookups.get(&key)
            && time::Instant::now() < kept.until
        {
            return Some(kept.answer.clone());
        }
        for _ in 0..self.entries.len() {
            self.turn += 1;
            let entry = *self.entries.get(self.turn % self.entries.len())?;
            if let Some(answer) = ask(entry, service, from).await {
                let until = time::Instant::now() + time::Duration::from_millis(answer.ttl_ms);
                self.lookups.insert(
                    key,
                    KeptLookup {
                        answer: answer.clone(),
                        until,
                    },
                );
                return Some(answer);
            }
        }
        None
    }

    /// Forgets what was looked up, as a host asked for.
    pub fn forget(&mut self) {
        self.lookups.clear();
    }

    /// Looks up and sends to the best host.
    pub async fn send(&mut self, request: &CallerRequest) -> CallerResult {
        let began = time::Instant::now();
        let Some(answer) = self.look_up(&request.service, request.from).await else {
            return nothing(began);
        };
        let Some(host) = answer.hosts.first() else {
            return nothing(began);
        };
        let result = self.send_to(host.address, request).await;
        if result.look_up_again || result.outcome.is_none() {
            self.forget();
        }
        result
    }

    /// Sends to a given host.
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
            return nothing(began);
        };
        let idle = self.idle.entry(host).or_default();
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push(sender);
        }
        read_result(request, &answer, began)
    }
}

fn nothing(began: time::Instant) -> CallerResult {
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

/// Asks one entry host.
pub async fn ask(
    entry: net::SocketAddr,
    service: &str,
    from: Option<net::IpAddr>,
) -> Option<LookupAnswer> {
    let uri = format!("/lookup?service={service}");
    let mut builder = http::Request::get(uri).header(http::header::HOST, "entry");
    if let Some(from) = from {
        builder = builder.header("x-ledgespool-caller", from.to_string());
    }
    let request = builder.body(Full::default()).ok()?;
    let answer = http_client::exchange(entry, request, LOOKUP_LIMIT, 1 << 16)
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
    let limit = request.deadline + PATIENCE;
    let mut sender = match sender {
        Some(sender) => sender,
        None => http_client::connect(host, LOOKUP_LIMIT).await.ok()?,
    };
    let outgoing = outgoing(request)?;
    let answer = http_client::read_answer(&mut sender, outgoing, MAX_ANSWER_BYTES);
    let answer = tokio::time::timeout(limit.max(time::Duration::from_mins(1)), answer)
        .await
        .ok()?
        .ok()?;
    Some((answer, sender))
}

fn outgoing(request: &CallerRequest) -> Option<http::Request<Full<Bytes>>> {
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
    builder.body(Full::default()).ok()
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
