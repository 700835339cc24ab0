//! A connection to a backend server, and what was seen of the requests sent over it.
//!
//! A faulty server may send a second copy of an answer, which arrives where the next answer is due.
//! The request id tells them apart, unless both requests have the same id. A connection therefore
//! never carries an id again that was rejected over it: a copy of the rejection would state that the
//! second request did not run, while the server runs it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;

use super::hash;

/// The sending half of a connection.
pub type ServerSender = http1::SendRequest<Full<Bytes>>;

/// A connection to a backend server.
#[derive(Debug)]
pub struct ServerConnection {
    /// The sending half.
    pub sender: ServerSender,
    /// What was sent over it.
    pub record: ConnectionRecord,
}

/// Maximum number of rejected ids that a connection remembers. It is closed after that, since it may
/// carry no id that it has forgotten.
const MAX_REJECTED_IDS: usize = 64;

/// What was sent over a connection.
#[derive(Debug, Default)]
pub struct ConnectionRecord {
    /// Identifies the connection in the log.
    local_port: u16,
    sends: u32,
    /// Hashes of the ids of requests that the server rejected.
    rejected: Vec<u64>,
}

impl ConnectionRecord {
    /// The record of a new connection.
    #[must_use]
    pub const fn new(local_port: u16) -> Self {
        Self {
            local_port,
            sends: 0,
            rejected: Vec::new(),
        }
    }

    /// Records that the server stated that it did not run the request with this id.
    ///
    /// ```
    /// use ledgespool::entry::server_connection::ConnectionRecord;
    /// let mut record = ConnectionRecord::default();
    /// record.on_rejected("r-1");
    /// assert!(!record.may_carry("r-1"));
    /// assert!(record.may_carry("r-2"));
    /// ```
    pub fn on_rejected(&mut self, id: &str) {
        self.rejected.push(hash::of_name(id));
    }

    /// Whether a request with this id may be sent over the connection.
    #[must_use]
    pub fn may_carry(&self, id: &str) -> bool {
        !self.rejected.contains(&hash::of_name(id))
    }

    /// Whether the connection must be closed instead of being used again.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.rejected.len() >= MAX_REJECTED_IDS
    }

    /// Counts a request that is about to be written; returns the trace of this send.
    pub const fn begin_send(&mut self) -> SendTrace {
        let trace = SendTrace {
            local_port: self.local_port,
            earlier_sends: self.sends,
            answer: None,
        };
        self.sends = self.sends.saturating_add(1);
        trace
    }
}

/// One send of a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct SendTrace {
    /// The local port of the connection.
    pub local_port: u16,
    /// Number of requests that were sent over the connection before.
    pub earlier_sends: u32,
    /// The answer that came back.
    pub answer: Option<AnswerTrace>,
}

impl SendTrace {
    /// The trace with the answer that came back.
    #[must_use]
    pub const fn answered_by(self, answer: AnswerTrace) -> Self {
        Self {
            answer: Some(answer),
            ..self
        }
    }
}

/// The answer to a send, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct AnswerTrace {
    /// The HTTP status.
    pub status: u16,
    /// Whose id the answer carries.
    pub id: AnswerId,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Time from the write to the answer's head, in milliseconds.
    pub after_ms: u64,
}

/// Whose request id an answer carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerId {
    /// The id of the request that was sent, or none if the request has none.
    Own,
    /// Another id.
    Other,
    /// None, although the request has one.
    Missing,
}

impl AnswerId {
    /// Compares the id in an answer with that of the request.
    ///
    /// ```
    /// use ledgespool::entry::server_connection::AnswerId;
    /// assert_eq!(AnswerId::of(Some("r-1"), Some("r-1")), AnswerId::Own);
    /// assert_eq!(AnswerId::of(Some("r-2"), Some("r-1")), AnswerId::Other);
    /// assert_eq!(AnswerId::of(None, Some("r-1")), AnswerId::Missing);
    /// ```
    #[must_use]
    pub fn of(answered: Option<&str>, sent: Option<&str>) -> Self {
        match (answered, sent) {
            _ if answered == sent => Self::Own,
            (Some(_), _) => Self::Other,
            (None, _) => Self::Missing,
        }
    }
}
