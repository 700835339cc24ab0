//! Aggregates late and failed requests by route, urgency, customer, decision and time window.

use std::collections;

use super::caller_start::CallerStarts;
use super::cause::LateCause;
use super::decision::LossDecision;
use super::expectation::{ErrorSamples, ExpectationError};
use super::line::{self, AnsweredLine, FailedLine, LossLine};

/// Length of a time window, in milliseconds.
pub const WINDOW_MS: u64 = 2_000;
/// Number of unreadable lines whose errors the report lists; further ones are only counted.
const MAX_LISTED_FAULTS: usize = 5;
/// Number of customers that the report lists, those that lose most.
const MAX_LISTED_CUSTOMERS: usize = 10;

/// Late and failed requests, and the error of expected times.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct LossReport {
    /// Losses by route.
    pub routes: collections::BTreeMap<String, RouteLosses>,
    /// Counts by the priority of the route, 0 for the most urgent. Requests whose line names no
    /// priority are left out.
    pub priorities: collections::BTreeMap<u32, LossCounts>,
    /// Counts of the customers that lose most, those with most losses first.
    pub customers: Vec<CustomerLosses>,
    /// Losses by the decision that made them.
    pub decisions: collections::BTreeMap<LossDecision, DecisionLosses>,
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

/// The requests of one customer.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct CustomerLosses {
    /// The customer.
    pub name: String,
    /// Its request counts by outcome.
    pub counts: LossCounts,
}

/// The requests that were lost by one decision.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct DecisionLosses {
    /// All of them.
    pub requests: u64,
    /// By the priority of their route, as far as their lines name it.
    pub priorities: collections::BTreeMap<u32, u64>,
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
        let mut tally = LossTally::default();
        let mut answered = Vec::new();
        for text in lines {
            match line::read(text) {
                Ok(LossLine::Answered(line)) => answered.push(line),
                Ok(LossLine::Failed(line)) => tally.on_failed(&line),
                Ok(LossLine::Other) => {}
                Err(fault) => tally.report.on_fault(&fault),
            }
        }
        tally.on_answered(answered);
        tally.into_report()
    }

    fn on_fault(&mut self, fault: &crate::error::Error) {
        self.unreadable += 1;
        if self.faults.len() < MAX_LISTED_FAULTS {
            self.faults.push(fault.to_string());
        }
    }
}

/// What a request is counted under.
#[derive(Debug, Clone, Copy)]
struct RequestLabels<'a> {
    unix_ms: u64,
    route: &'a str,
    priority: Option<u32>,
    customer: Option<&'a str>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
enum RequestOutcome<'a> {
    InTime,
    Late(LateCause),
    Failed {
        outcome: &'a str,
        had_free_slots: bool,
    },
}

/// A report in the making, with the counts of all customers.
#[derive(Debug, Default)]
struct LossTally {
    report: LossReport,
    customers: collections::BTreeMap<String, LossCounts>,
}

impl LossTally {
    fn on_failed(&mut self, line: &FailedLine) {
        let labels = RequestLabels {
            unix_ms: line.unix_ms,
            route: &line.route,
            priority: line.priority,
            customer: line.customer.as_deref(),
        };
        let outcome = RequestOutcome::Failed {
            outcome: &line.outcome,
            had_free_slots: line.free_slots.unwrap_or(0) > 0,
        };
        self.count(labels, outcome);
        self.count_decision(LossDecision::of_failed(line), line.priority);
    }

    fn on_answered(&mut self, mut answered: Vec<AnsweredLine>) {
        // Sorts by the time of sending to the server, to find the first request for each object.
        answered.sort_by_key(|line| line.unix_ms.saturating_sub(line.attempt.took_ms));
        let starts = CallerStarts::of(&answered);
        let mut seen = collections::HashSet::new();
        let mut errors = collections::HashMap::<String, ErrorSamples>::new();
        for line in &answered {
            let cache_miss = line
                .object
                .as_ref()
                .is_some_and(|object| seen.insert((line.server.clone(), object.clone())));
            self.count_answer(line, LateCause::of(line, starts.begun_ms(line), cache_miss));
            let samples = errors.entry(line.route.clone()).or_default();
            samples.push(line, cache_miss);
        }
        for (name, samples) in errors {
            let route = self.report.routes.entry(name).or_default();
            route.cached = ExpectationError::of(samples.cached);
            route.expected_miss = ExpectationError::of(samples.expected_miss);
            route.unexpected_miss = ExpectationError::of(samples.unexpected_miss);
        }
    }

    fn count_answer(&mut self, line: &AnsweredLine, late: Option<LateCause>) {
        let labels = RequestLabels {
            unix_ms: line.unix_ms,
            route: &line.route,
            priority: line.priority,
            customer: line.customer.as_deref(),
        };
        let outcome = late.map_or(RequestOutcome::InTime, RequestOutcome::Late);
        self.count(labels, outcome);
        if let Some(cause) = late {
            self.count_decision(LossDecision::of_late(line, cause), line.priority);
        }
    }

    fn count(&mut self, labels: RequestLabels<'_>, outcome: RequestOutcome<'_>) {
        let report = &mut self.report;
        let route = report.routes.entry(labels.route.to_owned()).or_default();
        route.counts.count(outcome);
        let window = report.windows.entry(window_of(labels.unix_ms)).or_default();
        window.count(outcome);
        if let Some(priority) = labels.priority {
            report
                .priorities
                .entry(priority)
                .or_default()
                .count(outcome);
        }
        if let Some(customer) = labels.customer {
            let counts = self.customers.entry(customer.to_owned()).or_default();
            counts.count(outcome);
        }
    }

    fn count_decision(&mut self, decision: LossDecision, priority: Option<u32>) {
        let losses = self.report.decisions.entry(decision).or_default();
        losses.requests += 1;
        if let Some(priority) = priority {
            *losses.priorities.entry(priority).or_default() += 1;
        }
    }

    fn into_report(self) -> LossReport {
        let customers = self.customers.into_iter();
        let losing = customers.filter(|(_, counts)| counts.lost() > 0);
        let mut listed: Vec<CustomerLosses> = losing
            .map(|(name, counts)| CustomerLosses { name, counts })
            .collect();
        listed.sort_by_key(|customer| std::cmp::Reverse(customer.counts.lost()));
        listed.truncate(MAX_LISTED_CUSTOMERS);
        LossReport {
            customers: listed,
            ..self.report
        }
    }
}

const fn window_of(unix_ms: u64) -> u64 {
    unix_ms - unix_ms % WINDOW_MS
}

impl LossCounts {
    /// Returns the number of all requests.
    #[must_use]
    pub fn all(&self) -> u64 {
        self.in_time + self.lost()
    }

    /// Returns the number of late and failed requests.
    #[must_use]
    pub fn lost(&self) -> u64 {
        let late: u64 = self.late.values().sum();
        let ended: u64 = self.ended.values().sum();
        late + ended
    }

    fn count(&mut self, outcome: RequestOutcome<'_>) {
        match outcome {
            RequestOutcome::InTime => self.in_time += 1,
            RequestOutcome::Late(cause) => *self.late.entry(cause).or_default() += 1,
            RequestOutcome::Failed {
                outcome,
                had_free_slots,
            } => {
                *self.ended.entry(outcome.to_owned()).or_default() += 1;
                self.refused_with_free_slots += u64::from(had_free_slots);
            }
        }
    }
}
