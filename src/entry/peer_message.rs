//! What entry hosts say to each other, and how it is written.
//!
//! The form is postcard behind one byte that numbers the format: a heartbeat is a third of its JSON,
//! and bytes between halls and regions are paid for.

use super::configuration::ServiceConfiguration;
use super::limits::message::LimitMessage;
use super::packed_servers::PackedServers;
use super::peers::HostRecord;
use super::quarantine::message::{QuarantineDigest, QuarantineMessage, SuspectRecord};
use super::server::ServerObject;
use super::server_limit::message::{LimitUpdate, ServerLimitMessage};
use crate::rollout::message::{RolloutReport, RolloutUpdate};

/// The number of the format. Hosts pass over messages of another one, so that two versions of the
/// program can run side by side while it is replaced.
const FORMAT: u8 = 9;

/// Why a message of another host could not be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerFormatError {
    /// It begins with the number of another format, or is empty.
    #[error("the message is of another format")]
    OtherFormat,
    /// Its bytes are not what the format says.
    #[error("the message is malformed: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Writes a message for another host.
///
/// # Errors
/// `Malformed` when a value cannot be written.
///
/// ```
/// use ledgespool::entry::peer_message;
/// let bytes = peer_message::to_bytes(&7_u64)?;
/// assert_eq!(peer_message::from_bytes::<u64>(&bytes)?, 7);
/// assert!(peer_message::from_bytes::<u64>(b"").is_err());
/// # Ok::<(), peer_message::PeerFormatError>(())
/// ```
pub fn to_bytes(message: &impl serde::Serialize) -> Result<Vec<u8>, PeerFormatError> {
    Ok(postcard::to_extend(message, vec![FORMAT])?)
}

/// Reads a message of another host.
///
/// # Errors
/// `OtherFormat` or `Malformed`.
pub fn from_bytes<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerFormatError> {
    match bytes.split_first() {
        Some((&FORMAT, message)) => Ok(postcard::from_bytes(message)?),
        _ => Err(PeerFormatError::OtherFormat),
    }
}

/// How a host stands to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WatchState {
    /// It leaves the store to others.
    Idle,
    /// It watches the store.
    Watching,
    /// It watches, and the store does not answer it.
    Blind,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    /// Sent at regular times, and at once when something changes.
    Heartbeat(Box<PeerHeartbeat>),
    /// Servers have changed.
    Fleet(FleetNews),
    /// Entry hosts have come or gone.
    Hosts(HostNews),
    /// Asks for the records of hosts that the other one has told of.
    WhoIs(WhoIsRequest),
    /// The hosts that were asked for.
    Who(Vec<KnownHost>),
    /// Limits of customers.
    Limit(LimitMessage),
    /// Requests under which servers ended.
    Quarantine(QuarantineMessage),
    /// Limits that servers name.
    ServerLimit(ServerLimitMessage),
    /// Servers that say that they leave, by the hashes of identity and start.
    Leaving(Vec<u64>),
    /// What a host of this region has counted since an order to move a service's traffic.
    RolloutReport(RolloutReport),
    /// What another region has counted.
    RegionRollout(RolloutReport),
}

/// What a host tells the others at regular times.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerHeartbeat {
    /// The host's name.
    pub host: String,
    /// The run of its process.
    pub run: u64,
    /// Its whole record, in some heartbeats, for hosts that have not met it.
    pub record: Option<HostRecord>,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// How it stands to the store.
    pub watch: WatchState,
    /// The configuration that it has in force; 0 for none.
    pub configuration_version: u64,
    /// The store's count at the last change of servers that it knows.
    pub fleet_changed: u64,
    /// The store's count at the last change of evacuations that it knows.
    pub evacuation_changed: u64,
    /// The halls that get no work.
    pub evacuated: Vec<String>,
    /// What it knows of requests under which servers ended.
    pub quarantine: QuarantineDigest,
    /// Some of what it knows of the limits that servers name, all of it in turn.
    pub server_limits: Vec<LimitUpdate>,
    /// Some of the servers that say that they leave and of which the store does not tell yet, all in turn.
    pub leaving_servers: Vec<u64>,
    /// The orders to move a service's traffic.
    pub rollouts: RolloutUpdate,
    /// How many hosts it knows, itself included: one that knows fewer asks.
    pub known_hosts: u32,
    /// How many of them stand in its region.
    pub known_near: u32,
    /// What the host has lately heard of others, itself or from others.
    pub heard: Vec<HeardHost>,
}

impl PeerHeartbeat {
    /// The same for hosts of other regions, who need to know of this one's hosts only now and then:
    /// what was heard of them goes with the host's record. Bytes between regions are dear.
    #[must_use]
    pub fn for_other_regions(&self) -> Self {
        let mut heartbeat = self.clone();
        if heartbeat.record.is_none() {
            heartbeat.heard.clear();
        }
        heartbeat
    }
}

/// What one host has heard of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeardHost {
    /// The lower half of a hash of the host's name.
    pub name_hash: u32,
    /// The lower part of its run's number, so that an earlier run is not taken for this one.
    pub run_low: u16,
    /// How long ago the host itself said what follows, in tenths of a second.
    pub age_tenths: u8,
    /// Whether it serves callers.
    pub ready: bool,
    /// How it stands to the store.
    pub watch: WatchState,
}

