//! Limits that overloaded backend servers advertise in their answers: the requests a second that a
//! server takes from all hosts together. Decisions only, driven by messages and time.
//!
//! **Load pattern.** A server that is short of capacity advertises a limit far below its usual
//! share, often below one request a second for each host. Its requests come from all hosts, so what
//! each host decides on its own adds up to too much, and fixed shares of such a limit are less than
//! one request.
//!
//! For each such server one host, the *limit owner*, grants the tokens to send to it, one for each
//! request; the other hosts ask it for them ([`table::ServerLimitTable`]). A host that is denied a
//! token skips the server until it may expect one. A new limit owner starts without tokens, so two
//! hosts that both take themselves for the owner for a moment grant little more than one would.
//!
//! Advertised limits spread between hosts as versioned updates. An answer ends a limit only if its
//! request was sent after the limit was known here: an answer that left the server earlier proves
//! nothing.

pub mod message;
pub mod rate;
pub mod table;
pub mod token;

/// Upper bound of the wait that a denial reports, in milliseconds: by then the limit may have
/// changed.
pub const MAX_WAIT_MS: u64 = 4_000;
/// A server whose limit owner did not answer, or is unknown, is skipped for this long, in
/// milliseconds: hosts that disagree about the owner have learned of each other by then.
pub const UNANSWERED_SKIP_MS: u64 = 300;
/// Minimum requests a second that are sent to a server whose limit is lower, or 0: some host must
/// notice the end of the limit.
pub const MIN_PER_S: f64 = 0.25;
/// What a limit owner may hold in addition to one token, in seconds of the limit: requests arrive
/// in bursts.
pub const BURST_S: f64 = 0.5;
/// The maximum number of servers for which a token is requested on behalf of one request: each
/// attempt costs a round trip to a limit owner.
pub const MAX_SERVERS_ASKED: usize = 3;
/// A token must be used within this time after it was requested, in milliseconds.
pub const TOKEN_LIFETIME_MS: u64 = 250;
/// Updates in one heartbeat, taken round robin, for hosts that missed them; about 16 bytes each.
pub const UPDATES_PER_HEARTBEAT: usize = 8;
/// Updates in one datagram; about 1,000 bytes.
pub const UPDATES_PER_DATAGRAM: usize = 64;
/// The end of a limit is advertised for this long, in milliseconds: even if all servers of a hall
/// advertised limits, heartbeats carry each update several times by then.
pub const ENDED_RETENTION_MS: u64 = 60_000;
