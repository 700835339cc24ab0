//! Traces of requests from logs with mixed, truncated and prefixed lines.

use ledgespool::request_trace::RequestTrace;
use proptest::prelude::*;

fn line(unix_ms: u64, host: &str, event: &str, rest: &str) -> String {
    format!(
        r#"{{"unix_ms":{unix_ms},"host":"{host}","event":"{event}","text":"It happened.",{rest}}}"#
    )
}

#[test]
fn lines_of_a_request_and_its_servers_are_ordered_by_time() {
    let logs = [
        line(300, "b", "EV5011", r#""id":"r-1","reason":"lost""#),
        line(100, "b", "EV5010", r#""id":"r-1","server":"i-7""#),
        line(90, "b", "EV5001", r#""server":"i-7""#),
        line(95, "a", "EV5001", r#""server":"i-7""#),
        line(9_000, "b", "EV5005", r#""server":"i-7""#),
        line(110, "b", "EV5010", r#""id":"r-2","server":"i-7""#),
        line(120, "b", "EV5001", r#""server":"i-8""#),
    ];
    let trace = RequestTrace::from_lines("r-1", logs.iter().map(String::as_str));
    let found: Vec<(u64, &str)> = trace
        .lines
        .iter()
        .map(|line| (line.unix_ms, line.event.as_str()))
        .collect();
    assert_eq!(found, [(90, "EV5001"), (100, "EV5010"), (300, "EV5011")]);
    let text = trace.to_string();
    assert!(
        text.contains("210 ms") && text.contains("reason = \"lost\""),
        "{text}"
    );
}

#[test]
fn prefixes_are_ignored_and_truncated_lines_counted() {
    let whole = line(5, "a", "EV5011", r#""id":"r-1""#);
    let prefixed = format!("   12.5 edge-1 {whole}");
    let cut = &whole[..whole.len() - 4];
    let trace = RequestTrace::from_lines("r-1", [prefixed.as_str(), cut, "no JSON", "{}"]);
    assert_eq!((trace.lines.len(), trace.skipped), (1, 3));
}

#[test]
fn unknown_request_has_an_empty_trace() {
    let trace = RequestTrace::from_lines("r-9", []);
    assert_eq!(trace.to_string(), "0 lines; 0 could not be read");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_read_or_skipped(lines in prop::collection::vec(".{0,80}", 0..20)) {
        let trace = RequestTrace::from_lines("r", lines.iter().map(String::as_str));
        prop_assert!(trace.lines.len() + trace.skipped <= lines.len());
    }
}

#[test]
fn line_about_several_servers_belongs_to_the_requests_of_each() {
    let logs = [
        line(100, "b", "EV5010", r#""id":"r-1","server":"i-7""#),
        line(97, "b", "EV5004", r#""count":9,"servers":["i-6","i-7"]"#),
        line(98, "b", "EV5004", r#""count":9,"servers":["i-6","i-9"]"#),
    ];
    let trace = RequestTrace::from_lines("r-1", logs.iter().map(String::as_str));
    let found: Vec<u64> = trace.lines.iter().map(|line| line.unix_ms).collect();
    assert_eq!(found, [97, 100]);
}
