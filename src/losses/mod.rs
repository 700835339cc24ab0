//! Analyses the decision logs of any number of hosts: late answers and their causes, failed
//! requests, and the error of the hosts' expected times.
//!
//! [`mod@line`] parses one line, [`cause`] finds why an answer was late, [`report`] aggregates,
//! [`plot`] draws. A host sees a request only from its arrival to its answer. Time that the caller
//! spent before is counted only where the caller's remaining time shows it.

pub mod cause;
pub mod line;
pub mod plot;
pub mod report;
