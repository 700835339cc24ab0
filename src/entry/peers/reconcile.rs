//! Finds hosts that other hosts know and this one does not.
//!
//! A heartbeat carries the number of hosts that its sender knows and the statuses of some of them
//! by short hash. A recipient that sees an unknown hash, or a larger count than its own, asks the
//! sender.

use std::collections;

use super::peer_status::{run_low, short_hash};
use super::{HostRecord, PeerEntry, PeerTable, REMOVE_TIMEOUT_MS};
use crate::entry::hash;
use crate::entry::peer_message::{KnownHost, KnownSlice, PeerHeartbeat, PeerStatus, WhoIsRequest};
use crate::timer::Moment;

/// Interval between requests for the same unknown host, in milliseconds. One heartbeat, so that a
/// lost datagram delays discovery by no more than that.
const REQUEST_RETRY_MS: u64 = 500;

/// Interval between requests to a host of another region that knows more hosts, in milliseconds.
/// The counts may differ only by a host that is gone, and a request takes 1,000 bytes.
const REMOTE_REQUEST_INTERVAL_MS: u64 = 2_000;

/// Number of consecutive requests without a new host before backoff starts. Hosts that start
/// together know few others at first.
const REQUESTS_BEFORE_BACKOFF: u32 = 8;
/// Maximum number of doublings of the request interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Marks of known hosts in one datagram; about 1,000 bytes.
const MARKS_PER_DATAGRAM: u32 = 480;

/// Maximum age of a status that is reported to a host that asks, in milliseconds. Half of the
/// removal timeout, so that two hosts cannot keep reporting a dead host to each other in
/// alternation.
const MAX_REPORTED_AGE_MS: u64 = REMOVE_TIMEOUT_MS / 2;

/// Maximum number of records sent in addition to the requested ones; twelve datagrams.
const MAX_EXTRA_RECORDS: usize = 120;

/// Which hosts known to the sender of a heartbeat are missing here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MissingHosts {
    /// None, as far as the counts show.
    None,
    /// Hosts of the sender's region, which the sender knows well.
    SenderRegion,
    /// Hosts of any region.
    AnyRegion,
}

/// State of the requests for missing hosts.
#[derive(Debug, Default)]
pub(super) struct ReconcileState {
    /// Recently requested hosts, by short hash.
    requested: rustc_hash::FxHashMap<u32, Moment>,
    /// Time of the last request for all missing hosts.
    last_full_request: Option<Moment>,
    /// Number of hosts that the recipient of that request knew.
    last_target_count: u32,
    /// Consecutive requests for all missing hosts that led to no new host.
    fruitless_requests: u32,
    /// Number of requests for all missing hosts.
    full_requests: u32,
}

impl ReconcileState {
    /// Resets the backoff because a new host was discovered.
    pub(super) const fn on_new_name(&mut self) {
        self.fruitless_requests = 0;
    }

    fn forget_old_requests(&mut self, now: Moment) {
        self.requested
            .retain(|_, at| now.since(*at) < REQUEST_RETRY_MS);
    }
}

impl PeerTable {
    /// Builds the request to the sender of a heartbeat for hosts that it reports as alive, itself
    /// included, and whose current run is unknown here. Each host is requested at most once in half
    /// a second. Without these requests, hosts that missed each other's first heartbeats never
    /// discovered each other: in 5 of 40 starts of nine hosts the membership was incomplete after
    /// 16 s.
    pub fn missing_hosts_request(
        &mut self,
        heartbeat: &PeerHeartbeat,
        own: &HostRecord,
        now: Moment,
    ) -> Option<WhoIsRequest> {
        let own_hash = short_hash(&own.name);
        self.reconcile.forget_old_requests(now);
        let sender = PeerStatus {
            name_hash: short_hash(&heartbeat.host),
            run_low: run_low(heartbeat.run),
            age_tenths: 0,
            ready: heartbeat.ready,
            reaches_servers: heartbeat.reaches_servers,
            watch: heartbeat.watch,
        };
        let mut unknown = Vec::new();
        for status in heartbeat.peer_statuses.iter().chain([&sender]) {
            let is_due = status.name_hash != own_hash && !self.knows_run(status);
            if is_due && !self.reconcile.requested.contains_key(&status.name_hash) {
                self.reconcile.requested.insert(status.name_hash, now);
                unknown.push(status.name_hash);
            }
        }
        let known = self
            .should_request_all(heartbeat, &own.region, now)
            .then(|| self.known_slice(own_hash, heartbeat.known_hosts, now));
        let is_needed = known.is_some() || !unknown.is_empty();
        is_needed.then_some(WhoIsRequest { unknown, known })
    }

    /// Which hosts are missing here, judged by the counts in a heartbeat.
    fn missing_hosts(&self, heartbeat: &PeerHeartbeat, own_region: &str) -> MissingHosts {
        let sender = self.peers.get(&heartbeat.host);
        let known_in_region = sender.map_or(0, |sender| {
            let region = &sender.record.region;
            let own = u32::from(region == own_region);
            self.region_counts.get(region).copied().unwrap_or(0) + own
        });
        if heartbeat.known_near > known_in_region {
            MissingHosts::SenderRegion
        } else if heartbeat.known_hosts > self.known_count() {
            MissingHosts::AnyRegion
        } else {
            MissingHosts::None
        }
    }

