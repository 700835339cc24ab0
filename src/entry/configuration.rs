//! The operator's configuration: routes, services, limits and customers, and the lookup of a
//! request's route.

use std::{cell, rc};

use bytes::Bytes;

use super::configuration_builder::RouteMatch;
use super::customer::{CustomerRule, CustomerTable};
use super::peer_message::{self, PeerFormatError};
use crate::urgency::classes::{RouteUrgency, UrgencyTable};

/// A complete configuration, as read from the store.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceConfiguration {
    /// The version, which increases with each change by one or more.
    pub version: u64,
    /// All routes. They are shared with the route table and with each request.
    pub routes: Vec<rc::Rc<RouteRule>>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Limits for the requests of callers.
    pub limits: CallerLimits,
    /// The customers. `None` if callers are not identified; then no request needs a key.
    pub customers: Option<Vec<rc::Rc<CustomerRule>>>,
    /// Whether some customers were unreadable, so that an unknown key may belong to one of them.
    pub has_unread_customers: bool,
    /// The unreadable parts. Known only to the host that read the configuration from the store.
    #[serde(skip)]
    pub faults: Vec<ConfigurationFault>,
}

/// An unreadable part of a configuration. The other parts still apply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationFault {
    /// The route's type is unknown; its requests run at most once.
    #[error("route {route:?}: the type {kind:?} is not known; its requests run once at most")]
    UnknownKind {
        /// The route's name.
        route: String,
        /// The configured type.
        kind: String,
    },
    /// A route is unreadable; its requests are refused if its host and path are readable.
    #[error("route {route:?} cannot be read, and its requests are refused: {reason}")]
    UnreadableRoute {
        /// The route's name; empty if it is unreadable too.
        route: String,
        /// What is wrong.
        reason: String,
    },
    /// A service is unreadable; its servers get no requests while they are cold.
    #[error("a service cannot be read: {reason}")]
    UnreadableService {
        /// What is wrong.
        reason: String,
    },
    /// A customer is unreadable. Requests with an unknown key are refused as not run, since the key
    /// may belong to this customer.
    #[error("customer number {place} cannot be read")]
    UnreadableCustomer {
        /// The position in the list, from 0.
        place: usize,
    },
}

/// Whether a route's requests may run more than once, and whether their bodies are large.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// May run at most once.
    Once,
    /// Repeatable, with a large answer.
    Download,
    /// May run at most once, with a large body.
    Upload,
}

impl RequestKind {
    /// Whether a request of this kind may run more than once.
    ///
    /// ```
    /// use ledgespool::entry::configuration::RequestKind;
    /// assert!(RequestKind::Download.is_retryable());
    /// assert!(!RequestKind::Once.is_retryable());
    /// assert!(!RequestKind::Upload.is_retryable());
    /// ```
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Download)
    }

    /// Whether servers of other regions are the last choice, because a large answer is costly to
    /// transfer over a distance. An upload uses capacity in any region, since it may be sent to one
    /// server only.
    ///
    /// ```
    /// use ledgespool::entry::configuration::RequestKind;
    /// assert!(RequestKind::Download.prefers_local_region());
    /// assert!(!RequestKind::Upload.prefers_local_region());
    /// ```
    #[must_use]
    pub const fn prefers_local_region(self) -> bool {
        matches!(self, Self::Download)
    }
}

/// The share of a route's requests that one service gets.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceShare {
    /// The service's name.
    pub service: String,
    /// Its weight, relative to the sum of all weights.
    pub weight: f64,
}

/// How the requests of a host and path prefix are served.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RouteRule {
    /// The route's name, for logs.
    pub name: String,
    /// The host name in the requests of callers.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// Maximum time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Goal for the answer time, in milliseconds. An answer within it gets full credit.
    pub goal_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Whether servers process an object faster if they had a request for it recently.
    pub sticky: bool,
    /// The services that share the route's requests; a single entry if there is no split.
    pub shares: Vec<ServiceShare>,
    /// The regions that may serve the route; empty if all may.
    pub homes: Vec<String>,
    /// Whether requests without a key are accepted.
    pub public: bool,
}

