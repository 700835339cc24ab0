//! What entry hosts say to each other: heartbeats over UDP, whole snapshots over HTTP.
//!
//! A heartbeat tells how current its host is. A host that has fallen behind and stays so fetches a
//! snapshot, so a change reaches a host that the store does not answer.

use std::{cell, net, rc, time};

use bytes::Bytes;
use http_body_util::Full;
use serde_json::json;
use tokio::net::UdpSocket;

use super::host::EntryHost;
use super::peers::{PeerChange, PeerHeartbeat, PeerSnapshot};
use super::store::{ObjectContent, StoredObject};
use super::wire::WireProtocol;
use crate::error::{self, Error};
use crate::event::EventCode;
use crate::http_client;
use crate::result_code::ResultCode;

/// The time between two heartbeats: four of them fit into the time after which a silent host is
/// not named to callers any more.
const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
/// The largest heartbeat; a longer datagram is cut and then refused as malformed.
const MAX_HEARTBEAT_BYTES: usize = 1_400;
/// A host that hears of something newer gives its own watch this long before it asks a peer.
const WATCH_TIME: time::Duration = time::Duration::from_millis(250);
/// A snapshot must arrive within this time: four ways between the farthest regions and the
/// largest snapshot over a slow link.
const SNAPSHOT_LIMIT: time::Duration = time::Duration::from_millis(1_000);
/// The largest snapshot that is read: some hundred servers and some thousand routes.
const MAX_SNAPSHOT_BYTES: usize = 4 << 20;
/// The time between two tries to get a first snapshot.
const FIRST_SNAPSHOT_PAUSE: time::Duration = time::Duration::from_millis(400);

thread_local! {
    static SOCKET: cell::RefCell<Option<rc::Rc<UdpSocket>>> = const { cell::RefCell::new(None) };
}

/// Starts the tasks that speak to other hosts.
///
/// # Errors
/// `AddressInvalid` when the heartbeat port cannot be bound.
pub fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) -> error::Result<()> {
    let address = host.record().heartbeat_address;
    let socket = open_socket(address).map_err(|fault| {
        Error::with_code(ResultCode::AddressInvalid, format!("{address}: {fault}"))
    })?;
    let socket = rc::Rc::new(socket);
    SOCKET.with(|kept| *kept.borrow_mut() = Some(rc::Rc::clone(&socket)));
    tokio::task::spawn_local(receive(rc::Rc::clone(host), socket));
    tokio::task::spawn_local(beat(rc::Rc::clone(host)));
    tokio::task::spawn_local(fetch_first(rc::Rc::clone(host)));
    Ok(())
}

fn open_socket(address: net::SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Tells every other host the present state at once.
pub fn announce<W: WireProtocol>(host: &EntryHost<W>) {
    let socket = SOCKET.with(|socket| socket.borrow().clone());
    let Some(socket) = socket else { return };
    let Ok(bytes) = serde_json::to_vec(&host.heartbeat()) else {
        return;
    };
    for target in host.peers.borrow().heartbeat_targets() {
        // A lost datagram is made good by the next.
        let _sent = socket.try_send_to(&bytes, target);
    }
}

async fn beat<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut beats = tokio::time::interval(HEARTBEAT);
    beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        announce(&host);
    }
}

async fn receive<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0_u8; MAX_HEARTBEAT_BYTES];
    let fetching = rc::Rc::new(cell::Cell::new(false));
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(HEARTBEAT).await;
            continue;
        };
        match serde_json::from_slice::<PeerHeartbeat>(&buffer[..length]) {
            Ok(heartbeat) => on_heartbeat(&host, &heartbeat, &fetching),
            Err(fault) => host.note(
                EventCode::HeartbeatMalformed,
                json!({ "source": source.to_string(), "fault": fault.to_string() }),
            ),
        }
    }
}

