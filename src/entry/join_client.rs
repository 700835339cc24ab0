//! The requesting side of joining: gets a snapshot from another host at the start.
//!
//! The host asks the seed that it connects to first, which is usually the nearest one, then the
//! registered hosts of its hall, and any host that advertises itself as ready. The first answer is
//! used.

use std::{net, rc, time};

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use serde_json::json;

use super::announcements;
use super::catch_up;
use super::gossip;
use super::host::EntryHost;
use super::host_gossip;
use super::join;
use super::join_role::{JoinRequest, MAX_HOPS};
use super::peer_message::{self, JoinAnswer, PeerHeartbeat, PeerSnapshot};
use super::store::{ObjectStore, StoreFault};
use super::wire::WireProtocol;
use crate::client_sender::ClientSender;
use crate::event::EventCode;
use crate::http_client;
use crate::request_body::RequestBody;

/// The longest pause between two rounds of join requests, in milliseconds; the shortest is half of
/// it. A process that starts at the same time listens within about ten milliseconds.
const MAX_ROUND_PAUSE_MS: u64 = 60;
/// Timeout for opening a connection. The round trip between the most distant regions takes 70 ms.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Timeout for an answer: the time for which the other host holds a request and the transfer over a
/// slow link.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_300);
/// If the first host has not answered by then, a second one is asked as well, since the first may
/// hang.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(500);
/// A starting host looks up registered hosts in the store after a random delay in this range, in
/// milliseconds. By then a running seed has answered, and the delay spreads the calls of 295 hosts
/// that start at once.
const STORE_LOOKUP_DELAY_MS: std::ops::Range<u64> = 30..80;
/// Known hosts that are asked in addition to the seeds when no seed helped.
const MAX_OTHER_SOURCES: usize = 3;
/// The largest answer, in bytes: some thousand servers and some thousand routes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Starts the tasks that send join requests.
pub(super) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(run(rc::Rc::clone(host)));
    tokio::task::spawn_local(ask_registered_hosts(
        rc::Rc::clone(host),
        rc::Rc::clone(store),
    ));
}

/// Asks the registered hosts of the own hall if no seed has helped by then: the seeds may start
/// last, or not at all. When 295 hosts returned at once, this reduced the store calls from 1,729 to
/// 1,414. It saved no time: half of the hosts were complete after 0.52 s with and without it.
async fn ask_registered_hosts<W: WireProtocol, S: ObjectStore>(
    host: rc::Rc<EntryHost<W>>,
    store: rc::Rc<S>,
) {
    let pause_ms = host.random.borrow_mut().random_range(STORE_LOOKUP_DELAY_MS);
    tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    // On the first start of the system there are no entries.
    if host.is_ready() || host.settings().first_start {
        return;
    }
    let listed = tokio::time::timeout(ANSWER_TIMEOUT, store.list_hosts_stale()).await;
    match listed.unwrap_or(Err(StoreFault::Unreachable)) {
        Ok(records) => host_gossip::add_hosts(&host, &records),
        Err(fault) => {
            let fields =
                json!({ "kind": "hosts", "call": "stale list", "result": fault.to_string() });
            host.log_event(EventCode::PlatformLost, fields);
            return;
        }
    }
    let own = host.record();
    while !host.is_ready() && !host.is_leaving() && host.is_starting() {
        let registered = host.peers.borrow().registered_hall_hosts(&own);
        join_once(&host, &registered).await;
        tokio::time::sleep(time::Duration::from_millis(MAX_ROUND_PAUSE_MS)).await;
    }
}

/// Sends join requests until this host can serve, whichever host sends the state.
async fn run<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut failed_source = None;
    while !host.is_ready() && !host.is_leaving() {
        let sources = sources_of(&host, failed_source);
        failed_source = join_once(&host, &sources).await;
        if failed_source.is_some() {
            host.join.has_reached_peer.set(false);
        }
        if host.is_ready() {
            break;
        }
        let longest = MAX_ROUND_PAUSE_MS;
        let pause_ms = host.random.borrow_mut().random_range(longest / 2..=longest);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    }
    gossip::introduce(&host);
}

/// Sends a join request to a host that advertises itself as ready, while this host is not.
pub(super) fn on_ready_peer<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    heartbeat: &PeerHeartbeat,
) {
    if host.join.complete.get() || host.join.is_asking_ready_peer.get() {
        return;
    }
    let Some(source) = host.peers.borrow().peer_address(&heartbeat.host) else {
        return;
    };
    host.join.is_asking_ready_peer.set(true);
    let host = rc::Rc::clone(host);
    tokio::task::spawn_local(async move {
        let asked = join_once(&host, &[source]).await;
        host.join.is_asking_ready_peer.set(false);
        if asked.is_none() && host.is_ready() {
            announce_to_region(&host, source);
        }
    });
}

/// Announces to the own region that this host can serve, if its snapshot came from another region:
/// it is then among the first of its region.
fn announce_to_region<W: WireProtocol>(host: &EntryHost<W>, source: net::SocketAddr) {
    let region = host.settings().region.clone();
    let is_local = host.peers.borrow().is_in_region(source, &region);
    if !is_local {
        announcements::announce_start(host);
    }
}

