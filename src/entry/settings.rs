//! The settings of an entry host behind a platform: JSON with comments, validated as a whole.

use std::{collections, net, path, time};

use super::expiry_retention;
use crate::error;
use crate::object_reader;
use crate::source;

/// Default bandwidth of a host's link, in Mbit/s: that of the common slow link.
const DEFAULT_LINK_MBPS: u32 = 100;

/// The settings of one process, read at its start and whenever the file changes.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The host's name.
    pub name: String,
    /// The hall of the host.
    pub hall: String,
    /// The region of the host.
    pub region: String,
    /// The region of each hall.
    pub halls: HallMap,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Where the platform checks whether the host is ready.
    pub readiness_address: net::SocketAddr,
    /// Where callers look up hosts.
    pub lookup_address: net::SocketAddr,
    /// Where other entry hosts fetch this host's state, and where metrics are read.
    pub peer_address: net::SocketAddr,
    /// The UDP port of heartbeats, the same on all hosts.
    pub heartbeat_port: u16,
    /// Peer addresses of some hosts to contact first; they may be out of date.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The platform's object store.
    pub store_address: net::SocketAddr,
    /// The local address from which connections to servers are opened; `None` leaves the choice to
    /// the system. For hosts with several addresses.
    pub server_source_address: Option<net::IpAddr>,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Part of [`Self::memory_bytes`] that is held for callers at most; `None` takes a share.
    pub caller_memory_bytes: Option<u64>,
    /// File descriptors that the process may use.
    pub descriptors: u32,
    /// Callers' connections that are held at most; `None` takes a part of the descriptors.
    pub caller_connections: Option<u32>,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: u32,
    /// The host's share of a core; small hosts get fewer callers.
    pub processor_share: f64,
    /// The limits that apply to all hosts together.
    pub bounds: SharedBounds,
    /// The decisions under load that are enabled.
    pub load: LoadSettings,
}

/// Enables decisions under load. All are off by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSettings {
    /// Hosts exchange the loads that servers report if there are at least this many hosts. With
    /// fewer, each host gets enough answers of each server. `None` turns the exchange off.
    pub exchange_min_hosts: Option<u32>,
    /// Each hall has its own first server for an object if its region has at least this many hosts.
    /// `None` turns it off.
    pub hall_homes_min_hosts: Option<u32>,
    /// Whether patient routes leave slots free for urgent ones.
    pub urgency: bool,
    /// Whether a request that a server answered with a failure may be sent to one other server.
    pub retry_failed_answers: bool,
}

impl EntrySettings {
    /// The addresses of the seeds other than this host.
    pub fn other_seeds(&self) -> impl Iterator<Item = net::IpAddr> {
        let own = self.peer_address.ip();
        let seeds = self.seeds.iter().map(net::SocketAddr::ip);
        seeds.filter(move |seed| *seed != own)
    }

    /// Whether there are seeds other than this host.
    #[must_use]
    pub fn has_other_seeds(&self) -> bool {
        self.other_seeds().next().is_some()
    }
}

/// The region of each hall.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HallMap {
    regions: collections::BTreeMap<String, String>,
}

impl HallMap {
    /// The names of all halls.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.regions.keys().map(String::as_str)
    }

    /// Whether the settings contain `hall`.
    #[must_use]
    pub fn has(&self, hall: &str) -> bool {
        self.regions.contains_key(hall)
    }

    /// The names of all regions, without duplicates.
    #[must_use]
    pub fn regions(&self) -> collections::BTreeSet<&str> {
        self.regions.values().map(String::as_str).collect()
    }

    /// The region of `hall`; empty if the settings do not contain it.
    #[must_use]
    pub fn region_of(&self, hall: &str) -> &str {
        self.regions.get(hall).map_or("", String::as_str)
    }
}

impl FromIterator<(String, String)> for HallMap {
    fn from_iter<T: IntoIterator<Item = (String, String)>>(iter: T) -> Self {
        Self {
            regions: iter.into_iter().collect(),
        }
    }
}

/// Limits that the operators of the platform set for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedBounds {
    /// A host that is told to stop is killed after this time.
    pub stop_grace: time::Duration,
    /// The shortest time for which a leaving server serves after the store has received its
    /// announcement.
    pub leave_time: time::Duration,
    /// The time in which a new configuration must be in force on all hosts.
    pub configuration_time: time::Duration,
    /// The time in which an evacuated hall must get no more requests.
    pub evacuation_time: time::Duration,
    /// The longest time for which a lookup answer may be valid.
    pub time_to_live_max: time::Duration,
    /// Retries as a share of all requests.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: time::Duration,
    /// Retries in a window that are allowed in addition to the share.
    pub retry_slack: f64,
    /// A cold server may get this multiple of its own limit.
    pub cold_factor: f64,
    /// Requests per second that a cold server may get in addition.
    pub cold_slack: f64,
    /// The window over which customers' limits are counted.
    pub limit_window: time::Duration,
    /// How far a customer's limit may be exceeded, as a share of the limit.
    pub limit_excess: f64,
    /// Requests in a window that are allowed in addition.
    pub limit_slack: f64,
    /// The share of a service's requests that a bad version may get while traffic moves to it.
    /// `None` if the platform has no rollouts.
    pub canary_share: Option<f64>,
}

impl SharedBounds {
    /// [`Self::leave_time`] in milliseconds.
    #[must_use]
    pub fn leave_ms(&self) -> u64 {
        u64::try_from(self.leave_time.as_millis()).unwrap_or(u64::MAX)
    }

