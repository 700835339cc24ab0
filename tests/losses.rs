//! The loss report from realistic logs: lines of several hosts mixed, truncated or prefixed.

use ledgespool::losses::cause::LateCause;
use ledgespool::losses::line::{self, LossLine};
use ledgespool::losses::plot;
use ledgespool::losses::report::{LossCounts, LossReport};
use proptest::prelude::*;

/// An answered request, with the fields that decide why it was late.
#[derive(Clone, Copy)]
struct Answer {
    unix_ms: u64,
    server: &'static str,
    object: &'static str,
    after_ms: u64,
    took_ms: u64,
    rtt_ms: f64,
    earlier_attempts: usize,
    time_left_ms: u64,
}

/// An answer in time: the goal is 200 ms.
const IN_TIME: Answer = Answer {
    unix_ms: 10_000,
    server: "i-1",
    object: "o-1",
    after_ms: 140,
    took_ms: 140,
    rtt_ms: 40.0,
    earlier_attempts: 0,
    time_left_ms: 1_000,
};

impl Answer {
    fn text(&self) -> String {
        format!(
            r#"0.5 host-a {{"unix_ms":{},"host":"a","event":"EV5012","text":"It was answered.","id":"r","route":"reads","server":"{}","hall":"h","status":200,"after_ms":{},"goal_ms":200,"time_left_ms":{},"object":"{}","offer":{{"expected":{{"place":0,"knows_object":true,"load":1.0,"load_age_ms":null,"wait_ms":0.0,"work_ms":100.0,"way_ms":{:.1}}},"took_ms":{},"offers_before":{}}}}}"#,
            self.unix_ms,
            self.server,
            self.after_ms,
            self.time_left_ms,
            self.object,
            self.rtt_ms,
            self.took_ms,
            self.earlier_attempts
        )
    }
}

fn report(answers: &[Answer]) -> LossReport {
    let texts: Vec<String> = answers.iter().map(Answer::text).collect();
    LossReport::from_lines(texts.iter().map(String::as_str))
}

/// Returns the causes of late answers after a first answer in time, which caches the object.
fn causes(answer: Answer) -> Vec<(LateCause, u64)> {
    let later = Answer {
        unix_ms: 20_000,
        ..answer
    };
    let report = report(&[IN_TIME, later]);
    let late = &report.routes["reads"].counts.late;
    late.iter().map(|(cause, count)| (*cause, *count)).collect()
}

#[test]
fn each_late_answer_has_one_cause() {
    assert_eq!(causes(IN_TIME), []);
    let cases = [
        (
            LateCause::CallerRetry,
            Answer {
                time_left_ms: 800,
                ..IN_TIME
            },
        ),
        (
            LateCause::EarlierAttempt,
            Answer {
                after_ms: 400,
                earlier_attempts: 1,
                ..IN_TIME
            },
        ),
        (
            LateCause::CacheMiss,
            Answer {
                object: "o-2",
                after_ms: 350,
                took_ms: 350,
                ..IN_TIME
            },
        ),
        (
            LateCause::Wait,
            Answer {
                after_ms: 500,
                took_ms: 500,
                ..IN_TIME
            },
        ),
        (
            LateCause::NetworkLatency,
            Answer {
                after_ms: 220,
                took_ms: 220,
                ..IN_TIME
            },
        ),
        (
            LateCause::Work,
            Answer {
                after_ms: 270,
                took_ms: 270,
                ..IN_TIME
            },
        ),
    ];
    for (cause, answer) in cases {
        assert_eq!(causes(answer), [(cause, 1)], "{cause}");
    }
}

/// Individual time limits must not be mistaken for retries.
#[test]
fn callers_with_individual_time_limits_are_not_counted_as_retries() {
    let answers: Vec<Answer> = (0..100)
        .map(|number| Answer {
            unix_ms: 10_000 + number,
            time_left_ms: 1_000 - 2 * number,
            ..IN_TIME
        })
        .collect();
    let report = report(&answers);
    let late: u64 = report.windows.values().map(late_sum).sum();
    assert!(late <= 5, "{late} of 100 count as late");
}

fn late_sum(counts: &LossCounts) -> u64 {
    counts.late.values().sum()
}

