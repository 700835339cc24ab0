//! Measures how costs grow with size, as a table, JSON or a plot. docs/CAPACITY.md is derived from
//! these slopes.
//!
//! `cargo bench --bench slopes` prints the table; `-- --json` prints JSON; `-- --plot` writes
//! docs/slopes.svg. `-- --hosts 48` sets the maximum number of entry hosts to start as processes.

#![allow(missing_docs, reason = "a bench")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::fs;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{System, SystemPlan};
use ledgespool::block_map::BlockMap;
use ledgespool::budget::PlaceKey;
use ledgespool::declaration::{
    BlockEntry, ClassEntry, DrainRule, HallEntry, LinkEntry, RegionEntry, ServerEntry,
    ServiceEntry, ShiftRule, SteeringDeclaration, SteeringPriority,
};
use ledgespool::lookup::LookupTable;
use ledgespool::member::HostIdentity;
use ledgespool::plan::{HostGrants, PlaceGrant};
use ledgespool::planner::{PlannerAction, PlannerRole, PlannerView};
use ledgespool::platform_call::{ReadResult, WriteResult};
use ledgespool::report::{HostReport, PlaceUsage};
use ledgespool::roster::HostRoster;
use ledgespool::steering::{
    AdmitDecision, AttemptResult, RequestFacts, SteeringPolicy, SteeringRole,
};
use ledgespool::timer::Moment;
use ledgespool::topology::{HallId, SteeringTopology};
use plotters::prelude::*;

/// A measured curve and its linear fit.
#[derive(serde::Serialize)]
struct Curve {
    name: &'static str,
    unit: &'static str,
    over: &'static str,
    points: Vec<(f64, f64)>,
    slope: f64,
    intercept: f64,
    /// Root mean square distance from the fit, as a share of the largest value.
    error: f64,
}

impl Curve {
    fn fit(
        name: &'static str,
        unit: &'static str,
        over: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points
            .iter()
            .map(|(x, y)| (y - slope * x - intercept).powi(2))
            .sum();
        let largest = points
            .iter()
            .map(|point| point.1)
            .fold(f64::MIN_POSITIVE, f64::max);
        let error = (squares / count).sqrt() / largest;
        Self {
            name,
            unit,
            over,
            points,
            slope,
            intercept,
            error,
        }
    }

    fn print(&self) {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.3}"))
            .collect();
        println!(
            "{:<34} {:<8} over {:<8} slope {:>12.6} from {:>9.3}, error {:>5.1} %   [{}]",
            self.name,
            self.unit,
            self.over,
            self.slope,
            self.intercept,
            self.error * 100.0,
            points.join(", ")
        );
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value_after = |name: &str| {
        arguments
            .iter()
            .position(|argument| argument == name)
            .and_then(|at| arguments.get(at + 1))
    };
    let max_hosts = value_after("--hosts")
        .and_then(|hosts| hosts.parse().ok())
        .unwrap_or(48);
    let mut curves = block_curves();
    curves.push(choice_curve());
    curves.extend(planner_curves());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    curves.extend(runtime.block_on(process_curves(max_hosts)));
    if arguments.iter().any(|argument| argument == "--json") {
        println!("{}", serde_json::to_string_pretty(&curves).expect("json"));
    } else {
        curves.iter().for_each(Curve::print);
    }
    if arguments.iter().any(|argument| argument == "--plot") {
        plot(&curves).expect("a plot");
    }
}

fn declaration(halls: usize, servers_per_hall: usize, blocks: u32) -> SteeringDeclaration {
    let service = ServiceEntry::new(
        "desk",
        vec![ClassEntry {
            name: "read".to_owned(),
            weight: 5,
            deadline_ms: 30_000,
            repeatable: true,
        }],
        ShiftRule {
            concurrent: 100,
            share_per_minute: 0.5,
        },
        DrainRule { alarm_ms: 60_000 },
        SteeringPriority::Latency,
    );
    let mut declaration = SteeringDeclaration {
        services: vec![service],
        ..SteeringDeclaration::default()
    };
    for region in 0..3 {
        declaration
            .regions
            .push(RegionEntry::with_name(&format!("region-{region}")));
    }
    for (from, to) in [(0, 1), (0, 2), (1, 2)] {
        declaration.links.push(LinkEntry::new(
            &format!("region-{from}"),
            &format!("region-{to}"),
            35,
            1_000,
        ));
    }
    for hall in 0..halls {
        let name = format!("hall-{hall}");
        declaration.halls.push(HallEntry::new(
            &name,
            &format!("region-{}", hall % 3),
            100_000,
        ));
        for server in 0..servers_per_hall {
            let address = SocketAddr::from(([10, 200, hall as u8, 1], 1_000 + server as u16));
            declaration.servers.push(ServerEntry::new(
                &format!("s-{hall}-{server}"),
                "desk",
                &name,
                address,
                9,
                330,
            ));
        }
    }
    for index in 0..blocks.div_ceil(256) {
        let address = Ipv4Addr::from_bits(0x0a00_0000 + index * 0x1_0000);
        let prefix = ipnet::IpNet::new(IpAddr::V4(address), 16).expect("a prefix");
        declaration.blocks.push(BlockEntry::new(
            prefix,
            24,
            &format!("region-{}", index % 3),
        ));
    }
    declaration
}

