//! Decides who is served first where patient and urgent routes share the servers of a service.
//!
//! **Load pattern.** One route's requests hold a slot for seconds and have a goal of several
//! seconds. Another route's requests need a fraction of a second and are late after one. Servers
//! process requests in the order of arrival, so an urgent request that arrives while all slots are
//! taken waits longer than its whole goal, although other servers are idle. A request that was sent
//! cannot be reordered any more. Patient requests therefore leave some slots of each server free
//! ([`reserve`]) and wait at the host for one of the other slots ([`waiting`]), as long as their
//! goal allows. A request on a connection that was busy before may have waited there ([`pipeline`]).
//!
//! [`classes`] finds the patient routes of a configuration, [`refusal`] orders the retries of
//! refused callers, [`counters`] shows the decisions to operators. Nothing here does I/O; the
//! module `urgency_role` of the entry host connects the decisions to sockets and clock.

pub mod classes;
pub mod counters;
pub mod pipeline;
pub mod refusal;
pub mod reserve;
pub mod waiting;
