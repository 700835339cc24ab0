//! This host's own shares of the [budgets](super::budget) that all hosts share.

use super::budget::{ColdShare, RetryShare, RetryWindow};
use super::hash;
use super::host::EntryHost;
use super::wire::WireProtocol;

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
        let now = self.now();
        self.with_retries(service, |window| window.on_request(now));
    }

    /// Takes one retry from the budget of `service`; returns whether it is allowed.
    pub fn try_retry(&self, service: &str) -> bool {
        let share = self.retry_share();
        let now = self.now();
        let allowed = self.with_retries(service, |window| window.try_retry(&share, now));
        let mut metrics = self.metrics.borrow_mut();
        if allowed {
            metrics.retries += 1;
        } else {
            metrics.retries_denied += 1;
        }
        allowed
    }

    fn retry_share(&self) -> RetryShare {
        let bounds = self.settings().bounds;
        RetryShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            hosts: self.peers.borrow().host_count(),
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
