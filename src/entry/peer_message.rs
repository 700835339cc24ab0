//! What entry hosts say to each other.

use super::configuration::ServiceConfiguration;
use super::peers::HostRecord;
use super::server::ServerObject;

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
    Heartbeat(PeerHeartbeat),
    /// Servers have changed.
    Fleet(FleetNews),
    /// Entry hosts have come or gone.
    Hosts(HostNews),
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
}

/// Changes of servers that a watcher has seen, or a part of them.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct FleetNews {
    /// Who says it.
    pub host: String,
    /// The store's count at the change before these.
    pub since: u64,
    /// The store's count behind these.
    pub until: u64,
    /// How many parts these changes come in.
    pub parts: u32,
    /// How long entries that went missing are kept, in milliseconds, since they may have lapsed.
    pub hold_ms: u64,
    /// Servers as they stand now.
    pub changed: Vec<ServerObject>,
    /// Identities of servers that are gone.
    pub gone: Vec<String>,
}

/// Entry hosts that a watcher has seen come or go.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HostNews {
    /// Who came.
    pub joined: Vec<HostRecord>,
    /// Names of those whose entries are gone.
    pub gone: Vec<String>,
}

/// Everything that a host can tell another whom the store does not answer.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct PeerSnapshot {
    /// The configuration in force.
    pub configuration: Option<ServiceConfiguration>,
    /// The backend servers.
    pub servers: Vec<ServerObject>,
    /// The store's count up to which the servers are current; 0 when they were never listed.
    pub fleet_revision: u64,
    /// Halls that get no work.
    pub evacuated: Vec<String>,
    /// The store's count up to which these halls are current; 0 when they were never listed.
    pub evacuation_revision: u64,
    /// The entry hosts.
    pub hosts: Vec<HostRecord>,
    /// Whether these are all that the store knew.
    pub hosts_listed: bool,
}
