//! A client of the platform's object API, which is HTTP with entity tags as versions.
//!
//! | call | request | answer |
//! |---|---|---|
//! | read | `GET /v1/objects/KIND/NAME` | 200 with `etag: "VERSION"`, or 404 |
//! | write | `PUT /v1/objects/KIND/NAME` with `if-match: "VERSION"` or `if-none-match: *` | 200 with `etag`, or 412 |
//! | watch | `GET /v1/watch/KIND?after=REVISION&wait_ms=N` | 200 with `{revision, objects}` |
//! | hosts | `GET /v1/hosts` | 200 with `{version, hosts}` |

use std::{net, time};

use bytes::Bytes;

use crate::client_sender::ClientSender;
use crate::http_client::{self, ExchangeFault, SmallAnswer};
use crate::plan;
use crate::platform_call::{
    ObjectName, PlatformCall, PlatformReply, ReadResult, WatchReply, WriteResult,
};
use crate::request_body::RequestBody;
use crate::roster;

/// Timeout of a call that does not wait for changes.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How long the platform holds a watch open while nothing changes, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 10_000;
const WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(WATCH_WAIT_MS + 2_000);
/// The largest response, in bytes: up to one megabyte per watched object, and the JSON around them.
const MAX_ANSWER_BYTES: usize = 4 * plan::MAX_OBJECT_BYTES;
/// Idle connections that are retained for later calls.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A client of the platform, used from one thread.
#[derive(Debug)]
pub struct PlatformClient {
    address: net::SocketAddr,
    idle: std::sync::Mutex<Vec<ClientSender>>,
}

impl PlatformClient {
    /// Creates a client without open connections.
    #[must_use]
    pub const fn with_address(address: net::SocketAddr) -> Self {
        Self {
            address,
            idle: std::sync::Mutex::new(Vec::new()),
        }
    }

    /// Makes a call; every failure is expressed in the reply.
    pub async fn call(&self, call: &PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read(object) => PlatformReply::Read(self.read(object).await),
            PlatformCall::Write {
                object,
                bytes,
                expected,
            } => PlatformReply::Write(self.write(object, bytes, *expected).await),
            PlatformCall::Watch { kind, after } => {
                PlatformReply::Watch(self.watch(kind, *after).await)
            }
            PlatformCall::Hosts => PlatformReply::Hosts(self.hosts().await),
        }
    }

    async fn read(&self, object: &ObjectName) -> ReadResult {
        let Some(request) = request(
            http::Method::GET,
            &object_path(object),
            Bytes::new(),
            WritePrecondition::Unconditional,
        ) else {
            return ReadResult::Failed;
        };
        match self.send(request, CALL_TIMEOUT).await {
            Ok(answer) if answer.status == http::StatusCode::OK => match version_of(&answer) {
                Some(version) => ReadResult::Found {
                    bytes: answer.body.to_vec(),
                    version,
                },
                None => ReadResult::Failed,
            },
            Ok(answer) if answer.status == http::StatusCode::NOT_FOUND => ReadResult::Absent,
            _ => ReadResult::Failed,
        }
    }

    async fn write(&self, object: &ObjectName, bytes: &[u8], expected: Option<u64>) -> WriteResult {
        let body = Bytes::copy_from_slice(bytes);
        let precondition = expected.map_or(WritePrecondition::Absent, WritePrecondition::Version);
        let Some(request) = request(http::Method::PUT, &object_path(object), body, precondition)
        else {
            return WriteResult::Uncertain;
        };
        match self.send(request, CALL_TIMEOUT).await {
            Ok(answer) if answer.status == http::StatusCode::OK => match version_of(&answer) {
                Some(version) => WriteResult::Stored { version },
                None => WriteResult::Uncertain,
            },
            Ok(answer) if answer.status == http::StatusCode::PRECONDITION_FAILED => {
                WriteResult::Conflict
            }
            _ => WriteResult::Uncertain,
        }
    }

    async fn watch(&self, kind: &str, after: u64) -> Option<WatchReply> {
        let path = format!("/v1/watch/{kind}?after={after}&wait_ms={WATCH_WAIT_MS}");
        let request = request(
            http::Method::GET,
            &path,
            Bytes::new(),
            WritePrecondition::Unconditional,
        )?;
        let answer = self.send(request, WATCH_TIMEOUT).await.ok()?;
        parse_body(&answer)
    }

    async fn hosts(&self) -> Option<roster::HostList> {
        let request = request(
            http::Method::GET,
            "/v1/hosts",
            Bytes::new(),
            WritePrecondition::Unconditional,
        )?;
        let answer = self.send(request, CALL_TIMEOUT).await.ok()?;
        parse_body(&answer)
    }

    /// Sends on an idle connection if one is usable, else on a new one. A call whose connection
    /// broke is not retried here, since only the roles can decide what a lost write means.
    async fn send(
        &self,
        request: http::Request<RequestBody>,
        timeout: time::Duration,
    ) -> Result<SmallAnswer, ExchangeFault> {
        let deadline = tokio::time::Instant::now() + timeout;
        if let Some(sender) = self.take_idle() {
            match self.send_on(sender, request.clone(), deadline).await {
                Err(ExchangeFault::NotSent) => {}
                result => return result,
            }
        }
        let sender = http_client::connect(self.address, timeout.min(CALL_TIMEOUT)).await?;
        self.send_on(sender, request, deadline).await
    }

    async fn send_on(
        &self,
        mut sender: ClientSender,
        request: http::Request<RequestBody>,
        deadline: tokio::time::Instant,
    ) -> Result<SmallAnswer, ExchangeFault> {
        let answer = http_client::read_answer(&mut sender, request, MAX_ANSWER_BYTES);
        let answer = tokio::time::timeout_at(deadline, answer)
            .await
            .unwrap_or(Err(ExchangeFault::Lost))?;
        if let Ok(mut idle) = self.idle.lock()
            && idle.len() < MAX_IDLE_CONNECTIONS
        {
            idle.push(sender);
        }
        Ok(answer)
    }

    fn take_idle(&self) -> Option<ClientSender> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

fn object_path(object: &ObjectName) -> String {
    format!("/v1/objects/{}/{}", object.kind, object.name)
}

/// The condition under which a request takes effect.
#[derive(Debug, Clone, Copy)]
enum WritePrecondition {
    Unconditional,
    Absent,
    Version(u64),
}

fn request(
    method: http::Method,
    path: &str,
    body: Bytes,
    precondition: WritePrecondition,
) -> Option<http::Request<RequestBody>> {
    let mut builder = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, "platform");
    match precondition {
        WritePrecondition::Version(version) => {
            builder = builder.header(http::header::IF_MATCH, format!("\"{version}\""));
        }
        WritePrecondition::Absent => builder = builder.header(http::header::IF_NONE_MATCH, "*"),
        WritePrecondition::Unconditional => {}
    }
    builder.body(RequestBody::from(body)).ok()
}

fn version_of(answer: &SmallAnswer) -> Option<u64> {
    let tag = answer.headers.get(http::header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

fn parse_body<T: serde::de::DeserializeOwned>(answer: &SmallAnswer) -> Option<T> {
    if answer.status != http::StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}
