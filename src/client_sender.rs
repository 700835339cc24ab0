//! The sending half of an HTTP/1.1 connection to a server, the store or another host. All answers
//! that this program reads arrive here, and those that cannot be read with certainty are rejected.

use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body_framing::{self, FramingFault};
use crate::checked_stream::{AnswerSignal, CheckedStream};
use crate::request_body::RequestBody;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendFault {
    /// The request was never written.
    #[error("the connection was closed before the request was written")]
    NotSent,
    /// The connection broke, or what arrived is no answer in the protocol.
    #[error("the connection broke before an answer")]
    Broken,
    /// The length of the answer's body is unknown.
    #[error("the length of the answer's body is unknown: {0}")]
    Framing(#[from] FramingFault),
}

/// The sending half of a connection.
#[derive(Debug)]
pub struct ClientSender {
    sender: http1::SendRequest<RequestBody>,
    signal: AnswerSignal,
}

impl ClientSender {
    /// Prepares a connection on `stream` and spawns the task that drives it until it closes.
    ///
    /// # Errors
    /// When the connection is already closed.
    pub async fn handshake(stream: TcpStream) -> hyper::Result<Self> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let signal = AnswerSignal::default();
        let stream = CheckedStream::new(stream, signal.clone());
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // A broken connection shows up as an error of the request that uses it.
            let _outcome = connection.await;
        });
        Ok(Self { sender, signal })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendFault`]. After a fault the connection must not be used again.
    pub async fn try_send_request(
        &mut self,
        request: http::Request<RequestBody>,
    ) -> Result<http::Response<Incoming>, SendFault> {
        self.signal.expect_answer();
        let answer = self.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut fault| match fault.take_message() {
            Some(_unsent) => SendFault::NotSent,
            None => SendFault::Broken,
        })?;
        body_framing::check(answer.status(), answer.headers())?;
        Ok(answer)
    }

    /// Waits until the connection can take a request.
    ///
    /// # Errors
    /// When the connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether the connection is open and no request is waiting for its answer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
