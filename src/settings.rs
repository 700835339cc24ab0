//! The settings of one entry host: JSON with comments, checked as a whole.

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
    /// The hall that it stands in.
    pub hall: String,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Where operators and peers reach it.
    pub control_address: net::SocketAddr,
    /// The platform's object API.
    pub platform_address: net::SocketAddr,
    /// Control addresses of some other entry hosts, to meet the rest through.
    pub peers: Vec<net::SocketAddr>,
    /// The token that operators present.
    pub operator_token: String,
    /// The token that entry hosts present to each other.
    pub peer_token: String,
    /// Addresses whose `x-ledgespool-caller` header is believed.
    pub trusted_forwarders: Vec<net::IpAddr>,
    /// Threads that serve callers.
    pub workers: u32,
    /// The largest request body in bytes; it is held in memory.
    pub max_body_bytes: u32,
    /// Connections that each listener accepts per thread.
    pub max_connections: u32,
    /// Where metrics go (statsd over UDP); none by default.
    pub metrics_address: Option<net::SocketAddr>,
    /// Which decisions the workers take; anything but the default is for measurements.
    pub policy: SteeringPolicy,
    /// Seed of all random choices; 0 takes one from the clock.
    pub seed: u32,
}

/// Reads a settings file.
///
/// # Errors
/// `FileUnreadable`, or `Rejected` with every fault.
pub fn from_file(file: &path::Path) -> error::Result<HostSettings> {
    from_source(&source::SourceText::from_file(file)?)
}

/// Reads settings from text.
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
