//! What an entry host asks of the platform's object store.

use super::configuration::ServiceConfiguration;
use super::peers::HostRecord;
use super::quarantine::stored::StoredSuspect;
use super::server::{ServerObject, ServerRecord};
use crate::rollout::spec::{RolloutRecord, StoredRollout};

/// The kinds of object that an entry host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The operator's configuration.
    Configuration,
    /// The backend servers.
    Servers,
    /// The halls that are to be emptied.
    Evacuations,
    /// Services whose traffic is to move to another version.
    Rollouts,
    /// The entry hosts; written by themselves.
    Hosts,
    /// The requests that are kept from servers; written by entry hosts, and read at their start only.
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

    /// A word for logs and metrics.
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

/// What an object holds.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectContent {
    /// A whole configuration.
    Configuration(Box<ServiceConfiguration>),
    /// One run of a backend server.
    Server(ServerRecord),
    /// The object's name is a hall that gets no work.
    Evacuation,
    /// An order to move a service's traffic to another version.
    Rollout(StoredRollout),
    /// One run of an entry host.
    Host(HostRecord),
    /// A request that is kept from servers.
    Suspect(StoredSuspect),
    /// Bytes that could not be understood, with the reason.
    Unreadable(String),
}

/// One object as the store holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject {
    /// The name within its kind.
    pub name: String,
    /// The store's position at the object's last change.
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

/// One page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectPage {
    /// The objects, by name.
    pub objects: Vec<StoredObject>,
    /// Whether more follow behind the last name.
    pub more: bool,
    /// The store's position when the page was read.
    pub revision: u64,
}

/// One change that a watch saw.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChange {
    /// The object, as it stands or as it last stood.
    pub object: StoredObject,
    /// Whether it is gone.
    pub deleted: bool,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeBatch {
    /// The changes in their order; none when the wait ran out.
    pub changes: Vec<ObjectChange>,
    /// Where the next watch goes on.
    pub revision: u64,
}

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// No connection, a broken one, or no answer in time; a write may take effect later.
    #[error("the store gives no answer")]
    Unreachable,
    /// The store refuses calls for now; nothing was done.
    #[error("the store refuses with status {0}")]
    Refused(u16),
    /// The history behind the watched revision is gone: list again.
    #[error("the store has forgotten the watched history")]
    HistoryGone,
    /// The answer is of an era of the store that is over: what it tells, or did, may be lost.
    #[error("the store has come back from a copy since it gave this answer")]
    FormerEra,
    /// The object is not at the expected revision, or is there already.
    #[error("the object stands at another revision")]
    Conflict,
    /// There is no such object.
    #[error("there is no such object")]
    Absent,
    /// The answer could not be understood.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

/// A result of the store.
pub type StoreResult<T> = Result<T, StoreFault>;

/// The calls that an entry host makes. Time limits are the caller's.
#[expect(
    async_fn_in_trait,
    reason = "all callers live on one thread, so the futures need not be Send"
)]
pub trait ObjectStore: 'static {
    /// The era of the store that was last seen; 0 where it tells none.
    fn era(&self) -> u64;

    /// An era that an answer told and that could not be understood, once.
    fn take_odd_era(&self) -> Option<String>;

    /// One page of a kind, behind the name `after`.
    async fn list(&self, kind: ObjectKind, after: Option<&str>) -> StoreResult<ObjectPage>;

    /// Changes of a kind past `revision`; waits up to `wait_ms` for the first.
    async fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait_ms: u64,
    ) -> StoreResult<ChangeBatch>;

    /// The objects of entry hosts as they stood some seconds ago at most: a call that costs little, for hosts
    /// that look for others. The first page only.
    async fn list_hosts_stale(&self) -> StoreResult<Vec<HostRecord>>;

    /// Reads the object of an entry host.
    async fn read_host(&self, name: &str) -> StoreResult<StoredObject>;

    /// Makes the object of an entry host; returns the store's count at the change. `Conflict` when
    /// it is there.
    async fn create_host(&self, record: &HostRecord) -> StoreResult<u64>;

    /// Replaces the object of an entry host if it still stands at `revision`; returns the store's
    /// count at the change.
    async fn replace_host(&self, record: &HostRecord, revision: u64) -> StoreResult<u64>;

    /// Records how far an order to move a service's traffic has come, if its object still stands where the record
    /// says; returns the store's count at the change.
    async fn record_rollout(&self, record: &RolloutRecord) -> StoreResult<u64>;

    /// Makes the object of a barred request; `Conflict` when it is there.
    async fn create_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()>;

    /// Removes the object of a request, by its name.
    async fn delete_suspect(&self, name: &str) -> StoreResult<()>;

    /// Removes the object of an entry host if it still stands at `revision`.
    async fn delete_host(&self, name: &str, revision: u64) -> StoreResult<()>;
}
