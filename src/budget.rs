//! The concurrency budget of one place, divided into grants for the entry hosts.
//!
//! A place is a service in a hall, or a service's traffic from one region to another. A unit
//! allows one request at a time. The units in use never exceed the limit of the place.
//!
//! Units move between hosts in two steps. When a host's grant is lowered, its units become free
//! only after the host has acknowledged the lower grant. A grant is raised from free units only.
//! `held` is the upper bound of the units that a host may still use. These rules keep the sum of
//! `held` within the limit even if messages are lost or delayed, or hosts are frozen.

use std::fmt;

use crate::member;

/// The place that a budget applies to.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum PlaceKey {
    /// Requests of a service that run in a hall.
    Hall {
        /// The service.
        service: String,
        /// The hall.
        hall: String,
    },
    /// Requests that callers or hosts of one region send to a service in another region.
    Route {
        /// The service.
        service: String,
        /// The region that they come from.
        from: String,
        /// The region that they run in.
        to: String,
    },
}

impl PlaceKey {
    /// A key for a service in a hall.
    #[must_use]
    pub fn with_hall(service: &str, hall: &str) -> Self {
        Self::Hall {
            service: service.to_owned(),
            hall: hall.to_owned(),
        }
    }

    /// A key for a service's requests that were moved between two regions.
    #[must_use]
    pub fn with_route(service: &str, from: &str, to: &str) -> Self {
        Self::Route {
            service: service.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
        }
    }
}

impl fmt::Display for PlaceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hall { service, hall } => write!(f, "{service}@{hall}"),
            Self::Route { service, from, to } => write!(f, "{service}@{from}>{to}"),
        }
    }
}

/// One host's grant for a place.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct GrantEntry {
    /// The host and the incarnation of its process.
    pub host: member::HostIdentity,
    /// Units that it may use once it has installed the plan.
    pub grant: u32,
    /// Units that it may still be using; never below `grant`.
    pub held: u32,
    /// The sequence of the plan that lowered `grant` last.
    pub lowered_at: u64,
}

/// The budget of one place.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PlaceBudget {
    /// The place.
    pub key: PlaceKey,
    /// Maximum number of units in use at once.
    pub limit: u32,
    /// Grants, one for each host that has or may still use any units.
    pub entries: Vec<GrantEntry>,
}

/// A saturating sum, because an object read from the platform may contain any numbers.
pub(crate) fn saturating_sum(units: impl Iterator<Item = u32>) -> u32 {
    units.fold(0, u32::saturating_add)
}

impl PlaceBudget {
    /// Units granted to hosts.
    #[must_use]
    pub fn granted_units(&self) -> u32 {
        saturating_sum(self.entries.iter().map(|entry| entry.grant))
    }

    /// An empty budget.
    ///
    /// ```
    /// use ledgespool::budget;
    /// let key = budget::PlaceKey::with_hall("desk", "perth-1");
    /// assert_eq!(budget::PlaceBudget::with_limit(key, 9).free_units(), 9);
    /// ```
    #[must_use]
    pub const fn with_limit(key: PlaceKey, limit: u32) -> Self {
        Self {
            key,
            limit,
            entries: Vec::new(),
        }
    }

    /// Units that hosts may still be using.
    #[must_use]
    pub fn held_units(&self) -> u32 {
        saturating_sum(self.entries.iter().map(|entry| entry.held))
    }

    /// Units that may be granted now.
    #[must_use]
    pub fn free_units(&self) -> u32 {
        self.limit.saturating_sub(self.held_units())
    }

    /// A host's current grant; 0 without one.
    #[must_use]
    pub fn grant_of(&self, host: &member::HostIdentity) -> u32 {
        self.entries
            .iter()
            .find(|entry| entry.host == *host)
            .map_or(0, |entry| entry.grant)
    }

    /// Units granted to the hosts that precede this one in the order of identities.
    #[must_use]
    pub fn offset_of(&self, host: &member::HostIdentity) -> u32 {
        let before = self.entries.iter().filter(|entry| entry.host < *host);
        saturating_sum(before.map(|entry| entry.grant))
    }

    /// Lowers a host's grant as of plan `sequence`. Its held units stay until it acknowledges the
    /// plan.
    pub fn lower(&mut self, host: &member::HostIdentity, units: u32, sequence: u64) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.host == *host)
            && units < entry.grant
        {
            entry.grant = units;
            entry.lowered_at = sequence;
        }
    }

    /// Raises a host's grant towards `units` as far as free units allow; returns the new grant.
    ///
    /// Units that the host still holds from an earlier grant can be granted again without using
    /// free units.
    pub fn raise(&mut self, host: &member::HostIdentity, units: u32) -> u32 {
        let free = self.free_units();
        let exceeds_limit = self.held_units() > self.limit;
        let index = self.entries.iter().position(|entry| entry.host == *host);
        let Some(entry) = index.and_then(|index| self.entries.get_mut(index)) else {
            let grant = units.min(free);
            if grant > 0 {
                let host = host.clone();
                self.entries.push(GrantEntry {
                    host,
                    grant,
                    held: grant,
                    lowered_at: 0,
                });
            }
            return grant;
        };
        if exceeds_limit || units <= entry.grant {
            return entry.grant;
        }
        entry.grant = units.min(entry.held.saturating_add(free));
        entry.held = entry.held.max(entry.grant);
        entry.grant
    }

    /// Processes a host's report that plan `installed` is active and `in_use` units are in use.
    pub fn acknowledge(&mut self, host: &member::HostIdentity, installed: u64, in_use: u32) {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.host == *host) else {
            return;
        };
        if installed >= entry.lowered_at {
            entry.held = entry.grant.max(in_use.min(entry.held));
        }
        self.entries.retain(|entry| entry.held > 0);
    }

    /// Frees all units of a host that provably cannot use them any more.
    pub fn release(&mut self, host: &member::HostIdentity) {
        self.entries.retain(|entry| entry.host != *host);
    }
}
