//! What steering is asked and what it answers.

use std::net;

use crate::result_code::ResultCode;
use crate::slot_table::SlotIndex;
use crate::timer;
use crate::topology::{HallId, RegionId, ServiceId};

/// What steering must know of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'r> {
    /// The service's name.
    pub service: &'r str,
    /// The class's name.
    pub class: &'r str,
    /// The region that the caller is near, if its block is known.
    pub home: Option<RegionId>,
    /// A hash that stays the same for the caller's block.
    pub block_hash: u64,
    /// Time left until the deadline, in milliseconds; `None` takes the class's own.
    pub time_left_ms: Option<u64>,
}

/// An admitted request. It must be given back by [`super::SteeringRole::finish`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAdmission {
    /// The service.
    pub service: ServiceId,
    /// The chosen backend server.
    pub server: ChosenServer,
    /// When the request must be answered.
    pub deadline: timer::Moment,
    /// Whether it may be sent twice.
    pub repeatable: bool,
    /// The hall, by name, for the caller and the logs.
    pub hall: HallId,
    pub(super) place: SlotIndex,
    pub(super) route: Option<SlotIndex>,
    pub(super) estimate: SlotIndex,
    pub(super) retry: SlotIndex,
    pub(super) attempts: u32,
    pub(super) started: timer::Moment,
}

/// A backend server that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenServer {
    /// Where it listens.
    pub address: net::SocketAddr,
    pub(super) slot: SlotIndex,
}

/// A request that was not admitted; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why.
    pub code: ResultCode,
    /// When to come back, in milliseconds; `None` where the same request can't succeed.
    pub retry_after_ms: Option<u64>,
}

/// Picks a request that waits for a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitTicket(pub u64);

/// What steering says to a request on its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Send it now.
    Admitted(RequestAdmission),
    /// It waits for a unit, which it is expected to get in time.
    Waiting(WaitTicket),
    /// It is refused now.
    Refused(RequestRefusal),
}

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It answered below 500.
    Success,
    /// It answered 500 or above, or not at all.
    Failure,
    /// It said that it did not run the request.
    Shed,
    /// The caller went away; says nothing about the server.
    Abandoned,
}
