//! Counts the decisions about patient and urgent requests for operators.

use super::classes::UrgencyClass;
use crate::metrics_writer::MetricsWriter;

/// Counters of one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct UrgencyCounters {
    /// Requests that have waited at the host.
    pub waited: u64,
    /// Total time that requests have waited at the host, in milliseconds.
    pub waited_ms: u64,
    /// Requests that were sent because their slack was used up.
    pub slack_ended: u64,
    /// Requests that were sent at once because too many were waiting.
    pub over_bound: u64,
    /// Retries denied because the rest of the budget is kept for urgent requests.
    pub retries_kept: u64,
    /// Requests refused for lack of capacity, by class.
    refused: [u64; UrgencyClass::ALL.len()],
}

impl UrgencyCounters {
    /// Counts a request that was refused for lack of capacity.
    pub const fn on_refused(&mut self, class: UrgencyClass) {
        self.refused[class as usize] += 1;
    }

    /// Writes the counters; `waiting` requests wait at the host now.
    ///
    /// ```
    /// use ledgespool::metrics_writer::MetricsWriter;
    /// use ledgespool::urgency::counters::UrgencyCounters;
    /// let mut counters = UrgencyCounters::default();
    /// counters.waited = 3;
    /// let mut page = MetricsWriter::default();
    /// counters.write_to(&mut page, 0);
    /// assert!(page.into_text().contains("ledgespool_waited_total 3\n"));
    /// ```
    pub fn write_to(&self, page: &mut MetricsWriter, waiting: usize) {
        page.value("ledgespool_waiting", waiting as u64);
        page.value("ledgespool_waited_total", self.waited);
        page.value("ledgespool_waited_milliseconds_total", self.waited_ms);
        page.value("ledgespool_wait_slack_ended_total", self.slack_ended);
        page.value("ledgespool_wait_over_bound_total", self.over_bound);
        page.value("ledgespool_repeats_kept_total", self.retries_kept);
        for class in UrgencyClass::ALL {
            let labels = [("urgency", class.as_str())];
            let count = self.refused[class as usize];
            page.labelled("ledgespool_refused_by_urgency_total", &labels, count);
        }
    }
}
