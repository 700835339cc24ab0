//! Simulates rollouts in three regions: how traffic moves to another version, and when it is
//! reverted.

use ledgespool::entry::hash;
use ledgespool::rollout::message::RolloutAnswer;
use ledgespool::rollout::plan::{RolloutStep, VersionRule};
use ledgespool::rollout::spec::{RolloutSpec, RolloutState, StoredRollout, VersionTag};
use ledgespool::rollout::table::{RegionView, RolloutTable};
use ledgespool::timer::Moment;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Share of all requests that a bad version may get during a rollout.
const CANARY_SHARE: f64 = 0.1;
/// Number of requests that it may get in addition.
const CANARY_SLACK: f64 = 50.0;
/// Duration of a rollout, in milliseconds.
const ROLLOUT_MS: u64 = 12_000;
/// Duration of a request, in milliseconds.
const REQUEST_DURATION_MS: u64 = 800;
/// Interval at which hosts exchange reports, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 200;
const REGIONS: u64 = 3;
const ROUTES: [&str; 4] = ["a", "b", "c", "d"];

fn stored(state: Option<RolloutState>) -> StoredRollout {
    StoredRollout {
        spec: RolloutSpec {
            name: "desk".to_owned(),
            service: "desk".to_owned(),
            target: "v2".to_owned(),
            over_ms: ROLLOUT_MS,
            created: 7,
        },
        state,
    }
}

fn version(name: &str) -> VersionTag {
    VersionTag::of_name(name)
}

/// The behavior of the new version.
#[derive(Debug, Clone, Copy)]
struct NewVersion {
    /// Share of its answers that are bad from `bad_from_ms` on.
    bad_share: f64,
    bad_from_ms: u64,
    /// Whether only answers of the first of the four routes are bad.
    on_one_route: bool,
    /// Share of bad answers of every version.
    noise: f64,
}

/// The outcome of a simulated rollout.
#[derive(Debug)]
struct Outcome {
    state: RolloutState,
    /// When all regions had reached the state, in milliseconds.
    at_ms: u64,
    /// Requests that the new version got before the final state.
    exposed: usize,
    requests: usize,
    /// Reports that the leader of the first region received.
    reports: usize,
}

/// A request in flight on a server.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    ends_ms: u64,
    region: usize,
    host: usize,
    route: &'static str,
    is_new: bool,
    is_bad: bool,
}

/// Three regions, each with a third of 600 requests per second. The first host of each region is
/// its rollout leader.
struct Simulation {
    new: NewVersion,
    random: SmallRng,
    /// Indexed by region, then by host.
    tables: Vec<Vec<RolloutTable>>,
    open: Vec<OpenRequest>,
    outcome: Outcome,
}

fn simulate(new: NewVersion, seed: u64) -> Outcome {
    simulate_with_hosts(new, 1, seed)
}

fn simulate_with_hosts(new: NewVersion, hosts: usize, seed: u64) -> Outcome {
    const STEP_MS: usize = 5;
    let mut simulation = Simulation::start(new, hosts, seed);
    for now_ms in (0..ROLLOUT_MS).step_by(STEP_MS) {
        for region in 0..simulation.tables.len() {
            simulation.send(region, now_ms);
        }
        simulation.answer(now_ms);
        if now_ms % EXCHANGE_INTERVAL_MS == 0 {
            simulation.exchange(Moment(now_ms));
        }
        if let Some(state) = simulation.final_state(Moment(now_ms)) {
            simulation.outcome.state = state;
            simulation.outcome.at_ms = now_ms;
            break;
        }
    }
    simulation.outcome
}

impl Simulation {
    fn start(new: NewVersion, hosts: usize, seed: u64) -> Self {
        let new_table = |_| {
            let mut table = RolloutTable::default();
            table.on_list(vec![(stored(None), 8)], 8, Moment(0));
            table
        };
        let new_region = |_| (0..hosts).map(new_table).collect();
        Self {
            new,
            random: SmallRng::seed_from_u64(seed),
            tables: (0..REGIONS).map(new_region).collect(),
            open: Vec::new(),
            outcome: Outcome {
                state: RolloutState::Running,
                at_ms: 0,
                exposed: 0,
                requests: 0,
                reports: 0,
            },
        }
    }

