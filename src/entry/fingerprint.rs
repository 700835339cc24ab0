//! What makes two requests the same although each has an identity of its own: who asks, and for what.
//!
//! Who asks is the customer, where requests carry keys. The address of a connection is no part of it: the same
//! caller comes from many, and one that ended 43 servers from changing addresses was not recognized by it.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// What a request has in common with its repeats.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The name of the customer that holds its key, never the key; empty where none is needed.
    pub customer: &'a str,
    /// The method.
    pub method: &'a str,
    /// The name of the site, as the caller wrote it.
    pub site: &'a [u8],
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A hash of all that a repeat has in common with the request that it repeats: the same on all hosts.
///
/// ```
/// use ledgespool::entry::fingerprint::{RequestContent, RequestFingerprint};
/// let content = RequestContent {
///     customer: "mill",
///     method: "GET",
///     site: b"desk.example",
///     path: "/read/1",
///     body: b"",
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
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Xxh3::new();
        write_part(&mut hasher, content.customer.as_bytes());
        write_part(&mut hasher, content.method.as_bytes());
        write_part(&mut hasher, &content.site.to_ascii_lowercase());
        write_part(&mut hasher, content.path.as_bytes());
        write_part(&mut hasher, content.body);
        Self(hasher.digest())
    }
}

/// The length goes first, so that no two requests differ only in where one part ends.
fn write_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
