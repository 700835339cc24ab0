//! System tests of budgets: no hall exceeds its limit and shifts stay under their cap, whatever
//! happens to the planner and the platform.

mod common;

use std::time::{Duration, Instant};

use common::{Crowd, CrowdPlan, System, SystemPlan, assert_truthful};
use ledgespool::result_code::RequestOutcome;
use ledgespool::standin::platform::PlatformFaults;

const SLOTS: u32 = 6;

fn crowd(name: &'static str, callers: usize) -> CrowdPlan {
    CrowdPlan {
        name,
        callers,
        work_ms: 20,
        ..CrowdPlan::default()
    }
}

/// Checks the limit of each hall. Each hall has only one server, whose peak of concurrent requests
/// is therefore the peak of the hall over all hosts.
async fn assert_hall_limits_hold(system: &System) {
    for index in 0..system.servers.len() {
        let log = system.server_log(index).await;
        assert!(
            log.peak <= SLOTS,
            "hall {} has {SLOTS} slots, but ran {} requests at once",
            system.servers[index].hall,
            log.peak
        );
        assert_eq!(log.shed, 0, "the server shed requests");
    }
}

fn planner_index(
    system: &System,
    statuses: &[ledgespool::control_message::HostStatus],
) -> Option<usize> {
    let planner = statuses
        .iter()
        .filter_map(|status| status.planner.as_ref())
        .max_by_key(|planner| planner.incarnation)?;
    system
        .hosts
        .iter()
        .position(|host| host.name == planner.name)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn no_hall_exceeds_its_limit_while_planners_crash_and_stall() {
    let mut system = System::start(SystemPlan {
        slots: SLOTS,
        ..SystemPlan::default()
    })
    .await;
    let crowd = Crowd::start(&system.entries(), &crowd("planner", 30));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let stalled = planner_index(&system, &system.statuses().await).expect("a planner");
    system.hosts[stalled].process.signal("-STOP");
    tokio::time::sleep(Duration::from_secs(8)).await;
    system.hosts[stalled].process.signal("-CONT");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let crashed = planner_index(&system, &system.statuses().await).expect("a planner");
    system.hosts[crashed].process.kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    system.restart_host(crashed);
    tokio::time::sleep(Duration::from_secs(4)).await;
    system.wait_ready().await;
    let sent = crowd.stop().await;
    assert!(
        common::count(&sent, Some(RequestOutcome::Answered)) > 500,
        "too few requests were answered"
    );
    assert_hall_limits_hold(&system).await;
    assert_truthful(&sent, &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn no_hall_exceeds_its_limit_while_the_platform_is_down_or_slow() {
    let system = System::start(SystemPlan {
        slots: SLOTS,
        ..SystemPlan::default()
    })
    .await;
    let crowd = Crowd::start(&system.entries(), &crowd("outage", 30));
    for faults in [
        PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        },
        PlatformFaults {
            slow_ms: 700,
            ..PlatformFaults::default()
        },
        PlatformFaults {
            lose_write_answers: 5,
            ..PlatformFaults::default()
        },
        PlatformFaults {
            down: true,
            hosts_lag_ms: 5_000,
            ..PlatformFaults::default()
        },
    ] {
        system.set_platform(faults).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        system.set_platform(PlatformFaults::default()).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let sent = crowd.stop().await;
    assert!(
        common::count(&sent, Some(RequestOutcome::Answered)) > 500,
        "too few requests were answered"
    );
    assert_hall_limits_hold(&system).await;
}

/// Units follow demand: one busy host gets most units of its region.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn units_move_to_the_host_that_needs_them() {
    let system = System::start(SystemPlan {
        slots: SLOTS,
        ..SystemPlan::default()
    })
    .await;
    let busy = system.hosts[0].callers;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut tasks = Vec::new();
    for caller in 0..8 {
        let stop = std::sync::Arc::clone(&stop);
        tasks.push(tokio::spawn(async move {
            let mut client = ledgespool::standin::caller::CallerClient::with_entries(vec![busy]);
            let mut number = 0;
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                number += 1;
                let request = common::read_request(&format!("busy-{caller}-{number}"), 30, 100);
                let result = client.send_to(busy, &request).await;
                tokio::time::sleep(Duration::from_millis(
                    result.retry_after_ms.unwrap_or(0).min(100),
                ))
                .await;
            }
        }));
    }
    common::until("the busy host holds all units but one", || async {
        let status = common::status(busy_control(&system)).await;
        status.is_some_and(|status| {
            status
                .places
                .iter()
                .any(|place| place.place == "desk@perth-1" && place.grant >= SLOTS - 1)
        })
    })
    .await;
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    for task in tasks {
        task.await.expect("a caller");
    }
    assert_hall_limits_hold(&system).await;
}

/// Guards against two hosts using the same unit. Demand alternates between two hosts of a region
/// while long requests run, so that units released by one host are still in use when the other one
/// requests them.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn units_on_the_move_are_never_used_twice() {
    let system = System::start(SystemPlan {
        slots: SLOTS,
        ..SystemPlan::default()
    })
    .await;
    let mut sent = Vec::new();
    for round in 0..6 {
        let entry = system.hosts[round % 2].callers;
        let mut tasks = Vec::new();
        for caller in 0..10 {
            tasks.push(tokio::spawn(async move {
                let mut client =
                    ledgespool::standin::caller::CallerClient::with_entries(vec![entry]);
                let end = Instant::now() + Duration::from_millis(2_500);
                let mut number = 0;
                let mut sent = Vec::new();
                while Instant::now() < end {
                    number += 1;
                    let id = format!("jump-{round}-{caller}-{number}");
                    let result = client
                        .send_to(entry, &common::read_request(&id, 900, 10))
                        .await;
                    sent.push(common::Sent {
                        id,
                        key: None,
                        result,
                    });
                }
                sent
            }));
        }
        for task in tasks {
            sent.extend(task.await.expect("a caller"));
        }
    }
    assert_hall_limits_hold(&system).await;
    assert_truthful(&sent, &system.runs().await);
}

