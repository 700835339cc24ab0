//! Small HTTP/1.1 exchanges with a timeout, on hyper's client connections.

use std::{net, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;

use crate::client_sender::{ClientSender, SendFault};
use crate::request_body::RequestBody;
use crate::tcp_close;
use crate::tcp_keepalive::{self, ProbeStart};

/// Why an exchange failed, by whether the request may have reached the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFault {
    /// The request was never written.
    NotSent,
    /// The request may have reached the server.
    Lost,
}

impl From<SendFault> for ExchangeFault {
    fn from(fault: SendFault) -> Self {
        match fault {
            SendFault::NotSent => Self::NotSent,
            SendFault::Broken | SendFault::Framing(_) => Self::Lost,
        }
    }
}

/// Opens a connection, whose driver runs as a task until the connection closes.
///
/// TCP keepalive is on, because a response may take long, as that of a watch does.
///
/// # Errors
/// `NotSent` when the connection cannot be opened in time.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> Result<ClientSender, ExchangeFault> {
    connect_with(address, timeout, ProbeStart::Early).await
}

/// Like [`connect`], with this start of the probes.
///
/// # Errors
/// `NotSent` when the connection cannot be opened in time.
pub async fn connect_with(
    address: net::SocketAddr,
    timeout: time::Duration,
    probes: ProbeStart,
) -> Result<ClientSender, ExchangeFault> {
    let opening = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        tcp_keepalive::enable(&stream, probes).ok()?;
        tcp_close::discard_unsent(&stream).ok()?;
        ClientSender::handshake(stream).await.ok()
    };
    let opened = tokio::time::timeout(timeout, opening).await;
    opened.ok().flatten().ok_or(ExchangeFault::NotSent)
}

/// A whole small response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SmallAnswer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Sends one request on a new connection and reads the whole response, of at most `max_bytes`,
/// within `timeout`.
///
/// # Errors
/// [`ExchangeFault`], which tells whether the request may have reached the server.
pub async fn exchange(
    address: net::SocketAddr,
    request: http::Request<RequestBody>,
    timeout: time::Duration,
    max_bytes: usize,
) -> Result<SmallAnswer, ExchangeFault> {
    let deadline = tokio::time::Instant::now() + timeout;
    let mut sender = connect(address, timeout).await?;
    let answered =
        tokio::time::timeout_at(deadline, read_answer(&mut sender, request, max_bytes)).await;
    answered.unwrap_or(Err(ExchangeFault::Lost))
}

/// Sends one request on an open connection and reads the head of the response.
///
/// # Errors
/// [`ExchangeFault`], which tells whether the request may have reached the server.
pub async fn read_head(
    sender: &mut ClientSender,
    request: http::Request<RequestBody>,
) -> Result<http::Response<Incoming>, ExchangeFault> {
    Ok(sender.try_send_request(request).await?)
}

/// Sends one request on an open connection and reads the whole response.
///
/// # Errors
/// [`ExchangeFault`], which tells whether the request may have reached the server.
pub async fn read_answer(
    sender: &mut ClientSender,
    request: http::Request<RequestBody>,
    max_bytes: usize,
) -> Result<SmallAnswer, ExchangeFault> {
    let (head, body) = read_head(sender, request).await?.into_parts();
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|_fault| ExchangeFault::Lost)?;
    Ok(SmallAnswer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
