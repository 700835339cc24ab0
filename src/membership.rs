//! The membership role: failure detection by heartbeats to a bounded set of peers.
//!
//! Based on SWIM (Das, Gupta and Motivala, 2002). A host that does not answer is suspected first
//! and may refute the suspicion. Changes spread as rumors on heartbeats, so that the traffic of
//! one host does not grow with the number of hosts. Memory: one record for each host, at most
//! [`MAX_MEMBERS`].

use std::{collections, net};

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::event::EventCode;
use crate::{member, timer};

/// Interval between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Maximum number of remembered hosts.
pub const MAX_MEMBERS: usize = 2_000;
/// Maximum number of records on one heartbeat or its response, except in a full exchange.
pub const MAX_RUMORS: usize = 12;
/// Number of successors in the order of names that a host sends heartbeats to.
const WATCHED_SUCCESSORS: usize = 3;
/// Number of unanswered heartbeats since the last contact after which a host is suspected.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Time in which a suspected host may refute the suspicion before it counts as dead.
const SUSPICION_TIMEOUT_MS: u64 = 2_000;
/// Time that a dead host's record is retained, so that old rumors do not revive the host.
const DEAD_RETENTION_MS: u64 = 600_000;
/// Time without any contact after which a host considers itself cut off from its peers.
const CUT_OFF_TIMEOUT_MS: u64 = 3_000;
/// Interval between full exchanges of records.
const FULL_SYNC_INTERVAL_MS: u64 = 30_000;

#[derive(Debug, Clone)]
struct MemberEntry {
    record: member::MemberRecord,
    state_since: timer::Moment,
    missed_heartbeats: u32,
}

#[derive(Debug, Clone)]
struct RumorEntry {
    name: String,
    remaining_sends: u32,
}

/// The target of a heartbeat to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The host, if its name is known yet.
    pub name: Option<String>,
    /// Its control address.
    pub address: net::SocketAddr,
    /// Whether to exchange all records.
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
    last_full_sync: Option<timer::Moment>,
    changed: bool,
    events: Vec<(EventCode, String)>,
}

