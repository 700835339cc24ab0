//! The time until some watcher learns of a change, when a silence of the store swallows calls. A
//! silence just after a change used to swallow the next watches of all watchers at once.

use ledgespool::entry::watch_schedule::{self, WatchLimits, WatchSlot};

/// The bound of the changes, and the longest wait of a watch.
const LIMITS: WatchLimits = WatchLimits {
    max_wait_ms: 5_000,
    bound_ms: Some(2_000),
};
/// An answer of the store over the longest distance.
const CALL_MS: u64 = 80;
/// The pause after an answer with changes.
const BATCH_PAUSE_MS: u64 = 250;
/// The longest pause after a failed call.
const MAX_BACKOFF_MS: u64 = 800;
/// When the first change is made, in milliseconds since the Unix epoch.
const FIRST_CHANGE_MS: u64 = 1_700_000_000_000;

/// Which calls a silence swallows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SwallowedCalls {
    /// Those that begin during it.
    Begun,
    /// Those and the ones that wait when it begins.
    BegunAndWaiting,
}

/// A silence of the store, and the change after it.
#[derive(Debug, Clone, Copy)]
struct SilencePlan {
    begins_ms: u64,
    ends_ms: u64,
    swallowed: SwallowedCalls,
    /// When the second change is made.
    change_ms: u64,
}

impl SilencePlan {
    const fn contains(self, at_ms: u64) -> bool {
        self.begins_ms <= at_ms && at_ms < self.ends_ms
    }

    const fn swallows(self, from_ms: u64, until_ms: u64) -> bool {
        let is_waiting = from_ms < self.begins_ms && self.begins_ms < until_ms;
        self.contains(from_ms)
            || (is_waiting && matches!(self.swallowed, SwallowedCalls::BegunAndWaiting))
    }

    /// When a watcher whose clock is ahead by `ahead_ms` learns of the second change.
    fn learned_at(self, slot: WatchSlot, ahead_ms: u64) -> u64 {
        let interval_ms = slot.interval_ms(LIMITS);
        let mut now = FIRST_CHANGE_MS + CALL_MS + BATCH_PAUSE_MS;
        loop {
            let due = now + slot.wait_until_slot_ms(interval_ms, now + ahead_ms);
            let is_swallowed = self.swallows(now, due);
            if !is_swallowed && self.change_ms <= due {
                return now.max(self.change_ms) + CALL_MS;
            }
            if !is_swallowed {
                now = due + CALL_MS;
                continue;
            }
            now = self.answered_check(due + watch_schedule::MAX_LATENESS_MS);
            if self.change_ms <= now {
                return now + CALL_MS;
            }
        }
    }

    /// The begin of the first answered call of those that begin at `now` and after failures.
    fn answered_check(self, mut now: u64) -> u64 {
        while self.contains(now) {
            now += watch_schedule::CHECK_TIMEOUT_MS + MAX_BACKOFF_MS;
        }
        now
    }
}

/// The longest time from the second change until the first of `count` watchers knows it, over all
/// silences of this way and up to `longest_ms`. The clock of the first watcher is ahead.
fn worst_ms(count: u64, swallowed: SwallowedCalls, longest_ms: u64, ahead_ms: u64) -> u64 {
    let mut worst = 0;
    for begins in (0..6_000).step_by(50) {
        for length in (100..=longest_ms).step_by(100) {
            for pause in (0..4_000).step_by(200) {
                let ends_ms = FIRST_CHANGE_MS + begins + length;
                let plan = SilencePlan {
                    begins_ms: FIRST_CHANGE_MS + begins,
                    ends_ms,
                    swallowed,
                    change_ms: ends_ms + pause,
                };
                let slots = (0..count).map(|index| WatchSlot { index, count });
                let learned = slots.map(|slot| {
                    let ahead_ms = if slot.index == 0 { ahead_ms } else { 0 };
                    plan.learned_at(slot, ahead_ms)
                });
                let first = learned.min();
                worst = worst.max(first.expect("a watcher") - plan.change_ms);
            }
        }
    }
    worst
}

#[test]
fn a_swallowed_call_delays_changes_by_one_interval_and_one_check() {
    for count in [2, 4, 6, 12] {
        let interval_ms = WatchSlot { index: 0, count }.interval_ms(LIMITS);
        let bound = interval_ms + watch_schedule::MAX_LATENESS_MS + 2 * CALL_MS;
        for swallowed in [SwallowedCalls::Begun, SwallowedCalls::BegunAndWaiting] {
            let worst = worst_ms(count, swallowed, 600, 0);
            assert!(
                worst <= bound,
                "{count} watchers, {swallowed:?}: {worst} ms, bound {bound} ms"
            );
        }
    }
}

/// Checks that fall into a longer silence fail, and the store is asked again after a pause.
#[test]
fn a_longer_silence_delays_changes_by_less_than_the_bound() {
    for count in [2, 6] {
        for swallowed in [SwallowedCalls::Begun, SwallowedCalls::BegunAndWaiting] {
            let worst = worst_ms(count, swallowed, 4_500, 0);
            assert!(
                worst <= 2_000,
                "{count} watchers, {swallowed:?}: {worst} ms"
            );
        }
    }
}

/// A watcher whose clock is off, or that counts other hosts among the watchers than they do, has the
/// slot of another one and leaves its own out. With two watchers, both checks may then fall into the
/// same silence and fail.
#[test]
fn one_watcher_that_is_out_of_turn_delays_changes_by_one_interval_or_one_failed_check() {
    let failed_check_ms = watch_schedule::CHECK_TIMEOUT_MS + MAX_BACKOFF_MS + CALL_MS;
    for count in [2, 3, 6] {
        let interval_ms = WatchSlot { index: 0, count }.interval_ms(LIMITS);
        let interval_more_ms = 2 * interval_ms + watch_schedule::MAX_LATENESS_MS + 2 * CALL_MS;
        let bound = interval_more_ms.max(failed_check_ms);
        for ahead_ms in (0..count * interval_ms).step_by(333) {
            let worst = worst_ms(count, SwallowedCalls::BegunAndWaiting, 600, ahead_ms);
            assert!(
                worst <= bound,
                "{count} watchers, {ahead_ms} ms ahead: {worst} ms, bound {bound} ms"
            );
        }
    }
}

/// With as many watchers as a large deployment has, no more calls are made than with few.
#[test]
fn the_interval_of_all_watchers_does_not_depend_on_their_number() {
    for count in [2, 4, 6] {
        let slot = WatchSlot { index: 0, count };
        assert_eq!(slot.interval_ms(LIMITS), 666, "{count} watchers");
    }
    let many = WatchSlot {
        index: 0,
        count: 20,
    };
    assert_eq!(many.interval_ms(LIMITS), 250, "each waits for 5 s at most");
}
