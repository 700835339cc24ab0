//! Identifies repeats of a request, which have a different request id each time, by who sends it
//! and what it asks for.
//!
//! The sender is the customer, where requests carry keys. The peer address of the connection is not
//! included: a caller may use many addresses, and one that crashed 43 servers from changing
//! addresses was not recognized by them.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// The parts of a request that its repeats share.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The name of the customer that owns the request's key, never the key itself; empty where no
    /// key is required.
    pub customer: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The host name of the site, in the caller's spelling.
    pub site: &'a [u8],
    /// The path and query.
    pub path: &'a str,
    /// The complete body, in parts of any length.
    pub body: &'a [&'a [u8]],
}

/// A hash of the parts that a request shares with its repeats. All hosts compute the same value.
///
/// ```
/// use ledgespool::entry::fingerprint::{RequestContent, RequestFingerprint};
/// let content = RequestContent {
///     customer: "mill",
///     method: "GET",
///     site: b"desk.example",
///     path: "/read/1",
///     body: &[],
/// };
/// let other = RequestContent { customer: "bank", ..content };
/// assert_eq!(RequestFingerprint::of(&content), RequestFingerprint::of(&content));
/// assert_ne!(RequestFingerprint::of(&content), RequestFingerprint::of(&other));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Xxh3::new();
        hash_field(&mut hasher, content.customer.as_bytes());
        hash_field(&mut hasher, content.method.as_bytes());
        hash_field(&mut hasher, &content.site.to_ascii_lowercase());
        hash_field(&mut hasher, content.path.as_bytes());
        hash_parts(&mut hasher, content.body);
        Self(hasher.digest())
    }
}

/// Hashes the length before the bytes, so that moving bytes from one field to the next changes the
/// fingerprint.
fn hash_field(hasher: &mut Xxh3, field: &[u8]) {
    hash_parts(hasher, &[field]);
}

fn hash_parts(hasher: &mut Xxh3, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    hasher.update(&(length as u64).to_le_bytes());
    for part in parts {
        hasher.update(part);
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
