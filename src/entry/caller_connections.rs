//! The connections that callers hold open, of which one is closed when a new one needs its place.

use std::{cell, collections, pin, rc, task};

use bytes::Bytes;
use http_body::Body;
use hyper::body::{Frame, SizeHint};
use tokio::sync::Notify;

use super::caller_limits::CallerLimits;
use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::byte_account::{ByteAccount, HeldBytes};
use crate::metrics_writer::MetricsWriter;
use crate::timer::{BootClock, Moment};

/// An answer that its caller reads is broken off at its deadline. One that the caller does not read is
/// broken off so much later, in milliseconds.
const OVERDUE_MARGIN_MS: u64 = 200;
/// Time in which a caller must read something of a complete answer, in milliseconds. It is longer
/// than the usual deadlines.
pub const MAX_BLOCKED_MS: u64 = 10_000;
/// The same while the memory for callers is short.
const MAX_BLOCKED_SHORT_MS: u64 = 1_000;
/// Memory is short when less than the limit divided by this is free.
const SHORT_MEMORY_DIVISOR: u64 = 4;
/// A connection whose request is still arriving keeps its place for this time, in milliseconds.
const MIN_READING_MS: u64 = 1_000;

/// The listening sockets of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers' requests.
    Requests,
    /// Callers' look-ups.
    Lookups,
    /// Readiness checks of the platform.
    Readiness,
    /// Other hosts.
    Peers,
}

impl ListenerKind {
    const ALL: [Self; 4] = [Self::Requests, Self::Lookups, Self::Readiness, Self::Peers];

    /// The label in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Lookups => "lookups",
            Self::Readiness => "readiness",
            Self::Peers => "peers",
        }
    }

    fn limit(self, limits: &CallerLimits) -> usize {
        match self {
            Self::Requests => limits.connections(),
            Self::Lookups => limits.lookup_connections(),
            Self::Readiness => limits.readiness_connections(),
            // Only other hosts reach this socket.
            Self::Peers => usize::MAX,
        }
    }
}

/// The open connections of all listening sockets.
#[derive(Debug, Default)]
pub struct ListenerConnections {
    tables: [ConnectionTable; ListenerKind::ALL.len()],
}

