//! Announcements: heartbeats that a host sends between its regular ones, so that others learn at once
//! that it has newer state.

use std::{rc, time};

use super::gossip;
use super::host::EntryHost;
use super::peer_message::PeerMessage;
use super::wire::WireProtocol;

/// The delay of the second announcement of changes. Datagrams that are sent together may be lost
/// together.
const REPEAT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Sends a heartbeat with the current state to all hosts of this region and a few others.
pub fn announce<W: WireProtocol>(host: &EntryHost<W>) {
    let message = PeerMessage::Heartbeat(Box::new(host.heartbeat(true)));
    let targets = {
        let mut random = host.random.borrow_mut();
        let region = &host.settings().region;
        host.peers.borrow().broadcast_targets(region, &mut random)
    };
    gossip::send(host, &message, &targets);
}

/// Announces a new configuration, or other newer state, to some hosts of this region.
pub fn announce_configuration<W: WireProtocol>(host: &EntryHost<W>) {
    let targets = {
        let mut random = host.random.borrow_mut();
        let region = &host.settings().region;
        host.peers.borrow().announce_targets(region, &mut random)
    };
    gossip::send(
        host,
        &PeerMessage::Heartbeat(Box::new(host.heartbeat(true))),
        &targets,
    );
}

/// Announces this host's state to the hosts that probably watch the store for the other regions. A
/// silence of the store that this host has noticed may have swallowed their watches as well.
fn announce_to_watchers<W: WireProtocol>(host: &EntryHost<W>) {
    let region = &host.settings().region;
    let targets = host.peers.borrow().relay_targets(region, host.now());
    let heartbeat = host.heartbeat(true).for_other_regions();
    gossip::send(host, &PeerMessage::Heartbeat(Box::new(heartbeat)), &targets);
}

/// Announces changes that a check of the store found: to the watchers of the other regions, and
/// after [`REPEAT_DELAY`] to them and to this region again. After a silence of the store no other
/// watcher may know the changes, so a host that misses a datagram would wait for a heartbeat.
pub(super) fn announce_found_changes<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) {
    announce_to_watchers(host);
    let host = rc::Rc::clone(host);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(REPEAT_DELAY).await;
        announce_to_watchers(&host);
        announce_configuration(&host);
    });
}

/// Announces a fetched configuration further if the region is too large for the first announcement.
pub fn forward_configuration_announcement<W: WireProtocol>(host: &EntryHost<W>) {
    let must_forward_announcement = host
        .peers
        .borrow()
        .must_forward_announcement(&host.settings().region);
    if must_forward_announcement {
        announce_configuration(host);
    }
}

/// Announces that this host can serve, if it is one of the first after a start: hosts that wait for
/// state then ask it. Seeds may start later than other hosts. Goes to all hosts of this region and
/// some of each other region.
pub(super) fn announce_start<W: WireProtocol>(host: &EntryHost<W>) {
    let has_read = host.peers.borrow().has_read_entries();
    let is_due = host.is_ready() && host.is_starting() && has_read;
    if !is_due || !host.join.set_announced() {
        return;
    }
    let targets = host.peers.borrow().start_targets(&host.settings().region);
    gossip::send(
        host,
        &PeerMessage::Heartbeat(Box::new(host.heartbeat(true))),
        &targets,
    );
    host.join.on_discovered(host.record());
}
