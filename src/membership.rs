//! The membership role: hosts watch each other by heartbeats to a bounded set of peers.
//!
//! In the manner of SWIM (Das, Gupta and Motivala, 2002): a silent host is suspected first and
//! may refute; changes spread as rumors on the heartbeats, so that a host's traffic does not grow
//! with their number. Memory: one record for each host, at most [`MAX_MEMBERS`].

use std::{collections, net};

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::event::EventCode;
use crate::{member, timer};

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_MS: u64 = 500;
/// The most hosts that are remembered.
pub const MAX_MEMBERS: usize = 2_000;
/// The most records on one heartbeat or its answer.
pub const MAX_RUMORS: usize = 12;
/// Next hosts in the order of names that a host watches.
const WATCHED_SUCCESSORS: usize = 3;
/// Unanswered heartbeats that make a host suspect.
const MISSED_LIMIT: u32 = 3;
/// How long a suspect may refute.
const SUSPICION_MS: u64 = 2_000;
/// How long a dead host is remembered, so that old rumors do not revive it.
const DEAD_MEMORY_MS: u64 = 600_000;
/// A host that heard nobody for this long counts itself as cut off from its peers.
const CUT_OFF_MS: u64 = 3_000;
/// A whole exchange of records happens this often.
const FULL_SYNC_MS: u64 = 30_000;

#[derive(Debug, Clone)]
struct MemberEntry {
    record: member::MemberRecord,
    since: timer::Moment,
    missed: u32,
}

#[derive(Debug, Clone)]
struct RumorEntry {
    name: String,
    left: u32,
}

/// A heartbeat that the role wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The host, if its name is known yet.
    pub name: Option<String>,
    /// Its control address.
    pub address: net::SocketAddr,
    /// Whether all records are asked for.
    pub full: bool,
}

/// The membership role of one host.
#[derive(Debug)]
pub struct MembershipRole {
    me: member::MemberRecord,
    members: collections::BTreeMap<String, MemberEntry>,
    rumors: collections::VecDeque<RumorEntry>,
    seeds: Vec<net::SocketAddr>,
    random: rand::rngs::SmallRng,
    last_contact: timer::Moment,
    last_full: Option<timer::Moment>,
    changed: bool,
    news: Vec<(EventCode, String)>,
}

