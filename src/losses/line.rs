//! Parses the lines of a decision log that record the outcome of a request.

use serde::Deserialize as _;
use serde_json::Value;

use crate::entry::attempt_record::AttemptRecord;
use crate::error::{Error, Result};
use crate::event::EventCode;
use crate::result_code::ResultCode;

/// A line of a decision log, by the outcome that it records.
#[derive(Debug, Clone, PartialEq)]
pub enum LossLine {
    /// A server's answer was forwarded to the caller.
    Answered(AnsweredLine),
    /// The request ended without a server's answer.
    Failed(FailedLine),
    /// The line records another event.
    Other,
}

/// A request that was answered.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct AnsweredLine {
    /// The host's clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// The request's route.
    pub route: String,
    /// The server that answered.
    pub server: String,
    /// Time from the arrival to the answer, in milliseconds.
    pub after_ms: u64,
    /// The latency goal of the request, in milliseconds.
    pub goal_ms: u64,
    /// How long the caller was still willing to wait when the request arrived, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// A hash of the object, on routes with object affinity.
    pub object: Option<String>,
    /// The priority of the route, 0 for the most urgent; `None` in logs of older builds.
    pub priority: Option<u32>,
    /// The customer, on routes with keys.
    pub customer: Option<String>,
    /// How long it waited at the host for a free slot, in milliseconds.
    pub waited_ms: Option<u64>,
    /// The attempt that was answered.
    #[serde(rename = "offer")]
    pub attempt: AttemptRecord,
}

/// A request that was not answered by a server.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct FailedLine {
    /// The host's clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// The route of the request; empty if no route matched.
    pub route: String,
    /// The outcome, such as `refused_full`.
    #[serde(rename = "end")]
    pub outcome: String,
    /// Free slots on reachable servers at the refusal, as far as the host knew.
    pub free_slots: Option<u32>,
    /// Why it ended.
    pub reason: Option<String>,
    /// The priority of the route, 0 for the most urgent; `None` in logs of older builds.
    pub priority: Option<u32>,
    /// The customer, on routes with keys.
    pub customer: Option<String>,
    /// How long it waited at the host for a free slot, in milliseconds.
    pub waited_ms: Option<u64>,
}

/// Parses one line. Text before the first brace, such as a log shipper's prefix, is skipped.
///
/// # Errors
/// `LogLineInvalid` when it is not a line of a decision log, or a field of its event is missing.
///
/// ```
/// use ledgespool::losses::line::{self, LossLine};
/// let text = r#"a | {"unix_ms":5,"event":"EV5011","route":"reads","end":"refused_full"}"#;
/// assert!(matches!(line::read(text), Ok(LossLine::Failed(_))));
/// let fault = line::read("cut off").expect_err("no JSON");
/// assert!(fault.to_string().starts_with("LS1013"));
/// ```
pub fn read(text: &str) -> Result<LossLine> {
    let start = text.find('{').ok_or_else(|| invalid("no object"))?;
    let value: Value = serde_json::from_str(&text[start..]).map_err(|fault| invalid(&fault))?;
    let event = value.get("event").and_then(Value::as_str);
    let event = event.ok_or_else(|| invalid("no event"))?;
    if event == EventCode::RequestAnswered.to_string() {
        let answered = AnsweredLine::deserialize(value).map_err(|fault| invalid(&fault))?;
        return Ok(LossLine::Answered(answered));
    }
    if event == EventCode::RequestFailed.to_string() {
        let failed = FailedLine::deserialize(value).map_err(|fault| invalid(&fault))?;
        return Ok(LossLine::Failed(failed));
    }
    Ok(LossLine::Other)
}

fn invalid(fault: impl std::fmt::Display) -> Error {
    Error::with_code(ResultCode::LogLineInvalid, fault.to_string())
}
