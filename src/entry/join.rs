//! What a host does for others that start, and for requests that come before it can serve itself.
//!
//! Who is asked answers when it knows something itself, or names another host; [`super::join_role`]
//! decides which. How a host asks stands in [`super::join_asking`].

use std::{cell, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::{Notify, oneshot};

use super::host::EntryHost;
use super::host_gossip;
use super::join_role::{JoinDecision, JoinQuestion, JoinRole, ParkedQuestions};
use super::peer_message::{self, JoinAnswer, PackedSnapshot, PeerFormatError};
use super::peers::HostRecord;
use super::quarantine::message::QuarantineDigest;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// Where a host that starts asks others.
pub(super) const JOIN_PATH: &str = "/join";
/// A host that knows nothing yet keeps a question this long: about what the first needs to
/// read everything from the store. Then the asking host looks elsewhere.
const PARK_LIMIT: time::Duration = time::Duration::from_millis(800);
/// The largest question, in bytes.
const MAX_QUESTION_BYTES: usize = 4 * 1024;
/// What was written for one host is sent to others for this long, in milliseconds.
const WRITTEN_VALID_MS: u64 = 100;
/// A request that comes before this host can serve waits this long for that, in milliseconds: an eighth
/// of the shortest goals in use, so that an answer is still in time.
const WAIT_MS: u64 = 250;
/// Requests wait only so shortly after the start, in milliseconds; a host that has learned nothing
/// by then has nobody to learn from.
const STARTING_MS: u64 = 2_000;

/// What a host holds for joining, and for those who join.
#[derive(Debug, Default)]
pub struct JoinState {
    role: cell::RefCell<JoinRole>,
    parked: cell::RefCell<ParkedQuestions<oneshot::Sender<JoinDecision>>>,
    written: cell::RefCell<Option<WrittenSnapshot>>,
    /// Whether another host is reached that gives this one what it needs.
    pub(super) contact: cell::Cell<bool>,
    /// Hosts that were met and that others are still to be told of.
    met: cell::RefCell<Vec<HostRecord>>,
    /// Whether a host that said that it can serve is being asked.
    pub(super) asks_heard: cell::Cell<bool>,
    /// Whether others were told that this host is among the first to serve.
    announced: cell::Cell<bool>,
    /// Whether this host was ever able to serve.
    pub(super) complete: cell::Cell<bool>,
    pub(super) completed: Notify,
}

impl JoinState {
    /// Whether another host was reached that gives, or gave, this one what it needs.
    pub(super) const fn has_contact(&self) -> bool {
        self.contact.get()
    }

    /// Others are to be told of this run of a host.
    pub(super) fn on_met(&self, record: HostRecord) {
        self.met.borrow_mut().push(record);
    }

    /// Others are told; returns whether they were not before.
    pub(super) fn on_announced(&self) -> bool {
        !self.announced.replace(true)
    }
}

/// A snapshot as it is sent, for as long as nothing in it has changed.
#[derive(Debug)]
struct WrittenSnapshot {
    state: SnapshotState,
    at: Moment,
    bytes: Bytes,
}

/// What tells one snapshot from another, but for entry hosts that were met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SnapshotState {
    configuration_version: u64,
    fleet_revision: u64,
    evacuation_revision: u64,
    rollout_position: u64,
    quarantine: QuarantineDigest,
}

impl<W: WireProtocol> EntryHost<W> {
    /// Something was learned: if this host can serve now, those who wait for that go on.
    pub(super) fn on_learned(&self, source: &str) {
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
        let parked = self.join.parked.borrow_mut().take();
        for (question, asker) in parked {
            // An asker that has given up asks again.
            let _gone = asker.send(self.decide_join(&question));
        }
    }

    /// Waits a short while for what this host needs to serve, if it has just started. Without it all
    /// requests of the first tenths of a second are refused, and callers come back but once or twice.
    pub(super) async fn wait_for_knowledge(&self) {
        if self.join.complete.get() || !self.is_starting() {
            return;
        }
        let completed = self.join.completed.notified();
        // Whether it came is seen where it is needed.
        let _elapsed = tokio::time::timeout(time::Duration::from_millis(WAIT_MS), completed).await;
    }

