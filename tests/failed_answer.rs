//! Tests when a request that a server failed is sent to another one.
//!
//! Callers got every failure of a server that failed its requests, although the others of its
//! service answered. A host that retried all failures would send each request of a service whose
//! servers all fail twice.

use http::StatusCode;
use ledgespool::entry::budget::{RetryShare, RetryWindow};
use ledgespool::failed_answer::FailedAnswer;
use ledgespool::timer::Moment;

const SERVERS: usize = 10;
const REQUESTS: usize = 2_000;
/// Pause between two requests, in milliseconds.
const PAUSE_MS: u64 = 10;
const RETRY_RATIO: f64 = 0.2;

/// The first answer to a request with enough time and one further attempt.
const FAILED: FailedAnswer = FailedAnswer {
    status: StatusCode::INTERNAL_SERVER_ERROR,
    is_retryable: true,
    is_whole: true,
    sends: 1,
    attempts: 2,
    time_left_ms: 2_000,
    typical_ms: 80,
};

/// What callers and servers saw.
#[derive(Debug, Default)]
struct PlayedLoad {
    failures: usize,
    sends: usize,
}

/// Sends requests to the servers in turn; `fails` tells whether a server fails all of its requests.
fn play(fails: impl Fn(usize) -> bool) -> PlayedLoad {
    let share = RetryShare {
        ratio: RETRY_RATIO,
        slack: 0.0,
        hosts: 1,
    };
    let mut window = RetryWindow::with_length(10_000);
    let mut played_load = PlayedLoad::default();
    for request in 0..REQUESTS {
        let now = Moment(request as u64 * PAUSE_MS);
        window.on_request(&share, now);
        played_load.sends += 1;
        let mut has_failed = fails(request % SERVERS);
        if has_failed && FAILED.allows_another_server() && window.try_retry(&share, now) {
            played_load.sends += 1;
            has_failed = fails((request + 1) % SERVERS);
        }
        played_load.failures += usize::from(has_failed);
    }
    played_load
}

#[test]
fn callers_do_not_see_the_failures_of_one_server() {
    let played_load = play(|server| server == 3);
    let limit = REQUESTS / 100;
    assert!(played_load.failures <= limit, "{played_load:?}");
}

#[test]
fn servers_that_all_fail_get_no_more_than_the_retry_budget() {
    let played_load = play(|_| true);
    let limit = REQUESTS + (REQUESTS as f64 * RETRY_RATIO) as usize;
    assert!(played_load.sends <= limit, "{played_load:?}");
}

#[test]
fn only_a_whole_failure_of_a_retryable_request_allows_another_server() {
    assert!(FAILED.allows_another_server());
    let others = [
        FailedAnswer {
            is_retryable: false,
            ..FAILED
        },
        FailedAnswer {
            is_whole: false,
            ..FAILED
        },
        FailedAnswer { sends: 2, ..FAILED },
        FailedAnswer {
            attempts: 1,
            ..FAILED
        },
        FailedAnswer {
            time_left_ms: 79,
            ..FAILED
        },
        FailedAnswer {
            status: StatusCode::OK,
            ..FAILED
        },
        FailedAnswer {
            status: StatusCode::NOT_FOUND,
            ..FAILED
        },
        FailedAnswer {
            status: StatusCode::NOT_IMPLEMENTED,
            ..FAILED
        },
    ];
    for other in others {
        assert!(!other.allows_another_server(), "{other:?}");
    }
}
