//! One line of a decision log, as far as losses go.

use serde::Deserialize as _;
use serde_json::Value;

use crate::entry::attempt_record::AttemptRecord;
use crate::error::{Error, Result};
use crate::event::EventCode;
use crate::result_code::ResultCode;

/// A line that tells of a request's end.
#[derive(Debug, Clone, PartialEq)]
pub enum LossLine {
    /// A server's answer was passed on.
    Answered(AnsweredLine),
    /// The request ended without one.
    Failed(FailedLine),
    /// Something else.
    Other,
}

/// A request that was answered.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct AnsweredLine {
    /// The host's clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// Its route.
    pub route: String,
    /// The server that answered.
    pub server: String,
    /// From the arrival to the answer, in milliseconds.
    pub after_ms: u64,
    /// An answer within this time is worth most, in milliseconds.
    pub goal_ms: u64,
    /// The time that the caller would still wait when the request arrived, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// A hash of the object, on routes that keep objects together.
    pub object: Option<String>,
    /// The offer that was answered.
    pub offer: AttemptRecord,
}

/// A request that was not answered by a server.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
pub struct FailedLine {
    /// The host's clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// Its route; empty if none was found.
    pub route: String,
    /// How it ended, such as `refused_full`.
    pub end: String,
    /// Free slots within reach when it was refused, as far as the host knew.
    #[serde(default)]
    pub free_slots: Option<u32>,
}

/// Reads one line; text before the first brace, such as a log shipper's, is passed over.
///
/// # Errors
/// `LogLineInvalid` when it is not a line of a decision log, or lacks what its event tells.
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
