//! A position in the store's history: the epoch and, within it, the revision.
//!
//! A store that returns from an older backup reuses revisions, and its epoch increases. Positions
//! are therefore compared by epoch first. Hosts keep and send positions as one number, in which any
//! position of a later epoch is larger than all positions of earlier ones. When only revisions were
//! compared, a server that wrote its entry after such a return got no requests for as long as the
//! host ran.

/// Bits of the revision: enough for a thousand changes per second over more than a thousand days.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;
/// The highest epoch that a position can hold.
pub const MAX_EPOCH: u64 = (1 << (63 - REVISION_BITS)) - 1;

/// The position of a revision within an epoch.
///
/// ```
/// use ledgespool::entry::store_position;
/// let before = store_position::from_parts(1, 900);
/// let after = store_position::from_parts(2, 7);
/// assert!(after > before);
/// assert_eq!(store_position::epoch_of(after), 2);
/// assert_eq!(store_position::revision_of(after), 7);
/// ```
#[must_use]
pub const fn from_parts(epoch: u64, revision: u64) -> u64 {
    (epoch << REVISION_BITS) | (revision & REVISION_MASK)
}

/// The epoch of a position; 0 if the store reports none.
#[must_use]
pub const fn epoch_of(position: u64) -> u64 {
    position >> REVISION_BITS
}

/// The store revision of a position.
#[must_use]
pub const fn revision_of(position: u64) -> u64 {
    position & REVISION_MASK
}
