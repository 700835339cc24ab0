//! The demonstration: a small complete system in one process, on threads and loopback addresses.

use std::{collections, fmt, net, thread, time};

use super::load::{LoadReport, MixEntry};
use super::{RunningStandin, backend, platform};
use crate::config_object::ConfigChange;
use crate::control_message::HostStatus;
use crate::daemon::{self, RunningHost};
use crate::declaration::{
    BlockEntry, ClassEntry, DrainRule, HallEntry, LinkEntry, RegionEntry, ServerEntry,
    ServiceEntry, ShiftRule, SteeringDeclaration, SteeringPriority,
};
use crate::error::{self, Error};
use crate::event_writer::LogStyle;
use crate::result_code::ResultCode;
use crate::rpc::{ChangeParams, ChangeResult, NoParams, method};
use crate::rpc_client::ControlClient;
use crate::settings::HostSettings;
use crate::steering::SteeringPolicy;

const TOKEN: &str = "demo-operator-token";
const PEER_TOKEN: &str = "demo-peer-token";
const REGIONS: [&str; 2] = ["perth", "bunbury"];
const SERVERS_PER_HALL: usize = 2;
const SLOTS: u32 = 9;
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// A running demonstration.
#[derive(Debug)]
pub struct DemoFleet {
    platform: RunningStandin,
    backends: Vec<RunningStandin>,
    hosts: Vec<RunningHost>,
}

const ANY_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

impl DemoFleet {
    /// Starts a platform, two halls of backend servers and `hosts` entry hosts, and waits until
    /// the declaration and grants are active on every host.
    ///
    /// # Errors
    /// When a part cannot be started or is not ready in time.
    pub async fn start(hosts: usize) -> error::Result<Self> {
        let platform = platform::start(ANY_PORT)?;
        let mut backends = Vec::new();
        for _ in 0..REGIONS.len() * SERVERS_PER_HALL {
            backends.push(backend::start(ANY_PORT, SLOTS as usize)?);
        }
        let mut fleet = Self {
            platform,
            backends,
            hosts: Vec::new(),
        };
        for number in 0..hosts {
            let settings = fleet.host_settings(number);
            fleet
                .hosts
                .push(daemon::start(&settings, LogStyle::Silent)?);
        }
        fleet.apply().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    fn host_settings(&self, number: usize) -> HostSettings {
        HostSettings {
            name: format!("entry-{}", number + 1),
            hall: hall_name(REGIONS[number % REGIONS.len()]),
            caller_address: ANY_PORT,
            control_address: ANY_PORT,
            platform_address: self.platform.address(),
            peers: self
                .hosts
                .iter()
                .map(RunningHost::control_address)
                .collect(),
            operator_token: TOKEN.to_owned(),
            peer_token: PEER_TOKEN.to_owned(),
            trusted_forwarders: vec![net::IpAddr::V4(net::Ipv4Addr::LOCALHOST)],
            workers: 1,
            max_body_bytes: 1 << 20,
            max_connections: 4_096,
            metrics_address: None,
            policy: SteeringPolicy::Steered,
            seed: u32::try_from(number).unwrap_or(0) + 1,
        }
    }

    async fn apply(&self) -> error::Result<()> {
        let addresses: Vec<net::SocketAddr> =
            self.backends.iter().map(RunningStandin::address).collect();
        let params = ChangeParams {
            operation: "demo-apply".to_owned(),
            expected_generation: None,
            change: ConfigChange::Replace(Box::new(demo_declaration(&addresses))),
        };
        let first = self
            .hosts
            .first()
            .ok_or_else(|| not_ready("no entry host"))?;
        let client = ControlClient::new(first.control_address(), TOKEN, CALL_TIMEOUT)?;
        let _result: ChangeResult = client.call(method::CHANGE, &params).await?;
        Ok(())
    }

    /// Waits until every host has an active declaration, a grant and a complete member list.
    async fn wait_ready(&self) -> error::Result<()> {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let statuses = self.statuses().await;
            let ready = |status: &HostStatus| status.in_force > 0 && !status.places.is_empty();
            if statuses.len() == self.hosts.len()
                && statuses
                    .iter()
                    .all(|status| ready(status) && status.members.len() == self.hosts.len())
            {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        Err(not_ready("the demonstration's hosts"))
    }

    /// Returns the status of every host that answers.
    pub async fn statuses(&self) -> Vec<HostStatus> {
        let mut statuses = Vec::new();
        for host in &self.hosts {
            if let Ok(client) = ControlClient::new(host.control_address(), TOKEN, CALL_TIMEOUT)
                && let Ok(status) = client
                    .call::<_, HostStatus>(method::STATUS, &NoParams {})
                    .await
            {
                statuses.push(status);
            }
        }
        statuses
    }

    /// Returns the caller addresses of the entry hosts.
    #[must_use]
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        self.hosts.iter().map(RunningHost::caller_address).collect()
    }

    /// Stops everything, entry hosts first.
    pub fn stop(self) {
        for host in &self.hosts {
            host.stop();
        }
        for host in self.hosts {
            host.join();
        }
        for standin in self.backends.into_iter().chain([self.platform]) {
            standin.stop();
        }
        thread::yield_now();
    }
}

/// The result of the demonstration.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct DemoSummary {
    /// The load report.
    pub report: LoadReport,
    /// Minimum unused units in each place, summed over hosts, while the load ran.
    pub least_headroom: collections::BTreeMap<String, u32>,
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.report)?;
        writeln!(f, "\n{:<44}{:>16}", "place", "least headroom")?;
        for (place, units) in &self.least_headroom {
            writeln!(f, "{place:<44}{units:>16}")?;
        }
        Ok(())
    }
}

