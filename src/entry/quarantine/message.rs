//! What hosts tell each other of requests under which servers ended.

use crate::entry::fingerprint::RequestFingerprint;

/// One datagram about suspects.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum QuarantineMessage {
    /// A server ended under these requests; told to the hosts that count.
    Ended(ServerEnd),
    /// What is known of suspects; told to all hosts.
    Records(Vec<SuspectRecord>),
}

/// The end of one server, with the requests that it had in hand.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServerEnd {
    /// A hash of the server's identity.
    pub server: u64,
    /// The requests.
    pub requests: Vec<RequestFingerprint>,
}

/// What is known of one suspect.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Hashes of the servers that ended under it, in their order; no more than are needed to bar it, and
    /// none once it is cleared.
    pub ended: Vec<u64>,
    /// Whether a server has answered it with success.
    pub cleared: bool,
    /// How often it was tried since it was barred.
    pub trials: u32,
    /// How long ago something was last heard of it, in seconds.
    pub age_s: u32,
}

/// All records of a host in a few bytes: hosts of the same digest know the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct QuarantineDigest {
    /// Records.
    pub count: u32,
    /// A hash that does not depend on their order.
    pub hash: u64,
}

impl QuarantineDigest {
    /// Whether a host of this digest may lack something that one of `other` knows. Of two that know
    /// different things the one with fewer records asks, and both when they have as many.
    ///
    /// ```
    /// use ledgespool::entry::quarantine::message::QuarantineDigest;
    /// let none = QuarantineDigest::default();
    /// let one = QuarantineDigest { count: 1, hash: 7 };
    /// assert!(none.may_lack(&one));
    /// assert!(!one.may_lack(&none) && !one.may_lack(&one));
    /// ```
    #[must_use]
    pub fn may_lack(&self, other: &Self) -> bool {
        self != other && other.count >= self.count
    }
}
