//! Tells in plain sentences which decision a log line records and what the host knew when it took
//! it. Fields that a line lacks, as in the logs of older builds, leave their sentence out.

use serde::Deserialize as _;
use serde_json::Value;

use super::TraceLine;
use crate::entry::attempt_record::{AttemptRecord, ExpectedAnswer};
use crate::event::EventCode;

/// The fields of a failed attempt.
#[derive(Debug, serde::Deserialize)]
struct AttemptFields {
    server: String,
    hall: Option<String>,
    result: String,
    after_ms: Option<u64>,
    expected_load: Option<f64>,
    cold: Option<bool>,
}

/// The fields of a request that ended without a server's answer.
#[derive(Debug, serde::Deserialize)]
struct FailedFields {
    reason: String,
    status: Option<u16>,
    code: Option<String>,
    after_ms: Option<u64>,
    waited_ms: Option<u64>,
    goal_ms: Option<u64>,
    free_slots: Option<u32>,
    expected: Option<ExpectedAnswer>,
    customer: Option<String>,
    limit: Option<LimitFields>,
    retry_denied: Option<bool>,
    come_back_ms: Option<u64>,
}

/// What the host knew of a customer's limit.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
struct LimitFields {
    denied: u32,
    not_here: u32,
    unanswered: u32,
    hosts: u32,
    room_in_ms: u64,
}

/// The fields of an answered request.
#[derive(Debug, serde::Deserialize)]
struct AnsweredFields {
    server: String,
    hall: Option<String>,
    after_ms: u64,
    goal_ms: Option<u64>,
    waited_ms: Option<u64>,
    offer: Option<AttemptRecord>,
}

/// The fields of a request that was answered by way of another host, or whose caller left.
#[derive(Debug, serde::Deserialize)]
struct EndFields {
    peer: Option<String>,
    after_ms: Option<u64>,
}

/// Returns the sentences about one line; none if it records no decision about the request.
pub(super) fn of_line(line: &TraceLine) -> Vec<String> {
    let event = line.event.as_str();
    let is = |code: EventCode| event == code.to_string();
    let fields = Value::Object(line.fields.clone());
    let sentences = if is(EventCode::OfferFailed) {
        AttemptFields::deserialize(fields).map(|fields| of_attempt(&line.host, &fields))
    } else if is(EventCode::RequestFailed) {
        FailedFields::deserialize(fields).map(|fields| of_failed(&line.host, &fields))
    } else if is(EventCode::RequestAnswered) {
        AnsweredFields::deserialize(fields).map(|fields| of_answered(&line.host, &fields))
    } else if is(EventCode::RequestHandedOver) || is(EventCode::CallerLeft) {
        EndFields::deserialize(fields).map(|fields| of_end(&line.host, &fields))
    } else {
        return Vec::new();
    };
    // A line that lacks a field that every build writes is shown by its fields only.
    sentences.unwrap_or_default()
}

fn of_attempt(host: &str, fields: &AttemptFields) -> Vec<String> {
    let server = server_in_hall(&fields.server, fields.hall.as_deref());
    let load = fields.expected_load.map_or_else(String::new, |load| {
        format!(", where it expected {load:.1} requests")
    });
    let cold = if fields.cold == Some(true) {
        " that had just started"
    } else {
        ""
    };
    let result = &fields.result;
    vec![format!(
        "{host} chose {server}{cold}{load}. Result{}: {result}.",
        after(fields.after_ms)
    )]
}

fn of_failed(host: &str, fields: &FailedFields) -> Vec<String> {
    let mut sentences = Vec::from_iter(of_wait(host, fields.waited_ms));
    let status = fields.status.map(|status| format!("status {status}"));
    let answer: Vec<String> = status.into_iter().chain(fields.code.clone()).collect();
    let reason = &fields.reason;
    sentences.push(format!(
        "{host} ended it{} with {}: {reason}.",
        after(fields.after_ms),
        answer.join(", ")
    ));
    if let (Some(goal_ms), Some(after_ms)) = (fields.goal_ms, fields.after_ms) {
        let left_ms = goal_ms.saturating_sub(after_ms);
        sentences.push(format!(
            "{left_ms} ms were left of its goal of {goal_ms} ms."
        ));
    }
    if let Some(expected) = &fields.expected {
        sentences.push(of_expected("The earliest answer was expected of", expected));
    }
    if let Some(free_slots) = fields.free_slots {
        sentences.push(format!(
            "The servers compared had {free_slots} free slots, as far as it knew."
        ));
    }
    if let Some(limit) = &fields.limit {
        sentences.push(of_limit(fields.customer.as_deref(), limit));
    }
    if fields.retry_denied == Some(true) {
        sentences.push("The retry budget allowed no further attempt.".to_owned());
    }
    sentences.push(fields.come_back_ms.map_or_else(
        || "Its caller was told no time to come back.".to_owned(),
        |retry_ms| format!("Its caller was told to come back after {retry_ms} ms."),
    ));
    sentences
}

