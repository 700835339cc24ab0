//! The datagrams between entry hosts: heartbeats, and the news of those that watch the store.
//!
//! Only a few hosts of each region watch the store; they pass on what they see. Each heartbeat
//! tells how current its host is, so that one that missed a datagram finds out and catches up.

use std::{cell, net, rc, time};

use serde_json::json;
use tokio::net::UdpSocket;

use super::expiry_retention::{MissingSource, ReportedRetentions};
use super::fleet_change::ChangeSpan;
use super::host::EntryHost;
use super::partial_news::PartialNewsList;
use super::peer_message::{self, FleetNews, GoneServer, PeerHeartbeat, PeerMessage, WatchState};
use super::peers::PeerChange;
use super::store::{ObjectChange, ObjectContent, StoredObject};
use super::wire::WireProtocol;
use super::{
    catch_up, host_gossip, join_client, limit_role, news_part, quarantine_role, server_limit_role,
};
use crate::error::{self, Error};
use crate::event::EventCode;
use crate::result_code::ResultCode;
use crate::timer::Moment;

/// The time between two heartbeats: four of them fit into the time after which a silent host is
/// not named to callers any more.
const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
/// Every so many heartbeats carry the host's whole record.
const RECORD_EVERY: u64 = 4;

/// What a host that knows no other tells as the number of hosts that it knows.
const KNOWS_ITSELF: u32 = 1;

/// The socket for datagrams, and news of which some parts are still missing.
#[derive(Debug, Default)]
pub struct PeerSocket {
    socket: cell::OnceCell<rc::Rc<UdpSocket>>,
    partial: cell::RefCell<PartialNewsList>,
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
    let _first = host.socket.socket.set(rc::Rc::clone(&socket));
    tokio::task::spawn_local(receive(rc::Rc::clone(host), socket));
    tokio::task::spawn_local(beat(rc::Rc::clone(host)));
    Ok(())
}

fn open_socket(address: net::SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Tells the hosts of this region, and a few others, the present state at once.
pub fn announce<W: WireProtocol>(host: &EntryHost<W>) {
    let message = PeerMessage::Heartbeat(Box::new(host.heartbeat(true)));
    let targets = {
        let mut random = host.random.borrow_mut();
        let region = &host.settings().region;
        host.peers.borrow().all_near(region, &mut random)
    };
    send(host, &message, &targets);
}

/// Tells some hosts of this region that there is a new configuration.
pub fn announce_configuration<W: WireProtocol>(host: &EntryHost<W>) {
    let targets = {
        let mut random = host.random.borrow_mut();
        let region = &host.settings().region;
        host.peers.borrow().some_near(region, &mut random)
    };
    send(
        host,
        &PeerMessage::Heartbeat(Box::new(host.heartbeat(true))),
        &targets,
    );
}

/// Passes the word of a fetched configuration on, where those who announced it told only some.
pub fn pass_on_configuration<W: WireProtocol>(host: &EntryHost<W>) {
    let must_pass_on = host.peers.borrow().must_pass_on(&host.settings().region);
    if must_pass_on {
        announce_configuration(host);
    }
}

/// Passes on changes of servers that were seen in the store.
pub fn pass_on_fleet<W: WireProtocol>(
    host: &EntryHost<W>,
    since: u64,
    until: u64,
    changes: &[ObjectChange],
) {
    let parts = news_part::parts_of(changes);
    let now = host.now();
    let targets = host.peers.borrow().fleet_news_targets(&host.record(), now);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    for (number, part) in (0..).zip(parts) {
        let news = FleetNews {
            host: host.settings().name.clone(),
            since,
            until,
            part: number,
            parts: count,
            changed: part.changed,
            gone: gone_servers(host, part.gone, now),
            relay: false,
        };
        let relayed = FleetNews {
            relay: true,
            ..news.clone()
        };
        send(host, &PeerMessage::Fleet(news), &targets.direct);
        send(host, &PeerMessage::Fleet(relayed), &targets.relays);
    }
}

/// Servers that are gone, with how much longer this host keeps them.
fn gone_servers<W: WireProtocol>(
    host: &EntryHost<W>,
    ids: Vec<String>,
    now: Moment,
) -> Vec<GoneServer> {
    let fleet = host.fleet.borrow();
    let gone = ids.into_iter().map(|id| {
        let hold_ms = fleet.retention_ms(&id, now);
        GoneServer { id, hold_ms }
    });
    gone.collect()
}

pub(super) fn news_targets<W: WireProtocol>(host: &EntryHost<W>) -> Vec<net::SocketAddr> {
    host.peers.borrow().news_targets(&host.record(), host.now())
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
                // A lost datagram is made good by the next heartbeat.
                let _sent = socket.try_send_to(&bytes, *target);
            }
        }
        Err(fault) => host.note_malformed("self", &fault),
    }
}