impl MembershipRole {
    /// A host that knows only itself and the addresses to try first.
    #[must_use]
    pub fn new(
        me: member::MemberRecord,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
        now: timer::Moment,
    ) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|&address| address != me.control_address)
            .collect();
        Self {
            me,
            members: collections::BTreeMap::new(),
            rumors: collections::VecDeque::new(),
            seeds,
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            last_contact: now,
            last_full: None,
            changed: true,
            news: Vec::new(),
        }
    }

    /// This host's own record.
    #[must_use]
    pub const fn me(&self) -> &member::MemberRecord {
        &self.me
    }

    /// All records, this host's own among them.
    #[must_use]
    pub fn records(&self) -> Vec<member::MemberRecord> {
        let others = self.members.values().map(|entry| entry.record.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Hosts that are neither dead nor leaving, this one among them unless it leaves.
    #[must_use]
    pub fn offered(&self) -> Vec<member::MemberRecord> {
        self.records()
            .into_iter()
            .filter(member::MemberRecord::is_offered)
            .collect()
    }

    /// The record of a host by name.
    #[must_use]
    pub fn record(&self, name: &str) -> Option<&member::MemberRecord> {
        if name == self.me.identity.name {
            return Some(&self.me);
        }
        self.members.get(name).map(|entry| &entry.record)
    }

    /// Whether records changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.changed, false)
    }

    /// What changed, as events for the log.
    pub fn take_news(&mut self) -> Vec<(EventCode, String)> {
        std::mem::take(&mut self.news)
    }

    fn note_news(&mut self, name: &str) {
        let Some(entry) = self.members.get(name) else {
            return;
        };
        let code = match entry.record.state {
            member::HostState::Live => EventCode::MemberJoined,
            member::HostState::Leaving => EventCode::MemberLeaving,
            member::HostState::Suspect => EventCode::MemberSuspected,
            member::HostState::Dead => EventCode::MemberDied,
        };
        if self.news.len() < MAX_MEMBERS {
            self.news.push((code, name.to_owned()));
        }
    }

    /// Marks this host as leaving; a drain that is lifted brings it back.
    pub fn set_leaving(&mut self, leaving: bool) {
        let state = if leaving {
            member::HostState::Leaving
        } else {
            member::HostState::Live
        };
        if self.me.state != state {
            self.me.state = state;
            self.me.refutation += 1;
            self.changed = true;
            self.spread(&self.me.identity.name.clone());
        }
    }

    /// Adds addresses to try, such as those of the platform's list.
    pub fn add_seeds(&mut self, addresses: impl Iterator<Item = net::SocketAddr>) {
        for address in addresses {
            let known = address == self.me.control_address || self.seeds.contains(&address);
            if !known && self.seeds.len() < MAX_MEMBERS {
                self.seeds.push(address);
            }
        }
    }

    /// Whether no peer was heard for a while, though there should be some.
    #[must_use]
    pub fn is_cut_off(&self, now: timer::Moment) -> bool {
        let expects_peers = !self.seeds.is_empty() || !self.members.is_empty();
        expects_peers && now.since(self.last_contact) > CUT_OFF_MS
    }

    /// Lets time pass; returns whom to send heartbeats to.
    pub fn tick(&mut self, now: timer::Moment) -> Vec<HeartbeatTarget> {
        self.bury(now);
        let full = self
            .last_full
            .is_none_or(|last| now.since(last) >= FULL_SYNC_MS);
        let mut targets = self.watched();
        targets.extend(self.random_target(&targets));
        targets.extend(self.seed_target(&targets));
        if full && let Some(first) = targets.first_mut() {
            first.full = true;
            self.last_full = Some(now);
        }
        targets
    }

    /// Suspects that did not refute are dead; long dead ones are forgotten.
    fn bury(&mut self, now: timer::Moment) {
        let mut died = Vec::new();
        for (name, entry) in &mut self.members {
            let age = now.since(entry.since);
            if entry.record.state == member::HostState::Suspect && age >= SUSPICION_MS {
                entry.record.state = member::HostState::Dead;
                entry.since = now;
                died.push(name.clone());
            }
        }
        self.members.retain(|_, entry| {
            entry.record.state != member::HostState::Dead || now.since(entry.since) < DEAD_MEMORY_MS
        });
        for name in died {
            self.changed = true;
            self.note_news(&name);
            self.spread(&name);
        }
    }

    /// The next hosts in the ring of names, which this host watches.
    fn watched(&self) -> Vec<HeartbeatTarget> {
        let after = self.members.range::<str, _>((
            std::ops::Bound::Excluded(self.me.identity.name.as_str()),
            std::ops::Bound::Unbounded,
        ));
        let ring = after.chain(self.members.iter());
        let mut targets: Vec<HeartbeatTarget> = Vec::new();
        for (name, entry) in ring {
            let known = targets
                .iter()
                .any(|target| target.name.as_ref() == Some(name));
            if targets.len() == WATCHED_SUCCESSORS || known {
                break;
            }
            if entry.record.state != member::HostState::Dead {
                targets.push(target_of(&entry.record));
            }
        }
        targets
    }

    fn random_target(&mut self, chosen: &[HeartbeatTarget]) -> Option<HeartbeatTarget> {
        let candidates: Vec<&MemberEntry> = self
            .members
            .values()
            .filter(|entry| {
                !chosen
                    .iter()
                    .any(|target| target.address == entry.record.control_address)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let position = self.random.random_range(0..candidates.len());
        candidates
            .get(position)
            .map(|entry| target_of(&entry.record))
    }

    /// One address that belongs to no live member: a host not met yet, or one lost before.
    fn seed_target(&mut self, chosen: &[HeartbeatTarget]) -> Option<HeartbeatTarget> {
        let mut candidates = self.lost_addresses();
        candidates.extend(
            self.seeds
                .iter()
                .copied()
                .filter(|&address| !self.is_live(address)),
        );
        candidates.retain(|&address| !chosen.iter().any(|target| target.address == address));
        if candidates.is_empty() {
            return None;
        }
        let position = self.random.random_range(0..candidates.len());
        candidates.get(position).map(|&address| HeartbeatTarget {
            name: None,
            address,
            full: false,
        })
    }

    fn is_live(&self, address: net::SocketAddr) -> bool {
        self.members.values().any(|entry| {
            entry.record.control_address == address && entry.record.state != member::HostState::Dead
        })
    }

    /// Addresses of dead hosts: a cut between regions ends some time, and nobody else may know.
    fn lost_addresses(&self) -> Vec<net::SocketAddr> {
        let dead = self
            .members
            .values()
            .filter(|entry| entry.record.state == member::HostState::Dead);
        dead.map(|entry| entry.record.control_address).collect()
    }

    /// The records to put on a heartbeat or its answer.
    pub fn rumors_for(&mut self, peer: Option<&str>, full: bool) -> Vec<member::MemberRecord> {
        if full {
            return self.records().into_iter().take(MAX_MEMBERS).collect();
        }
        let mut records = Vec::new();
        if let Some(entry) = peer.and_then(|peer| self.members.get(peer))
            && entry.record.state >= member::HostState::Suspect
        {
            records.push(entry.record.clone());
        }
        for _ in 0..self.rumors.len().min(MAX_RUMORS - 1) {
            let Some(mut rumor) = self.rumors.pop_front() else {
                break;
            };
            if let Some(record) = self.record(&rumor.name) {
                records.push(record.clone());
            }
            rumor.left = rumor.left.saturating_sub(1);
            if rumor.left > 0 {
                self.rumors.push_back(rumor);
            }
        }
        records
    }

    /// A peer was heard directly: its own record and what it passed on.
    pub fn on_contact(
        &mut self,
        peer: &member::MemberRecord,
        rumors: &[member::MemberRecord],
        now: timer::Moment,
    ) {
        self.last_contact = now;
        self.learn(peer, now);
        if let Some(entry) = self.members.get_mut(&peer.identity.name) {
            entry.missed = 0;
        }
        for record in rumors.iter().take(MAX_MEMBERS) {
            self.learn(record, now);
        }
    }

    /// A heartbeat to this peer got no answer.
    pub fn on_missed(&mut self, name: &str, now: timer::Moment) {
        let Some(entry) = self.members.get_mut(name) else {
            return;
        };
        entry.missed += 1;
        let alive = entry.record.state < member::HostState::Suspect;
        if entry.missed >= MISSED_LIMIT && alive {
            entry.record.state = member::HostState::Suspect;
            entry.since = now;
            self.changed = true;
            self.note_news(name);
            self.spread(name);
        }
    }

    fn learn(&mut self, record: &member::MemberRecord, now: timer::Moment) {
        if record.identity.name == self.me.identity.name {
            self.refute(record);
            return;
        }
        let name = record.identity.name.clone();
        let has_room = self.members.len() < MAX_MEMBERS;
        match self.members.get_mut(&name) {
            Some(entry) if record.overrides(&entry.record) => {
                entry.record = record.clone();
                entry.since = now;
                entry.missed = 0;
            }
            None if has_room => {
                let entry = MemberEntry {
                    record: record.clone(),
                    since: now,
                    missed: 0,
                };
                self.members.insert(name.clone(), entry);
            }
            Some(_) | None => return,
        }
        self.changed = true;
        self.note_news(&name);
        self.spread(&name);
    }

    /// Others believe something worse of this run than is true: say so louder.
    fn refute(&mut self, record: &member::MemberRecord) {
        if record.identity.incarnation == self.me.identity.incarnation && record.overrides(&self.me)
        {
            self.me.refutation = record.refutation.saturating_add(1);
            self.spread(&self.me.identity.name.clone());
        }
    }

    fn spread(&mut self, name: &str) {
        let count = u32::try_from(self.members.len() + 2).unwrap_or(u32::MAX);
        let left = 4 * count.ilog2().max(1);
        self.rumors.retain(|rumor| rumor.name != name);
        self.rumors.push_front(RumorEntry {
            name: name.to_owned(),
            left,
        });
    }
}

fn target_of(record: &member::MemberRecord) -> HeartbeatTarget {
    HeartbeatTarget {
        name: Some(record.identity.name.clone()),
        address: record.control_address,
        full: false,
    }
}
