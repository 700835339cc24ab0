//! The operators' commands: plan, apply, concurrent changes, drains and the timeline.

mod common;

use std::fs;

use common::{System, SystemPlan, TOKEN};
use ledgespool::config_object::ConfigChange;
use ledgespool::declaration::{DrainEntry, DrainKind};
use ledgespool::result_code::ResultCode;
use ledgespool::rpc::{ChangeParams, ChangeResult, method};
use ledgespool::rpc_client::ControlClient;

fn text(output: &std::process::Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[tokio::test]
async fn changes_are_planned_applied_listed_and_refused_when_invalid() {
    let mut system = System::start(SystemPlan::default()).await;
    let plan = system.cli(&["plan"], &["declaration"]);
    assert!(text(&plan).contains("0 change(s)"), "{}", text(&plan));

    system.plan.shift_concurrent = 5;
    system.write_declaration();
    let plan = system.cli(&["plan"], &["declaration"]);
    assert!(text(&plan).contains("~ services desk"), "{}", text(&plan));
    let apply = system.cli(&["apply", "--wait"], &["declaration"]);
    assert!(
        apply.status.success() && text(&apply).contains("generation 2"),
        "{}",
        text(&apply)
    );
    for status in system.statuses().await {
        assert_eq!(status.in_force, 2, "{}", status.host.identity.name);
    }

    fs::write(
        system.dir.join("declaration/broken.jsonc"),
        "{ \"regions\": [ { \"nam\": \"a\" } ] }",
    )
    .expect("written");
    let apply = system.cli(&["apply"], &["declaration"]);
    assert_eq!(apply.status.code(), Some(1));
    assert!(
        text(&apply).contains("LS1002") && text(&apply).contains("broken.jsonc"),
        "{}",
        text(&apply)
    );

    let drain = system.cli(&["drain", "--wait"], &["server", "desk-perth-1-0"]);
    assert!(
        drain.status.success() && text(&drain).contains("drained after"),
        "{}",
        text(&drain)
    );
    let drain = system.cli(&["drain"], &["server", "no-such-server"]);
    assert!(text(&drain).contains("LS1007"), "{}", text(&drain));
    let undo = system.cli(&["drain", "--undo"], &["server", "desk-perth-1-0"]);
    assert!(undo.status.success(), "{}", text(&undo));
    let undo = system.cli(&["drain", "--undo"], &["server", "desk-perth-1-0"]);
    assert!(text(&undo).contains("LS3005"), "{}", text(&undo));

    let timeline = text(&system.cli(&["timeline"], &[]));
    for event in ["EV1001", "EV2001", "EV2003", "EV2004", "EV2006", "EV4001"] {
        assert!(timeline.contains(event), "{event} in\n{timeline}");
    }
    let unreachable = system.cli_at(common::loopback(1), &["status"], &[]);
    assert_eq!(unreachable.status.code(), Some(3), "{}", text(&unreachable));
    let explained = system.cli_at(common::loopback(1), &["explain", "LS2005"], &[]);
    assert!(!explained.status.success(), "explain takes no host");
}

#[tokio::test]
async fn of_two_operators_one_wins_and_the_same_operation_counts_once() {
    let system = System::start(SystemPlan::default()).await;
    let client = |index: usize| {
        let control = system.hosts[index].control;
        ControlClient::new(control, TOKEN, common::PATIENCE).expect("a client")
    };
    let change = |operation: &str, name: &str| ChangeParams {
        operation: operation.to_owned(),
        expected_generation: Some(1),
        change: ConfigChange::Drain(DrainEntry::with_name(DrainKind::Server, name)),
    };
    let (first, second) = (
        change("race-a", "desk-perth-1-0"),
        change("race-b", "desk-bunbury-1-0"),
    );
    let (host_a, host_b) = (client(0), client(1));
    let (first, second): (Result<ChangeResult, _>, Result<ChangeResult, _>) = tokio::join!(
        host_a.call(method::CHANGE, &first),
        host_b.call(method::CHANGE, &second)
    );
    let codes: Vec<ResultCode> = [&first, &second]
        .into_iter()
        .filter_map(|result| result.as_ref().err())
        .map(|fault| fault.code)
        .collect();
    assert_eq!(
        codes,
        vec![ResultCode::GenerationConflict],
        "{first:?} {second:?}"
    );

    let winner = if first.is_ok() { "race-a" } else { "race-b" };
    let retry = change(
        winner,
        if winner == "race-a" {
            "desk-perth-1-0"
        } else {
            "desk-bunbury-1-0"
        },
    );
    let repeated: ChangeResult = client(2)
        .call(method::CHANGE, &retry)
        .await
        .expect("the same operation");
    assert_eq!(
        repeated.generation, 2,
        "a retry returns the generation of the first call"
    );
}
