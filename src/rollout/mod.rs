//! Rollouts: moves the traffic of a service to servers of another version at the operator's
//! request.
//!
//! **Load pattern.** A version that fails or is slow shows it only when it serves requests,
//! sometimes only under high load or on one route. So the version first gets a small share of the
//! service's requests. Every host reports their results to the rollout leader of its region, which
//! increases the share or reverts the rollout. This module only decides, driven by messages and
//! time; `entry::rollout_role` connects it to sockets, clock and store.

pub mod message;
pub mod plan;
pub mod report_schedule;
pub mod spec;
pub mod table;
pub mod tally;
mod tracked_rollout;
