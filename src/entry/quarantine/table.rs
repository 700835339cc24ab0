//! The suspects that a host knows: merging, expiry, probing and the digest.

use super::message::{QuarantineDigest, SuspectRecord};
use super::{
    CLEARED_TTL_MS, EARLY_PROBE_DELAY_MS, EARLY_PROBE_SPREAD_MS, FIRST_PROBE_DELAY_MS,
    MAX_SUSPECTS, PROBE_BACKOFF_FACTOR, SERVERS_TO_ANNOUNCE, SERVERS_TO_BLOCK, SUSPECT_TTL_MS,
};
use crate::entry::fingerprint::RequestFingerprint;
use crate::entry::hash;
use crate::timer::Moment;

/// The state of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// Too few servers crashed; only its trackers know it.
    Tracked,
    /// Announced to all hosts, and still sent to servers.
    Announced,
    /// Not sent to any server, except for probes.
    Blocked,
    /// A server has answered it successfully.
    Cleared,
}

/// The result of applying an observation to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectChange {
    /// Nothing changed.
    None,
    /// A new crash is recorded, which only the suspect's trackers need to know.
    Tracked,
    /// The record must be announced to all hosts.
    Announce(SuspectRecord),
}

/// The kind of probe of a blocked request that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DueProbe {
    /// A single one soon after blocking, for a likely bystander.
    Early,
    /// One of a series at growing intervals.
    Regular,
}

/// A suspect as this host knows it.
#[derive(Debug, Clone)]
struct SuspectEntry {
    /// Hashes of the servers that crashed while processing it, sorted.
    crashed_servers: Vec<u64>,
    cleared: bool,
    /// Time of the last observation.
    last_seen: Moment,
    /// Number of regular probes since it was blocked.
    probes: u32,
    /// Whether this host has sent its early probe.
    early_probe_sent: bool,
    /// When it was blocked on this host or last probed; the delay until the next probe starts here.
    waiting_since: Moment,
}

impl SuspectEntry {
    fn state(&self) -> SuspectState {
        match self.crashed_servers.len() {
            _ if self.cleared => SuspectState::Cleared,
            SERVERS_TO_BLOCK.. => SuspectState::Blocked,
            SERVERS_TO_ANNOUNCE.. => SuspectState::Announced,
            _ => SuspectState::Tracked,
        }
    }

    /// Returns whether it is announced to all hosts.
    fn is_announced(&self) -> bool {
        self.state() != SuspectState::Tracked
    }

    const fn ttl_ms(&self) -> u64 {
        if self.cleared {
            CLEARED_TTL_MS
        } else {
            SUSPECT_TTL_MS
        }
    }

    /// Adds crashed servers and returns whether any of them is new.
    fn add_servers(&mut self, servers: &[u64]) -> bool {
        let before = self.crashed_servers.len();
        for server in servers {
            if let Err(place) = self.crashed_servers.binary_search(server) {
                self.crashed_servers.insert(place, *server);
            }
        }
        self.crashed_servers.truncate(SERVERS_TO_BLOCK);
        self.crashed_servers.len() > before
    }

    /// Returns the probe that is due, if any. `shares_crash` tells whether the request shares a
    /// crashed server with another blocked request.
    fn due_probe(
        &self,
        fingerprint: RequestFingerprint,
        shares_crash: bool,
        now: Moment,
    ) -> Option<DueProbe> {
        if self.state() != SuspectState::Blocked {
            return None;
        }
        let elapsed_ms = now.since(self.waiting_since);
        let wait_ms =
            FIRST_PROBE_DELAY_MS.saturating_mul(PROBE_BACKOFF_FACTOR.saturating_pow(self.probes));
        if elapsed_ms >= wait_ms {
            return Some(DueProbe::Regular);
        }
        let early_ms = EARLY_PROBE_DELAY_MS + fingerprint.0 % EARLY_PROBE_SPREAD_MS;
        let may_probe_early = shares_crash && self.probes == 0 && !self.early_probe_sent;
        (may_probe_early && elapsed_ms >= early_ms).then_some(DueProbe::Early)
    }

    /// Marks it as cleared and drops the crashed servers, which no longer matter.
    fn clear(&mut self, now: Moment) {
        self.cleared = true;
        self.crashed_servers.clear();
        self.last_seen = now;
    }

