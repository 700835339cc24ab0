//! Hashes by which all hosts rank servers, hosts and customers identically without coordination.

use xxhash_rust::xxh3;

/// The hash of a name.
#[must_use]
pub fn of_name(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Mixes all bits of a hash: the finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
///
/// ```
/// use ledgespool::entry::hash;
/// assert_ne!(hash::mix(1), hash::mix(2));
/// ```
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a hash to a number greater than 0 and at most 1, from the upper 53 bits after [`mix`].
#[must_use]
pub fn uniform(hash: u64) -> f64 {
    ((mix(hash) >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
}
