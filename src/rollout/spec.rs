//! What the operator requests of a rollout, and the state it has reached.

use xxhash_rust::xxh3;

/// A compact identifier of a software version, a hash of its name. Thousands of server records hold
/// one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct VersionTag(u32);

impl VersionTag {
    /// Computes the tag of a version name.
    ///
    /// ```
    /// use ledgespool::rollout::spec::VersionTag;
    /// assert_ne!(VersionTag::of_name("v1"), VersionTag::of_name("v2"));
    /// ```
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        // The lower 32 bits of the hash.
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// A request by the operator to move the traffic of a service to another version.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RolloutSpec {
    /// The object's name in the store.
    pub name: String,
    /// The service.
    pub service: String,
    /// The version that the traffic moves to.
    pub target: String,
    /// The time within which the rollout is to complete, in milliseconds.
    pub over_ms: u64,
    /// The store revision at which the rollout was created. It distinguishes the rollout from
    /// earlier ones of the same service.
    pub created: u64,
}

impl RolloutSpec {
    /// The tag of the target version.
    #[must_use]
    pub fn target_tag(&self) -> VersionTag {
        VersionTag::of_name(&self.target)
    }

    /// Returns whether both describe the same rollout.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.created == other.created && self.target == other.target
    }
}

/// The state of a rollout.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum RolloutState {
    /// The traffic is being moved.
    Running,
    /// All traffic has moved; servers of other versions are stopped.
    Complete,
    /// The target version was found to be bad and gets no requests.
    Reverted,
}

impl RolloutState {
    /// Returns whether the rollout is finished.
    ///
    /// ```
    /// use ledgespool::rollout::spec::RolloutState;
    /// assert!(RolloutState::Reverted.is_final() && !RolloutState::Running.is_final());
    /// ```
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }
}

/// A rollout as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// What the operator requested.
    pub spec: RolloutSpec,
    /// The last recorded state; `None` if none was recorded yet.
    pub state: Option<RolloutState>,
}

/// A state to record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// What the operator requested.
    pub spec: RolloutSpec,
    /// The state to record.
    pub state: RolloutState,
    /// The object's expected store revision; the write fails if the object has changed since.
    pub revision: u64,
}
