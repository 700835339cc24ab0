//! What a route's requests usually take, learned from answers of which some tell nothing.

use ledgespool::entry::route_times::{AnswerSample, RouteTimeTable};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Plain work, in milliseconds.
const WORK_MS: u64 = 100;
/// The time of a request that waited behind first runs.
const WAITED_MS: u64 = 900;

fn usual_after(answers: usize, waiting_share: f64) -> f64 {
    let mut random = SmallRng::seed_from_u64(11);
    let mut times = RouteTimeTable::default();
    for _ in 0..answers {
        let waited = random.random_bool(waiting_share);
        let sample = AnswerSample {
            route: "reads",
            millis: if waited { WAITED_MS } else { WORK_MS },
            known_object: true,
        };
        times.on_answer(&sample);
    }
    times.known_ms("reads").expect("answers came")
}

/// An average of these would be 420 ms: above many a goal, so that hosts refused what free servers
/// would have answered in time.
#[test]
fn answers_that_waited_do_not_hide_how_long_the_work_takes() {
    let usual_ms = usual_after(500, 0.4);
    assert!((80.0..150.0).contains(&usual_ms), "{usual_ms}");
}

#[test]
fn when_most_answers_take_longer_the_usual_time_follows() {
    let usual_ms = usual_after(500, 1.0);
    assert!((800.0..1_000.0).contains(&usual_ms), "{usual_ms}");
}