    /// Sends a request through a random host of a region.
    fn send(&mut self, region: usize, now_ms: u64) {
        let route = ROUTES[self.random.random_range(0..ROUTES.len())];
        let host = self.random.random_range(0..self.tables[region].len());
        let point = self.random.random();
        let table = &self.tables[region][host];
        let rule = table.version_rule("desk", point, CANARY_SHARE, false, Moment(now_ms));
        let is_new = rule == VersionRule::Only(version("v2"));
        let may_be_bad = is_new
            && now_ms >= self.new.bad_from_ms
            && (!self.new.on_one_route || route == ROUTES[0]);
        let bad_share = if may_be_bad {
            self.new.bad_share.max(self.new.noise)
        } else {
            self.new.noise
        };
        self.outcome.requests += 1;
        self.outcome.exposed += usize::from(is_new);
        self.open.push(OpenRequest {
            ends_ms: now_ms + REQUEST_DURATION_MS,
            region,
            host,
            route,
            is_new,
            is_bad: self.random.random_bool(bad_share),
        });
    }

    /// Answers the requests that are due.
    fn answer(&mut self, now_ms: u64) {
        let (ended, open): (Vec<_>, Vec<_>) = self
            .open
            .drain(..)
            .partition(|request| request.ends_ms <= now_ms);
        self.open = open;
        for request in ended {
            let answer = RolloutAnswer {
                route: request.route,
                version: version(if request.is_new { "v2" } else { "v1" }),
                is_bad: request.is_bad,
            };
            self.tables[request.region][request.host].on_answer("desk", &answer);
        }
    }

    /// Number of requests of a host in flight on the old version.
    fn others_open(&self, region: usize, host: usize) -> u32 {
        let own = self.open.iter();
        let own = own.filter(|open| (open.region, open.host) == (region, host) && !open.is_new);
        u32::try_from(own.count()).expect("a few")
    }

    /// Hosts report, and each region's leader decides and sends its state to its hosts and its
    /// state and counts to the other leaders.
    fn exchange(&mut self, now: Moment) {
        let regions = self.tables.len();
        for region in 0..regions {
            self.report(region, now);
            let view = RegionView {
                others_open: self.others_open(region, 0),
                hosts: u32::try_from(self.tables[region].len()).expect("some hundred"),
                regions: u32::try_from(regions).expect("a few"),
            };
            let leader = &mut self.tables[region][0];
            let _change = leader.decide("desk", view, now);
            let report = leader.region_report("desk", region as u64, view, now);
            let update = leader.to_update(now);
            for (other, tables) in self.tables.iter_mut().enumerate() {
                if other != region {
                    tables[0].on_region_report(report.clone().expect("a rollout"), now);
                    tables[0].on_update(&update, now);
                    continue;
                }
                for table in &mut tables[1..] {
                    table.on_update(&update, now);
                }
            }
        }
    }

    fn report(&mut self, region: usize, now: Moment) {
        let hosts = self.tables[region].len();
        let mut reports = Vec::new();
        for host in 1..hosts {
            let others_open = self.others_open(region, host);
            let count = u32::try_from(hosts).expect("some hundred");
            let source = hash::of_name(&format!("h-{region}-{host}"));
            let table = &mut self.tables[region][host];
            reports.extend(table.own_report("desk", source, others_open, count, now));
        }
        if region == 0 {
            self.outcome.reports += reports.len();
        }
        for report in reports {
            self.tables[region][0].on_host_report(report, now);
        }
    }

    /// The final state, once all regions have reached it.
    fn final_state(&self, now: Moment) -> Option<RolloutState> {
        let states = self.tables.iter();
        let mut states = states.map(|tables| tables[0].to_update(now).rollouts[0].state);
        let first = states.next().filter(|state| state.is_final())?;
        states.all(|state| state == first).then_some(first)
    }
}

const GOOD: NewVersion = NewVersion {
    bad_share: 0.0,
    bad_from_ms: 0,
    on_one_route: false,
    noise: 0.0,
};

