//! How traffic moves to another version, and when it is taken back: decisions of three regions under simulated time.

use ledgespool::rollout::order::{RolloutOrder, RolloutState, StoredRollout, VersionTag};
use ledgespool::rollout::plan::{RolloutStep, VersionRule};
use ledgespool::rollout::table::{RolloutAnswer, RolloutTable};
use ledgespool::timer::Moment;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// What a bad version may get of all requests while traffic is moved to it.
const CANARY_SHARE: f64 = 0.1;
/// And this many requests beside.
const CANARY_SLACK: f64 = 50.0;
/// The time of an order, in milliseconds.
const OVER_MS: u64 = 12_000;
/// How long a request takes, in milliseconds.
const WORK_MS: u64 = 800;
/// How often hosts report, in milliseconds.
const REPORT_MS: u64 = 200;
const REGIONS: u64 = 3;

fn stored(state: Option<RolloutState>) -> StoredRollout {
    StoredRollout {
        order: RolloutOrder {
            name: "desk".to_owned(),
            service: "desk".to_owned(),
            target: "v2".to_owned(),
            over_ms: OVER_MS,
            created: 7,
        },
        state,
    }
}

fn version(name: &str) -> VersionTag {
    VersionTag::of_name(name)
}

/// How the new version behaves.
#[derive(Debug, Clone, Copy)]
struct NewVersion {
    /// The part of its answers that are bad, from `bad_from_ms` on.
    bad_part: f64,
    bad_from_ms: u64,
    /// Only requests of the first of four routes are.
    on_one_route: bool,
}

/// What came of an order.
#[derive(Debug)]
struct Outcome {
    state: RolloutState,
    /// When all regions had it, in milliseconds.
    at_ms: u64,
    /// Requests that the new version got while it may not be good.
    exposed: usize,
    requests: usize,
}

/// One host that decides for each of three regions, each with a third of 600 requests a second.
fn play(new: NewVersion, seed: u64) -> Outcome {
    const STEP_MS: u64 = 5;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tables: Vec<RolloutTable> = (0..REGIONS).map(|_| RolloutTable::default()).collect();
    for table in &mut tables {
        table.on_list(vec![(stored(None), 8)], 8, Moment(0));
    }
    let mut open: Vec<(u64, usize, usize, bool, bool)> = Vec::new();
    let mut outcome = Outcome {
        state: RolloutState::Running,
        at_ms: 0,
        exposed: 0,
        requests: 0,
    };
    for now_ms in (0..OVER_MS).step_by(STEP_MS as usize) {
        let now = Moment(now_ms);
        for (region, table) in tables.iter().enumerate() {
            let route = random.random_range(0..4);
            outcome.requests += 1;
            let rule = table.rule_of("desk", random.random(), CANARY_SHARE, false);
            let is_new = rule.allows(version("v2")) && rule != VersionRule::Any;
            outcome.exposed += usize::from(is_new);
            let may_be_bad = is_new && now_ms >= new.bad_from_ms;
            let is_bad =
                may_be_bad && (!new.on_one_route || route == 0) && random.random_bool(new.bad_part);
            open.push((now_ms + WORK_MS, region, route, is_new, is_bad));
        }
        open.retain(|(ends_ms, region, route, is_new, is_bad)| {
            if *ends_ms > now_ms {
                return true;
            }
            let answer = RolloutAnswer {
                route: ["a", "b", "c", "d"][*route],
                version: version(if *is_new { "v2" } else { "v1" }),
                is_bad: *is_bad,
            };
            tables[*region].on_answer("desk", &answer);
            false
        });
        if now_ms % REPORT_MS == 0 {
            exchange(&mut tables, &open, now);
        }
        let states: Vec<_> = tables
            .iter()
            .map(|table| table.news(now).orders[0].state)
            .collect();
        if states
            .iter()
            .all(|state| *state == states[0] && state.is_final())
        {
            outcome.state = states[0];
            outcome.at_ms = now_ms;
            break;
        }
    }
    outcome
}

