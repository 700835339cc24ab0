//! The host's side of joining: answers join requests from hosts that are starting, and holds back
//! callers' requests until this host can serve.
//!
//! [`super::join_role`] decides whether a join request gets a snapshot or a redirect to another
//! host. [`super::join_client`] is the requesting side.

use std::{cell, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::{Notify, oneshot};

use super::host::EntryHost;
use super::host_gossip;
use super::join_role::{JoinDecision, JoinRequest, JoinRole, PendingJoinRequests};
use super::peer_message::{self, JoinAnswer, PackedSnapshot, PeerFormatError};
use super::peers::HostRecord;
use super::quarantine::message::QuarantineDigest;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// Path of join requests.
pub(super) const JOIN_PATH: &str = "/join";
/// How long a host that is not ready holds a join request: about the time that the first host needs
/// to read everything from the store. After that the requester tries another host.
const PENDING_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// The largest join request, in bytes.
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// How long an encoded snapshot is reused for other requesters, in milliseconds.
const SNAPSHOT_REUSE_MS: u64 = 100;
/// How long a request that arrives before this host can serve waits for that, in milliseconds: an
/// eighth of the shortest goal in use, so that the answer can still be in time.
const READY_WAIT_MS: u64 = 250;
/// Requests wait only in this period after the start, in milliseconds. A host that has received
/// nothing by then has no source to receive it from.
const STARTUP_PERIOD_MS: u64 = 2_000;

/// State for joining and for serving other hosts' join requests.
#[derive(Debug, Default)]
pub struct JoinState {
    role: cell::RefCell<JoinRole>,
    pending: cell::RefCell<PendingJoinRequests<oneshot::Sender<JoinDecision>>>,
    encoded: cell::RefCell<Option<EncodedSnapshot>>,
    /// Whether this host is connected to a host that may send it a snapshot.
    pub(super) has_reached_peer: cell::Cell<bool>,
    /// Newly discovered hosts that have not yet been announced to the others.
    discovered: cell::RefCell<Vec<HostRecord>>,
    /// Whether a join request to a host that advertised itself as ready is in flight.
    pub(super) is_asking_ready_peer: cell::Cell<bool>,
    /// Whether this host was announced as one of the first that can serve.
    announced: cell::Cell<bool>,
    /// Whether this host was ever able to serve.
    pub(super) complete: cell::Cell<bool>,
    pub(super) completed: Notify,
}

impl JoinState {
    /// Whether this host has reached another one that sends, or sent, it a snapshot.
    pub(super) const fn has_reached_peer(&self) -> bool {
        self.has_reached_peer.get()
    }

    /// Queues this run of a host for announcement to the others.
    pub(super) fn on_discovered(&self, record: HostRecord) {
        self.discovered.borrow_mut().push(record);
    }

    /// Marks this host as announced; returns whether it was not announced before.
    pub(super) fn set_announced(&self) -> bool {
        !self.announced.replace(true)
    }
}

/// An encoded snapshot, valid as long as its content has not changed.
#[derive(Debug)]
struct EncodedSnapshot {
    state: SnapshotState,
    at: Moment,
    bytes: Bytes,
}

/// Identifies the content of a snapshot, except for newly discovered entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SnapshotState {
    configuration_version: u64,
    fleet_revision: u64,
    evacuation_revision: u64,
    rollout_position: u64,
    quarantine: QuarantineDigest,
}

impl<W: WireProtocol> EntryHost<W> {
    /// Called after new state was received: if this host can serve now, resumes waiting requests
    /// and answers pending join requests.
    pub(super) fn on_state_received(&self, source: &str) {
        if !self.is_ready() {
            return;
        }
        if !self.join.complete.replace(true) {
            let fields = json!({
                "source": source,
                "uptime_ms": self.now().0,
                "servers": self.fleet.borrow().servers().count(),
                "version": self.configuration_version(),
            });
            self.log_event(EventCode::KnowledgeComplete, fields);
            self.join.completed.notify_waiters();
        }
        let pending = self.join.pending.borrow_mut().take();
        for (request, requester) in pending {
            // A requester that has given up sends its request again.
            let _gone = requester.send(self.decide_join(&request));
        }
    }

    /// Waits a short time until this host can serve, if it has just started. Without the wait, all
    /// requests in the first tenths of a second are refused, and callers retry only once or twice.
    pub(super) async fn wait_until_ready(&self) {
        if self.join.complete.get() || !self.is_starting() {
            return;
        }
        let completed = self.join.completed.notified();
        // The caller checks readiness itself, so the timeout needs no handling.
        let _elapsed =
            tokio::time::timeout(time::Duration::from_millis(READY_WAIT_MS), completed).await;
    }

