//! Where requests lost their worth: answers that came late and why, refusals, and how far off the
//! hosts' expectations were, read back from the decision logs of any number of hosts.
//!
//! [`mod@line`] reads one line, [`cause`] says why an answer was late, [`report`] sums up,
//! [`plot`] draws. A host sees a request from its arrival to its answer: the caller's own way is
//! counted only as far as the caller's remaining time tells of it.

pub mod cause;
pub mod line;
pub mod plot;
pub mod report;
