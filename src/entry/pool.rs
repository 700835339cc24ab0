//! Opens connections to backend servers and pools idle ones, by server incarnation.

use std::{collections, net, time};

use super::fleet_server::FleetServer;
use super::server_connection::{ConnectionRecord, ServerConnection};
use crate::client_sender::ClientSender;
use crate::tcp_close;
use crate::tcp_keepalive::{self, ProbeStart};
use crate::timer::Moment;

/// An idle connection is dropped this long before the server's keep-alive time ends, in
/// milliseconds.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_000;
/// Keep-alive time assumed for a server that sends none, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 4_000;
/// Longest idle time of a connection that may carry a request which must not run twice, in
/// milliseconds. If a connection breaks during the write, it is unknown whether the request ran.
const MAX_FRESH_IDLE_MS: u64 = 2_000;
/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    since: Moment,
    until: Moment,
}

/// The idle connections of a host to its backend servers.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: collections::HashMap<String, Vec<IdleConnection>>,
}

impl ServerPool {
    /// Takes an idle connection for the request `id`, the most recently used one first. With
    /// `must_be_fresh`, it must have been idle for a short time only.
    pub fn take(
        &mut self,
        server_id: &str,
        id: &str,
        must_be_fresh: bool,
        now: Moment,
    ) -> Option<ServerConnection> {
        let idle = self.idle.get_mut(server_id)?;
        for place in (0..idle.len()).rev() {
            let one = &idle[place];
            if now >= one.until || !one.connection.sender.is_ready() {
                idle.remove(place);
                continue;
            }
            if must_be_fresh && now.since(one.since) > MAX_FRESH_IDLE_MS {
                return None;
            }
            if one.connection.record.may_carry(id) {
                return Some(idle.remove(place).connection);
            }
        }
        None
    }

    /// Adds a connection whose last answer was read completely, unless it must not be used again.
    pub fn put(
        &mut self,
        server_id: &str,
        connection: ServerConnection,
        keep_alive: Option<time::Duration>,
        now: Moment,
    ) {
        let keep_alive_ms =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE_MS, |time| time.as_millis() as u64);
        let keep_ms = keep_alive_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS);
        let idle = self.idle.entry(server_id.to_owned()).or_default();
        let is_usable = !connection.sender.is_closed() && !connection.record.is_full();
        if keep_ms == 0 || idle.len() >= MAX_IDLE_PER_SERVER || !is_usable {
            return;
        }
        idle.push(IdleConnection {
            connection,
            since: now,
            until: now.plus(keep_ms),
        });
    }

    /// Closes all connections of a server.
    pub fn forget(&mut self, server_id: &str) {
        self.idle.remove(server_id);
    }

    /// Closes expired and broken connections, those to servers that are gone, and the oldest of more
    /// than `max_idle`.
    pub fn on_tick(&mut self, is_gone: impl Fn(&str) -> bool, max_idle: usize, now: Moment) {
        self.idle.retain(|server_id, idle| {
            idle.retain(|one| now < one.until && !one.connection.sender.is_closed());
            !idle.is_empty() && !is_gone(server_id)
        });
        let surplus = self.idle_count().saturating_sub(max_idle);
        if surplus > 0 {
            self.close_oldest(surplus);
        }
    }

    fn close_oldest(&mut self, count: usize) {
        let mut since: Vec<Moment> = self.idle.values().flatten().map(|one| one.since).collect();
        since.sort_unstable();
        let Some(last) = since.get(count - 1).copied() else {
            return;
        };
        for idle in self.idle.values_mut() {
            idle.retain(|one| one.since > last);
        }
    }

    /// The number of idle connections, for metrics.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFault {
    /// The server's machine refused the connection: no process listens there.
    #[error("the connection was refused")]
    Refused,
    /// The connection timed out or broke. The server may still be running.
    #[error("the connection did not come up")]
    Unreachable,
}

/// Opens a connection from the local address `source` and spawns the task that drives it until it
/// closes.
///
/// # Errors
/// `Refused`, or `Unreachable` when no connection is established within `timeout`.
pub async fn connect(
    server: &FleetServer,
    source: Option<net::IpAddr>,
    timeout: time::Duration,
) -> Result<ServerConnection, ConnectFault> {
    let opening = open_stream(server.address, source);
    let stream = match tokio::time::timeout(timeout, opening).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(ConnectFault::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(ConnectFault::Unreachable),
    };
    let local_port = stream.local_addr().map_or(0, |address| address.port());
    let Ok(sender) = ClientSender::handshake(stream).await else {
        return Err(ConnectFault::Unreachable);
    };
    Ok(ServerConnection {
        sender,
        record: ConnectionRecord::new(local_port),
    })
}

async fn open_stream(
    address: net::SocketAddr,
    source: Option<net::IpAddr>,
) -> std::io::Result<tokio::net::TcpStream> {
    let socket = if address.is_ipv4() {
        tokio::net::TcpSocket::new_v4()?
    } else {
        tokio::net::TcpSocket::new_v6()?
    };
    if let Some(source) = source {
        socket.bind((source, 0).into())?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    tcp_keepalive::enable(&stream, ProbeStart::Late)?;
    tcp_close::discard_unsent(&stream)?;
    Ok(stream)
}
