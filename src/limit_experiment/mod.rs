//! Plays the limits of customers over many hosts, without sockets and clocks: the same requests and
//! faults under each [`ways`] of keeping a limit, and what each let through and refused.
//!
//! [`scenario`] says what happens, [`world`] plays it, [`report`] sums up, [`plot`] draws.

mod customer;
mod faults;
pub mod fixed_parts;
pub mod fixed_share;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod ways;
pub mod world;
