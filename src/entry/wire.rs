//! The interface to a platform's wire format: header names and body formats of requests, answers
//! and lookups.

use std::time;

use super::customer::KeyDigest;
use super::server::ServerLoad;
use super::server_header::{BackoffHeader, LeavingHeader};
use super::server_limit::rate::AdvertisedLimit;

/// What the headers of a caller's request state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerHead<'a> {
    /// The request id; each retry by the caller has its own.
    pub request_id: Option<&'a str>,
    /// How much longer the caller waits.
    pub time_left: Option<time::Duration>,
    /// The key of the requested object.
    pub object_key: Option<&'a str>,
    /// The key that identifies the customer.
    pub key: CallerKey,
}

/// The key of a caller's request, as a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// The request carries no key.
    Missing,
    /// The request carries one key.
    Given(KeyDigest),
    /// The request carries more than one key, so that the customer is ambiguous.
    Multiple,
}

/// What the headers of a backend server's answer state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerHead<'a> {
    /// The id of the request that is being answered.
    pub request_id: Option<&'a str>,
    /// Whether the answer carries the server's signature.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// The server's load, if stated.
    pub load: Option<ServerLoad>,
    /// How long the connection may be idle before the server closes it, if stated.
    pub keep_alive: Option<time::Duration>,
    /// The id of the server that answered, if stated.
    pub server_id: Option<&'a str>,
    /// How much longer the server stays cold, if stated.
    pub cold: Option<time::Duration>,
    /// The limit that the server advertises: requests per second from all hosts together.
    pub limit: AdvertisedLimit,
    /// Whether the server states that it is leaving.
    pub leaving: LeavingHeader,
    /// When the server accepts requests again, if stated.
    pub retry_after: BackoffHeader,
}

/// A caller's lookup of entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LookupRequest {
    /// The caller's region.
    pub region: String,
    /// The caller's hall.
    pub hall: String,
}

/// A request to the host itself, from callers or the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostCall {
    /// Asks whether this host is ready for callers.
    Readiness,
    /// Asks for the addresses of entry hosts.
    Lookup(LookupRequest),
}

/// Reads and writes the platform's headers and bodies.
pub trait WireProtocol: Clone + 'static {
    /// Reads the headers of a caller's request.
    fn read_caller<'a>(&self, headers: &'a http::HeaderMap) -> CallerHead<'a>;

    /// Writes the remaining time and the id of the target server into a forwarded request.
    fn write_forwarded(
        &self,
        headers: &mut http::HeaderMap,
        time_left: time::Duration,
        server_id: &str,
    );

    /// Removes the caller's key and any customer name that it sent, and writes the name of the
    /// identified customer.
    fn write_customer(&self, headers: &mut http::HeaderMap, customer: Option<&str>);

    /// Reads the headers of a server's answer.
    fn read_answer<'a>(&self, headers: &'a http::HeaderMap) -> ServerHead<'a>;

    /// Writes the retry time of a refusal.
    fn write_retry_after(&self, headers: &mut http::HeaderMap, after: time::Duration);

    /// Reads a request to the host itself; `None` for an unknown path.
    fn read_host_call(&self, method: &http::Method, uri: &http::Uri) -> Option<HostCall>;

    /// The body of a lookup response that is valid for `time_to_live`.
    fn lookup_body(
        &self,
        addresses: &[std::net::SocketAddr],
        time_to_live: time::Duration,
    ) -> bytes::Bytes;
}
