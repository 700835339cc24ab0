//! Calls that the controller's roles make to the platform's object API, and their results.

use crate::roster;

/// An object's kind and name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ObjectName {
    /// The kind, such as `steer`.
    pub kind: &'static str,
    /// The name, unique within the kind.
    pub name: String,
}

/// The kind of the objects that all hosts watch.
pub const STEER_KIND: &str = "steer";
/// The kind of the claim shards.
pub const CLAIM_KIND: &str = "claim";

impl ObjectName {
    /// The configuration object.
    #[must_use]
    pub fn config() -> Self {
        Self {
            kind: STEER_KIND,
            name: "config".to_owned(),
        }
    }

    /// The plan object.
    #[must_use]
    pub fn plan() -> Self {
        Self {
            kind: STEER_KIND,
            name: "plan".to_owned(),
        }
    }

    /// A claim shard's object.
    #[must_use]
    pub fn claim_shard(shard: u16) -> Self {
        Self {
            kind: CLAIM_KIND,
            name: format!("shard-{shard:03}"),
        }
    }
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The object exists.
    Found {
        /// Its content.
        bytes: Vec<u8>,
        /// Its version.
        version: u64,
    },
    /// There is no such object.
    Absent,
    /// The platform did not answer.
    Failed,
}

/// The result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Stored {
        /// The object's new version.
        version: u64,
    },
    /// The object did not have the expected version; nothing changed.
    Conflict,
    /// No answer: the write may have taken effect, or may do so later.
    Uncertain,
}

/// A changed object that a watch returned.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WatchedObject {
    /// Its name within the watched kind.
    pub name: String,
    /// Its version.
    pub version: u64,
    /// Its content.
    pub value: serde_json::Value,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WatchReply {
    /// The revision to pass to the next watch.
    pub revision: u64,
    /// The objects that changed since the given revision.
    pub objects: Vec<WatchedObject>,
}

/// One call to the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read an object.
    Read(ObjectName),
    /// Write an object if it has the expected version.
    Write {
        /// The object.
        object: ObjectName,
        /// The new content, as JSON.
        bytes: Vec<u8>,
        /// The version to replace; `None` if the object must not exist.
        expected: Option<u64>,
    },
    /// Wait for changes of a kind after a revision.
    Watch {
        /// The kind.
        kind: &'static str,
        /// The revision of the last reply; 0 for all existing objects.
        after: u64,
    },
    /// Read the list of hosts.
    Hosts,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformReply {
    /// The result of a read.
    Read(ReadResult),
    /// The result of a write.
    Write(WriteResult),
    /// The result of a watch; `None` if it failed.
    Watch(Option<WatchReply>),
    /// The list of hosts; `None` if the call failed.
    Hosts(Option<roster::HostList>),
}
