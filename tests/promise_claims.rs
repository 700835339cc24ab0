//! System tests of claims: a request runs at most once, and *not run* really means not run, under
//! repeated keys, crashes, stalled hosts, lost answers and outages of the platform.

mod common;

use std::time::Duration;

use common::{
    Crowd, CrowdPlan, Sent, System, SystemPlan, assert_truthful, new_key, release_request,
};
use ledgespool::result_code::{RequestOutcome, ResultCode};
use ledgespool::standin::caller::CallerClient;
use ledgespool::standin::platform::PlatformFaults;
use ledgespool::standin::proxy::ProxyMode;

async fn send(system: &System, host: usize, id: &str, key: &str, work_ms: u64) -> Sent {
    let mut caller = CallerClient::with_entries(system.entries());
    let request = release_request(id, key, work_ms);
    let result = caller.send_to(system.hosts[host].callers, &request).await;
    Sent {
        id: id.to_owned(),
        key: Some(key.to_owned()),
        result,
    }
}

#[tokio::test]
async fn a_repeated_claim_gets_the_recorded_outcome() {
    let system = System::start(SystemPlan::default()).await;
    let key = new_key("repeat");
    let first = send(&system, 0, "repeat-1", &key, 5).await;
    common::assert_whole(&first.result);
    common::until("the outcome is recorded", || async {
        let again = send(&system, 1, &format!("repeat-{}", new_key("again")), &key, 5).await;
        again.result.code == Some(ResultCode::ClaimRepeated)
    })
    .await;
    assert_truthful(&[first], &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_key_at_once_at_every_host_runs_once() {
    let system = System::start(SystemPlan::default()).await;
    let mut all = Vec::new();
    for number in 0..20 {
        let key = new_key(&format!("at-once-{number}"));
        let ids: Vec<String> = (0..3)
            .map(|host| format!("at-once-{number}-{host}"))
            .collect();
        let (a, b, c) = tokio::join!(
            send(&system, 0, &ids[0], &key, 5),
            send(&system, 1, &ids[1], &key, 5),
            send(&system, 2, &ids[2], &key, 5)
        );
        let whole = [&a, &b, &c].iter().filter(|sent| sent.result.whole).count();
        assert_eq!(
            whole, 1,
            "exactly one of three must be answered: {a:?} {b:?} {c:?}"
        );
        all.extend([a, b, c]);
    }
    assert_truthful(&all, &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_in_flight_at_a_crashed_host_is_not_run_again() {
    let mut system = System::start(SystemPlan::default()).await;
    let key = new_key("death");
    let entry = system.hosts[0].callers;
    let request = release_request("death-1", &key, 3_000);
    let sending = tokio::spawn(async move {
        let mut caller = CallerClient::with_entries(vec![entry]);
        caller.send_to(entry, &request).await
    });
    common::until("the request runs", || async {
        !system.runs().await.is_empty()
    })
    .await;
    system.hosts[0].process.kill();
    let first = sending.await.expect("a result");
    assert_eq!(first.outcome, None, "its host crashed");
    let mut all = Vec::new();
    let end = std::time::Instant::now() + common::PATIENCE;
    // The crashed host may own the key's shard. Claims are unavailable until the other hosts have
    // detected the crash.
    while std::time::Instant::now() < end {
        let number = all.len();
        let id = format!("death-again-{number}");
        let again = send(&system, 1 + number % 2, &id, &key, 5).await;
        assert!(!again.result.whole, "{again:?}");
        let pending = again.result.code == Some(ResultCode::ClaimPending);
        all.push(again);
        if pending {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let last = all.last().and_then(|sent| sent.result.code);
    assert_eq!(last, Some(ResultCode::ClaimPending), "{all:?}");
    assert_truthful(&all, &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn owners_stalled_past_their_lease_change_nothing_when_they_resume() {
    let system = System::start(SystemPlan::default()).await;
    let plan = CrowdPlan {
        name: "freeze",
        callers: 8,
        release_every: 1,
        work_ms: 3,
        ..CrowdPlan::default()
    };
    let crowd = Crowd::start(&system.entries()[1..], &plan);
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        system.hosts[0].process.signal("-STOP");
        tokio::time::sleep(Duration::from_secs(7)).await;
        system.hosts[0].process.signal("-CONT");
    }
    let mut sent = crowd.stop().await;
    let repeats: Vec<(String, String)> = sent
        .iter()
        .filter_map(|sent| Some((sent.id.clone(), sent.key.clone()?)))
        .take(200)
        .collect();
    for (index, (id, key)) in repeats.iter().enumerate() {
        sent.push(send(&system, index % 3, &format!("{id}-again"), key, 1).await);
    }
    assert!(
        common::count(&sent, Some(RequestOutcome::Answered)) > 50,
        "too few requests were answered"
    );
    assert_truthful(&sent, &system.runs().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn lost_answers_to_claims_that_took_effect_run_nothing_twice() {
    let system = System::start(SystemPlan::default()).await;
    let plan = CrowdPlan {
        name: "lost",
        callers: 6,
        release_every: 1,
        work_ms: 2,
        ..CrowdPlan::default()
    };
    let crowd = Crowd::start(&system.entries(), &plan);
    for _ in 0..4 {
        system
            .set_platform(PlatformFaults {
                lose_write_answers: 3,
                ..PlatformFaults::default()
            })
            .await;
        tokio::time::sleep(Duration::from_millis(1_200)).await;
    }
    let mut sent = crowd.stop().await;
    let refused: Vec<(String, String)> = sent
        .iter()
        .filter(|sent| sent.result.outcome == Some(RequestOutcome::NotRun))
        .filter_map(|sent| Some((sent.id.clone(), sent.key.clone()?)))
        .collect();
    for (index, (id, key)) in refused.iter().enumerate() {
        sent.push(send(&system, index % 3, &format!("{id}-again"), key, 1).await);
    }
    assert_truthful(&sent, &system.runs().await);
}

#[tokio::test]
async fn while_the_platform_is_down_claims_are_refused_and_reads_are_served() {
    let system = System::start(SystemPlan::default()).await;
    system
        .set_platform(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
    let mut all = Vec::new();
    let key = new_key("outage");
    for number in 0..6 {
        let sent = send(&system, number % 3, &format!("outage-{number}"), &key, 1).await;
        assert_eq!(
            sent.result.code,
            Some(ResultCode::ClaimsUnavailable),
            "{sent:?}"
        );
        assert!(
            sent.result.retry_after_ms.is_some(),
            "the refusal has no retry time"
        );
        all.push(sent);
        let mut caller = CallerClient::with_entries(system.entries());
        common::assert_whole(
            &caller
                .send(&common::read_request(
                    &format!("outage-read-{number}"),
                    1,
                    100,
                ))
                .await,
        );
    }
    system.set_platform(PlatformFaults::default()).await;
    common::until("the same key is accepted after the outage", || async {
        send(&system, 0, &format!("outage-{}", new_key("after")), &key, 1)
            .await
            .result
            .code
            != Some(ResultCode::ClaimsUnavailable)
    })
    .await;
    let runs = system.runs().await;
    assert_truthful(&all, &runs);
    assert_eq!(
        runs.iter().filter(|run| run.query.contains(&key)).count(),
        1,
        "the request must run exactly once after the outage"
    );
}

/// The answers of the platform to one host are lost, while all writes of this host take effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_host_without_answers_from_the_platform_runs_nothing_twice() {
    let plan = SystemPlan {
        platform_proxies: true,
        ..SystemPlan::default()
    };
    let system = System::start(plan).await;
    let plan = CrowdPlan {
        name: "deaf",
        callers: 6,
        release_every: 1,
        work_ms: 2,
        ..CrowdPlan::default()
    };
    let crowd = Crowd::start(&system.entries(), &plan);
    for host in 0..3 {
        system.set_proxy(host, ProxyMode::LoseAnswers).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        system.set_proxy(host, ProxyMode::Pass).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let mut sent = crowd.stop().await;
    let keys: Vec<(String, String)> = sent
        .iter()
        .filter_map(|sent| Some((sent.id.clone(), sent.key.clone()?)))
        .collect();
    for (index, (id, key)) in keys.iter().step_by(7).enumerate() {
        sent.push(send(&system, index % 3, &format!("{id}-again"), key, 1).await);
    }
    assert_truthful(&sent, &system.runs().await);
}
