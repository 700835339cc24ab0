//! Sums of losses, by route and over time.

use std::{collections, fmt};

use super::cause::LateCause;
use super::line::{self, AnsweredLine, FailedLine, LossLine};

/// The length of a time window, in milliseconds.
pub const WINDOW_MS: u64 = 2_000;
/// Faults of unreadable lines that are kept for the report; the others are only counted.
const KEPT_FAULTS: usize = 5;

/// Where requests lost their worth.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct LossReport {
    /// By route.
    pub routes: collections::BTreeMap<String, RouteLosses>,
    /// By the start of each window, in Unix milliseconds.
    pub windows: collections::BTreeMap<u64, LossCounts>,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// What was wrong with the first of them.
    pub faults: Vec<String>,
}

/// How requests ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct LossCounts {
    /// Answered within their goal.
    pub in_time: u64,
    /// Answered later, by the main reason.
    pub late: collections::BTreeMap<LateCause, u64>,
    /// Not answered by a server, by how they ended.
    pub ended: collections::BTreeMap<String, u64>,
    /// Refused as full while a server within reach had a free slot.
    pub refused_with_room: u64,
}

/// The losses of one route, and how far off its expectations were.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct RouteLosses {
    /// How its requests ended.
    pub counts: LossCounts,
    /// How far off the expected time was where the server knew the object.
    pub known: ExpectationError,
    /// The same for first runs that were taken for such.
    pub first: ExpectationError,
    /// The same for first runs on servers that were taken to know the object.
    pub mistaken: ExpectationError,
}

/// Told times that differ by less than this are alike, in milliseconds: the ways and the wait for a turn.
const ALIKE_MS: u64 = 40;
/// Of callers with times of their own, this share told less since they came back: about as many as come back on
/// a day with trouble.
const SHORT_SHARE: f64 = 0.05;

/// By how much answers came later (above zero) or earlier than expected, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct ExpectationError {
    /// Answers.
    pub answers: u64,
    /// The median.
    pub median_ms: f64,
    /// What nine in ten stay below.
    pub p90_ms: f64,
}

impl ExpectationError {
    fn of(mut errors: Vec<f64>) -> Self {
        errors.sort_by(f64::total_cmp);
        let at = |share: f64| {
            // The product lies within the length.
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
    /// Reads log lines of any number of hosts, in any order.
    ///
    /// ```
    /// use ledgespool::losses::report::LossReport;
    /// let logs = [
    ///     r#"{"unix_ms":5,"event":"EV5011","route":"reads","end":"refused_full","free_slots":2}"#,
    ///     "cut off",
    /// ];
    /// let report = LossReport::from_lines(logs);
    /// assert_eq!(report.routes["reads"].counts.refused_with_room, 1);
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
        if self.faults.len() < KEPT_FAULTS {
            self.faults.push(fault.to_string());
        }
    }

    fn on_failed(&mut self, line: &FailedLine) {
        let route = self.routes.entry(line.route.clone()).or_default();
        let window = self.windows.entry(window_of(line.unix_ms)).or_default();
        for counts in [&mut route.counts, window] {
            *counts.ended.entry(line.end.clone()).or_default() += 1;
            counts.refused_with_room += u64::from(line.free_slots.unwrap_or(0) > 0);
        }
    }

    fn on_answered(&mut self, mut answered: Vec<AnsweredLine>) {
        // In the order in which the servers got them, so that the first on an object is found.
        answered.sort_by_key(|line| line.unix_ms.saturating_sub(line.offer.took_ms));
        let first = first_times(&answered);
        let mut met = collections::HashSet::new();
        let mut errors = collections::HashMap::<String, ErrorSamples>::new();
        for line in &answered {
            let first_run = line
                .object
                .as_ref()
                .is_some_and(|object| met.insert((line.server.clone(), object.clone())));
            let begun_ms = begun_ms(line, &first);
            self.count_answer(line, LateCause::of(line, begun_ms, first_run));
            let samples = errors.entry(line.route.clone()).or_default();
            samples.push(line, first_run);
        }
        for (name, samples) in errors {
            let route = self.routes.entry(name).or_default();
            route.known = ExpectationError::of(samples.known);
            route.first = ExpectationError::of(samples.first);
            route.mistaken = ExpectationError::of(samples.mistaken);
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

/// Differences between the time taken and the time expected, in milliseconds.
#[derive(Debug, Default)]
struct ErrorSamples {
    known: Vec<f64>,
    first: Vec<f64>,
    mistaken: Vec<f64>,
}

impl ErrorSamples {
    fn push(&mut self, line: &AnsweredLine, first_run: bool) {
        let error_ms = line.offer.took_ms as f64 - line.offer.expected.total_ms();
        let samples = match (first_run, line.offer.expected.object_cached) {
            (false, _) => &mut self.known,
            (true, false) => &mut self.first,
            (true, true) => &mut self.mistaken,
        };
        samples.push(error_ms);
    }
}

/// The time that callers of each route begin with. Where most tell the same, that is the most that any
/// told. Where each caller has a time of its own, one that told less need not have begun before: then it is what all
/// but [`SHORT_SHARE`] told at least.
fn first_times<'a>(answered: &'a [AnsweredLine]) -> collections::HashMap<&'a str, u64> {
    let mut told = collections::HashMap::<&'a str, Vec<u64>>::new();
    for line in answered {
        if let Some(left_ms) = line.time_left_ms {
            told.entry(line.route.as_str()).or_default().push(left_ms);
        }
    }
    let first = told.into_iter().map(|(route, mut times)| {
        times.sort_unstable();
        (route, first_time(&times))
    });
    first.collect()
}

fn first_time(sorted: &[u64]) -> u64 {
    let most = sorted.last().copied().unwrap_or(0);
    let alike = sorted.iter().filter(|time| **time + ALIKE_MS >= most);
    if 2 * alike.count() >= sorted.len() {
        return most;
    }
    // Less than the length.
    let place = (sorted.len() as f64 * SHORT_SHARE) as usize;
    sorted.get(place).copied().unwrap_or(most)
}

/// How long before its arrival the caller had begun, in milliseconds.
fn begun_ms(line: &AnsweredLine, first: &collections::HashMap<&str, u64>) -> u64 {
    let first_ms = first.get(line.route.as_str()).copied().unwrap_or(0);
    line.time_left_ms
        .map_or(0, |left_ms| first_ms.saturating_sub(left_ms))
}

const fn window_of(unix_ms: u64) -> u64 {
    unix_ms - unix_ms % WINDOW_MS
}

impl LossCounts {
    /// All requests that ended.
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
            self.refused_with_room
        )
    }
}

/// The heads of the columns that [`LossCounts::cells`] fills.
fn heads() -> String {
    let late = LateCause::ALL.map(|cause| format!("{cause:>14}")).concat();
    format!(
        "{:>9}{:>9}{late}{:>9}{:>11}",
        "requests", "in time", "failed", "with room"
    )
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<16}{}", "route", heads())?;
        for (name, route) in &self.routes {
            writeln!(f, "{name:<16}{}", route.counts.cells())?;
        }
        writeln!(f, "\n{:<16}{}", "from second", heads())?;
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
            for error in [route.known, route.first, route.mistaken] {
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