/// Samples the headroom of each hall for a time and returns the minimum.
pub async fn min_headroom(fleet: &DemoFleet, seconds: f64) -> collections::BTreeMap<String, u32> {
    const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);
    let end = time::Instant::now() + time::Duration::from_secs_f64(seconds.max(0.2));
    let mut minimum: collections::BTreeMap<String, u32> = collections::BTreeMap::new();
    while time::Instant::now() < end {
        let mut sums: collections::BTreeMap<String, u32> = collections::BTreeMap::new();
        for place in fleet
            .statuses()
            .await
            .into_iter()
            .flat_map(|status| status.places)
        {
            if !place.place.contains('>') {
                *sums.entry(place.place).or_default() += place.grant.saturating_sub(place.in_use);
            }
        }
        for (place, units) in sums {
            let entry = minimum.entry(place).or_insert(units);
            *entry = units.min(*entry);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    minimum
}

fn not_ready(subject: &str) -> Error {
    Error::with_code(ResultCode::WaitExpired, subject.to_owned())
}

fn hall_name(region: &str) -> String {
    format!("{region}-1")
}

/// Returns caller addresses in the blocks of both regions, for the load.
#[must_use]
pub fn demo_callers() -> Vec<net::IpAddr> {
    let address = |region: u8, block: u8| net::IpAddr::V4(net::Ipv4Addr::new(10, region, block, 7));
    (0..32)
        .flat_map(|block| [address(1, block), address(2, block)])
        .collect()
}

/// Returns the request mix of the demonstration's load.
#[must_use]
pub fn demo_mix() -> Vec<MixEntry> {
    let entry = |class: &str, weight, parts, work_ms, answer_bytes, claimed| MixEntry {
        service: "pipeline-desk".to_owned(),
        class: class.to_owned(),
        weight,
        parts,
        work_ms,
        answer_bytes,
        deadline_ms: 5_000,
        claimed,
    };
    vec![
        entry("read", 5, 16, 4, 2_000, false),
        entry("artefact", 2, 3, 8, 200_000, false),
        entry("release", 20, 1, 10, 100, true),
    ]
}

fn demo_declaration(servers: &[net::SocketAddr]) -> SteeringDeclaration {
    let class = |name: &str, weight, repeatable| ClassEntry {
        name: name.to_owned(),
        weight,
        deadline_ms: 5_000,
        repeatable,
    };
    let service = ServiceEntry {
        name: "pipeline-desk".to_owned(),
        classes: vec![
            class("read", 5, true),
            class("artefact", 2, true),
            class("release", 20, false),
        ],
        retry_budget: 0.1,
        claim_window_ms: 900_000,
        priority: SteeringPriority::Latency,
        shift: ShiftRule {
            concurrent: 12,
            share_per_minute: 1.0,
        },
        drain: DrainRule { alarm_ms: 60_000 },
        span: None,
    };
    let mut declaration = SteeringDeclaration {
        services: vec![service],
        ..SteeringDeclaration::default()
    };
    for (number, region) in REGIONS.iter().enumerate() {
        add_region(&mut declaration, region, number, servers);
    }
    declaration.links.push(LinkEntry {
        from: REGIONS[0].to_owned(),
        to: REGIONS[1].to_owned(),
        latency_ms: 35,
        concurrent: 12,
        span: None,
    });
    declaration
}

fn add_region(
    declaration: &mut SteeringDeclaration,
    region: &str,
    number: usize,
    servers: &[net::SocketAddr],
) {
    let hall = hall_name(region);
    declaration.regions.push(RegionEntry {
        name: region.to_owned(),
        span: None,
    });
    declaration.halls.push(HallEntry {
        name: hall.clone(),
        region: region.to_owned(),
        capacity: SLOTS * SERVERS_PER_HALL as u32,
        span: None,
    });
    if let Ok(prefix) = format!("10.{}.0.0/16", number + 1).parse() {
        declaration.blocks.push(BlockEntry {
            prefix,
            split: 24,
            region: region.to_owned(),
            span: None,
        });
    }
    for (index, address) in servers
        .iter()
        .skip(number * SERVERS_PER_HALL)
        .take(SERVERS_PER_HALL)
        .enumerate()
    {
        declaration.servers.push(ServerEntry {
            name: format!("desk-{region}-{}", index + 1),
            service: "pipeline-desk".to_owned(),
            hall: hall.clone(),
            address: *address,
            slots: SLOTS,
            connections: 330,
            span: None,
        });
    }
}