/// The settings of a service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceRule {
    /// The service's name.
    pub name: String,
    /// The path of its health check.
    pub health_path: String,
    /// Maximum number of connections that each server accepts from all hosts together.
    pub max_connections: u32,
    /// How long a server stays cold after it starts or returns, in milliseconds.
    pub warm_up_ms: u64,
    /// Requests per second that a cold server can take from all hosts together.
    pub cold_per_s: f64,
}

/// Size and time limits for the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time in which a request's head must arrive, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection between requests, in milliseconds.
    pub idle_ms: u64,
}

/// A configuration with its routes sorted and its customers indexed for lookup.
#[derive(Debug)]
pub struct RouteTable {
    configuration: ServiceConfiguration,
    routes: Vec<rc::Rc<RouteRule>>,
    /// `None` if requests need no key.
    customers: Option<CustomerTable>,
    urgency: UrgencyTable,
    /// The configuration encoded for other hosts, from the first request for it on.
    encoded: cell::OnceCell<Bytes>,
}

impl RouteTable {
    /// Sorts the routes by host and descending prefix length, so that the first match is the
    /// longest.
    #[must_use]
    pub fn from_configuration(configuration: ServiceConfiguration) -> Self {
        let mut routes = configuration.routes.clone();
        routes.sort_by(|a, b| {
            let by_host = a.host.cmp(&b.host);
            by_host.then_with(|| b.prefix.len().cmp(&a.prefix.len()))
        });
        let customers = configuration.customers.as_deref();
        let customers = customers.map(CustomerTable::from_rules);
        Self {
            urgency: classify_routes(&configuration.routes),
            configuration,
            routes,
            customers,
            encoded: cell::OnceCell::new(),
        }
    }

    /// The configuration encoded for other hosts. It is cached, because many hosts request it from
    /// a watcher at the same time.
    ///
    /// # Errors
    /// `Malformed` when it cannot be encoded.
    pub fn encoded(&self) -> Result<Bytes, PeerFormatError> {
        if let Some(encoded) = self.encoded.get() {
            return Ok(encoded.clone());
        }
        let encoded = Bytes::from(peer_message::to_bytes(&Some(&self.configuration))?);
        Ok(self.encoded.get_or_init(|| encoded).clone())
    }

    /// The configuration that the table was built from.
    #[must_use]
    pub const fn configuration(&self) -> &ServiceConfiguration {
        &self.configuration
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&rc::Rc<RouteRule>> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The customers; `None` if requests need no key.
    #[must_use]
    pub const fn customers(&self) -> Option<&CustomerTable> {
        self.customers.as_ref()
    }

    /// The classes of the routes by priority and goal.
    #[must_use]
    pub const fn urgency(&self) -> &UrgencyTable {
        &self.urgency
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let services = &self.configuration.services;
        services.iter().find(|service| service.name == name)
    }
}

fn classify_routes(routes: &[rc::Rc<RouteRule>]) -> UrgencyTable {
    let by_service = routes.iter().flat_map(|route| {
        route.shares.iter().map(|share| RouteUrgency {
            service: &share.service,
            route: &route.name,
            priority: route.priority,
            goal_ms: route.goal_ms,
        })
    });
    UrgencyTable::from_routes(&by_service.collect::<Vec<_>>())
}

impl RouteRule {
    /// Creates a route without services, whose requests are all refused.
    #[must_use]
    pub fn without_service(place: RouteMatch) -> Self {
        Self {
            name: place.name,
            host: place.host,
            prefix: place.prefix,
            kind: RequestKind::Once,
            timeout_ms: 0,
            goal_ms: 0,
            priority: 0,
            attempts: 1,
            sticky: false,
            shares: Vec::new(),
            homes: Vec::new(),
            // No key is required, so that all callers get the same refusal.
            public: true,
        }
    }

    /// Whether `service` gets a share of the route's requests.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.shares.iter().any(|share| share.service == service)
    }

    /// Selects a service by weight: the one whose cumulative share contains `point`, a number from
    /// 0 to 1. Returns `None` if the route has no services.
    #[must_use]
    pub fn service_at(&self, point: f64) -> Option<&str> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = point * total;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.shares.last().map(|share| share.service.as_str())
    }
}
