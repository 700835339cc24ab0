//! Limits that backend servers in need name in their answers: the requests a second that one takes from all
//! hosts together. Decisions only, driven by messages and time.
//!
//! **Load pattern.** A server that is short of room names a limit that lies far below its usual share, often below one
//! request a second for each host. Its requests come from all hosts, so what each decides for itself is too much,
//! and fixed parts of such a limit are less than one request.
//!
//! Of each such server one host, its *keeper*, gives out the rights to send to it, one for each request; the
//! others ask for them ([`table::ServerLimitTable`]). Who is denied passes the server over until it may expect a right.
//! A keeper that has just become one starts with none, so two hosts that take themselves for the keeper for a moment
//! give out little more than one.
//!
//! What a server names goes round as words with versions. A word that a limit is over counts only if its answer
//! belongs to a request that was sent after the limit was known here: an answer that left earlier proves nothing.

pub mod message;
pub mod rate;
pub mod right;
pub mod table;

/// The longest time that a denial tells, in milliseconds: by then the limit may have changed.
pub const LONGEST_WAIT_MS: u64 = 4_000;
/// A server whose keeper did not answer, or is none, is passed over for this long, in milliseconds: two hosts that
/// take different hosts for the keeper have heard of each other by then.
pub const UNANSWERED_MS: u64 = 300;
/// Requests a second that go to a server which takes fewer, or none: somebody must hear when its limit is over.
pub const LEAST_PER_S: f64 = 0.25;
/// What a keeper may hold beside one right, as seconds of the limit: callers come in bunches.
pub const HELD_S: f64 = 0.5;
/// Servers whose rights are asked for one request at most: each question takes a way to its keeper and back.
pub const MOST_ASKED: usize = 3;
/// A right must be used within this time after it was asked for, in milliseconds.
pub const RIGHT_LIFE_MS: u64 = 250;
/// Words that one heartbeat carries in turn, for hosts that missed them; some 16 bytes each.
pub const WORDS_PER_HEARTBEAT: usize = 8;
/// Words in one datagram of news; some 1,000 bytes.
pub const WORDS_PER_DATAGRAM: usize = 64;
/// The word that a limit is over is told on for this long, in milliseconds; heartbeats of a hall whose servers all
/// named limits tell of each several times by then.
pub const OVER_TOLD_MS: u64 = 60_000;
