//! What hosts tell each other of hosts: who came, who is gone, and the records of those that one lacks.

use std::net;

use super::gossip;
use super::host::EntryHost;
use super::peer_message::{
    GoneHost, HeardHost, HostNews, KnownHost, PeerHeartbeat, PeerMessage, WhoIsRequest,
};
use super::peers::HostRecord;
use super::wire::WireProtocol;

/// Hosts that one datagram tells of: a record takes some 100 bytes.
const HOSTS_PER_DATAGRAM: usize = 10;
/// Hosts that are greeted of those that one datagram told of. When all were, with all that was heard, and each question brought
/// a list of the known hosts along, 300 hosts sent 52 MB between regions in place of 28 (a play each).
const GREETED_PER_DATAGRAM: usize = 5;

/// Passes on which entry hosts came or went, as seen in the store.
pub(super) fn pass_on_hosts<W: WireProtocol>(host: &EntryHost<W>, news: HostNews) {
    gossip::send(host, &PeerMessage::Hosts(news), &gossip::news_targets(host));
}

/// Tells the own region, and some hosts of each other one that pass it on, of hosts that came or went and
/// that the store does not tell of.
pub(super) fn spread_hosts<W: WireProtocol>(
    host: &EntryHost<W>,
    joined: &[HostRecord],
    gone: &[GoneHost],
) {
    let rounds = joined.len().max(gone.len()).div_ceil(HOSTS_PER_DATAGRAM);
    if rounds == 0 {
        return;
    }
    let (near, far) = {
        let region = &host.settings().region;
        let peers = host.peers.borrow();
        let near = peers.region_targets(region);
        (near, peers.relay_targets(region, host.now()))
    };
    for round in 0..rounds {
        let news = HostNews {
            joined: part_of(joined, round).to_vec(),
            gone: part_of(gone, round).to_vec(),
            relay: false,
        };
        let relayed = HostNews {
            relay: true,
            ..news.clone()
        };
        gossip::send(host, &PeerMessage::Hosts(news), &near);
        gossip::send(host, &PeerMessage::Hosts(relayed), &far);
    }
}

/// What the datagram of this number tells of.
fn part_of<T>(all: &[T], round: usize) -> &[T] {
    let mut parts = all.chunks(HOSTS_PER_DATAGRAM);
    parts.nth(round).unwrap_or_default()
}

/// Asks a host for those that it told of and that are not known here.
pub(super) fn ask_who<W: WireProtocol>(
    host: &EntryHost<W>,
    heartbeat: &PeerHeartbeat,
    source: net::SocketAddr,
) {
    let own = host.record();
    let mut peers = host.peers.borrow_mut();
    let request = peers.unknown_hosts(heartbeat, &own, host.now());
    drop(peers);
    if let Some(request) = request {
        host.metrics.borrow_mut().unknown_hosts_reported += request.unknown.len() as u64;
        gossip::send(host, &PeerMessage::WhoIs(request), &[source]);
    }
}

pub(super) fn tell_who<W: WireProtocol>(
    host: &EntryHost<W>,
    request: &WhoIsRequest,
    source: net::SocketAddr,
) {
    let peers = host.peers.borrow();
    let known = peers.records_for(request, &host.record(), host.now());
    drop(peers);
    for part in known.chunks(HOSTS_PER_DATAGRAM) {
        gossip::send(host, &PeerMessage::Who(part.to_vec()), &[source]);
    }
}

/// Meets the hosts that this one has asked for, and lets some of those hear of it that it had not met. All others hear of it
/// by these.
pub(super) fn on_who<W: WireProtocol>(host: &EntryHost<W>, known: &[KnownHost]) {
    let records: Vec<HostRecord> = known.iter().map(|known| known.record.clone()).collect();
    let peers = host.peers.borrow();
    // A host that has started again is told of this one as it joins.
    let new = records
        .iter()
        .filter(|record| peers.run_of(&record.name) == 0);
    let greeted: Vec<net::SocketAddr> = new
        .take(GREETED_PER_DATAGRAM)
        .map(|record| record.heartbeat_address)
        .collect();
    drop(peers);
    learn_hosts(host, &records);
    let heard: Vec<HeardHost> = known.iter().filter_map(|known| known.heard).collect();
    let now = host.now();
    host.peers.borrow_mut().on_told(&heard, now);
    let greeting = PeerHeartbeat {
        heard: Vec::new(),
        ..host.heartbeat(true)
    };
    let greeting = PeerMessage::Heartbeat(Box::new(greeting));
    gossip::send(host, &greeting, &greeted);
}

pub(super) fn on_host_news<W: WireProtocol>(host: &EntryHost<W>, news: &HostNews) {
    if news.relay {
        let near = host.peers.borrow().region_targets(&host.settings().region);
        let passed_on = HostNews {
            relay: false,
            ..news.clone()
        };
        gossip::send(host, &PeerMessage::Hosts(passed_on), &near);
    }
    learn_hosts(host, &news.joined);
    for gone in &news.gone {
        on_host_gone(host, gone);
    }
}

/// The entry of a run of a host is gone from the store. If it is this run's, the others took it for
/// dead while it was silent: the entry is written again.
pub(super) fn on_host_gone<W: WireProtocol>(host: &EntryHost<W>, gone: &GoneHost) {
    if gone.name == host.settings().name {
        host.on_own_entry_gone(gone.run);
        return;
    }
    host.peers.borrow_mut().on_removed(&gone.name, gone.run);
}

/// Meets hosts that others or the store name.
pub(super) fn learn_hosts<W: WireProtocol>(host: &EntryHost<W>, records: &[HostRecord]) {
    let now = host.now();
    let own = host.settings().name.clone();
    let mut peers = host.peers.borrow_mut();
    for record in records.iter().filter(|record| record.name != own) {
        peers.on_record(record, now);
    }
}
