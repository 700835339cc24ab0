//! Aggregates late and failed requests by route and by time window.

use std::{collections, fmt};

use super::cause::LateCause;
use super::line::{self, AnsweredLine, FailedLine, LossLine};

/// Length of a time window, in milliseconds.
pub const WINDOW_MS: u64 = 2_000;
/// Number of unreadable lines whose errors the report lists; further ones are only counted.
const MAX_LISTED_FAULTS: usize = 5;

/// Late and failed requests, and the error of expected times.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct LossReport {
    /// Losses by route.
    pub routes: collections::BTreeMap<String, RouteLosses>,
    /// Counts by the start of each time window, in Unix milliseconds.
    pub windows: collections::BTreeMap<u64, LossCounts>,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// The errors of the first unreadable lines.
    pub faults: Vec<String>,
}

/// Request counts by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct LossCounts {
    /// Answered within their goal.
    pub in_time: u64,
    /// Answered after their goal, by the main cause.
    pub late: collections::BTreeMap<LateCause, u64>,
    /// Not answered by a server, by outcome.
    pub ended: collections::BTreeMap<String, u64>,
    /// Refused although a reachable server had a free slot.
    #[serde(rename = "refused_with_room")]
    pub refused_with_free_slots: u64,
}

/// The losses of one route, and the error of its expected times.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct RouteLosses {
    /// Request counts by outcome.
    pub counts: LossCounts,
    /// Error of the expected time where the server had the object cached.
    #[serde(rename = "known")]
    pub cached: ExpectationError,
    /// Error of the expected time for cache misses that the host expected.
    #[serde(rename = "first")]
    pub expected_miss: ExpectationError,
    /// Error of the expected time for cache misses where the host expected a cached object.
    #[serde(rename = "mistaken")]
    pub unexpected_miss: ExpectationError,
}

/// Remaining times that differ by at most this count as equal, in milliseconds. It covers network
/// latency and scheduling delays.
const EQUAL_TIME_TOLERANCE_MS: u64 = 40;
/// Where callers have individual time limits, this share of them is taken to report less because
/// they retried. It is about the share of retries on a day with incidents.
const RETRY_SHARE: f64 = 0.05;

/// Time taken minus time expected, in milliseconds; positive if answers came later than expected.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct ExpectationError {
    /// Number of answers.
    pub answers: u64,
    /// Median error.
    pub median_ms: f64,
    /// 90th percentile of the error.
    pub p90_ms: f64,
}

impl ExpectationError {
    fn of(mut errors: Vec<f64>) -> Self {
        errors.sort_by(f64::total_cmp);
        let at = |share: f64| {
            // The index is below the length, as the share is below 1.
            let place = (errors.len() as f64 * share) as usize;
            errors.get(place).copied().unwrap_or(0.0)
        };
        Self {
            answers: errors.len() as u64,
            median_ms: at(0.5),
            p90_ms: at(0.9),
        }
    }
}

impl LossReport {
    /// Builds the report from log lines of any number of hosts, in any order.
    ///
    /// ```
    /// use ledgespool::losses::report::LossReport;
    /// let logs = [
    ///     r#"{"unix_ms":5,"event":"EV5011","route":"reads","end":"refused_full","free_slots":2}"#,
    ///     "cut off",
    /// ];
    /// let report = LossReport::from_lines(logs);
    /// assert_eq!(report.routes["reads"].counts.refused_with_free_slots, 1);
    /// assert_eq!(report.unreadable, 1);
    /// ```
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = &'a str>) -> Self {
        let mut report = Self::default();
        let mut answered = Vec::new();
        for text in lines {
            match line::read(text) {
                Ok(LossLine::Answered(line)) => answered.push(line),
                Ok(LossLine::Failed(line)) => report.on_failed(&line),
                Ok(LossLine::Other) => {}
                Err(fault) => report.on_fault(&fault),
            }
        }
        report.on_answered(answered);
        report
    }

    fn on_fault(&mut self, fault: &crate::error::Error) {
        self.unreadable += 1;
        if self.faults.len() < MAX_LISTED_FAULTS {
            self.faults.push(fault.to_string());
        }
    }

    fn on_failed(&mut self, line: &FailedLine) {
        let route = self.routes.entry(line.route.clone()).or_default();
        let window = self.windows.entry(window_of(line.unix_ms)).or_default();
        for counts in [&mut route.counts, window] {
            *counts.ended.entry(line.outcome.clone()).or_default() += 1;
            counts.refused_with_free_slots += u64::from(line.free_slots.unwrap_or(0) > 0);
        }
    }

    fn on_answered(&mut self, mut answered: Vec<AnsweredLine>) {
        // Sorts by the time of sending to the server, to find the first request for each object.
        answered.sort_by_key(|line| line.unix_ms.saturating_sub(line.attempt.took_ms));
        let first = initial_times(&answered);
        let mut seen = collections::HashSet::new();
        let mut errors = collections::HashMap::<String, ErrorSamples>::new();
        for line in &answered {
            let cache_miss = line
                .object
                .as_ref()
                .is_some_and(|object| seen.insert((line.server.clone(), object.clone())));
            let begun_ms = begun_ms(line, &first);
            self.count_answer(line, LateCause::of(line, begun_ms, cache_miss));
            let samples = errors.entry(line.route.clone()).or_default();
            samples.push(line, cache_miss);
        }
        for (name, samples) in errors {
            let route = self.routes.entry(name).or_default();
            route.cached = ExpectationError::of(samples.cached);
            route.expected_miss = ExpectationError::of(samples.expected_miss);
            route.unexpected_miss = ExpectationError::of(samples.unexpected_miss);
        }
    }

    fn count_answer(&mut self, line: &AnsweredLine, late: Option<LateCause>) {
        let route = self.routes.entry(line.route.clone()).or_default();
        let window = self.windows.entry(window_of(line.unix_ms)).or_default();
        for counts in [&mut route.counts, window] {
            match late {
                None => counts.in_time += 1,
                Some(cause) => *counts.late.entry(cause).or_default() += 1,
            }
        }
    }
}

