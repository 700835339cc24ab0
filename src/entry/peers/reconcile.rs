//! Finds hosts that other hosts know and this one does not.
//!
//! A heartbeat carries the number of hosts that its sender knows and the statuses of some of them
//! by short hash. A recipient that sees an unknown hash, or a larger count than its own, asks the
//! sender.

use std::collections;

use super::heard::{run_low, short_hash};
use super::{HostRecord, PeerEntry, PeerTable, REMOVE_MS};
use crate::entry::hash;
use crate::entry::peer_message::{HeardHost, KnownHost, KnownSlice, PeerHeartbeat, WhoIsRequest};
use crate::timer::Moment;

/// Interval between requests for the same unknown host, in milliseconds. One heartbeat, so that a
/// lost datagram delays discovery by no more than that.
const ASK_AGAIN_MS: u64 = 500;

/// Interval between requests to a host of another region that knows more hosts, in milliseconds.
/// The counts may differ only by a host that is gone, and a request takes 1,000 bytes.
const COMPARE_MS: u64 = 2_000;

/// Number of consecutive requests without a new host before backoff starts. Hosts that start
/// together know few others at first.
const ASKED_AT_FIRST: u32 = 8;
/// Maximum number of doublings of the request interval.
const MAX_GAP_DOUBLINGS: u32 = 4;

/// Marks of known hosts in one datagram; about 1,000 bytes.
const MARKS_PER_DATAGRAM: u32 = 480;

/// Maximum age of a status that is reported to a host that asks, in milliseconds. Half of the
/// removal timeout, so that two hosts cannot keep reporting a dead host to each other in
/// alternation.
const TOLD_AGAIN_MS: u64 = REMOVE_MS / 2;

/// Maximum number of records sent in addition to the requested ones; twelve datagrams.
const RECORDS_BESIDE: usize = 120;

/// Which hosts known to another host are missing here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownLack {
    /// None, as far as the counts show.
    None,
    /// Hosts of the other host's region, which that host knows well.
    Near,
    /// Hosts of any region.
    Far,
}

/// State of the requests for missing hosts.
#[derive(Debug, Default)]
pub(super) struct ReconcileState {
    /// Recently requested hosts, by short hash.
    asked: rustc_hash::FxHashMap<u32, Moment>,
    /// Time of the last request for all missing hosts.
    asked_all: Option<Moment>,
    /// Number of hosts that the recipient of that request knew.
    asked_count: u32,
    /// Consecutive requests for all missing hosts that led to no new host.
    asked_in_vain: u32,
    /// Number of requests for all missing hosts.
    questions: u32,
}

impl ReconcileState {
    /// Resets the backoff because a new host was discovered.
    pub(super) const fn on_new_name(&mut self) {
        self.asked_in_vain = 0;
    }

    fn forget_asked(&mut self, now: Moment) {
        self.asked
            .retain(|_, asked| now.since(*asked) < ASK_AGAIN_MS);
    }
}

impl PeerTable {
    /// Builds the request to the sender of a heartbeat for hosts that it reports as alive, itself
    /// included, and whose current run is unknown here. Each host is requested at most once in half
    /// a second. Without these requests, hosts that missed each other's first heartbeats never
    /// discovered each other: in 5 of 40 starts of nine hosts the membership was incomplete after
    /// 16 s.
    pub fn unknown_hosts(
        &mut self,
        heartbeat: &PeerHeartbeat,
        own: &HostRecord,
        now: Moment,
    ) -> Option<WhoIsRequest> {
        let own_hash = short_hash(&own.name);
        self.reconcile.forget_asked(now);
        let sender = HeardHost {
            name_hash: short_hash(&heartbeat.host),
            run_low: run_low(heartbeat.run),
            age_tenths: 0,
            ready: heartbeat.ready,
            watch: heartbeat.watch,
        };
        let mut unknown = Vec::new();
        for told in heartbeat.heard.iter().chain([&sender]) {
            let is_due = told.name_hash != own_hash && !self.knows_run(told);
            if is_due && !self.reconcile.asked.contains_key(&told.name_hash) {
                self.reconcile.asked.insert(told.name_hash, now);
                unknown.push(told.name_hash);
            }
        }
        let known = self
            .may_ask_for_all(heartbeat, &own.region, now)
            .then(|| self.known_for_all(own_hash, heartbeat.known_hosts, now));
        let asks = known.is_some() || !unknown.is_empty();
        asks.then_some(WhoIsRequest { unknown, known })
    }

