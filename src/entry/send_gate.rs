//! The gate that each request passes last, just before it is written to a server.
//!
//! A server is chosen before rights are asked for and a connection is opened. What the server, the store or the
//! operator says meanwhile counts here: nothing else writes requests to servers, and only the gate makes the permits that
//! it takes.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn;
use serde_json::json;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::pool::ServerSender;
use super::server_limit::right::SendRight;
use super::server_notice::ServerStanding;
use super::wire::WireProtocol;
use crate::event::EventCode;

/// A request as it is written to a server.
pub(super) type ServerMessage = http::Request<Full<Bytes>>;

/// Permission to write one request to one server now.
#[derive(Debug)]
pub(super) struct SendPermit(());

/// Why a request that was on its way to a server is not written to it. The server is not to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldCause {
    /// The server leaves, is gone, or wants rest.
    ServerClosed,
    /// Its hall gets no work.
    HallEvacuated,
    /// It names a limit, and the right to send was never asked for or is over.
    NoRight,
}

impl WithheldCause {
    /// The words in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ServerClosed => "withheld: the server takes no work any more",
            Self::NoRight => "withheld: there is no right to send to the server any more",
            Self::HallEvacuated => "withheld: its hall was evacuated",
        }
    }
}

impl SendPermit {
    /// Permission to write the request `id` to `server`, if it still may get it.
    pub(super) fn obtain<W: WireProtocol>(
        host: &EntryHost<W>,
        server: &FleetServer,
        right: SendRight,
        id: Option<&str>,
    ) -> Result<Self, WithheldCause> {
        if !host.is_right_good(server, right) {
            return Err(WithheldCause::NoRight);
        }
        if host.evacuated_halls().contains(&*server.hall) {
            return Err(WithheldCause::HallEvacuated);
        }
        let leave_ms = host.settings().bounds.leave_ms();
        match server.availability(leave_ms, host.now()) {
            ServerStanding::Closed => return Err(WithheldCause::ServerClosed),
            ServerStanding::LastResort => note_last_resort(host, server, id),
            ServerStanding::Regular => {}
        }
        let now = host.now();
        server.change_notice(|notice| notice.on_sent(now));
        Ok(Self(()))
    }

    /// Writes the request and waits for the head of its answer.
    ///
    /// # Errors
    /// The connection broke; the message comes back if nothing of it was written.
    pub(super) async fn write(
        self,
        sender: &mut ServerSender,
        message: ServerMessage,
    ) -> Result<http::Response<Incoming>, conn::TrySendError<ServerMessage>> {
        sender.try_send_request(message).await
    }
}

fn note_last_resort<W: WireProtocol>(host: &EntryHost<W>, server: &FleetServer, id: Option<&str>) {
    host.metrics.borrow_mut().sent_to_leaving += 1;
    let leaving_since = server.notice().leaving_since();
    let fields = json!({
        "id": id,
        "server": server.id,
        "hall": server.hall,
        "leaving_for_ms": leaving_since.map(|since| host.now().since(since)),
    });
    host.note(EventCode::SentToLeaving, fields);
}
