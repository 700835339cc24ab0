//! The results of an experiment.

use std::fmt;

/// The requests of one customer.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct CustomerCount {
    /// Requests that it sent.
    pub sent: u64,
    /// Requests that a single bucket that sees all requests would have let through.
    pub owed: u64,
    /// Requests that were let through.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// The fullest window, as a share of what the bound allows; a value above 1 violates the bound.
    pub fullest: f64,
}

impl CustomerCount {
    /// Requests below the limit that were refused.
    #[must_use]
    pub const fn refused_below(&self) -> u64 {
        self.owed.saturating_sub(self.admitted)
    }
}

/// The result of one simulation run under one strategy.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct LimitReport {
    /// The name of the strategy.
    #[serde(rename = "way")]
    pub strategy: &'static str,
    /// Requests of all customers.
    pub sent: u64,
    /// Requests that a single bucket that sees all requests would have let through.
    pub owed: u64,
    /// The share of these that was refused.
    pub refused_below: f64,
    /// The number of customers with a window that exceeds the bound.
    pub broken: usize,
    /// The fullest window of any customer, as a share of what its bound allows.
    pub fullest: f64,
    /// Bytes that a host sent about limits, per second.
    pub bytes_per_s: f64,
    /// Messages that a host sent about limits, per second.
    pub messages_per_s: f64,
    /// The counts of each customer, the largest customer first.
    pub customers: Vec<CustomerCount>,
}

impl LimitReport {
    /// Sums up the counts of all customers.
    #[must_use]
    pub fn from_counts(
        strategy: &'static str,
        customers: Vec<CustomerCount>,
        bytes_per_s: f64,
        messages_per_s: f64,
    ) -> Self {
        let owed: u64 = customers.iter().map(|count| count.owed).sum();
        let below: u64 = customers.iter().map(CustomerCount::refused_below).sum();
        Self {
            strategy,
            sent: customers.iter().map(|count| count.sent).sum(),
            owed,
            refused_below: below as f64 / (owed as f64).max(1.0),
            broken: customers.iter().filter(|count| count.fullest > 1.0).count(),
            fullest: customers
                .iter()
                .map(|count| count.fullest)
                .fold(0.0, f64::max),
            bytes_per_s,
            messages_per_s,
            customers,
        }
    }
}

/// Formats several reports as a Markdown table.
#[derive(Debug, Clone, Copy)]
pub struct ReportTable<'a>(pub &'a [LimitReport]);

impl fmt::Display for ReportTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| way | sent | refused below the limit | customers over their bound | fullest window | bytes a host and second | messages |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|")?;
        for report in self.0 {
            writeln!(
                f,
                "| {} | {} | {:.2} % | {} | {:.2} | {:.0} | {:.0} |",
                report.strategy,
                report.sent,
                100.0 * report.refused_below,
                report.broken,
                report.fullest,
                report.bytes_per_s,
                report.messages_per_s
            )?;
        }
        Ok(())
    }
}
