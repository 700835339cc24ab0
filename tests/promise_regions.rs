//! Tests of the loss of hosts and regions, and of long platform outages.

mod common;

use std::time::{Duration, Instant};

use common::{Crowd, CrowdPlan, System, SystemPlan, assert_truthful};
use ledgespool::result_code::RequestOutcome;
use ledgespool::standin::caller;
use ledgespool::standin::platform::PlatformFaults;

async fn lookup_returns(system: &System, queried: usize, name: &str) -> bool {
    let answer = caller::look_up_at(system.hosts[queried].callers, common::SERVICE, None).await;
    answer.is_some_and(|answer| answer.hosts.iter().any(|host| host.name == name))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn lookups_soon_stop_returning_an_entry_host_killed_under_load() {
    let mut system = System::start(SystemPlan {
        slots: 12,
        ..SystemPlan::default()
    })
    .await;
    let crowd = Crowd::start(
        &system.entries(),
        &CrowdPlan {
            name: "killed",
            release_every: 3,
            ..CrowdPlan::default()
        },
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    system.hosts[1].process.kill();
    let killed = Instant::now();
    common::until("no host returns the killed host", || async {
        !lookup_returns(&system, 0, "entry-2").await && !lookup_returns(&system, 2, "entry-2").await
    })
    .await;
    println!(
        "lookups stopped returning the killed host after {:?}",
        killed.elapsed()
    );
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sent = crowd.stop().await;
    let lost = common::count(&sent, None);
    println!("{lost} of {} requests got no response", sent.len());
    assert!(
        common::count(&sent, Some(RequestOutcome::Answered)) > 100,
        "requests were still answered"
    );
    assert_truthful(&sent, &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_region_is_lost_and_returns() {
    let mut system = System::start(SystemPlan {
        slots: 12,
        shift_concurrent: 30,
        ..SystemPlan::default()
    })
    .await;
    let plan = CrowdPlan {
        name: "region",
        callers: 8,
        from_region: Some(2),
        ..CrowdPlan::default()
    };
    let crowd = Crowd::start(&system.entries(), &plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    system.hosts[2].process.kill();
    system.servers[1].process.signal("-STOP");
    common::until(
        "callers of the lost region are served by the other region",
        || async {
            let mut client = caller::CallerClient::with_entries(system.entries());
            let mut request =
                common::read_request(&format!("probe-{}", common::new_key("region")), 1, 100);
            request.from = Some(std::net::IpAddr::from([10, 2, 9, 9]));
            let result = client.send(&request).await;
            result.whole && result.hall.as_deref() == Some("perth-1")
        },
    )
    .await;
    system.servers[1].process.signal("-CONT");
    system.restart_host(2);
    common::until("the region serves its own callers again", || async {
        let mut client = caller::CallerClient::with_entries(system.entries());
        let mut request =
            common::read_request(&format!("back-{}", common::new_key("region")), 1, 100);
        request.from = Some(std::net::IpAddr::from([10, 2, 9, 9]));
        let result = client.send(&request).await;
        result.whole && result.hall.as_deref() == Some("bunbury-1")
    })
    .await;
    let sent = crowd.stop().await;
    for index in 0..2 {
        assert!(
            system.server_log(index).await.peak <= 12,
            "no hall is overloaded"
        );
    }
    assert_truthful(&sent, &system.runs().await);
}

/// The outage of 41 s is more than ten times the longest lease, which is 4 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_platform_outage_of_ten_leases_ends_without_a_thundering_herd() {
    let system = System::start(SystemPlan::default()).await;
    let crowd = Crowd::start(
        &system.entries(),
        &CrowdPlan {
            name: "away",
            callers: 4,
            ..CrowdPlan::default()
        },
    );
    system
        .set_platform(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
    tokio::time::sleep(Duration::from_secs(41)).await;
    let before = system.platform_calls().await;
    system.set_platform(PlatformFaults::default()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = system.platform_calls().await;
    let calls = (after.reads + after.writes + after.watches + after.hosts)
        - (before.reads + before.writes + before.watches + before.hosts);
    println!("calls in the first 2 s after the outage: {calls} of 3 hosts");
    assert!(calls <= 60, "no thundering herd: {before:?} {after:?}");
    let sent = crowd.stop().await;
    let refused = common::count(&sent, Some(RequestOutcome::NotRun));
    assert!(
        common::count(&sent, Some(RequestOutcome::Answered)) > 500,
        "reads were still answered"
    );
    assert_eq!(common::count(&sent, None), 0, "every caller got a response");
    println!("{refused} of {} were refused during the outage", sent.len());
    common::until("claims are accepted again", || async {
        let key = common::new_key("away");
        let mut client = caller::CallerClient::with_entries(system.entries());
        client
            .send(&common::release_request(&format!("r-{key}"), &key, 1))
            .await
            .whole
    })
    .await;
}
