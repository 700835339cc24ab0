//! Counters of the load exchange: how recent and how accurate the expected loads are, and what the
//! exchange costs.

use crate::metrics_writer::MetricsWriter;

/// Age from which a load report counts as old, in milliseconds.
const OLD_REPORT_MS: u64 = 1_000;
/// An expected load is accurate if it differs from the reported one by at most this many requests.
const MAX_ACCURATE_ERROR: f64 = 2.0;

/// Counters of the load exchange.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadMetrics {
    /// Choices of a server with a load report, and the sum of the reports' ages in milliseconds.
    choices_reported: u64,
    age_sum_ms: u64,
    /// Choices of a server without a load report or with an old one.
    choices_unreported: u64,
    choices_old: u64,
    /// Load reports with answers, those of them that were expected, and the sum of the differences
    /// in requests.
    answers: u64,
    answers_expected: u64,
    error_sum: f64,
    /// Datagrams sent, with their bytes and reports.
    pub digests_sent: u64,
    /// Bytes of these.
    pub bytes_sent: u64,
    /// Load reports in these.
    pub reports_sent: u64,
    /// Datagrams received.
    pub digests_received: u64,
    /// Bytes of these.
    pub bytes_received: u64,
    /// Load reports in these.
    pub reports_received: u64,
    /// Received reports that were newer than what was known.
    pub reports_new: u64,
    /// Received reports of servers that are not known, such as earlier incarnations.
    pub reports_void: u64,
    /// Cached objects that other hosts told.
    pub placements_received: u64,
}

impl LoadMetrics {
    /// Counts a choice made with a load report of this age.
    pub const fn on_choice(&mut self, age_ms: Option<u64>) {
        match age_ms {
            Some(age_ms) => {
                self.choices_reported += 1;
                self.age_sum_ms += age_ms;
                if age_ms > OLD_REPORT_MS {
                    self.choices_old += 1;
                }
            }
            None => self.choices_unreported += 1,
        }
    }

    /// Counts a load that a server reported with an answer, and the one that was expected then.
    pub fn on_answer(&mut self, expected: f64, reported: u32) {
        let error = (expected - f64::from(reported)).abs();
        self.answers += 1;
        self.error_sum += error;
        if error <= MAX_ACCURATE_ERROR {
            self.answers_expected += 1;
        }
    }

    /// Writes all counters.
    pub fn write_to(&self, page: &mut MetricsWriter) {
        for (name, value) in self.lines() {
            page.value(name, value);
        }
    }

    const fn lines(&self) -> [(&'static str, u64); 16] {
        [
            ("ledgespool_load_choices_total", self.choices_reported),
            ("ledgespool_load_age_milliseconds_sum", self.age_sum_ms),
            ("ledgespool_load_choices_old_total", self.choices_old),
            (
                "ledgespool_load_choices_unreported_total",
                self.choices_unreported,
            ),
            ("ledgespool_load_answers_total", self.answers),
            (
                "ledgespool_load_answers_expected_total",
                self.answers_expected,
            ),
            // Whole requests are enough for a sum.
            ("ledgespool_load_error_requests_sum", self.error_sum as u64),
            ("ledgespool_load_digests_sent_total", self.digests_sent),
            ("ledgespool_load_bytes_sent_total", self.bytes_sent),
            ("ledgespool_load_reports_sent_total", self.reports_sent),
            (
                "ledgespool_load_digests_received_total",
                self.digests_received,
            ),
            ("ledgespool_load_bytes_received_total", self.bytes_received),
            (
                "ledgespool_load_reports_received_total",
                self.reports_received,
            ),
            ("ledgespool_load_reports_new_total", self.reports_new),
            ("ledgespool_load_reports_void_total", self.reports_void),
            (
                "ledgespool_load_placements_received_total",
                self.placements_received,
            ),
        ]
    }
}