    /// The shortest time in which changes in the store must be in force, in milliseconds.
    #[must_use]
    pub fn shortest_change_ms(&self) -> u64 {
        let shortest = self.leave_time.min(self.configuration_time);
        let shortest = shortest.min(self.evacuation_time);
        u64::try_from(shortest.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Reads a settings file.
///
/// # Errors
/// `FileUnreadable`, or `Rejected` with every error.
pub fn from_file(file: &path::Path) -> error::Result<EntrySettings> {
    from_source(&source::SourceText::from_file(file)?)
}

/// Reads settings from text.
///
/// # Errors
/// `Rejected` with every error.
pub fn from_source(text: &source::SourceText) -> error::Result<EntrySettings> {
    object_reader::read_whole(text, read_settings)
}

fn read_settings(reader: &mut object_reader::ObjectReader<'_, '_>) -> EntrySettings {
    let heartbeat_port = reader.integer("heartbeat_port", 1..=u32::from(u16::MAX));
    let memory_mb = reader.integer("memory_mb", 1..=u32::MAX);
    let descriptors = reader.integer("descriptors", 1..=u32::MAX);
    EntrySettings {
        name: reader.string("name"),
        hall: reader.string("hall"),
        region: reader.string("region"),
        halls: read_halls(reader),
        caller_address: reader.address("caller_address"),
        readiness_address: reader.address("readiness_address"),
        lookup_address: reader.address("lookup_address"),
        peer_address: reader.address("peer_address"),
        // The range above ends at the largest port.
        heartbeat_port: u16::try_from(heartbeat_port).unwrap_or(u16::MAX),
        seeds: reader.parsed_list("seeds", "IP:PORT"),
        first_start: reader.boolean("first_start"),
        store_address: reader.address("store_address"),
        server_source_address: reader.optional_parsed("server_source_address", "an IP address"),
        memory_bytes: u64::from(memory_mb) << 20,
        caller_memory_bytes: reader
            .optional_integer("caller_memory_mb", 1..=memory_mb)
            .map(|megabytes| u64::from(megabytes) << 20),
        descriptors,
        caller_connections: reader.optional_integer("caller_connections", 1..=descriptors),
        processor_share: reader
            .optional_number("processor_share", 0.0..=1_024.0)
            .unwrap_or(1.0),
        link_mbps: reader
            .optional_number("link_mbps", 1.0..=1e6)
            .map_or(DEFAULT_LINK_MBPS, |link_mbps| link_mbps as u32),
        bounds: read_bounds(reader),
        load: read_load(reader),
    }
}

fn read_load(reader: &mut object_reader::ObjectReader<'_, '_>) -> LoadSettings {
    LoadSettings {
        exchange_min_hosts: reader.optional_integer("load_exchange_min_hosts", 1..=u32::MAX),
        hall_homes_min_hosts: reader.optional_integer("hall_homes_min_hosts", 1..=u32::MAX),
        urgency: reader.optional_boolean("urgency").unwrap_or(false),
        retry_failed_answers: reader
            .optional_boolean("retry_failed_answers")
            .unwrap_or(false),
    }
}

/// Reads the limits. Those that the platform does not set get conservative defaults: at most a
/// tenth of all requests are retries, and cold servers get no more than they declare.
fn read_bounds(reader: &mut object_reader::ObjectReader<'_, '_>) -> SharedBounds {
    const STOP_GRACE: time::Duration = time::Duration::from_secs(5);
    const LEAVE_TIME: time::Duration =
        time::Duration::from_millis(expiry_retention::DEFAULT_LEAVE_TIME_MS);
    const CONFIGURATION_TIME: time::Duration = time::Duration::from_secs(2);
    const EVACUATION_TIME: time::Duration = time::Duration::from_secs(5);
    const TIME_TO_LIVE: time::Duration = time::Duration::from_secs(5);
    const RETRY_WINDOW: time::Duration = time::Duration::from_secs(10);
    const RETRY_RATIO: f64 = 0.1;
    const LIMIT_WINDOW: time::Duration = time::Duration::from_secs(5);
    SharedBounds {
        stop_grace: reader.optional_duration("stop_grace").unwrap_or(STOP_GRACE),
        leave_time: reader.optional_duration("leave_time").unwrap_or(LEAVE_TIME),
        configuration_time: reader
            .optional_duration("configuration_time")
            .unwrap_or(CONFIGURATION_TIME),
        evacuation_time: reader
            .optional_duration("evacuation_time")
            .unwrap_or(EVACUATION_TIME),
        time_to_live_max: reader
            .optional_duration("time_to_live_max")
            .unwrap_or(TIME_TO_LIVE),
        retry_ratio: reader.optional_share("retry_ratio").unwrap_or(RETRY_RATIO),
        retry_window: reader
            .optional_duration("retry_window")
            .unwrap_or(RETRY_WINDOW),
        retry_slack: reader
            .optional_number("retry_slack", 0.0..=1e9)
            .unwrap_or(0.0),
        cold_factor: reader
            .optional_number("cold_factor", 0.0..=1e9)
            .unwrap_or(1.0),
        cold_slack: reader
            .optional_number("cold_slack", 0.0..=1e9)
            .unwrap_or(0.0),
        limit_window: reader
            .optional_duration("limit_window")
            .unwrap_or(LIMIT_WINDOW),
        limit_excess: reader
            .optional_number("limit_excess", 0.0..=1e9)
            .unwrap_or(0.0),
        limit_slack: reader
            .optional_number("limit_slack", 0.0..=1e9)
            .unwrap_or(0.0),
        canary_share: reader.optional_share("canary_share"),
    }
}

fn read_halls(reader: &mut object_reader::ObjectReader<'_, '_>) -> HallMap {
    let halls = reader.list("halls", |hall| (hall.string("name"), hall.string("region")));
    halls.into_iter().collect()
}
