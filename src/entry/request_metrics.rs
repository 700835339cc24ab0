//! Counters of callers' requests: by route, by the urgency of the route, and refusals by customer.

use std::collections;

use super::metrics_page::RequestCompletion;
use crate::metrics_writer::{FixedHistogram, MetricsWriter};

/// Upper bounds of the latency histogram, in milliseconds: from the fastest answer of a warm server
/// to the longest deadline in use.
const BUCKETS_MS: [u64; 12] = [
    25, 50, 100, 200, 300, 400, 600, 1_000, 1_500, 2_500, 4_000, 8_000,
];
/// The number of customers that a counter names. All others share one value, which limits the size
/// of the page.
const MAX_NAMED_CUSTOMERS: usize = 100;
/// The label of the value that all other customers share.
const OTHER_CUSTOMERS: &str = "(others)";

/// The route of a request, as its counters label it.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteLabel<'a> {
    /// The name; empty if no route matched.
    pub name: &'a str,
    /// The priority, 0 for the most urgent; `None` if no route matched.
    pub priority: Option<u32>,
}

/// Counts per customer, with a bounded number of names.
#[derive(Debug, Default)]
struct CustomerCounts {
    counts: collections::BTreeMap<String, u64>,
}

/// The counters of callers' requests.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    requests: collections::BTreeMap<(String, RequestCompletion), u64>,
    by_priority: collections::BTreeMap<(u32, RequestCompletion), u64>,
    latency: collections::BTreeMap<String, FixedHistogram<{ BUCKETS_MS.len() }>>,
    over_limit: CustomerCounts,
    refused_within_limit: CustomerCounts,
    /// Requests that the limits of their customers let through.
    within_limit: u64,
}

impl RequestMetrics {
    /// Counts a completed request. `millis` is the time since its arrival.
    pub fn on_request(
        &mut self,
        route: RouteLabel<'_>,
        completion: RequestCompletion,
        millis: u64,
    ) {
        let key = (route.name.to_owned(), completion);
        *self.requests.entry(key).or_default() += 1;
        if let Some(priority) = route.priority {
            *self.by_priority.entry((priority, completion)).or_default() += 1;
        }
        if completion == RequestCompletion::Answered {
            self.latency
                .entry(route.name.to_owned())
                .or_insert_with(|| FixedHistogram::with_bounds(&BUCKETS_MS))
                .record(millis);
        }
    }

    /// Counts a request that its customer's limit let through.
    pub const fn on_within_limit(&mut self) {
        self.within_limit += 1;
    }

    /// Counts a request of `customer` that was refused because of its limit.
    pub fn on_over_limit(&mut self, customer: &str) {
        self.over_limit.count(customer);
    }

    /// Counts a request of `customer` that its limit let through and that was refused all the same.
    pub fn on_refused_within_limit(&mut self, customer: &str) {
        self.refused_within_limit.count(customer);
    }

    /// Writes all counters.
    ///
    /// ```
    /// use ledgespool::entry::metrics_page::RequestCompletion;
    /// use ledgespool::entry::request_metrics::{RequestMetrics, RouteLabel};
    /// use ledgespool::metrics_writer::MetricsWriter;
    /// let mut metrics = RequestMetrics::default();
    /// let route = RouteLabel { name: "reads", priority: Some(2) };
    /// metrics.on_request(route, RequestCompletion::RefusedFull, 4);
    /// let mut page = MetricsWriter::default();
    /// metrics.write_to(&mut page);
    /// let line = "ledgespool_requests_by_priority_total{priority=\"2\",end=\"refused_full\"} 1\n";
    /// assert!(page.into_text().contains(line));
    /// ```
    pub fn write_to(&self, page: &mut MetricsWriter) {
        for ((route, completion), count) in &self.requests {
            let labels = [("route", route.as_str()), ("end", completion.as_str())];
            page.labelled("ledgespool_requests_total", &labels, *count);
        }
        for ((priority, completion), count) in &self.by_priority {
            let priority = priority.to_string();
            let labels = [
                ("priority", priority.as_str()),
                ("end", completion.as_str()),
            ];
            page.labelled("ledgespool_requests_by_priority_total", &labels, *count);
        }
        for (route, histogram) in &self.latency {
            histogram.write_to(page, "ledgespool_answer_milliseconds", &[("route", route)]);
        }
        page.value("ledgespool_within_limit_total", self.within_limit);
        self.over_limit
            .write_to(page, "ledgespool_over_limit_total");
        self.refused_within_limit
            .write_to(page, "ledgespool_refused_within_limit_total");
    }
}

impl CustomerCounts {
    fn count(&mut self, customer: &str) {
        let is_named =
            self.counts.contains_key(customer) || self.counts.len() < MAX_NAMED_CUSTOMERS;
        let name = if is_named { customer } else { OTHER_CUSTOMERS };
        *self.counts.entry(name.to_owned()).or_default() += 1;
    }

    fn write_to(&self, page: &mut MetricsWriter, name: &str) {
        for (customer, count) in &self.counts {
            page.labelled(name, &[("customer", customer)], *count);
        }
    }
}
