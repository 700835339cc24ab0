//! Analyses the decision logs of any number of hosts: late answers and their causes, failed
//! requests, and the error of the hosts' expected times.
//!
//! [`mod@line`] parses one line, [`cause`] finds why an answer was late, [`decision`] which decision
//! of the host lost a request, [`report`] aggregates, `table` prints, [`plot`] draws. A host sees a request only from its arrival to its answer. Time that the caller
//! spent before is counted only where the caller's remaining time shows it.

mod caller_start;
pub mod cause;
pub mod decision;
pub mod expectation;
pub mod line;
pub mod plot;
pub mod report;
mod table;
