//! Messages between entry hosts, and their encoding.
//!
//! A message is one byte with the format number followed by postcard. A heartbeat takes a third of
//! its size in JSON, and traffic between halls and regions is paid for.

use super::configuration::ServiceConfiguration;
use super::limits::message::LimitMessage;
use super::packed_servers::PackedServers;
use super::peers::HostRecord;
use super::quarantine::message::{QuarantineDigest, QuarantineMessage, SuspectRecord};
use super::server::ServerObject;
use super::server_limit::message::{LimitUpdate, ServerLimitMessage};
use crate::load_exchange::digest::LoadDigest;
use crate::rollout::message::{RolloutReport, RolloutUpdate};

/// The format number. Hosts ignore messages with another number, so that two versions of the
/// program can run side by side during an upgrade.
const FORMAT: u8 = 12;

/// Why a message of another host could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerFormatError {
    /// The message is empty or starts with another format number.
    #[error("unsupported message format")]
    OtherFormat,
    /// The bytes do not follow the format.
    #[error("the message is malformed: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message for another host.
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

/// Decodes a message of another host.
///
/// # Errors
/// `OtherFormat` or `Malformed`.
pub fn from_bytes<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerFormatError> {
    match bytes.split_first() {
        Some((&FORMAT, message)) => Ok(postcard::from_bytes(message)?),
        _ => Err(PeerFormatError::OtherFormat),
    }
}

/// Whether a host watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WatchState {
    /// Other hosts watch the store.
    Idle,
    /// The host watches the store.
    Watching,
    /// The host watches the store but gets no answer.
    Blind,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    /// Sent at regular intervals, and at once after a change.
    Heartbeat(Box<PeerHeartbeat>),
    /// Servers have changed.
    Fleet(FleetUpdate),
    /// Entry hosts have joined or are gone.
    Hosts(HostUpdate),
    /// Requests the records of hosts that the recipient has reported.
    WhoIs(WhoIsRequest),
    /// The requested host records.
    Who(Vec<KnownHost>),
    /// Limits of customers.
    Limit(LimitMessage),
    /// Requests under which servers crashed.
    Quarantine(QuarantineMessage),
    /// Limits advertised by servers.
    ServerLimit(ServerLimitMessage),
    /// Servers that have announced their shutdown, by hash of the incarnation.
    Leaving(Vec<u64>),
    /// Counts of a host of this region since the start of a rollout.
    RolloutReport(RolloutReport),
    /// Counts of another region.
    RegionRollout(RolloutReport),
    /// Loads that servers reported, and where objects were cached.
    Load(LoadDigest),
}

/// The state that a host sends to others at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerHeartbeat {
    /// The host's name.
    pub host: String,
    /// The run of the host's process.
    pub run: u64,
    /// The host's whole record. Only some heartbeats carry it, for hosts that do not know it yet.
    pub record: Option<HostRecord>,
    /// Whether the host serves callers.
    pub ready: bool,
    /// Whether the host reaches servers of at least one service.
    pub reaches_servers: bool,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// Whether the host watches the store.
    pub watch: WatchState,
    /// Version of the active configuration; 0 for none.
    pub configuration_version: u64,
    /// Store revision of the last server change that the host knows.
    pub fleet_changed: u64,
    /// Store revision of the last evacuation change that the host knows.
    pub evacuation_changed: u64,
    /// Halls that get no work.
    pub evacuated: Vec<String>,
    /// Digest of the requests under which servers crashed.
    pub quarantine: QuarantineDigest,
    /// Some of the limits advertised by servers; successive heartbeats go through all of them.
    pub server_limits: Vec<LimitUpdate>,
    /// Some of the leaving servers that the store does not report yet; successive heartbeats go
    /// through all of them.
    pub leaving_servers: Vec<u64>,
    /// Rollouts that move a service's traffic to another version.
    pub rollouts: RolloutUpdate,
    /// Number of hosts that the sender knows, itself included. A recipient that knows fewer asks
    /// for the missing ones.
    pub known_hosts: u32,
    /// Number of known hosts in the sender's region, itself included.
    pub known_near: u32,
    /// Recent statuses of other hosts, seen directly or through gossip.
    #[serde(rename = "heard")]
    pub peer_statuses: Vec<PeerStatus>,
}

impl PeerHeartbeat {
    /// The heartbeat for hosts of other regions. They need the statuses of this region only
    /// occasionally, so only heartbeats with a record carry them; traffic between regions is
    /// expensive.
    #[must_use]
    pub fn for_other_regions(&self) -> Self {
        let mut heartbeat = self.clone();
        if heartbeat.record.is_none() {
            heartbeat.peer_statuses.clear();
        }
        heartbeat
    }
}

/// Status of a host as seen by another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerStatus {
    /// The lower half of the hash of the host's name.
    pub name_hash: u32,
    /// The lower bits of the host's run number, so that a status of an earlier run is not applied
    /// to a later one.
    pub run_low: u16,
    /// Age of the status, counted from when the host itself sent it, in tenths of a second.
    pub age_tenths: u8,
    /// Whether the host serves callers.
    pub ready: bool,
    /// Whether the host reaches servers of at least one service.
    pub reaches_servers: bool,
    /// Whether the host watches the store.
    pub watch: WatchState,
}