    fn record(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectRecord {
        let age_s = now.since(self.last_seen) / 1_000;
        SuspectRecord {
            fingerprint,
            crashed_servers: self.crashed_servers.clone(),
            cleared: self.cleared,
            probes: self.probes,
            age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
        }
    }

    /// Returns a hash that differs where hosts have something to exchange. Before the request is
    /// blocked it includes the crashed servers, since different ones on two hosts may add up to the
    /// limit.
    fn hash(&self, fingerprint: RequestFingerprint) -> u64 {
        let state = self.state();
        let servers = match state {
            SuspectState::Tracked | SuspectState::Announced => self.crashed_servers.as_slice(),
            SuspectState::Blocked | SuspectState::Cleared => &[],
        };
        let probes = match state {
            SuspectState::Blocked => u64::from(self.probes) << 8,
            SuspectState::Tracked | SuspectState::Announced | SuspectState::Cleared => 0,
        };
        let seed = hash::mix(hash::mix(fingerprint.0) ^ probes ^ state as u64);
        let servers = servers.iter();
        servers.fold(seed, |hash, server| hash::mix(hash ^ server))
    }
}

/// The suspects that a host knows, by fingerprint.
///
/// ```
/// use ledgespool::entry::fingerprint::RequestFingerprint;
/// use ledgespool::entry::quarantine::table::QuarantineTable;
/// use ledgespool::timer::Moment;
/// let mut table = QuarantineTable::default();
/// let request = RequestFingerprint(7);
/// for server in 1..=3 {
///     assert!(!table.is_blocked(request));
///     table.on_crash(request, server, Moment(0));
/// }
/// assert!(table.is_blocked(request));
/// table.on_success(request, Moment(9));
/// assert!(!table.is_blocked(request));
/// ```
#[derive(Debug, Default)]
pub struct QuarantineTable {
    entries: rustc_hash::FxHashMap<RequestFingerprint, SuspectEntry>,
    /// Number of announced entries. A host without any skips the lookup of each request.
    announced: usize,
}

impl QuarantineTable {
    /// Returns whether any suspect is announced to all hosts.
    #[must_use]
    pub const fn has_announced(&self) -> bool {
        self.announced > 0
    }

    /// Returns the state of a request; `None` if it is not a suspect.
    #[must_use]
    pub fn state_of(&self, fingerprint: RequestFingerprint) -> Option<SuspectState> {
        self.entries.get(&fingerprint).map(SuspectEntry::state)
    }

    /// Returns whether a request is blocked.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: RequestFingerprint) -> bool {
        self.state_of(fingerprint) == Some(SuspectState::Blocked)
    }

