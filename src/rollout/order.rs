//! What the operator orders, and what came of it.

use xxhash_rust::xxh3;

/// Stands for the name of a software version: thousands of servers carry one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct VersionTag(u32);

impl VersionTag {
    /// The tag of a version's name.
    ///
    /// ```
    /// use ledgespool::rollout::order::VersionTag;
    /// assert_ne!(VersionTag::of_name("v1"), VersionTag::of_name("v2"));
    /// ```
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        // The lower half of the hash.
        Self(xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// An order to move the traffic of a service.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RolloutOrder {
    /// The object's name in the store.
    pub name: String,
    /// The service.
    pub service: String,
    /// The version that its traffic moves to.
    pub target: String,
    /// The time within which it is to be done, in milliseconds.
    pub over_ms: u64,
    /// The store's count when the order was made, which tells it from an earlier one for the same service.
    pub created: u64,
}

impl RolloutOrder {
    /// The tag of the version that the traffic moves to.
    #[must_use]
    pub fn target_tag(&self) -> VersionTag {
        VersionTag::of_name(&self.target)
    }

    /// Whether both are the same order.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.created == other.created && self.target == other.target
    }
}

/// How far an order has come.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum RolloutState {
    /// The traffic is being moved.
    Running,
    /// All traffic has moved; servers of other versions stop.
    Complete,
    /// The version was found to be bad; it gets no requests.
    Reverted,
}

impl RolloutState {
    /// Whether nothing more is done for the order.
    ///
    /// ```
    /// use ledgespool::rollout::order::RolloutState;
    /// assert!(RolloutState::Reverted.is_final() && !RolloutState::Running.is_final());
    /// ```
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }
}

/// An order as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// The order.
    pub order: RolloutOrder,
    /// What was last recorded of it; `None` for nothing yet.
    pub state: Option<RolloutState>,
}

/// A state that is to be recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The order.
    pub order: RolloutOrder,
    /// Its state.
    pub state: RolloutState,
    /// The store's position at which the object must still stand.
    pub revision: u64,
}
