//! Classifies the routes of each service by priority and goal.

use std::collections;

/// A route is patient if its goal is at least this multiple of the goal of a more urgent route of
/// the same service. Up to this factor, the time that a request would spend waiting for the other
/// route's requests is a large part of its own goal.
const PATIENT_GOAL_FACTOR: u64 = 4;

/// How urgent a route's requests are among all requests of the same service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// The route has the highest priority of its service.
    Urgent,
    /// The route is neither urgent nor patient.
    Regular,
    /// The route's goal is several times that of a more urgent route.
    Patient,
}

impl UrgencyClass {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Regular, Self::Patient];

    /// The label in logs and metrics.
    ///
    /// ```
    /// use ledgespool::urgency::classes::UrgencyClass;
    /// assert_eq!(UrgencyClass::Patient.as_str(), "patient");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Regular => "regular",
            Self::Patient => "patient",
        }
    }
}

/// Priority and goal of a route at one of its services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteUrgency<'a> {
    /// The service that gets requests of the route.
    pub service: &'a str,
    /// The route's name.
    pub route: &'a str,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// Time after which an answer is late, in milliseconds; 0 if the route has no goal.
    pub goal_ms: u64,
}

impl RouteUrgency<'_> {
    fn class_among(&self, others: &[RouteUrgency<'_>]) -> UrgencyClass {
        let mut more_urgent = others
            .iter()
            .filter(|other| other.priority < self.priority)
            .peekable();
        if more_urgent.peek().is_none() {
            return UrgencyClass::Urgent;
        }
        let is_patient = more_urgent.any(|other| {
            other.goal_ms > 0 && self.goal_ms >= other.goal_ms.saturating_mul(PATIENT_GOAL_FACTOR)
        });
        if is_patient {
            UrgencyClass::Patient
        } else {
            UrgencyClass::Regular
        }
    }
}

/// The classes of all routes at services whose routes differ in priority.
///
/// ```
/// use ledgespool::urgency::classes::{RouteUrgency, UrgencyClass, UrgencyTable};
/// let bundles = RouteUrgency { service: "archive", route: "bundles", priority: 0, goal_ms: 800 };
/// let codes = RouteUrgency { route: "codes", priority: 2, goal_ms: 8_000, ..bundles };
/// let table = UrgencyTable::from_routes(&[bundles, codes]);
/// assert_eq!(table.class_of("archive", "bundles"), Some(UrgencyClass::Urgent));
/// assert_eq!(table.class_of("archive", "codes"), Some(UrgencyClass::Patient));
/// assert_eq!(table.class_of("ledger", "bundles"), None);
/// ```
#[derive(Debug, Default)]
pub struct UrgencyTable {
    services: collections::BTreeMap<String, collections::BTreeMap<String, UrgencyClass>>,
}

impl UrgencyTable {
    /// Classifies `routes`; a route of several services is in the list once for each.
    #[must_use]
    pub fn from_routes(routes: &[RouteUrgency<'_>]) -> Self {
        let mut by_service: collections::BTreeMap<&str, Vec<RouteUrgency<'_>>> =
            collections::BTreeMap::new();
        for route in routes {
            by_service.entry(route.service).or_default().push(*route);
        }
        let services = by_service
            .into_iter()
            .filter(|(_, routes)| differ_in_priority(routes))
            .map(|(service, routes)| {
                let classes = routes
                    .iter()
                    .map(|route| (route.route.to_owned(), route.class_among(&routes)));
                (service.to_owned(), classes.collect())
            });
        Self {
            services: services.collect(),
        }
    }

    /// The class of a route at a service; `None` if all routes of the service have the same
    /// priority.
    #[must_use]
    pub fn class_of(&self, service: &str, route: &str) -> Option<UrgencyClass> {
        self.services.get(service)?.get(route).copied()
    }

    /// Services and routes of one class.
    pub fn routes_of(&self, class: UrgencyClass) -> impl Iterator<Item = (&str, &str)> {
        self.services.iter().flat_map(move |(service, routes)| {
            let routes = routes.iter().filter(move |(_, other)| **other == class);
            routes.map(move |(route, _)| (service.as_str(), route.as_str()))
        })
    }
}

fn differ_in_priority(routes: &[RouteUrgency<'_>]) -> bool {
    routes
        .windows(2)
        .any(|pair| pair[0].priority != pair[1].priority)
}
