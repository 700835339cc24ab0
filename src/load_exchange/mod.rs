//! Hosts tell each other the loads that servers report.
//!
//! **Load pattern.** With many hosts, each of them gets few of a server's answers, and so learns
//! its load seldom: with 80 hosts, a server that answers 20 requests per second is heard every four
//! seconds by each host. In between, the server may fill up or become idle. Hosts that choose
//! servers by loads of several seconds ago let requests wait at full servers while other servers
//! have free slots.
//!
//! [`news`] keeps the newest report of each server and decides which reports are told, [`digest`]
//! is their format, [`schedule`] decides which hosts get them, and [`estimate`] computes the load
//! to expect from a report of the past. Nothing here does I/O.

pub mod digest;
pub mod estimate;
pub mod news;
pub mod schedule;
