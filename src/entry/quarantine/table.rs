//! The suspects that a host knows.

use super::message::{QuarantineDigest, SuspectRecord};
use super::{
    CLEARED_LIFE_MS, FIRST_TRIAL_MS, MAX_SUSPECTS, SERVERS_TO_BAR, SERVERS_TO_TELL,
    SUSPECT_LIFE_MS, SWIFT_SPREAD_MS, SWIFT_TRIAL_MS, TRIAL_FACTOR,
};
use crate::entry::fingerprint::RequestFingerprint;
use crate::entry::hash;
use crate::timer::Moment;

/// How a suspect stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// Too few servers ended for all hosts to know it.
    Counted,
    /// All hosts know it, and it is still sent.
    Known,
    /// It is sent to no server.
    Barred,
    /// A server has answered it with success.
    Cleared,
}

/// What a table does with word of a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectChange {
    /// It knew that.
    None,
    /// It counts one more end, which not all hosts need to know yet.
    Counted,
    /// All hosts must know the record.
    Tell(SuspectRecord),
}

/// A trial of a barred request on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DueTrial {
    /// Once, soon after it was barred beside others.
    Swift,
    /// Ever more seldom.
    Regular,
}

/// One suspect.
#[derive(Debug, Clone)]
struct SuspectEntry {
    /// Hashes of the servers that ended under it, in their order.
    ended: Vec<u64>,
    cleared: bool,
    /// When something was last heard of it.
    heard: Moment,
    /// How often it was tried since it was barred, beside the swift trial.
    trials: u32,
    /// Whether it had its swift trial here.
    tried_swiftly: bool,
    /// When it was barred here, or the last trial heard of.
    waits_since: Moment,
}

impl SuspectEntry {
    fn state(&self) -> SuspectState {
        match self.ended.len() {
            _ if self.cleared => SuspectState::Cleared,
            SERVERS_TO_BAR.. => SuspectState::Barred,
            SERVERS_TO_TELL.. => SuspectState::Known,
            _ => SuspectState::Counted,
        }
    }

    /// Whether all hosts know it.
    fn is_told(&self) -> bool {
        self.state() != SuspectState::Counted
    }

    const fn life_ms(&self) -> u64 {
        if self.cleared {
            CLEARED_LIFE_MS
        } else {
            SUSPECT_LIFE_MS
        }
    }

    /// Adds servers; returns whether there are more than before.
    fn add(&mut self, servers: &[u64]) -> bool {
        let before = self.ended.len();
        for server in servers {
            if let Err(place) = self.ended.binary_search(server) {
                self.ended.insert(place, *server);
            }
        }
        self.ended.truncate(SERVERS_TO_BAR);
        self.ended.len() > before
    }

    /// Which trial on a server is due, if one is; `stood_beside` says that a server of it ended under another one as well.
    fn due_trial(
        &self,
        fingerprint: RequestFingerprint,
        stood_beside: bool,
        now: Moment,
    ) -> Option<DueTrial> {
        if self.state() != SuspectState::Barred {
            return None;
        }
        let waited_ms = now.since(self.waits_since);
        let wait_ms = FIRST_TRIAL_MS.saturating_mul(TRIAL_FACTOR.saturating_pow(self.trials));
        if waited_ms >= wait_ms {
            return Some(DueTrial::Regular);
        }
        let swift_ms = SWIFT_TRIAL_MS + fingerprint.0 % SWIFT_SPREAD_MS;
        let may_be_swift = stood_beside && self.trials == 0 && !self.tried_swiftly;
        (may_be_swift && waited_ms >= swift_ms).then_some(DueTrial::Swift)
    }

    /// A server has answered it; which ones ended before does not matter any more.
    fn clear(&mut self, now: Moment) {
        self.cleared = true;
        self.ended.clear();
        self.heard = now;
    }

    fn record(&self, fingerprint: RequestFingerprint, now: Moment) -> SuspectRecord {
        let age_s = now.since(self.heard) / 1_000;
        SuspectRecord {
            fingerprint,
            ended: self.ended.clone(),
            cleared: self.cleared,
            trials: self.trials,
            age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
        }
    }

