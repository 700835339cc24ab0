//! What the roles ask of the platform's object API, and what comes of it.

use crate::roster;

/// An object's kind and name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ObjectName {
    /// The kind, such as `steer`.
    pub kind: &'static str,
    /// The name within the kind.
    pub name: String,
}

/// The kind of the objects that all hosts follow.
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

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The object as it stands.
    Found {
        /// Its content.
        bytes: Vec<u8>,
        /// Its version.
        version: u64,
    },
    /// There is no such object.
    Absent,
    /// The platform gave no answer.
    Failed,
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Stored {
        /// The object's new version.
        version: u64,
    },
    /// The object was not at the expected version; nothing changed.
    Conflict,
    /// No answer: it may have taken effect, now or later.
    Uncertain,
}

/// An object that a watch saw change.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WatchedObject {
    /// Its name within the watched kind.
    pub name: String,
    /// Its version.
    pub version: u64,
    /// Its content.
    pub value: serde_json::Value,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WatchReply {
    /// Pass this to the next watch.
    pub revision: u64,
    /// Objects changed since.
    pub objects: Vec<WatchedObject>,
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read an object.
    Read(ObjectName),
    /// Write an object if it stands at the expected version.
    Write {
        /// The object.
        object: ObjectName,
        /// New content: JSON.
        bytes: Vec<u8>,
        /// The version to replace; `None` when there must be no object.
        expected: Option<u64>,
    },
    /// Wait for changes of a kind past a revision.
    Watch {
        /// The kind.
        kind: &'static str,
        /// The revision of the last reply; 0 for all that is there.
        after: u64,
    },
    /// Read the list of hosts.
    Hosts,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformReply {
    /// Of a read.
    Read(ReadResult),
    /// Of a write.
    Write(WriteResult),
    /// Of a watch; `None` when it failed.
    Watch(Option<WatchReply>),
    /// Of the host list; `None` when it failed.
    Hosts(Option<roster::HostList>),
}
