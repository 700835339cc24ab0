//! Opens connections to servers that no request waits for, to check whether they can be reached.

use std::{cmp, collections, rc, time};

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom as _;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::pool::{self, ConnectFault};
use super::server_connection::ServerConnection;
use super::wire::WireProtocol;

/// A connection that is closed within this time was not accepted by the server.
const MIN_OPEN_TIME: time::Duration = time::Duration::from_millis(50);
/// The same while a service is unreachable. A request that is sent too early is lost, while callers
/// are served by other hosts meanwhile.
const MIN_OPEN_TIME_UNREACHABLE: time::Duration = time::Duration::from_millis(150);

/// Which servers of a service are connected to first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetOrder {
    /// Those that answered last, and ejected ones at the end.
    LastAnswer,
    /// Any.
    Random,
}

impl<W: WireProtocol> EntryHost<W> {
    /// Connects to `count` servers of a service at once; `None` if none accepts.
    pub(super) async fn connect_to_any(
        &self,
        service: &str,
        count: usize,
        order: TargetOrder,
    ) -> Option<()> {
        let targets = self.check_targets(service, count, order);
        self.connect_to_first(&targets).await
    }

    /// Connects to all of `targets` at once, and pools the first connection that is accepted.
    pub(super) async fn connect_to_first(&self, targets: &[rc::Rc<FleetServer>]) -> Option<()> {
        let mut opening: FuturesUnordered<_> = targets
            .iter()
            .map(|server| async move { (server, self.open_connection(server).await) })
            .collect();
        while let Some((server, opened)) = opening.next().await {
            if let Ok(connection) = opened {
                if server.takes_work() {
                    let now = self.now();
                    self.pool
                        .borrow_mut()
                        .put(&server.id, connection, None, now);
                }
                return Some(());
            }
        }
        None
    }

    /// Opens a connection to a server that no request waits for, and checks that it stays open.
    pub(super) async fn open_connection(
        &self,
        server: &FleetServer,
    ) -> Result<ServerConnection, ConnectFault> {
        let limit = self.latencies.borrow().connect_timeout(&server.region);
        let source = self.settings().server_source_address;
        self.metrics.borrow_mut().connections += 1;
        let opened = pool::connect(server, source, limit).await;
        let Ok(connection) = opened else {
            self.metrics.borrow_mut().connect_failures += 1;
            return opened;
        };
        let min_open_time = if self.is_unreachable(&server.service) {
            MIN_OPEN_TIME_UNREACHABLE
        } else {
            MIN_OPEN_TIME
        };
        tokio::time::sleep(min_open_time).await;
        if connection.sender.is_closed() {
            return Err(ConnectFault::Unreachable);
        }
        self.on_server_connected(server);
        Ok(connection)
    }

    /// Servers of a service to connect to, in different halls as far as possible. Those that leave
    /// or want no requests now are included: they show the state of the link as well as others, and
    /// may be the only ones left.
    pub(super) fn check_targets(
        &self,
        service: &str,
        count: usize,
        order: TargetOrder,
    ) -> Vec<rc::Rc<FleetServer>> {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let servers = fleet.of_service(service).iter();
        let mut servers: Vec<_> = servers
            .filter(|server| server.may_listen())
            .cloned()
            .collect();
        servers.shuffle(&mut *self.random.borrow_mut());
        if order == TargetOrder::LastAnswer {
            servers.sort_by_cached_key(|server| {
                let last_success = cmp::Reverse(server.last_success());
                (server.is_ejected(now), last_success)
            });
        }
        let mut halls = collections::BTreeSet::new();
        let (mut targets, others): (Vec<_>, Vec<_>) = servers
            .into_iter()
            .partition(|server| halls.insert(rc::Rc::clone(&server.hall)));
        targets.extend(others);
        targets.truncate(count);
        targets
    }
}
