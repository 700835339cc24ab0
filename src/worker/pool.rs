//! Idle connections to backend servers, owned by one worker.

use std::{collections, net};

use crate::client_sender::ClientSender;

/// Idle connections retained for each server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// A connection, and whether an answer was already received over it.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) sender: ClientSender,
    pub(super) used: bool,
}

/// The idle connections of a worker.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: collections::HashMap<net::SocketAddr, Vec<PooledConnection>>,
}

impl ConnectionPool {
    /// Takes a usable idle connection; the most recently used one comes first.
    pub(super) fn take(&mut self, address: net::SocketAddr) -> Option<PooledConnection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Retains a connection whose last answer was read completely.
    pub(super) fn put(&mut self, address: net::SocketAddr, connection: PooledConnection) {
        let idle = self.idle.entry(address).or_default();
        idle.retain(|connection| !connection.sender.is_closed());
        if idle.len() < MAX_IDLE_PER_SERVER && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}
