//! Property tests of the state machines for budgets, unit allocation and ramps, under arbitrary
//! orders of events.

use std::collections::HashMap;

use ledgespool::allocation::{UnitClaimant, split_units};
use ledgespool::budget::{PlaceBudget, PlaceKey};
use ledgespool::declaration::ShiftRule;
use ledgespool::member::HostIdentity;
use ledgespool::ramp::{RampEvidence, RouteRamp, STEP_INTERVAL_MS};
use ledgespool::timer::Moment;
use proptest::prelude::*;

fn host(number: usize) -> HostIdentity {
    HostIdentity {
        name: format!("entry-{number}"),
        incarnation: 1,
    }
}

#[derive(Debug, Clone)]
enum BudgetStep {
    Lower(usize, u32),
    Raise(usize, u32),
    /// A host reads the newest plan. It may miss any number of earlier plans.
    Read(usize),
    /// A host starts requests, at most as many as its grant allows.
    Start(usize, u32),
    End(usize, u32),
    Report(usize),
}

fn budget_step() -> impl Strategy<Value = BudgetStep> {
    let host = 0_usize..4;
    let units = 0_u32..12;
    prop_oneof![
        (host.clone(), units.clone()).prop_map(|(host, units)| BudgetStep::Lower(host, units)),
        (host.clone(), units.clone()).prop_map(|(host, units)| BudgetStep::Raise(host, units)),
        host.clone().prop_map(BudgetStep::Read),
        (host.clone(), units.clone()).prop_map(|(host, units)| BudgetStep::Start(host, units)),
        (host.clone(), units).prop_map(|(host, units)| BudgetStep::End(host, units)),
        host.prop_map(BudgetStep::Report),
    ]
}

/// The actual state of a host, which the budget learns only from reports: the plan that it read,
/// and the requests that it runs.
#[derive(Debug, Default, Clone, Copy)]
struct HostModel {
    installed: u64,
    grant: u32,
    in_use: u32,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeding the limit of a place when hosts read plans late or report late or
    /// never: the requests that hosts run or may start never add up to more than the limit.
    #[test]
    fn the_sum_in_use_never_exceeds_the_limit(steps in proptest::collection::vec(budget_step(), 1..120)) {
        const LIMIT: u32 = 9;
        let mut budget = PlaceBudget::with_limit(PlaceKey::with_hall("desk", "hall"), LIMIT);
        let mut hosts: HashMap<usize, HostModel> = HashMap::new();
        let mut sequence = 1;
        for step in steps {
            match step {
                BudgetStep::Lower(index, units) => {
                    sequence += 1;
                    budget.lower(&host(index), units, sequence);
                }
                BudgetStep::Raise(index, units) => {
                    sequence += 1;
                    budget.raise(&host(index), units);
                }
                BudgetStep::Read(index) => {
                    let model = hosts.entry(index).or_default();
                    model.installed = sequence;
                    model.grant = budget.grant_of(&host(index));
                }
                BudgetStep::Start(index, units) => {
                    let model = hosts.entry(index).or_default();
                    model.in_use = model.in_use.max(model.grant.min(model.in_use + units));
                }
                BudgetStep::End(index, units) => {
                    let model = hosts.entry(index).or_default();
                    model.in_use = model.in_use.saturating_sub(units);
                }
                BudgetStep::Report(index) => {
                    let model = hosts.entry(index).or_default();
                    budget.acknowledge(&host(index), model.installed, model.in_use);
                }
            }
            let possible: u32 = hosts.values().map(|model| model.in_use.max(model.grant)).sum();
            prop_assert!(possible <= LIMIT, "hosts may use {possible} of {LIMIT}");
            prop_assert!(budget.held_units() <= LIMIT);
        }
    }

    /// All needed units are granted, their sum stays within the limit, and a larger load never gets
    /// fewer units, apart from rounding by one.
    #[test]
    fn units_follow_loads(limit in 0_u32..400, loads in proptest::collection::vec((0_u32..60_000, any::<bool>()), 0..40)) {
        let claimants: Vec<UnitClaimant> =
            loads.iter().map(|&(load_milli, is_local)| UnitClaimant { load_milli, is_local }).collect();
        let targets = split_units(limit, &claimants);
        let total: u32 = targets.iter().sum();
        prop_assert!(total <= limit);
        let counted = |claimant: &UnitClaimant| claimant.load_milli + if claimant.is_local { 1_000 } else { 0 };
        let sum: u32 = claimants.iter().map(counted).sum();
        prop_assert!(sum == 0 || total >= limit.min(sum / 1_000), "{total} of {limit} are granted for {sum}");
        for (left, left_target) in claimants.iter().zip(&targets) {
            for (right, right_target) in claimants.iter().zip(&targets) {
                prop_assert!(counted(left) < counted(right) || left_target + 1 >= *right_target);
            }
            let fits = sum <= limit * 1_000;
            prop_assert!(!fits || left_target * 1_000 + 1_000 >= counted(left), "a load that fits must be served");
        }
    }

    /// Within any minute, also across changes of the planner, moved requests grow by no more than
    /// the rule allows, and never exceed the cap.
    #[test]
    fn ramps_stay_under_the_share_per_minute(
        concurrent in 0_u32..200,
        percent in 0_u32..=100,
        steps in proptest::collection::vec((1_u64..9_000, 0_u32..300, 0_u64..40, 0_u64..3, 0_u8..8), 1..80),
    ) {
        let rule = ShiftRule { concurrent, share_per_minute: f64::from(percent) / 100.0 };
        let minute = f64::from(concurrent) * rule.share_per_minute;
        let mut now = Moment(0);
        let mut ramp = RouteRamp::with_allowance(RouteRamp::initial_allowance(&rule), now);
        let mut history = vec![(now, 0), (now, ramp.allowance)];
        for (elapsed, demand, completed, refused, change) in steps {
            now = now.plus(elapsed);
            if change == 0 {
                ramp = RouteRamp::with_allowance(ramp.allowance, now);
            }
            ramp.step(&rule, &RampEvidence { demand, completed, refused }, now);
            history.push((now, ramp.allowance));
            prop_assert!(ramp.allowance <= concurrent);
        }
        for (index, &(from, low)) in history.iter().enumerate() {
            for &(to, high) in &history[index..] {
                if to.since(from) < 60_000 {
                    prop_assert!(f64::from(high.saturating_sub(low)) <= minute + 1e-9, "grew from {low} to {high} within a minute, {minute} allowed");
                }
            }
        }
    }
}

#[test]
fn refusals_at_the_receiver_lower_the_ramp() {
    let rule = ShiftRule {
        concurrent: 110,
        share_per_minute: 1.0,
    };
    let mut ramp = RouteRamp::with_allowance(50, Moment(0));
    let evidence = RampEvidence {
        demand: 50,
        completed: 90,
        refused: 10,
    };
    assert!(ramp.step(&rule, &evidence, Moment(STEP_INTERVAL_MS)));
    assert_eq!(ramp.allowance, 40);
    let evidence = RampEvidence {
        demand: 40,
        completed: 100,
        refused: 0,
    };
    assert!(
        !ramp.step(&rule, &evidence, Moment(STEP_INTERVAL_MS + 1)),
        "no step may happen within a step period"
    );
    assert!(ramp.step(&rule, &evidence, Moment(2 * STEP_INTERVAL_MS)));
    assert_eq!(ramp.allowance, 50);
}
