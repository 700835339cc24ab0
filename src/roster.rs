//! The platform's list of hosts: the authority on which machines are gone.
//!
//! The list lags, so a host counts as gone only when a version of the list that is newer than the
//! one that showed it last does not show it.

use std::{collections, net};

use crate::plan;

/// A host's state in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is to be stopped.
    Leaving,
}

/// What a listed host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// An entry host of this system.
    Entry,
    /// A backend server.
    Server,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Its name.
    pub name: String,
    /// What it runs.
    pub role: ListedRole,
    /// The control address of an entry host, the address of a backend server.
    pub control_address: net::SocketAddr,
    /// Its state.
    pub state: ListedState,
}

/// One version of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Grows with each change.
    pub version: u64,
    /// The hosts.
    pub hosts: Vec<ListedHost>,
}

/// The newest list seen.
#[derive(Debug, Default)]
pub struct HostRoster {
    version: u64,
    hosts: collections::HashMap<String, ListedHost>,
}

impl HostRoster {
    /// Takes a list unless a newer one was seen. Memory: one entry a listed host.
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

    /// The version in which the host is shown under this address, if it is.
    #[must_use]
    pub fn listed_version(&self, host: &plan::PlanHost) -> Option<u64> {
        self.shows(host).then_some(self.version)
    }

    /// Whether the list has dropped the host after showing it.
    #[must_use]
    pub fn is_gone(&self, host: &plan::PlanHost) -> bool {
        host.listed_at > 0 && self.version > host.listed_at && !self.shows(host)
    }

    /// Whether the list calls the named host leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.hosts
            .get(name)
            .is_some_and(|host| host.state == ListedState::Leaving)
    }

    /// Control addresses of all listed entry hosts; backend servers get no messages of peers.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddr> + '_ {
        let entries = self
            .hosts
            .values()
            .filter(|host| host.role == ListedRole::Entry);
        entries.map(|host| host.control_address)
    }

    fn shows(&self, host: &plan::PlanHost) -> bool {
        self.hosts
            .get(&host.identity.name)
            .is_some_and(|listed| listed.control_address == host.control_address)
    }
}