fn on_heartbeat<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    heartbeat: &PeerHeartbeat,
    fetching: &rc::Rc<cell::Cell<bool>>,
) {
    let now = host.now();
    let change = host.peers.borrow_mut().on_heartbeat(heartbeat, now);
    let event = match change {
        PeerChange::Heard => Some(EventCode::MemberJoined),
        PeerChange::Leaving => Some(EventCode::MemberLeaving),
        PeerChange::None => None,
    };
    if let Some(event) = event {
        host.note(event, json!({ "peer": heartbeat.host.name, "run": heartbeat.host.run }));
    }
    if is_behind(host, heartbeat) && !fetching.replace(true) {
        let host = rc::Rc::clone(host);
        let heartbeat = heartbeat.clone();
        let fetching = rc::Rc::clone(fetching);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(WATCH_TIME).await;
            if is_behind(&host, &heartbeat) {
                fetch(&host, heartbeat.host.peer_address).await;
            }
            fetching.set(false);
        });
    }
}

/// Whether a peer knows something newer. Counts of servers and evacuations move with each change
/// of any kind, so they only matter when the peer has seen a change of that kind; a snapshot that
/// brings nothing new is harmless.
fn is_behind<W: WireProtocol>(host: &EntryHost<W>, heartbeat: &PeerHeartbeat) -> bool {
    heartbeat.configuration_version > host.configuration_version()
        || heartbeat.fleet_revision > host.fleet.borrow().revision()
        || heartbeat.evacuation_revision > host.evacuation_revision()
}

/// Until the first configuration and list of servers are there, seeds and peers are asked as well
/// as the store.
async fn fetch_first<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    loop {
        tokio::time::sleep(FIRST_SNAPSHOT_PAUSE).await;
        if host.is_ready() || host.is_leaving() {
            return;
        }
        let own = host.settings().peer_address;
        let mut sources = host.peers.borrow().snapshot_sources();
        sources.extend(host.settings().seeds.iter().copied());
        sources.retain(|source| *source != own);
        sources.dedup();
        for source in sources.into_iter().take(3) {
            fetch(&host, source).await;
        }
    }
}

async fn fetch<W: WireProtocol>(host: &EntryHost<W>, source: net::SocketAddr) {
    let request = http::Request::builder()
        .uri("/snapshot")
        .header(http::header::HOST, "peer")
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return };
    let answer = http_client::exchange(source, request, SNAPSHOT_LIMIT, MAX_SNAPSHOT_BYTES).await;
    let Ok(answer) = answer else {
        host.note(EventCode::PeerSilent, json!({ "peer": source.to_string() }));
        return;
    };
    match serde_json::from_slice::<PeerSnapshot>(&answer.body) {
        Ok(snapshot) => take_over(host, &snapshot, source),
        Err(fault) => host.note(
            EventCode::HeartbeatMalformed,
            json!({ "source": source.to_string(), "fault": fault.to_string() }),
        ),
    }
}

fn take_over<W: WireProtocol>(
    host: &EntryHost<W>,
    snapshot: &PeerSnapshot,
    source: net::SocketAddr,
) {
    let now = host.now();
    let source = source.to_string();
    let own = host.settings().name.clone();
    for record in &snapshot.hosts {
        if record.name != own {
            host.peers.borrow_mut().on_record(record, now);
        }
    }
    if let Some(configuration) = &snapshot.configuration {
        host.install_configuration(configuration, &source);
    }
    if snapshot.fleet_revision > host.fleet.borrow().revision() {
        let objects: Vec<StoredObject> = snapshot
            .servers
            .iter()
            .map(|record| StoredObject {
                name: record.id.clone(),
                revision: snapshot.fleet_revision,
                content: ObjectContent::Server(record.clone()),
            })
            .collect();
        let settings = host.settings();
        let changes = host.fleet.borrow_mut().on_list(
            &objects,
            snapshot.fleet_revision,
            &settings.halls,
            now,
        );
        host.note_fleet(&changes, &source);
    }
    if snapshot.evacuation_revision > host.evacuation_revision() {
        let halls = snapshot.evacuated.iter().cloned().collect();
        host.on_evacuation_list(halls, snapshot.evacuation_revision);
    }
}
