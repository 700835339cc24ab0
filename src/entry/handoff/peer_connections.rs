//! Idle connections to other hosts.

use std::{collections, net};

use crate::client_sender::ClientSender;
use crate::timer::Moment;

/// Idle time after which a connection is closed, in milliseconds.
const MAX_IDLE_MS: u64 = 10_000;
/// Maximum number of idle connections per host.
const MAX_IDLE_PER_HOST: usize = 16;

/// The idle connections to other hosts, by peer address.
#[derive(Debug, Default)]
pub(super) struct PeerConnections {
    idle: collections::HashMap<net::SocketAddr, Vec<(ClientSender, Moment)>>,
}

impl PeerConnections {
    /// Takes the most recently used connection that is still open.
    pub(super) fn take(&mut self, address: net::SocketAddr) -> Option<ClientSender> {
        let idle = self.idle.get_mut(&address)?;
        while let Some((sender, _since)) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Adds a connection whose last answer was read completely.
    pub(super) fn put(&mut self, address: net::SocketAddr, sender: ClientSender, now: Moment) {
        let idle = self.idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_HOST && !sender.is_closed() {
            idle.push((sender, now));
        }
    }

    /// Closes connections that were idle for too long.
    pub(super) fn on_tick(&mut self, now: Moment) {
        self.idle.retain(|_address, idle| {
            idle.retain(|(sender, since)| !sender.is_closed() && now.since(*since) <= MAX_IDLE_MS);
            !idle.is_empty()
        });
    }
}