fn topology(halls: usize, servers_per_hall: usize, blocks: u32) -> SteeringTopology {
    SteeringTopology::from_declaration(1, &Arc::new(declaration(halls, servers_per_hall, blocks)))
}

/// Returns the median time of several runs, in microseconds.
fn median_us(runs: usize, mut work: impl FnMut()) -> f64 {
    let mut micros: Vec<f64> = (0..runs)
        .map(|_| {
            let began = Instant::now();
            work();
            began.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    micros.sort_by(f64::total_cmp);
    micros[runs / 2]
}

fn block_curves() -> Vec<Curve> {
    let (mut build, mut memory, mut find) = (Vec::new(), Vec::new(), Vec::new());
    for blocks in [1_024, 16_384, 65_536, 131_072, 170_240] {
        let topology = topology(85, 1, blocks);
        let map = BlockMap::from_topology(&topology);
        let count = map.block_count() as f64;
        build.push((
            count,
            median_us(5, || drop(black_box(BlockMap::from_topology(&topology)))) / 1_000.0,
        ));
        memory.push((count, map.memory_bytes() as f64 / 1e6));
        let table = LookupTable::with_map(Arc::new(map), &topology, &[]);
        let mut address = 0x0a00_0007_u32;
        let micros = median_us(5, || {
            for _ in 0..100_000 {
                address = address.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let caller = IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 | (address >> 8)));
                let _answer = black_box(table.find("desk", caller, HallId(0)));
            }
        });
        find.push((count, micros / 100.0));
    }
    vec![
        Curve::fit("block map, whole change", "ms", "blocks", build),
        Curve::fit("block map, memory", "MB", "blocks", memory),
        Curve::fit("look-up, table only", "ns", "blocks", find),
    ]
}

fn choice_curve() -> Curve {
    let mut points = Vec::new();
    for servers in [4, 12, 36, 200, 1_000] {
        let topology = Arc::new(topology(1, servers, 256));
        let mut role = SteeringRole::new("hall-0", SteeringPolicy::Steered, 1);
        role.install_topology(&topology, Moment(0));
        let grants = vec![PlaceGrant {
            key: PlaceKey::with_hall("desk", "hall-0"),
            units: 9 * servers as u32,
            offset: 0,
        }];
        role.install_grants(&HostGrants {
            sequence: 1,
            grants,
        });
        let facts = RequestFacts {
            service: "desk",
            class: "read",
            home: None,
            block_hash: 1,
            time_left_ms: None,
        };
        let micros = median_us(5, || {
            for step in 0..10_000 {
                let now = Moment(20_000 + step / 10);
                let AdmitDecision::Admitted(admission) = role.admit(&facts, now) else {
                    panic!("there is free capacity");
                };
                role.end_attempt(&admission, AttemptResult::Success, Some(1), now.plus(5));
                role.finish(&admission);
            }
        });
        points.push((servers as f64, micros / 10.0));
    }
    Curve::fit("admit, choose and finish", "ns", "servers", points)
}

/// Measures one planner with reports of many hosts in 85 places: the time to make a plan and the size
/// of its object.
fn planner_curves() -> Vec<Curve> {
    let (mut time, mut size) = (Vec::new(), Vec::new());
    let topology = topology(85, 4, 256);
    let roster = HostRoster::default();
    let view = PlannerView {
        topology: &topology,
        roster: &roster,
        rank: Some(0),
    };
    for hosts in [9, 47, 94, 235, 470] {
        let identity = HostIdentity {
            name: "entry-0".to_owned(),
            incarnation: 1,
        };
        let mut role = PlannerRole::new(identity, Moment(0));
        assert_eq!(role.tick(&view, Moment(1)), Some(PlannerAction::Read));
        role.on_read(&ReadResult::Absent, &view, Moment(1));
        role.on_write(WriteResult::Stored { version: 1 }, Moment(1));
        let (mut micros, mut bytes_written) = (Vec::new(), 0);
        for round in 0..6_u64 {
            let now = Moment(1_000 + round * 1_000);
            for host in 0..hosts {
                role.on_report(report(host, round), now);
            }
            let began = Instant::now();
            let action = role.tick(&view, now);
            micros.push(began.elapsed().as_secs_f64() * 1e3);
            if let Some(PlannerAction::Write { bytes, .. }) = action {
                bytes_written = bytes.len();
                role.on_write(WriteResult::Stored { version: 2 + round }, now);
            }
        }
        micros.sort_by(f64::total_cmp);
        time.push((f64::from(hosts), micros[3]));
        size.push((f64::from(hosts), bytes_written as f64 / 1e6));
    }
    vec![
        Curve::fit("planner, one plan of 85 places", "ms", "hosts", time),
        Curve::fit("plan object", "MB", "hosts", size),
    ]
}

