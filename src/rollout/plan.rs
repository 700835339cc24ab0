//! Which part of a service's requests a new version gets, and when.

use super::order::VersionTag;

/// Of the part that a bad version may get over the whole time, the part of requests in the first step.
const CANARY_FACTOR: f64 = 0.1;
/// The same in the second step.
const WIDER_FACTOR: f64 = 0.5;
/// The same in the third step.
const MOST_FACTOR: f64 = 2.0;
/// When the second, third and fourth step begin, as parts of the time that the order gives. A version may turn bad at any
/// moment and under any load, so all requests go there only at the end: what it gets before the order is complete is
/// about what a bad one may get.
const STEP_STARTS: [f64; 3] = [0.7, 0.76, 0.8];
/// All requests go to the new version for this part of the time before the order is complete: long enough for answers
/// to show that it turned bad.
pub const PROVED_FOR: f64 = 0.09;
/// Servers of other versions should be without requests before they are stopped. An order that waits for that is
/// complete all the same at this part of its time.
pub const LAST_CALL: f64 = 0.95;

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
    /// As many as a bad version may get.
    Wider,
    /// A good part.
    Most,
    /// All.
    All,
}

impl RolloutStep {
    /// The step that is due `age_ms` after an order that gives `over_ms`.
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

    /// The part of requests that go to the new version; `canary_share` is what a bad one may get.
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

/// Which versions may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionRule {
    /// All.
    #[default]
    Any,
    /// This one.
    Only(VersionTag),
    /// All but this one.
    Except(VersionTag),
}

impl VersionRule {
    /// Whether servers of a version may get the request.
    ///
    /// ```
    /// use ledgespool::rollout::order::VersionTag;
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
