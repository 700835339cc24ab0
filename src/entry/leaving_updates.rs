//! Spreads among hosts which backend servers have announced that they are leaving.
//!
//! **Load pattern.** Servers are replaced while the store is unreachable or rejects some hosts. A
//! server announces in its answers that it is leaving. A host that sends it few requests would
//! learn that late and lose the requests that the server does not finish before it exits. The
//! announcement is never withdrawn, so it needs no versions: a host that learns of it forwards it
//! once.

use std::cell;

use super::gossip;
use super::host::EntryHost;
use super::peer_message::PeerMessage;
use super::wire::WireProtocol;

/// Maximum number of servers in one heartbeat, 8 bytes each. Heartbeats repeat all servers round
/// robin, for hosts that missed the update.
const MAX_SERVERS_PER_HEARTBEAT: usize = 8;
/// Maximum number of servers in one update datagram: about 1,000 bytes.
const MAX_SERVERS_PER_DATAGRAM: usize = 128;

/// Leaving servers that are reported to other hosts, by the hash of server id and start time.
#[derive(Debug, Default)]
pub struct LeavingUpdates {
    lists: cell::RefCell<LeavingLists>,
}

#[derive(Debug, Default)]
struct LeavingLists {
    /// Not sent yet.
    unsent: Vec<u64>,
    /// All servers whose leaving is not in the store yet.
    known: Vec<u64>,
    /// The position in `known` at which the next heartbeat starts.
    cursor: usize,
}

impl LeavingUpdates {
    /// Adds a leaving server, to be sent to other hosts once.
    pub(super) fn push(&self, server: u64) {
        let mut lists = self.lists.borrow_mut();
        if !lists.known.contains(&server) {
            lists.unsent.push(server);
            lists.known.push(server);
        }
    }

    /// The servers for the next heartbeat, round robin.
    pub(super) fn next_for_heartbeat(&self) -> Vec<u64> {
        let mut lists = self.lists.borrow_mut();
        let count = lists.known.len();
        let sent = count.min(MAX_SERVERS_PER_HEARTBEAT);
        let known = lists.known.iter().cycle().skip(lists.cursor);
        let servers = known.take(sent).copied().collect();
        lists.cursor = (lists.cursor + sent).checked_rem(count).unwrap_or(0);
        servers
    }

    fn take_unsent(&self) -> Vec<u64> {
        std::mem::take(&mut self.lists.borrow_mut().unsent)
    }

    fn retain(&self, is_unknown_to_store: impl Fn(u64) -> bool) {
        let mut lists = self.lists.borrow_mut();
        lists.known.retain(|server| is_unknown_to_store(*server));
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Handles a report of another host about leaving servers.
    pub(super) fn on_leaving_report(&self, servers: &[u64], source: &str) {
        for incarnation_hash in servers {
            let server = self.fleet.borrow().of_incarnation(*incarnation_hash);
            let Some(server) = server.filter(|server| !server.is_draining()) else {
                continue;
            };
            self.on_server_leaving(&server, source);
            self.leaving_updates.push(*incarnation_hash);
        }
    }

    /// Sends new entries to some hosts at once; those that did not know them forward them.
    pub(super) fn on_leaving_tick(&self) {
        let fleet = self.fleet.borrow();
        let is_unknown_to_store = |server| {
            let server = fleet.of_incarnation(server);
            server.is_some_and(|server| !server.is_draining())
        };
        self.leaving_updates.retain(is_unknown_to_store);
        drop(fleet);
        let unsent = self.leaving_updates.take_unsent();
        if unsent.is_empty() {
            return;
        }
        let region = self.settings().region.clone();
        let targets = {
            let mut random = self.random.borrow_mut();
            self.peers.borrow().gossip_targets(&region, &mut random)
        };
        for servers in unsent.chunks(MAX_SERVERS_PER_DATAGRAM) {
            gossip::send(self, &PeerMessage::Leaving(servers.to_vec()), &targets);
        }
    }
}
