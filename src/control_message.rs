//! The inputs and outputs of the controller: the messages that it exchanges with the workers, the
//! peers, the platform and the operators.

use std::sync;

use crate::claim::{ClaimAttempt, ClaimKey, ClaimVerdict};
use crate::claim_role::ClaimRequest;
use crate::config_object::ConfigObject;
use crate::config_role::{ChangeAnswer, ChangeRequest};
use crate::event::EventCode;
use crate::lookup::LookupTable;
use crate::member::{HostIdentity, MemberRecord};
use crate::membership::HeartbeatTarget;
use crate::plan::HostGrants;
use crate::platform_call::{PlatformCall, PlatformReply};
use crate::report::{HostReport, PlaceUsage};
use crate::topology::SteeringTopology;

/// A backend server that has announced its shutdown.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct LeavingServer {
    /// Its name.
    pub name: String,
    /// Time since its announcement in milliseconds.
    pub age_ms: u64,
}

/// A heartbeat or the response to one.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PeerHeartbeat {
    /// The sender's own record.
    pub from: MemberRecord,
    /// Records that changed recently.
    pub rumors: Vec<MemberRecord>,
    /// Whether to exchange all records.
    pub full: bool,
    /// The sender's active generation; 0 without one.
    pub generation: u64,
    /// The newest plan sequence that the sender knows.
    pub plan_sequence: u64,
    /// The planner that wrote it.
    pub plan_holder: Option<HostIdentity>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<LeavingServer>,
}

/// A claim that a host forwards to the owner of its shard.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PeerClaim {
    /// The key's digest, in hexadecimal.
    pub digest: String,
    /// The key's timestamp in Unix milliseconds.
    pub made_at: u64,
    /// The attempt that wants to run it.
    pub attempt: ClaimAttempt,
    /// Time left until the claim's deadline, in milliseconds.
    pub time_left_ms: u64,
}

/// The outcome of a claimed request, sent to the owner of its shard.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PeerSettle {
    /// The key's digest, in hexadecimal.
    pub digest: String,
    /// The owning attempt.
    pub attempt: ClaimAttempt,
    /// The HTTP status of the response; `None` releases the key because the attempt provably did
    /// not run.
    pub status: Option<u16>,
}

/// The decision on a claim, as sent to a worker or a peer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ClaimDecision {
    /// The request may be sent once.
    Granted,
    /// The request already ran; its response had this HTTP status.
    Repeated(u16),
    /// The request may already have run.
    Pending,
    /// Nothing could be recorded; retry after this many milliseconds.
    Unavailable(u64),
}

impl From<ClaimVerdict> for ClaimDecision {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Granted => Self::Granted,
            ClaimVerdict::Repeated(status) => Self::Repeated(status),
            ClaimVerdict::Pending => Self::Pending,
        }
    }
}

/// A worker's usage report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerUsage {
    /// The index of the worker.
    pub worker: usize,
    /// The generation that is active on it.
    pub generation: u64,
    /// The plan sequence that is active on it.
    pub sequence: u64,
    /// Its use of places.
    pub usage: Vec<PlaceUsage>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests in flight at backend servers that get no new work.
    pub draining: u32,
}

/// The purpose of a platform call, by which its reply is dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// The configuration role.
    Config,
    /// The planner role.
    Plan,
    /// A claim shard.
    Claim(u16),
    /// The watch on configuration and plan.
    Watch,
    /// The host list.
    Hosts,
}