/// Tells all hosts of this region, and some of each other one, that this host can serve, when it is one
/// of the first after a start: those that wait then ask it. The seeds may start last.
pub(super) fn announce_start<W: WireProtocol>(host: &EntryHost<W>) {
    let has_read = host.peers.borrow().has_read_entries();
    let is_due = host.is_ready() && host.is_starting() && has_read;
    if !is_due || !host.join.set_announced() {
        return;
    }
    let targets = host.peers.borrow().start_targets(&host.settings().region);
    send(
        host,
        &PeerMessage::Heartbeat(Box::new(host.heartbeat(true))),
        &targets,
    );
    host.join.on_discovered(host.record());
}

/// Tells some hosts at once of this one, which can serve now: by them look-ups learn of it.
pub(super) fn introduce<W: WireProtocol>(host: &EntryHost<W>) {
    beat_once(host, true);
}

async fn beat<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut beats = tokio::time::interval(HEARTBEAT);
    beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        beats.tick().await;
        beat_once(&host, count.is_multiple_of(RECORD_EVERY));
        count += 1;
    }
}

fn beat_once<W: WireProtocol>(host: &EntryHost<W>, whole: bool) {
    let heartbeat = host.heartbeat(whole);
    if heartbeat.known_hosts == KNOWS_ITSELF {
        greet_seeds(host);
        return;
    }
    let region = host.settings().region.clone();
    let (near, far) = {
        let mut random = host.random.borrow_mut();
        let peers = host.peers.borrow();
        let near = peers.near_targets(&region, &mut random);
        (near, peers.far_targets(&region, &mut random))
    };
    let far_heartbeat = heartbeat.for_other_regions();
    send(host, &PeerMessage::Heartbeat(Box::new(heartbeat)), &near);
    send(host, &PeerMessage::Heartbeat(Box::new(far_heartbeat)), &far);
}

/// Tells the seeds of this host, which knows no other. It may have been served by the store before it asked any.
fn greet_seeds<W: WireProtocol>(host: &EntryHost<W>) {
    let settings = host.settings();
    let seeds = settings.other_seeds();
    let targets: Vec<net::SocketAddr> = seeds
        .map(|seed| (seed, settings.heartbeat_port).into())
        .collect();
    let message = PeerMessage::Heartbeat(Box::new(host.heartbeat(true)));
    send(host, &message, &targets);
}

