//! Sends and receives the datagrams between entry hosts: heartbeats and updates.
//!
//! Only a few hosts of each region watch the store; they forward the changes as updates. Each
//! heartbeat carries the versions of its sender's state, so that a host that missed an update
//! notices it and catches up.

use std::{cell, net, rc, time};

use serde_json::json;
use tokio::net::UdpSocket;

use super::expiry_retention::{MissingSource, ReportedRetentions};
use super::fleet_change::ChangeSpan;
use super::host::EntryHost;
use super::partial_updates::PartialUpdates;
use super::peer_message::{self, FleetUpdate, GoneServer, PeerHeartbeat, PeerMessage, WatchState};
use super::peers::PeerChange;
use super::store::{ObjectChange, ObjectContent, ObjectKind, StoredObject};
use super::view_age::ViewSource;
use super::wire::WireProtocol;
use super::{
    catch_up, host_gossip, join_client, limit_role, quarantine_role, server_limit_role,
    update_fragment,
};
use crate::error::{self, Error};
use crate::event::EventCode;
use crate::result_code::ResultCode;
use crate::timer::Moment;

/// Interval between heartbeats. Four of them fit in the timeout after which a host is no longer
/// advertised to callers.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Every n-th heartbeat carries the host's whole record.
const HEARTBEATS_PER_RECORD: u64 = 4;

/// The `known_hosts` count of a host that knows no other host.
const ONLY_SELF_KNOWN: u32 = 1;

/// The UDP socket, and the fleet updates of which some fragments are still missing.
#[derive(Debug, Default)]
pub struct PeerSocket {
    socket: cell::OnceCell<rc::Rc<UdpSocket>>,
    partial_updates: cell::RefCell<PartialUpdates>,
}

/// Starts the tasks that communicate with other hosts.
///
/// # Errors
/// `AddressInvalid` when the heartbeat port cannot be bound.
pub fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) -> error::Result<()> {
    let address = host.record().heartbeat_address;
    let socket = open_socket(address).map_err(|fault| {
        Error::with_code(ResultCode::AddressInvalid, format!("{address}: {fault}"))
    })?;
    let socket = rc::Rc::new(socket);
    let _first = host.socket.socket.set(rc::Rc::clone(&socket));
    tokio::task::spawn_local(receive(rc::Rc::clone(host), socket));
    tokio::task::spawn_local(send_heartbeats(rc::Rc::clone(host)));
    Ok(())
}

fn open_socket(address: net::SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Sends server changes that this host observed in the store.
pub fn send_fleet_update<W: WireProtocol>(
    host: &EntryHost<W>,
    since: u64,
    until: u64,
    changes: &[ObjectChange],
) {
    let fragments = update_fragment::split_changes(changes);
    let now = host.now();
    let targets = host
        .peers
        .borrow()
        .fleet_update_targets(&host.record(), now);
    let count = u32::try_from(fragments.len()).unwrap_or(u32::MAX);
    for (number, fragment) in (0..).zip(fragments) {
        let update = FleetUpdate {
            host: host.settings().name.clone(),
            since,
            until,
            part: number,
            parts: count,
            changed: fragment.changed,
            gone: gone_servers(host, fragment.gone, now),
            relay: false,
        };
        let relayed = FleetUpdate {
            relay: true,
            ..update.clone()
        };
        send(host, &PeerMessage::Fleet(update), &targets.direct);
        send(host, &PeerMessage::Fleet(relayed), &targets.relays);
    }
}

/// Tells all hosts of this region how much longer servers are retained whose entries went missing up
/// to the store revision `until`.
pub(super) fn send_retentions<W: WireProtocol>(host: &EntryHost<W>, ids: &[String], until: u64) {
    let removals: Vec<ObjectChange> = ids.iter().map(|id| removal_of(id, until)).collect();
    let targets = host.peers.borrow().region_targets(&host.settings().region);
    let now = host.now();
    for fragment in update_fragment::split_changes(&removals) {
        let update = FleetUpdate {
            host: host.settings().name.clone(),
            // It does not have all changes between two revisions, so it spans none.
            since: until,
            until,
            part: 0,
            parts: 1,
            changed: Vec::new(),
            gone: gone_servers(host, fragment.gone, now),
            relay: false,
        };
        send(host, &PeerMessage::Fleet(update), &targets);
    }
}

/// Converts IDs of gone servers to messages with the rest of each server's retention.
fn gone_servers<W: WireProtocol>(
    host: &EntryHost<W>,
    ids: Vec<String>,
    now: Moment,
) -> Vec<GoneServer> {
    let fleet = host.fleet.borrow();
    let gone = ids.into_iter().map(|id| {
        let hold_ms = fleet.retention_ms(&id, now);
        let last_statement = fleet.last_statement(&id);
        GoneServer {
            id,
            hold_ms,
            last_statement,
        }
    });
    gone.collect()
}

pub(super) fn host_update_targets<W: WireProtocol>(host: &EntryHost<W>) -> Vec<net::SocketAddr> {
    host.peers
        .borrow()
        .host_update_targets(&host.record(), host.now())
}

pub(super) fn send<W: WireProtocol>(
    host: &EntryHost<W>,
    message: &PeerMessage,
    targets: &[net::SocketAddr],
) {
    let Some(socket) = host.socket.socket.get() else {
        return;
    };
    match peer_message::to_bytes(message) {
        Ok(bytes) => {
            host.metrics.borrow_mut().peer_bytes_sent += (bytes.len() * targets.len()) as u64;
            for target in targets {
                // The next heartbeat makes up for a lost datagram.
                let _sent = socket.try_send_to(&bytes, *target);
            }
        }
        Err(fault) => host.log_malformed_message("self", &fault),
    }
}

/// Sends a heartbeat with this host's record at once, so that lookups soon return this host, which
/// can serve now.
pub(super) fn introduce<W: WireProtocol>(host: &EntryHost<W>) {
    send_heartbeat(host, true);
}

async fn send_heartbeats<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        interval.tick().await;
        send_heartbeat(&host, count.is_multiple_of(HEARTBEATS_PER_RECORD));
        count += 1;
    }
}