/// The seeds except the one that has just failed. After a failure some other known hosts are
/// included.
fn sources_of<W: WireProtocol>(
    host: &EntryHost<W>,
    failed_source: Option<net::SocketAddr>,
) -> Vec<net::SocketAddr> {
    let settings = host.settings();
    let mut sources = settings.seeds.clone();
    if failed_source.is_some() {
        let peers = host.peers.borrow();
        let others = peers.records().map(|peer| peer.peer_address);
        let mut random = host.random.borrow_mut();
        sources.extend(others.choose_multiple(&mut *random, MAX_OTHER_SOURCES));
    }
    sources.retain(|source| *source != settings.peer_address && Some(*source) != failed_source);
    sources
}

/// Asks the first of `sources` that accepts a connection, and a second one if the answer takes
/// long. Returns the host that was reached and did not help.
async fn join_once<W: WireProtocol>(
    host: &EntryHost<W>,
    sources: &[net::SocketAddr],
) -> Option<net::SocketAddr> {
    tokio::select! {
        failed = ask_first(host, sources) => failed,
        // The state came from any host.
        () = host.join.completed.notified() => None,
    }
}

async fn ask_first<W: WireProtocol>(
    host: &EntryHost<W>,
    sources: &[net::SocketAddr],
) -> Option<net::SocketAddr> {
    let (source, sender) = connect_first(sources).await?;
    host.join.has_reached_peer.set(true);
    let mut first = std::pin::pin!(follow_redirects(host, source, sender));
    let first_result = tokio::time::timeout(HEDGE_DELAY, first.as_mut()).await;
    if let Ok(result) = first_result {
        return result.err();
    }
    let second = async {
        let others: Vec<_> = sources
            .iter()
            .copied()
            .filter(|other| *other != source)
            .collect();
        let (other, sender) = connect_first(&others).await.ok_or(source)?;
        follow_redirects(host, other, sender).await
    };
    tokio::select! {
        Ok(()) = first => None,
        Ok(()) = second => None,
        else => Some(source),
    }
}

/// Connects to all of `sources` at once and keeps the first connection that opens.
async fn connect_first(sources: &[net::SocketAddr]) -> Option<(net::SocketAddr, ClientSender)> {
    let mut opening: FuturesUnordered<_> = sources
        .iter()
        .map(|source| async move {
            (
                *source,
                http_client::connect(*source, CONNECT_TIMEOUT).await,
            )
        })
        .collect();
    while let Some((source, opened)) = opening.next().await {
        if let Ok(sender) = opened {
            return Some((source, sender));
        }
    }
    None
}

/// Sends a join request over an open connection and follows redirects until a host sends a
/// snapshot.
///
/// # Errors
/// The host that did not answer.
async fn follow_redirects<W: WireProtocol>(
    host: &EntryHost<W>,
    first: net::SocketAddr,
    sender: ClientSender,
) -> Result<(), net::SocketAddr> {
    let mut source = first;
    let mut sender = sender;
    for hops in 0..=MAX_HOPS {
        match send_join_request(host, source, sender, hops)
            .await
            .ok_or(source)?
        {
            JoinAnswer::Snapshot(packed) => {
                let snapshot = packed.snapshot().ok_or(source)?;
                apply_snapshot(host, &snapshot, source);
                return Ok(());
            }
            JoinAnswer::Ask(other) => {
                source = other;
                let opened = http_client::connect(other, CONNECT_TIMEOUT).await;
                sender = opened.map_err(|_fault| first)?;
            }
        }
    }
    Err(source)
}

fn apply_snapshot<W: WireProtocol>(
    host: &EntryHost<W>,
    snapshot: &PeerSnapshot,
    source: net::SocketAddr,
) {
    // Another source may have answered first.
    if !host.is_ready() {
        catch_up::apply_snapshot(host, snapshot, source);
    }
}

async fn send_join_request<W: WireProtocol>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
    mut sender: ClientSender,
    hops: u8,
) -> Option<JoinAnswer> {
    let join_request = JoinRequest {
        record: host.record(),
        link_mbps: host.settings().link_mbps,
        hops,
    };
    let bytes = peer_message::to_bytes(&join_request).ok()?;
    let request = http::Request::post(join::JOIN_PATH)
        .header(http::header::HOST, "peer")
        .body(RequestBody::from(Bytes::from(bytes)))
        .ok()?;
    let exchange = http_client::read_answer(&mut sender, request, MAX_ANSWER_BYTES);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    let Ok(Ok(answer)) = answer else {
        let fields = json!({ "peer": source.to_string(), "path": join::JOIN_PATH });
        host.log_event(EventCode::PeerSilent, fields);
        return None;
    };
    if !answer.status.is_success() {
        return None;
    }
    match peer_message::from_bytes(&answer.body) {
        Ok(answer) => Some(answer),
        Err(fault) => {
            host.log_malformed_message(&source.to_string(), &fault);
            None
        }
    }
}
