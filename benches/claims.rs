//! Compares two claim strategies by platform calls per claim and added latency: a conditional create
//! for each request, and group commits by the shard owners. The platform stand-in takes 3 ms per call.
//!
//! `cargo bench --bench claims`

#![allow(missing_docs, reason = "a bench")]

#[path = "../tests/common/mod.rs"]
mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{System, SystemPlan};
use ledgespool::platform_call::{ObjectName, PlatformCall, PlatformReply, WriteResult};
use ledgespool::platform_client::PlatformClient;
use ledgespool::standin::load::{self, LoadPlan, MixEntry};
use ledgespool::standin::platform::{PlatformCalls, PlatformFaults};

const RATES: [f64; 3] = [10.0, 100.0, 400.0];
const SECONDS: f64 = 6.0;
const PLATFORM_MS: u64 = 3;
const SEED: u64 = 3;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    println!(
        "{:<26}{:>8}{:>18}{:>12}{:>12}",
        "strategy", "rate/s", "calls per claim", "p50 ms", "p99 ms"
    );
    for rate in RATES {
        let system = runtime.block_on(start());
        let idle = runtime.block_on(idle_calls(&system));
        let (calls, p50, p99) = runtime.block_on(create_each(&system, rate, idle));
        print_row("create for each request", rate, calls, p50, p99);
        let (calls, p50, p99) = runtime.block_on(group_commit(&system, rate, idle));
        print_row("group commit", rate, calls, p50, p99);
    }
}

fn print_row(strategy: &str, rate: f64, calls: f64, p50: f64, p99: f64) {
    println!("{strategy:<26}{rate:>8.0}{calls:>18.2}{p50:>12.1}{p99:>12.1}");
}

async fn start() -> System {
    let system = System::start(SystemPlan {
        slots: 200,
        ..SystemPlan::default()
    })
    .await;
    system
        .set_platform(PlatformFaults {
            slow_ms: PLATFORM_MS,
            ..PlatformFaults::default()
        })
        .await;
    system
}

fn total(calls: PlatformCalls) -> f64 {
    (calls.reads + calls.writes) as f64
}

/// Returns the platform reads and writes per second without any claims.
async fn idle_calls(system: &System) -> f64 {
    let before = total(system.platform_calls().await);
    tokio::time::sleep(Duration::from_secs(3)).await;
    (total(system.platform_calls().await) - before) / 3.0
}

/// Returns the platform calls per claim, without the calls of the idle system.
async fn calls_per_claim(
    system: &System,
    before: f64,
    began: Instant,
    idle: f64,
    claims: f64,
) -> f64 {
    let after = total(system.platform_calls().await);
    (after - before - idle * began.elapsed().as_secs_f64()) / claims
}

async fn create_each(system: &System, rate: f64, idle: f64) -> (f64, f64, f64) {
    let client = Arc::new(PlatformClient::with_address(system.platform));
    let before = total(system.platform_calls().await);
    let began = Instant::now();
    let count = (rate * SECONDS) as u64;
    let local = tokio::task::LocalSet::new();
    let mut millis = local
        .run_until(async {
            let mut tasks = Vec::new();
            for number in 0..count {
                let at = began + Duration::from_secs_f64(number as f64 / rate);
                tokio::time::sleep_until(at.into()).await;
                let client = Arc::clone(&client);
                tasks.push(tokio::task::spawn_local(async move {
                    create_and_settle(&client, number).await
                }));
            }
            let mut millis = Vec::new();
            for task in tasks {
                millis.push(task.await.expect("a claim"));
            }
            millis
        })
        .await;
    millis.sort_by(f64::total_cmp);
    let calls = calls_per_claim(system, before, began, idle, count as f64).await;
    (
        calls,
        millis[millis.len() / 2],
        millis[millis.len() * 99 / 100],
    )
}

/// Creates an object for a claim, then records its outcome. Returns the time of the create in
/// milliseconds.
async fn create_and_settle(client: &PlatformClient, number: u64) -> f64 {
    let object = ObjectName {
        kind: "single",
        name: format!("claim-{number}-{}", ledgespool::timer::unix_millis()),
    };
    let create = PlatformCall::Write {
        object: object.clone(),
        bytes: b"{}".to_vec(),
        expected: None,
    };
    let sent_at = Instant::now();
    let PlatformReply::Write(WriteResult::Stored { version }) = client.call(&create).await else {
        panic!("a new object is created");
    };
    let millis = sent_at.elapsed().as_secs_f64() * 1_000.0;
    let settle = PlatformCall::Write {
        object,
        bytes: b"{\"status\":200}".to_vec(),
        expected: Some(version),
    };
    client.call(&settle).await;
    millis
}

async fn group_commit(system: &System, rate: f64, idle: f64) -> (f64, f64, f64) {
    let entry = |class: &str, claimed| MixEntry {
        service: common::SERVICE.to_owned(),
        class: class.to_owned(),
        weight: 1,
        parts: 1,
        work_ms: 0,
        answer_bytes: 10,
        deadline_ms: 10_000,
        claimed,
    };
    let plan = |mix| LoadPlan {
        entries: system.entries(),
        mix,
        rate,
        requests: (rate * SECONDS) as u64,
        seed: SEED,
        from: Vec::new(),
        retry: true,
    };
    let (read, release) = (
        plan(vec![entry("read", false)]),
        plan(vec![entry("release", true)]),
    );
    let unclaimed = run(read).await;
    let before = total(system.platform_calls().await);
    let began = Instant::now();
    let claimed = run(release).await;
    let calls = calls_per_claim(
        system,
        before,
        began,
        idle,
        claimed.classes[0].in_time as f64,
    )
    .await;
    let added = |with: f64, without: f64| (with - without).max(0.0);
    let (with, without) = (&claimed.classes[0], &unclaimed.classes[0]);
    (
        calls,
        added(with.p50_ms, without.p50_ms),
        added(with.p99_ms, without.p99_ms),
    )
}

async fn run(plan: LoadPlan) -> load::LoadReport {
    let report = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(load::run(&plan))
    });
    report.await.expect("a report")
}
