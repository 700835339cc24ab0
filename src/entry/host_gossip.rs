//! Exchanges host records between hosts: hosts that joined or are gone, and records that one host
//! is missing.

use std::net;

use super::gossip;
use super::host::EntryHost;
use super::peer_message::{
    GoneHost, HostUpdate, KnownHost, PeerHeartbeat, PeerMessage, PeerStatus, WhoIsRequest,
};
use super::peers::HostRecord;
use super::wire::WireProtocol;

/// Host records per datagram. A record takes about 100 bytes.
const HOSTS_PER_DATAGRAM: usize = 10;
/// Hosts that get an introduction per received datagram of records. When all got one with all
/// recent statuses, and each request carried a list of the known hosts, 300 hosts sent 52 MB
/// between regions instead of 28 MB.
const INTRODUCTIONS_PER_DATAGRAM: usize = 5;

/// Sends host changes that this host observed in the store.
pub(super) fn send_host_update<W: WireProtocol>(host: &EntryHost<W>, update: HostUpdate) {
    gossip::send(
        host,
        &PeerMessage::Hosts(update),
        &gossip::host_update_targets(host),
    );
}

/// Sends host changes that the store does not report to this region and, through relays, to each
/// other region.
pub(super) fn broadcast_host_update<W: WireProtocol>(
    host: &EntryHost<W>,
    joined: &[HostRecord],
    gone: &[GoneHost],
) {
    let rounds = joined.len().max(gone.len()).div_ceil(HOSTS_PER_DATAGRAM);
    if rounds == 0 {
        return;
    }
    let (local, remote) = {
        let region = &host.settings().region;
        let peers = host.peers.borrow();
        let local = peers.region_targets(region);
        (local, peers.relay_targets(region, host.now()))
    };
    for round in 0..rounds {
        let update = HostUpdate {
            joined: datagram_items(joined, round).to_vec(),
            gone: datagram_items(gone, round).to_vec(),
            relay: false,
        };
        let relayed = HostUpdate {
            relay: true,
            ..update.clone()
        };
        gossip::send(host, &PeerMessage::Hosts(update), &local);
        gossip::send(host, &PeerMessage::Hosts(relayed), &remote);
    }
}

/// The items that go into the datagram with this number.
fn datagram_items<T>(all: &[T], round: usize) -> &[T] {
    let mut chunks = all.chunks(HOSTS_PER_DATAGRAM);
    chunks.nth(round).unwrap_or_default()
}

/// Asks the sender of a heartbeat for the hosts that it reports and that are unknown here.
pub(super) fn request_missing_hosts<W: WireProtocol>(
    host: &EntryHost<W>,
    heartbeat: &PeerHeartbeat,
    source: net::SocketAddr,
) {
    let own = host.record();
    let mut peers = host.peers.borrow_mut();
    let request = peers.missing_hosts_request(heartbeat, &own, host.now());
    drop(peers);
    if let Some(request) = request {
        host.metrics.borrow_mut().unknown_hosts_reported += request.unknown.len() as u64;
        gossip::send(host, &PeerMessage::WhoIs(request), &[source]);
    }
}

pub(super) fn answer_who_is<W: WireProtocol>(
    host: &EntryHost<W>,
    request: &WhoIsRequest,
    source: net::SocketAddr,
) {
    let peers = host.peers.borrow();
    let known = peers.records_for(request, &host.record(), host.now());
    drop(peers);
    for chunk in known.chunks(HOSTS_PER_DATAGRAM) {
        gossip::send(host, &PeerMessage::Who(chunk.to_vec()), &[source]);
    }
}

/// Adds the requested hosts, and introduces this host to some of those that are new. All others
/// learn of it through these.
pub(super) fn on_requested_hosts<W: WireProtocol>(host: &EntryHost<W>, known: &[KnownHost]) {
    let records: Vec<HostRecord> = known.iter().map(|known| known.record.clone()).collect();
    let peers = host.peers.borrow();
    // A host that has restarted learns of this one when it joins.
    let new = records
        .iter()
        .filter(|record| peers.run_of(&record.name) == 0);
    let recipients: Vec<net::SocketAddr> = new
        .take(INTRODUCTIONS_PER_DATAGRAM)
        .map(|record| record.heartbeat_address)
        .collect();
    drop(peers);
    add_hosts(host, &records);
    let statuses: Vec<PeerStatus> = known.iter().filter_map(|known| known.status).collect();
    let now = host.now();
    host.peers.borrow_mut().on_statuses(&statuses, now);
    let introduction = PeerHeartbeat {
        peer_statuses: Vec::new(),
        ..host.heartbeat(true)
    };
    let introduction = PeerMessage::Heartbeat(Box::new(introduction));
    gossip::send(host, &introduction, &recipients);
}

pub(super) fn on_host_update<W: WireProtocol>(host: &EntryHost<W>, update: &HostUpdate) {
    if update.relay {
        let local = host.peers.borrow().region_targets(&host.settings().region);
        let forwarded = HostUpdate {
            relay: false,
            ..update.clone()
        };
        gossip::send(host, &PeerMessage::Hosts(forwarded), &local);
    }
    add_hosts(host, &update.joined);
    for gone in &update.gone {
        on_host_gone(host, gone);
    }
}

/// Handles the removal of a host's entry from the store. If the entry belongs to this run of this
/// host, other hosts considered it dead after a silence, and it is written again.
pub(super) fn on_host_gone<W: WireProtocol>(host: &EntryHost<W>, gone: &GoneHost) {
    if gone.name == host.settings().name {
        host.on_own_entry_gone(gone.run);
        return;
    }
    host.peers.borrow_mut().on_removed(&gone.name, gone.run);
}

/// Adds hosts reported by other hosts or by the store.
pub(super) fn add_hosts<W: WireProtocol>(host: &EntryHost<W>, records: &[HostRecord]) {
    let now = host.now();
    let own = host.settings().name.clone();
    let mut peers = host.peers.borrow_mut();
    for record in records.iter().filter(|record| record.name != own) {
        peers.on_record(record, now);
    }
}
