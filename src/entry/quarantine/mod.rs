//! Requests that are kept from servers because servers ended under them: decisions only, driven by messages
//! and time.
//!
//! **Load pattern.** One request ends the process of each server that begins to run it, and its caller sends it
//! again and again, with a new identity, to any host. Each end takes the requests that the server had in hand
//! with it, so a few repeats a second take a whole service down.
//!
//! A request is known by its [fingerprint](super::fingerprint). When the connection to a server breaks under
//! requests and the server refuses the next connection, it has ended, and each of those requests is a suspect:
//! one did it, the others were beside it. A first end is told to [`KEEPERS`] hosts that the fingerprint names, so
//! that the ends of a whole hall cost a few datagrams for each request and not one for each host. From the
//! second server on all hosts know a suspect, and from the third on ([`SERVERS_TO_BAR`]) none sends it. A
//! success clears it everywhere: what one server can run did not end the others.
//!
//! A request that was barred though it did nothing, because a hall lost power under it, must not stay so: after
//! [`FIRST_TRIAL_MS`], and then ever more seldom, one host sends it to one server, and a success clears it. One that
//! only stood beside others is asked for often and has its first trial after [`SWIFT_TRIAL_MS`].
//!
//! Records merge in any order and however often they come ([`table::QuarantineTable`]), and heartbeats carry a
//! digest of them, so a host that was cut off, suspended or started later finds out what it lacks. What is
//! barred is written to the store as well: it outlives the loss of all hosts.

pub mod message;
pub mod stored;
pub mod table;

/// Servers that end under a request before it is kept from all others. Two may end beside a request that has
/// nothing to do with it, one after the other; a third after these, with no success between, hardly ever does.
pub const SERVERS_TO_BAR: usize = 3;
/// Servers from which on all hosts know a suspect.
pub const SERVERS_TO_TELL: usize = 2;
/// Hosts that count the first ends under a request: two may be lost at once.
pub const KEEPERS: usize = 3;
/// A suspect is forgotten when nothing was heard of it for this long, in milliseconds: callers that repeat a
/// request for longer come back more seldom than a server takes to start.
pub const SUSPECT_LIFE_MS: u64 = 3_600_000;
/// A barred request is tried on one server after this time, in milliseconds: what ends a whole hall is over by
/// then, and one that ends servers must not end more than a few beyond [`SERVERS_TO_BAR`].
pub const FIRST_TRIAL_MS: u64 = 60_000;
/// A barred request is tried once after this time already, in milliseconds, when a server of it also ended under another
/// barred one: one of them did it, and the others were beside it.
pub const SWIFT_TRIAL_MS: u64 = 3_000;
/// Swift trials of several requests are spread over this time, in milliseconds, so that one does not take another's
/// server with it.
pub const SWIFT_SPREAD_MS: u64 = 3_000;
/// Each further trial comes this many times later than the one before: three within two hours.
pub const TRIAL_FACTOR: u64 = 10;
/// For this long a success stands against late word of ends before it, in milliseconds: the word of a host that
/// was suspended for some seconds is among it.
pub const CLEARED_LIFE_MS: u64 = 30_000;
/// Requests that one datagram names when a server ended under them; some 700 bytes.
pub const REQUESTS_PER_DATAGRAM: usize = 64;
/// Suspects that one datagram tells all of; some 1,200 bytes.
pub const RECORDS_PER_DATAGRAM: usize = 24;
/// Suspects that a host remembers, the latest; some 200 KB.
pub const MAX_SUSPECTS: usize = 2_048;
/// When a barred request may come back, in milliseconds: sooner is of no use to its caller.
pub const COME_BACK_MS: u64 = 60_000;