    /// Differs where hosts would have something to tell each other: below the bar also in the servers, of
    /// which others may make up the number.
    fn hash(&self, fingerprint: RequestFingerprint) -> u64 {
        let state = self.state();
        let servers = match state {
            SuspectState::Counted | SuspectState::Known => self.ended.as_slice(),
            SuspectState::Barred | SuspectState::Cleared => &[],
        };
        let trials = match state {
            SuspectState::Barred => u64::from(self.trials) << 8,
            SuspectState::Counted | SuspectState::Known | SuspectState::Cleared => 0,
        };
        let seed = hash::mix(hash::mix(fingerprint.0) ^ trials ^ state as u64);
        let servers = servers.iter();
        servers.fold(seed, |hash, server| hash::mix(hash ^ server))
    }
}

/// The suspects that a host knows.
///
/// ```
/// use ledgespool::entry::fingerprint::RequestFingerprint;
/// use ledgespool::entry::quarantine::table::QuarantineTable;
/// use ledgespool::timer::Moment;
/// let mut table = QuarantineTable::default();
/// let request = RequestFingerprint(7);
/// for server in 1..=3 {
///     assert!(!table.is_barred(request));
///     table.on_ended(request, server, Moment(0));
/// }
/// assert!(table.is_barred(request));
/// table.on_success(request, Moment(9));
/// assert!(!table.is_barred(request));
/// ```
#[derive(Debug, Default)]
pub struct QuarantineTable {
    entries: rustc_hash::FxHashMap<RequestFingerprint, SuspectEntry>,
    /// Entries that all hosts know, so that a host without any looks no request up.
    told: usize,
}

impl QuarantineTable {
    /// Whether there is any suspect that all hosts know.
    #[must_use]
    pub const fn has_told(&self) -> bool {
        self.told > 0
    }

    /// How a request stands; `None` for one that is no suspect.
    #[must_use]
    pub fn state_of(&self, fingerprint: RequestFingerprint) -> Option<SuspectState> {
        self.entries.get(&fingerprint).map(SuspectEntry::state)
    }

    /// Whether a request must be sent to no server.
    #[must_use]
    pub fn is_barred(&self, fingerprint: RequestFingerprint) -> bool {
        self.state_of(fingerprint) == Some(SuspectState::Barred)
    }