    /// Whether this host has just started and cannot serve yet or only just can.
    pub(super) fn is_starting(&self) -> bool {
        !self.is_leaving() && self.now().0 <= STARTUP_PERIOD_MS
    }

    fn decide_join(&self, request: &JoinRequest) -> JoinDecision {
        let bytes = self.encoded_snapshot().map_or(0, |encoded| encoded.len());
        let link_mbps = self.settings().link_mbps;
        let now = self.now();
        let mut role = self.join.role.borrow_mut();
        role.decide(request, bytes, link_mbps, now)
    }

    /// The encoded snapshot of everything that this host knows. It is encoded once for many
    /// requesters.
    ///
    /// # Errors
    /// `Malformed` when it cannot be encoded.
    pub fn encoded_snapshot(&self) -> Result<Bytes, PeerFormatError> {
        let now = self.now();
        let state = self.snapshot_state();
        let mut encoded = self.join.encoded.borrow_mut();
        if let Some(encoded) = &*encoded
            && encoded.state == state
            && now.since(encoded.at) < SNAPSHOT_REUSE_MS
        {
            return Ok(encoded.bytes.clone());
        }
        let snapshot = self.snapshot();
        // The remaining retention of servers is sent as a duration, which shrinks over time.
        let is_fixed = snapshot.kept.is_empty();
        let answer = JoinAnswer::Snapshot(PackedSnapshot::from_snapshot(&snapshot)?);
        let bytes = Bytes::from(peer_message::to_bytes(&answer)?);
        *encoded = is_fixed.then(|| EncodedSnapshot {
            state,
            at: now,
            bytes: bytes.clone(),
        });
        Ok(bytes)
    }

    fn snapshot_state(&self) -> SnapshotState {
        SnapshotState {
            configuration_version: self.configuration_version(),
            fleet_revision: self.fleet.borrow().revision(),
            evacuation_revision: self.evacuation_revision(),
            rollout_position: self.rollouts.position(),
            quarantine: self.quarantine.digest(),
        }
    }

    /// Frees the encoded snapshot, which is needed only while other hosts start.
    pub(super) fn drop_expired_snapshot(&self) {
        let now = self.now();
        let mut encoded = self.join.encoded.borrow_mut();
        let is_old = |encoded: &EncodedSnapshot| now.since(encoded.at) >= SNAPSHOT_REUSE_MS;
        if encoded.as_ref().is_some_and(is_old) {
            *encoded = None;
        }
    }
}

/// Answers a join request; `None` if this host cannot answer for now.
pub(super) async fn answer<W: WireProtocol>(
    host: &EntryHost<W>,
    body: Incoming,
) -> Option<Result<Bytes, PeerFormatError>> {
    let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await;
    let request = match peer_message::from_bytes::<JoinRequest>(&body.ok()?.to_bytes()) {
        Ok(request) => request,
        Err(fault) => {
            host.log_malformed_message("a host that starts", &fault);
            return None;
        }
    };
    on_requester(host, &request);
    let decision = if host.is_ready() {
        host.decide_join(&request)
    } else {
        hold_until_ready(host, request).await?
    };
    match decision {
        JoinDecision::Serve => Some(host.encoded_snapshot()),
        JoinDecision::Redirect(address) => {
            let encoded = peer_message::to_bytes(&JoinAnswer::Ask(address));
            Some(encoded.map(Bytes::from))
        }
    }
}

/// Adds the requester to the known hosts, and announces it to the others unless this run of it is
/// known already.
fn on_requester<W: WireProtocol>(host: &EntryHost<W>, request: &JoinRequest) {
    let record = &request.record;
    if host.peers.borrow().run_of(&record.name) < record.run {
        host_gossip::add_hosts(host, std::slice::from_ref(record));
        host.join.on_discovered(record.clone());
    }
}

/// Announces the hosts that have sent join requests since the last call.
pub(super) fn broadcast_discovered<W: WireProtocol>(host: &EntryHost<W>) {
    let discovered = host.join.discovered.take();
    host_gossip::broadcast_host_update(host, &discovered, &[]);
}

async fn hold_until_ready<W: WireProtocol>(
    host: &EntryHost<W>,
    request: JoinRequest,
) -> Option<JoinDecision> {
    let (requester, decision) = oneshot::channel();
    let pending = host.join.pending.borrow_mut().hold(request, requester);
    pending.ok()?;
    tokio::time::timeout(PENDING_TIMEOUT, decision)
        .await
        .ok()?
        .ok()
}
