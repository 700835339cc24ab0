//! How hosts find out that they know different hosts, and ask for those that they lack.
//!
//! A heartbeat tells how many hosts its sender knows, and some of them by short hashes. Who is told of one that it does not
//! know, or hears that another knows more, asks that one.

use std::collections;

use super::heard::{run_low, short_hash};
use super::{HostRecord, PeerEntry, PeerTable, REMOVE_MS};
use crate::entry::hash;
use crate::entry::peer_message::{HeardHost, KnownHost, KnownSlice, PeerHeartbeat, WhoIsRequest};
use crate::timer::Moment;

/// A host that is told of and not known is asked for again after this time, in milliseconds: a heartbeat, so that
/// a lost datagram costs no more than one.
const ASK_AGAIN_MS: u64 = 500;

/// A host that knows fewer than another asks it after this time, in milliseconds, though nobody tells of one that it
/// lacks: they may differ in one that is gone, and a question takes 1,000 bytes.
const COMPARE_MS: u64 = 2_000;

/// Questions in vain before they come more seldom: those that start together know little themselves at first.
const ASKED_AT_FIRST: u32 = 8;
/// Doublings of the time between two such questions, at most, while nobody new is met by them.
const MAX_GAP_DOUBLINGS: u32 = 4;

/// Marks of known hosts that one datagram carries; some 1,000 bytes.
const MARKS_PER_DATAGRAM: u32 = 480;

/// Hosts that were heard in this time are told to one that lacks them, in milliseconds: half of the time after which a
/// silent one is forgotten, so that no two hosts tell each other of a dead one by turns.
const TOLD_AGAIN_MS: u64 = REMOVE_MS / 2;

/// Hosts that one is told of besides those that it asked for, at most: twelve datagrams.
const RECORDS_BESIDE: usize = 120;

/// What a host lacks of what another one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownLack {
    /// Nothing, as far as can be seen.
    None,
    /// Hosts of the other one's region, which that one knows well.
    Near,
    /// Hosts of any region.
    Far,
}

/// What one host has asked others for.
#[derive(Debug, Default)]
pub(super) struct ReconcileState {
    /// Hosts that were asked for lately, by their short hashes.
    asked: rustc_hash::FxHashMap<u32, Moment>,
    /// When another host was last asked for all that this one lacks.
    asked_all: Option<Moment>,
    /// How many hosts that one knew.
    asked_count: u32,
    /// How often in a row nobody new was met by that.
    asked_in_vain: u32,
    /// How often others were asked for all.
    questions: u32,
}

impl ReconcileState {
    /// A host was met that was not known before.
    pub(super) const fn on_new_name(&mut self) {
        self.asked_in_vain = 0;
    }

    fn forget_asked(&mut self, now: Moment) {
        self.asked
            .retain(|_, asked| now.since(*asked) < ASK_AGAIN_MS);
    }
}

impl PeerTable {
    /// What to ask the sender of a heartbeat for: hosts that it shows to live, itself among them, and that are not known
    /// here in the run that lives; each once in half a second. Without it hosts that missed each other's first words
    /// never met: of 40 starts of nine hosts five were not whole after 16 s.
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

    /// What this host lacks of what the sender of a heartbeat knows, by the counts of both.
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

    /// Whether to ask the sender of a heartbeat for all that this host lacks: once in a while as long as it meets others
    /// by that, and ever more seldom when it meets none, since two hosts differ also by a dead one until both have forgotten
    /// it. A host of the own region that knows more than the last that was asked is asked at once: only between
    /// regions are bytes dear.
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

    /// What this host knows, for one that knows `asked_count` hosts and is asked for all others.
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

    /// The hosts that another one asks for, `own` among them, and some of those that it lacks besides. Of hosts
    /// that are not known here there are none.
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

    /// Hosts that live and that the asker knows nothing of.
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

/// Two bytes that tell some hundred hosts apart within one question; another question takes others.
fn mark_of(short_hash: u32, salt: u32) -> [u8; 2] {
    let mixed = hash::mix(u64::from(short_hash) << 32 | u64::from(salt));
    [mixed as u8, (mixed >> 8) as u8]
}