/// Changes of servers that a watcher has seen, or a part of them.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct FleetNews {
    /// Who says it.
    pub host: String,
    /// The store's count at the change before these.
    pub since: u64,
    /// The store's count behind these.
    pub until: u64,
    /// The number of this part, from 0.
    pub part: u32,
    /// How many parts these changes come in.
    pub parts: u32,
    /// Servers as they stand now.
    pub changed: Vec<ServerObject>,
    /// Servers that are gone.
    pub gone: Vec<GoneServer>,
    /// Whether who gets this passes it on to its hall.
    pub relay: bool,
}

/// A server whose entry is gone from the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GoneServer {
    /// The identity of its incarnation.
    pub id: String,
    /// For how much longer it is kept, in milliseconds, since its entry may have lapsed. Told for each
    /// server, so that a host that hears of it late does not keep it for longer than the others.
    pub hold_ms: u64,
}

/// Entry hosts that came or went.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostNews {
    /// Who came.
    pub joined: Vec<HostRecord>,
    /// Those that are gone.
    pub gone: Vec<GoneHost>,
    /// Whether who gets this passes it on to its region.
    pub relay: bool,
}

/// A host asks another for hosts that it does not know.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WhoIsRequest {
    /// Those that the other one has told of, by the short hashes of their names.
    pub unknown: Vec<u32>,
    /// What it knows, when it asks for all others as well.
    pub known: Option<KnownSlice>,
}

/// A host as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KnownHost {
    /// Its record.
    pub record: HostRecord,
    /// When it spoke last, if that is not too long ago: who is told of it can tell others at once.
    pub heard: Option<HeardHost>,
}

/// The hosts that one knows, or a part of them: the list of all may be larger than a datagram.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KnownSlice {
    /// Drawn into the marks, so that two hosts have the same in one question at most.
    pub salt: u32,
    /// Into how many parts short hashes fall.
    pub parts: u32,
    /// Which of them this is: short hashes with this remainder.
    pub part: u32,
    /// Marks of those that are known, made of their short hashes and the salt.
    pub marks: Vec<[u8; 2]>,
}

/// A run of a host whose entry is gone from the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GoneHost {
    /// The host's name.
    pub name: String,
    /// Its run: a later one of the same host may have been met meanwhile.
    pub run: u64,
}

/// Everything that a host can tell another whom the store does not answer.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct PeerSnapshot {
    /// The configuration in force.
    pub configuration: Option<ServiceConfiguration>,
    /// The backend servers.
    pub servers: PackedServers,
    /// Servers that are kept for a moment although their entries are gone.
    pub kept: Vec<GoneServer>,
    /// The store's count up to which the servers are current; 0 when they were never listed.
    pub fleet_revision: u64,
    /// Halls that get no work.
    pub evacuated: Vec<String>,
    /// The store's count up to which these halls are current; 0 when they were never listed.
    pub evacuation_revision: u64,
    /// The entry hosts.
    pub hosts: Vec<HostRecord>,
    /// Whether these are all, as far as can be told.
    pub hosts_listed: bool,
    /// Requests under which servers ended; `None` when the host that tells has not read the store's yet.
    pub suspects: Option<Vec<SuspectRecord>>,
    /// How many hosts each region has, as far as this one knows.
    pub region_sizes: Vec<RegionSize>,
    /// The orders to move a service's traffic.
    pub rollouts: RolloutUpdate,
}

/// How many entry hosts a region has.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RegionSize {
    /// The region.
    pub region: String,
    /// Its hosts.
    pub hosts: u32,
}

/// The fastest level that finds repeated strings, of 10.
const PACKING_LEVEL: u8 = 1;
/// The largest snapshot that is unpacked, in bytes: some thousand servers and ten thousand routes.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

/// A snapshot, compressed: between regions each window of it that is sent takes a way there and back.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PackedSnapshot(Vec<u8>);

impl PackedSnapshot {
    /// Writes and compresses a snapshot.
    ///
    /// # Errors
    /// `Malformed` when it cannot be written.
    ///
    /// ```
    /// use ledgespool::entry::peer_message::{PackedSnapshot, PeerSnapshot};
    /// let snapshot = PeerSnapshot { fleet_revision: 7, ..PeerSnapshot::default() };
    /// let packed = PackedSnapshot::from_snapshot(&snapshot)?;
    /// assert_eq!(packed.snapshot(), Some(snapshot));
    /// # Ok::<(), ledgespool::entry::peer_message::PeerFormatError>(())
    /// ```
    pub fn from_snapshot(snapshot: &PeerSnapshot) -> Result<Self, PeerFormatError> {
        let bytes = postcard::to_stdvec(snapshot)?;
        Ok(Self(miniz_oxide::deflate::compress_to_vec(
            &bytes,
            PACKING_LEVEL,
        )))
    }

    /// The snapshot; `None` for bytes that are none.
    #[must_use]
    pub fn snapshot(&self) -> Option<PeerSnapshot> {
        let unpack = miniz_oxide::inflate::decompress_to_vec_with_limit;
        let bytes = unpack(&self.0, MAX_UNPACKED_BYTES).ok()?;
        postcard::from_bytes(&bytes).ok()
    }
}

/// What a host that starts is told by one that it asked.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum JoinAnswer {
    /// Everything.
    Snapshot(PackedSnapshot),
    /// To ask this host instead, who knows it too or will in a moment.
    Ask(std::net::SocketAddr),
}
