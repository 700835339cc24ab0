//! Configuration for reproducible property tests.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed that writes no file on failure.
pub fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}
