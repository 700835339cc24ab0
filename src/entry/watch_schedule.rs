//! Decides how long a watch of the store waits, so that the watchers of all regions ask in turn.
//!
//! A call that the store or the network swallows looks like one that waits for a change. If all
//! watchers begin their calls at the same moment, as after a change, a short silence swallows all
//! of them. Their waits therefore end one after the other, at a fixed interval: each watcher has a
//! slot of the time of day. A watcher whose call is not answered at the end of its wait asks again.
//! So some watcher asks the store in each interval, whatever became of the calls before, and the
//! number of calls does not depend on the number of watchers.

use super::settings::SharedBounds;
use super::store::ObjectKind;

/// How long a watch waits at most, in milliseconds. Each new watch is another call.
const MAX_WAIT_MS: u64 = 5_000;
/// How long a watch of the hosts waits at most, in milliseconds. Hosts also learn of each other by
/// heartbeats, so fewer calls suffice.
const MAX_HOSTS_WAIT_MS: u64 = 25_000;
/// Checks within the time in which a change must be in force. After a lost call and the check that
/// finds it, two thirds are left for the news to reach all hosts.
const CHECKS_PER_BOUND: u64 = 3;

/// How much later than its wait a watch may be answered before the store is asked again, in
/// milliseconds. Longer than an answer takes over the longest distance.
pub const MAX_LATENESS_MS: u64 = 250;
/// How long the answer to such a call may take, in milliseconds. A slow store takes some hundred.
pub const CHECK_TIMEOUT_MS: u64 = 1_000;

/// The position of a host among the hosts that watch the store, of all regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchSlot {
    /// The host's position, from 0.
    pub index: u64,
    /// The number of watchers, at least 1.
    pub count: u64,
}

impl WatchSlot {
    /// How long a watch of `kind` waits that begins at the time of day `unix_ms`, in milliseconds.
    ///
    /// ```
    /// use ledgespool::entry::watch_schedule::WatchSlot;
    /// let first = WatchSlot { index: 0, count: 2 };
    /// let second = WatchSlot { index: 1, count: 2 };
    /// assert_eq!(first.wait_until_slot_ms(500, 10_100), 900);
    /// assert_eq!(second.wait_until_slot_ms(500, 10_100), 400);
    /// ```
    #[must_use]
    pub const fn wait_until_slot_ms(self, interval_ms: u64, unix_ms: u64) -> u64 {
        let period_ms = interval_ms * self.count;
        let elapsed_ms = (unix_ms + period_ms - self.index * interval_ms) % period_ms;
        period_ms - elapsed_ms
    }

    /// The interval at which one of the watchers asks the store, in milliseconds.
    ///
    /// ```
    /// use ledgespool::entry::watch_schedule::{WatchLimits, WatchSlot};
    /// let slot = WatchSlot { index: 0, count: 6 };
    /// let limits = |bound_ms| WatchLimits { max_wait_ms: 5_000, bound_ms };
    /// assert_eq!(slot.interval_ms(limits(Some(2_000))), 666);
    /// assert_eq!(slot.interval_ms(limits(Some(5_000))), 833, "each still waits for 5 s at most");
    /// ```
    #[must_use]
    pub fn interval_ms(self, limits: WatchLimits) -> u64 {
        let longest_ms = limits.max_wait_ms / self.count;
        let needed_ms = limits.bound_ms.map(|bound_ms| bound_ms / CHECKS_PER_BOUND);
        needed_ms.unwrap_or(longest_ms).clamp(1, longest_ms.max(1))
    }
}

/// How long watches of a kind may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchLimits {
    /// The longest wait of one watch, in milliseconds.
    pub max_wait_ms: u64,
    /// The time in which a change must be in force on all hosts, in milliseconds; `None` if there
    /// is no bound.
    pub bound_ms: Option<u64>,
}

impl WatchLimits {
    /// The limits of a kind.
    pub(super) fn of_kind(kind: ObjectKind, bounds: &SharedBounds) -> Self {
        let bound = match kind {
            ObjectKind::Configuration | ObjectKind::Rollouts => bounds.configuration_time,
            ObjectKind::Servers => bounds.leave_time,
            ObjectKind::Evacuations => bounds.evacuation_time,
            ObjectKind::Hosts | ObjectKind::Quarantine => {
                return Self {
                    max_wait_ms: MAX_HOSTS_WAIT_MS,
                    bound_ms: None,
                };
            }
        };
        Self {
            max_wait_ms: MAX_WAIT_MS,
            bound_ms: u64::try_from(bound.as_millis()).ok(),
        }
    }
}
