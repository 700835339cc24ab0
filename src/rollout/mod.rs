//! Roll-outs: the operator asks that the traffic of a service moves to servers of another version.
//!
//! **Load pattern.** A version that fails, or is slow, shows it only under requests, at times only under many or on one
//! route. So a small part of a service's requests goes to it first, every host reports how they ended to one host
//! of its region, and that one widens the part or gives the version up. Decisions only, driven by messages and time;
//! `entry::rollout_role` joins them to sockets, clock and store.

pub mod message;
mod open_rollout;
pub mod order;
pub mod pace;
pub mod plan;
pub mod table;
pub mod tally;
