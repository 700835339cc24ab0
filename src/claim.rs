//! Claims: idempotency keys that let a request run at most once.
//!
//! The owning attempt and its outcome are remembered for the service's claim window.

use std::collections;

use xxhash_rust::xxh3;

use crate::error::{self, Error};
use crate::plan;
use crate::result_code::ResultCode;

/// Maximum time by which a key may be ahead of this host's wall clock.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// Time that records are retained beyond the claim window, to tolerate clock skew between hosts.
pub const RETENTION_MARGIN_MS: u64 = 120_000;
const TOKEN_LENGTH: std::ops::RangeInclusive<usize> = 8..=64;

/// A caller's claim key: `UNIXMILLIS-TOKEN`. The timestamp allows an expired key to be refused
/// without a record of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// A 128-bit hash of service and key.
    pub digest: u128,
    /// When the caller created it, in Unix milliseconds.
    pub made_at: u64,
}

impl ClaimKey {
    /// Parses a key that a caller sent for `service`.
    ///
    /// # Errors
    /// `ClaimKeyInvalid` when it is malformed.
    ///
    /// ```
    /// use ledgespool::claim;
    /// let key = claim::ClaimKey::from_text("desk", "1700000000000-certificate-9").unwrap();
    /// assert_eq!(key.made_at, 1_700_000_000_000);
    /// ```
    pub fn from_text(service: &str, text: &str) -> error::Result<Self> {
        let invalid = || {
            Error::with_code(
                ResultCode::ClaimKeyInvalid,
                "expected the form UNIXMILLIS-TOKEN",
            )
        };
        let (made_at, token) = text.split_once('-').ok_or_else(invalid)?;
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        if !TOKEN_LENGTH.contains(&token.len()) || !token.bytes().all(valid) {
            return Err(invalid());
        }
        let made_at = made_at.parse::<u64>().map_err(|_fault| invalid())?;
        let digest = xxh3::xxh3_128(format!("{service}/{text}").as_bytes());
        Ok(Self { digest, made_at })
    }

    /// Checks the key's timestamp against the wall clock and the service's claim window.
    ///
    /// # Errors
    /// `ClaimKeyExpired` when it is older than the window, `ClaimKeyInvalid` when it is more than
    /// [`MAX_CLOCK_SKEW_MS`] in the future.
    pub fn check_time(&self, now_unix_ms: u64, window_ms: u64) -> error::Result<()> {
        if self.made_at > now_unix_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            return Err(Error::with_code(
                ResultCode::ClaimKeyInvalid,
                "the key's timestamp is in the future",
            ));
        }
        if now_unix_ms.saturating_sub(self.made_at) > window_ms {
            return Err(Error::with_code(
                ResultCode::ClaimKeyExpired,
                "the key is older than the claim window",
            ));
        }
        Ok(())
    }

    /// The shard that the key belongs to.
    #[must_use]
    pub fn shard(&self, shards: u16) -> u16 {
        let remainder = self.digest % u128::from(shards.max(1));
        u16::try_from(remainder).unwrap_or_default()
    }
}

/// One attempt to run a claimed request, unique across hosts and their incarnations.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ClaimAttempt {
    /// The entry host's name.
    pub host: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub number: u64,
}

/// The result of claiming a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The attempt owns the key and may be sent once.
    Granted,
    /// An earlier attempt ran; its response had this HTTP status.
    Repeated(u16),
    /// An earlier attempt owns the key; its outcome is not recorded.
    Pending,
}

#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
struct ClaimRecord {
    #[serde(rename = "k")]
    digest: String,
    #[serde(rename = "t")]
    made_at: u64,
    #[serde(rename = "a")]
    attempt: ClaimAttempt,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

/// The claims of one shard, as stored in its object.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClaimShard {
    records: collections::BTreeMap<u128, ClaimRecord>,
}

impl ClaimShard {
    /// Parses a shard's object.
    ///
    /// # Errors
    /// `ObjectInvalid` when it does not parse.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        let invalid = |detail: String| {
            Error::with_code(ResultCode::ObjectInvalid, format!("claims: {detail}"))
        };
        let list: Vec<ClaimRecord> =
            serde_json::from_slice(bytes).map_err(|fault| invalid(fault.to_string()))?;
        let mut shard = Self::default();
        for record in list {
            let digest = u128::from_str_radix(&record.digest, 16)
                .map_err(|fault| invalid(fault.to_string()))?;
            shard.records.insert(digest, record);
        }
        Ok(shard)
    }

    /// Serializes a shard's object.
    ///
    /// # Errors
    /// `ObjectTooLarge` when it exceeds [`plan::MAX_OBJECT_BYTES`].
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let list: Vec<&ClaimRecord> = self.records.values().collect();
        let bytes = serde_json::to_vec(&list).map_err(|fault| {
            Error::with_code(ResultCode::ObjectInvalid, format!("claims: {fault}"))
        })?;
        if bytes.len() > plan::MAX_OBJECT_BYTES {
            return Err(Error::with_code(
                ResultCode::ObjectTooLarge,
                format!("claims: {} bytes", bytes.len()),
            ));
        }
        Ok(bytes)
    }

    /// Number of recorded keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The verdict for an attempt. A key without a record is never granted: the record may have
    /// been pruned, and without one nothing prevents another attempt from running it too.
    #[must_use]
    pub fn verdict(&self, key: &ClaimKey, attempt: &ClaimAttempt) -> ClaimVerdict {
        match self.records.get(&key.digest) {
            Some(ClaimRecord {
                status: Some(status),
                ..
            }) => ClaimVerdict::Repeated(*status),
            Some(record) if record.attempt == *attempt => ClaimVerdict::Granted,
            Some(_) | None => ClaimVerdict::Pending,
        }
    }

    /// Claims a key for an attempt. Claiming again for the same attempt gives the same verdict.
    pub fn claim(&mut self, key: &ClaimKey, attempt: &ClaimAttempt) -> ClaimVerdict {
        if self.records.contains_key(&key.digest) {
            return self.verdict(key, attempt);
        }
        let record = ClaimRecord {
            digest: format!("{:x}", key.digest),
            made_at: key.made_at,
            attempt: attempt.clone(),
            status: None,
        };
        self.records.insert(key.digest, record);
        ClaimVerdict::Granted
    }

    /// Records the response status of the owning attempt. Other attempts are ignored.
    pub fn settle(&mut self, digest: u128, attempt: &ClaimAttempt, status: u16) {
        if let Some(record) = self.records.get_mut(&digest)
            && record.attempt == *attempt
        {
            record.status = Some(status);
        }
    }

    /// Removes the record of a key whose owning attempt provably did not run.
    pub fn release(&mut self, digest: u128, attempt: &ClaimAttempt) {
        let owned = self
            .records
            .get(&digest)
            .is_some_and(|record| record.attempt == *attempt && record.status.is_none());
        if owned {
            self.records.remove(&digest);
        }
    }

    /// Removes keys that every host now refuses as expired.
    pub fn prune(&mut self, now_unix_ms: u64, window_ms: u64) {
        let retention_ms = window_ms.saturating_add(RETENTION_MARGIN_MS);
        self.records
            .retain(|_, record| now_unix_ms.saturating_sub(record.made_at) <= retention_ms);
    }

    /// The attempt that owns a key without a recorded outcome.
    #[must_use]
    pub fn pending_attempt(&self, digest: u128) -> Option<&ClaimAttempt> {
        let record = self.records.get(&digest)?;
        record.status.is_none().then_some(&record.attempt)
    }
}
