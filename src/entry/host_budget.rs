//! This host's own shares of the [budgets](super::budget) that all hosts share.

use serde_json::json;

use super::budget::{ColdShare, RetryShare, RetryWindow};
use super::decision_log::LogPriority;
use super::hash;
use super::host::EntryHost;
use super::open_request::OpenRequest;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::metrics_writer::MetricsWriter;
use crate::urgency::classes::UrgencyClass;

/// Part of the retry budget that is kept for the most urgent routes of a service and for requests
/// that may run only once. It is less than half, so that the retries of all others still get the
/// larger part.
const KEPT_RETRY_PART: f64 = 0.3;

impl<W: WireProtocol> EntryHost<W> {
    /// This host's share of the limit of a cold server.
    #[must_use]
    pub fn cold_share(&self, cold_per_s: f64) -> ColdShare {
        let settings = self.settings();
        ColdShare {
            total_per_s: cold_per_s * settings.bounds.cold_factor + settings.bounds.cold_slack,
            hosts: self.peers.borrow().host_count(),
            own_hash: hash::of_name(&settings.name),
            other_hashes: self.peers.borrow().other_hashes(),
        }
    }

    /// Counts the first attempt to send a request to `service`.
    pub fn on_first_attempt(&self, service: &str) {
        let (share, now) = (self.retry_share(), self.now());
        self.with_retries(service, |window| window.on_request(&share, now));
    }

    /// Takes one retry from the budget of the request's service; returns whether it is allowed.
    pub(super) fn try_retry(&self, open: &OpenRequest) -> bool {
        let share = self.retry_share();
        let now = self.now();
        let part = self.retry_part(open);
        let (allowed, has_kept) = self.with_retries(&open.service, |window| {
            let allowed = window.try_retry_within(&share, part, now);
            (allowed, !allowed && window.allows(&share, now))
        });
        open.retry_denied.set(!allowed);
        if allowed {
            self.log_retry(open, &share);
        }
        let mut metrics = self.metrics.borrow_mut();
        if allowed {
            metrics.retries += 1;
        } else {
            metrics.retries_denied += 1;
        }
        metrics.urgency.retries_kept += u64::from(has_kept);
        allowed
    }

    /// Logs an allowed retry with the counts that it rests on.
    fn log_retry(&self, open: &OpenRequest, share: &RetryShare) {
        let usage = self.with_retries(&open.service, |window| window.usage());
        let fields = json!({
            "id": open.forward.id,
            "service": open.service,
            "requests": usage.requests,
            "retries": usage.retries,
            "hosts": share.hosts,
        });
        let priority = LogPriority::Ordinary;
        self.log.write(EventCode::RetryAllowed, priority, fields);
    }

    /// Writes the retries of each service beside the counts that allowed them.
    pub(super) fn write_retries(&self, page: &mut MetricsWriter) {
        let hosts = u64::from(self.peers.borrow().retry_host_count());
        for (service, window) in self.retry_windows.borrow().iter() {
            let labels = [("service", service.as_str())];
            let usage = window.usage();
            page.labelled("ledgespool_retry_window_requests", &labels, usage.requests);
            page.labelled("ledgespool_retry_window_retries", &labels, usage.retries);
            let allowed_total = window.allowed_total();
            page.labelled("ledgespool_service_retries_total", &labels, allowed_total);
        }
        page.value("ledgespool_retry_hosts", hosts);
    }

    /// The part of the retry budget that the request may use. The last part is kept for urgent
    /// requests, and for those that may run only once, since their callers may not repeat them
    /// after a failure.
    fn retry_part(&self, open: &OpenRequest) -> f64 {
        match self.urgency_class(open) {
            None | Some(UrgencyClass::Urgent) => 1.0,
            Some(_) if !open.forward.is_retryable => 1.0,
            Some(_) => 1.0 - KEPT_RETRY_PART,
        }
    }

    fn retry_share(&self) -> RetryShare {
        let bounds = self.settings().bounds;
        RetryShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            hosts: self.peers.borrow().retry_host_count(),
        }
    }

    fn with_retries<T>(&self, service: &str, work: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let window_ms = self.settings().bounds.retry_window.as_millis() as u64;
        let mut windows = self.retry_windows.borrow_mut();
        if let Some(window) = windows.get_mut(service) {
            return work(window);
        }
        let window = windows
            .entry(service.to_owned())
            .or_insert_with(|| RetryWindow::with_length(window_ms));
        work(window)
    }
}
