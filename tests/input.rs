//! Invalid input: each parser returns an error code and never panics.

use ledgespool::claim::{ClaimKey, ClaimShard};
use ledgespool::config_object::ConfigObject;
use ledgespool::error::Error;
use ledgespool::plan::SteeringPlan;
use ledgespool::result_code::ResultCode;
use ledgespool::source::SourceText;
use ledgespool::{declaration, settings, source};
use proptest::prelude::*;

fn text(content: &str) -> SourceText {
    SourceText {
        name: "input.jsonc".to_owned(),
        text: content.to_owned(),
    }
}

fn faults(content: &str) -> Vec<(ResultCode, Option<usize>)> {
    let fault = declaration::from_sources(&[text(content)]).expect_err("a fault is expected");
    let Error::Rejected(input) = fault else {
        panic!("expected a list of all faults, got {fault}");
    };
    input
        .problems
        .iter()
        .map(|problem| (problem.code, input.line_of(problem)))
        .collect()
}

#[test]
fn all_faults_are_reported_together_with_their_lines() {
    let content = r#"{
      "services": [ { "name": "desk", "classes": [
        { "name": "read", "weight": 5, "deadline": 30, "repeatable": true } ],
        "colour": "red" } ],
      "regions": [ { "name": "a" } ],
      "halls": [ { "name": "h", "region": "b", "capacity": 3 } ],
      "servers": [ { "name": "s", "service": "desk", "hall": "h", "address": "127.0.0.1:9", "slots": 9, "connections": 1 } ],
      "blocks": [ { "prefix": "10.0.0.0/8", "region": "a" },
        { "prefix": "10.1.0.0/16", "region": "a" } ]
    }"#;
    let mut found = faults(content);
    found.sort_by_key(|(code, _)| code.number());
    assert_eq!(
        found,
        vec![
            (ResultCode::FieldUnknown, Some(4)),
            (ResultCode::UnitWrong, Some(3)),
            (ResultCode::NameDangling, Some(6)),
            (ResultCode::BlockOverlap, Some(9)),
            (ResultCode::CapacityExceeded, Some(6)),
        ]
    );
}

#[test]
fn shift_caps_above_a_links_capacity_are_refused() {
    let content = r#"{ "services": [ { "name": "desk", "classes": [ { "name": "r", "weight": 1, "deadline": "1s", "repeatable": true } ],
        "shift": { "concurrent": 9, "share_per_minute": 0.5 } } ],
      "regions": [ { "name": "a" }, { "name": "b" } ],
      "links": [ { "from": "a", "to": "b", "latency": "1ms", "concurrent": 8 } ] }"#;
    assert_eq!(
        faults(content),
        vec![(ResultCode::CapacityExceeded, Some(4))]
    );
}

#[test]
fn deep_nesting_is_refused() {
    let content = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    assert_eq!(faults(&content), vec![(ResultCode::SyntaxInvalid, None)]);
}

#[test]
fn settings_report_every_missing_field() {
    let Err(Error::Rejected(input)) = settings::from_source(&text("{}")) else {
        panic!("expected an error");
    };
    let missing = input
        .problems
        .iter()
        .filter(|problem| problem.code == ResultCode::FieldMissing)
        .count();
    assert_eq!(missing, 7);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn declarations_never_panic(content in "\\PC{0,200}") {
        let _refused = declaration::from_sources(&[text(&content)]);
        let _refused = settings::from_source(&text(&content));
    }

    #[test]
    fn damaged_declarations_never_panic(position in 0_usize..1_200, byte in any::<u8>(), cut in any::<bool>()) {
        let mut bytes = std::fs::read("examples/firm/services.jsonc").expect("an example");
        let position = position % bytes.len();
        bytes[position] = byte;
        if cut {
            bytes.truncate(position);
        }
        let content = String::from_utf8_lossy(&bytes).into_owned();
        let _refused = declaration::from_sources(&[text(&content)]);
    }

    #[test]
    fn platform_objects_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(ConfigObject::from_bytes(&bytes).is_err());
        prop_assert!(SteeringPlan::from_bytes(&bytes).is_err());
        if let Err(fault) = ClaimShard::from_bytes(&bytes) {
            prop_assert_eq!(fault.code(), ResultCode::ObjectInvalid);
        }
    }

    #[test]
    fn claim_keys_never_panic(key in "\\PC{0,90}") {
        if let Err(fault) = ClaimKey::from_text("desk", &key) {
            prop_assert_eq!(fault.code(), ResultCode::ClaimKeyInvalid);
        }
    }

    #[test]
    fn durations_never_panic(duration in "[0-9]{0,30}[a-z]{0,3}") {
        let _none = source::duration_from_text(&duration);
    }
}
