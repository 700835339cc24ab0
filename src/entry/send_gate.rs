//! The last check before a request is written to a server.
//!
//! A server is selected before send tokens are requested and a connection is opened, so its state
//! may have changed by the time of the write. All requests to servers are written through a
//! [`SendPermit`], which checks the state again.

use hyper::body::Incoming;
use serde_json::json;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::server_limit::token::SendToken;
use super::server_notice::ServerAvailability;
use super::wire::WireProtocol;
use crate::client_sender::{ClientSender, SendFault};
use crate::event::EventCode;
use crate::request_body::RequestBody;

/// A request in the form in which it is written to a server.
pub(super) type ServerMessage = http::Request<RequestBody>;

/// A permit to write one request to one server, granted just before the write.
#[derive(Debug)]
pub(super) struct SendPermit(());

/// Why a request is not written to the server that was selected for it. This does not count as a
/// failure of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldCause {
    /// The server is leaving, gone or in backoff.
    ServerClosed,
    /// The server's hall is evacuated.
    HallEvacuated,
    /// The server advertises a limit, and the send token is missing or has expired.
    NoToken,
}

impl WithheldCause {
    /// The text in logs and in metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ServerClosed => "withheld: the server takes no work any more",
            Self::NoToken => "withheld: there is no right to send to the server any more",
            Self::HallEvacuated => "withheld: its hall was evacuated",
        }
    }
}

impl SendPermit {
    /// Grants a permit for the request `id`, or returns why `server` must not get it any more.
    pub(super) fn obtain<W: WireProtocol>(
        host: &EntryHost<W>,
        server: &FleetServer,
        right: SendToken,
        id: Option<&str>,
    ) -> Result<Self, WithheldCause> {
        if !host.is_token_valid(server, right) {
            return Err(WithheldCause::NoToken);
        }
        if host.evacuated_halls().contains(&*server.hall) {
            return Err(WithheldCause::HallEvacuated);
        }
        let leave_ms = host.settings().bounds.leave_ms();
        match server.availability(leave_ms, host.now()) {
            ServerAvailability::Closed => return Err(WithheldCause::ServerClosed),
            ServerAvailability::LastResort => note_last_resort(host, server, id),
            ServerAvailability::Regular => {}
        }
        let now = host.now();
        server.change_notice(|notice| notice.on_sent(now));
        Ok(Self(()))
    }

    /// Writes the request and waits for the head of the answer.
    ///
    /// # Errors
    /// When no answer arrives that can be read.
    pub(super) async fn write(
        self,
        sender: &mut ClientSender,
        message: ServerMessage,
    ) -> Result<http::Response<Incoming>, SendFault> {
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
    host.log_event(EventCode::SentToLeaving, fields);
}
