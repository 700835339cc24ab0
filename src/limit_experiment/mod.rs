//! Simulates limits of customers over many hosts, without sockets and clocks: runs the same
//! requests and faults under each strategy of [`strategies`], and reports what each one let through
//! and refused.
//!
//! [`scenario`] describes the load and faults, [`world`] runs the simulation, [`report`] summarizes
//! it, [`plot`] draws it.

mod customer;
mod faults;
pub mod fixed_shares;
pub mod host_share;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod strategies;
pub mod world;
