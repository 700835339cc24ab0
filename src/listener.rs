//! An accept loop that limits connections, header size and time, and drains at shutdown.

use std::{convert, net, time};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::sync::watch;

use crate::shared_stream::SharedStream;

/// Time within which a request's headers must arrive, and the longest idle time of a connection.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
const ACCEPT_BACKLOG: u32 = 4_096;

/// Opens a listening socket that several threads can accept from.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(address: net::SocketAddr) -> std::io::Result<net::TcpListener> {
    let socket = if address.is_ipv4() {
        tokio::net::TcpSocket::new_v4()?
    } else {
        tokio::net::TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)?.into_std()
}

/// Accepts and serves connections until `stop` turns true, then waits for requests in flight.
///
/// A connection beyond `max_connections` is closed without a response, which proves to the caller
/// that nothing was run.
pub async fn serve<H, F, B>(
    listener: tokio::net::TcpListener,
    max_connections: usize,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(http::Request<Incoming>, net::SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = http::Response<B>> + Send + 'static,
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if graceful.count() >= max_connections || stream.set_nodelay(true).is_err() {
            continue;
        }
        let stream = SharedStream::from(stream);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request, peer);
            async move { Ok::<_, convert::Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(stream.clone()), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                // The caller sees a broken connection itself; nobody else is affected.
                _outcome = watched => {}
                // The HTTP server does not notice the close while it has buffered a part of the next
                // request.
                () = stream.peer_closed() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    while !*stop.borrow_and_update() {
        if stop.changed().await.is_err() {
            return;
        }
    }
}
