//! Hands requests over to another host while this one reaches no server of their service.
//!
//! A host that is partitioned from the servers still reaches callers and the other hosts. It has
//! read the request, identified its customer and applied the customer's limit; the other host only
//! selects servers and sends. A request is handed over once at most: the receiver never hands it
//! over again, and a request without an answer is lost unless it may run more than once.

pub mod message;
mod peer_connections;
mod receiver;
mod role;
mod sender;

pub(super) use self::receiver::receive;
pub(super) use self::role::HandoffRole;
pub(super) use self::sender::{HandoffOutcome, HandoffProgress, send};

/// The path on a host's peer address that takes requests over.
pub(super) const HANDOFF_PATH: &str = "/handoff";
/// Maximum number of hosts that a request is offered to. Each but the last refused it unrun.
pub(super) const MAX_HOSTS_ASKED: usize = 3;
