//! The budget of one place, split into grants: the sum in use never exceeds what it carries.
//!
//! Growth is two-step. A giver's lower grant must be acknowledged before its units count as free,
//! and a taker's higher grant is taken from free units only. `held` is the upper bound of what a
//! host may still use; the rules keep the sum of `held` within the limit, whatever is lost, late
//! or frozen on the way.

use std::fmt;

use crate::member;

/// What a budget is for.
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
    /// Requests of a service running in a hall.
    Hall {
        /// The service.
        service: String,
        /// The hall.
        hall: String,
    },
    /// Requests of a service that were moved from one region's callers or hosts to another region.
    Route {
        /// The service.
        service: String,
        /// The region they come from.
        from: String,
        /// The region they run in.
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

    /// A key for moved work.
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

/// One host's share of a place.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct GrantEntry {
    /// The host and the run of its process.
    pub host: member::HostIdentity,
    /// Units that it may use once it has read the plan.
    pub grant: u32,
    /// Units that it may still be using; never below `grant`.
    pub held: u32,
    /// The plan sequence that lowered `grant` last.
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
    /// Units that the place carries at once.
    pub limit: u32,
    /// Shares, one for each host that has or had any.
    pub entries: Vec<GrantEntry>,
}

/// A sum that stays at the largest number: an object from outside may hold any.
pub(crate) fn total(units: impl Iterator<Item = u32>) -> u32 {
    units.fold(0, u32::saturating_add)
}

impl PlaceBudget {
    /// Units granted to hosts.
    #[must_use]
    pub fn granted_units(&self) -> u32 {
        total(self.entries.iter().map(|entry| entry.grant))
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

    /// Units that hosts may be using.
    #[must_use]
    pub fn held_units(&self) -> u32 {
        total(self.entries.iter().map(|entry| entry.held))
    }

    /// Units that may be granted now.
    #[must_use]
    pub fn free_units(&self) -> u32 {
        self.limit.saturating_sub(self.held_units())
    }

    /// A host's present grant; 0 without one.
    #[must_use]
    pub fn grant_of(&self, host: &member::HostIdentity) -> u32 {
        self.entries
            .iter()
            .find(|entry| entry.host == *host)
            .map_or(0, |entry| entry.grant)
    }

    /// Units granted to the hosts before this one, in the order of their names.
    #[must_use]
    pub fn offset_of(&self, host: &member::HostIdentity) -> u32 {
        let before = self.entries.iter().filter(|entry| entry.host < *host);
        total(before.map(|entry| entry.grant))
    }

    /// Lowers a host's grant as of plan `sequence`; its held units stay until it acknowledges.
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
    /// Units that the host still holds from before are its own already and need no free ones.
    pub fn raise(&mut self, host: &member::HostIdentity, units: u32) -> u32 {
        let free = self.free_units();
        let over = self.held_units() > self.limit;
        let position = self.entries.iter().position(|entry| entry.host == *host);
        let Some(entry) = position.and_then(|position| self.entries.get_mut(position)) else {
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
        if over || units <= entry.grant {
            return entry.grant;
        }
        entry.grant = units.min(entry.held.saturating_add(free));
        entry.held = entry.held.max(entry.grant);
        entry.grant
    }

    /// Takes a host's word that it has plan `installed` in force and uses `in_use` units.
    pub fn acknowledge(&mut self, host: &member::HostIdentity, installed: u64, in_use: u32) {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.host == *host) else {
            return;
        };
        if installed >= entry.lowered_at {
            entry.held = entry.grant.max(in_use.min(entry.held));
        }
        self.entries.retain(|entry| entry.held > 0);
    }

    /// Frees everything of a host that provably can't use it any more.
    pub fn release(&mut self, host: &member::HostIdentity) {
        self.entries.retain(|entry| entry.host != *host);
    }
}
