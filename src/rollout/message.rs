//! Messages between hosts about rollouts, and the results of requests that rollouts depend on.

use super::plan::RolloutStep;
use super::spec::{RolloutSpec, RolloutState, VersionTag};
use super::tally::ServiceTally;

/// The progress of one rollout, as sent between hosts.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RolloutProgress {
    /// What the operator requested.
    #[serde(rename = "order")]
    pub spec: RolloutSpec,
    /// The store revision of the object's last change.
    pub revision: u64,
    /// Time since a host first saw the rollout, in milliseconds.
    pub age_ms: u64,
    /// How far the traffic has moved.
    pub step: RolloutStep,
    /// The decision so far.
    pub state: RolloutState,
}

/// All rollouts, as sent between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RolloutUpdate {
    /// The store revision up to which the list is current; 0 if it was never read.
    pub position: u64,
    /// The progress of each rollout.
    #[serde(rename = "orders")]
    pub rollouts: Vec<RolloutProgress>,
}

/// The counts of one host, or of all hosts of a region, since the start of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RolloutReport {
    /// Who reports: a hash of the host's or the region's name.
    pub source: u64,
    /// The service.
    pub service: String,
    /// The store revision at which the rollout was created.
    pub created: u64,
    /// The results of the requests.
    pub tally: ServiceTally,
    /// Number of requests in flight on servers of other versions.
    pub others_open: u32,
    /// How far the region's traffic has moved.
    pub step: RolloutStep,
}

/// A change of a rollout's step or state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutChange {
    /// What the operator requested.
    pub spec: RolloutSpec,
    /// How far the traffic is to move.
    pub step: RolloutStep,
    /// The decision.
    pub state: RolloutState,
}

/// The result of one request on one server.
#[derive(Debug, Clone, Copy)]
pub struct RolloutAnswer<'a> {
    /// The request's route.
    pub route: &'a str,
    /// The server's version.
    pub version: VersionTag,
    /// Whether the request failed or took several times as long as expected.
    pub is_bad: bool,
}
