//! This host's part in keeping requests from servers that would end under them: it joins the decisions of
//! [`super::quarantine`] to sockets, clock and store.
//!
//! Here losses become suspects and suspects are told to others; [`store`] writes and reads what is barred.

mod store;

use std::{cell, collections, net, rc};

use serde_json::json;
use tokio::sync::Notify;

use super::exchange::ServerAnswer;
use super::fingerprint::RequestFingerprint;
use super::fleet_server::FleetServer;
use super::gossip;
use super::host::EntryHost;
use super::open_request::OpenRequest;
use super::peer_message::PeerMessage;
use super::pool::{self, ConnectFault};
use super::quarantine::message::{QuarantineDigest, QuarantineMessage, ServerEnd, SuspectRecord};
use super::quarantine::table::{QuarantineTable, SuspectChange, SuspectState};
use super::quarantine::{KEEPERS, MAX_SUSPECTS, RECORDS_PER_DATAGRAM, REQUESTS_PER_DATAGRAM};
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

use self::store::StoreTask;
pub(super) use self::store::spawn;

/// Who tells of suspects that were read in the store.
const STORE_SOURCE: &str = "store";

/// Whether a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SuspectAdmission {
    /// As any other.
    Free,
    /// To one server, which shows whether it ends that too.
    Trial,
    /// To none.
    Barred,
}

/// What this host knows of requests under which servers ended.
#[derive(Debug, Default)]
pub struct QuarantineRole {
    table: cell::RefCell<QuarantineTable>,
    /// Requests whose connections to a server broke, until it is known whether the server has ended.
    broken: cell::RefCell<collections::HashMap<String, Vec<RequestFingerprint>>>,
    /// Whether what the store holds is known, from there or from another host.
    read: cell::Cell<bool>,
    to_store: cell::RefCell<Vec<StoreTask>>,
    has_store_task: Notify,
}

impl QuarantineRole {
    /// What other hosts are told in each heartbeat.
    pub(super) fn digest(&self) -> QuarantineDigest {
        self.table.borrow().digest()
    }

    /// All that other hosts must know.
    pub(super) fn records(&self, now: Moment) -> Vec<SuspectRecord> {
        self.table.borrow().records(now)
    }

    /// The same for a host that starts; `None` while this one may lack what the store holds.
    pub(super) fn told_records(&self, now: Moment) -> Option<Vec<SuspectRecord>> {
        self.read.get().then(|| self.records(now))
    }

    /// What the store holds is known.
    pub(super) fn on_read(&self) {
        self.read.set(true);
    }

    /// Requests that are sent to no server.
    pub(super) fn barred_count(&self) -> usize {
        self.table.borrow().barred_count()
    }

    /// All that is known of a request that is kept from servers.
    fn barred_record(&self, fingerprint: RequestFingerprint, now: Moment) -> Option<SuspectRecord> {
        if !self.table.borrow().is_barred(fingerprint) {
            return None;
        }
        let mut records = self.records(now).into_iter();
        records.find(|record| record.fingerprint == fingerprint)
    }

    /// Forgets what is old.
    pub(super) fn on_tick(&self, now: Moment) {
        self.table.borrow_mut().on_tick(now);
    }

    /// The connection of a request to a server broke; returns whether it is the first of that server.
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

    fn push_store_task(&self, task: StoreTask) {
        self.to_store.borrow_mut().push(task);
        self.has_store_task.notify_one();
    }
}

/// The connection to `server` broke under a request. One more is tried at once: a server that refuses it has
/// ended, and one that takes it gets its next request over it.
pub(super) fn on_broken<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    server: &rc::Rc<FleetServer>,
    fingerprint: RequestFingerprint,
) {
    if host.quarantine.on_broken(&server.id, fingerprint) {
        let probe = look_after(rc::Rc::clone(host), rc::Rc::clone(server));
        tokio::task::spawn_local(probe);
    }
}