/// Time taken minus time expected, in milliseconds, one value an answer.
#[derive(Debug, Default)]
struct ErrorSamples {
    cached: Vec<f64>,
    expected_miss: Vec<f64>,
    unexpected_miss: Vec<f64>,
}

impl ErrorSamples {
    fn push(&mut self, line: &AnsweredLine, cache_miss: bool) {
        let error_ms = line.attempt.took_ms as f64 - line.attempt.expected.total_ms();
        let samples = match (cache_miss, line.attempt.expected.object_cached) {
            (false, _) => &mut self.cached,
            (true, false) => &mut self.expected_miss,
            (true, true) => &mut self.unexpected_miss,
        };
        samples.push(error_ms);
    }
}

/// Returns the estimated initial time limit of the callers of each route.
///
/// Where most callers of a route report the same time, that is the maximum. Where callers have
/// individual time limits, a lower value is no sign of a retry: then it is the value that all but
/// [`RETRY_SHARE`] of the callers report at least.
fn initial_times<'a>(answered: &'a [AnsweredLine]) -> collections::HashMap<&'a str, u64> {
    let mut reported = collections::HashMap::<&'a str, Vec<u64>>::new();
    for line in answered {
        if let Some(left_ms) = line.time_left_ms {
            reported
                .entry(line.route.as_str())
                .or_default()
                .push(left_ms);
        }
    }
    let first = reported.into_iter().map(|(route, mut times)| {
        times.sort_unstable();
        (route, initial_time(&times))
    });
    first.collect()
}

fn initial_time(sorted: &[u64]) -> u64 {
    let max = sorted.last().copied().unwrap_or(0);
    let equal = sorted
        .iter()
        .filter(|time| **time + EQUAL_TIME_TOLERANCE_MS >= max);
    if 2 * equal.count() >= sorted.len() {
        return max;
    }
    // The index is below the length, as the share is below 1.
    let place = (sorted.len() as f64 * RETRY_SHARE) as usize;
    sorted.get(place).copied().unwrap_or(max)
}

/// Returns how long before the request's arrival the caller had started, in milliseconds.
fn begun_ms(line: &AnsweredLine, first: &collections::HashMap<&str, u64>) -> u64 {
    let first_ms = first.get(line.route.as_str()).copied().unwrap_or(0);
    line.time_left_ms
        .map_or(0, |left_ms| first_ms.saturating_sub(left_ms))
}

const fn window_of(unix_ms: u64) -> u64 {
    unix_ms - unix_ms % WINDOW_MS
}

impl LossCounts {
    /// Returns the number of all requests.
    #[must_use]
    pub fn all(&self) -> u64 {
        let late: u64 = self.late.values().sum();
        let ended: u64 = self.ended.values().sum();
        self.in_time + late + ended
    }

    fn cells(&self) -> String {
        let late = LateCause::ALL.map(|cause| self.late.get(&cause).copied().unwrap_or(0));
        let late = late.map(|count| format!("{count:>14}")).concat();
        let ended: u64 = self.ended.values().sum();
        format!(
            "{:>9}{:>9}{late}{ended:>9}{:>11}",
            self.all(),
            self.in_time,
            self.refused_with_free_slots
        )
    }
}

/// Returns the headings of the columns that [`LossCounts::cells`] fills.
fn headings() -> String {
    let late = LateCause::ALL.map(|cause| format!("{cause:>14}")).concat();
    format!(
        "{:>9}{:>9}{late}{:>9}{:>11}",
        "requests", "in time", "failed", "with room"
    )
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<16}{}", "route", headings())?;
        for (name, route) in &self.routes {
            writeln!(f, "{name:<16}{}", route.counts.cells())?;
        }
        writeln!(f, "\n{:<16}{}", "from second", headings())?;
        let first = self.windows.keys().next().copied().unwrap_or(0);
        for (start, counts) in &self.windows {
            writeln!(f, "{:<16}{}", (start - first) / 1_000, counts.cells())?;
        }
        writeln!(
            f,
            "\nlater than expected, ms   median and p90: known object | first run | taken for known"
        )?;
        for (name, route) in &self.routes {
            write!(f, "{name:<16}")?;
            for error in [route.cached, route.expected_miss, route.unexpected_miss] {
                write!(f, "{:>8.0}{:>7.0} |", error.median_ms, error.p90_ms)?;
            }
            writeln!(f)?;
        }
        write!(f, "\n{} lines could not be read", self.unreadable)?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}
