//! System tests of shutdowns and drains: a leaving server gets no new requests, a planned stop cuts
//! off no request, and callers are asked to repeat their look-up.

mod common;

use std::time::Duration;

use common::{Crowd, CrowdPlan, Sent, System, SystemPlan, assert_truthful};
use ledgespool::result_code::RequestOutcome;
use ledgespool::roster::{ListedHost, ListedRole, ListedState};
use ledgespool::standin::backend::BackendFaults;
use ledgespool::standin::caller::{self, CallerClient};
use ledgespool::standin::platform::PlatformFaults;
use ledgespool::timer;

/// The test only checks that new requests stop, so the limit leaves time for a busy machine; the
/// documentation states how fast they stop.
const MAX_DELAY_MS: u64 = 6_000;

fn two_servers() -> SystemPlan {
    SystemPlan {
        servers_per_hall: 2,
        slots: 8,
        ..SystemPlan::default()
    }
}

/// The time from `since` to the last request that the server received.
async fn last_request_after(system: &System, server: usize, since: u64) -> u64 {
    let log = system.server_log(server).await;
    let last = log
        .runs
        .iter()
        .map(|run| run.began_unix_ms)
        .max()
        .unwrap_or(0);
    last.saturating_sub(since)
}

/// Keeps sending after the server began to leave, and checks that the server gets no new requests
/// and that no request is cut off.
async fn assert_no_new_requests(
    system: &System,
    crowd: Crowd,
    server: usize,
    since: u64,
    announced_by: &str,
) {
    tokio::time::sleep(Duration::from_millis(MAX_DELAY_MS + 2_000)).await;
    let sent = crowd.stop().await;
    let last = last_request_after(system, server, since).await;
    println!("{announced_by}: last new request {last} ms after the server began to leave");
    assert!(
        last < MAX_DELAY_MS,
        "{announced_by}: new request {last} ms after the server began to leave"
    );
    assert_all_complete_or_not_run(&sent);
}

