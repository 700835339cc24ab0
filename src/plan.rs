//! The plan object: who plans, and the grants of every place.

use std::net;

use crate::budget;
use crate::error::{self, Error};
use crate::member;
use crate::result_code::ResultCode;

/// The largest object that the platform holds, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// A host that the plan has to do with.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PlanHost {
    /// Who it is.
    pub identity: member::HostIdentity,
    /// Its control address: a later incarnation that holds it proves this one gone.
    pub control_address: net::SocketAddr,
    /// Its hall.
    pub hall: String,
    /// The version of the platform's host list that showed it last; 0 when none did.
    pub listed_at: u64,
}

/// Everything that a planner must know of its predecessors.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct SteeringPlan {
    /// Grows by one with each write, across planners.
    pub sequence: u64,
    /// The host that wrote it: the planner.
    pub holder: member::HostIdentity,
    /// The configuration generation that it was made for.
    pub generation: u64,
    /// Hosts that hold units or may get some.
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
    /// Units.
    pub units: u32,
    /// Where its units lie among those of all hosts, so that each host fills slots of its own.
    pub offset: u32,
}

/// All grants of one host in one plan; a place that is absent has none.
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
    /// Reads a plan object.
    ///
    /// # Errors
    /// `ObjectInvalid` when it does not parse.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        serde_json::from_slice(bytes)
            .map_err(|fault| Error::with_code(ResultCode::ObjectInvalid, format!("plan: {fault}")))
    }

    /// Writes a plan object.
    ///
    /// # Errors
    /// `ObjectTooLarge` past one megabyte.
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
