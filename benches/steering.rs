//! Compares the steered policy with the naive one, with separate processes: 3 regions, 6 halls, 24
//! backend servers of 9 slots, 9 entry hosts.
//!
//! `cargo bench --bench steering` runs every case with both policies; `-- CASE` runs one case. Work
//! times are ten times those of the modelled deployment, so that one machine can carry the load. The
//! capacity is 24 x 9 / 0.2 s = 1,080 requests per second.

#![allow(missing_docs, reason = "a bench")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use common::{System, SystemPlan};
use ledgespool::standin::backend::BackendFaults;
use ledgespool::standin::load::{self, LoadPlan, LoadReport, MixEntry};

const WORK_MS: u64 = 200;
const SLOTS: u32 = 9;
const SERVERS_PER_HALL: usize = 4;
const CAPACITY_PER_SECOND: f64 = 24.0 * 9.0 * 1_000.0 / WORK_MS as f64;
const SECONDS: f64 = 12.0;
const SEED: u64 = 7;

/// The fault of the first server.
#[derive(Clone, Copy)]
enum ServerFault {
    None,
    Slow,
    Failing,
    /// Slow, but reports that it is idle.
    FalseLoad,
}

impl ServerFault {
    fn faults(self) -> BackendFaults {
        let slow_ms = 4 * WORK_MS;
        match self {
            Self::None => BackendFaults::default(),
            Self::Slow => BackendFaults {
                slow_ms,
                ..BackendFaults::default()
            },
            Self::Failing => BackendFaults {
                failing: true,
                ..BackendFaults::default()
            },
            Self::FalseLoad => BackendFaults {
                slow_ms,
                claim_load: 1,
                ..BackendFaults::default()
            },
        }
    }
}

struct Case {
    name: &'static str,
    /// The load, as a share of the capacity.
    load: f64,
    fault: ServerFault,
}

const fn case(name: &'static str, load: f64, fault: ServerFault) -> Case {
    Case { name, load, fault }
}

const CASES: [Case; 8] = [
    case("steady-50", 0.5, ServerFault::None),
    case("steady-80", 0.8, ServerFault::None),
    case("steady-95", 0.95, ServerFault::None),
    case("steady-130", 1.3, ServerFault::None),
    case("slow-80", 0.8, ServerFault::Slow),
    case("slow-95", 0.95, ServerFault::Slow),
    case("failing-80", 0.8, ServerFault::Failing),
    case("lying-80", 0.8, ServerFault::FalseLoad),
];

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    println!("capacity {CAPACITY_PER_SECOND:.0}/s, {SECONDS} s a case, seed {SEED}");
    println!(
        "{:<12}{:<9}{:>9}{:>10}{:>10}{:>10}{:>10}{:>9}{:>9}{:>9}",
        "case",
        "version",
        "goodput",
        "read p50",
        "read p99",
        "p99.9 ms",
        "rel. p99",
        "refused",
        "peak/9",
        "errors"
    );
    for case in CASES
        .iter()
        .filter(|case| is_selected(&selected, case.name))
    {
        for policy in POLICIES
            .into_iter()
            .filter(|policy| !is_excluded(&selected, policy))
        {
            let (report, peak) = runtime.block_on(run(case, policy));
            print_row(case, policy, &report, peak);
        }
    }
}

const POLICIES: [&str; 2] = ["naive", "steered"];

/// Returns whether a case runs. Arguments other than policies name cases; without any, all run.
fn is_selected(selected: &[String], case: &str) -> bool {
    let mut cases = selected
        .iter()
        .filter(|name| !POLICIES.contains(&name.as_str()))
        .peekable();
    cases.peek().is_none() || cases.any(|name| name == case)
}

/// Returns whether a policy is excluded because only the other one is named.
fn is_excluded(selected: &[String], policy: &str) -> bool {
    let named = |policy: &str| selected.iter().any(|name| name == policy);
    POLICIES.iter().any(|other| named(other)) && !named(policy)
}

async fn run(case: &Case, policy: &'static str) -> (LoadReport, u32) {
    let system = System::start(firm(policy)).await;
    system.set_server(0, case.fault.faults()).await;
    warm_up(&system).await;
    let plan = plan(&system, case.load, SECONDS);
    let report = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(load::run(&plan))
    });
    let report = report.await.expect("a report");
    let mut peak = 0;
    for index in 0..system.servers.len() {
        peak = peak.max(system.server_log(index).await.peak);
    }
    (report, peak)
}

/// Runs some seconds at half load, so that estimates and grants settle.
async fn warm_up(system: &System) {
    let plan = LoadPlan {
        seed: SEED + 1,
        ..plan(system, 0.5, 3.0)
    };
    let report = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(load::run(&plan))
    });
    report.await.expect("a report");
}

fn firm(policy: &'static str) -> SystemPlan {
    SystemPlan {
        regions: vec![
            ("perth", vec!["perth-1", "perth-2"]),
            ("bunbury", vec!["bunbury-1", "bunbury-2"]),
            ("kalgoorlie", vec!["kalgoorlie-1", "kalgoorlie-2"]),
        ],
        servers_per_hall: SERVERS_PER_HALL,
        slots: SLOTS,
        hosts: vec![
            "perth-1",
            "perth-2",
            "bunbury-1",
            "bunbury-2",
            "kalgoorlie-1",
            "kalgoorlie-2",
            "perth-1",
            "bunbury-1",
            "kalgoorlie-1",
        ],
        shift_concurrent: 36,
        shift_share: 0.5,
        policy,
        ..SystemPlan::default()
    }
}

fn plan(system: &System, share: f64, seconds: f64) -> LoadPlan {
    let entry = |class: &str, weight, parts, deadline_ms, claimed| MixEntry {
        service: common::SERVICE.to_owned(),
        class: class.to_owned(),
        weight,
        parts,
        work_ms: WORK_MS,
        answer_bytes: 500,
        deadline_ms,
        claimed,
    };
    let rate = CAPACITY_PER_SECOND * share;
    LoadPlan {
        entries: system.entries(),
        mix: vec![
            entry("read", 5, 19, 4_000, false),
            entry("release", 20, 1, 15_000, true),
        ],
        rate,
        requests: (rate * seconds) as u64,
        seed: SEED,
        from: (0..60)
            .map(|block| IpAddr::V4(Ipv4Addr::new(10, 1 + block % 3, block, 7)))
            .collect(),
        retry: true,
    }
}

fn print_row(case: &Case, policy: &str, report: &LoadReport, peak: u32) {
    let (read, release) = (&report.classes[0], &report.classes[1]);
    let by_code: BTreeMap<&str, u64> = report
        .codes
        .iter()
        .map(|(code, count)| (code.as_str(), *count))
        .collect();
    let refused = by_code.get("LS2005").copied().unwrap_or(0);
    let errors = read.server_errors
        + release.server_errors
        + read.unknown
        + release.unknown
        + report.wrong();
    println!(
        "{:<12}{:<9}{:>9.4}{:>10.0}{:>10.0}{:>10.0}{:>10.0}{:>9}{:>9}{:>9}",
        case.name,
        policy,
        report.weighted_goodput,
        read.p50_ms,
        read.p99_ms,
        read.p999_ms,
        release.p99_ms,
        refused,
        peak,
        errors
    );
    std::thread::sleep(Duration::from_millis(200));
}