    /// Whether this host has just started and is about to learn what it needs to serve, or has just done.
    pub(super) fn is_starting(&self) -> bool {
        !self.is_leaving() && self.now().0 <= STARTING_MS
    }

    fn decide_join(&self, question: &JoinQuestion) -> JoinDecision {
        let bytes = self.written_snapshot().map_or(0, |written| written.len());
        let link_mbps = self.settings().link_mbps;
        let now = self.now();
        let mut role = self.join.role.borrow_mut();
        role.decide(question, bytes, link_mbps, now)
    }

    /// All that another host may want to know, as it is sent: written once for many.
    ///
    /// # Errors
    /// `Malformed` when it cannot be written.
    pub fn written_snapshot(&self) -> Result<Bytes, PeerFormatError> {
        let now = self.now();
        let state = self.snapshot_state();
        let mut written = self.join.written.borrow_mut();
        if let Some(written) = &*written
            && written.state == state
            && now.since(written.at) < WRITTEN_VALID_MS
        {
            return Ok(written.bytes.clone());
        }
        let snapshot = self.snapshot();
        // How long those are kept is told as a rest, which shrinks.
        let is_fixed = snapshot.kept.is_empty();
        let answer = JoinAnswer::Snapshot(PackedSnapshot::from_snapshot(&snapshot)?);
        let bytes = Bytes::from(peer_message::to_bytes(&answer)?);
        *written = is_fixed.then(|| WrittenSnapshot {
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

    /// Gives memory back that is needed only while others start.
    pub(super) fn forget_written_snapshot(&self) {
        let now = self.now();
        let mut written = self.join.written.borrow_mut();
        let is_old = |written: &WrittenSnapshot| now.since(written.at) >= WRITTEN_VALID_MS;
        if written.as_ref().is_some_and(is_old) {
            *written = None;
        }
    }
}

/// Answers a host that starts; `None` if this one can't, for now.
pub(super) async fn answer<W: WireProtocol>(
    host: &EntryHost<W>,
    body: Incoming,
) -> Option<Result<Bytes, PeerFormatError>> {
    let body = Limited::new(body, MAX_QUESTION_BYTES).collect().await;
    let question = match peer_message::from_bytes::<JoinQuestion>(&body.ok()?.to_bytes()) {
        Ok(question) => question,
        Err(fault) => {
            host.log_malformed_message("a host that starts", &fault);
            return None;
        }
    };
    on_asker(host, &question);
    let decision = if host.is_ready() {
        host.decide_join(&question)
    } else {
        park(host, question).await?
    };
    match decision {
        JoinDecision::Serve => Some(host.written_snapshot()),
        JoinDecision::Ask(address) => {
            let written = peer_message::to_bytes(&JoinAnswer::Ask(address));
            Some(written.map(Bytes::from))
        }
    }
}

/// A host that asks is met; the others are told, unless they know this run of it.
fn on_asker<W: WireProtocol>(host: &EntryHost<W>, question: &JoinQuestion) {
    let record = &question.record;
    if host.peers.borrow().run_of(&record.name) < record.run {
        host_gossip::add_hosts(host, std::slice::from_ref(record));
        host.join.on_met(record.clone());
    }
}

/// Tells others of the hosts that have asked since the last time.
pub(super) fn spread_met<W: WireProtocol>(host: &EntryHost<W>) {
    let met = host.join.met.take();
    host_gossip::broadcast_host_update(host, &met, &[]);
}

async fn park<W: WireProtocol>(
    host: &EntryHost<W>,
    question: JoinQuestion,
) -> Option<JoinDecision> {
    let (asker, decision) = oneshot::channel();
    let parked = host.join.parked.borrow_mut().park(question, asker);
    parked.ok()?;
    tokio::time::timeout(PARK_LIMIT, decision).await.ok()?.ok()
}
