//! Fetching from another host what this one has missed.

use std::{net, rc, time};

use bytes::Bytes;
use http_body_util::Full;
use rand::Rng as _;
use serde_json::json;

use super::configuration::ServiceConfiguration;
use super::gossip;
use super::host::EntryHost;
use super::lapse_hold::{MissingSource, ToldHolds};
use super::peer_message::{self, FleetNews, PeerHeartbeat, PeerSnapshot};
use super::store::StoredObject;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::http_client;

/// Where a host serves all that it knows.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Where a host serves the changes of servers past the store's count that follows.
pub const CHANGES_PATH: &str = "/changes/";
/// Where a host serves the configuration in force.
pub const CONFIGURATION_PATH: &str = "/configuration";

/// A host that hears of something newer waits a random part of this before it asks, in
/// milliseconds: not all ask the same host, and news that is on its way arrives first.
const SPREAD_MS: u64 = 150;
/// A host that hears of newer servers waits this much longer, in milliseconds: the watchers of its
/// own region see the same change a little earlier or later, and pass it on unasked.
const NEWS_MS: u64 = 250;
/// A fetch must end within this time: four ways between the farthest regions and the largest
/// answer over a slow link.
const FETCH_LIMIT: time::Duration = time::Duration::from_secs(1);
/// The largest answer that is read: some hundred servers and some thousand routes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The time between two tries to get a first snapshot.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(120);
/// Hosts asked in one such try.
const FIRST_SOURCES: usize = 2;

/// Fetches what a peer's heartbeat shows to be missing, unless a fetch is under way.
pub fn on_heartbeat<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>, heartbeat: &PeerHeartbeat) {
    if !lacks_configuration(host, heartbeat) && !lacks_servers(host, heartbeat) {
        return;
    }
    let Some(source) = host.peers.borrow().peer_address(&heartbeat.host) else {
        return;
    };
    if host.fetching.replace(true) {
        return;
    }
    let mut wait_ms = host.random.borrow_mut().random_range(0..SPREAD_MS);
    if !lacks_configuration(host, heartbeat) {
        wait_ms += NEWS_MS;
    }
    let host = rc::Rc::clone(host);
    let heartbeat = heartbeat.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(time::Duration::from_millis(wait_ms)).await;
        if lacks_configuration(&host, &heartbeat) {
            fetch_configuration(&host, source).await;
        }
        if lacks_servers(&host, &heartbeat) {
            fetch_changes(&host, source).await;
        }
        host.fetching.set(false);
    });
}

fn lacks_configuration<W: WireProtocol>(host: &EntryHost<W>, heartbeat: &PeerHeartbeat) -> bool {
    heartbeat.configuration_version > host.configuration_version()
}

fn lacks_servers<W: WireProtocol>(host: &EntryHost<W>, heartbeat: &PeerHeartbeat) -> bool {
    heartbeat.fleet_changed > host.fleet.borrow().revision()
}

/// Asks seeds and peers until there is a configuration and a list of servers. The hosts that watch
/// the store ask it at the same time.
pub async fn fetch_first<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    loop {
        tokio::time::sleep(FIRST_PAUSE).await;
        if host.is_ready() || host.is_leaving() {
            return;
        }
        let own = host.settings().peer_address;
        let mut sources: Vec<net::SocketAddr> = host.settings().seeds.clone();
        sources.extend(host.peers.borrow().records().map(|peer| peer.peer_address));
        sources.retain(|source| *source != own);
        for _ in 0..FIRST_SOURCES {
            if sources.is_empty() {
                break;
            }
            let place = host.random.borrow_mut().random_range(0..sources.len());
            fetch_snapshot(&host, sources.swap_remove(place)).await;
        }
    }
}

/// Fetches the changes of servers past what is known, or everything where that cannot be told.
async fn fetch_changes<W: WireProtocol>(host: &EntryHost<W>, source: net::SocketAddr) {
    let revision = host.fleet.borrow().revision();
    if !host.fleet.borrow().is_listed() {
        return fetch_snapshot(host, source).await;
    }
    let path = format!("{CHANGES_PATH}{revision}");
    match fetch::<W, Option<FleetNews>>(host, source, &path).await {
        Some(Some(news)) => gossip::on_fleet_news(host, &news),
        Some(None) => fetch_snapshot(host, source).await,
        // It did not answer; the next heartbeat leads to another try.
        None => {}
    }
}

async fn fetch_snapshot<W: WireProtocol>(host: &EntryHost<W>, source: net::SocketAddr) {
    if let Some(snapshot) = fetch::<W, PeerSnapshot>(host, source, SNAPSHOT_PATH).await {
        take_over(host, &snapshot, source);
    }
}

async fn fetch_configuration<W: WireProtocol>(host: &EntryHost<W>, source: net::SocketAddr) {
    let fetched = fetch::<W, Option<ServiceConfiguration>>(host, source, CONFIGURATION_PATH).await;
    if let Some(Some(configuration)) = fetched {
        let before = host.configuration_version();
        host.install_configuration(&configuration, &source.to_string());
        if host.configuration_version() > before {
            gossip::pass_on_configuration(host);
        }
    }
}

async fn fetch<W: WireProtocol, T: serde::de::DeserializeOwned>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
    path: &str,
) -> Option<T> {
    let request = http::Request::builder()
        .uri(path)
        .header(http::header::HOST, "peer")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let answer = http_client::exchange(source, request, FETCH_LIMIT, MAX_ANSWER_BYTES).await;
    let Ok(answer) = answer else {
        host.note(
            EventCode::PeerSilent,
            json!({ "peer": source.to_string(), "path": path }),
        );
        return None;
    };
    match peer_message::from_bytes(&answer.body) {
        Ok(value) => Some(value),
        Err(fault) => {
            host.note_malformed(&source.to_string(), &fault);
            None
        }
    }
}

fn take_over<W: WireProtocol>(
    host: &EntryHost<W>,
    snapshot: &PeerSnapshot,
    source: net::SocketAddr,
) {
    let source = source.to_string();
    gossip::learn_hosts(host, &snapshot.hosts);
    if snapshot.hosts_listed {
        host.peers.borrow_mut().on_listed();
    }
    if let Some(configuration) = &snapshot.configuration {
        host.install_configuration(configuration, &source);
    }
    if snapshot.fleet_revision > host.fleet.borrow().revision() {
        let objects: Vec<_> = snapshot.servers.iter().map(StoredObject::from).collect();
        let told = ToldHolds::from_gone(&snapshot.kept, host.now());
        let missing = MissingSource::Peer(&told);
        host.on_server_list(&objects, snapshot.fleet_revision, missing, &source);
    }
    if snapshot.evacuation_revision > host.evacuation_revision() {
        let halls = snapshot.evacuated.iter().cloned().collect();
        host.on_evacuation_list(halls, snapshot.evacuation_revision);
    }
}