fn send_heartbeat<W: WireProtocol>(host: &EntryHost<W>, with_record: bool) {
    let heartbeat = host.heartbeat(with_record);
    if heartbeat.known_hosts == ONLY_SELF_KNOWN {
        introduce_to_seeds(host);
        return;
    }
    let region = host.settings().region.clone();
    let (local, remote) = {
        let mut random = host.random.borrow_mut();
        let peers = host.peers.borrow();
        let local = peers.local_targets(&region, &mut random);
        (local, peers.remote_targets(&region, &mut random))
    };
    let remote_heartbeat = heartbeat.for_other_regions();
    send(host, &PeerMessage::Heartbeat(Box::new(heartbeat)), &local);
    send(
        host,
        &PeerMessage::Heartbeat(Box::new(remote_heartbeat)),
        &remote,
    );
}

/// Sends a heartbeat to the seeds while this host knows no other host. The store may have answered
/// before this host asked any seed.
fn introduce_to_seeds<W: WireProtocol>(host: &EntryHost<W>) {
    let settings = host.settings();
    let seeds = settings.other_seeds();
    let targets: Vec<net::SocketAddr> = seeds
        .map(|seed| (seed, settings.heartbeat_port).into())
        .collect();
    let message = PeerMessage::Heartbeat(Box::new(host.heartbeat(true)));
    send(host, &message, &targets);
}

async fn receive<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0_u8; 2 * update_fragment::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        match peer_message::from_bytes::<PeerMessage>(&buffer[..length]) {
            Ok(PeerMessage::Heartbeat(heartbeat)) => on_heartbeat(&host, &heartbeat, source),
            Ok(PeerMessage::Fleet(update)) => {
                on_fleet_update(&host, &update);
                relay_fleet_update(&host, update, source);
            }
            Ok(PeerMessage::Hosts(update)) => host_gossip::on_host_update(&host, &update),
            Ok(PeerMessage::WhoIs(request)) => host_gossip::answer_who_is(&host, &request, source),
            Ok(PeerMessage::Who(records)) => host_gossip::on_requested_hosts(&host, &records),
            Ok(PeerMessage::Limit(message)) => limit_role::on_message(&host, message, source),
            Ok(PeerMessage::Quarantine(message)) => quarantine_role::on_message(&host, &message),
            Ok(PeerMessage::ServerLimit(message)) => {
                server_limit_role::on_message(&host, message, source);
            }
            Ok(PeerMessage::Leaving(servers)) => host.on_leaving_report(&servers, "peer"),
            Ok(PeerMessage::RolloutReport(report)) => {
                host.rollouts.on_host_report(report, host.now());
            }
            Ok(PeerMessage::RegionRollout(report)) => {
                host.rollouts.on_region_report(report, host.now());
            }
            Ok(PeerMessage::Load(digest)) => host.on_load_digest(&digest, length),
            Err(fault) => host.log_malformed_message(&source.to_string(), &fault),
        }
    }
}

