//! The interface to the platform's object store: kinds of objects, results and calls.

use super::configuration::ServiceConfiguration;
use super::peers::HostRecord;
use super::quarantine::stored::StoredSuspect;
use super::server::{ServerObject, ServerRecord};
use crate::rollout::spec::{RolloutRecord, StoredRollout};

/// The kinds of object that an entry host reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The operator's configuration.
    Configuration,
    /// The backend servers.
    Servers,
    /// The halls to be evacuated.
    Evacuations,
    /// Services whose traffic moves to another version.
    Rollouts,
    /// The entry hosts; they write their own objects.
    Hosts,
    /// The blocked requests; entry hosts write them, and read them only at their start.
    Quarantine,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Configuration,
        Self::Servers,
        Self::Evacuations,
        Self::Rollouts,
        Self::Hosts,
        Self::Quarantine,
    ];

    /// The kinds that are watched.
    pub const WATCHED: [Self; 5] = [
        Self::Configuration,
        Self::Servers,
        Self::Evacuations,
        Self::Rollouts,
        Self::Hosts,
    ];

    /// The label in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Evacuations => "evacuations",
            Self::Rollouts => "rollouts",
            Self::Hosts => "hosts",
            Self::Quarantine => "quarantine",
        }
    }
}

/// The decoded content of an object.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectContent {
    /// A whole configuration.
    Configuration(Box<ServiceConfiguration>),
    /// One incarnation of a backend server.
    Server(ServerRecord),
    /// The object's name is a hall that gets no work.
    Evacuation,
    /// A spec for moving a service's traffic to another version.
    Rollout(StoredRollout),
    /// One run of an entry host.
    Host(HostRecord),
    /// A request that is blocked from servers.
    Suspect(StoredSuspect),
    /// Content that could not be decoded, with the reason.
    Unreadable(String),
}

/// An object as it is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject {
    /// The name, unique within its kind.
    pub name: String,
    /// The store revision of the object's last change.
    pub revision: u64,
    /// The decoded content.
    pub content: ObjectContent,
}

impl From<ServerObject> for StoredObject {
    fn from(object: ServerObject) -> Self {
        Self {
            name: object.record.id.clone(),
            revision: object.revision,
            content: ObjectContent::Server(object.record),
        }
    }
}

/// The name after which a page of a list begins, as the store writes it. It may not be UTF-8.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PageCursor(Vec<u8>);

impl PageCursor {
    /// The position after the object with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(name.as_bytes().to_vec())
    }

    /// The position after the object whose name has these bytes.
    #[must_use]
    pub const fn from_bytes(name: Vec<u8>) -> Self {
        Self(name)
    }

    /// The bytes of the name.
    ///
    /// ```
    /// use ledgespool::entry::store::PageCursor;
    /// let cursor = PageCursor::from_name("i-0 copy");
    /// assert_eq!(cursor.as_bytes(), b"i-0 copy");
    /// assert_eq!(cursor, PageCursor::from_bytes(b"i-0 copy".to_vec()));
    /// ```
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectPage {
    /// The objects, sorted by name.
    pub objects: Vec<StoredObject>,
    /// Whether more objects follow after the last one.
    pub more: bool,
    /// The position after this page; `None` if it is the last page or if none of its objects has a
    /// readable name.
    pub last: Option<PageCursor>,
    /// The store revision at which the page was read.
    pub revision: u64,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChange {
    /// The object after the change, or its last state if it was deleted.
    pub object: StoredObject,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeBatch {
    /// The changes in order; empty when the wait timed out.
    pub changes: Vec<ObjectChange>,
    /// The revision from which the next watch continues.
    pub revision: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// No connection, a broken one, or no answer in time. A write may still take effect later.
    #[error("the store gives no answer")]
    Unreachable,
    /// The store rejects calls for now; nothing was done.
    #[error("the store refuses with status {0}")]
    Refused(u16),
    /// The history after the watched revision is gone; the kind must be listed again.
    #[error("the store has forgotten the watched history")]
    HistoryGone,
    /// The answer belongs to an earlier epoch of the store: what it reports or confirms may be
    /// lost.
    #[error("the store has come back from a copy since it gave this answer")]
    FormerEpoch,
    /// The object is not at the expected revision, or already exists.
    #[error("the object stands at another revision")]
    Conflict,
    /// The object does not exist.
    #[error("there is no such object")]
    Absent,
    /// The answer could not be decoded.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

/// The result of a store call.
pub type StoreResult<T> = Result<T, StoreFault>;

/// The store calls of an entry host. Timeouts are left to the caller.
#[expect(
    async_fn_in_trait,
    reason = "all callers live on one thread, so the futures need not be Send"
)]
pub trait ObjectStore: 'static {
    /// The last seen epoch of the store; 0 if the store reports none.
    fn epoch(&self) -> u64;

    /// Takes the last reported epoch that could not be parsed, if any.
    fn take_unreadable_epoch(&self) -> Option<String>;

    /// One page of a kind, after the position `after`.
    async fn list(&self, kind: ObjectKind, after: Option<&PageCursor>) -> StoreResult<ObjectPage>;

    /// Changes of a kind after `revision`; waits up to `wait_ms` for the first.
    async fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait_ms: u64,
    ) -> StoreResult<ChangeBatch>;

    /// The objects of entry hosts, at most some seconds out of date and only the first page: a
    /// cheap call for hosts that look for others.
    async fn list_hosts_stale(&self) -> StoreResult<Vec<HostRecord>>;

    /// Reads the object of an entry host.
    async fn read_host(&self, name: &str) -> StoreResult<StoredObject>;

    /// Creates the object of an entry host; returns the store revision of the change, or `Conflict`
    /// if it already exists.
    async fn create_host(&self, record: &HostRecord) -> StoreResult<u64>;

    /// Replaces the object of an entry host if it is still at `revision`; returns the store
    /// revision of the change.
    async fn replace_host(&self, record: &HostRecord, revision: u64) -> StoreResult<u64>;

    /// Records the progress of a rollout if its object is still at the revision that the record
    /// states; returns the store revision of the change.
    async fn record_rollout(&self, record: &RolloutRecord) -> StoreResult<u64>;

    /// Creates the object of a blocked request; `Conflict` if it already exists.
    async fn create_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()>;

    /// Deletes the object of a blocked request by its name.
    async fn delete_suspect(&self, name: &str) -> StoreResult<()>;

    /// Deletes the object of an entry host if it is still at `revision`.
    async fn delete_host(&self, name: &str, revision: u64) -> StoreResult<()>;
}
