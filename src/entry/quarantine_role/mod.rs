//! Runs the request quarantine on an entry host: connects the decisions of [`super::quarantine`] to
//! sockets, clock and store.
//!
//! This module detects server crashes, records suspects and announces them to other hosts.
//! [`store`] reads and writes blocked requests.

mod store;

use std::{cell, collections, net, rc, time};

use serde_json::json;
use tokio::sync::Notify;

use super::fingerprint::RequestFingerprint;
use super::fleet_server::FleetServer;
use super::gossip;
use super::host::EntryHost;
use super::open_request::OpenRequest;
use super::peer_message::PeerMessage;
use super::pool::ConnectFault;
use super::quarantine::message::{QuarantineDigest, QuarantineMessage, ServerCrash, SuspectRecord};
use super::quarantine::table::{QuarantineTable, SuspectChange, SuspectState};
use super::quarantine::{
    MAX_RECORDS_PER_DATAGRAM, MAX_REQUESTS_PER_DATAGRAM, MAX_SUSPECTS, TRACKERS_PER_SUSPECT,
};
use super::server_answer::ServerAnswer;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

use self::store::StoreTask;
pub(super) use self::store::spawn;

/// How long a crash stays in doubt while this host reaches no server, in milliseconds.
const MAX_DOUBT_MS: u64 = 20_000;
/// How often a host checks whether it reaches a server again.
const DOUBT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// The source, in events, of suspects that were read from the store.
const STORE_SOURCE: &str = "store";

/// Whether a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SuspectAdmission {
    /// The request is not blocked.
    Allowed,
    /// The request is blocked, and this host probes one server with it.
    Probe,
    /// The request is blocked and must not be sent.
    Blocked,
}

/// The quarantine state of this host.
#[derive(Debug, Default)]
pub struct QuarantineRole {
    table: cell::RefCell<QuarantineTable>,
    /// Requests whose connection broke, by server, until it is checked whether that server has
    /// crashed.
    broken: cell::RefCell<collections::HashMap<String, Vec<RequestFingerprint>>>,
    /// Whether the stored suspects are known, from the store or from another host.
    is_loaded: cell::Cell<bool>,
    pending_store_tasks: cell::RefCell<Vec<StoreTask>>,
    has_store_task: Notify,
}

impl QuarantineRole {
    /// The digest that is sent in each heartbeat.
    pub(super) fn digest(&self) -> QuarantineDigest {
        self.table.borrow().digest()
    }

    /// The records of all suspects that every host must know.
    pub(super) fn records(&self, now: Moment) -> Vec<SuspectRecord> {
        self.table.borrow().records(now)
    }

    /// The records for a starting host; `None` while this host may be missing stored suspects.
    pub(super) fn snapshot_records(&self, now: Moment) -> Option<Vec<SuspectRecord>> {
        self.is_loaded.get().then(|| self.records(now))
    }

    /// Marks the stored suspects as known.
    pub(super) fn on_loaded(&self) {
        self.is_loaded.set(true);
    }

    /// Number of blocked requests.
    pub(super) fn blocked_count(&self) -> usize {
        self.table.borrow().blocked_count()
    }

    /// The record of a request, if it is blocked.
    fn blocked_record(
        &self,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> Option<SuspectRecord> {
        if !self.table.borrow().is_blocked(fingerprint) {
            return None;
        }
        let mut records = self.records(now).into_iter();
        records.find(|record| record.fingerprint == fingerprint)
    }

    /// Removes expired suspects.
    pub(super) fn on_tick(&self, now: Moment) {
        self.table.borrow_mut().on_tick(now);
    }

    /// Records that the connection to `server` broke with a request in flight. Returns whether no
    /// other request of that server is recorded yet.
    fn on_broken(&self, server: &str, fingerprint: RequestFingerprint) -> bool {
        let mut broken = self.broken.borrow_mut();
        if let Some(requests) = broken.get_mut(server) {
            requests.push(fingerprint);
            return false;
        }
        broken.insert(server.to_owned(), vec![fingerprint]);
        true
    }

    fn take_broken(&self, server: &str) -> Vec<RequestFingerprint> {
        let broken = self.broken.borrow_mut().remove(server);
        let mut requests = broken.unwrap_or_default();
        requests.sort_unstable();
        requests.dedup();
        requests.truncate(MAX_SUSPECTS);
        requests
    }

    fn queue_store_task(&self, task: StoreTask) {
        self.pending_store_tasks.borrow_mut().push(task);
        self.has_store_task.notify_one();
    }
}

/// Handles a connection to `server` that broke with a request in flight. It reconnects immediately:
/// a server that refuses the connection has crashed, and one that accepts it gets its next request
/// over it.
pub(super) fn on_broken<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    server: &rc::Rc<FleetServer>,
    fingerprint: RequestFingerprint,
) {
    if host.quarantine.on_broken(&server.id, fingerprint) {
        let check = check_server(rc::Rc::clone(host), rc::Rc::clone(server));
        tokio::task::spawn_local(check);
    }
}

