//! The settings of one entry host, read from JSON with comments. All faults are reported at once.

use std::{net, path};

use crate::error;
use crate::object_reader;
use crate::result_code::ResultCode;
use crate::source;
use crate::steering::SteeringPolicy;

const DEFAULT_BODY_BYTES: u32 = 1 << 20;
const DEFAULT_CONNECTIONS: u32 = 4_096;

/// Settings of `ledgespoold`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// The host's name, unique among entry hosts.
    pub name: String,
    /// The hall that it is in.
    pub hall: String,
    /// Listen address for callers.
    pub caller_address: net::SocketAddr,
    /// Listen address for operators and peers.
    pub control_address: net::SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: net::SocketAddr,
    /// Control addresses of some other entry hosts, used to discover the rest.
    pub peers: Vec<net::SocketAddr>,
    /// The bearer token of operators.
    pub operator_token: String,
    /// The bearer token of entry hosts among each other.
    pub peer_token: String,
    /// Addresses whose `x-ledgespool-caller` header is trusted.
    pub trusted_forwarders: Vec<net::IpAddr>,
    /// Number of threads that serve callers.
    pub workers: u32,
    /// Maximum size of a request body in bytes; bodies are buffered in memory.
    pub max_body_bytes: u32,
    /// Maximum number of connections per listener and thread.
    pub max_connections: u32,
    /// Address that metrics are sent to (statsd over UDP); none by default.
    pub metrics_address: Option<net::SocketAddr>,
    /// The steering policy of the workers; any other than the default is for measurements only.
    pub policy: SteeringPolicy,
    /// Seed of the random number generators; 0 derives it from the clock.
    pub seed: u32,
}

/// Reads a settings file.
///
/// # Errors
/// `FileUnreadable`, or `Rejected` with every fault.
pub fn from_file(file: &path::Path) -> error::Result<HostSettings> {
    from_source(&source::SourceText::from_file(file)?)
}

/// Reads settings from a source text.
///
/// # Errors
/// `Rejected` with every fault.
pub fn from_source(text: &source::SourceText) -> error::Result<HostSettings> {
    object_reader::read_whole(text, read_settings)
}

fn read_settings(reader: &mut object_reader::ObjectReader<'_, '_>) -> HostSettings {
    HostSettings {
        name: reader.string("name"),
        hall: reader.string("hall"),
        caller_address: reader.address("caller_address"),
        control_address: reader.address("control_address"),
        platform_address: reader.address("platform_address"),
        peers: reader.parsed_list("peers", "IP:PORT"),
        operator_token: reader.string("operator_token"),
        peer_token: reader.string("peer_token"),
        trusted_forwarders: reader.parsed_list("trusted_forwarders", "an IP address"),
        workers: reader.optional_integer("workers", 1..=64).unwrap_or(1),
        max_body_bytes: reader
            .optional_integer("max_body_bytes", 0..=(64 << 20))
            .unwrap_or(DEFAULT_BODY_BYTES),
        max_connections: reader
            .optional_integer("max_connections", 1..=100_000)
            .unwrap_or(DEFAULT_CONNECTIONS),
        metrics_address: reader.optional_parsed("metrics_address", "IP:PORT"),
        policy: read_policy(reader),
        seed: reader.optional_integer("seed", 0..=u32::MAX).unwrap_or(0),
    }
}

fn read_policy(reader: &mut object_reader::ObjectReader<'_, '_>) -> SteeringPolicy {
    match reader.optional_string("policy").as_deref() {
        None | Some("steered") => SteeringPolicy::Steered,
        Some("naive") => SteeringPolicy::Naive,
        Some(other) => {
            let message = format!("`policy` is {other:?}, not \"steered\" or \"naive\"");
            reader.fault(ResultCode::ValueOutOfRange, message);
            SteeringPolicy::Steered
        }
    }
}