fn report(host: u32, round: u64) -> HostReport {
    let usage = |hall: u32| PlaceUsage {
        key: PlaceKey::with_hall("desk", &format!("hall-{}", hall % 85)),
        in_use: 1,
        load_milli: 1_000 + (host * 37 + round as u32 * 11) % 900,
        completed: 10,
        refused: 0,
    };
    HostReport {
        identity: HostIdentity {
            name: format!("entry-{host}"),
            incarnation: 1,
        },
        control_address: SocketAddr::from(([10, 100, (host >> 8) as u8, host as u8], 7_002)),
        hall: format!("hall-{}", host % 85),
        leaving: false,
        installed: round + 1,
        usage: (0..3).map(|step| usage(host + step * 3)).collect(),
    }
}

/// Measures idle entry hosts as processes: processor time and memory of a host, and platform calls.
async fn process_curves(max_hosts: usize) -> Vec<Curve> {
    const SECONDS: u64 = 10;
    const HALLS: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
    let (mut cpu, mut memory, mut calls) = (Vec::new(), Vec::new(), Vec::new());
    for hosts in [3, 6, 12, 24, 48, 96]
        .into_iter()
        .filter(|&hosts| hosts <= max_hosts)
    {
        let system = System::start(SystemPlan {
            regions: vec![
                ("a", vec!["a-1", "a-2"]),
                ("b", vec!["b-1", "b-2"]),
                ("c", vec!["c-1", "c-2"]),
            ],
            slots: 200,
            hosts: (0..hosts).map(|host| HALLS[host % HALLS.len()]).collect(),
            ..SystemPlan::default()
        })
        .await;
        let before = (cpu_seconds(&system), system.platform_calls().await);
        tokio::time::sleep(Duration::from_secs(SECONDS)).await;
        let after = (cpu_seconds(&system), system.platform_calls().await);
        let used = (after.0 - before.0) / hosts as f64 / SECONDS as f64;
        cpu.push((hosts as f64, used * 100.0));
        let total = |calls: ledgespool::standin::platform::PlatformCalls| {
            (calls.reads + calls.writes + calls.watches + calls.hosts) as f64
        };
        calls.push((
            hosts as f64,
            (total(after.1) - total(before.1)) / SECONDS as f64,
        ));
        let resident: f64 = system
            .hosts
            .iter()
            .map(|host| resident_mb(host.process.child.id()))
            .sum();
        memory.push((hosts as f64, resident / hosts as f64));
    }
    vec![
        Curve::fit("control, processor of a host", "% core", "hosts", cpu),
        Curve::fit("memory of a host", "MB", "hosts", memory),
        Curve::fit("platform calls, all hosts", "1/s", "hosts", calls),
    ]
}

fn cpu_seconds(system: &System) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let ticks = |process: u32| -> f64 {
        let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let field = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        field(11) + field(12)
    };
    system
        .hosts
        .iter()
        .map(|host| ticks(host.process.child.id()))
        .sum::<f64>()
        / TICKS_PER_SECOND
}

fn resident_mb(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    pages * 4_096.0 / 1e6
}

fn plot(curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    const COLUMNS: usize = 3;
    let rows = curves.len().div_ceil(COLUMNS);
    let size = (1_080, 260 * u32::try_from(rows)?);
    let root = SVGBackend::new("docs/slopes.svg", size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, curve) in root.split_evenly((rows, COLUMNS)).iter().zip(curves) {
        let max_x = curve.points.iter().map(|point| point.0).fold(1.0, f64::max);
        let max_y = curve
            .points
            .iter()
            .map(|point| point.1)
            .fold(f64::MIN_POSITIVE, f64::max)
            * 1.15;
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{}, {}", curve.name, curve.unit),
                ("sans-serif", 15),
            )
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y)?;
        chart
            .configure_mesh()
            .x_desc(curve.over)
            .x_labels(4)
            .y_labels(5)
            .draw()?;
        let ends = [0.0, max_x].map(|x| (x, curve.slope * x + curve.intercept));
        chart.draw_series(LineSeries::new(ends, &BLUE.mix(0.4)))?;
        chart.draw_series(
            curve
                .points
                .iter()
                .map(|&point| Circle::new(point, 3, BLUE.filled())),
        )?;
    }
    root.present()?;
    Ok(())
}
