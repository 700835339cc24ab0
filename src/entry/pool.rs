//! Kept connections to backend servers, by incarnation.

use std::{collections, net, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;

use super::fleet_server::FleetServer;
use crate::tcp_keepalive;
use crate::timer::Moment;

/// A connection is not used again this long before the server closes it, in milliseconds.
const CLOSE_MARGIN_MS: u64 = 1_000;
/// Assumed where a server does not tell how long a connection may rest, in milliseconds.
const UNTOLD_KEEP_MS: u64 = 4_000;
/// A request that must not run twice goes over a connection only if it rested less than this, in
/// milliseconds: a connection that breaks as it is used leaves open whether the request ran.
const FRESH_MS: u64 = 2_000;
/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Idle connections kept for one server.
const MAX_IDLE: usize = 8;

/// The sending half of a connection.
pub type ServerSender = http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    sender: ServerSender,
    since: Moment,
    until: Moment,
}

/// The idle connections of a host.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: collections::HashMap<String, Vec<IdleConnection>>,
}

impl ServerPool {
    /// A sound idle connection, the last used first.
    pub fn take(
        &mut self,
        server_id: &str,
        must_be_fresh: bool,
        now: Moment,
    ) -> Option<ServerSender> {
        let idle = self.idle.get_mut(server_id)?;
        while let Some(connection) = idle.pop() {
            let stale = now >= connection.until;
            let rested = now.since(connection.since) > FRESH_MS;
            if stale || !connection.sender.is_ready() {
                continue;
            }
            if must_be_fresh && rested {
                idle.push(connection);
                return None;
            }
            return Some(connection.sender);
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(
        &mut self,
        server_id: &str,
        sender: ServerSender,
        keep_alive: Option<time::Duration>,
        now: Moment,
    ) {
        let told = keep_alive.map_or(UNTOLD_KEEP_MS, |told| told.as_millis() as u64);
        let keep_ms = told.saturating_sub(CLOSE_MARGIN_MS);
        let idle = self.idle.entry(server_id.to_owned()).or_default();
        if keep_ms == 0 || idle.len() >= MAX_IDLE || sender.is_closed() {
            return;
        }
        idle.push(IdleConnection {
            sender,
            since: now,
            until: now.plus(keep_ms),
        });
    }

    /// Closes all connections of a server.
    pub fn forget(&mut self, server_id: &str) {
        self.idle.remove(server_id);
    }

    /// Closes what rested too long, and the connections of servers that are gone.
    pub fn on_tick(&mut self, is_gone: impl Fn(&str) -> bool, now: Moment) {
        self.idle.retain(|server_id, idle| {
            idle.retain(|connection| now < connection.until && !connection.sender.is_closed());
            !idle.is_empty() && !is_gone(server_id)
        });
    }

    /// Idle connections, for metrics.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Why a connection did not come up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectFault {
    /// The server's machine says that nobody listens there: its process has ended.
    #[error("the connection was refused")]
    Refused,
    /// It did not come up in time, or broke; the server may run all the same.
    #[error("the connection did not come up")]
    Silent,
}

/// Opens a connection; its driver runs as a task until it ends.
///
/// # Errors
/// `Refused`, or `Silent` when it does not come up within `limit`.
pub async fn connect(
    server: &FleetServer,
    limit: time::Duration,
) -> Result<ServerSender, ConnectFault> {
    let stream = match tokio::time::timeout(limit, open_stream(server.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(ConnectFault::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(ConnectFault::Silent),
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let Ok((sender, connection)) = handshake else {
        return Err(ConnectFault::Silent);
    };
    tokio::spawn(async move {
        // The sender learns of a broken connection by its own request.
        let _outcome = connection.await;
    });
    Ok(sender)
}

async fn open_stream(address: net::SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    tcp_keepalive::enable(&stream)?;
    Ok(stream)
}
