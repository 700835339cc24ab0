//! Which backend servers this host reaches.

use std::cell;

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::timer::Moment;

/// What this host knows of its own way to the servers.
#[derive(Debug, Default)]
pub struct ReachabilityRole {
    /// When a server last accepted a connection or sent an answer.
    last_reached: cell::Cell<Option<Moment>>,
}

impl<W: WireProtocol> EntryHost<W> {
    /// Records that a server accepted a connection or sent an answer.
    pub(super) fn on_server_reached(&self) {
        self.reachability.last_reached.set(Some(self.now()));
    }

    /// Time since any server accepted a connection of this host or sent it an answer, in
    /// milliseconds. `None` before the first.
    #[must_use]
    pub fn servers_reached_age_ms(&self) -> Option<u64> {
        let reached = self.reachability.last_reached.get();
        reached.map(|reached| self.now().since(reached))
    }
}
