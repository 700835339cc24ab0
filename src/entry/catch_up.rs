//! Fetches state from another host when its heartbeat shows that this host is behind.

use std::{cell, net, rc, time};

use rand::Rng as _;
use serde_json::json;

use super::announcements;
use super::configuration::ServiceConfiguration;
use super::expiry_retention::{MissingSource, ReportedRetentions};
use super::gossip;
use super::host::EntryHost;
use super::host_gossip;
use super::peer_message::{self, FleetUpdate, JoinAnswer, PeerHeartbeat, PeerSnapshot};
use super::quarantine::message::SuspectRecord;
use super::store::{ObjectKind, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::http_client;
use crate::request_body::RequestBody;

/// Path of the snapshot of everything that a host knows.
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// Path of the server changes after a store revision; the revision follows.
pub const CHANGES_PATH: &str = "/changes/";
/// Path of the active configuration.
pub const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the suspects, the requests during which servers crashed.
pub const SUSPECTS_PATH: &str = "/suspects";

/// A host that learns of newer state waits a random part of this time before it fetches it, in
/// milliseconds: hosts don't all ask the same source, and updates in transit arrive first.
const JITTER_MS: u64 = 150;
/// The additional wait for newer servers, in milliseconds: the watchers of the own region see the
/// same change at about the same time and forward it without a request.
const UPDATE_WAIT_MS: u64 = 250;
/// Timeout of a fetch: two round trips between the most distant regions and the largest answer over
/// a slow link.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// If the first source has not answered by then, a second one is asked as well. An update whose
/// datagram was lost and whose first source hangs is then known 1.7 s after the change instead of
/// 3.2 s, by the sum of the constants; a leaving server serves for at least 2 s. The largest
/// answers in use should take a tenth of a second over a link of 10 Mbit/s.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(400);
/// The largest answer that is read, in bytes: some hundred servers and some thousand routes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// A kind of state that can be fetched from another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchKind {
    Configuration,
    Servers,
    Quarantine,
}

impl FetchKind {
    const ALL: [Self; 3] = [Self::Configuration, Self::Servers, Self::Quarantine];

    /// Whether `heartbeat` advertises newer state than this host has.
    fn is_missing<W: WireProtocol>(self, host: &EntryHost<W>, heartbeat: &PeerHeartbeat) -> bool {
        match self {
            Self::Configuration => heartbeat.configuration_version > host.configuration_version(),
            Self::Servers => heartbeat.fleet_changed > host.fleet.borrow().revision(),
            Self::Quarantine => host.quarantine.digest().may_miss(&heartbeat.quarantine),
        }
    }

    /// The kind of object whose watch is late while this state is missing.
    const fn watched(self) -> Option<ObjectKind> {
        match self {
            Self::Configuration => Some(ObjectKind::Configuration),
            Self::Servers => Some(ObjectKind::Servers),
            Self::Quarantine => None,
        }
    }

    /// How long to wait for an update in transit before fetching it, in milliseconds.
    const fn delay_ms(self) -> u64 {
        match self {
            Self::Configuration => 0,
            Self::Servers | Self::Quarantine => UPDATE_WAIT_MS,
        }
    }
}

/// Marks the fetches in flight. Each kind has its own flag, so that a hanging fetch does not delay
/// the other kinds.
#[derive(Debug, Default)]
pub struct OpenFetches {
    configuration: cell::Cell<bool>,
    servers: cell::Cell<bool>,
    quarantine: cell::Cell<bool>,
}

impl OpenFetches {
    const fn of(&self, kind: FetchKind) -> &cell::Cell<bool> {
        match kind {
            FetchKind::Configuration => &self.configuration,
            FetchKind::Servers => &self.servers,
            FetchKind::Quarantine => &self.quarantine,
        }
    }
}

/// Fetches what a peer's heartbeat shows to be missing, unless a fetch of that kind is in flight.
pub fn on_heartbeat<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>, heartbeat: &PeerHeartbeat) {
    let missing = FetchKind::ALL
        .into_iter()
        .filter(|kind| kind.is_missing(host, heartbeat));
    for kind in missing {
        let Some(source) = host.peers.borrow().peer_address(&heartbeat.host) else {
            return;
        };
        if !host.fetches.of(kind).replace(true) {
            let fetch = fetch_after_wait(rc::Rc::clone(host), kind, heartbeat.clone(), source);
            tokio::task::spawn_local(fetch);
        }
    }
}

async fn fetch_after_wait<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    kind: FetchKind,
    heartbeat: PeerHeartbeat,
    source: net::SocketAddr,
) {
    let jitter_ms = host.random.borrow_mut().random_range(0..JITTER_MS);
    tokio::time::sleep(time::Duration::from_millis(jitter_ms)).await;
    if let Some(watched) = kind.watched()
        && kind.is_missing(&host, &heartbeat)
    {
        host.watch.on_outdated(watched);
    }
    tokio::time::sleep(time::Duration::from_millis(kind.delay_ms())).await;
    if kind.is_missing(&host, &heartbeat) {
        fetch_hedged(&host, kind, source).await;
    }
    host.fetches.of(kind).set(false);
}

/// Asks `source`, and another host as well if `source` fails or does not answer for a while.
async fn fetch_hedged<W: WireProtocol>(
    host: &EntryHost<W>,
    kind: FetchKind,
    source: net::SocketAddr,
) {
    let mut first = std::pin::pin!(fetch_kind(host, kind, source));
    let first_answer = tokio::time::timeout(HEDGE_DELAY, first.as_mut()).await;
    if first_answer == Ok(FetchOutcome::Answered) {
        return;
    }
    let second = async {
        match other_source(host, source) {
            Some(other) => fetch_kind(host, kind, other).await,
            None => FetchOutcome::Failed,
        }
    };
    if first_answer.is_ok() {
        second.await;
        return;
    }
    tokio::select! {
        FetchOutcome::Answered = first => {}
        FetchOutcome::Answered = second => {}
        // The next heartbeat starts another fetch.
        else => {}
    }
}

