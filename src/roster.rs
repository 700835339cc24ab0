//! The platform's host list, which is authoritative on which machines were removed.
//!
//! The list lags behind, so a host counts as removed only when it is missing from a version newer
//! than the last one that contained it.

use std::{collections, net};

use crate::plan;

/// A host's state in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It is running.
    Live,
    /// It is going to be stopped.
    Leaving,
}

/// The kind of process that a listed host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// An entry host of this system.
    Entry,
    /// A backend server.
    Server,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Its name.
    pub name: String,
    /// The kind of process that it runs.
    pub role: ListedRole,
    /// The control address of an entry host, or the address of a backend server.
    pub control_address: net::SocketAddr,
    /// Its state.
    pub state: ListedState,
}

/// One version of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Increases with each change.
    pub version: u64,
    /// The hosts.
    pub hosts: Vec<ListedHost>,
}

/// The newest host list received.
#[derive(Debug, Default)]
pub struct HostRoster {
    version: u64,
    hosts: collections::HashMap<String, ListedHost>,
}

impl HostRoster {
    /// Applies a list unless a newer one was received. Memory: one entry for each listed host.
    pub fn update(&mut self, list: HostList) {
        if list.version < self.version {
            return;
        }
        self.version = list.version;
        self.hosts = list
            .hosts
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
    }

    /// The current version, if it lists the host under this address.
    #[must_use]
    pub fn listed_version(&self, host: &plan::PlanHost) -> Option<u64> {
        self.contains(host).then_some(self.version)
    }

    /// Whether the list contained the host earlier and no longer does.
    #[must_use]
    pub fn is_removed(&self, host: &plan::PlanHost) -> bool {
        host.listed_at > 0 && self.version > host.listed_at && !self.contains(host)
    }

    /// Whether the list marks the named host as leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.hosts
            .get(name)
            .is_some_and(|host| host.state == ListedState::Leaving)
    }

    /// Control addresses of all listed entry hosts, without backend servers, which are not peers.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddr> + '_ {
        let entries = self
            .hosts
            .values()
            .filter(|host| host.role == ListedRole::Entry);
        entries.map(|host| host.control_address)
    }

    fn contains(&self, host: &plan::PlanHost) -> bool {
        self.hosts
            .get(&host.identity.name)
            .is_some_and(|listed| listed.control_address == host.control_address)
    }
}