async fn check_server<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, server: rc::Rc<FleetServer>) {
    let connected = host.open_connection(&server).await;
    let requests = host.quarantine.take_broken(&server.id);
    match connected {
        Ok(connection) if server.takes_work() => {
            let mut pool = host.pool.borrow_mut();
            pool.put(&server.id, connection, None, host.now());
        }
        // The server is running, or is not reachable from here: neither incriminates the requests.
        Ok(_) => {}
        Err(ConnectFault::Unreachable) => host.on_connection_failed(&server),
        Err(ConnectFault::Refused) => {
            host.on_connection_failed(&server);
            host.on_server_unreachable(&server);
            if has_crashed(&host, &server).await {
                host.on_server_crashed(&server, &requests);
            } else {
                host.log_unconfirmed_crash(&server, &requests);
            }
        }
    }
}

/// Decides whether a server that refuses connections has crashed. If this host reaches no other
/// server there either, its own link may have failed. It then waits until it reaches one, and tries
/// the server again. One that is no longer listed may have left meanwhile.
async fn has_crashed<W: WireProtocol>(host: &EntryHost<W>, server: &FleetServer) -> bool {
    if host.reaches_neighbour(server).await {
        return true;
    }
    let refused = host.now();
    while !host.reaches_neighbour(server).await {
        if host.now().since(refused) > MAX_DOUBT_MS {
            return false;
        }
        tokio::time::sleep(DOUBT_CHECK_INTERVAL).await;
    }
    server.takes_work()
        && matches!(
            host.open_connection(server).await,
            Err(ConnectFault::Refused)
        )
}