    /// Which hosts are missing here, judged by the counts in a heartbeat.
    fn lack_beside(&self, heartbeat: &PeerHeartbeat, own_region: &str) -> KnownLack {
        let sender = self.peers.get(&heartbeat.host);
        let near = sender.map_or(0, |sender| {
            let region = &sender.record.region;
            let own = u32::from(region == own_region);
            self.region_counts.get(region).copied().unwrap_or(0) + own
        });
        if heartbeat.known_near > near {
            KnownLack::Near
        } else if heartbeat.known_hosts > self.known_count() {
            KnownLack::Far
        } else {
            KnownLack::None
        }
    }

    /// Whether to ask the sender of a heartbeat for all missing hosts. The request interval grows
    /// while requests lead to no new host, because the counts also differ by a dead host until both
    /// sides have forgotten it. A host of the own region that knows more than the last one asked is
    /// asked at once, since only traffic between regions is expensive.
    fn may_ask_for_all(&self, heartbeat: &PeerHeartbeat, own_region: &str, now: Moment) -> bool {
        let lack = self.lack_beside(heartbeat, own_region);
        let is_near = self.is_of_region(&heartbeat.host, own_region);
        let gap_ms = match lack {
            KnownLack::None => return false,
            KnownLack::Near => ASK_AGAIN_MS,
            KnownLack::Far if is_near => ASK_AGAIN_MS,
            KnownLack::Far => COMPARE_MS,
        };
        let Some(asked) = self.reconcile.asked_all else {
            return true;
        };
        let in_vain = self.reconcile.asked_in_vain;
        let doublings = in_vain.saturating_sub(ASKED_AT_FIRST);
        let gap_ms = gap_ms << doublings.min(MAX_GAP_DOUBLINGS);
        let knows_more = is_near && heartbeat.known_hosts > self.reconcile.asked_count;
        knows_more || now.since(asked) >= gap_ms
    }

    fn is_of_region(&self, name: &str, region: &str) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.record.region == region)
    }

    /// Describes the hosts known here, for a request to a host that knows `target_count` hosts.
    fn known_for_all(&mut self, own_hash: u32, asked_count: u32, now: Moment) -> KnownSlice {
        let state = &mut self.reconcile;
        if state.asked_all.replace(now).is_some() {
            state.asked_in_vain += 1;
        }
        state.asked_count = asked_count;
        state.questions = state.questions.wrapping_add(1);
        let salt = state.questions;
        let known = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        let parts = known.div_ceil(MARKS_PER_DATAGRAM).max(1);
        let part = salt % parts;
        let hashes = self.names.keys().chain([&own_hash]).copied();
        let hashes = hashes.filter(|hash| hash % parts == part);
        KnownSlice {
            salt,
            parts,
            part,
            marks: hashes.map(|hash| mark_of(hash, salt)).collect(),
        }
    }

    fn knows_run(&self, told: &HeardHost) -> bool {
        let name = self.names.get(&told.name_hash);
        let known = name.and_then(|name| self.peers.get(name));
        known.is_some_and(|known| run_low(known.record.run) == told.run_low)
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
            heard: None,
        });
        let names = request.unknown.iter();
        let names = names.filter_map(|hash| self.names.get(hash));
        let asked = names.filter_map(|name| self.peers.get(name));
        let known = asked.chain(self.lacking(request, now));
        let known = known.map(|peer| KnownHost {
            record: peer.record.clone(),
            heard: peer.told(TOLD_AGAIN_MS, now),
        });
        known.chain(own).collect()
    }

    /// Recently seen hosts that the requester does not know.
    fn lacking<'a>(
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
                    && peer.is_heard(now, TOLD_AGAIN_MS)
            });
            peers.take(RECORDS_BESIDE)
        })
    }
}

/// A two-byte mark that distinguishes some hundred hosts within one request. The salt changes the
/// collisions from one request to the next.
fn mark_of(short_hash: u32, salt: u32) -> [u8; 2] {
    let mixed = hash::mix(u64::from(short_hash) << 32 | u64::from(salt));
    [mixed as u8, (mixed >> 8) as u8]
}
