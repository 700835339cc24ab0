//! What makes two requests the same although each has an identity of its own: who asks, and for what.

use std::{fmt, net};

use xxhash_rust::xxh3::Xxh3;

/// Who sends a request, as far as repeats of it are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSender<'a> {
    /// The customer that holds the key; its name, never the key.
    Customer(&'a str),
    /// The address that the connection comes from, where requests need no key.
    Address(net::IpAddr),
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
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
/// use ledgespool::entry::fingerprint::{RequestContent, RequestFingerprint, RequestSender};
/// let content = RequestContent { method: "GET", site: b"desk.example", path: "/read/1", body: b"" };
/// let mill = RequestFingerprint::of(RequestSender::Customer("mill"), &content);
/// assert_eq!(mill, RequestFingerprint::of(RequestSender::Customer("mill"), &content));
/// assert_ne!(mill, RequestFingerprint::of(RequestSender::Customer("bank"), &content));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(sender: RequestSender<'_>, content: &RequestContent<'_>) -> Self {
        let mut hasher = Xxh3::new();
        match sender {
            RequestSender::Customer(name) => write_part(&mut hasher, name.as_bytes()),
            RequestSender::Address(net::IpAddr::V4(address)) => {
                write_part(&mut hasher, &address.octets());
            }
            RequestSender::Address(net::IpAddr::V6(address)) => {
                write_part(&mut hasher, &address.octets());
            }
        }
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
