//! A stand-in for the platform: versioned objects with conditional updates and watches, and a
//! host list that may lag. All data is in memory.
//!
//! `PUT /admin/faults` sets the faults to inject, `GET /admin/calls` returns the call counts.

use std::{collections, net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::{Notify, watch};

use super::{RunningStandin, SmallBody, empty_response, json_response, query_number, read_body};
use crate::listener;
use crate::plan;
use crate::platform_call::{WatchReply, WatchedObject};
use crate::roster::{HostList, ListedHost};

const MAX_CONNECTIONS: usize = 4_096;
const MAX_WATCH_MS: u64 = 30_000;

/// Faults that the stand-in injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered 503 at once.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect but get no answer.
    pub lose_write_answers: u32,
    /// Age of the returned host list, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// Call counts since the start. A waiting watch counts as one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct PlatformCalls {
    /// Reads of objects.
    pub reads: u64,
    /// Writes of objects, including refused ones.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
}

#[derive(Debug, Clone)]
struct StoredObject {
    version: u64,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct PlatformData {
    revision: u64,
    objects: collections::BTreeMap<(String, String), StoredObject>,
    host_lists: Vec<(time::Duration, HostList)>,
    faults: PlatformFaults,
    calls: PlatformCalls,
}

#[derive(Debug)]
struct PlatformState {
    start: time::Instant,
    data: sync::Mutex<PlatformData>,
    changed: Notify,
}

/// Starts the stand-in on a thread.
///
/// # Errors
/// When the address cannot be bound.
pub fn start(address: net::SocketAddr) -> std::io::Result<RunningStandin> {
    let state = sync::Arc::new(PlatformState {
        start: time::Instant::now(),
        data: sync::Mutex::default(),
        changed: Notify::new(),
    });
    super::spawn("platform-standin", address, |listener, stop| {
        serve(listener, stop, state)
    })
}

async fn serve(
    listener: tokio::net::TcpListener,
    stop: watch::Receiver<bool>,
    state: sync::Arc<PlatformState>,
) {
    let handler = move |request, _peer| {
        let state = sync::Arc::clone(&state);
        async move { state.answer(request).await }
    };
    listener::serve(listener, MAX_CONNECTIONS, stop, handler).await;
}

impl PlatformState {
    fn data(&self) -> sync::MutexGuard<'_, PlatformData> {
        self.data
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn answer(&self, request: http::Request<Incoming>) -> http::Response<SmallBody> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        if parts.first() == Some(&"admin") {
            return self.answer_admin(&parts, request).await;
        }
        let faults = self.data().faults;
        if faults.slow_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(faults.slow_ms)).await;
        }
        if self.data().faults.down {
            return empty_response(http::StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method().as_str(), parts.as_slice()) {
            ("GET", ["v1", "objects", kind, name]) => self.read(kind, name),
            ("PUT", ["v1", "objects", kind, name]) => {
                let headers = request.headers().clone();
                match read_body(request.into_body()).await {
                    Some(bytes) => self.write(kind, name, &headers, bytes).await,
                    None => empty_response(http::StatusCode::PAYLOAD_TOO_LARGE),
                }
            }
            ("GET", ["v1", "watch", kind]) => {
                let after = query_number(request.uri(), "after").unwrap_or(0);
                let wait_ms = query_number(request.uri(), "wait_ms")
                    .unwrap_or(0)
                    .min(MAX_WATCH_MS);
                self.watch(kind, after, wait_ms).await
            }
            ("GET", ["v1", "hosts"]) => self.hosts(),
            _ => empty_response(http::StatusCode::NOT_FOUND),
        }
    }

    fn read(&self, kind: &str, name: &str) -> http::Response<SmallBody> {
        let mut data = self.data();
        data.calls.reads += 1;
        let Some(object) = data.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return empty_response(http::StatusCode::NOT_FOUND);
        };
        with_version_tag(
            http::Response::new(Full::new(object.bytes.clone())),
            object.version,
        )
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        headers: &http::HeaderMap,
        bytes: Bytes,
    ) -> http::Response<SmallBody> {
        if bytes.len() > plan::MAX_OBJECT_BYTES {
            return empty_response(http::StatusCode::PAYLOAD_TOO_LARGE);
        }
        if serde_json::from_slice::<serde_json::Value>(&bytes).is_err() {
            return empty_response(http::StatusCode::BAD_REQUEST);
        }
        let (response, lost) = {
            let mut data = self.data();
            data.calls.writes += 1;
            let key = (kind.to_owned(), name.to_owned());
            let current = data.objects.get(&key).map(|object| object.version);
            if !precondition_holds(headers, current) {
                return empty_response(http::StatusCode::PRECONDITION_FAILED);
            }
            data.revision += 1;
            let version = data.revision;
            data.objects.insert(key, StoredObject { version, bytes });
            let lost = data.faults.lose_write_answers > 0;
            data.faults.lose_write_answers = data.faults.lose_write_answers.saturating_sub(1);
            (
                with_version_tag(empty_response(http::StatusCode::OK), version),
                lost,
            )
        };
        self.changed.notify_waiters();
        if lost {
            tokio::time::sleep(time::Duration::from_hours(1)).await;
        }
        response
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> http::Response<SmallBody> {
        self.data().calls.watches += 1;
        let deadline = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let reply = self.changes(kind, after);
            let late = tokio::time::Instant::now() >= deadline;
            if !reply.objects.is_empty() || late {
                return json_response(&reply);
            }
            // After the timeout, the next round returns an empty reply.
            let _elapsed = tokio::time::timeout_at(deadline, changed).await;
            if self.data().faults.down {
                return empty_response(http::StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }

    fn changes(&self, kind: &str, after: u64) -> WatchReply {
        let data = self.data();
        let newer = data
            .objects
            .iter()
            .filter(|((of, _), object)| of == kind && object.version > after);
        let objects = newer.filter_map(|((_, name), object)| {
            let value = serde_json::from_slice(&object.bytes).ok()?;
            Some(WatchedObject {
                name: name.clone(),
                version: object.version,
                value,
            })
        });
        let objects: Vec<WatchedObject> = objects.collect();
        let revision = objects
            .iter()
            .map(|object| object.version)
            .max()
            .unwrap_or(after);
        WatchReply { revision, objects }
    }

    fn hosts(&self) -> http::Response<SmallBody> {
        let mut data = self.data();
        data.calls.hosts += 1;
        let lag = time::Duration::from_millis(data.faults.hosts_lag_ms);
        let visible = self.start.elapsed().saturating_sub(lag);
        let visible_list = data
            .host_lists
            .iter()
            .rev()
            .find(|(since, _)| *since <= visible);
        let list = visible_list
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        json_response(&list)
    }

    async fn answer_admin(
        &self,
        parts: &[&str],
        request: http::Request<Incoming>,
    ) -> http::Response<SmallBody> {
        match (request.method().as_str(), parts) {
            ("GET", ["admin", "calls"]) => json_response(&self.data().calls),
            ("PUT", ["admin", "faults"]) => {
                let bytes = read_body(request.into_body()).await.unwrap_or_default();
                match serde_json::from_slice(&bytes) {
                    Ok(faults) => {
                        self.data().faults = faults;
                        self.changed.notify_waiters();
                        empty_response(http::StatusCode::OK)
                    }
                    Err(_fault) => empty_response(http::StatusCode::BAD_REQUEST),
                }
            }
            ("PUT", ["admin", "hosts"]) => {
                let bytes = read_body(request.into_body()).await.unwrap_or_default();
                match serde_json::from_slice::<Vec<ListedHost>>(&bytes) {
                    Ok(hosts) => {
                        self.set_hosts(hosts);
                        empty_response(http::StatusCode::OK)
                    }
                    Err(_fault) => empty_response(http::StatusCode::BAD_REQUEST),
                }
            }
            _ => empty_response(http::StatusCode::NOT_FOUND),
        }
    }

    fn set_hosts(&self, hosts: Vec<ListedHost>) {
        let now = self.start.elapsed();
        let mut data = self.data();
        let version = data.host_lists.last().map_or(0, |(_, list)| list.version) + 1;
        data.host_lists.push((now, HostList { version, hosts }));
    }
}

fn with_version_tag(
    mut response: http::Response<SmallBody>,
    version: u64,
) -> http::Response<SmallBody> {
    if let Ok(tag) = http::HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(http::header::ETAG, tag);
    }
    response
}

/// Returns whether the precondition of a write holds. A write without a precondition is refused,
/// so that no client overwrites an object that it has not read.
fn precondition_holds(headers: &http::HeaderMap, current: Option<u64>) -> bool {
    if headers
        .get(http::header::IF_NONE_MATCH)
        .is_some_and(|value| value == "*")
    {
        return current.is_none();
    }
    let expected = headers
        .get(http::header::IF_MATCH)
        .and_then(|value| value.to_str().ok());
    let expected = expected.and_then(|tag| tag.trim_matches('"').parse::<u64>().ok());
    expected.is_some() && expected == current
}
