//! What goes in and out of the controller: every message between it, the workers, the peers, the
//! platform and the operators.

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

/// A backend server that is known to leave.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct LeavingServer {
    /// Its name.
    pub name: String,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// A heartbeat, and its answer.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PeerHeartbeat {
    /// The sender's own record.
    pub from: MemberRecord,
    /// Records that changed lately.
    pub rumors: Vec<MemberRecord>,
    /// Whether all records are asked for.
    pub full: bool,
    /// The generation in force at the sender; 0 without one.
    pub generation: u64,
    /// The newest plan sequence that the sender knows.
    pub plan_sequence: u64,
    /// Who wrote it.
    pub plan_holder: Option<HostIdentity>,
    /// Backend servers that leave.
    pub leaving_servers: Vec<LeavingServer>,
}

/// A claim that a host passes to the owner of its shard.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PeerClaim {
    /// The key's digest, in hexadecimal.
    pub digest: String,
    /// The key's time.
    pub made_at: u64,
    /// Who wants to run it.
    pub attempt: ClaimAttempt,
    /// Time that the owner has, in milliseconds.
    pub time_left_ms: u64,
}

/// The outcome of a claimed request, on its way to the shard's owner.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PeerSettle {
    /// The key's digest, in hexadecimal.
    pub digest: String,
    /// The owning attempt.
    pub attempt: ClaimAttempt,
    /// The answer's HTTP status; `None` gives the key back, as it provably did not run.
    pub status: Option<u16>,
}

/// How a claim ended, as told to a worker or a peer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ClaimDecision {
    /// Send it, once.
    Granted,
    /// It ran before, with this HTTP status.
    Repeated(u16),
    /// It may have run before.
    Pending,
    /// Nothing could be recorded; come back after so many milliseconds.
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

/// What a worker reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerUsage {
    /// Which worker.
    pub worker: usize,
    /// The generation that it has in force.
    pub generation: u64,
    /// The plan sequence that it has in force.
    pub sequence: u64,
    /// Its use of places.
    pub usage: Vec<PlaceUsage>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Those of them at backend servers that get no new work.
    pub draining: u32,
}

/// Why a platform call was made; its reply finds its way by this.
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

/// What reaches the controller.
#[derive(Debug, Clone)]
pub enum ControlInput {
    /// Time passed.
    Tick,
    /// A platform call ended.
    Platform(CallPurpose, PlatformReply),
    /// A peer's heartbeat; answer it.
    Heartbeat(u64, PeerHeartbeat),
    /// A heartbeat that was sent got an answer, or none.
    HeartbeatDone(HeartbeatTarget, Option<PeerHeartbeat>),
    /// A host reports to this planner; answer it.
    Report(u64, HostReport),
    /// The planner answered the report; `None` when it did not or is none.
    ReportDone(Option<HostGrants>),
    /// A peer wants the configuration; answer it.
    Fetch(u64),
    /// A peer sent its configuration, or nothing usable.
    Fetched(Option<ConfigObject>),
    /// An operator's change; answer it.
    Change(ChangeRequest),
    /// A worker's claim; answer it.
    Claim(ClaimRequest),
    /// A peer's claim; answer it.
    PeerClaim(u64, PeerClaim),
    /// The shard's owner decided, or did not answer.
    PeerClaimDone(u64, Option<ClaimDecision>),
    /// The outcome of a claimed request, from a worker.
    Settle(ClaimKey, ClaimAttempt, Option<u16>),
    /// The same, from a peer; this host owns the shard.
    PeerSettle(PeerSettle),
    /// A worker reports.
    Usage(WorkerUsage),
    /// A worker heard from a backend server that it leaves.
    ServerLeaving(String),
    /// Someone asks for the state; answer it.
    Status(u64),
    /// The process was asked to stop.
    Stop,
}

/// An answer to whoever waits under a ticket.
#[derive(Debug, Clone)]
pub enum ControlAnswer {
    /// To a heartbeat.
    Heartbeat(PeerHeartbeat),
    /// To a report: grants, or `None` from a host that does not plan.
    Grants(Option<HostGrants>),
    /// To a fetch.
    Config(Option<ConfigObject>),
    /// To a change.
    Change(ChangeAnswer),
    /// To a claim.
    Claim(ClaimDecision),
    /// To a status call.
    Status(Box<HostStatus>),
}

/// What the controller wants done.
#[derive(Debug)]
pub enum ControlAction {
    /// Call the platform.
    Platform(CallPurpose, PlatformCall),
    /// Send a heartbeat.
    SendHeartbeat(HeartbeatTarget, PeerHeartbeat),
    /// Report to the planner.
    SendReport(std::net::SocketAddr, HostReport),
    /// Ask a peer for its configuration.
    SendFetch(std::net::SocketAddr),
    /// Pass a claim to its shard's owner.
    SendClaim(u64, std::net::SocketAddr, PeerClaim),
    /// Pass an outcome to its shard's owner.
    SendSettle(std::net::SocketAddr, PeerSettle),
    /// Give the workers a topology.
    InstallTopology(sync::Arc<SteeringTopology>),
    /// Give the workers look-up answers.
    InstallLookup(sync::Arc<LookupTable>),
    /// Give the workers the host's grants.
    InstallGrants(HostGrants),
    /// Tell the workers whether this host leaves.
    SetLeaving(bool),
    /// Tell the workers which backend servers leave.
    SetLeavingServers(sync::Arc<Vec<String>>),
    /// Answer whoever waits.
    Answer(u64, ControlAnswer),
    /// Log an event.
    Event(EventCode, String),
    /// Nothing is left to finish: stop the process.
    Finished,
}

/// A place's headroom on one host.
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
    /// The generation that all its workers have in force.
    pub in_force: u64,
    /// The plan sequence that all its workers have in force.
    pub plan_sequence: u64,
    /// The planner, as far as it knows.
    pub planner: Option<HostIdentity>,
    /// Whether its last call to the platform was answered.
    pub platform_ok: bool,
    /// Whether it hears nobody.
    pub cut_off: bool,
    /// Client blocks in its map.
    pub blocks: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests still running on what is drained.
    pub draining: u32,
    /// How long the last drain took on this host, in milliseconds.
    pub last_drain_ms: Option<u64>,
    /// Backend servers that get no new work because they leave.
    pub leaving_servers: Vec<String>,
    /// Grants and use by place.
    pub places: Vec<PlaceStatus>,
    /// All hosts that it knows.
    pub members: Vec<MemberRecord>,
}
