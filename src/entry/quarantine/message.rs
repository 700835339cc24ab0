//! Messages between hosts about requests that may have crashed servers.

use crate::entry::fingerprint::RequestFingerprint;

/// A datagram about suspect requests.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum QuarantineMessage {
    /// A server crashed while it processed these requests. Sent to the suspect trackers.
    #[serde(rename = "Ended")]
    Crashed(ServerCrash),
    /// What the sender knows about suspects. Sent to all hosts.
    Records(Vec<SuspectRecord>),
}

/// The crash of one server and the requests that were in flight on it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServerCrash {
    /// Hash of the server's identity.
    pub server: u64,
    /// The requests in flight when the server crashed.
    pub requests: Vec<RequestFingerprint>,
}

/// What a host knows about one suspect.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SuspectRecord {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// Hashes of the servers that crashed while processing it, sorted. Holds no more than are
    /// needed to block the request, and none once it is cleared.
    #[serde(rename = "ended")]
    pub crashed_servers: Vec<u64>,
    /// Whether a server has answered it successfully.
    pub cleared: bool,
    /// Number of probes sent since it was blocked.
    #[serde(rename = "trials")]
    pub probes: u32,
    /// Time since the last observation of the request, in seconds.
    pub age_s: u32,
}

/// A summary of all records of a host. Hosts with equal digests have the same records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct QuarantineDigest {
    /// Number of records.
    pub count: u32,
    /// Hash of all records, independent of their order.
    pub hash: u64,
}

impl QuarantineDigest {
    /// Returns whether a host with this digest may miss records that a host with digest `other`
    /// has. Of two hosts with different digests the one with fewer records fetches the other's;
    /// with equal counts both do.
    ///
    /// ```
    /// use ledgespool::entry::quarantine::message::QuarantineDigest;
    /// let none = QuarantineDigest::default();
    /// let one = QuarantineDigest { count: 1, hash: 7 };
    /// assert!(none.may_miss(&one));
    /// assert!(!one.may_miss(&none) && !one.may_miss(&one));
    /// ```
    #[must_use]
    pub fn may_miss(&self, other: &Self) -> bool {
        self != other && other.count >= self.count
    }
}