fn assert_all_complete_or_not_run(sent: &[Sent]) {
    for sent in sent {
        let is_complete_or_not_run =
            sent.result.whole || sent.result.outcome == Some(RequestOutcome::NotRun);
        assert!(
            is_complete_or_not_run,
            "neither complete nor refused as not run: {sent:?}"
        );
    }
    assert!(
        common::count(sent, Some(RequestOutcome::Answered)) > 50,
        "too few requests were answered"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_server_drained_by_an_operator_gets_no_new_requests() {
    let system = System::start(two_servers()).await;
    let crowd = Crowd::start(
        &system.entries(),
        &CrowdPlan {
            name: "operator",
            ..CrowdPlan::default()
        },
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let drained = system.cli(&["drain", "--wait"], &["server", "desk-perth-1-0"]);
    assert!(drained.status.success());
    let since = timer::unix_millis();
    assert_no_new_requests(&system, crowd, 0, since, "operator").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_server_that_announces_its_shutdown_gets_no_new_requests_during_an_outage() {
    let system = System::start(two_servers()).await;
    system
        .set_platform(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
    let crowd = Crowd::start(
        &system.entries(),
        &CrowdPlan {
            name: "self",
            ..CrowdPlan::default()
        },
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    system
        .set_server(
            0,
            BackendFaults {
                leaving: true,
                ..BackendFaults::default()
            },
        )
        .await;
    let since = timer::unix_millis();
    assert_no_new_requests(&system, crowd, 0, since, "the server").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_server_listed_as_leaving_by_the_platform_gets_no_new_requests() {
    let system = System::start(two_servers()).await;
    let crowd = Crowd::start(
        &system.entries(),
        &CrowdPlan {
            name: "listed",
            ..CrowdPlan::default()
        },
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut list: Vec<ListedHost> = system
        .hosts
        .iter()
        .map(|host| ListedHost {
            name: host.name.clone(),
            control_address: host.control,
            role: ListedRole::Entry,
            state: ListedState::Live,
        })
        .collect();
    let server = &system.servers[0];
    list.push(ListedHost {
        name: server.name.clone(),
        control_address: server.address,
        role: ListedRole::Server,
        state: ListedState::Leaving,
    });
    common::put(system.platform, "/admin/hosts", &list).await;
    let since = timer::unix_millis();
    assert_no_new_requests(&system, crowd, 0, since, "the platform").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn draining_a_hall_with_long_answers_cuts_off_no_request() {
    let plan = SystemPlan {
        regions: vec![
            ("perth", vec!["perth-1", "perth-2"]),
            ("bunbury", vec!["bunbury-1"]),
        ],
        hosts: vec!["perth-1", "perth-2", "bunbury-1"],
        slots: 12,
        ..SystemPlan::default()
    };
    let system = System::start(plan).await;
    let long = CrowdPlan {
        name: "hall",
        bytes: 90_000,
        extra_query: "&pace_ms=100",
        callers: 14,
        from_region: Some(1),
        ..CrowdPlan::default()
    };
    let crowd = Crowd::start(&system.entries(), &long);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let drained = system.cli(&["drain", "--wait"], &["hall", "perth-1"]);
    let text = String::from_utf8_lossy(&drained.stdout).into_owned();
    assert!(
        drained.status.success() && text.contains("drained after"),
        "{text}"
    );
    println!("hall: {text}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sent = crowd.stop().await;
    assert_all_complete_or_not_run(&sent);
    assert_truthful(&sent, &system.runs().await);
}

/// Starts a request at a host with an answer that takes several seconds, and waits until it runs. A
/// stopping host must not exit before this answer is complete, however slow the machine is.
async fn start_long_request(
    system: &System,
    index: usize,
) -> tokio::task::JoinHandle<caller::CallerResult> {
    // Fifty chunks with a pause of 100 ms before each.
    const LONG_BYTES: usize = 50 * 16 * 1024;
    let id = format!("held-{index}");
    let mut request = common::read_request(&id, 10, LONG_BYTES);
    request.deadline = Duration::from_mins(1);
    request.extra_query.push_str("&pace_ms=100");
    let address = system.hosts[index].callers;
    let long_request =
        tokio::spawn(async move { CallerClient::default().send_to(address, &request).await });
    common::until("the long request runs", || async {
        let runs = system.runs().await;
        runs.iter().any(|run| run.request_id == id)
    })
    .await;
    long_request
}

/// A stopping host asks its next callers to repeat their look-up.
async fn assert_asked_to_look_up(host: std::net::SocketAddr) {
    let client = tokio::sync::Mutex::new(CallerClient::default());
    common::until("a caller is asked to look up again", || async {
        let request = common::read_request("next", 10, 100);
        let result = client.lock().await.send_to(host, &request).await;
        assert!(
            result.outcome.is_some(),
            "the host stopped early: {result:?}"
        );
        result.look_up_again
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn stopping_entry_hosts_one_by_one_cuts_off_no_request() {
    let mut system = System::start(SystemPlan {
        slots: 12,
        ..SystemPlan::default()
    })
    .await;
    let long = CrowdPlan {
        name: "stop",
        callers: 8,
        bytes: 120_000,
        extra_query: "&pace_ms=100",
        release_every: 4,
        // Callers in the region of the two stopped hosts, each in a client block of its own.
        from_region: Some(1),
        ..CrowdPlan::default()
    };
    let crowd = Crowd::start(&system.entries(), &long);
    for index in 0..2 {
        let long_request = start_long_request(&system, index).await;
        system.hosts[index].process.signal("-TERM");
        assert_asked_to_look_up(system.hosts[index].callers).await;
        let long_request = long_request.await.expect("a caller");
        assert!(
            long_request.whole,
            "a request in flight was cut off: {long_request:?}"
        );
        assert_eq!(
            system.hosts[index].process.wait(),
            Some(0),
            "the host did not stop by itself"
        );
        system.hosts[index].process = common::spawn_host(&system.hosts[index].settings);
        system.wait_ready().await;
    }
    let sent = crowd.stop().await;
    for sent in &sent {
        let cut = sent.result.outcome.is_some()
            && !sent.result.whole
            && sent.result.outcome != Some(RequestOutcome::NotRun);
        assert!(!cut, "cut off: {sent:?}");
        assert!(sent.result.outcome.is_some(), "no answer: {sent:?}");
    }
    assert_truthful(&sent, &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_drained_entry_host_is_not_advertised() {
    let system = System::start(SystemPlan {
        slots: 12,
        ..SystemPlan::default()
    })
    .await;
    let crowd = Crowd::start(
        &system.entries(),
        &CrowdPlan {
            name: "host",
            ..CrowdPlan::default()
        },
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        system
            .cli(&["drain"], &["host", "entry-2"])
            .status
            .success()
    );
    common::until("no look-up names the drained host", || async {
        let mut found = false;
        for host in &system.hosts {
            let answer =
                ledgespool::standin::caller::look_up_at(host.callers, common::SERVICE, None).await;
            found |=
                answer.is_none_or(|answer| answer.hosts.iter().any(|host| host.name == "entry-2"));
        }
        !found
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = common::status(system.hosts[1].control)
        .await
        .expect("a status")
        .in_flight;
    let sent = crowd.stop().await;
    assert_eq!(before, 0, "requests still run on the drained host");
    assert_all_complete_or_not_run(&sent);
}
