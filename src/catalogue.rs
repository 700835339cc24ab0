//! Markdown tables of the result codes and events, as the documentation contains them.

use std::fmt::Write as _;

use crate::event::EventCode;
use crate::result_code::{RequestOutcome, ResultCode};

/// The table in `docs/RESULT-CODES.md`.
///
/// ```
/// use ledgespool::catalogue;
/// assert!(catalogue::result_code_table().contains("LS2005"));
/// ```
#[must_use]
pub fn result_code_table() -> String {
    let mut table = String::from(
        "| code | status | outcome | what happened | what to do |\n|---|---|---|---|---|\n",
    );
    for code in ResultCode::ALL {
        let outcome = code.outcome().map_or("", RequestOutcome::as_str);
        // Writing to a string cannot fail.
        let _ok = writeln!(
            table,
            "| {code} | {} | {outcome} | {} | {} |",
            code.http_status(),
            code.text(),
            code.advice()
        );
    }
    table
}

/// The table in `docs/EVENTS.md`.
///
/// ```
/// use ledgespool::catalogue;
/// assert!(catalogue::event_table().contains("EV4001"));
/// ```
#[must_use]
pub fn event_table() -> String {
    let mut table = String::from("| event | level | what happened |\n|---|---|---|\n");
    for event in EventCode::ALL {
        let level = format!("{:?}", event.level()).to_lowercase();
        // Writing to a string cannot fail.
        let _ok = writeln!(table, "| {event} | {level} | {} |", event.text());
    }
    table
}
