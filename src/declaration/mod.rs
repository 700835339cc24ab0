//! The operators' declaration: services, places, backend servers, client blocks and rules.
//!
//! A declaration is kept in version control as a directory of JSON-with-comments files, which are
//! read together, checked as a whole and applied as one generation.

mod check;
mod diff;
mod read;

use std::{net, time};

pub use check::check_declaration;
pub use diff::{ChangeKind, DeclarationChange, list_changes};
pub use read::{from_dir, from_sources};

use crate::source;

/// Retries for each success, where a service declares none.
const DEFAULT_RETRY_BUDGET: f64 = 0.1;
/// How long claim keys are remembered, where a service declares nothing: 15 minutes.
const DEFAULT_CLAIM_WINDOW_MS: u64 = 15 * 60_000;

/// Everything that operators declare, in the order that the files give it.
#[derive(
    Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct SteeringDeclaration {
    /// Services that callers ask for.
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
    /// Regions, the largest places.
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
    /// Where callers live.
    #[serde(default)]
    pub blocks: Vec<BlockEntry>,
    /// Drains in force.
    #[serde(default)]
    pub drains: Vec<DrainEntry>,
    /// Shifts in force.
    #[serde(default)]
    pub shifts: Vec<ShiftEntry>,
}

/// What the operator weighs first for a service.
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
    /// Unique name; the `SERVICE` of `/call/SERVICE/...`.
    pub name: String,
    /// Request classes; at least one.
    pub classes: Vec<ClassEntry>,
    /// Retries allowed, as a share of successes (0 to 1).
    pub retry_budget: f64,
    /// How long claim keys are remembered, in milliseconds.
    pub claim_window_ms: u64,
    /// What to weigh first.
    #[serde(default)]
    pub priority: SteeringPriority,
    /// Caps for traffic that is moved between regions.
    pub shift: ShiftRule,
    /// How drains of this service go.
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
    /// Weight of one request answered correctly, 1 to 1000; the heavier class is refused later.
    pub weight: u32,
    /// The deadline given to a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Whether running a request twice does no harm.
    pub repeatable: bool,
}

/// Caps for work moved between regions, also at failover.
#[derive(
    Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ShiftRule {
    /// The most moved requests running at once, for each pair of regions.
    pub concurrent: u32,
    /// How fast the moved work may grow: share of `concurrent` per minute (0 to 1).
    pub share_per_minute: f64,
}

/// How a drain goes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct DrainRule {
    /// After this time the drain is reported as slow, in milliseconds; nothing is cut.
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
    /// The region it stands in.
    pub region: String,
    /// The most requests that all services together may run in it at once.
    pub capacity: u32,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A link between two regions, for both directions alike.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// One end.
    pub from: String,
    /// The other end.
    pub to: String,
    /// One-way latency in milliseconds.
    pub latency_ms: u64,
    /// The most requests that may cross it at once, in each direction.
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
    /// The hall it stands in.
    pub hall: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A range of client addresses that is cut into equal client blocks.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct BlockEntry {
    /// The whole range.
    #[schemars(with = "String")]
    pub prefix: ipnet::IpNet,
    /// Prefix length of each client block in it; not shorter than that of `prefix`.
    pub split: u8,
    /// The region that its callers are near.
    pub region: String,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

impl BlockEntry {
    /// A range cut into blocks of `split` bits.
    #[must_use]
    pub fn new(prefix: ipnet::IpNet, split: u8, region: &str) -> Self {
        Self {
            prefix,
            split,
            region: region.to_owned(),
            span: None,
        }
    }

    /// How many client blocks the range holds, at most 2^32.
    #[must_use]
    pub fn block_count(&self) -> u64 {
        let bits = self.split.saturating_sub(self.prefix.prefix_len());
        1_u64 << u32::from(bits).min(32)
    }
}

/// What a drain empties.
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

/// A drain in force.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct DrainEntry {
    /// What kind of thing is drained.
    pub kind: DrainKind,
    /// Its name.
    pub name: String,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

/// A shift in force: callers near `from` are to be served in `to`.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShiftEntry {
    /// The service.
    pub service: String,
    /// The region whose callers move.
    pub from: String,
    /// The region that receives them.
    pub to: String,
    /// The share of the callers' work to move (0 to 1).
    pub share: f64,
    #[serde(skip)]
    pub(crate) span: Option<source::SourceSpan>,
}

impl DrainEntry {
    /// A drain of the named thing.
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
    /// A shift of a share (0 to 1) of the callers' work.
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
    /// A hall that carries `capacity` requests at once.
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
    /// A link that carries `concurrent` requests in each direction.
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
    /// A service with the default retry budget (a tenth) and claim window (15 minutes).
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

    /// Whether a drain of this thing is in force.
    #[must_use]
    pub fn is_draining(&self, kind: DrainKind, name: &str) -> bool {
        self.drains
            .iter()
            .any(|drain| drain.kind == kind && drain.name == name)
    }

    /// Whether a backend server may get new work: neither it nor its hall is drained.
    #[must_use]
    pub fn is_serving(&self, server: &ServerEntry) -> bool {
        !self.is_draining(DrainKind::Server, &server.name)
            && !self.is_draining(DrainKind::Hall, &server.hall)
    }
}
