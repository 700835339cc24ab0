//! An answer that is passed on to its caller while it arrives: when it ends, its connection, its slot
//! at the server and the count of open answers are released.

use std::{net, rc};

use serde_json::json;

use super::answer::StreamEnd;
use super::attempts::AnswerSource;
use super::configuration::RouteRule;
use super::departure::{RequestPhase, RequestProgress};
use super::exchange;
use super::fingerprint::RequestFingerprint;
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::open_request::OpenRequest;
use super::quarantine_role;
use super::request;
use super::server_answer;
use super::server_connection::ServerConnection;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// Releases the connection when a streamed answer ends.
#[derive(Debug)]
pub struct StreamedAnswer<W: WireProtocol> {
    guard: AnswerGuard<W>,
    connection: ServerConnection,
    source: StreamSource,
}

/// Counts a streamed answer as open until it is dropped. Logs a departure if the caller leaves before
/// the answer ends.
#[derive(Debug)]
struct AnswerGuard<W: WireProtocol> {
    host: rc::Rc<EntryHost<W>>,
    id: String,
    route: rc::Rc<RouteRule>,
    arrived: Moment,
    progress: rc::Rc<RequestProgress>,
    completed: bool,
}

impl<W: WireProtocol> AnswerGuard<W> {
    fn begin(host: &rc::Rc<EntryHost<W>>, open: &OpenRequest) -> Self {
        host.open_answers.set(host.open_answers.get() + 1);
        open.progress.enter(RequestPhase::Answering);
        Self {
            host: rc::Rc::clone(host),
            id: open.forward.id.clone().unwrap_or_default(),
            route: rc::Rc::clone(&open.route),
            arrived: open.arrived,
            progress: rc::Rc::clone(&open.progress),
            completed: false,
        }
    }

    /// Records that the server's answer has ended.
    fn complete(mut self) -> rc::Rc<EntryHost<W>> {
        self.completed = true;
        if let Some(work) = self.progress.late_work(self.host.now()) {
            request::on_late_work(&self.host, &self.id, RequestPhase::Answering, work);
        }
        rc::Rc::clone(&self.host)
    }
}

impl<W: WireProtocol> Drop for AnswerGuard<W> {
    fn drop(&mut self) {
        let others = self.host.open_answers.get().saturating_sub(1);
        self.host.open_answers.set(others);
        if !self.completed {
            let route = request::label_of(&self.route);
            request::on_caller_left(&self.host, &self.id, route, self.arrived, &self.progress);
        }
    }
}

/// Where a streamed answer comes from.
#[derive(Debug)]
enum StreamSource {
    /// A server, whose slot is released at the end.
    Server(Box<ServerStream>),
    /// Another host, by its peer address.
    Host(net::SocketAddr),
}

/// A streamed answer of a server.
#[derive(Debug)]
struct ServerStream {
    server: rc::Rc<FleetServer>,
    head: http::response::Parts,
    slot: exchange::SlotGuard,
    /// Of the request that is being answered.
    fingerprint: RequestFingerprint,
}

impl<W: WireProtocol> StreamedAnswer<W> {
    /// Begins to stream the answer with this source and head, which arrives on `connection`.
    pub(super) fn begin(
        host: &rc::Rc<EntryHost<W>>,
        open: &OpenRequest,
        connection: ServerConnection,
        (source, head): (AnswerSource, http::response::Parts),
    ) -> Self {
        let source = match source {
            AnswerSource::Host(target) => StreamSource::Host(target.address),
            AnswerSource::Server(server, _) => StreamSource::Server(Box::new(ServerStream {
                slot: exchange::SlotGuard::at(&server, host.clock()),
                server,
                head,
                fingerprint: open.fingerprint(),
            })),
        };
        Self {
            guard: AnswerGuard::begin(host, open),
            connection,
            source,
        }
    }
}

impl<W: WireProtocol> Unpin for StreamedAnswer<W> {}

impl<W: WireProtocol> StreamEnd for StreamedAnswer<W> {
    fn on_end(self, complete: bool) {
        let host = self.guard.complete();
        match self.source {
            StreamSource::Host(address) if complete => {
                host.handoffs
                    .put_connection(address, self.connection.sender, host.now());
            }
            // The next request to that host finds out whether it is still there.
            StreamSource::Host(_broken) => {}
            StreamSource::Server(stream) => {
                on_server_stream_end(&host, *stream, self.connection, complete);
            }
        }
    }

    fn on_deadline(self, is_silent: bool) {
        let (id, route) = (self.guard.id.clone(), rc::Rc::clone(&self.guard.route));
        let host = self.guard.complete();
        let server = match &self.source {
            StreamSource::Server(stream) => Some(&stream.server),
            StreamSource::Host(_target) => None,
        };
        let fields = json!({
            "id": id,
            "route": route.name,
            "server": server.map(|server| &server.id),
            "is_silent": is_silent,
        });
        host.log_event(EventCode::AnswerOverdue, fields);
        // Otherwise the caller may be the slow one.
        if let Some(server) = server.filter(|_| is_silent) {
            host.on_server_failure(server);
        }
    }
}

fn on_server_stream_end<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    stream: ServerStream,
    connection: ServerConnection,
    complete: bool,
) {
    let ServerStream {
        server,
        head,
        slot,
        fingerprint,
    } = stream;
    drop(slot);
    if complete {
        server_answer::return_to_pool(host, &server, connection, &head);
    } else {
        host.on_server_failure(&server);
        host.on_connection_failed(&server);
        quarantine_role::on_broken(host, &server, fingerprint);
    }
}
