//! What a host tells the planner.

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
    /// Units in use now, counted after the reported plan came into force.
    pub in_use: u32,
    /// Its offered load in thousandths of a unit: units in use on average, and those that waiting
    /// and refused requests would have used.
    pub load_milli: u32,
    /// Requests answered.
    pub completed: u32,
    /// Requests refused for want of units.
    pub refused: u32,
}

/// A host's report.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct HostReport {
    /// Who reports.
    pub identity: member::HostIdentity,
    /// Its control address.
    pub control_address: net::SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Whether it takes no new callers.
    pub leaving: bool,
    /// The plan sequence that all its workers have in force.
    pub installed: u64,
    /// Its use of places; those without any are left out.
    pub usage: Vec<PlaceUsage>,
}
