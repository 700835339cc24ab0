//! What the operator configured: routes, services and limits, and how a request finds its route.

use std::{cell, rc};

use bytes::Bytes;

use super::configuration_draft::RoutePlace;
use super::customer::{CustomerRule, CustomerTable};
use super::peer_message::{self, PeerFormatError};

/// A whole configuration as the store holds it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceConfiguration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Every route; shared, since a table and each request point to them.
    pub routes: Vec<rc::Rc<RouteRule>>,
    /// Every service.
    pub services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may ask. `None` where nobody is asked who they are; then no request needs a key.
    pub customers: Option<Vec<rc::Rc<CustomerRule>>>,
    /// Whether some customers could not be read, so that an unknown key may be one of theirs.
    pub has_unread_customers: bool,
    /// What could not be read as it stands; known to the host that read it only.
    #[serde(skip)]
    pub faults: Vec<ConfigurationFault>,
}

/// A part of a configuration that could not be read as it stands. The other parts hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationFault {
    /// Its requests are taken for such that may run once at most.
    #[error("route {route:?}: the type {word:?} is not known; its requests run once at most")]
    UnknownKind {
        /// The route's name.
        route: String,
        /// What stands there.
        word: String,
    },
    /// Its requests are refused, if it tells which ones they are.
    #[error("route {route:?} cannot be read, and its requests are refused: {reason}")]
    UnreadableRoute {
        /// The route's name; empty if that cannot be read either.
        route: String,
        /// What is wrong.
        reason: String,
    },
    /// Servers of the service get no work while they are cold.
    #[error("a service cannot be read: {reason}")]
    UnreadableService {
        /// What is wrong.
        reason: String,
    },
    /// Requests with an unknown key are refused as not run, since it may be this customer's.
    #[error("customer number {place} cannot be read")]
    UnreadableCustomer {
        /// Its place in the list, from 0.
        place: usize,
    },
}

/// What a route's requests may suffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// May run once at most.
    Once,
    /// Repeatable, with a large answer.
    Download,
    /// May run once at most, with a large body.
    Upload,
}

impl RequestKind {
    /// Whether a second run does no harm.
    ///
    /// ```
    /// use ledgespool::entry::configuration::RequestKind;
    /// assert!(RequestKind::Download.may_repeat());
    /// assert!(!RequestKind::Once.may_repeat());
    /// assert!(!RequestKind::Upload.may_repeat());
    /// ```
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Download)
    }

    /// Whether its bytes make distance dear, so that servers of other regions come last. An upload takes the room that it
    /// finds: it may be sent to one server only.
    ///
    /// ```
    /// use ledgespool::entry::configuration::RequestKind;
    /// assert!(RequestKind::Download.stays_near());
    /// assert!(!RequestKind::Upload.stays_near());
    /// ```
    #[must_use]
    pub const fn stays_near(self) -> bool {
        matches!(self, Self::Download)
    }
}

/// One service among those that share a route's requests.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceShare {
    /// The service's name.
    pub service: String,
    /// Its part of the sum of all weights.
    pub weight: f64,
}

/// How the requests of a host and path prefix are served.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RouteRule {
    /// The route's name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// The longest that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// An answer within this time earns its full credit, in milliseconds.
    pub goal_ms: u64,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Backend servers that one request may be sent to at most.
    pub attempts: u32,
    /// Whether servers work faster on objects that they saw lately.
    pub sticky: bool,
    /// The services that share its requests; one entry when there is no split.
    pub shares: Vec<ServiceShare>,
    /// The only regions that may serve it; empty for all.
    pub homes: Vec<String>,
    /// Whether its requests need no key.
    pub public: bool,
}

/// What is known of a service beside its servers.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceRule {
    /// The service's name.
    pub name: String,
    /// The path of its health check.
    pub health_path: String,
    /// Connections that each server accepts from all hosts together.
    pub max_connections: u32,
    /// How long a server that started or came back stays slow, in milliseconds.
    pub warm_up_ms: u64,
    /// Requests a second that a cold server bears from all hosts together.
    pub cold_per_s: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: u64,
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// The longest that a head may take to arrive, in milliseconds.
    pub header_ms: u64,
    /// How long a connection may rest between requests, in milliseconds.
    pub idle_ms: u64,
}

/// The routes of a configuration, ready to be searched.
#[derive(Debug)]
pub struct RouteTable {
    configuration: ServiceConfiguration,
    routes: Vec<rc::Rc<RouteRule>>,
    /// `None` where requests need no key.
    customers: Option<CustomerTable>,
    /// The configuration as other hosts are sent it, once one has asked.
    written: cell::OnceCell<Bytes>,
}

impl RouteTable {
    /// Sorts the routes so that the first that fits is the right one.
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
            configuration,
            routes,
            customers,
            written: cell::OnceCell::new(),
        }
    }

    /// The configuration as other hosts are sent it: many ask a watcher at the same time.
    ///
    /// # Errors
    /// `Malformed` when it cannot be written.
    pub fn written(&self) -> Result<Bytes, PeerFormatError> {
        if let Some(written) = self.written.get() {
            return Ok(written.clone());
        }
        let written = Bytes::from(peer_message::to_bytes(&Some(&self.configuration))?);
        Ok(self.written.get_or_init(|| written).clone())
    }

    /// The configuration that the table was made of.
    #[must_use]
    pub const fn configuration(&self) -> &ServiceConfiguration {
        &self.configuration
    }

    /// The route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route_of(&self, host: &str, path: &str) -> Option<&rc::Rc<RouteRule>> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The customers by their keys; `None` where requests need no key.
    #[must_use]
    pub const fn customers(&self) -> Option<&CustomerTable> {
        self.customers.as_ref()
    }

    /// The rule of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let services = &self.configuration.services;
        services.iter().find(|service| service.name == name)
    }
}

impl RouteRule {
    /// A route whose requests no service can take.
    #[must_use]
    pub fn without_service(place: RoutePlace) -> Self {
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
            // Nobody is asked for a key: the refusal is the same for all.
            public: true,
        }
    }

    /// The service at `point`, a number from 0 up to 1, when the shares are laid end to end.
    ///
    /// `None` when the route names no service.
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