/// Handles a message about suspects from another host.
pub(super) fn on_message<W: WireProtocol>(host: &EntryHost<W>, message: &QuarantineMessage) {
    match message {
        QuarantineMessage::Crashed(crash) => {
            let _unannounced = host.record_crash(crash);
        }
        QuarantineMessage::Records(records) => host.on_suspect_records(records, "peer"),
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Decides whether a request may be sent to servers now. Takes a probe that is due.
    pub(super) fn admit_suspect(&self, open: &OpenRequest) -> SuspectAdmission {
        let mut table = self.quarantine.table.borrow_mut();
        if !table.has_announced() {
            return SuspectAdmission::Allowed;
        }
        let fingerprint = open.fingerprint();
        if !table.is_blocked(fingerprint) {
            return SuspectAdmission::Allowed;
        }
        let now = self.now();
        table.on_refused(fingerprint, now);
        if !self.may_probe(fingerprint, now) {
            return SuspectAdmission::Blocked;
        }
        let Some(record) = table.take_probe(fingerprint, now) else {
            return SuspectAdmission::Blocked;
        };
        drop(table);
        self.log_suspect(EventCode::RequestTried, &record, "timer");
        self.announce_records(&[record]);
        SuspectAdmission::Probe
    }

    /// Returns whether this host probes a blocked request. Only the first of its suspect trackers
    /// does, provided that it knows the list of all hosts and is not leaving.
    fn may_probe(&self, fingerprint: RequestFingerprint, now: Moment) -> bool {
        let peers = self.peers.borrow();
        peers.is_membership_complete()
            && !self.is_leaving()
            && self.reaches_servers()
            && peers.is_first_tracker(&self.record(), fingerprint, now)
    }

    /// Returns whether a request is blocked.
    pub(super) fn is_blocked(&self, open: &OpenRequest) -> bool {
        let table = self.quarantine.table.borrow();
        table.has_announced() && table.is_blocked(open.fingerprint())
    }

    /// Clears a suspect when a server has answered it with a complete, successful response.
    pub(super) fn on_success(&self, open: &OpenRequest, answer: &ServerAnswer) {
        let is_whole_success = answer.head.status.is_success() && answer.remaining.is_none();
        if !is_whole_success || !self.quarantine.table.borrow().has_announced() {
            return;
        }
        let fingerprint = open.fingerprint();
        let mut table = self.quarantine.table.borrow_mut();
        let before = table.state_of(fingerprint);
        let change = table.on_success(fingerprint, self.now());
        drop(table);
        if let SuspectChange::Announce(record) = change {
            self.log_suspect(EventCode::RequestCleared, &record, "answer");
            if before == Some(SuspectState::Blocked) {
                let name = fingerprint.to_string();
                self.quarantine.queue_store_task(StoreTask::Remove(name));
            }
            self.announce_records(&[record]);
        }
    }

    /// Handles a crash of a server on which `requests` of this host were in flight.
    fn on_server_crashed(&self, server: &FleetServer, requests: &[RequestFingerprint]) {
        self.metrics.borrow_mut().servers_crashed += 1;
        self.log_crash(EventCode::ServerEnded, server, requests);
        for chunk in requests.chunks(MAX_REQUESTS_PER_DATAGRAM) {
            let crash = ServerCrash {
                server: server.hash,
                requests: chunk.to_vec(),
            };
            let unannounced = self.record_crash(&crash);
            self.send_to_trackers(server.hash, &unannounced);
        }
    }

    fn log_unconfirmed_crash(&self, server: &FleetServer, requests: &[RequestFingerprint]) {
        self.log_crash(EventCode::ServerEndDoubted, server, requests);
    }

    fn log_crash(&self, event: EventCode, server: &FleetServer, requests: &[RequestFingerprint]) {
        let listed = requests.iter().take(MAX_REQUESTS_PER_DATAGRAM);
        let listed: Vec<String> = listed.map(ToString::to_string).collect();
        let fields = json!({ "server": server.id, "count": requests.len(), "requests": listed });
        self.log_event(event, fields);
    }

    /// Records a server's crash for each request that was in flight on it, and announces the
    /// suspects that all hosts must know. Returns the requests that only their suspect trackers
    /// need to know.
    fn record_crash(&self, crash: &ServerCrash) -> Vec<RequestFingerprint> {
        let now = self.now();
        let mut unannounced = Vec::new();
        let mut announced = Vec::new();
        for fingerprint in &crash.requests {
            let mut table = self.quarantine.table.borrow_mut();
            match table.on_crash(*fingerprint, crash.server, now) {
                SuspectChange::None => {}
                SuspectChange::Tracked => unannounced.push(*fingerprint),
                SuspectChange::Announce(record) => announced.push(record),
            }
        }
        for record in &announced {
            self.on_announced_suspect(record, "count");
        }
        self.announce_records(&announced);
        unannounced
    }

    /// Logs a suspect that this host found to be blocked and queues it for the store.
    fn on_announced_suspect(&self, record: &SuspectRecord, source: &str) {
        let state = self.quarantine.table.borrow().state_of(record.fingerprint);
        if state == Some(SuspectState::Blocked) {
            self.log_suspect(EventCode::RequestBarred, record, source);
            let task = StoreTask::Write(record.clone());
            self.quarantine.queue_store_task(task);
        }
    }

    /// Merges records from another host or the store.
    pub(super) fn on_suspect_records(&self, records: &[SuspectRecord], source: &str) {
        let now = self.now();
        for record in records {
            let mut table = self.quarantine.table.borrow_mut();
            let was_blocked = table.is_blocked(record.fingerprint);
            if !table.on_record(record, now) {
                continue;
            }
            let state = table.state_of(record.fingerprint);
            drop(table);
            match state {
                Some(SuspectState::Blocked) => {
                    self.log_suspect(EventCode::RequestBarred, record, source);
                    // When the limit is reached only by merging the records of several hosts, no
                    // host has recorded the last crash and written the request to the store.
                    if !was_blocked && source != STORE_SOURCE {
                        self.write_if_first(record.fingerprint);
                    }
                }
                Some(SuspectState::Cleared) => {
                    self.log_suspect(EventCode::RequestCleared, record, source);
                }
                Some(SuspectState::Tracked | SuspectState::Announced) | None => {}
            }
        }
    }

    fn log_suspect(&self, event: EventCode, record: &SuspectRecord, source: &str) {
        let fields = json!({
            "fingerprint": record.fingerprint.to_string(),
            "servers_ended": record.crashed_servers.len(),
            "source": source,
        });
        self.log_event(event, fields);
    }

    fn announce_records(&self, records: &[SuspectRecord]) {
        if records.is_empty() {
            return;
        }
        let targets: Vec<net::SocketAddr> = {
            let peers = self.peers.borrow();
            let records = peers.records();
            records.map(|record| record.heartbeat_address).collect()
        };
        for chunk in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            let message = QuarantineMessage::Records(chunk.to_vec());
            gossip::send(self, &PeerMessage::Quarantine(message), &targets);
        }
    }

    /// Sends crashes that are not announced to all hosts to the suspect trackers of each request.
    /// Requests with the same tracker share a datagram.
    fn send_to_trackers(&self, server: u64, requests: &[RequestFingerprint]) {
        let mut by_tracker: collections::BTreeMap<net::SocketAddr, Vec<RequestFingerprint>> =
            collections::BTreeMap::new();
        let now = self.now();
        let peers = self.peers.borrow();
        for fingerprint in requests {
            for tracker in peers.suspect_trackers(*fingerprint, TRACKERS_PER_SUSPECT, now) {
                by_tracker.entry(tracker).or_default().push(*fingerprint);
            }
        }
        drop(peers);
        for (tracker, requests) in by_tracker {
            let message = QuarantineMessage::Crashed(ServerCrash { server, requests });
            gossip::send(self, &PeerMessage::Quarantine(message), &[tracker]);
        }
    }
}
