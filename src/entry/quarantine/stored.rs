//! The stored form of a blocked request, for hosts that start when no other host is running.

use super::SUSPECT_TTL_MS;
use super::message::SuspectRecord;
use crate::entry::fingerprint::RequestFingerprint;

/// Age at which a store entry expires, in milliseconds of wall-clock time, which may be off by
/// seconds. It is many times the lifetime in a host's memory because no host refreshes the entry.
const STORED_TTL_MS: u64 = 24 * SUSPECT_TTL_MS;

/// A blocked request. Hashes are written as hexadecimal text because a store may parse numbers as
/// floats.
///
/// ```
/// use ledgespool::entry::fingerprint::RequestFingerprint;
/// use ledgespool::entry::quarantine::{message::SuspectRecord, stored::StoredSuspect};
/// let record = SuspectRecord {
///     fingerprint: RequestFingerprint(u64::MAX),
///     crashed_servers: vec![1, 2, u64::MAX],
///     cleared: false,
///     probes: 0,
///     age_s: 0,
/// };
/// let stored = StoredSuspect::from_record(&record, 1_700_000_000_000);
/// assert_eq!(stored.record(), Some(record));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredSuspect {
    /// The request's fingerprint, which is also the object's name.
    pub fingerprint: String,
    /// Hashes of the servers that crashed while processing it.
    pub ended: Vec<String>,
    /// When it was blocked, in Unix milliseconds.
    pub barred_unix_ms: u64,
}

impl StoredSuspect {
    /// Creates the entry for a record that was blocked at `unix_ms`.
    #[must_use]
    pub fn from_record(record: &SuspectRecord, unix_ms: u64) -> Self {
        let ended = record.crashed_servers.iter();
        Self {
            fingerprint: record.fingerprint.to_string(),
            ended: ended.map(|server| format!("{server:016x}")).collect(),
            barred_unix_ms: unix_ms,
        }
    }

    /// Returns whether the entry has expired.
    #[must_use]
    pub const fn is_expired(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.barred_unix_ms) > STORED_TTL_MS
    }

    /// Decodes the entry; `None` if a hash is not valid hexadecimal text.
    #[must_use]
    pub fn record(&self) -> Option<SuspectRecord> {
        let ended = self.ended.iter().map(|server| parse_hash(server));
        Some(SuspectRecord {
            fingerprint: RequestFingerprint(parse_hash(&self.fingerprint)?),
            crashed_servers: ended.collect::<Option<_>>()?,
            cleared: false,
            probes: 0,
            age_s: 0,
        })
    }
}

fn parse_hash(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
