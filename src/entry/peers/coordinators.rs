//! Selects the hosts that coordinate shared limits.

use std::{cmp, net};

use super::{HostRecord, PeerTable};
use crate::entry::hash;
use crate::timer::Moment;

/// Assumed number of hosts that share a customer's limit before any report about other hosts has
/// arrived. A host applies part of a customer's limit from its start, since that limit is the only
/// way in. In a deployment with more hosts, those that start without any report may exceed the
/// limit together until they discover each other.
const DEFAULT_HOST_COUNT: u32 = 470;

/// A host that coordinates limits, and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorAddress {
    /// The host's name.
    pub name: String,
    /// Address for datagrams.
    pub address: net::SocketAddr,
}

impl PeerTable {
    /// The host of `region` that coordinates the limits of a group or owns the limit of a server:
    /// the first by rendezvous hash of host and `key` among the largest hosts that may be alive.
    /// All hosts that know the same peers select the same one. Large hosts are selected
    /// because each request of a customer with a limit costs the coordinator one message, and a
    /// host with a tenth of a core takes ten times as long to answer it.
    #[must_use]
    pub fn coordinator_of(
        &self,
        region: &str,
        key: u64,
        own: Option<&HostRecord>,
        is_excluded: impl Fn(&str) -> bool,
        now: Moment,
    ) -> Option<CoordinatorAddress> {
        let timeout_ms = self.timeout_ms(region);
        let peers = self.in_region(region);
        let live = peers.filter(|peer| peer.may_be_alive(now, timeout_ms) && !peer.leaving);
        let live = live.map(|peer| &peer.record);
        let live = live.filter(|record| !is_excluded(&record.name));
        let own = own.filter(|own| own.region == region);
        let first = live
            .chain(own)
            .min_by_key(|record| coordinator_rank(record, key))?;
        Some(CoordinatorAddress {
            name: first.name.clone(),
            address: first.heartbeat_address,
        })
    }

    /// Number of hosts by which limits are divided: the known hosts, or the recently reported
    /// number if that is larger. A host that has just started uses the sizes reported in the
    /// store's entries if they cover all of `regions`. With the largest planned number instead,
    /// hosts got a seventh of their share for 5 s after a restart of all 67 hosts, and 8 in 10
    /// requests were refused during that time.
    pub fn limit_host_count<'a>(
        &self,
        own_region: &str,
        mut regions: impl Iterator<Item = &'a str>,
    ) -> u32 {
        let is_reported = |region: &str| {
            self.reported_sizes
                .get(region)
                .is_some_and(|reported| reported.hosts > 0)
        };
        let sizes: u32 = self.hosts_by_region(own_region).values().sum();
        if !self.membership_complete && regions.all(is_reported) {
            return sizes;
        }
        let known = if self.membership_complete {
            self.host_count()
        } else {
            DEFAULT_HOST_COUNT
        };
        known.max(sizes)
    }
}

/// Sort key for coordinators. Processor sizes within the same power of two are equal.
fn coordinator_rank(record: &HostRecord, key: u64) -> (cmp::Reverse<u32>, u64) {
    let size = record.processor_milli.max(1).ilog2();
    let host_hash = hash::mix(hash::of_name(&record.name) ^ hash::mix(key.wrapping_add(1)));
    (cmp::Reverse(size), host_hash)
}
