//! Requests to the steering role, and its decisions.

use std::net;

use crate::result_code::ResultCode;
use crate::slot_table::SlotIndex;
use crate::timer;
use crate::topology::{HallId, RegionId, ServiceId};

/// The properties of a request on which steering decides.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts<'r> {
    /// The service's name.
    pub service: &'r str,
    /// The class's name.
    pub class: &'r str,
    /// The caller's home region, if its block is known.
    pub home: Option<RegionId>,
    /// A stable hash of the caller's block.
    pub block_hash: u64,
    /// Time left until the deadline, in milliseconds; `None` selects the deadline of the class.
    pub time_left_ms: Option<u64>,
}

/// An admitted request. Its units must be released with [`super::SteeringRole::finish`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAdmission {
    /// The service.
    pub service: ServiceId,
    /// The selected backend server.
    pub server: ChosenServer,
    /// The deadline of the answer.
    pub deadline: timer::Moment,
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    /// The hall, reported to the caller and in logs.
    pub hall: HallId,
    pub(super) place: SlotIndex,
    pub(super) route: Option<SlotIndex>,
    pub(super) estimate: SlotIndex,
    pub(super) retry: SlotIndex,
    pub(super) attempts: u32,
    pub(super) started: timer::Moment,
}

/// A selected backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChosenServer {
    /// The address on which it listens.
    pub address: net::SocketAddr,
    pub(super) slot: SlotIndex,
}

/// A refusal; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The reason.
    pub code: ResultCode,
    /// When to retry, in milliseconds; `None` if the same request can't succeed.
    pub retry_after_ms: Option<u64>,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitTicket(pub u64);

/// The decision about a request on arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Send the request now.
    Admitted(RequestAdmission),
    /// The request waits for a unit, which it is expected to get in time.
    Waiting(WaitTicket),
    /// The request is refused.
    Refused(RequestRefusal),
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server answered with a status below 500.
    Success,
    /// The server answered with a status of 500 or above, or not at all.
    Failure,
    /// The server stated that it did not run the request.
    Shed,
    /// The caller disconnected; this says nothing about the server.
    Abandoned,
}
