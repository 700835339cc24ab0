//! The share of a service's requests that a new version gets at each step of a rollout.

use super::spec::VersionTag;

/// Share of requests in the first step, relative to the share that a bad version may get over
/// the whole rollout.
const CANARY_FACTOR: f64 = 0.1;
/// Same for the second step.
const WIDER_FACTOR: f64 = 0.5;
/// Same for the third step.
const MOST_FACTOR: f64 = 2.0;
/// When the second, third and fourth step start, as fractions of the rollout's time. A version may
/// turn bad at any time and under any load, so it gets all requests only near the end. The requests
/// that it gets before the rollout completes are then about as many as a bad version may get.
const STEP_STARTS: [f64; 3] = [0.7, 0.76, 0.8];
/// Fraction of the rollout's time for which the new version gets all requests before the rollout
/// completes. It is long enough for the answers to show that the version turned bad.
pub const BAKE_TIME_FRACTION: f64 = 0.09;
/// Fraction of the rollout's time after which it no longer waits for requests on servers of other
/// versions. These servers are stopped on completion and should have no requests in flight by then.
pub const DRAIN_DEADLINE_FRACTION: f64 = 0.95;

/// How much of a service's traffic has moved.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum RolloutStep {
    /// A few requests.
    #[default]
    Canary,
    /// A larger share, which is still below what a bad version may get.
    Wider,
    /// A share above what a bad version may get over the whole rollout.
    Most,
    /// All requests.
    All,
}

impl RolloutStep {
    /// The step that is due `age_ms` after the start of a rollout that lasts `over_ms`.
    ///
    /// ```
    /// use ledgespool::rollout::plan::RolloutStep;
    /// assert_eq!(RolloutStep::due(1_000, 12_000), RolloutStep::Canary);
    /// assert_eq!(RolloutStep::due(10_000, 12_000), RolloutStep::All);
    /// ```
    #[must_use]
    pub fn due(age_ms: u64, over_ms: u64) -> Self {
        let age = age_ms as f64 / over_ms.max(1) as f64;
        match STEP_STARTS.iter().filter(|start| age >= **start).count() {
            0 => Self::Canary,
            1 => Self::Wider,
            2 => Self::Most,
            _ => Self::All,
        }
    }

    /// The share of requests that go to the new version. `canary_share` is the share that a bad one
    /// may get over the whole rollout.
    #[must_use]
    pub fn share(self, canary_share: f64) -> f64 {
        match self {
            Self::Canary => canary_share * CANARY_FACTOR,
            Self::Wider => canary_share * WIDER_FACTOR,
            Self::Most => (canary_share * MOST_FACTOR).min(1.0),
            Self::All => 1.0,
        }
    }
}

/// The versions that may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// Only this version.
    Only(VersionTag),
    /// Any version except this one.
    Except(VersionTag),
}

impl VersionRule {
    /// Returns whether servers of `version` may get the request.
    ///
    /// ```
    /// use ledgespool::rollout::spec::VersionTag;
    /// use ledgespool::rollout::plan::VersionRule;
    /// let (old, new) = (VersionTag::of_name("v1"), VersionTag::of_name("v2"));
    /// assert!(VersionRule::Only(new).allows(new) && !VersionRule::Only(new).allows(old));
    /// assert!(VersionRule::Except(new).allows(old) && !VersionRule::Except(new).allows(new));
    /// ```
    #[must_use]
    pub fn allows(self, version: VersionTag) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
        }
    }
}