async fn look_after<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, server: rc::Rc<FleetServer>) {
    let limit = host.distances.borrow().connect_limit(&server.region);
    let connected = pool::connect(&server, limit).await;
    let requests = host.quarantine.take_broken(&server.id);
    match connected {
        Ok(sender) if server.takes_work() => {
            let mut pool = host.pool.borrow_mut();
            pool.put(&server.id, sender, None, host.now());
        }
        // It runs, or cannot be reached from here: what broke says nothing about the requests.
        Ok(_) | Err(ConnectFault::Silent) => {}
        Err(ConnectFault::Refused) => {
            host.on_server_unreachable(&server);
            host.on_server_ended(&server, &requests);
        }
    }
}

/// Another host speaks of suspects.
pub(super) fn on_message<W: WireProtocol>(host: &EntryHost<W>, message: &QuarantineMessage) {
    match message {
        QuarantineMessage::Ended(end) => {
            let _counted = host.count_ends(end);
        }
        QuarantineMessage::Records(records) => host.on_suspects_told(records, "peer"),
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Whether a request may be sent to servers now.
    pub(super) fn admit_suspect(&self, open: &OpenRequest) -> SuspectAdmission {
        let mut table = self.quarantine.table.borrow_mut();
        if !table.has_told() {
            return SuspectAdmission::Free;
        }
        let fingerprint = open.fingerprint();
        if !table.is_barred(fingerprint) {
            return SuspectAdmission::Free;
        }
        let now = self.now();
        table.on_refused(fingerprint, now);
        if !self.tries_barred(fingerprint, now) {
            return SuspectAdmission::Barred;
        }
        let Some(record) = table.try_barred(fingerprint, now) else {
            return SuspectAdmission::Barred;
        };
        drop(table);
        self.note_suspect(EventCode::RequestTried, &record, "timer");
        self.tell_all(&[record]);
        SuspectAdmission::Trial
    }

    /// Whether the trials of a barred request are this host's: one host takes them all, the first that counts
    /// its ends, and only one that knows all others.
    fn tries_barred(&self, fingerprint: RequestFingerprint, now: Moment) -> bool {
        let peers = self.peers.borrow();
        peers.is_listed()
            && !self.is_leaving()
            && peers.is_first_keeper(&self.record(), fingerprint, now)
    }

    /// Whether a request is kept from servers.
    pub(super) fn is_barred(&self, open: &OpenRequest) -> bool {
        let table = self.quarantine.table.borrow();
        table.has_told() && table.is_barred(open.fingerprint())
    }

    /// A server answered a request: with a whole success, other servers did not end under it.
    pub(super) fn on_success(&self, open: &OpenRequest, answer: &ServerAnswer) {
        let is_whole_success = answer.head.status.is_success() && answer.rest.is_none();
        if !is_whole_success || !self.quarantine.table.borrow().has_told() {
            return;
        }
        let fingerprint = open.fingerprint();
        let mut table = self.quarantine.table.borrow_mut();
        let before = table.state_of(fingerprint);
        let change = table.on_success(fingerprint, self.now());
        drop(table);
        if let SuspectChange::Tell(record) = change {
            self.note_suspect(EventCode::RequestCleared, &record, "answer");
            if before == Some(SuspectState::Barred) {
                let name = fingerprint.to_string();
                self.quarantine.push_store_task(StoreTask::Remove(name));
            }
            self.tell_all(&[record]);
        }
    }

    /// A server ended with these requests of this host in hand.
    fn on_server_ended(&self, server: &FleetServer, requests: &[RequestFingerprint]) {
        self.metrics.borrow_mut().servers_crashed += 1;
        let named = requests.iter().take(REQUESTS_PER_DATAGRAM);
        let named: Vec<String> = named.map(ToString::to_string).collect();
        let fields = json!({ "server": server.id, "count": requests.len(), "requests": named });
        self.note(EventCode::ServerEnded, fields);
        for part in requests.chunks(REQUESTS_PER_DATAGRAM) {
            let end = ServerEnd {
                server: server.hash,
                requests: part.to_vec(),
            };
            let counted = self.count_ends(&end);
            self.tell_keepers(server.hash, &counted);
        }
    }

    /// Counts a server's end for each request that it had in hand, and tells all hosts of those that they must
    /// know. Returns the others.
    fn count_ends(&self, end: &ServerEnd) -> Vec<RequestFingerprint> {
        let now = self.now();
        let mut counted = Vec::new();
        let mut told = Vec::new();
        for fingerprint in &end.requests {
            let mut table = self.quarantine.table.borrow_mut();
            match table.on_ended(*fingerprint, end.server, now) {
                SuspectChange::None => {}
                SuspectChange::Counted => counted.push(*fingerprint),
                SuspectChange::Tell(record) => told.push(record),
            }
        }
        for record in &told {
            self.on_suspect(record, "count");
        }
        self.tell_all(&told);
        counted
    }

    /// This host counted a suspect that all must know.
    fn on_suspect(&self, record: &SuspectRecord, source: &str) {
        let state = self.quarantine.table.borrow().state_of(record.fingerprint);
        if state == Some(SuspectState::Barred) {
            self.note_suspect(EventCode::RequestBarred, record, source);
            let task = StoreTask::Write(record.clone());
            self.quarantine.push_store_task(task);
        }
    }

    /// Another host, or the store, tells what it knows.
    pub(super) fn on_suspects_told(&self, records: &[SuspectRecord], source: &str) {
        let now = self.now();
        for record in records {
            let mut table = self.quarantine.table.borrow_mut();
            let was_barred = table.is_barred(record.fingerprint);
            if !table.on_told(record, now) {
                continue;
            }
            let state = table.state_of(record.fingerprint);
            drop(table);
            match state {
                Some(SuspectState::Barred) => {
                    self.note_suspect(EventCode::RequestBarred, record, source);
                    // Nobody has counted the last end where the words of several hosts make the bar.
                    if !was_barred && source != STORE_SOURCE {
                        self.write_if_first(record.fingerprint);
                    }
                }
                Some(SuspectState::Cleared) => {
                    self.note_suspect(EventCode::RequestCleared, record, source);
                }
                Some(SuspectState::Counted | SuspectState::Known) | None => {}
            }
        }
    }

    fn note_suspect(&self, event: EventCode, record: &SuspectRecord, source: &str) {
        let fields = json!({
            "fingerprint": record.fingerprint.to_string(),
            "servers_ended": record.ended.len(),
            "source": source,
        });
        self.note(event, fields);
    }

    fn tell_all(&self, records: &[SuspectRecord]) {
        if records.is_empty() {
            return;
        }
        let targets: Vec<net::SocketAddr> = {
            let peers = self.peers.borrow();
            let records = peers.records();
            records.map(|record| record.heartbeat_address).collect()
        };
        for part in records.chunks(RECORDS_PER_DATAGRAM) {
            let message = QuarantineMessage::Records(part.to_vec());
            gossip::send(self, &PeerMessage::Quarantine(message), &targets);
        }
    }

    /// Tells the hosts that count of ends that this one counts alone so far; those with the same hosts share a
    /// datagram.
    fn tell_keepers(&self, server: u64, requests: &[RequestFingerprint]) {
        let mut by_keeper: collections::BTreeMap<net::SocketAddr, Vec<RequestFingerprint>> =
            collections::BTreeMap::new();
        let now = self.now();
        let peers = self.peers.borrow();
        for fingerprint in requests {
            for keeper in peers.suspect_keepers(*fingerprint, KEEPERS, now) {
                by_keeper.entry(keeper).or_default().push(*fingerprint);
            }
        }
        drop(peers);
        for (keeper, requests) in by_keeper {
            let message = QuarantineMessage::Ended(ServerEnd { server, requests });
            gossip::send(self, &PeerMessage::Quarantine(message), &[keeper]);
        }
    }
}
