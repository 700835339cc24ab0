//! Blocks requests that crash the servers that process them. This module only decides; messages and
//! the clock are its inputs.
//!
//! **Load pattern.** One request crashes every server that starts to process it, and its caller
//! repeats it with a new request id to any host. Each crash also loses the other requests in flight
//! on that server, so a few repeats per second take a whole service down.
//!
//! A request is identified by its [fingerprint](super::fingerprint). When the connection to a
//! server breaks while requests are in flight and the server refuses the next connection, the
//! server has crashed. Each of those requests becomes a suspect: one caused the crash, the others
//! are bystanders. The first crash is sent to [`TRACKERS_PER_SUSPECT`] suspect trackers, hosts
//! chosen by the fingerprint, so that the crash of a whole hall costs a few datagrams per request
//! instead of one per host. From the second crashed server on ([`SERVERS_TO_ANNOUNCE`]) all hosts
//! know the suspect, and from the third on ([`SERVERS_TO_BLOCK`]) no host sends it. A success
//! clears it on all hosts: a request that one server can process did not crash the others.
//!
//! A harmless request can be blocked too, for example when a hall loses power while processing it.
//! After [`FIRST_PROBE_DELAY_MS`], and then at growing intervals, one host probes a single server
//! with the request, and a success clears it. A likely bystander, which shares a crashed server
//! with another blocked request, is requested often and gets its first probe after
//! [`EARLY_PROBE_DELAY_MS`].
//!
//! Records may be merged in any order and more than once ([`table::QuarantineTable`]), and heartbeats
//! carry a digest of them, so a host that was partitioned, suspended or started later detects what it is
//! missing. Blocked requests are also written to the store, so they survive the loss of all hosts.

pub mod message;
pub mod stored;
pub mod table;

/// Number of servers that crash while processing a request before it is blocked. Two may crash one
/// after the other with an unrelated request in flight; a third, with no success in between, almost
/// never does.
pub const SERVERS_TO_BLOCK: usize = 3;
/// Number of crashed servers from which on a suspect is announced to all hosts.
pub const SERVERS_TO_ANNOUNCE: usize = 2;
/// Number of hosts that track the first crashes of a suspect. Two of them may fail at once.
pub const TRACKERS_PER_SUSPECT: usize = 3;
/// Time after its last observation at which a suspect expires, in milliseconds. A caller that
/// repeats a request at longer intervals leaves a server enough time to restart.
pub const SUSPECT_TTL_MS: u64 = 3_600_000;
/// Delay before the first regular probe of a blocked request, in milliseconds. An outage of a whole
/// hall is over by then, and a request that does crash servers must not crash more than a few
/// beyond [`SERVERS_TO_BLOCK`].
pub const FIRST_PROBE_DELAY_MS: u64 = 60_000;
/// Minimum delay before the single early probe of a blocked request, in milliseconds. A request
/// gets one when a server that crashed while processing it was also processing another blocked
/// request: only one of them caused the crash.
pub const EARLY_PROBE_DELAY_MS: u64 = 3_000;
/// Period over which early probes of different requests are spread, in milliseconds, so that one of
/// them does not crash the server that another is being probed on.
pub const EARLY_PROBE_SPREAD_MS: u64 = 3_000;
/// Factor by which the delay grows from one regular probe to the next. This allows three within two
/// hours.
pub const PROBE_BACKOFF_FACTOR: u64 = 10;
/// Time for which a success overrides reports of crashes, in milliseconds. Reports of crashes
/// before the success can arrive late, such as those of a host that was suspended for some seconds.
pub const CLEARED_TTL_MS: u64 = 30_000;
/// Maximum number of requests in one crash report datagram (about 700 bytes).
pub const MAX_REQUESTS_PER_DATAGRAM: usize = 64;
/// Maximum number of suspect records in one datagram (about 1,200 bytes).
pub const MAX_RECORDS_PER_DATAGRAM: usize = 24;
/// Maximum number of suspects that a host retains (about 200 KB); the most recent ones are kept.
pub const MAX_SUSPECTS: usize = 2_048;
/// Retry-after time sent to the caller of a blocked request, in milliseconds. An earlier retry
/// would be refused as well.
pub const RETRY_AFTER_MS: u64 = 60_000;