#[test]
fn expectation_errors_are_separate_for_cache_misses() {
    let first = Answer {
        took_ms: 400,
        ..IN_TIME
    };
    let again = Answer {
        unix_ms: 20_000,
        took_ms: 150,
        ..IN_TIME
    };
    let report = report(&[first, again]);
    let route = &report.routes["reads"];
    assert_eq!(route.cached.answers, 1);
    assert!((route.cached.median_ms - 10.0).abs() < 1e-9);
    assert_eq!(route.unexpected_miss.answers, 1);
    assert!((route.unexpected_miss.median_ms - 260.0).abs() < 1e-9);
}

#[test]
fn unreadable_lines_are_counted_with_an_error_code() {
    let whole = IN_TIME.text();
    let cut = &whole[..whole.len() / 2];
    let incomplete = r#"{"unix_ms":1,"event":"EV5012","route":"reads"}"#;
    let report = LossReport::from_lines([whole.as_str(), cut, "no JSON", incomplete, "{}"]);
    assert_eq!(report.unreadable, 4);
    assert!(
        report
            .faults
            .iter()
            .all(|fault| fault.starts_with("LS1013"))
    );
    assert_eq!(report.routes["reads"].counts.all(), 1);
    assert!(report.to_string().contains("4 lines could not be read"));
}