fn on_heartbeat<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    heartbeat: &PeerHeartbeat,
    source: net::SocketAddr,
) {
    let now = host.now();
    let change = host.peers.borrow_mut().on_heartbeat(heartbeat, now);
    let is_known = host.peers.borrow().run_of(&heartbeat.host) > 0;
    if heartbeat.known_hosts == ONLY_SELF_KNOWN && is_known {
        let introduction = PeerMessage::Heartbeat(Box::new(host.heartbeat(true)));
        send(host, &introduction, &[source]);
    }
    host_gossip::request_missing_hosts(host, heartbeat, source);
    let position = heartbeat.fleet_changed.max(heartbeat.evacuation_changed);
    host.on_store_position(position, &heartbeat.host);
    if heartbeat.watch == WatchState::Watching {
        confirm_view(host, heartbeat, now);
    }
    let event = match change {
        PeerChange::Appeared => Some(EventCode::MemberJoined),
        PeerChange::Leaving => Some(EventCode::MemberLeaving),
        PeerChange::None => None,
    };
    if let Some(event) = event {
        host.log_event(
            event,
            json!({ "peer": heartbeat.host, "run": heartbeat.run }),
        );
    }
    if heartbeat.evacuation_changed > host.evacuation_revision() {
        let halls = heartbeat.evacuated.iter().cloned().collect();
        host.on_evacuation_list(halls, heartbeat.evacuation_changed);
        host.watch.on_outdated(ObjectKind::Evacuations);
    }
    host.on_limit_updates(&heartbeat.server_limits, Some(source));
    host.on_leaving_report(&heartbeat.leaving_servers, &heartbeat.host);
    host.on_rollout_update(&heartbeat.rollouts);
    if heartbeat.ready && !heartbeat.leaving {
        join_client::on_ready_peer(host, heartbeat);
    }
    catch_up::on_heartbeat(host, heartbeat);
}

/// Records which parts of this host's state a watcher's heartbeat confirms as current.
fn confirm_view<W: WireProtocol>(host: &EntryHost<W>, heartbeat: &PeerHeartbeat, now: Moment) {
    if heartbeat.configuration_version == host.configuration_version() {
        let kind = ObjectKind::Configuration;
        host.view_ages.on_confirmed(kind, ViewSource::Peer, now);
    }
    if heartbeat.fleet_changed <= host.fleet.borrow().revision() {
        let kind = ObjectKind::Servers;
        host.view_ages.on_confirmed(kind, ViewSource::Peer, now);
    }
}

/// Relays a fleet update to the other hosts of this hall if a watcher of another hall requests it.
fn relay_fleet_update<W: WireProtocol>(
    host: &EntryHost<W>,
    update: FleetUpdate,
    source: net::SocketAddr,
) {
    if !update.relay {
        return;
    }
    let mut targets = host.peers.borrow().hall_targets(&host.record());
    targets.retain(|target| *target != source);
    let update = FleetUpdate {
        relay: false,
        ..update
    };
    send(host, &PeerMessage::Fleet(update), &targets);
}

pub(super) fn on_fleet_update<W: WireProtocol>(host: &EntryHost<W>, update: &FleetUpdate) {
    let reported = ReportedRetentions::from_gone(&update.gone, host.now());
    let reported = match host.watch.servers_followed() {
        Some(_) => reported.without_outage(),
        None => reported,
    };
    let is_complete = host.socket.partial_updates.borrow_mut().on_fragment(update);
    let fleet = host.fleet.borrow();
    let contiguous = is_complete && fleet.is_listed() && update.since <= fleet.revision();
    drop(fleet);
    let span = ChangeSpan {
        until: update.until,
        contiguous,
    };
    let missing = MissingSource::Peer(&reported);
    host.on_server_changes(&changes_of(update), span, missing, &update.host);
}

fn changes_of(update: &FleetUpdate) -> Vec<ObjectChange> {
    let changed = update.changed.iter().map(|object| ObjectChange {
        object: StoredObject::from(object.clone()),
        deleted: false,
    });
    let gone = update.gone.iter();
    let gone = gone.map(|server| removal_of(&server.id, update.until));
    // An update has both only if the server's entry returned with an older statement.
    gone.chain(changed).collect()
}

/// The removal of a server that happened at the store revision `until` or before; an observation at
/// a later revision takes precedence.
fn removal_of(id: &str, until: u64) -> ObjectChange {
    ObjectChange {
        object: StoredObject {
            name: id.to_owned(),
            revision: until,
            content: ObjectContent::Unreadable(String::new()),
        },
        deleted: true,
    }
}
