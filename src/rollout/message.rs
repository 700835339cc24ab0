//! What hosts tell each other of roll-outs, and what requests tell of them.

use super::order::{RolloutOrder, RolloutState, VersionTag};
use super::plan::RolloutStep;
use super::tally::ServiceTally;

/// How far an order has come, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RolloutProgress {
    /// The order.
    pub order: RolloutOrder,
    /// The store's position at the object's last change.
    pub revision: u64,
    /// How long ago the order was first seen, in milliseconds.
    pub age_ms: u64,
    /// How far the traffic has moved.
    pub step: RolloutStep,
    /// What has been decided.
    pub state: RolloutState,
}

/// All orders, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RolloutNews {
    /// The store's position up to which the orders are current; 0 where none were ever read.
    pub position: u64,
    /// The orders.
    pub orders: Vec<RolloutProgress>,
}

/// What a host counts, or a region's hosts together, since an order.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RolloutReport {
    /// Who counts: a hash of the host's name, or of the region's.
    pub source: u64,
    /// The order's service.
    pub service: String,
    /// When the order was made.
    pub created: u64,
    /// How the requests ended.
    pub tally: ServiceTally,
    /// Requests that are under way on servers of other versions.
    pub others_open: u32,
    /// How far the traffic of the region has moved.
    pub step: RolloutStep,
}

/// What must be done for an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutChange {
    /// The order.
    pub order: RolloutOrder,
    /// How far the traffic moves.
    pub step: RolloutStep,
    /// What is decided.
    pub state: RolloutState,
}

/// How a request ended on a server.
#[derive(Debug, Clone, Copy)]
pub struct RolloutAnswer<'a> {
    /// Its route.
    pub route: &'a str,
    /// The server's version.
    pub version: VersionTag,
    /// Whether it failed, or took several times as long as usual.
    pub is_bad: bool,
}
