//! How requests, answers and look-ups are written on a platform's wire: names and formats only.

use std::time;

use super::customer::KeyDigest;
use super::server::ServerLoad;
use super::server_limit::rate::AdvertisedLimit;
use super::server_word::{LeavingWord, RestWord};

/// What a caller says of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerHead<'a> {
    /// The identity of this attempt.
    pub request_id: Option<&'a str>,
    /// How long the caller still waits.
    pub time_left: Option<time::Duration>,
    /// The object that the request is about.
    pub object_key: Option<&'a str>,
    /// The key that says who asks.
    pub key: CallerKey,
}

/// The key of a caller's request, as a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// It carries none.
    Missing,
    /// It carries one.
    Given(KeyDigest),
    /// It carries several, so that none of them says who asks.
    Several,
}

/// What a backend server's answer claims, beside its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerHead<'a> {
    /// The identity of the request that it answers.
    pub request_id: Option<&'a str>,
    /// Whether it carries the server's signature.
    pub signed: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// The server's load, if it tells.
    pub load: Option<ServerLoad>,
    /// How long the connection may rest before the server closes it, if it tells.
    pub keep_alive: Option<time::Duration>,
    /// The incarnation that answered, if it tells.
    pub server_id: Option<&'a str>,
    /// How much longer the server stays cold, if it tells.
    pub cold: Option<time::Duration>,
    /// The requests a second that the server takes from all hosts together, if it names them.
    pub limit: AdvertisedLimit,
    /// Whether the server says that it leaves.
    pub leaving: LeavingWord,
    /// When the server may be asked again, if it tells.
    pub come_back: RestWord,
}

/// Who asks where to go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LookupQuestion {
    /// The caller's region.
    pub region: String,
    /// The caller's hall.
    pub hall: String,
}

/// A call that callers or the platform make to the host itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostCall {
    /// Is this host ready for callers?
    Readiness,
    /// Which entry hosts are there?
    Lookup(LookupQuestion),
}

/// Reads and writes the platform's own headers and bodies.
pub trait WireProtocol: Clone + 'static {
    /// Reads the head of a caller's request.
    fn read_caller<'a>(&self, headers: &'a http::HeaderMap) -> CallerHead<'a>;

    /// Addresses a forwarded request: how long it may take and which incarnation it is for.
    fn write_forwarded(
        &self,
        headers: &mut http::HeaderMap,
        time_left: time::Duration,
        server_id: &str,
    );

    /// Takes out the caller's key and what it says of its own name, and writes the name of the
    /// customer that it was found to be.
    fn write_customer(&self, headers: &mut http::HeaderMap, customer: Option<&str>);

    /// Reads the head of a server's answer.
    fn read_answer<'a>(&self, headers: &'a http::HeaderMap) -> ServerHead<'a>;

    /// Writes the come-back time of a refusal.
    fn write_come_back(&self, headers: &mut http::HeaderMap, after: time::Duration);

    /// Reads a call to the host itself; `None` for a path that is none.
    fn read_host_call(&self, method: &http::Method, uri: &http::Uri) -> Option<HostCall>;

    /// The body of a look-up's answer, which holds for `time_to_live`.
    fn lookup_body(
        &self,
        addresses: &[std::net::SocketAddr],
        time_to_live: time::Duration,
    ) -> bytes::Bytes;
}
