//! What hosts tell each other of servers that say that they leave.
//!
//! **Load pattern.** The store is silent, or turns some hosts away, while servers are replaced. A server tells with its
//! answers that it leaves; a host that sends it few requests would hear that late, and lose those that the server does not
//! finish before it ends. The word never goes back, so that it needs no versions: a host that hears of it tells it on once.

use std::cell;

use super::gossip;
use super::host::EntryHost;
use super::peer_message::PeerMessage;
use super::wire::WireProtocol;

/// Servers that one heartbeat names in turn, for hosts that missed the news; 8 bytes each.
const SERVERS_PER_HEARTBEAT: usize = 8;
/// Servers in one datagram of news; some 1,000 bytes.
const SERVERS_PER_DATAGRAM: usize = 128;

/// Servers of which other hosts are to be told, by the hashes of identity and start.
#[derive(Debug, Default)]
pub struct LeavingNews {
    lists: cell::RefCell<LeavingLists>,
}

#[derive(Debug, Default)]
struct LeavingLists {
    /// To be told at once.
    untold: Vec<u64>,
    /// Those of which the store does not tell yet.
    known: Vec<u64>,
    /// Where the next heartbeat goes on.
    cursor: usize,
}

impl LeavingNews {
    /// A server is known to leave. It is told on once.
    pub(super) fn push(&self, server: u64) {
        let mut lists = self.lists.borrow_mut();
        if !lists.known.contains(&server) {
            lists.untold.push(server);
            lists.known.push(server);
        }
    }

    /// What the next heartbeat tells: all of it in turn.
    pub(super) fn in_turn(&self) -> Vec<u64> {
        let mut lists = self.lists.borrow_mut();
        let count = lists.known.len();
        let told = count.min(SERVERS_PER_HEARTBEAT);
        let known = lists.known.iter().cycle().skip(lists.cursor);
        let servers = known.take(told).copied().collect();
        lists.cursor = (lists.cursor + told).checked_rem(count).unwrap_or(0);
        servers
    }

    fn take_untold(&self) -> Vec<u64> {
        std::mem::take(&mut self.lists.borrow_mut().untold)
    }

    fn retain(&self, is_news: impl Fn(u64) -> bool) {
        let mut lists = self.lists.borrow_mut();
        lists.known.retain(|server| is_news(*server));
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Another host tells of servers that leave.
    pub(super) fn on_leaving_told(&self, servers: &[u64], source: &str) {
        for incarnation_hash in servers {
            let server = self.fleet.borrow().of_incarnation(*incarnation_hash);
            let Some(server) = server.filter(|server| !server.is_draining()) else {
                continue;
            };
            self.on_server_leaving(&server, source);
            self.leaving_news.push(*incarnation_hash);
        }
    }

    /// Tells some hosts at once which servers leave; for whom it is news, they tell it on.
    pub(super) fn on_leaving_tick(&self) {
        let fleet = self.fleet.borrow();
        let is_news = |server| {
            let server = fleet.of_incarnation(server);
            server.is_some_and(|server| !server.is_draining())
        };
        self.leaving_news.retain(is_news);
        drop(fleet);
        let untold = self.leaving_news.take_untold();
        if untold.is_empty() {
            return;
        }
        let region = self.settings().region.clone();
        let targets = {
            let mut random = self.random.borrow_mut();
            self.peers.borrow().word_targets(&region, &mut random)
        };
        for part in untold.chunks(SERVERS_PER_DATAGRAM) {
            gossip::send(self, &PeerMessage::Leaving(part.to_vec()), &targets);
        }
    }
}
