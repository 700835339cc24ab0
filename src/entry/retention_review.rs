//! Checks with other hosts whether retained servers may really have expired.
//!
//! A host whose calls to the store failed cannot tell whether the store was away or refused only
//! this host. Entries that went missing meanwhile have expired in the first case; in the second one
//! their servers are leaving. A host that has read the store without interruption shows that the
//! store was there, so its removals hold, also for the hosts that rely on this one.

use std::{net, rc, time};

use super::catch_up;
use super::gossip;
use super::host::EntryHost;
use super::peer_message::{FleetUpdate, GoneServer};
use super::wire::WireProtocol;

/// Path of the server changes after a store revision that a host has read without interruption; the
/// revision follows.
pub(super) const FOLLOWED_CHANGES_PATH: &str = "/followed-changes/";
/// Number of watchers that are asked. If the store refused half of all hosts, one of eight has read
/// without interruption with a probability of 0.996.
const MAX_REVIEWERS: usize = 8;
/// How often a watcher is asked that has not yet read as far as this host.
const MAX_ATTEMPTS: usize = 3;
/// Delay between attempts. A watcher reads the next changes at most 250 ms after the last ones.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// A part of the store's history that this host did not read in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WatchGap {
    /// The store revision up to which this host knew the servers.
    pub(super) since: u64,
    /// The store revision of the first answer afterwards.
    pub(super) until: u64,
}

/// Starts a review if servers are retained.
pub(super) fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>, gap: WatchGap) {
    if host.fleet.borrow().missing().next().is_none() {
        return;
    }
    let mut random = host.random.borrow_mut();
    let peers = host.peers.borrow();
    for source in peers.sample_watchers(MAX_REVIEWERS, host.now(), &mut random) {
        tokio::task::spawn_local(review(rc::Rc::clone(host), gap, source));
    }
}

/// Asks one watcher, and again if it has not read the whole gap yet.
async fn review<W: WireProtocol>(
    host: rc::Rc<EntryHost<W>>,
    gap: WatchGap,
    source: net::SocketAddr,
) {
    let path = format!("{FOLLOWED_CHANGES_PATH}{}", gap.since);
    for _ in 0..MAX_ATTEMPTS {
        let answer = catch_up::fetch::<W, Option<FleetUpdate>>(&host, source, &path).await;
        let Some(Some(update)) = answer else {
            return;
        };
        if update.until >= gap.until {
            apply(&host, &update);
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Applies the changes as the watcher read them, and sends retentions that they end or shorten to
/// the hosts of this region, which may have received longer ones.
fn apply<W: WireProtocol>(host: &EntryHost<W>, update: &FleetUpdate) {
    let now = host.now();
    let before: Vec<GoneServer> = host.fleet.borrow().retained(now).collect();
    gossip::on_fleet_update(host, update);
    let fleet = host.fleet.borrow();
    let shortened = before.into_iter().filter(|server| {
        let is_present = fleet.contains(&server.id) && !fleet.is_missing(&server.id);
        !is_present && fleet.retention_ms(&server.id, now) < server.hold_ms
    });
    let shortened: Vec<String> = shortened.map(|server| server.id).collect();
    drop(fleet);
    if !shortened.is_empty() {
        gossip::send_retentions(host, &shortened, update.until);
    }
}
