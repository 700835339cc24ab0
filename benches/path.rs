//! Measures look-ups and the overhead of forwarding, with separate processes.
//!
//! `cargo bench --bench path` prints a table; `-- --json` prints JSON. Direct and forwarded requests
//! are compared within one run. Absolute figures hold for one machine only.

#![allow(missing_docs, reason = "a bench")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;
use std::{fs, net};

use common::{System, SystemPlan};
use ledgespool::standin::repeat::{self, RepeatFigures, RepeatPlan};

const SERVICE: &str = common::SERVICE;
const SECONDS: u64 = 3;
const LOOKUP_CALLERS: usize = 16;

/// Client blocks that add up to the target of 170,000.
const TARGET_BLOCKS: &str = "[{ \"prefix\": \"10.0.0.0/8\", \"split\": 24, \"region\": \"perth\" }, { \"prefix\": \"11.0.0.0/9\", \"split\": 24, \"region\": \"bunbury\" }, { \"prefix\": \"12.0.0.0/8\", \"split\": 24, \"region\": \"perth\" }, { \"prefix\": \"13.0.0.0/12\", \"split\": 24, \"region\": \"bunbury\" }, { \"prefix\": \"13.64.0.0/13\", \"split\": 24, \"region\": \"bunbury\" }, { \"prefix\": \"13.128.0.0/20\", \"split\": 24, \"region\": \"bunbury\" }, { \"prefix\": \"127.0.0.0/24\", \"region\": \"perth\" }]";

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let system = runtime.block_on(start());
    let json = std::env::args().any(|argument| argument == "--json");
    let lookups = runtime.block_on(measure_lookups(&system));
    print_figures("look-up, 170,000 blocks", &lookups, json);
    let memory = resident_bytes(system.hosts[0].process.child.id());
    println!("entry host resident memory: {:.1} MB", memory as f64 / 1e6);
    for callers in [1, 16, 256] {
        let direct = run(&server_plan(&system, callers));
        let forwarded = run(&entry_plan(&system, callers));
        print_figures(&format!("direct, {callers} callers"), &direct, json);
        print_figures(&format!("forwarded, {callers} callers"), &forwarded, json);
        println!(
            "  added at the median {} µs, at p99 {} µs; throughput ratio {:.2}",
            forwarded.p50_us.saturating_sub(direct.p50_us),
            forwarded.p99_us.saturating_sub(direct.p99_us),
            forwarded.per_second / direct.per_second
        );
    }
}

async fn start() -> System {
    let plan = SystemPlan {
        slots: 320,
        hosts: vec!["perth-1"],
        regions: vec![("perth", vec!["perth-1"]), ("bunbury", vec!["bunbury-1"])],
        ..SystemPlan::default()
    };
    let mut system = System::start_processes(&plan);
    system.write_declaration();
    let file = system.dir.join("declaration/all.jsonc");
    let text = fs::read_to_string(&file).expect("a declaration");
    let start = text.find("\"blocks\": ").expect("blocks");
    fs::write(
        &file,
        format!("{}\"blocks\": {TARGET_BLOCKS} }}", &text[..start]),
    )
    .expect("written");
    system.apply().await;
    system.wait_ready().await;
    common::until("all units are granted to the only host", || async {
        let statuses = system.statuses().await;
        statuses
            .iter()
            .any(|status| status.places.iter().any(|place| place.grant >= 300))
    })
    .await;
    println!("client blocks: {}", system.statuses().await[0].blocks);
    system
}

async fn measure_lookups(system: &System) -> RepeatFigures {
    let plan = RepeatPlan {
        to: system.hosts[0].callers,
        path: format!("/lookup?service={SERVICE}"),
        headers: Vec::new(),
        callers: LOOKUP_CALLERS,
        threads: 3,
        duration: Duration::from_secs(SECONDS),
    };
    tokio::task::spawn_blocking(move || run(&plan))
        .await
        .expect("a measurement")
}

fn server_plan(system: &System, callers: usize) -> RepeatPlan {
    let address = system
        .servers
        .iter()
        .find(|server| server.hall == "perth-1")
        .expect("a server")
        .address;
    base_plan(address, "/work?ms=0&bytes=200".to_owned(), callers)
}

fn entry_plan(system: &System, callers: usize) -> RepeatPlan {
    let path = format!("/call/{SERVICE}/work?ms=0&bytes=200");
    let mut plan = base_plan(system.hosts[0].callers, path, callers);
    plan.headers
        .push(("x-ledgespool-class".to_owned(), "read".to_owned()));
    plan
}

fn base_plan(to: net::SocketAddr, path: String, callers: usize) -> RepeatPlan {
    RepeatPlan {
        to,
        path,
        headers: Vec::new(),
        callers,
        threads: 2,
        duration: Duration::from_secs(SECONDS),
    }
}

fn run(plan: &RepeatPlan) -> RepeatFigures {
    repeat::run(plan).expect("a measurement")
}

fn print_figures(name: &str, figures: &RepeatFigures, json: bool) {
    if json {
        println!(
            "{{\"name\": \"{name}\", \"figures\": {}}}",
            serde_json::to_string(figures).expect("json")
        );
        return;
    }
    println!(
        "{name:<28}{:>12.0}/s  p50 {:>6} µs  p99 {:>6} µs  failed {}",
        figures.per_second, figures.p50_us, figures.p99_us, figures.failed
    );
}

/// Returns the resident memory of a process in bytes, from `/proc`.
fn resident_bytes(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * 4_096
}
