//! Builds a configuration part by part and handles parts that cannot be read.
//!
//! An unknown value must not take the other routes out of service and must not be guessed. An
//! unreadable part affects only the requests that need it, and those are refused as not run.

use std::rc;

use super::configuration::{
    CallerLimits, ConfigurationFault, RequestKind, RouteRule, ServiceConfiguration, ServiceRule,
};
use super::customer::CustomerRule;

/// The requests that an unreadable route applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch {
    /// The route's name.
    pub name: String,
    /// The host name in the requests of callers.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
}

/// The parts that were read so far and the faults of unreadable ones.
#[derive(Debug, Default)]
pub struct ConfigurationBuilder {
    routes: Vec<rc::Rc<RouteRule>>,
    services: Vec<ServiceRule>,
    customers: Option<Vec<rc::Rc<CustomerRule>>>,
    has_unread_customers: bool,
    faults: Vec<ConfigurationFault>,
}

impl ConfigurationBuilder {
    /// Returns the kind of a route's requests. `name` is the configured type and `known` its
    /// meaning, if the type is known. For an unknown type the requests run at most once, which is
    /// safe for any type.
    pub fn request_kind(
        &mut self,
        route: &str,
        name: &str,
        known: Option<RequestKind>,
    ) -> RequestKind {
        known.unwrap_or_else(|| {
            self.faults.push(ConfigurationFault::UnknownKind {
                route: route.to_owned(),
                kind: name.to_owned(),
            });
            RequestKind::Once
        })
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: RouteRule) {
        self.routes.push(rc::Rc::new(route));
    }

    /// Records an unreadable route. If `place` is known, a route without services takes its place,
    /// so that its requests are refused as not run instead of as unknown.
    pub fn add_unreadable_route(&mut self, place: Option<RouteMatch>, reason: String) {
        let name = place.as_ref().map(|place| place.name.clone());
        self.faults.push(ConfigurationFault::UnreadableRoute {
            route: name.unwrap_or_default(),
            reason,
        });
        if let Some(place) = place {
            self.add_route(RouteRule::without_service(place));
        }
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceRule) {
        self.services.push(service);
    }

    /// Records an unreadable service.
    pub fn add_unreadable_service(&mut self, reason: String) {
        self.faults
            .push(ConfigurationFault::UnreadableService { reason });
    }

    /// Makes requests require the key of a customer.
    pub fn require_customers(&mut self) {
        self.customers.get_or_insert_default();
    }

    /// Adds a customer.
    pub fn add_customer(&mut self, customer: CustomerRule) {
        let customers = self.customers.get_or_insert_default();
        customers.push(rc::Rc::new(customer));
    }

    /// Records an unreadable customer at this position in the list. The fault contains no reason,
    /// since the reason may quote a key.
    pub fn add_unreadable_customer(&mut self, place: usize) {
        self.require_customers();
        self.has_unread_customers = true;
        self.faults
            .push(ConfigurationFault::UnreadableCustomer { place });
    }

    /// Finishes the configuration.
    ///
    /// ```
    /// use ledgespool::entry::configuration::{CallerLimits, RequestKind};
    /// use ledgespool::entry::configuration_builder::ConfigurationBuilder;
    /// let mut builder = ConfigurationBuilder::default();
    /// assert_eq!(builder.request_kind("scan", "resumable", None), RequestKind::Once);
    /// let limits = CallerLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    /// let configuration = builder.into_configuration(7, limits);
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