async fn receive<W: WireProtocol>(host: rc::Rc<EntryHost<W>>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0_u8; 2 * news_part::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(HEARTBEAT).await;
            continue;
        };
        match peer_message::from_bytes::<PeerMessage>(&buffer[..length]) {
            Ok(PeerMessage::Heartbeat(heartbeat)) => on_heartbeat(&host, &heartbeat, source),
            Ok(PeerMessage::Fleet(news)) => {
                on_fleet_news(&host, &news);
                relay_fleet_news(&host, news, source);
            }
            Ok(PeerMessage::Hosts(news)) => host_gossip::on_host_news(&host, &news),
            Ok(PeerMessage::WhoIs(request)) => host_gossip::tell_who(&host, &request, source),
            Ok(PeerMessage::Who(records)) => host_gossip::on_who(&host, &records),
            Ok(PeerMessage::Limit(message)) => limit_role::on_message(&host, message, source),
            Ok(PeerMessage::Quarantine(message)) => quarantine_role::on_message(&host, &message),
            Ok(PeerMessage::ServerLimit(message)) => {
                server_limit_role::on_message(&host, message, source);
            }
            Ok(PeerMessage::Leaving(servers)) => host.on_leaving_told(&servers, "peer"),
            Ok(PeerMessage::RolloutReport(report)) => {
                host.rollouts.on_host_report(report, host.now());
            }
            Ok(PeerMessage::RegionRollout(report)) => {
                host.rollouts.on_region_report(report, host.now());
            }
            Err(fault) => host.note_malformed(&source.to_string(), &fault),
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
    let is_met = host.peers.borrow().run_of(&heartbeat.host) > 0;
    if heartbeat.known_hosts == KNOWS_ITSELF && is_met {
        let greeting = PeerMessage::Heartbeat(Box::new(host.heartbeat(true)));
        send(host, &greeting, &[source]);
    }
    host_gossip::ask_who(host, heartbeat, source);
    let position = heartbeat.fleet_changed.max(heartbeat.evacuation_changed);
    host.on_store_position(position, &heartbeat.host);
    let is_same = heartbeat.configuration_version == host.configuration_version();
    if heartbeat.watch == WatchState::Watching && is_same {
        host.on_configuration_confirmed(now);
    }
    let event = match change {
        PeerChange::Heard => Some(EventCode::MemberJoined),
        PeerChange::Leaving => Some(EventCode::MemberLeaving),
        PeerChange::None => None,
    };
    if let Some(event) = event {
        host.note(
            event,
            json!({ "peer": heartbeat.host, "run": heartbeat.run }),
        );
    }
    if heartbeat.evacuation_changed > host.evacuation_revision() {
        let halls = heartbeat.evacuated.iter().cloned().collect();
        host.on_evacuation_list(halls, heartbeat.evacuation_changed);
    }
    host.on_limit_updates(&heartbeat.server_limits, Some(source));
    host.on_leaving_told(&heartbeat.leaving_servers, &heartbeat.host);
    host.on_rollout_news(&heartbeat.rollouts);
    if heartbeat.ready && !heartbeat.leaving {
        join_client::on_ready_peer(host, heartbeat);
    }
    catch_up::on_heartbeat(host, heartbeat);
}

/// Passes news of servers on to the own hall, if a watcher of another hall asks for it.
fn relay_fleet_news<W: WireProtocol>(
    host: &EntryHost<W>,
    news: FleetNews,
    source: net::SocketAddr,
) {
    if !news.relay {
        return;
    }
    let mut targets = host.peers.borrow().hall_targets(&host.record());
    targets.retain(|target| *target != source);
    let news = FleetNews {
        relay: false,
        ..news
    };
    send(host, &PeerMessage::Fleet(news), &targets);
}

pub(super) fn on_fleet_news<W: WireProtocol>(host: &EntryHost<W>, news: &FleetNews) {
    let told = ReportedRetentions::from_gone(&news.gone, host.now());
    let whole = host.socket.partial.borrow_mut().on_part(news);
    let fleet = host.fleet.borrow();
    let contiguous = whole && fleet.is_listed() && news.since <= fleet.revision();
    drop(fleet);
    let span = ChangeSpan {
        until: news.until,
        contiguous,
    };
    let missing = MissingSource::Peer(&told);
    host.on_server_changes(&changes_of(news), span, missing, &news.host);
}

fn changes_of(news: &FleetNews) -> Vec<ObjectChange> {
    let changed = news.changed.iter().map(|object| ObjectChange {
        object: StoredObject::from(object.clone()),
        deleted: false,
    });
    let gone = news.gone.iter().map(|server| ObjectChange {
        object: StoredObject {
            name: server.id.clone(),
            // Its end lies somewhere up to here; who has seen it later than that knows better.
            revision: news.until,
            content: ObjectContent::Unreadable(String::new()),
        },
        deleted: true,
    });
    changed.chain(gone).collect()
}
