//! Reasons of refusals that share an outcome, as logged; who reads the logs tells them apart by it.

/// Every compared server would have answered after the route's goal.
pub const EVERY_SERVER_LATE: &str = "every server would answer too late";
/// Every server has reached its limit or asked for a backoff.
pub const EVERY_SERVER_LIMITED: &str = "every server has as many requests as it takes";
/// Every server that got the request reported that it did not run it.
pub const NOT_RUN: &str = "no server that was asked ran it";