impl ListenerConnections {
    /// Writes the number of connections of each socket.
    pub fn write_to(&self, page: &mut MetricsWriter) {
        for kind in ListenerKind::ALL {
            let count = self.tables[kind as usize].count() as u64;
            let labels = [("listener", kind.as_str())];
            page.labelled("ledgespool_accepted_connections", &labels, count);
        }
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Makes room in the memory for callers, at the cost of a connection or a body; returns whether it
    /// could.
    pub(super) fn make_room(&self) -> bool {
        let requests = &self.connections.tables[ListenerKind::Requests as usize];
        let has_closed = requests.close_holder();
        let has_yielded = !has_closed && self.arriving_bodies.yield_oldest(self.now());
        let counters = &mut self.metrics.borrow_mut().callers;
        counters.connections_closed += u64::from(has_closed);
        counters.bodies_yielded += u64::from(has_yielded);
        has_closed || has_yielded
    }

    /// Closes the connections whose callers have not read their answers in time.
    pub(super) fn close_unread_answers(&self, now: Moment) {
        let requests = &self.connections.tables[ListenerKind::Requests as usize];
        let limit = self.large_memory_limit();
        let is_short = self.caller_memory.held() > limit - limit / SHORT_MEMORY_DIVISOR;
        let max_blocked_ms = if is_short {
            MAX_BLOCKED_SHORT_MS
        } else {
            MAX_BLOCKED_MS
        };
        let count = requests.close_unread(max_blocked_ms, now);
        self.metrics.borrow_mut().callers.answers_unread += count;
    }

    /// Gives a new connection a place; `None` if it must be closed.
    pub(super) fn admit_connection(&self, kind: ListenerKind) -> Option<OpenConnection> {
        let limit = kind.limit(&self.caller_limits());
        let admitted = self.connections.tables[kind as usize].admit(limit, self.now());
        let counters = &mut self.metrics.borrow_mut().callers;
        match &admitted {
            None => counters.connections_refused += 1,
            Some(connection) if connection.has_replaced() => counters.connections_closed += 1,
            Some(_) => {}
        }
        admitted
    }
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConnectionUse {
    /// No request has begun.
    #[default]
    Idle,
    /// The body of a request is arriving.
    Reading,
    /// A request is processed or answered.
    Serving,
}

/// The open connections of one listening socket.
///
/// ```
/// use ledgespool::entry::caller_connections::{ConnectionTable, ConnectionUse};
/// use ledgespool::timer::Moment;
/// let table = ConnectionTable::default();
/// let first = table.admit(2, Moment(0)).expect("a place");
/// let second = table.admit(2, Moment(5)).expect("a place");
/// // The one that has been idle for the longest time is closed.
/// let third = table.admit(2, Moment(9)).expect("a place");
/// assert!(first.is_closed() && !second.is_closed());
/// for connection in [&second, &third] {
///     connection.connection().enter(ConnectionUse::Serving, Moment(10));
/// }
/// assert!(table.admit(2, Moment(60_000)).is_none(), "all are needed");
/// ```
#[derive(Debug, Default)]
pub struct ConnectionTable {
    next: cell::Cell<u64>,
    connections: rc::Rc<cell::RefCell<ConnectionMap>>,
}

type ConnectionMap = collections::BTreeMap<u64, rc::Rc<CallerConnection>>;

/// One connection of a caller.
#[derive(Debug, Default)]
pub struct CallerConnection {
    current: cell::Cell<ConnectionUse>,
    since: cell::Cell<Moment>,
    /// Memory of its read buffer, if that has grown for a large head. It keeps this size while the
    /// connection is idle.
    held: cell::RefCell<Option<HeldBytes>>,
    /// When the answer that is passed on must end.
    answer_until: cell::Cell<Option<Moment>>,
    /// Since when the caller has read nothing of what is written to it.
    blocked_since: cell::Cell<Option<Moment>>,
    is_closed: cell::Cell<bool>,
    closed: Notify,
}

impl ConnectionTable {
    /// Adds a connection. If there are `limit` others, one of them is closed: the one that has been
    /// idle for the longest time, or else the one whose request has been arriving for the longest
    /// time. `None` if there is neither.
    #[must_use]
    pub fn admit(&self, limit: usize, now: Moment) -> Option<OpenConnection> {
        let has_replaced = self.count() >= limit;
        while self.count() >= limit {
            self.close_one(now)?;
        }
        let number = self.next.replace(self.next.get() + 1);
        let connection = rc::Rc::new(CallerConnection::default());
        connection.since.set(now);
        let mut connections = self.connections.borrow_mut();
        connections.insert(number, rc::Rc::clone(&connection));
        Some(OpenConnection {
            connections: rc::Rc::clone(&self.connections),
            number,
            connection,
            has_replaced,
        })
    }

    /// The number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Closes the connections whose callers have not read their answers in time, or have taken nothing
    /// of a complete one for `max_blocked_ms`, in milliseconds; returns their number.
    ///
    /// ```
    /// use ledgespool::entry::caller_connections::{ConnectionTable, MAX_BLOCKED_MS};
    /// use ledgespool::timer::Moment;
    /// let table = ConnectionTable::default();
    /// let place = table.admit(9, Moment(0)).expect("a place");
    /// place.connection().on_answer(Some(Moment(3_000)));
    /// assert_eq!(table.close_unread(MAX_BLOCKED_MS, Moment(3_000)), 0);
    /// assert_eq!(table.close_unread(MAX_BLOCKED_MS, Moment(3_300)), 1);
    /// assert!(place.is_closed());
    /// ```
    pub fn close_unread(&self, max_blocked_ms: u64, now: Moment) -> u64 {
        let mut count = 0;
        self.connections.borrow_mut().retain(|_, connection| {
            let is_unread = connection.is_unread(max_blocked_ms, now);
            if is_unread {
                connection.close();
                count += 1;
            }
            !is_unread
        });
        count
    }

    /// Closes the idle connection that has held counted memory for the longest time; returns whether
    /// there is one.
    pub fn close_holder(&self) -> bool {
        let connections = self.connections.borrow();
        let holders = connections
            .iter()
            .filter(|(_, connection)| connection.is_idle() && connection.held.borrow().is_some());
        let oldest = holders.min_by_key(|(_, connection)| connection.since.get());
        let oldest = oldest.map(|(number, connection)| (*number, rc::Rc::clone(connection)));
        drop(connections);
        if let Some((number, connection)) = &oldest {
            self.connections.borrow_mut().remove(number);
            connection.close();
        }
        oldest.is_some()
    }

    fn close_one(&self, now: Moment) -> Option<()> {
        let oldest = |current: ConnectionUse, min_ms: u64| {
            let connections = self.connections.borrow();
            let matching = connections.iter().filter(|(_, connection)| {
                connection.current.get() == current && now.since(connection.since.get()) >= min_ms
            });
            let oldest = matching.min_by_key(|(_, connection)| connection.since.get());
            oldest.map(|(number, _)| *number)
        };
        let number = oldest(ConnectionUse::Idle, 0)
            .or_else(|| oldest(ConnectionUse::Reading, MIN_READING_MS))?;
        let connection = self.connections.borrow_mut().remove(&number)?;
        connection.close();
        Some(())
    }
}

impl CallerConnection {
    /// Records what the connection is used for from now on.
    pub fn enter(&self, current: ConnectionUse, now: Moment) {
        self.current.set(current);
        self.since.set(now);
        self.answer_until.set(None);
    }

    /// Whether no request has begun.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.current.get() == ConnectionUse::Idle
    }

    /// Records that an answer begins, which must end by `until`.
    pub fn on_answer(&self, until: Option<Moment>) {
        self.answer_until.set(until);
    }

    /// Records a write; `is_blocked` tells whether the caller took nothing.
    pub fn on_write(&self, is_blocked: bool, now: Moment) {
        let since = self.blocked_since.get().unwrap_or(now);
        self.blocked_since.set(is_blocked.then_some(since));
    }

    /// Whether the caller has not read its answer in time.
    fn is_unread(&self, max_blocked_ms: u64, now: Moment) -> bool {
        match (self.answer_until.get(), self.blocked_since.get()) {
            (Some(until), _) => now >= until.plus(OVERDUE_MARGIN_MS),
            (None, Some(since)) => now.since(since) >= max_blocked_ms,
            (None, None) => false,
        }
    }

    /// Counts `bytes` for its read buffer, unless more than `limit` bytes would be held in all;
    /// returns whether they are counted.
    pub fn try_hold(&self, bytes: u64, account: &ByteAccount, limit: u64) -> bool {
        let mut held = self.held.borrow_mut();
        if let Some(held) = held.as_mut() {
            return held.try_grow(bytes.saturating_sub(held.bytes()), limit);
        }
        *held = account.try_hold(bytes, limit);
        held.is_some()
    }

    /// Gives back what [`Self::try_hold`] has counted.
    pub fn release(&self) {
        self.held.borrow_mut().take();
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.release();
        self.is_closed.set(true);
        self.closed.notify_one();
    }
}

/// A connection that has a place in its table until the value is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: rc::Rc<cell::RefCell<ConnectionMap>>,
    number: u64,
    connection: rc::Rc<CallerConnection>,
    has_replaced: bool,
}

impl OpenConnection {
    /// Whether another connection was closed for this one. Its task still has to end.
    #[must_use]
    pub const fn has_replaced(&self) -> bool {
        self.has_replaced
    }

    /// The connection itself, for the requests that it carries.
    #[must_use]
    pub const fn connection(&self) -> &rc::Rc<CallerConnection> {
        &self.connection
    }

    /// Whether it must be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed.get()
    }

    /// Waits until it must be closed.
    pub async fn closed(&self) {
        self.connection.closed.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.borrow_mut().remove(&self.number);
    }
}

/// The body of an answer. Its connection is idle once the body has been passed on.
#[derive(Debug)]
pub struct AnsweringBody<B> {
    body: B,
    connection: rc::Rc<CallerConnection>,
    clock: BootClock,
}

impl<B> AnsweringBody<B> {
    /// The body of an answer that is sent over `connection`.
    pub const fn new(body: B, connection: rc::Rc<CallerConnection>, clock: BootClock) -> Self {
        Self {
            body,
            connection,
            clock,
        }
    }
}

impl<B> Drop for AnsweringBody<B> {
    fn drop(&mut self) {
        self.connection.enter(ConnectionUse::Idle, self.clock.now());
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for AnsweringBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
