//! A fault-injecting TCP proxy: it forwards, delays or freezes traffic, cuts connections, or drops
//! answers.
//!
//! `PUT /` on its admin address with a [`ProxyMode`] as JSON sets the mode, also for open
//! connections.

use std::{net, time};

use hyper::body::Incoming;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{RunningStandin, SmallBody, empty_response, read_body};
use crate::listener;

const BUFFER_BYTES: usize = 16 * 1024;
const MAX_ADMIN_CONNECTIONS: usize = 64;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How the proxy treats traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyMode {
    /// All traffic is forwarded.
    #[default]
    Pass,
    /// Each chunk is delayed by this time in milliseconds, in both directions.
    Delay(u64),
    /// Connections stay open, but no data is forwarded.
    Freeze,
    /// Open connections are closed, and new ones are closed immediately.
    Cut,
    /// Requests are forwarded, answers are dropped.
    LoseAnswers,
}

/// A proxy with its admin address.
#[derive(Debug)]
pub struct RunningProxy {
    /// The proxy.
    pub proxy: RunningStandin,
    /// Its admin listener.
    pub admin: RunningStandin,
}

/// Starts the proxy on two threads.
///
/// # Errors
/// When an address cannot be bound.
pub fn start(
    listen: net::SocketAddr,
    to: net::SocketAddr,
    admin: net::SocketAddr,
) -> std::io::Result<RunningProxy> {
    let (sender, receiver) = watch::channel(ProxyMode::Pass);
    let proxy = super::spawn("proxy-standin", listen, move |listener, _stop| {
        accept(listener, to, receiver)
    })?;
    let admin = super::spawn("proxy-admin", admin, |listener, stop| {
        serve_admin(listener, stop, sender)
    })?;
    Ok(RunningProxy { proxy, admin })
}

async fn serve_admin(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    sender: watch::Sender<ProxyMode>,
) {
    let sender = std::sync::Arc::new(sender);
    let handler = move |request: http::Request<Incoming>, _peer| {
        let sender = std::sync::Arc::clone(&sender);
        async move { set_mode(&sender, request).await }
    };
    listener::serve(listener, MAX_ADMIN_CONNECTIONS, stop, handler).await;
}

async fn set_mode(
    sender: &watch::Sender<ProxyMode>,
    request: http::Request<Incoming>,
) -> http::Response<SmallBody> {
    let bytes = read_body(request.into_body()).await.unwrap_or_default();
    match serde_json::from_slice(&bytes) {
        Ok(mode) => {
            sender.send_replace(mode);
            empty_response(http::StatusCode::OK)
        }
        Err(_fault) => empty_response(http::StatusCode::BAD_REQUEST),
    }
}

async fn accept(listener: TcpListener, to: net::SocketAddr, mode: watch::Receiver<ProxyMode>) {
    loop {
        let Ok((client, _peer)) = listener.accept().await else {
            continue;
        };
        if *mode.borrow() == ProxyMode::Cut {
            continue;
        }
        let mode = mode.clone();
        tokio::spawn(async move { forward(client, to, mode).await });
    }
}

async fn forward(client: TcpStream, to: net::SocketAddr, mode: watch::Receiver<ProxyMode>) {
    let Ok(Ok(server)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, mode.clone(), false);
    let answers = copy(server_read, client_write, mode.clone(), true);
    tokio::select! {
        () = async { tokio::join!(requests, answers); } => {}
        () = until_cut(mode) => {}
    }
}

async fn until_cut(mut mode: watch::Receiver<ProxyMode>) {
    if mode.wait_for(|mode| *mode == ProxyMode::Cut).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    answers: bool,
) {
    let mut buffer = vec![0_u8; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if length == 0 {
            // Propagates the end of the stream to the other side.
            let _outcome = to.shutdown().await;
            return;
        }
        if mode
            .wait_for(|mode| *mode != ProxyMode::Freeze)
            .await
            .is_err()
        {
            return;
        }
        let now = *mode.borrow();
        if let ProxyMode::Delay(millis) = now {
            tokio::time::sleep(time::Duration::from_millis(millis)).await;
        }
        if now == ProxyMode::LoseAnswers && answers {
            continue;
        }
        let Some(chunk) = buffer.get(..length) else {
            return;
        };
        if to.write_all(chunk).await.is_err() {
            return;
        }
    }
}
