//! Tests of the typical time of a route's requests, learned from answers that are partly delayed.

use ledgespool::entry::route_times::{AnswerSample, RouteTimeTable};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Processing time, in milliseconds.
const WORK_MS: u64 = 100;
/// Time of a request that waited behind cache misses, in milliseconds.
const WAITED_MS: u64 = 900;

fn typical_after(answers: usize, waiting_fraction: f64) -> f64 {
    let mut random = SmallRng::seed_from_u64(11);
    let mut times = RouteTimeTable::default();
    for _ in 0..answers {
        let has_waited = random.random_bool(waiting_fraction);
        let sample = AnswerSample {
            route: "reads",
            took_ms: if has_waited { WAITED_MS } else { WORK_MS },
            object_cached: true,
        };
        times.on_answer(&sample);
    }
    times.cached_ms("reads").expect("answers came")
}

/// The average of these times would be 420 ms, above the goal of many routes. Hosts would then
/// refuse requests that idle servers would answer in time.
#[test]
fn delayed_answers_do_not_raise_the_typical_time() {
    let typical_ms = typical_after(500, 0.4);
    assert!((80.0..150.0).contains(&typical_ms), "{typical_ms}");
}

#[test]
fn the_typical_time_follows_when_most_answers_take_longer() {
    let typical_ms = typical_after(500, 1.0);
    assert!((800.0..1_000.0).contains(&typical_ms), "{typical_ms}");
}