/// An input of the controller.
#[derive(Debug, Clone)]
pub enum ControlInput {
    /// A timer tick.
    Tick,
    /// The reply to a platform call.
    Platform(CallPurpose, PlatformReply),
    /// A peer's heartbeat; requires an answer.
    Heartbeat(u64, PeerHeartbeat),
    /// The response to a heartbeat; `None` if there was none.
    HeartbeatDone(HeartbeatTarget, Option<PeerHeartbeat>),
    /// A host's report to this planner; requires an answer.
    Report(u64, HostReport),
    /// The planner's response to a report; `None` if it did not respond or is not the planner.
    ReportDone(Option<HostGrants>),
    /// A peer's request for the configuration; requires an answer.
    Fetch(u64),
    /// A peer's configuration; `None` if the fetch failed.
    Fetched(Option<ConfigObject>),
    /// An operator's change; requires an answer.
    Change(ChangeRequest),
    /// A worker's claim; requires an answer.
    Claim(ClaimRequest),
    /// A peer's claim; requires an answer.
    PeerClaim(u64, PeerClaim),
    /// The decision of the shard's owner; `None` if it did not respond.
    PeerClaimDone(u64, Option<ClaimDecision>),
    /// The outcome of a claimed request, from a worker.
    Settle(ClaimKey, ClaimAttempt, Option<u16>),
    /// The outcome of a claimed request, from a peer; this host owns the shard.
    PeerSettle(PeerSettle),
    /// A worker's usage report.
    Usage(WorkerUsage),
    /// A backend server announced its shutdown to a worker.
    ServerLeaving(String),
    /// A request for the host's status; requires an answer.
    Status(u64),
    /// A request to stop the process.
    Stop,
}

/// An answer for the call that waits under a ticket.
#[derive(Debug, Clone)]
pub enum ControlAnswer {
    /// The answer to a heartbeat.
    Heartbeat(PeerHeartbeat),
    /// The answer to a report: the host's grants, or `None` if this host is not the planner.
    Grants(Option<HostGrants>),
    /// The answer to a fetch.
    Config(Option<ConfigObject>),
    /// The answer to a change.
    Change(ChangeAnswer),
    /// The answer to a claim.
    Claim(ClaimDecision),
    /// The answer to a status request.
    Status(Box<HostStatus>),
}

/// An action that the controller requests from the control thread.
#[derive(Debug)]
pub enum ControlAction {
    /// Call the platform.
    Platform(CallPurpose, PlatformCall),
    /// Send a heartbeat.
    SendHeartbeat(HeartbeatTarget, PeerHeartbeat),
    /// Send a report to the planner.
    SendReport(std::net::SocketAddr, HostReport),
    /// Request a peer's configuration.
    SendFetch(std::net::SocketAddr),
    /// Forward a claim to its shard's owner.
    SendClaim(u64, std::net::SocketAddr, PeerClaim),
    /// Forward an outcome to its shard's owner.
    SendSettle(std::net::SocketAddr, PeerSettle),
    /// Install a topology on the workers.
    InstallTopology(sync::Arc<SteeringTopology>),
    /// Install a lookup table on the workers.
    InstallLookup(sync::Arc<LookupTable>),
    /// Install the host's grants on the workers.
    InstallGrants(HostGrants),
    /// Notify the workers whether this host is leaving.
    SetLeaving(bool),
    /// Notify the workers which backend servers are leaving.
    SetLeavingServers(sync::Arc<Vec<String>>),
    /// Answer the call that waits under a ticket.
    Answer(u64, ControlAnswer),
    /// Log an event.
    Event(EventCode, String),
    /// Stop the process; all work is finished.
    Finished,
}

/// A place's grant and use on one host.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct PlaceStatus {
    /// The place.
    pub place: String,
    /// Units granted to the host.
    pub grant: u32,
    /// Units in use on it.
    pub in_use: u32,
}

/// The state of one host, as shown to operators.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct HostStatus {
    /// The host.
    pub host: MemberRecord,
    /// The generation installed.
    pub generation: u64,
    /// The generation that is active on all its workers.
    pub in_force: u64,
    /// The plan sequence that is active on all its workers.
    pub plan_sequence: u64,
    /// The planner, if known to the host.
    pub planner: Option<HostIdentity>,
    /// Whether its last call to the platform was answered.
    pub platform_ok: bool,
    /// Whether it has lost contact with all peers.
    pub cut_off: bool,
    /// Number of client blocks in its map.
    pub blocks: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests still in flight on drained servers.
    pub draining: u32,
    /// Duration of the last drain on this host in milliseconds.
    pub last_drain_ms: Option<u64>,
    /// Backend servers that get no new work because they are leaving.
    pub leaving_servers: Vec<String>,
    /// Grants and use of each place.
    pub places: Vec<PlaceStatus>,
    /// All hosts that it knows, including itself.
    pub members: Vec<MemberRecord>,
}