    /// Requests that are sent to no server.
    #[must_use]
    pub fn barred_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.state() == SuspectState::Barred)
            .count()
    }

    /// A server ended under a request.
    pub fn on_ended(
        &mut self,
        fingerprint: RequestFingerprint,
        server: u64,
        now: Moment,
    ) -> SuspectChange {
        let record = SuspectRecord {
            fingerprint,
            ended: vec![server],
            cleared: false,
            trials: 0,
            age_s: 0,
        };
        if !self.merge(&record, now) {
            return SuspectChange::None;
        }
        self.change_of(fingerprint, now)
    }

    /// Another host, or the store, tells of a suspect; returns whether that is news.
    pub fn on_told(&mut self, record: &SuspectRecord, now: Moment) -> bool {
        self.merge(record, now)
    }

    /// A server has answered a request with success.
    pub fn on_success(&mut self, fingerprint: RequestFingerprint, now: Moment) -> SuspectChange {
        match self.state_of(fingerprint) {
            None | Some(SuspectState::Cleared) => SuspectChange::None,
            Some(SuspectState::Counted) => {
                self.entries.remove(&fingerprint);
                SuspectChange::None
            }
            Some(SuspectState::Known | SuspectState::Barred) => {
                if let Some(entry) = self.entries.get_mut(&fingerprint) {
                    entry.clear(now);
                }
                self.change_of(fingerprint, now)
            }
        }
    }

    /// Takes the trial of a barred request, if one is due: it may be sent to one server, and others must know.
    pub fn try_barred(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> Option<SuspectRecord> {
        let stood_beside = self.stood_beside_others(fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        match entry.due_trial(fingerprint, stood_beside, now)? {
            DueTrial::Swift => entry.tried_swiftly = true,
            DueTrial::Regular => entry.trials += 1,
        }
        entry.waits_since = now;
        entry.heard = now;
        Some(entry.record(fingerprint, now))
    }

    /// Whether a server that ended under a request also ended under another one that is barred.
    fn stood_beside_others(&self, fingerprint: RequestFingerprint) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        let others = self
            .entries
            .iter()
            .filter(|(other, _)| **other != fingerprint);
        let mut barred = others.filter(|(_, other)| other.state() == SuspectState::Barred);
        barred.any(|(_, other)| {
            other
                .ended
                .iter()
                .any(|server| entry.ended.contains(server))
        })
    }

    /// A barred request came again: it is remembered for longer.
    pub fn on_refused(&mut self, fingerprint: RequestFingerprint, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.heard = now;
        }
    }

    /// Forgets what nothing was heard of for long.
    pub fn on_tick(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.heard) < entry.life_ms());
        self.count();
    }

    /// All that other hosts must know as well.
    #[must_use]
    pub fn records(&self, now: Moment) -> Vec<SuspectRecord> {
        let told = self.entries.iter().filter(|(_, entry)| entry.is_told());
        told.map(|(fingerprint, entry)| entry.record(*fingerprint, now))
            .collect()
    }

    /// The same in a few bytes.
    #[must_use]
    pub fn digest(&self) -> QuarantineDigest {
        if !self.has_told() {
            return QuarantineDigest::default();
        }
        let told = self.entries.iter().filter(|(_, entry)| entry.is_told());
        let hashes = told.map(|(fingerprint, entry)| entry.hash(*fingerprint));
        QuarantineDigest {
            count: u32::try_from(self.told).unwrap_or(u32::MAX),
            hash: hashes.fold(0, |all, hash| all ^ hash),
        }
    }

    /// Joins what is told to what is known: the servers of both, a success of either, the later word. Any
    /// order of the same records leads to the same.
    fn merge(&mut self, record: &SuspectRecord, now: Moment) -> bool {
        let heard = now.before(u64::from(record.age_s) * 1_000);
        let known = self.entries.get(&record.fingerprint);
        // A success stands against the ends before it; word of them may be late.
        if known.is_some_and(|known| known.cleared) {
            return false;
        }
        let is_new = known.is_none();
        let entry = self
            .entries
            .entry(record.fingerprint)
            .or_insert(SuspectEntry {
                ended: Vec::new(),
                cleared: false,
                heard,
                trials: 0,
                tried_swiftly: false,
                waits_since: now,
            });
        let adds_servers = entry.add(&record.ended);
        if adds_servers || record.trials > entry.trials {
            entry.waits_since = now;
        }
        entry.trials = entry.trials.max(record.trials);
        entry.heard = entry.heard.max(heard);
        if record.cleared {
            entry.clear(heard);
        }
        let is_old = now.since(entry.heard) >= entry.life_ms();
        if is_old {
            self.entries.remove(&record.fingerprint);
        }
        if is_new && !is_old {
            self.make_room();
        }
        self.count();
        !is_old && (adds_servers || record.cleared)
    }

    fn change_of(&mut self, fingerprint: RequestFingerprint, now: Moment) -> SuspectChange {
        match self.entries.get(&fingerprint) {
            Some(entry) if entry.is_told() => SuspectChange::Tell(entry.record(fingerprint, now)),
            Some(_) => SuspectChange::Counted,
            None => SuspectChange::None,
        }
    }

    /// Beyond what is remembered the longest unheard goes, those that only this host counts first.
    fn make_room(&mut self) {
        if self.entries.len() <= MAX_SUSPECTS {
            return;
        }
        let entries = self.entries.iter();
        let oldest = entries.min_by_key(|(_, entry)| (entry.is_told(), entry.heard));
        if let Some((oldest, _)) = oldest {
            let oldest = *oldest;
            self.entries.remove(&oldest);
        }
    }

    fn count(&mut self) {
        let entries = self.entries.values();
        self.told = entries.filter(|entry| entry.is_told()).count();
    }
}
