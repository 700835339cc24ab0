//! Writes counters, gauges and histograms in the text format that metrics collectors read.
//!
//! A module keeps its counters in a struct of its own, whose `write_to` writes them to the page.
//! Such a struct is a field of the process's metrics and takes one line there.

use std::fmt::Write as _;

/// A page of metrics, one value a line.
///
/// ```
/// use ledgespool::metrics_writer::MetricsWriter;
/// struct DoorCounters {
///     opened: u64,
/// }
/// impl DoorCounters {
///     fn write_to(&self, page: &mut MetricsWriter) {
///         page.value("doors_opened_total", self.opened);
///     }
/// }
/// let mut page = MetricsWriter::default();
/// DoorCounters { opened: 3 }.write_to(&mut page);
/// page.labelled("doors_total", &[("side", "north \"A\"")], 2);
/// let text = page.into_text();
/// assert_eq!(text, "doors_opened_total 3\ndoors_total{side=\"north \\\"A\\\"\"} 2\n");
/// ```
#[derive(Debug, Default)]
pub struct MetricsWriter {
    text: String,
}

impl MetricsWriter {
    /// Writes a value without labels.
    pub fn value(&mut self, name: &str, value: u64) {
        // Writing to a string cannot fail.
        let _written = writeln!(self.text, "{name} {value}");
    }

    /// Writes a gauge that may have no value yet; it is omitted then.
    pub fn optional(&mut self, name: &str, value: Option<u64>) {
        if let Some(value) = value {
            self.value(name, value);
        }
    }

    /// Writes a value with labels, as pairs of name and value. Quotation marks in values are
    /// escaped.
    pub fn labelled(&mut self, name: &str, labels: &[(&str, &str)], value: u64) {
        self.text.push_str(name);
        for (index, (label, text)) in labels.iter().enumerate() {
            let separator = if index == 0 { '{' } else { ',' };
            let _written = write!(self.text, "{separator}{label}={text:?}");
        }
        let end = if labels.is_empty() { "" } else { "}" };
        let _written = writeln!(self.text, "{end} {value}");
    }

    /// Returns the page.
    #[must_use]
    pub fn into_text(self) -> String {
        self.text
    }
}

/// A histogram of whole numbers with `N` fixed upper bounds and an open last bucket.
///
/// ```
/// use ledgespool::metrics_writer::{FixedHistogram, MetricsWriter};
/// let mut waits = FixedHistogram::with_bounds(&[10, 100]);
/// waits.record(7);
/// waits.record(250);
/// let mut page = MetricsWriter::default();
/// waits.write_to(&mut page, "wait_milliseconds", &[]);
/// let text = page.into_text();
/// assert!(text.contains("wait_milliseconds_bucket{le=\"10\"} 1\n"));
/// assert!(text.contains("wait_milliseconds_bucket{le=\"+Inf\"} 2\n"));
/// assert!(text.contains("wait_milliseconds_sum 257\n"));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct FixedHistogram<const N: usize> {
    bounds: &'static [u64; N],
    /// Values up to each bound, larger buckets including smaller ones.
    counts: [u64; N],
    sum: u64,
    count: u64,
}

impl<const N: usize> FixedHistogram<N> {
    /// Creates an empty histogram with ascending upper bounds.
    #[must_use]
    pub const fn with_bounds(bounds: &'static [u64; N]) -> Self {
        Self {
            bounds,
            counts: [0; N],
            sum: 0,
            count: 0,
        }
    }

    /// Counts one value.
    pub fn record(&mut self, value: u64) {
        self.count += 1;
        self.sum += value;
        for (bound, count) in self.bounds.iter().zip(&mut self.counts) {
            if value <= *bound {
                *count += 1;
            }
        }
    }

    /// Writes the buckets, the sum and the count as `NAME_bucket`, `NAME_sum` and `NAME_count`.
    pub fn write_to(&self, page: &mut MetricsWriter, name: &str, labels: &[(&str, &str)]) {
        let buckets = format!("{name}_bucket");
        for (bound, count) in self.bounds.iter().zip(self.counts) {
            let bound = bound.to_string();
            page.labelled(&buckets, &[labels, &[("le", &bound)]].concat(), count);
        }
        page.labelled(&buckets, &[labels, &[("le", "+Inf")]].concat(), self.count);
        page.labelled(&format!("{name}_sum"), labels, self.sum);
        page.labelled(&format!("{name}_count"), labels, self.count);
    }
}
