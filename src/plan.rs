//! The plan object: the planner and the budgets of all places.

use std::net;

use crate::budget;
use crate::error::{self, Error};
use crate::member;
use crate::result_code::ResultCode;

/// Maximum size of a platform object in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// A host that the plan concerns.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PlanHost {
    /// Its name and incarnation.
    pub identity: member::HostIdentity,
    /// Its control address. A later incarnation at the same address proves that this one has ended.
    pub control_address: net::SocketAddr,
    /// Its hall.
    pub hall: String,
    /// The last version of the platform's host list that contained it; 0 if none did.
    pub listed_at: u64,
}

/// The plan. It contains everything that a planner must know about its predecessors' grants.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct SteeringPlan {
    /// Incremented by one with each write, also when the planner changes.
    pub sequence: u64,
    /// The planner: the host that wrote it.
    pub holder: member::HostIdentity,
    /// The configuration generation that it is based on.
    pub generation: u64,
    /// Hosts that hold units or may get units.
    pub hosts: Vec<PlanHost>,
    /// The budget of every place.
    pub budgets: Vec<budget::PlaceBudget>,
}

/// A host's grant for one place.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PlaceGrant {
    /// The place.
    pub key: budget::PlaceKey,
    /// Units granted.
    pub units: u32,
    /// Number of units granted to preceding hosts, so that each host uses different slots first.
    pub offset: u32,
}

/// All grants of one host in one plan. A place that is absent has no grant.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct HostGrants {
    /// The sequence of the plan.
    pub sequence: u64,
    /// The grants.
    pub grants: Vec<PlaceGrant>,
}

impl SteeringPlan {
    /// Parses a plan object.
    ///
    /// # Errors
    /// `ObjectInvalid` when it does not parse.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        serde_json::from_slice(bytes)
            .map_err(|fault| Error::with_code(ResultCode::ObjectInvalid, format!("plan: {fault}")))
    }

    /// Serializes a plan object.
    ///
    /// # Errors
    /// `ObjectTooLarge` when it exceeds [`MAX_OBJECT_BYTES`].
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let bytes = serde_json::to_vec(self).map_err(|fault| {
            Error::with_code(ResultCode::ObjectInvalid, format!("plan: {fault}"))
        })?;
        if bytes.len() > MAX_OBJECT_BYTES {
            return Err(Error::with_code(
                ResultCode::ObjectTooLarge,
                format!("plan: {} bytes", bytes.len()),
            ));
        }
        Ok(bytes)
    }

    /// The grants of one host.
    #[must_use]
    pub fn grants_of(&self, host: &member::HostIdentity) -> HostGrants {
        let mut grants = Vec::new();
        for budget in &self.budgets {
            let units = budget.grant_of(host);
            if units > 0 {
                grants.push(PlaceGrant {
                    key: budget.key.clone(),
                    units,
                    offset: budget.offset_of(host),
                });
            }
        }
        HostGrants {
            sequence: self.sequence,
            grants,
        }
    }

    /// Finds the budget of a place.
    #[must_use]
    pub fn budget(&self, key: &budget::PlaceKey) -> Option<&budget::PlaceBudget> {
        self.budgets.iter().find(|budget| budget.key == *key)
    }
}