fn other_source<W: WireProtocol>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
) -> Option<net::SocketAddr> {
    let mut random = host.random.borrow_mut();
    let region = &host.settings().region;
    let peers = host.peers.borrow();
    peers.other_source(region, source, host.now(), &mut random)
}

async fn fetch_kind<W: WireProtocol>(
    host: &EntryHost<W>,
    kind: FetchKind,
    source: net::SocketAddr,
) -> FetchOutcome {
    match kind {
        FetchKind::Configuration => fetch_configuration(host, source).await,
        FetchKind::Servers => fetch_changes(host, source).await,
        FetchKind::Quarantine => fetch_suspects(host, source).await,
    }
}

/// The outcome of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchOutcome {
    /// The other host sent its state.
    Answered,
    /// The other host did not answer, or its answer could not be decoded; the log says which.
    Failed,
}

impl FetchOutcome {
    const fn of<T>(fetched: Option<&T>) -> Self {
        match fetched {
            Some(_) => Self::Answered,
            None => Self::Failed,
        }
    }
}

/// Fetches the server changes since the known revision, or a whole snapshot if the changes are not
/// available.
async fn fetch_changes<W: WireProtocol>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
) -> FetchOutcome {
    let revision = host.fleet.borrow().revision();
    if !host.fleet.borrow().is_listed() {
        return fetch_snapshot(host, source).await;
    }
    let path = format!("{CHANGES_PATH}{revision}");
    match fetch::<W, Option<FleetUpdate>>(host, source, &path).await {
        Some(Some(update)) => {
            gossip::on_fleet_update(host, &update);
            FetchOutcome::Answered
        }
        Some(None) => fetch_snapshot(host, source).await,
        None => FetchOutcome::Failed,
    }
}

async fn fetch_snapshot<W: WireProtocol>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
) -> FetchOutcome {
    match fetch::<W, JoinAnswer>(host, source, SNAPSHOT_PATH).await {
        Some(JoinAnswer::Snapshot(packed)) => {
            let snapshot = packed.snapshot();
            if let Some(snapshot) = &snapshot {
                apply_snapshot(host, snapshot, source);
            }
            FetchOutcome::of(snapshot.as_ref())
        }
        Some(JoinAnswer::Ask(_)) | None => FetchOutcome::Failed,
    }
}

async fn fetch_configuration<W: WireProtocol>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
) -> FetchOutcome {
    let fetched = fetch::<W, Option<ServiceConfiguration>>(host, source, CONFIGURATION_PATH).await;
    if let Some(Some(configuration)) = &fetched {
        let before = host.configuration_version();
        host.install_configuration(configuration, &source.to_string());
        if host.configuration_version() > before {
            announcements::forward_configuration_announcement(host);
        }
    }
    FetchOutcome::of(fetched.as_ref())
}

async fn fetch_suspects<W: WireProtocol>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
) -> FetchOutcome {
    let fetched = fetch::<W, Vec<SuspectRecord>>(host, source, SUSPECTS_PATH).await;
    if let Some(records) = &fetched {
        host.on_suspect_records(records, &source.to_string());
    }
    FetchOutcome::of(fetched.as_ref())
}

pub(super) async fn fetch<W: WireProtocol, T: serde::de::DeserializeOwned>(
    host: &EntryHost<W>,
    source: net::SocketAddr,
    path: &str,
) -> Option<T> {
    let request = http::Request::builder()
        .uri(path)
        .header(http::header::HOST, "peer")
        .body(RequestBody::default())
        .ok()?;
    let answer = http_client::exchange(source, request, FETCH_TIMEOUT, MAX_ANSWER_BYTES).await;
    let Ok(answer) = answer else {
        host.log_event(
            EventCode::PeerSilent,
            json!({ "peer": source.to_string(), "path": path }),
        );
        return None;
    };
    match peer_message::from_bytes(&answer.body) {
        Ok(value) => Some(value),
        Err(fault) => {
            host.log_malformed_message(&source.to_string(), &fault);
            None
        }
    }
}

pub(super) fn apply_snapshot<W: WireProtocol>(
    host: &EntryHost<W>,
    snapshot: &PeerSnapshot,
    source: net::SocketAddr,
) {
    let source = source.to_string();
    host_gossip::add_hosts(host, &snapshot.hosts);
    let now = host.now();
    let mut peers = host.peers.borrow_mut();
    peers.on_reported_sizes(&snapshot.region_sizes, now);
    drop(peers);
    if snapshot.hosts_listed {
        host.peers.borrow_mut().on_membership_complete();
    }
    if let Some(configuration) = &snapshot.configuration {
        host.install_configuration(configuration, &source);
    }
    if snapshot.fleet_revision > host.fleet.borrow().revision() {
        let objects: Vec<_> = snapshot.servers.objects().map(StoredObject::from).collect();
        let reported = ReportedRetentions::from_gone(&snapshot.kept, host.now());
        let missing = MissingSource::Peer(&reported);
        host.on_server_list(&objects, snapshot.fleet_revision, missing, &source);
    }
    if snapshot.evacuation_revision > host.evacuation_revision() {
        let halls = snapshot.evacuated.iter().cloned().collect();
        host.on_evacuation_list(halls, snapshot.evacuation_revision);
    }
    host.on_rollout_update(&snapshot.rollouts);
    if let Some(suspects) = &snapshot.suspects {
        host.on_suspect_records(suspects, &source);
        host.quarantine.on_loaded();
    }
}
