//! How long idle connections are kept. Load pattern: a host of a large fleet that meets each of a thousand
//! servers seldom, and one of a small fleet.

use ledgespool::entry::rest_time::{RestTime, SHORT_REST_MS};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const TOLD_MS: u64 = 9_000;

/// What a simulated host did with its connections.
struct Played {
    /// Milliseconds for which connections rested, all together.
    rested_ms: u64,
    /// Requests that found a kept connection.
    reused: u32,
    requests: u32,
}

/// A host that sends `per_s` requests to `servers` at random for two minutes, and looks for connections that
/// rested too long once a second.
fn play(servers: usize, per_s: u64, seed: u64, decide: impl Fn(&mut RestTime) -> u64) -> Played {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut rest = RestTime::default();
    let mut kept: Vec<Option<(u64, u64)>> = vec![None; servers];
    let mut played = Played {
        rested_ms: 0,
        reused: 0,
        requests: 0,
    };
    for number in 0..120 * per_s {
        let now = number * 1_000 / per_s;
        if number.is_multiple_of(per_s) {
            for connection in &mut kept {
                end_if(connection, &mut rest, &mut played, |until| until <= now);
            }
        }
        let server = &mut kept[random.random_range(0..servers)];
        if let Some((since, until)) = server.take_if(|(_, until)| now < *until) {
            rest.on_end(now - since, true);
            played.rested_ms += now.min(until) - since;
            played.reused += 1;
        }
        end_if(server, &mut rest, &mut played, |_| true);
        played.requests += 1;
        *server = Some((now, now + decide(&mut rest)));
    }
    played
}

fn end_if(
    connection: &mut Option<(u64, u64)>,
    rest: &mut RestTime,
    played: &mut Played,
    is_over: impl Fn(u64) -> bool,
) {
    if let Some((since, until)) = connection.take_if(|(_, until)| is_over(*until)) {
        rest.on_end(until - since, false);
        played.rested_ms += until - since;
    }
}

fn learned(rest: &mut RestTime) -> u64 {
    rest.next_ms(TOLD_MS)
}

const fn always_long(_rest: &mut RestTime) -> u64 {
    TOLD_MS
}

#[test]
fn a_host_that_meets_servers_seldom_keeps_few_connections() {
    for seed in 1..=5 {
        let long = play(1_356, 13, seed, always_long);
        let short = play(1_356, 13, seed, learned);
        let rested = short.rested_ms as f64 / long.rested_ms as f64;
        let lost = f64::from(long.reused - short.reused) / f64::from(long.requests);
        println!("seed {seed}: rests {rested:.2} of the time, {lost:.3} more requests open one");
        assert!(rested < 0.45 && lost < 0.08, "seed {seed}: {rested} {lost}");
    }
}

#[test]
fn a_host_that_meets_servers_often_loses_nothing() {
    for seed in 1..=5 {
        let long = play(44, 60, seed, always_long);
        let short = play(44, 60, seed, learned);
        assert_eq!(short.reused, long.reused, "seed {seed}");
    }
}

#[test]
fn when_long_rests_begin_to_be_worth_it_they_come_back() {
    let mut rest = RestTime::default();
    for _ in 0..200 {
        rest.on_end(TOLD_MS, false);
    }
    let long = |rest: &mut RestTime| (0..80).filter(|_| rest.next_ms(TOLD_MS) == TOLD_MS).count();
    assert_eq!(long(&mut rest), 10, "a sample only");
    for _ in 0..40 {
        rest.on_end(SHORT_REST_MS + 1, true);
    }
    assert_eq!(long(&mut rest), 80);
}
