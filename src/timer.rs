//! The timer service: one thread that parts subscribe to, and the clock that it reads.

use std::{sync, thread, time};

use rustix::time::ClockId;

use crate::ring;

/// A reading of the clock since boot, in milliseconds since the process or test began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Milliseconds since `earlier`; 0 when that lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `millis` later.
    ///
    /// ```
    /// use ledgespool::timer;
    /// let start = timer::Moment(5);
    /// assert_eq!(start.plus(10).since(start), 10);
    /// ```
    #[must_use]
    pub const fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The moment `millis` earlier, or the beginning.
    ///
    /// ```
    /// use ledgespool::timer;
    /// assert_eq!(timer::Moment(15).before(10), timer::Moment(5));
    /// ```
    #[must_use]
    pub const fn before(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}

/// The clock by which promises to other processes are kept: it never goes back, and it counts the time for which
/// the machine is suspended. By the steady clock, which does not, a host that slept for three seconds would go on
/// granting from a part of a limit that its owner took back after 0.8 s (by the constants, not measured).
///
/// ```
/// use ledgespool::timer;
/// let clock = timer::BootClock::start();
/// let before = clock.now();
/// assert!(clock.now() >= before);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start_ms: u64,
}

impl BootClock {
    /// Starts at moment zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start_ms: boot_millis(),
        }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment(boot_millis().saturating_sub(self.start_ms))
    }
}

/// Milliseconds since the machine started, suspended ones included.
fn boot_millis() -> u64 {
    let read = rustix::time::clock_gettime(ClockId::Boottime);
    // The time since boot is never negative.
    let seconds = read.tv_sec.unsigned_abs();
    let nanos = read.tv_nsec.unsigned_abs();
    seconds * 1_000 + nanos / 1_000_000
}

/// The wall clock in Unix milliseconds; only claim keys and the time line use it.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

struct TimerSubscription {
    period: time::Duration,
    next: time::Instant,
    notify: Box<dyn FnMut() -> bool + Send>,
}

/// Collects subscriptions, then runs them on a thread of its own.
#[derive(Default)]
pub struct TimerService {
    subscriptions: Vec<TimerSubscription>,
}

impl std::fmt::Debug for TimerService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TimerService")
            .field("subscriptions", &self.subscriptions.len())
            .finish()
    }
}

impl TimerService {
    /// Pushes `make()` into `ring` every `period`. A full ring misses the tick: the next one
    /// carries a later time anyway. A closed ring ends the subscription.
    pub fn subscribe<T: Send + 'static>(
        &mut self,
        period: time::Duration,
        ring: ring::RingSender<T>,
        make: impl Fn() -> T + Send + 'static,
    ) {
        let notify = Box::new(move || match ring.push(make()) {
            Ok(()) | Err(ring::RingFault::Full(_)) => true,
            Err(ring::RingFault::Closed(_)) => false,
        });
        let next = time::Instant::now() + period;
        self.subscriptions.push(TimerSubscription {
            period,
            next,
            notify,
        });
    }

    /// Runs until every subscriber has closed its ring or `stop` is set.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn spawn(
        mut self,
        stop: sync::Arc<sync::atomic::AtomicBool>,
    ) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || {
                while !self.subscriptions.is_empty() && !stop.load(sync::atomic::Ordering::Relaxed)
                {
                    self.run_once();
                }
            })
    }

    fn run_once(&mut self) {
        let Some(next) = self
            .subscriptions
            .iter()
            .map(|subscription| subscription.next)
            .min()
        else {
            return;
        };
        thread::sleep(next.saturating_duration_since(time::Instant::now()));
        let now = time::Instant::now();
        self.subscriptions.retain_mut(|subscription| {
            if subscription.next > now {
                return true;
            }
            subscription.next = now + subscription.period;
            (subscription.notify)()
        });
    }
}
