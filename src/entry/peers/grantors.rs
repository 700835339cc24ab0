//! Which hosts pool the limits of customers.

use std::{cmp, net};

use super::{HostRecord, PeerTable};
use crate::entry::hash;
use crate::timer::Moment;

/// Hosts that a customer's limit is divided by at a host that was told nothing of the others yet. Unlike other limits a
/// customer's is the only way in, so some of it is held from the start; in a larger deployment hosts that start without
/// any word of others may exceed it together until they meet.
const UNTOLD_HOSTS: u32 = 470;

/// A host that pools limits, and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantorPlace {
    /// Its name.
    pub name: String,
    /// Where its datagrams go.
    pub address: net::SocketAddr,
}

impl PeerTable {
    /// The host of `region` that pools the limits of a group, or keeps the limit of a server: of the largest that
    /// live the first by a hash of host and `key`. All hosts that know the same others name the same one. The largest, since
    /// each request of a customer with a limit is a question to them, and a tenth of a core takes ten times as
    /// long for its answer.
    #[must_use]
    pub fn grantor_of(
        &self,
        region: &str,
        key: u64,
        own: Option<&HostRecord>,
        is_passed_over: impl Fn(&str) -> bool,
        now: Moment,
    ) -> Option<GrantorPlace> {
        let silent_ms = self.silent_ms(region);
        let peers = self.near(region);
        let live = peers.filter(|peer| peer.may_live(now, silent_ms) && !peer.leaving);
        let live = live.map(|peer| &peer.record);
        let live = live.filter(|record| !is_passed_over(&record.name));
        let own = own.filter(|own| own.region == region);
        let first = live
            .chain(own)
            .min_by_key(|record| grantor_order(record, key))?;
        Some(GrantorPlace {
            name: first.name.clone(),
            address: first.heartbeat_address,
        })
    }

    /// All hosts that limits are divided by: as many as are known, or as others told of lately. A host
    /// that has just started goes by what the entries in the store told of each of `regions` before:
    /// with the most that are planned instead it took a seventh of its part for 5 s after each return
    /// of all 67 hosts, and 8 in 10 requests were refused meanwhile.
    pub fn limit_hosts<'a>(
        &self,
        own_region: &str,
        mut regions: impl Iterator<Item = &'a str>,
    ) -> u32 {
        let is_told = |region: &str| {
            self.told_sizes
                .get(region)
                .is_some_and(|told| told.hosts > 0)
        };
        let sizes: u32 = self.hosts_by_region(own_region).values().sum();
        if !self.listed && regions.all(is_told) {
            return sizes;
        }
        let known = if self.listed {
            self.host_count()
        } else {
            UNTOLD_HOSTS
        };
        known.max(sizes)
    }
}

/// Hosts whose processors differ by less than a factor of two count as alike.
fn grantor_order(record: &HostRecord, key: u64) -> (cmp::Reverse<u32>, u64) {
    let size = record.processor_milli.max(1).ilog2();
    let drawn = hash::mix(hash::of_name(&record.name) ^ hash::mix(key.wrapping_add(1)));
    (cmp::Reverse(size), drawn)
}
