//! An accepted configuration becomes active on all hosts within seconds and never regresses.

mod common;

use std::time::{Duration, Instant};

use common::{System, SystemPlan, TOKEN};
use ledgespool::config_object::ConfigChange;
use ledgespool::declaration::{DrainEntry, DrainKind};
use ledgespool::result_code::ResultCode;
use ledgespool::rpc::{ChangeParams, ChangeResult, method};
use ledgespool::rpc_client::{CallFault, ControlClient};
use ledgespool::standin::platform::PlatformFaults;
use ledgespool::standin::proxy::ProxyMode;

async fn drain(
    system: &System,
    host: usize,
    operation: &str,
    undo: bool,
) -> Result<u64, CallFault> {
    let client =
        ControlClient::new(system.hosts[host].control, TOKEN, common::PATIENCE).expect("a client");
    let entry = DrainEntry::with_name(DrainKind::Server, "desk-perth-1-0");
    let change = if undo {
        ConfigChange::Undrain(entry)
    } else {
        ConfigChange::Drain(entry)
    };
    let params = ChangeParams {
        operation: operation.to_owned(),
        expected_generation: None,
        change,
    };
    client
        .call::<_, ChangeResult>(method::CHANGE, &params)
        .await
        .map(|result| result.generation)
}

async fn wait_until_active(system: &System, generation: u64) {
    common::until("the generation is active on all hosts", || async {
        let statuses = system.statuses().await;
        statuses.len() == system.hosts.len()
            && statuses.iter().all(|status| status.in_force >= generation)
    })
    .await;
}

/// Checks until stopped that the active generation of no host ever decreases.
struct GenerationWatch {
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<u32>,
}

impl GenerationWatch {
    fn start(system: &System) -> Self {
        let controls: Vec<_> = system.hosts.iter().map(|host| host.control).collect();
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let stopped = std::sync::Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let mut seen = std::collections::HashMap::new();
            let mut checks = 0;
            while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
                for control in &controls {
                    if let Some(status) = common::status(*control).await {
                        let key = (
                            status.host.identity.name.clone(),
                            status.host.identity.incarnation,
                        );
                        let before = seen.insert(key, status.in_force).unwrap_or(0);
                        assert!(
                            status.in_force >= before,
                            "the generation of {} decreased",
                            status.host.identity.name
                        );
                        checks += 1;
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            checks
        });
        Self { stop, task }
    }

    async fn finish(self) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(self.task.await.expect("no generation decreased") > 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_whose_answer_was_lost_takes_effect_once() {
    let system = System::start(SystemPlan::default()).await;
    let watch = GenerationWatch::start(&system);
    system
        .set_platform(PlatformFaults {
            lose_write_answers: 1,
            ..PlatformFaults::default()
        })
        .await;
    let mut generation = drain(&system, 1, "lost-answer", false).await;
    if generation.is_err() {
        generation = drain(&system, 2, "lost-answer", false).await;
    }
    assert_eq!(generation.expect("accepted"), 2);
    assert_eq!(
        drain(&system, 0, "lost-answer", false)
            .await
            .expect("the same operation"),
        2
    );
    wait_until_active(&system, 2).await;
    watch.finish().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_during_an_outage_is_refused_or_uncertain_and_nothing_is_lost() {
    let system = System::start(SystemPlan::default()).await;
    system
        .set_platform(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
    let refused = drain(&system, 0, "outage", false)
        .await
        .expect_err("the platform is down");
    assert_eq!(refused.code, ResultCode::PlatformUnavailable);
    assert!(refused.retry_after_ms.is_some());
    for status in system.statuses().await {
        assert_eq!(status.in_force, 1, "the active generation stays");
    }
    system.set_platform(PlatformFaults::default()).await;
    assert_eq!(
        drain(&system, 0, "outage", false)
            .await
            .expect("accepted now"),
        2
    );
    wait_until_active(&system, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_restarted_during_an_outage_gets_the_newest_configuration_from_its_peers() {
    let mut system = System::start(SystemPlan::default()).await;
    assert_eq!(
        drain(&system, 0, "before", false).await.expect("accepted"),
        2
    );
    wait_until_active(&system, 2).await;
    system
        .set_platform(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
    system.restart_host(2);
    wait_until_active(&system, 2).await;
    let status = common::status(system.hosts[2].control)
        .await
        .expect("a status");
    assert!(!status.platform_ok, "the platform was down throughout");
}

/// One host reaches neither the platform nor, while frozen, its peers. The others continue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_returning_host_applies_the_newest_configuration_and_spreads_no_old_one() {
    let plan = SystemPlan {
        platform_proxies: true,
        ..SystemPlan::default()
    };
    let system = System::start(plan).await;
    let watch = GenerationWatch::start(&system);
    system.set_proxy(2, ProxyMode::Cut).await;
    system.hosts[2].process.signal("-STOP");
    for number in 0..3 {
        let generation = drain(&system, 0, &format!("cut-{number}"), number % 2 == 1).await;
        assert_eq!(generation.expect("accepted"), 2 + number);
    }
    system.hosts[2].process.signal("-CONT");
    wait_until_active(&system, 4).await;
    let status = common::status(system.hosts[2].control)
        .await
        .expect("a status");
    assert!(!status.platform_ok, "the configuration came from the peers");
    system.set_proxy(2, ProxyMode::Pass).await;
    watch.finish().await;
}

const CHANGES: u64 = 10;

/// The number of platform calls per change depends on the number of halls, not of hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn nine_hosts_in_six_halls_make_few_platform_calls_per_change() {
    let plan = SystemPlan {
        regions: vec![
            ("perth", vec!["perth-1", "perth-2"]),
            ("bunbury", vec!["bunbury-1", "bunbury-2"]),
            ("kalgoorlie", vec!["kalgoorlie-1", "kalgoorlie-2"]),
        ],
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
        ..SystemPlan::default()
    };
    let system = System::start(plan).await;
    let before = system.platform_calls().await;
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        let started = Instant::now();
        let generation = drain(&system, 0, &format!("count-{number}"), number % 2 == 1)
            .await
            .expect("accepted");
        wait_until_active(&system, generation).await;
        slowest = slowest.max(started.elapsed());
    }
    let after = system.platform_calls().await;
    let seconds = began.elapsed().as_secs_f64();
    let watches = (after.watches - before.watches) as f64;
    println!(
        "10 changes in {seconds:.1} s, the slowest active on all hosts after {slowest:?}; reads {}, writes {}, watches {watches}",
        after.reads - before.reads,
        after.writes - before.writes
    );
    // The host that handles a change makes one write and two reads. The planner's own writes depend
    // on time.
    assert!(
        after.reads - before.reads <= CHANGES * 2 + 4,
        "reads: {before:?} {after:?}"
    );
    assert!(
        watches <= 6.0 * (CHANGES as f64 + 2.0 * seconds + 4.0),
        "watches depend on halls: {before:?} {after:?}"
    );
}
