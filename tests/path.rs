//! A complete system of separate processes: platform, backend servers, entry hosts, command line.

mod common;

use common::{System, SystemPlan, assert_whole, read_request, release_request};
use ledgespool::standin::caller::CallerClient;

#[tokio::test]
async fn one_request_is_served_end_to_end_by_separate_processes() {
    let system = System::start(SystemPlan::default()).await;
    let mut caller = CallerClient::with_entries(system.entries());
    let answer = caller
        .look_up(common::SERVICE, None)
        .await
        .expect("a look-up");
    assert!(!answer.hosts.is_empty());
    let result = caller.send(&read_request("path-read", 5, 100_000)).await;
    assert_whole(&result);
    let key = common::new_key("path");
    let result = caller.send(&release_request("path-release", &key, 5)).await;
    assert_whole(&result);
    let status = system.cli(&["status"], &[]);
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(
        text.contains("entry-3") && text.contains("planner"),
        "{text}"
    );
}