fn of_limit(customer: Option<&str>, limit: &LimitFields) -> String {
    format!(
        "Customer {}: {} hosts that pool its limit had no token left, {} pool none, {} gave no \
         answer; the limit is divided by {} hosts; a token is expected in {} ms.",
        customer.unwrap_or("unknown"),
        limit.denied,
        limit.not_here,
        limit.unanswered,
        limit.hosts,
        limit.room_in_ms
    )
}

fn of_answered(host: &str, fields: &AnsweredFields) -> Vec<String> {
    let mut sentences = Vec::from_iter(of_wait(host, fields.waited_ms));
    if let Some(attempt) = &fields.offer {
        sentences.push(of_expected("It chose", &attempt.expected));
    }
    let goal = fields.goal_ms.map_or_else(String::new, |goal_ms| {
        let late_ms = fields.after_ms.saturating_sub(goal_ms);
        if late_ms == 0 {
            format!(", within its goal of {goal_ms} ms")
        } else {
            format!(", {late_ms} ms after its goal of {goal_ms} ms")
        }
    });
    let server = server_in_hall(&fields.server, fields.hall.as_deref());
    let after = after(Some(fields.after_ms));
    sentences.push(format!("{server} answered it{after}{goal}."));
    sentences.extend(fields.offer.as_ref().map(of_taken));
    sentences
}

fn of_taken(attempt: &AttemptRecord) -> String {
    let expected = &attempt.expected;
    let excess_ms = attempt.took_ms as f64 - expected.work_ms - expected.rtt_ms;
    let reported = attempt.reported_load.map_or_else(String::new, |load| {
        format!("; the server then reported {load} requests")
    });
    format!(
        "The attempt took {} ms, {:.0} ms more than work and way; attempts before it: {}{reported}.",
        attempt.took_ms,
        excess_ms.max(0.0),
        attempt.earlier_attempts
    )
}

fn of_end(host: &str, fields: &EndFields) -> Vec<String> {
    let after = after(fields.after_ms);
    let sentence = fields.peer.as_ref().map_or_else(
        || format!("Its caller left {host}{after}."),
        |peer| format!("{host} reached no server itself and got the answer from {peer}{after}."),
    );
    vec![sentence]
}

fn of_wait(host: &str, waited_ms: Option<u64>) -> Option<String> {
    let waited_ms = waited_ms.filter(|waited_ms| *waited_ms > 0)?;
    Some(format!(
        "It waited {waited_ms} ms at {host} for a slot that its urgency may use."
    ))
}

fn of_expected(subject: &str, expected: &ExpectedAnswer) -> String {
    let age = expected.load_age_ms.map_or_else(
        || "no report".to_owned(),
        |age_ms| format!("reported {age_ms} ms before"),
    );
    let run = if expected.object_cached {
        "object cached"
    } else {
        "first run"
    };
    format!(
        "{subject} number {} in rank, with {:.1} requests there ({age}): a wait of {:.0} \
         ms, {:.0} ms of work ({run}), {:.0} ms of way.",
        expected.place + 1,
        expected.load,
        expected.wait_ms,
        expected.work_ms,
        expected.rtt_ms
    )
}

fn server_in_hall(server: &str, hall: Option<&str>) -> String {
    hall.map_or_else(
        || format!("server {server}"),
        |hall| format!("server {server} in hall {hall}"),
    )
}

fn after(after_ms: Option<u64>) -> String {
    after_ms.map_or_else(String::new, |after_ms| format!(" after {after_ms} ms"))
}
