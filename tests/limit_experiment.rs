//! The bound on limits over all hosts under random faults, and what each strategy refuses.

#[path = "common/seeded.rs"]
mod seeded;

use ledgespool::entry::limits::LimitTolerance;
use ledgespool::limit_experiment::report::LimitReport;
use ledgespool::limit_experiment::scenario::{LimitFault, LimitFaultKind, LimitScenario};
use ledgespool::limit_experiment::strategies::{CountsStrategy, FixedStrategy, PooledStrategy};
use ledgespool::limit_experiment::world;
use proptest::prelude::*;

fn scenario(hosts: u32, customers: u32, faults: Vec<LimitFault>) -> LimitScenario {
    LimitScenario {
        hosts,
        regions: 3,
        customers,
        requests_per_s: 400.0,
        limit_factor: 1.6,
        tolerance: LimitTolerance {
            window_s: 5.0,
            excess: 0.1,
            slack: 20.0,
        },
        length_ms: 16_000,
        local_latency_ms: 1,
        remote_latency_ms: 35,
        loss: 0.01,
        faults,
    }
}

fn fault(at_ms: u64, duration_ms: u64, kind: LimitFaultKind) -> LimitFault {
    LimitFault {
        at_ms,
        duration_ms,
        kind,
    }
}

fn any_fault() -> impl Strategy<Value = LimitFault> {
    let kind = prop_oneof![
        (0_u32..8, 2.0_f64..40.0)
            .prop_map(|(customer, factor)| LimitFaultKind::Press { customer, factor }),
        (0.1_f64..1.0).prop_map(|share| LimitFaultKind::Kill { share }),
        (2_u32..10).prop_map(|parts| LimitFaultKind::Cut { parts }),
        (0_u32..3).prop_map(|region| LimitFaultKind::Gather { region }),
        (0_u32..8, 0.1_f64..0.9)
            .prop_map(|(customer, factor)| LimitFaultKind::Lower { customer, factor }),
    ];
    (0_u64..12_000, 0_u64..8_000, kind)
        .prop_map(|(at_ms, duration_ms, kind)| fault(at_ms, duration_ms, kind))
}

/// Number of cases of the property test; `PROPTEST_CASES` overrides it for long manual runs.
fn cases() -> u32 {
    const DEFAULT_CASES: u32 = 64;
    let value = std::env::var("PROPTEST_CASES").ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        ..seeded::config()
    })]

    /// No window exceeds the bound, whatever is partitioned, killed, delayed or lost.
    #[test]
    fn pooled_tokens_stay_within_the_bound(
        hosts in 1_u32..40,
        customers in 1_u32..12,
        loss in 0.0_f64..0.3,
        faults in prop::collection::vec(any_fault(), 0..6),
        seed in any::<u64>(),
    ) {
        let mut scenario = scenario(hosts, customers, faults);
        scenario.loss = loss;
        let report = world::simulate::<PooledStrategy>(&scenario, seed);
        prop_assert!(report.fullest <= 1.0, "{report:?}");
    }
}

fn simulate_all(scenario: &LimitScenario) -> [LimitReport; 3] {
    [
        world::simulate::<FixedStrategy>(scenario, 7),
        world::simulate::<CountsStrategy>(scenario, 7),
        world::simulate::<PooledStrategy>(scenario, 7),
    ]
}

/// Each customer reaches a host only every few seconds, so its fixed shares are too small for
/// single requests.
#[test]
fn small_customers_are_refused_by_fixed_shares_and_served_by_pools() {
    let [fixed, _counts, pooled] = simulate_all(&scenario(67, 76, Vec::new()));
    assert!(fixed.refused_below > 0.1, "{}", fixed.refused_below);
    assert!(
        pooled.refused_below < 0.01,
        "{} {:?}",
        pooled.refused_below,
        pooled.customers
    );
}

/// One customer sends 30 times its usual load while the hosts are split into two partitions.
#[test]
fn overloading_customer_exceeds_the_bound_with_counts_and_not_with_pooled_tokens() {
    let press = LimitFaultKind::Press {
        customer: 0,
        factor: 30.0,
    };
    let faults = vec![
        fault(4_000, 8_000, press),
        fault(6_000, 5_000, LimitFaultKind::Cut { parts: 2 }),
    ];
    let [_fixed, counts, pooled] = simulate_all(&scenario(67, 20, faults));
    assert!(counts.fullest > 1.0, "{}", counts.fullest);
    assert!(pooled.fullest <= 1.0, "{}", pooled.fullest);
}
