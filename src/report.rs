//! Usage reports that hosts send to the planner.

use std::net;

use crate::budget;
use crate::member;

/// A host's use of one place since its last report.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PlaceUsage {
    /// The place.
    pub key: budget::PlaceKey,
    /// Units currently in use, counted after the reported plan became active.
    pub in_use: u32,
    /// Its offered load in thousandths of a unit: the average number of units in use, plus the
    /// units that waiting and refused requests would have used.
    pub load_milli: u32,
    /// Requests answered.
    pub completed: u32,
    /// Requests refused because no unit was free.
    pub refused: u32,
}

/// A host's report.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct HostReport {
    /// The reporting host.
    pub identity: member::HostIdentity,
    /// Its control address.
    pub control_address: net::SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Whether it is leaving and accepts no new callers.
    pub leaving: bool,
    /// The plan sequence that is active on all its workers.
    pub installed: u64,
    /// Its use of places; unused places are omitted.
    pub usage: Vec<PlaceUsage>,
}
