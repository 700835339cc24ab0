//! A barred request as it stands in the store, for hosts that start when no other is left.

use super::SUSPECT_LIFE_MS;
use super::message::SuspectRecord;
use crate::entry::fingerprint::RequestFingerprint;

/// An entry in the store is out of date after this time, in milliseconds of the wall clock, which may be seconds
/// wrong: many times as long as hosts themselves remember, since nobody writes it again.
const STORED_LIFE_MS: u64 = 24 * SUSPECT_LIFE_MS;

/// A barred request. Hashes stand there as hexadecimal text, since a store may read numbers as floats.
///
/// ```
/// use ledgespool::entry::fingerprint::RequestFingerprint;
/// use ledgespool::entry::quarantine::{message::SuspectRecord, stored::StoredSuspect};
/// let record = SuspectRecord {
///     fingerprint: RequestFingerprint(u64::MAX),
///     ended: vec![1, 2, u64::MAX],
///     cleared: false,
///     trials: 0,
///     age_s: 0,
/// };
/// let stored = StoredSuspect::from_record(&record, 1_700_000_000_000);
/// assert_eq!(stored.record(), Some(record));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredSuspect {
    /// The request's fingerprint, which is also the name of the object.
    pub fingerprint: String,
    /// Hashes of the servers that ended under it.
    pub ended: Vec<String>,
    /// When it was barred, in Unix milliseconds.
    pub barred_unix_ms: u64,
}

impl StoredSuspect {
    /// The entry of a record that was barred at `unix_ms`.
    #[must_use]
    pub fn from_record(record: &SuspectRecord, unix_ms: u64) -> Self {
        let ended = record.ended.iter();
        Self {
            fingerprint: record.fingerprint.to_string(),
            ended: ended.map(|server| format!("{server:016x}")).collect(),
            barred_unix_ms: unix_ms,
        }
    }

    /// Whether it counts no more.
    #[must_use]
    pub const fn is_out_of_date(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.barred_unix_ms) > STORED_LIFE_MS
    }

    /// What a host that reads it knows; `None` when it is not in the form that hosts write.
    #[must_use]
    pub fn record(&self) -> Option<SuspectRecord> {
        let ended = self.ended.iter().map(|server| number_from_text(server));
        Some(SuspectRecord {
            fingerprint: RequestFingerprint(number_from_text(&self.fingerprint)?),
            ended: ended.collect::<Option<_>>()?,
            cleared: false,
            trials: 0,
            age_s: 0,
        })
    }
}

fn number_from_text(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
