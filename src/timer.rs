//! The timer service: one thread that sends ticks to its subscribers, and the clocks of the
//! process.

use std::{sync, thread, time};

use rustix::time::ClockId;

use crate::ring;

/// A reading of the boot clock, in milliseconds since the process or test began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Milliseconds since `earlier`; 0 if that is later than this moment.
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

    /// The moment `millis` earlier, or moment zero.
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

/// The clock for all timeouts that other processes rely on. It never goes backwards, and it
/// includes the time for which the machine is suspended. With the monotonic clock, which excludes
/// it, a host that was suspended for three seconds would go on granting from its share of a limit,
/// although the owner took that share back after 0.8 s (computed from the constants).
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
    /// Starts the clock at moment zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start_ms: boot_millis(),
        }
    }

    /// The current moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment(boot_millis().saturating_sub(self.start_ms))
    }
}

/// Milliseconds since the machine started, including time suspended.
fn boot_millis() -> u64 {
    let read = rustix::time::clock_gettime(ClockId::Boottime);
    // The time since boot is never negative.
    let seconds = read.tv_sec.unsigned_abs();
    let nanos = read.tv_nsec.unsigned_abs();
    seconds * 1_000 + nanos / 1_000_000
}

/// The wall clock in Unix milliseconds; only claim keys and the timeline use it.
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

/// Collects subscriptions, then runs them on its own thread.
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
    /// Pushes `make()` into `ring` every `period`. A full ring misses the tick, since the next one
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
