//! A stand-in for a backend server. It runs requests in slots, queues a few, sheds the others and
//! logs the requests that it ran.
//!
//! `GET|POST /work?ms=M&bytes=N` occupies a slot for M milliseconds and answers N bytes that are
//! derived from the request id, so that a caller can verify that the answer is its own and whole.

use std::sync::atomic;
use std::{net, pin, sync, task, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Frame, Incoming};
use rand::RngCore as _;
use rand::SeedableRng as _;
use tokio::sync::{Semaphore, watch};
use xxhash_rust::xxh3;

use super::{RunningStandin, json_response, query_number, read_body};
use crate::{listener, timer};

const MAX_CONNECTIONS: usize = 330;
/// Maximum number of queued requests per slot.
const MAX_QUEUED_PER_SLOT: usize = 2;
const CHUNK_BYTES: usize = 16 * 1024;
/// Largest answer body.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
const REQUEST_HEADER: &str = "x-ledgespool-request-id";

/// Faults that the stand-in injects.
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are independent and may come together"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Work takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Answers 500 at once, without running anything.
    pub failing: bool,
    /// Announces its shutdown.
    pub leaving: bool,
    /// Breaks off each answer after half of its body.
    pub truncate: bool,
    /// Answers with the id and content of another request.
    pub mix_up: bool,
    /// Claims a transfer coding that no request asked for.
    pub other_coding: bool,
    /// Sheds every request.
    pub shedding: bool,
    /// Reports this load minus one instead of the true load; 0 reports the true load.
    pub claim_load: u32,
    /// Runs requests and never answers.
    pub silent: bool,
    /// Omits the request id from its answers.
    pub anonymous: bool,
}

/// A request that was run.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunRecord {
    /// The request id.
    pub request_id: String,
    /// The start, in Unix milliseconds.
    pub began_unix_ms: u64,
    /// The query, by which tests identify the request.
    pub query: String,
}

/// The log of the stand-in since its start.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct BackendLog {
    /// Requests run, in the order in which they started.
    pub runs: Vec<RunRecord>,
    /// Maximum number of requests at once, running or waiting for a slot.
    pub peak: u32,
    /// Requests shed.
    pub shed: u32,
}

#[derive(Debug)]
struct BackendState {
    slots: Semaphore,
    slot_count: usize,
    present: atomic::AtomicUsize,
    faults: sync::Mutex<BackendFaults>,
    log: sync::Mutex<BackendLog>,
    running: atomic::AtomicU32,
}

/// Starts the stand-in on a thread.
///
/// # Errors
/// When the address cannot be bound.
pub fn start(address: net::SocketAddr, slots: usize) -> std::io::Result<RunningStandin> {
    let state = sync::Arc::new(BackendState {
        slots: Semaphore::new(slots),
        slot_count: slots,
        present: atomic::AtomicUsize::new(0),
        faults: sync::Mutex::default(),
        log: sync::Mutex::default(),
        running: atomic::AtomicU32::new(0),
    });
    super::spawn("backend-standin", address, |listener, stop| {
        serve(listener, stop, state)
    })
}

async fn serve(
    listener: tokio::net::TcpListener,
    stop: watch::Receiver<bool>,
    state: sync::Arc<BackendState>,
) {
    let handler = move |request, _peer| {
        let state = sync::Arc::clone(&state);
        async move { state.answer(request).await }
    };
    listener::serve(listener, MAX_CONNECTIONS, stop, handler).await;
}

/// Returns the expected body of the answer to a request; callers use it for verification.
#[must_use]
pub fn answer_bytes(request_id: &str, length: usize) -> Bytes {
    let mut bytes = vec![0_u8; length];
    rand::rngs::SmallRng::seed_from_u64(xxh3::xxh3_64(request_id.as_bytes()))
        .fill_bytes(&mut bytes);
    Bytes::from(bytes)
}

type BackendBody = http_body_util::combinators::UnsyncBoxBody<Bytes, std::io::Error>;

fn small_body(response: http::Response<Full<Bytes>>) -> http::Response<BackendBody> {
    response.map(|body| body.map_err(super::never).boxed_unsync())
}

/// Decrements the count of present requests when dropped.
struct PresentGuard<'s>(&'s BackendState);

