//! Counts the bytes that a process holds for others against a limit.

use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};

/// The sum of all bytes that are held.
///
/// ```
/// use ledgespool::byte_account::ByteAccount;
/// let account = ByteAccount::default();
/// let mut held = account.try_hold(60, 100).expect("room");
/// assert!(account.try_hold(50, 100).is_none());
/// assert!(held.try_grow(40, 100));
/// assert_eq!(account.held(), 100);
/// drop(held);
/// assert_eq!(account.held(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ByteAccount {
    // Bytes are given back where the last reference to them ends, which must be `Send`.
    held: sync::Arc<AtomicU64>,
}

impl ByteAccount {
    /// The number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// A value that counts nothing yet.
    #[must_use]
    pub fn hold_none(&self) -> HeldBytes {
        HeldBytes {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Counts `bytes` until the value is dropped; `None` if more than `limit` would be held.
    #[must_use]
    pub fn try_hold(&self, bytes: u64, limit: u64) -> Option<HeldBytes> {
        let mut held = self.hold_none();
        held.try_grow(bytes, limit).then_some(held)
    }
}

/// A number of bytes that are counted until the value is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    account: ByteAccount,
    bytes: u64,
}

impl HeldBytes {
    /// Counts `bytes` more, unless more than `limit` would be held in all; returns whether it does.
    pub fn try_grow(&mut self, bytes: u64, limit: u64) -> bool {
        let held = &self.account.held;
        let grown = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            held.checked_add(bytes).filter(|sum| *sum <= limit)
        });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }

    /// The number of bytes that this value counts.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
