//! The trace of one request, reconstructed from the logs of all hosts.
//!
//! Real logs contain lines of other programs, truncated lines and lines with a prefix. Lines that
//! cannot be read are counted and skipped. `sentences` tells the decisions in plain words.

mod sentences;

use std::fmt;

use serde_json::{Map, Value};

/// Lines about a server belong to a request's trace if they lie within this time of it, in
/// milliseconds. It covers the time in which a change reaches all hosts, with a margin.
const SERVER_EVENT_WINDOW_MS: u64 = 5_000;
/// Fields in the headline of a log line; the trace lists all others below it.
const HEADER_FIELDS: [&str; 4] = ["unix_ms", "host", "event", "text"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine {
    /// The host's clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// The host that wrote it.
    pub host: String,
    /// The event code, such as `EV5011`.
    pub event: String,
    /// What happened.
    pub text: String,
    /// The other fields of the line.
    pub fields: Map<String, Value>,
}

/// All lines that concern one request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestTrace {
    /// The lines, ordered by time.
    pub lines: Vec<TraceLine>,
    /// Number of lines that could not be read.
    pub skipped: usize,
}

impl RequestTrace {
    /// Collects the trace of the request `id` from the log lines of any number of hosts.
    ///
    /// ```
    /// use ledgespool::request_trace::RequestTrace;
    /// let logs = [
    ///     r#"{"unix_ms":2,"host":"a","event":"EV5011","text":"It ended.","id":"r-1"}"#,
    ///     "cut off {\"unix_ms\":",
    ///     r#"0.5 a {"unix_ms":1,"host":"a","event":"EV5010","text":"It failed.","id":"r-1"}"#,
    /// ];
    /// let trace = RequestTrace::from_lines("r-1", logs);
    /// assert_eq!(trace.lines.len(), 2);
    /// assert_eq!(trace.lines[0].event, "EV5010");
    /// assert_eq!(trace.skipped, 1);
    /// ```
    pub fn from_lines<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut trace = Self::default();
        let mut server_lines = Vec::new();
        for text in lines {
            match TraceLine::from_text(text) {
                Some(line) if line.has_field_value("id", id) => trace.lines.push(line),
                Some(line) if line.mentions_server() => server_lines.push(line),
                Some(_) => {}
                None => trace.skipped += 1,
            }
        }
        let related: Vec<TraceLine> = server_lines
            .into_iter()
            .filter(|line| !line.fields.contains_key("id") && trace.is_related(line))
            .collect();
        trace.lines.extend(related);
        trace
            .lines
            .sort_by(|a, b| (a.unix_ms, &a.host).cmp(&(b.unix_ms, &b.host)));
        trace
    }

    /// Tells in plain sentences which decisions about the request were taken, with what their hosts
    /// knew: the expected load and its age, the place, the wait, the limit, the time to come back.
    ///
    /// ```
    /// use ledgespool::request_trace::RequestTrace;
    /// let line = r#"{"unix_ms":2,"host":"a","event":"EV5011","text":"It ended.","id":"r-1",
    ///     "reason":"every server would answer too late","status":503,"come_back_ms":210}"#
    ///     .replace('\n', "");
    /// let decisions = RequestTrace::from_lines("r-1", [line.as_str()]).decisions();
    /// assert_eq!(decisions, [
    ///     "a ended it with status 503: every server would answer too late.",
    ///     "Its caller was told to come back after 210 ms.",
    /// ]);
    /// ```
    #[must_use]
    pub fn decisions(&self) -> Vec<String> {
        self.lines.iter().flat_map(sentences::of_line).collect()
    }

    /// Whether a line concerns a server that the request was sent to, at about the same time.
    fn is_related(&self, line: &TraceLine) -> bool {
        self.lines.iter().any(|own| {
            let server = own.fields.get("server");
            server.is_some_and(|server| line.mentions(server))
                && own.host == line.host
                && own.unix_ms.abs_diff(line.unix_ms) <= SERVER_EVENT_WINDOW_MS
        })
    }
}

impl TraceLine {
    fn mentions_server(&self) -> bool {
        self.fields.contains_key("server") || self.fields.contains_key("servers")
    }

    /// Whether the line names a server, alone or in a list.
    fn mentions(&self, server: &Value) -> bool {
        let servers = self.fields.get("servers").and_then(Value::as_array);
        self.fields.get("server") == Some(server)
            || servers.is_some_and(|servers| servers.contains(server))
    }

    fn from_text(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let text_field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let (host, event, message) = (
            text_field("host")?,
            text_field("event")?,
            text_field("text")?,
        );
        let unix_ms = fields.get("unix_ms")?.as_u64()?;
        for name in HEADER_FIELDS {
            fields.remove(name);
        }
        Some(Self {
            unix_ms,
            host,
            event,
            text: message,
            fields,
        })
    }

    fn has_field_value(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines.first().map_or(0, |line| line.unix_ms);
        for line in &self.lines {
            let after = line.unix_ms - first;
            writeln!(
                f,
                "{after:>8} ms  {}  {} {}",
                line.host, line.event, line.text
            )?;
            for (name, value) in &line.fields {
                writeln!(f, "             {name} = {value}")?;
            }
        }
        for decision in self.decisions() {
            writeln!(f, "{decision}")?;
        }
        write!(
            f,
            "{} lines; {} could not be read",
            self.lines.len(),
            self.skipped
        )
    }
}