impl Drop for PresentGuard<'_> {
    fn drop(&mut self) {
        self.0.present.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// Decrements the count of running requests when dropped.
struct RunningGuard<'s>(&'s BackendState);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl BackendState {
    fn faults(&self) -> BackendFaults {
        *self
            .faults
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn log(&self) -> sync::MutexGuard<'_, BackendLog> {
        self.log
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn answer(&self, request: http::Request<Incoming>) -> http::Response<BackendBody> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/admin/log" => small_body(json_response(&*self.log())),
            "/admin/faults" => {
                let bytes = read_body(request.into_body()).await.unwrap_or_default();
                if let Ok(faults) = serde_json::from_slice(&bytes) {
                    *self
                        .faults
                        .lock()
                        .unwrap_or_else(sync::PoisonError::into_inner) = faults;
                }
                small_body(json_response(&self.faults()))
            }
            _ => self.work(request).await,
        }
    }

    async fn work(&self, request: http::Request<Incoming>) -> http::Response<BackendBody> {
        let id = request
            .headers()
            .get(REQUEST_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let uri = request.uri().clone();
        let faults = self.faults();
        let present = self.present.fetch_add(1, atomic::Ordering::AcqRel) + 1;
        let _present = PresentGuard(self);
        self.log_peak(present);
        if faults.failing {
            return self.head(
                http::StatusCode::INTERNAL_SERVER_ERROR,
                &id,
                &faults,
                empty(),
            );
        }
        if faults.shedding || present > self.slot_count * (1 + MAX_QUEUED_PER_SLOT) {
            self.log().shed += 1;
            let mut response =
                self.head(http::StatusCode::SERVICE_UNAVAILABLE, &id, &faults, empty());
            response
                .headers_mut()
                .insert("x-ledgespool-not-run", http::HeaderValue::from_static("1"));
            return response;
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return self.head(
                http::StatusCode::INTERNAL_SERVER_ERROR,
                &id,
                &faults,
                empty(),
            );
        };
        self.log_run(&id, &uri);
        let _running = RunningGuard(self);
        let work_ms = query_number(&uri, "ms").unwrap_or(0) + faults.slow_ms;
        if work_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(work_ms)).await;
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let length = query_number(&uri, "bytes")
            .unwrap_or(0)
            .min(MAX_ANSWER_BYTES);
        let status = query_number(&uri, "status").and_then(|status| u16::try_from(status).ok());
        let status = status
            .and_then(|status| http::StatusCode::from_u16(status).ok())
            .unwrap_or_default();
        let pace_ms = query_number(&uri, "pace_ms").unwrap_or(0);
        self.work_response(
            status,
            &id,
            usize::try_from(length).unwrap_or(0),
            pace_ms,
            &faults,
        )
    }

    fn log_peak(&self, present: usize) {
        let mut log = self.log();
        log.peak = log.peak.max(u32::try_from(present).unwrap_or(u32::MAX));
    }

    fn log_run(&self, id: &str, uri: &http::Uri) {
        self.running.fetch_add(1, atomic::Ordering::AcqRel);
        let mut log = self.log();
        log.runs.push(RunRecord {
            request_id: id.to_owned(),
            began_unix_ms: timer::unix_millis(),
            query: uri.query().unwrap_or("").to_owned(),
        });
    }

    fn work_response(
        &self,
        status: http::StatusCode,
        id: &str,
        length: usize,
        pace_ms: u64,
        faults: &BackendFaults,
    ) -> http::Response<BackendBody> {
        let id = if faults.mix_up {
            format!("{id}-other")
        } else {
            id.to_owned()
        };
        let bytes = answer_bytes(&id, length);
        let sent_bytes = if faults.truncate {
            bytes.slice(..length / 2)
        } else {
            bytes
        };
        let body = PacedBody {
            left: sent_bytes,
            cut: faults.truncate,
            pace_ms,
            pause: None,
        };
        let mut response = self.head(status, &id, faults, body.boxed_unsync());
        if faults.other_coding {
            let coding = http::HeaderValue::from_static("gzip, chunked");
            let headers = response.headers_mut();
            headers.insert(http::header::TRANSFER_ENCODING, coding);
        } else if let Ok(length) = http::HeaderValue::from_str(&length.to_string()) {
            response
                .headers_mut()
                .insert(http::header::CONTENT_LENGTH, length);
        }
        response
    }

    fn head(
        &self,
        status: http::StatusCode,
        id: &str,
        faults: &BackendFaults,
        body: BackendBody,
    ) -> http::Response<BackendBody> {
        let mut response = http::Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let load = match faults.claim_load {
            0 => self.running.load(atomic::Ordering::Acquire),
            claimed => claimed - 1,
        };
        if let Ok(load) = http::HeaderValue::from_str(&load.to_string()) {
            headers.insert("x-ledgespool-load", load);
        }
        if let (false, Ok(id)) = (faults.anonymous, http::HeaderValue::from_str(id)) {
            headers.insert(REQUEST_HEADER, id);
        }
        if faults.leaving {
            headers.insert("x-ledgespool-leaving", http::HeaderValue::from_static("1"));
        }
        response
    }
}

fn empty() -> BackendBody {
    Full::default().map_err(super::never).boxed_unsync()
}

/// A body in chunks, optionally with a pause before each chunk and an error at its end.
struct PacedBody {
    left: Bytes,
    cut: bool,
    pace_ms: u64,
    pause: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl hyper::body::Body for PacedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.left.is_empty() {
            let broken = self
                .cut
                .then(|| Err(std::io::Error::other("cut on purpose")));
            return task::Poll::Ready(broken);
        }
        if self.pace_ms > 0 {
            let pace = time::Duration::from_millis(self.pace_ms);
            let pause = self
                .pause
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(pace)));
            if pause.as_mut().poll(cx).is_pending() {
                return task::Poll::Pending;
            }
            self.pause = None;
        }
        let length = self.left.len().min(CHUNK_BYTES);
        let chunk = self.left.split_to(length);
        task::Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty() && !self.cut
    }
}