/// Each region decides, and tells the others what it counts and knows.
fn exchange(tables: &mut [RolloutTable], open: &[(u64, usize, usize, bool, bool)], now: Moment) {
    for region in 0..tables.len() {
        let others = open.iter();
        let others = others.filter(|(_, at, _, is_new, _)| *at == region && !is_new);
        let others_open = u32::try_from(others.count()).expect("a few");
        let _change = tables[region].decide("desk", others_open, tables.len(), now);
        let source = region as u64;
        let report = tables[region].region_report("desk", source, others_open, now);
        let news = tables[region].news(now);
        for (other, table) in tables.iter_mut().enumerate() {
            if other != region {
                table.on_region_report(report.clone().expect("an order"), now);
                table.on_news(&news, now);
            }
        }
    }
}

const GOOD: NewVersion = NewVersion {
    bad_part: 0.0,
    bad_from_ms: 0,
    on_one_route: false,
};

#[test]
fn a_good_version_gets_all_requests_well_before_the_time_is_over() {
    for seed in 0..20 {
        let outcome = play(GOOD, seed);
        assert_eq!(outcome.state, RolloutState::Complete, "seed {seed}");
        assert!(
            outcome.at_ms < OVER_MS * 19 / 20,
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn a_bad_version_is_given_up_within_what_it_may_get() {
    let allowed = CANARY_SHARE * (OVER_MS / 5 * REGIONS) as f64 + CANARY_SLACK;
    for (bad_part, bad_from_ms, on_one_route) in [
        (0.3, 0, false),
        (1.0, 0, false),
        (0.6, 0, true),
        (0.5, 3_000, false),
    ] {
        let new = NewVersion {
            bad_part,
            bad_from_ms,
            on_one_route,
        };
        for seed in 0..20 {
            let outcome = play(new, seed);
            assert_eq!(outcome.state, RolloutState::Reverted, "{new:?} seed {seed}");
            let exposed = outcome.exposed as f64;
            assert!(exposed <= allowed, "{new:?} seed {seed}: {outcome:?}");
        }
    }
}

#[test]
fn a_version_that_turns_bad_under_all_requests_is_given_up_within_what_it_may_get() {
    // Half of its answers are bad once more than half of the traffic is there.
    let new = NewVersion {
        bad_part: 0.5,
        bad_from_ms: OVER_MS * 4 / 5,
        on_one_route: false,
    };
    let allowed = CANARY_SHARE * (OVER_MS / 5 * REGIONS) as f64 + CANARY_SLACK;
    for seed in 0..20 {
        let outcome = play(new, seed);
        assert_eq!(outcome.state, RolloutState::Reverted, "seed {seed}");
        let exposed = outcome.exposed as f64;
        assert!(exposed <= allowed, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn what_the_store_records_is_final_whatever_hosts_tell() {
    let mut table = RolloutTable::default();
    table.on_list(vec![(stored(None), 8)], 8, Moment(0));
    let mut told = table.news(Moment(1));
    told.orders[0].state = RolloutState::Reverted;
    table.on_order(stored(Some(RolloutState::Complete)), 9, Moment(2));
    table.on_news(&told, Moment(3));
    let rule = table.rule_of("desk", 0.99, CANARY_SHARE, false);
    assert_eq!(rule, VersionRule::Only(version("v2")));
    assert!(table.unrecorded(0, Moment(4)).is_empty());
}

#[test]
fn a_request_that_the_new_version_failed_goes_to_the_old_one() {
    let mut table = RolloutTable::default();
    table.on_list(vec![(stored(None), 8)], 8, Moment(0));
    assert_eq!(
        table.rule_of("desk", 0.0, CANARY_SHARE, false),
        VersionRule::Only(version("v2"))
    );
    assert_eq!(
        table.rule_of("desk", 0.0, CANARY_SHARE, true),
        VersionRule::Except(version("v2"))
    );
    assert_eq!(
        table.rule_of("vault", 0.0, CANARY_SHARE, true),
        VersionRule::Any
    );
}

#[test]
fn a_host_that_starts_in_the_middle_takes_over_how_far_the_traffic_has_moved() {
    let mut first = RolloutTable::default();
    first.on_list(vec![(stored(None), 8)], 8, Moment(0));
    let _change = first.decide("desk", 0, 1, Moment(OVER_MS * 9 / 10));
    let mut second = RolloutTable::default();
    second.on_news(&first.news(Moment(OVER_MS * 9 / 10)), Moment(20_000));
    let news = second.news(Moment(20_000));
    assert_eq!(news.orders[0].step, RolloutStep::All);
    assert_eq!(news.orders[0].age_ms, OVER_MS * 9 / 10);
}
