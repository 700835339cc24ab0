//! The state of handoffs on one host, and the choice of the host that takes a request over.

use std::{cell, collections, net, rc};

use super::peer_connections::PeerConnections;
use crate::client_sender::ClientSender;
use crate::entry::host::EntryHost;
use crate::entry::open_request::OpenRequest;
use crate::entry::peers::{HandoffQuery, HandoffTarget};
use crate::entry::wire::WireProtocol;
use crate::timer::Moment;

/// Maximum number of requests that one host hands over to another at the same time.
const MAX_OPEN_PER_TARGET: u32 = 32;
/// Maximum number of requests that a host takes over at the same time from all others.
const MAX_TAKEN_OVER: u32 = 128;
/// How long a host that could not be reached, or could not serve, is not asked again, in
/// milliseconds.
const AVOID_MS: u64 = 500;
/// Weights are divided by this processor size, in thousandths of a core.
const WHOLE_CORE_MILLI: u32 = 1_000;

/// The handoffs of this host.
#[derive(Debug, Default)]
pub struct HandoffRole {
    connections: cell::RefCell<PeerConnections>,
    /// Requests in flight at other hosts, by peer address.
    open: cell::RefCell<collections::HashMap<net::SocketAddr, u32>>,
    /// Hosts that are not asked for a service for a while, and until when.
    avoided: cell::RefCell<collections::HashMap<(net::SocketAddr, String), Moment>>,
    taken_over: cell::Cell<u32>,
}

impl HandoffRole {
    pub(super) fn take_connection(&self, address: net::SocketAddr) -> Option<ClientSender> {
        self.connections.borrow_mut().take(address)
    }

    /// Keeps a connection to another host after its answer was read completely.
    pub(in crate::entry) fn put_connection(
        &self,
        address: net::SocketAddr,
        sender: ClientSender,
        now: Moment,
    ) {
        self.connections.borrow_mut().put(address, sender, now);
    }

    /// Counts a request in flight at another host until the value is dropped.
    pub(super) fn begin(&self, address: net::SocketAddr) -> OpenHandoff<'_> {
        *self.open.borrow_mut().entry(address).or_default() += 1;
        OpenHandoff {
            role: self,
            address,
        }
    }

    fn open_at(&self, address: net::SocketAddr) -> u32 {
        self.open.borrow().get(&address).copied().unwrap_or(0)
    }

    /// Does not ask a host for a service for a while.
    pub(in crate::entry) fn avoid(&self, address: net::SocketAddr, service: &str, now: Moment) {
        let key = (address, service.to_owned());
        let mut avoided = self.avoided.borrow_mut();
        avoided.insert(key, now.plus(AVOID_MS));
    }

    fn is_avoided(&self, address: net::SocketAddr, service: &str, now: Moment) -> bool {
        let avoided = self.avoided.borrow();
        let mut entries = avoided.iter();
        entries.any(|((avoided, of), until)| *avoided == address && of == service && now < *until)
    }

    /// Counts a request of another host until the value is dropped; `None` if there are too many.
    pub(super) fn take_over<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) -> Option<TakenOver<W>> {
        let taken_over = host.handoffs.taken_over.get();
        (taken_over < MAX_TAKEN_OVER).then(|| {
            host.handoffs.taken_over.set(taken_over + 1);
            TakenOver {
                host: rc::Rc::clone(host),
            }
        })
    }

    /// Closes idle connections and forgets which hosts were avoided.
    pub(in crate::entry) fn on_tick(&self, now: Moment) {
        self.connections.borrow_mut().on_tick(now);
        self.avoided.borrow_mut().retain(|_, until| now < *until);
        self.open.borrow_mut().retain(|_, count| *count > 0);
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// The host that takes a request over: of the candidates in this region, else of those in
    /// others, the one with the fewest requests of this host for its size.
    pub(in crate::entry) fn handoff_target(&self, open: &OpenRequest) -> Option<HandoffTarget> {
        let now = self.now();
        let own = self.record();
        let query = HandoffQuery {
            own: &own,
            homes: &open.homes,
        };
        let role = &self.handoffs;
        let targets = self.peers.borrow().handoff_targets(&query, now);
        let usable = targets.into_iter().filter(|target| {
            !role.is_avoided(target.address, &open.service, now)
                && role.open_at(target.address) < MAX_OPEN_PER_TARGET
        });
        usable.min_by_key(|target| {
            let open = role.open_at(target.address) + 1;
            let load = open * WHOLE_CORE_MILLI / target.processor_milli.max(1);
            (!target.is_local, load)
        })
    }
}

/// A request in flight at another host.
#[derive(Debug)]
pub(super) struct OpenHandoff<'a> {
    role: &'a HandoffRole,
    address: net::SocketAddr,
}

impl Drop for OpenHandoff<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.role.open.borrow_mut().get_mut(&self.address) {
            *count = count.saturating_sub(1);
        }
    }
}

/// A request of another host that this one processes.
#[derive(Debug)]
pub(super) struct TakenOver<W: WireProtocol> {
    host: rc::Rc<EntryHost<W>>,
}

impl<W: WireProtocol> Drop for TakenOver<W> {
    fn drop(&mut self) {
        let taken_over = &self.host.handoffs.taken_over;
        taken_over.set(taken_over.get().saturating_sub(1));
    }
}
