//! Estimates when callers started, from the time that they were still willing to wait.

use std::collections;

use super::line::AnsweredLine;

/// Remaining times that differ by at most this count as equal, in milliseconds. It covers network
/// latency and scheduling delays.
const EQUAL_TIME_TOLERANCE_MS: u64 = 40;
/// Where callers have individual time limits, this share of them is taken to report less because
/// they retried. It is about the share of retries on a day with incidents.
const RETRY_SHARE: f64 = 0.05;

/// The estimated initial time limit of the callers of each route, in milliseconds.
///
/// Where most callers of a route report the same time, that is the maximum. Where callers have
/// individual time limits, a lower value is no sign of a retry: then it is the value that all but
/// [`RETRY_SHARE`] of the callers report at least.
#[derive(Debug)]
pub(super) struct CallerStarts<'a> {
    initial_ms: collections::HashMap<&'a str, u64>,
}

impl<'a> CallerStarts<'a> {
    pub(super) fn of(answered: &'a [AnsweredLine]) -> Self {
        let mut reported = collections::HashMap::<&'a str, Vec<u64>>::new();
        for line in answered {
            if let Some(left_ms) = line.time_left_ms {
                let times = reported.entry(line.route.as_str()).or_default();
                times.push(left_ms);
            }
        }
        let initial = reported.into_iter().map(|(route, mut times)| {
            times.sort_unstable();
            (route, initial_time(&times))
        });
        Self {
            initial_ms: initial.collect(),
        }
    }

    /// Returns how long before the request's arrival the caller had started, in milliseconds.
    pub(super) fn begun_ms(&self, line: &AnsweredLine) -> u64 {
        let initial = self.initial_ms.get(line.route.as_str());
        let initial_ms = initial.copied().unwrap_or(0);
        line.time_left_ms
            .map_or(0, |left_ms| initial_ms.saturating_sub(left_ms))
    }
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