#[test]
fn the_chart_is_written_or_an_error_code_returned() {
    let late = Answer {
        after_ms: 500,
        took_ms: 500,
        unix_ms: 14_000,
        ..IN_TIME
    };
    let report = report(&[IN_TIME, late]);
    let file = std::env::temp_dir().join(format!("losses-{}.svg", std::process::id()));
    plot::write_svg(&report, &file).expect("written");
    let chart = std::fs::read_to_string(&file).expect("a file");
    std::fs::remove_file(&file).expect("removed");
    assert!(chart.contains("first run") && chart.contains("polyline"));
    let nowhere = std::path::Path::new("/nonexistent/losses.svg");
    let fault = plot::write_svg(&report, nowhere).expect_err("no such directory");
    assert!(fault.to_string().starts_with("LS1014"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Each line of any text is counted once: as a request's outcome, as another event, or as
    /// unreadable.
    #[test]
    fn each_line_of_any_text_is_counted_once(
        garbage in proptest::collection::vec(any::<String>(), 0..20),
        cut in 0_usize..300,
        answers in 0_usize..20,
    ) {
        let whole = IN_TIME.text();
        let cut: String = whole.chars().take(cut).collect();
        let mut lines: Vec<&str> = garbage.iter().map(String::as_str).collect();
        lines.extend(std::iter::repeat_n(whole.as_str(), answers));
        lines.push(&cut);
        let others = lines.iter().filter(|text| matches!(line::read(text), Ok(LossLine::Other))).count();
        let report = LossReport::from_lines(lines.iter().copied());
        let ended: u64 = report.routes.values().map(|route| route.counts.all()).sum();
        prop_assert_eq!(ended + report.unreadable + others as u64, lines.len() as u64);
        let windows: u64 = report.windows.values().map(LossCounts::all).sum();
        prop_assert_eq!(windows, ended);
    }
}

/// One request of each decision, with the fields that tell them apart.
const FAILED: [(&str, &str); 17] = [
    (r#""end":"refused_limit""#, "refused: customer's limit"),
    (
        r#""end":"refused_full","reason":"every server would answer too late""#,
        "refused: every place late",
    ),
    (
        r#""end":"refused_full","reason":"every server has as many requests as it takes""#,
        "refused: every server at its limit",
    ),
    (
        r#""end":"refused_full","reason":"no server that was asked ran it""#,
        "refused: servers refused it",
    ),
    (
        r#""end":"refused_no_server""#,
        "refused: no server may serve it",
    ),
    (
        r#""end":"refused_unreachable""#,
        "refused: no server reached",
    ),
    (r#""end":"refused_quarantined""#, "refused: quarantined"),
    (
        r#""end":"refused_memory""#,
        "refused: no memory for its body",
    ),
    (r#""end":"refused_leaving""#, "refused: host leaving"),
    (
        r#""end":"refused_full","waited_ms":300"#,
        "refused: after a wait at the host",
    ),
    (r#""end":"refused_unconfigured""#, "refused: host not ready"),
    (r#""end":"refused_homes""#, "refused: no common region"),
    (r#""end":"rejected""#, "rejected: invalid request"),
    (r#""end":"lost","waited_ms":300"#, "failed: answer lost"),
    (
        r#""end":"timed_out","waited_ms":0"#,
        "failed: deadline passed",
    ),
    (r#""end":"of a later build""#, "failed: other"),
    // Logs of older builds name no reason.
    (r#""end":"refused_full""#, "refused: every place late"),
];

/// Guards against a refusal that is told as another: a customer at its limit looks like a service
/// short of servers once both count as "failed".
#[test]
fn each_failed_request_is_listed_under_its_decision() {
    for (fields, name) in FAILED {
        let text =
            format!(r#"{{"unix_ms":5,"event":"EV5011","route":"reads","priority":1,{fields}}}"#);
        let report = LossReport::from_lines([text.as_str()]);
        let found: Vec<(&str, u64)> = report
            .decisions
            .iter()
            .map(|(decision, losses)| (decision.as_str(), losses.priorities[&1]))
            .collect();
        assert_eq!(found, [(name, 1)], "{fields}");
    }
}

/// The line of an answer that was late by 300 ms, with further fields of the line and of the
/// attempt. An earlier line has cached the object.
fn late_decision(fields: &str, attempt_fields: &str) -> Vec<&'static str> {
    let late = Answer {
        unix_ms: 20_000,
        after_ms: 500,
        took_ms: 500,
        ..IN_TIME
    };
    let text = late
        .text()
        .replace(r#""status":200"#, &format!(r#""status":200{fields}"#))
        .replace(r#""took_ms""#, &format!(r#"{attempt_fields}"took_ms""#));
    let report = LossReport::from_lines([IN_TIME.text().as_str(), text.as_str()]);
    let decisions = report.decisions.keys();
    decisions.map(|decision| decision.as_str()).collect()
}

/// Guards against a wait that is blamed on the servers: the host expected a load of 1 and the
/// server reported more, or the request waited at the host itself.
#[test]
fn waits_are_listed_by_where_they_arose_and_by_what_the_host_expected() {
    let cases = [
        ("", "", "late: wait, load not reported"),
        (
            "",
            r#""reported_load":7,"#,
            "late: server fuller than expected",
        ),
        (
            "",
            r#""reported_load":2,"#,
            "late: server as full as expected",
        ),
        (
            r#","waited_ms":320"#,
            r#""reported_load":7,"#,
            "late: waited at the host",
        ),
        // Without its wait at the host it would have been late as well.
        (
            r#","waited_ms":200"#,
            r#""reported_load":7,"#,
            "late: server fuller than expected",
        ),
    ];
    for (fields, attempt_fields, name) in cases {
        assert_eq!(
            late_decision(fields, attempt_fields),
            [name],
            "{fields} {attempt_fields}"
        );
    }
}

/// Guards against losses that hide in a sum over all callers: those of one urgency, or of one
/// customer among many.
#[test]
fn losses_are_listed_by_priority_and_for_the_customers_that_lose_most() {
    let mut lines = Vec::new();
    for number in 0..12_u64 {
        for _ in 0..=number {
            lines.push(format!(
                r#"{{"unix_ms":5,"event":"EV5011","route":"a route with a very long name","priority":{},"customer":"customer-{number}","end":"refused_limit","free_slots":null}}"#,
                number % 2
            ));
        }
    }
    let report = LossReport::from_lines(lines.iter().map(String::as_str));
    let priorities: Vec<(u32, u64)> = report
        .priorities
        .iter()
        .map(|(priority, counts)| (*priority, counts.lost()))
        .collect();
    assert_eq!(priorities, [(0, 36), (1, 42)]);
    assert_eq!(report.customers.len(), 10);
    assert_eq!(report.customers[0].name, "customer-11");
    assert_eq!(report.customers[0].counts.lost(), 12);
    let text = report.to_string();
    let too_long = text.lines().find(|line| line.chars().count() > 120);
    assert_eq!(too_long, None, "{text}");
    let json = serde_json::to_value(&report).expect("plain data");
    assert_eq!(json["decisions"]["refused_limit"]["priorities"]["0"], 36);
    assert_eq!(json["customers"][0]["counts"]["ended"]["refused_limit"], 12);
}
