//! The operators' declaration: services, regions, halls, backend servers, client blocks and rules.
//!
//! A declaration is a directory of JSON-with-comments files under version control. The files are
//! read together, validated as a whole and applied as one generation.

mod check;
mod diff;
mod read;

use std::{net, time};

pub use check::check_declaration;
pub use diff::{ChangeKind, DeclarationChange, list_changes};
pub use read::{from_dir, from_sources};

use crate::source;

/// Default retries for each successful request.
const DEFAULT_RETRY_BUDGET: f64 = 0.1;
/// Default time that claim keys are remembered: 15 minutes.
const DEFAULT_CLAIM_WINDOW_MS: u64 = 15 * 60_000;

/// Everything that operators declare, in the order of the files.
#[derive(
    Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct SteeringDeclaration {
    /// Services that callers request.
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
    /// Regions.
    #[serde(default)]
    pub regions: Vec<RegionEntry>,
    /// Halls within regions.
    #[serde(default)]
    pub halls: Vec<HallEntry>,
    /// Links between regions.
    #[serde(default)]
    pub links: Vec<LinkEntry>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerEntry>,
    /// Ranges of client addresses and their regions.
    #[serde(default)]
    pub blocks: Vec<BlockEntry>,
    /// Active drains.
    #[serde(default)]
    pub drains: Vec<DrainEntry>,
    /// Active shifts.
    #[serde(default)]
    pub shifts: Vec<ShiftEntry>,
}

/// The objective that has priority when choosing a hall for a service.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum SteeringPriority {
    /// Stay in the nearest hall while it has budget.
    #[default]
    Latency,
    /// Keep the halls of the region equally loaded.
    Headroom,
}

/// A service and the rules for its requests.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Unique name: the `SERVICE` in `/call/SERVICE/...`.
    pub name: String,
    /// Request classes; at least one.
    pub classes: Vec<ClassEntry>,
    /// Retries allowed, as a share of successes (0 to 1).
    pub retry_budget: f64,
    /// How long claim keys are remembered, in milliseconds.
    pub claim_window_ms: u64,
    /// The objective that has priority.
    #[serde(default)]
    pub priority: SteeringPriority,
    /// Limits for requests that are moved between regions.
    pub shift: ShiftRule,
    /// Rules for drains of this service.
    pub drain: DrainRule,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// One class of a service's requests.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Unique within the service.
    pub name: String,
    /// Weight of one correctly answered request, 1 to 1000. Classes with a higher weight are refused
    /// later.
    pub weight: u32,
    /// Default deadline of a request in milliseconds.
    pub deadline_ms: u64,
    /// Whether it is safe to run a request more than once.
    pub repeatable: bool,
}

/// Limits for requests moved between regions, which also apply to failover.
#[derive(
    Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ShiftRule {
    /// Maximum number of moved requests in flight, for each pair of regions.
    pub concurrent: u32,
    /// Maximum growth of the moved requests per minute, as a share of `concurrent` (0 to 1).
    pub share_per_minute: f64,
}

/// Rules for drains.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct DrainRule {
    /// Time after which a drain is reported as slow, in milliseconds. Requests are not interrupted.
    pub alarm_ms: u64,
}