    /// Number of blocked requests.
    #[must_use]
    pub fn blocked_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.state() == SuspectState::Blocked)
            .count()
    }

    /// Records that a server crashed while processing a request.
    pub fn on_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        server: u64,
        now: Moment,
    ) -> SuspectChange {
        let record = SuspectRecord {
            fingerprint,
            crashed_servers: vec![server],
            cleared: false,
            probes: 0,
            age_s: 0,
        };
        if !self.merge(&record, now) {
            return SuspectChange::None;
        }
        self.change_for(fingerprint, now)
    }

    /// Merges a record from another host or the store; returns whether it adds anything.
    pub fn on_record(&mut self, record: &SuspectRecord, now: Moment) -> bool {
        self.merge(record, now)
    }

    /// Records that a server has answered a request successfully.
    pub fn on_success(&mut self, fingerprint: RequestFingerprint, now: Moment) -> SuspectChange {
        match self.state_of(fingerprint) {
            None | Some(SuspectState::Cleared) => SuspectChange::None,
            Some(SuspectState::Tracked) => {
                self.entries.remove(&fingerprint);
                SuspectChange::None
            }
            Some(SuspectState::Announced | SuspectState::Blocked) => {
                if let Some(entry) = self.entries.get_mut(&fingerprint) {
                    entry.clear(now);
                }
                self.change_for(fingerprint, now)
            }
        }
    }

    /// Returns the updated record if a probe of a blocked request is due. The caller may then send
    /// the request to one server and must announce the record.
    pub fn take_probe(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> Option<SuspectRecord> {
        let shares_crash = self.shares_crash_with_others(fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        match entry.due_probe(fingerprint, shares_crash, now)? {
            DueProbe::Early => entry.early_probe_sent = true,
            DueProbe::Regular => entry.probes += 1,
        }
        entry.waiting_since = now;
        entry.last_seen = now;
        Some(entry.record(fingerprint, now))
    }

    /// Returns whether a server that crashed while processing this request was also processing
    /// another one that is now blocked.
    fn shares_crash_with_others(&self, fingerprint: RequestFingerprint) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let others = self
            .entries
            .iter()
            .filter(|(other, _)| **other != fingerprint);
        let mut blocked = others.filter(|(_, other)| other.state() == SuspectState::Blocked);
        blocked.any(|(_, other)| {
            other
                .crashed_servers
                .iter()
                .any(|server| entry.crashed_servers.contains(server))
        })
    }

    /// Extends the lifetime of a blocked request that was received again.
    pub fn on_refused(&mut self, fingerprint: RequestFingerprint, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.last_seen = now;
        }
    }

    /// Removes expired entries.
    pub fn on_tick(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < entry.ttl_ms());
        self.count();
    }

    /// Returns the records of all announced suspects.
    #[must_use]
    pub fn records(&self, now: Moment) -> Vec<SuspectRecord> {
        let announced = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_announced());
        announced
            .map(|(fingerprint, entry)| entry.record(*fingerprint, now))
            .collect()
    }

    /// Returns the digest of all announced suspects.
    #[must_use]
    pub fn digest(&self) -> QuarantineDigest {
        if !self.has_announced() {
            return QuarantineDigest::default();
        }
        let announced = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_announced());
        let hashes = announced.map(|(fingerprint, entry)| entry.hash(*fingerprint));
        QuarantineDigest {
            count: u32::try_from(self.announced).unwrap_or(u32::MAX),
            hash: hashes.fold(0, |all, hash| all ^ hash),
        }
    }

    /// Merges a record: the union of the crashed servers, a success on either side and the later
    /// observation. The result does not depend on the order of the records. Returns whether the
    /// record adds anything.
    fn merge(&mut self, record: &SuspectRecord, now: Moment) -> bool {
        let last_seen = now.before(u64::from(record.age_s) * 1_000);
        let known = self.entries.get(&record.fingerprint);
        // A success overrides earlier crashes, and reports of those may arrive late.
        if known.is_some_and(|known| known.cleared) {
            return false;
        }
        let is_new = known.is_none();
        let entry = self
            .entries
            .entry(record.fingerprint)
            .or_insert(SuspectEntry {
                crashed_servers: Vec::new(),
                cleared: false,
                last_seen,
                probes: 0,
                early_probe_sent: false,
                waiting_since: now,
            });
        let adds_servers = entry.add_servers(&record.crashed_servers);
        if adds_servers || record.probes > entry.probes {
            entry.waiting_since = now;
        }
        entry.probes = entry.probes.max(record.probes);
        entry.last_seen = entry.last_seen.max(last_seen);
        if record.cleared {
            entry.clear(last_seen);
        }
        let is_old = now.since(entry.last_seen) >= entry.ttl_ms();
        if is_old {
            self.entries.remove(&record.fingerprint);
        }
        if is_new && !is_old {
            self.evict_oldest();
        }
        self.count();
        !is_old && (adds_servers || record.cleared)
    }

    fn change_for(&mut self, fingerprint: RequestFingerprint, now: Moment) -> SuspectChange {
        match self.entries.get(&fingerprint) {
            Some(entry) if entry.is_announced() => {
                SuspectChange::Announce(entry.record(fingerprint, now))
            }
            Some(_) => SuspectChange::Tracked,
            None => SuspectChange::None,
        }
    }

    /// Evicts the entry with the oldest observation if the table is over its limit, unannounced
    /// ones first.
    fn evict_oldest(&mut self) {
        if self.entries.len() <= MAX_SUSPECTS {
            return;
        }
        let entries = self.entries.iter();
        let oldest = entries.min_by_key(|(_, entry)| (entry.is_announced(), entry.last_seen));
        if let Some((oldest, _)) = oldest {
            let oldest = *oldest;
            self.entries.remove(&oldest);
        }
    }

    fn count(&mut self) {
        let entries = self.entries.values();
        self.announced = entries.filter(|entry| entry.is_announced()).count();
    }
}