/// Server changes observed by a watcher, or one fragment of them.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct FleetUpdate {
    /// The host that sends the update.
    pub host: String,
    /// Store revision before these changes.
    pub since: u64,
    /// Store revision after these changes.
    pub until: u64,
    /// Index of this fragment, from 0.
    pub part: u32,
    /// Number of fragments of the update.
    pub parts: u32,
    /// Servers that joined or changed, in their current state.
    pub changed: Vec<ServerObject>,
    /// Servers that are gone.
    pub gone: Vec<GoneServer>,
    /// Whether the recipient relays the update to its hall.
    pub relay: bool,
}

/// A server whose entry is gone from the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GoneServer {
    /// ID of the server's incarnation.
    pub id: String,
    /// Remaining retention of the server, whose entry may only have expired, in milliseconds. Sent
    /// per server, so that a host that gets the update late does not retain the server longer than
    /// others do.
    pub hold_ms: u64,
    /// The number of the server's last statement about itself. An entry that returns with an older
    /// one was written late.
    pub last_statement: Option<u64>,
}

/// Entry hosts that joined or are gone.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostUpdate {
    /// Hosts that joined.
    pub joined: Vec<HostRecord>,
    /// Hosts that are gone.
    pub gone: Vec<GoneHost>,
    /// Whether the recipient relays the update to its region.
    pub relay: bool,
}

/// A request for hosts that the sender does not know.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WhoIsRequest {
    /// Unknown hosts that the recipient has reported, by short hash of the name.
    pub unknown: Vec<u32>,
    /// The hosts that the sender knows, if it asks for all others as well.
    pub known: Option<KnownSlice>,
}

/// A host as another host knows it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KnownHost {
    /// The host's record.
    pub record: HostRecord,
    /// The host's status if it was seen recently, so that the recipient can report it further at
    /// once.
    #[serde(rename = "heard")]
    pub status: Option<PeerStatus>,
}

/// The hosts that a host knows, or a part of them, since the whole list may exceed a datagram.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KnownSlice {
    /// Salt of the marks, so that two hosts whose marks collide in one request differ in the next.
    pub salt: u32,
    /// Number of parts into which short hashes are divided.
    pub parts: u32,
    /// Index of this part: short hashes with this remainder modulo `parts`.
    pub part: u32,
    /// Marks of the known hosts, computed from their short hashes and the salt.
    pub marks: Vec<[u8; 2]>,
}

/// A run of a host whose entry is gone from the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GoneHost {
    /// The host's name.
    pub name: String,
    /// The run. A later run of the same host may already be known.
    pub run: u64,
}

/// The whole state that a host hands to another one that cannot read the store.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct PeerSnapshot {
    /// The active configuration.
    pub configuration: Option<ServiceConfiguration>,
    /// The backend servers.
    pub servers: PackedServers,
    /// Servers that are retained for a while although their entries are gone.
    pub kept: Vec<GoneServer>,
    /// Store revision up to which the servers are current; 0 if they were never listed.
    pub fleet_revision: u64,
    /// Halls that get no work.
    pub evacuated: Vec<String>,
    /// Store revision up to which the evacuated halls are current; 0 if they were never listed.
    pub evacuation_revision: u64,
    /// The entry hosts.
    pub hosts: Vec<HostRecord>,
    /// Whether `hosts` is presumed to be complete.
    pub hosts_listed: bool,
    /// Requests under which servers crashed; `None` if the sender has not read the store's list
    /// yet.
    pub suspects: Option<Vec<SuspectRecord>>,
    /// Number of hosts in each region, as far as the sender knows.
    pub region_sizes: Vec<RegionSize>,
    /// Rollouts that move a service's traffic to another version.
    pub rollouts: RolloutUpdate,
}

/// Number of entry hosts in a region.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RegionSize {
    /// The region's name.
    pub region: String,
    /// The number of hosts.
    pub hosts: u32,
}

/// The fastest of 10 compression levels that finds repeated strings.
const PACKING_LEVEL: u8 = 1;
/// Maximum size of an unpacked snapshot, in bytes. Fits some thousand servers and ten thousand
/// routes.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

/// A compressed snapshot. Between regions, each congestion window of data costs a round trip.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PackedSnapshot(Vec<u8>);

impl PackedSnapshot {
    /// Encodes and compresses a snapshot.
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

    /// Decompresses and decodes the snapshot; `None` if the bytes are malformed.
    #[must_use]
    pub fn snapshot(&self) -> Option<PeerSnapshot> {
        let unpack = miniz_oxide::inflate::decompress_to_vec_with_limit;
        let bytes = unpack(&self.0, MAX_UNPACKED_BYTES).ok()?;
        postcard::from_bytes(&bytes).ok()
    }
}

/// Answer to the join request of a host that starts.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum JoinAnswer {
    /// The whole state.
    Snapshot(PackedSnapshot),
    /// The address of another host to ask, which has the state or will have it shortly.
    Ask(std::net::SocketAddr),
}
