//! The error of the times that hosts expect.

use super::line::AnsweredLine;

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
    pub(super) fn of(mut errors: Vec<f64>) -> Self {
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

/// Time taken minus time expected, in milliseconds, one value an answer.
#[derive(Debug, Default)]
pub(super) struct ErrorSamples {
    pub(super) cached: Vec<f64>,
    pub(super) expected_miss: Vec<f64>,
    pub(super) unexpected_miss: Vec<f64>,
}

impl ErrorSamples {
    pub(super) fn push(&mut self, line: &AnsweredLine, cache_miss: bool) {
        let error_ms = line.attempt.took_ms as f64 - line.attempt.expected.total_ms();
        let samples = match (cache_miss, line.attempt.expected.object_cached) {
            (false, _) => &mut self.cached,
            (true, false) => &mut self.expected_miss,
            (true, true) => &mut self.unexpected_miss,
        };
        samples.push(error_ms);
    }
}
