//! The retry budget of a service, summed over all hosts and over the runs of their processes.

use ledgespool::entry::budget::{RetryShare, RetryWindow};
use ledgespool::timer::Moment;

/// The window of the budget, in milliseconds.
const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 174.0;
/// Requests that a host gets every 20 ms.
const COUNT: u32 = 6;
/// Servers that a failing request may be sent to after the first.
const RETRIES_PER_REQUEST: u32 = 2;

/// The requests and retries of a service, as all its servers together see them.
#[derive(Debug, Default)]
struct ServiceLoad {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

fn count_between(times: &[u64], from: u64, until: u64) -> f64 {
    let inside = times.iter().filter(|at| (from..until).contains(*at));
    inside.count() as f64
}

impl ServiceLoad {
    /// Sends `count` requests at `now`, which are answered.
    fn answer(&mut self, window: &mut RetryWindow, share: &RetryShare, now: u64, count: u32) {
        for _ in 0..count {
            window.on_request(share, Moment(now));
            self.requests.push(now);
        }
    }

    /// Sends `count` requests at `now`, each of which fails at every server.
    fn fail(&mut self, window: &mut RetryWindow, share: &RetryShare, now: u64, count: u32) {
        for _ in 0..count {
            self.answer(window, share, now, 1);
            for _ in 0..RETRIES_PER_REQUEST {
                if window.try_retry(share, Moment(now)) {
                    self.retries.push(now);
                }
            }
        }
    }

    /// The largest number of retries beyond the budget in any window that begins after the first.
    /// Its requests are those of the window, of the one before it, or of the one half a window
    /// before it.
    fn worst_excess(&self) -> f64 {
        let starts = (WINDOW_MS..3 * WINDOW_MS).step_by(100);
        let excess = starts.map(|from| {
            let requests = [0, WINDOW_MS / 2, WINDOW_MS];
            let requests = requests
                .map(|back| count_between(&self.requests, from - back, from - back + WINDOW_MS));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let retries = count_between(&self.retries, from, from + WINDOW_MS);
            retries - requests * RATIO - SLACK
        });
        excess.fold(f64::MIN, f64::max)
    }
}

const fn share_among(hosts: u32) -> RetryShare {
    RetryShare {
        ratio: RATIO,
        slack: SLACK,
        hosts,
    }
}

/// All hosts are killed after they have used their share, and start again: the new processes do not
/// know what the old ones have sent.
#[test]
fn hosts_that_start_again_do_not_get_a_second_share() {
    const HOSTS: u32 = 9;
    const FAILING_MS: u64 = 12_000;
    const KILLED_MS: u64 = 14_000;
    let share = share_among(HOSTS);
    let mut load = ServiceLoad::default();
    for _ in 0..HOSTS {
        let mut window = RetryWindow::with_length(WINDOW_MS);
        for now in (0..40_000).step_by(20) {
            if now == KILLED_MS {
                window = RetryWindow::with_length(WINDOW_MS);
            }
            if now < FAILING_MS {
                load.answer(&mut window, &share, now, COUNT);
            } else {
                load.fail(&mut window, &share, now, COUNT);
            }
        }
    }
    let excess = load.worst_excess();
    assert!(excess <= 0.0, "{excess} retries beyond the budget");
}

/// Callers move from some hosts to others while all requests fail: each group of hosts has seen the
/// requests of another time.
#[test]
fn callers_that_move_do_not_bring_a_second_share() {
    const GROUP: u32 = 5;
    const MOVED_MS: u64 = 14_000;
    let share = share_among(2 * GROUP);
    let mut load = ServiceLoad::default();
    for host in 0..2 * GROUP {
        let mut window = RetryWindow::with_length(WINDOW_MS);
        for now in (0..40_000).step_by(20) {
            let is_asked = (host < GROUP) == (now < MOVED_MS);
            // Failures begin shortly before the move, and again a window later where the callers
            // are after it.
            let fails = (13_000..MOVED_MS).contains(&now) || now >= 22_000;
            if is_asked && fails {
                load.fail(&mut window, &share, now, COUNT);
            } else if is_asked {
                load.answer(&mut window, &share, now, COUNT);
            }
        }
    }
    let excess = load.worst_excess();
    assert!(excess <= 0.0, "{excess} retries beyond the budget");
}