    /// Whether to ask the sender of a heartbeat for all missing hosts. The request interval grows
    /// while requests lead to no new host, because the counts also differ by a dead host until both
    /// sides have forgotten it. A host of the own region that knows more than the last one asked is
    /// asked at once, since only traffic between regions is expensive.
    fn should_request_all(&self, heartbeat: &PeerHeartbeat, own_region: &str, now: Moment) -> bool {
        let missing = self.missing_hosts(heartbeat, own_region);
        let is_local = self.is_host_in_region(&heartbeat.host, own_region);
        let interval_ms = match missing {
            MissingHosts::None => return false,
            MissingHosts::SenderRegion => REQUEST_RETRY_MS,
            MissingHosts::AnyRegion if is_local => REQUEST_RETRY_MS,
            MissingHosts::AnyRegion => REMOTE_REQUEST_INTERVAL_MS,
        };
        let Some(last_request) = self.reconcile.last_full_request else {
            return true;
        };
        let fruitless = self.reconcile.fruitless_requests;
        let doublings = fruitless.saturating_sub(REQUESTS_BEFORE_BACKOFF);
        let interval_ms = interval_ms << doublings.min(MAX_BACKOFF_DOUBLINGS);
        let knows_more = is_local && heartbeat.known_hosts > self.reconcile.last_target_count;
        knows_more || now.since(last_request) >= interval_ms
    }

    fn is_host_in_region(&self, name: &str, region: &str) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.record.region == region)
    }

    /// Describes the hosts known here, for a request to a host that knows `target_count` hosts.
    fn known_slice(&mut self, own_hash: u32, target_count: u32, now: Moment) -> KnownSlice {
        let state = &mut self.reconcile;
        if state.last_full_request.replace(now).is_some() {
            state.fruitless_requests += 1;
        }
        state.last_target_count = target_count;
        state.full_requests = state.full_requests.wrapping_add(1);
        let salt = state.full_requests;
        let known = u32::try_from(self.names_by_hash.len()).unwrap_or(u32::MAX);
        let parts = known.div_ceil(MARKS_PER_DATAGRAM).max(1);
        let part = salt % parts;
        let hashes = self.names_by_hash.keys().chain([&own_hash]).copied();
        let hashes = hashes.filter(|hash| hash % parts == part);
        KnownSlice {
            salt,
            parts,
            part,
            marks: hashes.map(|hash| mark_of(hash, salt)).collect(),
        }
    }

    fn knows_run(&self, status: &PeerStatus) -> bool {
        let name = self.names_by_hash.get(&status.name_hash);
        let known = name.and_then(|name| self.peers.get(name));
        known.is_some_and(|known| run_low(known.record.run) == status.run_low)
    }

    /// The requested hosts, possibly `own` among them, and some others that the requester is
    /// missing. Hosts unknown here are left out.
    #[must_use]
    pub fn records_for(
        &self,
        request: &WhoIsRequest,
        own: &HostRecord,
        now: Moment,
    ) -> Vec<KnownHost> {
        let own_hash = short_hash(&own.name);
        let own = request.unknown.contains(&own_hash).then(|| KnownHost {
            record: own.clone(),
            status: None,
        });
        let names = request.unknown.iter();
        let names = names.filter_map(|hash| self.names_by_hash.get(hash));
        let requested = names.filter_map(|name| self.peers.get(name));
        let known = requested.chain(self.extra_hosts(request, now));
        let known = known.map(|peer| KnownHost {
            record: peer.record.clone(),
            status: peer.status(MAX_REPORTED_AGE_MS, now),
        });
        known.chain(own).collect()
    }

    /// Recently seen hosts that the requester does not know.
    fn extra_hosts<'a>(
        &'a self,
        request: &'a WhoIsRequest,
        now: Moment,
    ) -> impl Iterator<Item = &'a PeerEntry> {
        let slice = request.known.iter();
        slice.flat_map(move |slice| {
            let known: collections::HashSet<[u8; 2]> = slice.marks.iter().copied().collect();
            let peers = self.peers.values().filter(move |peer| {
                let hash = short_hash(&peer.record.name);
                hash.checked_rem(slice.parts) == Some(slice.part)
                    && !known.contains(&mark_of(hash, slice.salt))
                    && !request.unknown.contains(&hash)
                    && peer.is_alive(now, MAX_REPORTED_AGE_MS)
            });
            peers.take(MAX_EXTRA_RECORDS)
        })
    }
}

/// A two-byte mark that distinguishes some hundred hosts within one request. The salt changes the
/// collisions from one request to the next.
fn mark_of(short_hash: u32, salt: u32) -> [u8; 2] {
    let mixed = hash::mix(u64::from(short_hash) << 32 | u64::from(salt));
    [mixed as u8, (mixed >> 8) as u8]
}