/// A region.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Unique name.
    pub name: String,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A hall of a region.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct HallEntry {
    /// Unique name.
    pub name: String,
    /// The region that it is in.
    pub region: String,
    /// Maximum number of requests of all services together that may run in it at once.
    pub capacity: u32,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A link between two regions, with the same properties in both directions.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// One region.
    pub from: String,
    /// The other region.
    pub to: String,
    /// One-way latency in milliseconds.
    pub latency_ms: u64,
    /// Maximum number of requests in flight across it, in each direction.
    pub concurrent: u32,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A backend server.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Unique name.
    pub name: String,
    /// The service that it runs.
    pub service: String,
    /// The hall that it is in.
    pub hall: String,
    /// Its listen address.
    pub address: net::SocketAddr,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A range of client addresses that is divided into client blocks of equal size.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct BlockEntry {
    /// The whole range.
    #[schemars(with = "String")]
    pub prefix: ipnet::IpNet,
    /// Prefix length of each client block; at least that of `prefix`.
    pub split: u8,
    /// The region closest to its callers.
    pub region: String,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

impl BlockEntry {
    /// A range divided into blocks with a prefix of `split` bits.
    #[must_use]
    pub fn new(prefix: ipnet::IpNet, split: u8, region: &str) -> Self {
        Self {
            prefix,
            split,
            region: region.to_owned(),
            span: None,
        }
    }

    /// Number of client blocks in the range, at most 2^32.
    #[must_use]
    pub fn block_count(&self) -> u64 {
        let bits = self.split.saturating_sub(self.prefix.prefix_len());
        1_u64 << u32::from(bits).min(32)
    }
}

/// The kind of target that a drain applies to.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// One backend server.
    Server,
    /// A hall with all its backend servers.
    Hall,
    /// One entry host.
    Host,
}

/// An active drain.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct DrainEntry {
    /// The kind of the target.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// An active shift: callers of region `from` are served in region `to`.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShiftEntry {
    /// The service.
    pub service: String,
    /// The region whose callers are moved.
    pub from: String,
    /// The region that receives them.
    pub to: String,
    /// The share of their requests to move (0 to 1).
    pub share: f64,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

impl DrainEntry {
    /// A drain of the named target.
    #[must_use]
    pub fn with_name(kind: DrainKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_owned(),
            span: None,
        }
    }
}

impl ShiftEntry {
    /// A shift of a share (0 to 1) of the callers' requests.
    #[must_use]
    pub fn with_share(service: &str, from: &str, to: &str, share: f64) -> Self {
        Self {
            service: service.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            share,
            span: None,
        }
    }
}

impl RegionEntry {
    /// A region.
    #[must_use]
    pub fn with_name(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            span: None,
        }
    }
}

impl HallEntry {
    /// A hall that runs at most `capacity` requests at once.
    #[must_use]
    pub fn new(name: &str, region: &str, capacity: u32) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            capacity,
            span: None,
        }
    }
}

impl LinkEntry {
    /// A link that carries at most `concurrent` requests at once in each direction.
    #[must_use]
    pub fn new(from: &str, to: &str, latency_ms: u64, concurrent: u32) -> Self {
        Self {
            from: from.to_owned(),
            to: to.to_owned(),
            latency_ms,
            concurrent,
            span: None,
        }
    }
}

impl ServerEntry {
    /// A backend server.
    #[must_use]
    pub fn new(
        name: &str,
        service: &str,
        hall: &str,
        address: net::SocketAddr,
        slots: u32,
        connections: u32,
    ) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            hall: hall.to_owned(),
            address,
            slots,
            connections,
            span: None,
        }
    }
}

impl ServiceEntry {
    /// A service with the default retry budget (0.1) and claim window (15 minutes).
    #[must_use]
    pub fn new(
        name: &str,
        classes: Vec<ClassEntry>,
        shift: ShiftRule,
        drain: DrainRule,
        priority: SteeringPriority,
    ) -> Self {
        Self {
            name: name.to_owned(),
            classes,
            retry_budget: DEFAULT_RETRY_BUDGET,
            claim_window_ms: DEFAULT_CLAIM_WINDOW_MS,
            priority,
            shift,
            drain,
            span: None,
        }
    }

    /// Finds a class by name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ClassEntry> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The claim window.
    #[must_use]
    pub const fn claim_window(&self) -> time::Duration {
        time::Duration::from_millis(self.claim_window_ms)
    }
}

impl SteeringDeclaration {
    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds a hall by name.
    #[must_use]
    pub fn hall(&self, name: &str) -> Option<&HallEntry> {
        self.halls.iter().find(|hall| hall.name == name)
    }

    /// Whether this target is being drained.
    #[must_use]
    pub fn is_draining(&self, kind: DrainKind, name: &str) -> bool {
        self.drains
            .iter()
            .any(|drain| drain.kind == kind && drain.name == name)
    }

    /// Whether a backend server may get new requests: neither it nor its hall is being drained.
    #[must_use]
    pub fn is_serving(&self, server: &ServerEntry) -> bool {
        !self.is_draining(DrainKind::Server, &server.name)
            && !self.is_draining(DrainKind::Hall, &server.hall)
    }
}