#[test]
fn good_version_completes_well_before_the_deadline() {
    for seed in 0..20 {
        let outcome = simulate(GOOD, seed);
        assert_eq!(outcome.state, RolloutState::Complete, "seed {seed}");
        assert!(
            outcome.at_ms < ROLLOUT_MS * 19 / 20,
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn bad_version_is_reverted_within_the_canary_share() {
    let allowed = CANARY_SHARE * (ROLLOUT_MS / 5 * REGIONS) as f64 + CANARY_SLACK;
    for (bad_share, bad_from_ms, on_one_route) in [
        (0.3, 0, false),
        (1.0, 0, false),
        (0.6, 0, true),
        (0.5, 3_000, false),
    ] {
        let new = NewVersion {
            bad_share,
            bad_from_ms,
            on_one_route,
            noise: 0.0,
        };
        for seed in 0..20 {
            let outcome = simulate(new, seed);
            assert_eq!(outcome.state, RolloutState::Reverted, "{new:?} seed {seed}");
            let exposed = outcome.exposed as f64;
            assert!(exposed <= allowed, "{new:?} seed {seed}: {outcome:?}");
        }
    }
}

#[test]
fn version_that_turns_bad_under_full_load_is_reverted_within_the_canary_share() {
    // Half of its answers are bad once it gets more than half of the traffic.
    let new = NewVersion {
        bad_share: 0.5,
        bad_from_ms: ROLLOUT_MS * 4 / 5,
        on_one_route: false,
        noise: 0.0,
    };
    let allowed = CANARY_SHARE * (ROLLOUT_MS / 5 * REGIONS) as f64 + CANARY_SLACK;
    for seed in 0..20 {
        let outcome = simulate(new, seed);
        assert_eq!(outcome.state, RolloutState::Reverted, "seed {seed}");
        let exposed = outcome.exposed as f64;
        assert!(exposed <= allowed, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn recorded_final_state_overrides_reports_of_hosts() {
    let mut table = RolloutTable::default();
    table.on_list(vec![(stored(None), 8)], 8, Moment(0));
    let mut received = table.to_update(Moment(1));
    received.rollouts[0].state = RolloutState::Reverted;
    table.on_rollout(stored(Some(RolloutState::Complete)), 9, Moment(2));
    table.on_update(&received, Moment(3));
    let rule = table.version_rule("desk", 0.99, CANARY_SHARE, false, Moment(3));
    assert_eq!(rule, VersionRule::Only(version("v2")));
    assert!(table.unrecorded(0, Moment(4)).is_empty());
}

#[test]
fn retry_of_a_request_that_the_new_version_failed_goes_to_the_old_one() {
    let mut table = RolloutTable::default();
    table.on_list(vec![(stored(None), 8)], 8, Moment(0));
    assert_eq!(
        table.version_rule("desk", 0.0, CANARY_SHARE, false, Moment(1)),
        VersionRule::Only(version("v2"))
    );
    assert_eq!(
        table.version_rule("desk", 0.0, CANARY_SHARE, true, Moment(1)),
        VersionRule::Except(version("v2"))
    );
    assert_eq!(
        table.version_rule("vault", 0.0, CANARY_SHARE, true, Moment(1)),
        VersionRule::Any
    );
}

#[test]
fn host_started_during_a_rollout_adopts_its_progress() {
    let mut first = RolloutTable::default();
    first.on_list(vec![(stored(None), 8)], 8, Moment(0));
    let view = RegionView {
        others_open: 0,
        hosts: 1,
        regions: 1,
    };
    let _change = first.decide("desk", view, Moment(ROLLOUT_MS * 9 / 10));
    let mut second = RolloutTable::default();
    second.on_update(
        &first.to_update(Moment(ROLLOUT_MS * 9 / 10)),
        Moment(20_000),
    );
    let update = second.to_update(Moment(20_000));
    assert_eq!(update.rollouts[0].step, RolloutStep::All);
    assert_eq!(update.rollouts[0].age_ms, ROLLOUT_MS * 9 / 10);
}

/// Servers of a third version may join later without a rollout, as in a release.
#[test]
fn completed_rollout_does_not_exclude_later_versions() {
    let mut table = RolloutTable::default();
    table.on_list(
        vec![(stored(Some(RolloutState::Complete)), 8)],
        8,
        Moment(0),
    );
    let rule_at = |at| table.version_rule("desk", 0.5, CANARY_SHARE, false, Moment(at));
    assert!(
        !rule_at(500).allows(version("v1")),
        "its servers are stopping"
    );
    assert!(rule_at(60_000).allows(version("v3")));
}

/// Every host reports to the rollout leader of its region, however many hosts there are.
#[test]
fn report_rate_at_the_leader_is_bounded_and_its_decision_holds() {
    // A hundred routine reports per second, and an urgent one for each request that leaves the old
    // version or fails on the new one.
    let bound = 100 * ROLLOUT_MS / 1_000 + 300;
    let noisy = NewVersion {
        noise: 0.02,
        ..GOOD
    };
    let bad = NewVersion {
        bad_share: 0.3,
        ..noisy
    };
    let allowed = CANARY_SHARE * (ROLLOUT_MS / 5 * REGIONS) as f64 + CANARY_SLACK;
    for hosts in [33, 329, 658] {
        for seed in 0..3 {
            let outcome = simulate_with_hosts(noisy, hosts, seed);
            assert_eq!(outcome.state, RolloutState::Complete, "{hosts} {seed}");
            assert!(
                outcome.reports as u64 <= bound,
                "{hosts} {seed}: {outcome:?}"
            );
            let outcome = simulate_with_hosts(bad, hosts, seed);
            assert_eq!(outcome.state, RolloutState::Reverted, "{hosts} {seed}");
            assert!(
                outcome.exposed as f64 <= allowed,
                "{hosts} {seed}: {outcome:?}"
            );
        }
    }
}
