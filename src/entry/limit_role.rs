//! What the limits of customers say of this host's requests.

use rand::Rng as _;

use super::customer::CustomerRule;
use super::hash;
use super::host::EntryHost;
use super::limits::parts::HostShare;
use super::limits::{LimitBound, LimitTolerance, LimitVerdict};
use super::request_failure::RequestFailure;
use super::wire::WireProtocol;

/// Come-back times lie between these multiples of the time until there is room again, so that
/// those who were refused together do not come back together.
const COME_BACK_SHARES: std::ops::Range<f64> = 1.0..2.0;
/// The shortest come-back time, in milliseconds: about what other requests of a busy customer take
/// to move on.
const COME_BACK_MIN_MS: f64 = 50.0;

impl<W: WireProtocol> EntryHost<W> {
    /// Lets one request of `customer` through, or says when there is room for it.
    pub(super) fn admit(&self, customer: &CustomerRule) -> Result<(), RequestFailure> {
        let Some(bound) = self.limit_bound(customer) else {
            return Ok(());
        };
        let now = self.now();
        let verdict = self.with_share(|share| {
            let mut parts = self.limit_parts.borrow_mut();
            parts.admit(&customer.name, &bound, share, now)
        });
        match verdict {
            LimitVerdict::Admitted => Ok(()),
            LimitVerdict::Refused { room_in_ms } => {
                let spread = self.random.borrow_mut().random_range(COME_BACK_SHARES);
                let millis = (room_in_ms as f64 * spread).max(COME_BACK_MIN_MS);
                // A float cast saturates, and the value is positive.
                Err(RequestFailure::over_limit(millis as u64))
            }
        }
    }

    /// A request of `customer` that was let through has not run.
    pub(super) fn give_right_back(&self, customer: &CustomerRule) {
        let Some(bound) = self.limit_bound(customer) else {
            return;
        };
        self.with_share(|share| {
            let mut parts = self.limit_parts.borrow_mut();
            parts.give_back(&customer.name, &bound, share);
        });
    }

    fn limit_bound(&self, customer: &CustomerRule) -> Option<LimitBound> {
        let bounds = self.settings().bounds;
        let limit = customer.limit?;
        Some(LimitBound {
            limit,
            tolerance: LimitTolerance {
                window_s: bounds.limit_window.as_secs_f64(),
                excess: bounds.limit_excess,
                slack: bounds.limit_slack,
            },
        })
    }

    fn with_share<T>(&self, work: impl FnOnce(&HostShare<'_>) -> T) -> T {
        let peers = self.peers.borrow();
        let others = peers.other_hashes();
        work(&HostShare {
            hosts: peers.host_count(),
            own_hash: hash::of_name(&self.settings().name),
            other_hashes: others.as_deref().unwrap_or_default(),
        })
    }
}