fn busy_control(system: &System) -> std::net::SocketAddr {
    system.hosts[0].control
}

/// All callers of one region fail over when its hosts and servers crash. The moved requests never
/// exceed the cap in the other region, across a change of planners.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn failover_stays_under_the_shift_cap_across_planners() {
    const CAP: u32 = 3;
    let plan = SystemPlan {
        slots: SLOTS,
        hosts: vec!["bunbury-1", "bunbury-1", "perth-1"],
        shift_concurrent: CAP,
        shift_share: 1.0,
        ..SystemPlan::default()
    };
    let mut system = System::start(plan).await;
    let entries = system.entries();
    let plan = CrowdPlan {
        from_region: Some(1),
        extra_query: "&moved=1",
        ..crowd("moved", 12)
    };
    let moved = Crowd::start(&entries, &plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    system.hosts[2].process.kill();
    system.servers[0].process.kill();
    let started = Instant::now();
    let mut stalled = false;
    let mut peak = 0;
    while started.elapsed() < Duration::from_secs(14) {
        let statuses = system.statuses().await;
        let in_use: u32 = statuses
            .iter()
            .flat_map(|status| &status.places)
            .filter(|place| place.place == "desk@perth>bunbury")
            .map(|place| place.grant)
            .sum();
        peak = peak.max(in_use);
        assert!(
            in_use <= CAP,
            "{in_use} units for moved requests are granted, the cap is {CAP}"
        );
        if !stalled && started.elapsed() > Duration::from_secs(7) {
            stalled = true;
            if let Some(planner) = planner_index(&system, &statuses) {
                system.hosts[planner].process.signal("-STOP");
                tokio::time::sleep(Duration::from_secs(1)).await;
                system.hosts[planner].process.signal("-CONT");
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let sent = moved.stop().await;
    assert!(peak > 0, "no request moved");
    assert!(
        common::count(&sent, Some(RequestOutcome::Answered)) > 20,
        "too few callers of the lost region were served"
    );
    let log = system.server_log(1).await;
    assert!(
        log.peak <= CAP,
        "more than {CAP} moved requests at once: {}",
        log.peak
    );
}
