//! A connection to a backend server, and what was seen of the requests sent over it.
//!
//! A faulty server may send a second copy of an answer, which arrives where the next answer is due.
//! The request id tells them apart, unless both requests have the same id. A connection therefore
//! never carries an id twice: a copy of a rejection would state that the second request did not run,
//! while the server runs it.

use super::hash;
use crate::client_sender::ClientSender;

/// A connection to a backend server.
#[derive(Debug)]
pub struct ServerConnection {
    /// The sending half.
    pub sender: ClientSender,
    /// What was sent over it.
    pub record: ConnectionRecord,
}

/// Maximum number of requests that a connection carries. Their ids take 2 KB.
const MAX_SENDS: usize = 256;

/// What was sent over a connection.
#[derive(Debug, Default)]
pub struct ConnectionRecord {
    /// Identifies the connection in the log.
    local_port: u16,
    /// Hashes of the ids that it carried; 0 for a request without an id.
    carried: Vec<u64>,
}

impl ConnectionRecord {
    /// The record of a new connection.
    #[must_use]
    pub const fn new(local_port: u16) -> Self {
        Self {
            local_port,
            carried: Vec::new(),
        }
    }

    /// Whether a request with this id may be sent over the connection.
    ///
    /// ```
    /// use ledgespool::entry::server_connection::ConnectionRecord;
    /// let mut record = ConnectionRecord::default();
    /// record.begin_send(Some("r-1"));
    /// assert!(!record.may_carry("r-1"));
    /// assert!(record.may_carry("r-2"));
    /// ```
    #[must_use]
    pub fn may_carry(&self, id: &str) -> bool {
        !self.carried.contains(&hash::of_name(id))
    }

    /// Whether the connection must be closed instead of being used again.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.carried.len() >= MAX_SENDS
    }

    /// Records a request that is about to be written; returns the trace of this send.
    pub fn begin_send(&mut self, id: Option<&str>) -> SendTrace {
        let trace = SendTrace {
            local_port: self.local_port,
            earlier_sends: u32::try_from(self.carried.len()).unwrap_or(u32::MAX),
            answer: None,
        };
        self.carried.push(id.map_or(0, hash::of_name));
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