impl MembershipRole {
    /// A role that knows only its own host and the addresses to contact first.
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
            last_full_sync: None,
            changed: true,
            events: Vec::new(),
        }
    }

    /// This host's own record.
    #[must_use]
    pub const fn me(&self) -> &member::MemberRecord {
        &self.me
    }

    /// All records, including this host's own.
    #[must_use]
    pub fn records(&self) -> Vec<member::MemberRecord> {
        let others = self.members.values().map(|entry| entry.record.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Records of all hosts that are neither dead nor leaving, including this host's own.
    #[must_use]
    pub fn advertised(&self) -> Vec<member::MemberRecord> {
        self.records()
            .into_iter()
            .filter(member::MemberRecord::is_advertised)
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

    /// Takes the state changes since the last call, as events for the log.
    pub fn take_events(&mut self) -> Vec<(EventCode, String)> {
        std::mem::take(&mut self.events)
    }

    fn queue_event(&mut self, name: &str) {
        let Some(entry) = self.members.get(name) else {
            return;
        };
        let code = match entry.record.state {
            member::HostState::Live => EventCode::MemberJoined,
            member::HostState::Leaving => EventCode::MemberLeaving,
            member::HostState::Suspect => EventCode::MemberSuspected,
            member::HostState::Dead => EventCode::MemberDied,
        };
        if self.events.len() < MAX_MEMBERS {
            self.events.push((code, name.to_owned()));
        }
    }

    /// Marks this host as leaving, or as live again when its drain ends.
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
            self.spread_rumor(&self.me.identity.name.clone());
        }
    }

    /// Adds addresses to contact, such as those of the platform's host list.
    pub fn add_seeds(&mut self, addresses: impl Iterator<Item = net::SocketAddr>) {
        for address in addresses {
            let known = address == self.me.control_address || self.seeds.contains(&address);
            if !known && self.seeds.len() < MAX_MEMBERS {
                self.seeds.push(address);
            }
        }
    }

    /// Whether this host should have peers but had no recent contact with any.
    #[must_use]
    pub fn is_cut_off(&self, now: timer::Moment) -> bool {
        let expects_peers = !self.seeds.is_empty() || !self.members.is_empty();
        expects_peers && now.since(self.last_contact) > CUT_OFF_TIMEOUT_MS
    }

    /// Expires suspicions and returns the targets of this round's heartbeats.
    pub fn tick(&mut self, now: timer::Moment) -> Vec<HeartbeatTarget> {
        self.expire_members(now);
        let full = self
            .last_full_sync
            .is_none_or(|last| now.since(last) >= FULL_SYNC_INTERVAL_MS);
        let mut targets = self.successors();
        targets.extend(self.random_target(&targets));
        targets.extend(self.seed_target(&targets));
        if full && let Some(first) = targets.first_mut() {
            first.full = true;
            self.last_full_sync = Some(now);
        }
        targets
    }

    /// Marks suspects that did not refute in time as dead and removes old records of dead hosts.
    fn expire_members(&mut self, now: timer::Moment) {
        let mut died = Vec::new();
        for (name, entry) in &mut self.members {
            let age = now.since(entry.state_since);
            if entry.record.state == member::HostState::Suspect && age >= SUSPICION_TIMEOUT_MS {
                entry.record.state = member::HostState::Dead;
                entry.state_since = now;
                died.push(name.clone());
            }
        }
        self.members.retain(|_, entry| {
            entry.record.state != member::HostState::Dead
                || now.since(entry.state_since) < DEAD_RETENTION_MS
        });
        for name in died {
            self.changed = true;
            self.queue_event(&name);
            self.spread_rumor(&name);
        }
    }

    /// The next hosts in the ring of names, which this host monitors.
    fn successors(&self) -> Vec<HeartbeatTarget> {
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
                targets.push(heartbeat_target(&entry.record));
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
            .map(|entry| heartbeat_target(&entry.record))
    }

    /// One random address without a live member: a host not discovered yet, or a dead one.
    fn seed_target(&mut self, chosen: &[HeartbeatTarget]) -> Option<HeartbeatTarget> {
        let mut candidates = self.dead_addresses();
        candidates.extend(
            self.seeds
                .iter()
                .copied()
                .filter(|&address| !self.is_known_alive(address)),
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

    fn is_known_alive(&self, address: net::SocketAddr) -> bool {
        self.members.values().any(|entry| {
            entry.record.control_address == address && entry.record.state != member::HostState::Dead
        })
    }

    /// Addresses of dead hosts. They are contacted again because a network partition may have
    /// ended without any other host noticing.
    fn dead_addresses(&self) -> Vec<net::SocketAddr> {
        let dead = self
            .members
            .values()
            .filter(|entry| entry.record.state == member::HostState::Dead);
        dead.map(|entry| entry.record.control_address).collect()
    }

    /// The records to attach to a heartbeat or its response.
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
            rumor.remaining_sends = rumor.remaining_sends.saturating_sub(1);
            if rumor.remaining_sends > 0 {
                self.rumors.push_back(rumor);
            }
        }
        records
    }

    /// Handles a message from a peer: its own record and the records that it forwarded.
    pub fn on_contact(
        &mut self,
        peer: &member::MemberRecord,
        rumors: &[member::MemberRecord],
        now: timer::Moment,
    ) {
        self.last_contact = now;
        self.merge(peer, now);
        if let Some(entry) = self.members.get_mut(&peer.identity.name) {
            entry.missed_heartbeats = 0;
        }
        for record in rumors.iter().take(MAX_MEMBERS) {
            self.merge(record, now);
        }
    }

    /// Counts an unanswered heartbeat to a peer and suspects the peer after too many.
    pub fn on_missed(&mut self, name: &str, now: timer::Moment) {
        let Some(entry) = self.members.get_mut(name) else {
            return;
        };
        entry.missed_heartbeats += 1;
        let alive = entry.record.state < member::HostState::Suspect;
        if entry.missed_heartbeats >= MAX_MISSED_HEARTBEATS && alive {
            entry.record.state = member::HostState::Suspect;
            entry.state_since = now;
            self.changed = true;
            self.queue_event(name);
            self.spread_rumor(name);
        }
    }

    fn merge(&mut self, record: &member::MemberRecord, now: timer::Moment) {
        if record.identity.name == self.me.identity.name {
            self.refute(record);
            return;
        }
        let name = record.identity.name.clone();
        let has_capacity = self.members.len() < MAX_MEMBERS;
        match self.members.get_mut(&name) {
            Some(entry) if record.overrides(&entry.record) => {
                entry.record = record.clone();
                entry.state_since = now;
                entry.missed_heartbeats = 0;
            }
            None if has_capacity => {
                let entry = MemberEntry {
                    record: record.clone(),
                    state_since: now,
                    missed_heartbeats: 0,
                };
                self.members.insert(name.clone(), entry);
            }
            Some(_) | None => return,
        }
        self.changed = true;
        self.queue_event(&name);
        self.spread_rumor(&name);
    }

    /// Refutes a record that gives this incarnation a worse state, with a higher counter.
    fn refute(&mut self, record: &member::MemberRecord) {
        if record.identity.incarnation == self.me.identity.incarnation && record.overrides(&self.me)
        {
            self.me.refutation = record.refutation.saturating_add(1);
            self.spread_rumor(&self.me.identity.name.clone());
        }
    }

    fn spread_rumor(&mut self, name: &str) {
        let count = u32::try_from(self.members.len() + 2).unwrap_or(u32::MAX);
        let remaining_sends = 4 * count.ilog2().max(1);
        self.rumors.retain(|rumor| rumor.name != name);
        self.rumors.push_front(RumorEntry {
            name: name.to_owned(),
            remaining_sends,
        });
    }
}

fn heartbeat_target(record: &member::MemberRecord) -> HeartbeatTarget {
    HeartbeatTarget {
        name: Some(record.identity.name.clone()),
        address: record.control_address,
        full: false,
    }
}
