//! A configuration while it is read part by part, and what becomes of a part that cannot be read.
//!
//! A new word must not take all other routes out of service, and must not be guessed: whatever cannot be read costs only
//! the requests that need it, and those are refused as not run.

use std::rc;

use super::configuration::{
    CallerLimits, ConfigurationFault, RequestKind, RouteRule, ServiceConfiguration, ServiceRule,
};
use super::customer::CustomerRule;

/// Which requests a route would carry, where that can be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePlace {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
}

/// The parts that were read so far, and the faults of the others.
#[derive(Debug, Default)]
pub struct ConfigurationDraft {
    routes: Vec<rc::Rc<RouteRule>>,
    services: Vec<ServiceRule>,
    customers: Option<Vec<rc::Rc<CustomerRule>>>,
    has_unread_customers: bool,
    faults: Vec<ConfigurationFault>,
}

impl ConfigurationDraft {
    /// What the requests of a route may suffer, by the `word` that stands there; `known` is what it means, if that is
    /// known. Whatever an unknown word means, one run does no harm.
    pub fn kind_of(&mut self, route: &str, word: &str, known: Option<RequestKind>) -> RequestKind {
        known.unwrap_or_else(|| {
            self.faults.push(ConfigurationFault::UnknownKind {
                route: route.to_owned(),
                word: word.to_owned(),
            });
            RequestKind::Once
        })
    }

    /// A route was read.
    pub fn add_route(&mut self, route: RouteRule) {
        self.routes.push(rc::Rc::new(route));
    }

    /// A route cannot be read, for this reason. It keeps its place, if that is known, so that its requests are refused and
    /// not taken for unknown.
    pub fn add_unread_route(&mut self, place: Option<RoutePlace>, reason: String) {
        let name = place.as_ref().map(|place| place.name.clone());
        self.faults.push(ConfigurationFault::UnreadableRoute {
            route: name.unwrap_or_default(),
            reason,
        });
        if let Some(place) = place {
            self.add_route(RouteRule::without_service(place));
        }
    }

    /// A service was read.
    pub fn add_service(&mut self, service: ServiceRule) {
        self.services.push(service);
    }

    /// A service cannot be read, for this reason.
    pub fn add_unread_service(&mut self, reason: String) {
        self.faults
            .push(ConfigurationFault::UnreadableService { reason });
    }

    /// Requests need the key of a customer.
    pub fn need_customers(&mut self) {
        self.customers.get_or_insert_default();
    }

    /// A customer was read.
    pub fn add_customer(&mut self, customer: CustomerRule) {
        let customers = self.customers.get_or_insert_default();
        customers.push(rc::Rc::new(customer));
    }

    /// The customer at this place of the list cannot be read. The reason is not told: it may quote a key.
    pub fn add_unread_customer(&mut self, place: usize) {
        self.need_customers();
        self.has_unread_customers = true;
        self.faults
            .push(ConfigurationFault::UnreadableCustomer { place });
    }

    /// The configuration of all that was read.
    ///
    /// ```
    /// use ledgespool::entry::configuration::{CallerLimits, RequestKind};
    /// use ledgespool::entry::configuration_draft::ConfigurationDraft;
    /// let mut draft = ConfigurationDraft::default();
    /// assert_eq!(draft.kind_of("scan", "resumable", None), RequestKind::Once);
    /// let limits = CallerLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    /// let configuration = draft.into_configuration(7, limits);
    /// assert_eq!((configuration.version, configuration.faults.len()), (7, 1));
    /// ```
    #[must_use]
    pub fn into_configuration(self, version: u64, limits: CallerLimits) -> ServiceConfiguration {
        ServiceConfiguration {
            version,
            routes: self.routes,
            services: self.services,
            limits,
            customers: self.customers,
            has_unread_customers: self.has_unread_customers,
            faults: self.faults,
        }
    }
}
