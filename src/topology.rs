//! A declaration compiled for fast access: names are replaced by indexes, and each place lists its
//! servers.

use std::{collections, net, sync};

use crate::declaration;

macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        pub struct $name(pub u16);

        impl $name {
            /// The position in the topology's list.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index_type!(
    /// Index of a service.
    ServiceId
);
index_type!(
    /// Index of a region.
    RegionId
);
index_type!(
    /// Index of a hall.
    HallId
);
index_type!(
    /// Index of a backend server.
    ServerId
);

/// A compiled hall.
#[derive(Debug, Clone)]
pub struct HallTopology {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: RegionId,
    /// The largest number of concurrent requests.
    pub capacity: u32,
}

/// A compiled backend server.
#[derive(Debug, Clone)]
pub struct ServerTopology {
    /// Its name.
    pub name: String,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its hall.
    pub hall: HallId,
    /// The address on which it listens.
    pub address: net::SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// Whether it may get new requests.
    pub serving: bool,
}

/// One service's servers in one hall.
#[derive(Debug, Clone)]
pub struct ServicePlace {
    /// The hall.
    pub hall: HallId,
    /// The servers of this service in the hall that may get new requests.
    pub servers: Vec<ServerId>,
    /// The sum of their slots.
    pub slots: u32,
}

/// A compiled service.
#[derive(Debug, Clone)]
pub struct ServiceTopology {
    /// The declared entry.
    pub entry: declaration::ServiceEntry,
    /// Its places, ordered by hall.
    pub places: Vec<ServicePlace>,
}

/// A compiled declaration.
#[derive(Debug, Clone)]
pub struct SteeringTopology {
    /// The generation of the declaration.
    pub generation: u64,
    /// The declaration itself.
    pub declaration: sync::Arc<declaration::SteeringDeclaration>,
    /// Services by [`ServiceId`].
    pub services: Vec<ServiceTopology>,
    /// Region names by [`RegionId`].
    pub regions: Vec<String>,
    /// Halls by [`HallId`].
    pub halls: Vec<HallTopology>,
    /// Backend servers by [`ServerId`].
    pub servers: Vec<ServerTopology>,
    latency_ms: Vec<u64>,
    service_ids: collections::HashMap<String, ServiceId>,
}

const UNKNOWN_LATENCY_MS: u64 = 10_000;

fn to_index(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}

impl SteeringTopology {
    /// Compiles a checked declaration.
    ///
    /// ```
    /// use std::sync;
    /// use ledgespool::{declaration, topology};
    /// let declaration = sync::Arc::new(declaration::SteeringDeclaration::default());
    /// let topology = topology::SteeringTopology::from_declaration(1, &declaration);
    /// assert!(topology.services.is_empty());
    /// ```
    #[must_use]
    pub fn from_declaration(
        generation: u64,
        declaration: &sync::Arc<declaration::SteeringDeclaration>,
    ) -> Self {
        let regions: Vec<String> = declaration
            .regions
            .iter()
            .map(|region| region.name.clone())
            .collect();
        let halls = compile_halls(declaration, &regions);
        let servers = compile_servers(declaration, &halls);
        let services = compile_services(declaration, &halls, &servers);
        let service_ids = services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.entry.name.clone(), ServiceId(to_index(index))))
            .collect();
        Self {
            generation,
            declaration: sync::Arc::clone(declaration),
            latency_ms: compile_latency(declaration, &regions),
            services,
            regions,
            halls,
            servers,
            service_ids,
        }
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.service_ids.get(name).copied()
    }

    /// Finds a hall by name.
    #[must_use]
    pub fn hall_id(&self, name: &str) -> Option<HallId> {
        self.halls
            .iter()
            .position(|hall| hall.name == name)
            .map(|index| HallId(to_index(index)))
    }

    /// Finds a region by name.
    #[must_use]
    pub fn region_id(&self, name: &str) -> Option<RegionId> {
        self.regions
            .iter()
            .position(|region| region == name)
            .map(|index| RegionId(to_index(index)))
    }

    /// The region of a hall.
    #[must_use]
    pub fn region_of(&self, hall: HallId) -> Option<RegionId> {
        self.halls.get(hall.index()).map(|hall| hall.region)
    }

    /// One-way latency between two regions, in milliseconds; 0 within one.
    #[must_use]
    pub fn latency_ms(&self, from: RegionId, to: RegionId) -> u64 {
        let position = from.index() * self.regions.len() + to.index();
        self.latency_ms
            .get(position)
            .copied()
            .unwrap_or(UNKNOWN_LATENCY_MS)
    }

    /// Regions ordered by latency from one of them, itself first.
    #[must_use]
    pub fn regions_from(&self, region: RegionId) -> Vec<RegionId> {
        let mut order: Vec<RegionId> = (0..self.regions.len())
            .map(|index| RegionId(to_index(index)))
            .collect();
        order.sort_by_key(|&other| (self.latency_ms(region, other), other));
        order
    }
}

fn compile_halls(
    declaration: &declaration::SteeringDeclaration,
    regions: &[String],
) -> Vec<HallTopology> {
    let region_of = |name: &str| {
        regions
            .iter()
            .position(|region| region == name)
            .unwrap_or_default()
    };
    declaration
        .halls
        .iter()
        .map(|hall| HallTopology {
            name: hall.name.clone(),
            region: RegionId(to_index(region_of(&hall.region))),
            capacity: hall.capacity,
        })
        .collect()
}

fn compile_servers(
    declaration: &declaration::SteeringDeclaration,
    halls: &[HallTopology],
) -> Vec<ServerTopology> {
    let services: collections::HashMap<&str, usize> = declaration
        .services
        .iter()
        .enumerate()
        .map(|(index, service)| (service.name.as_str(), index))
        .collect();
    let halls: collections::HashMap<&str, usize> = halls
        .iter()
        .enumerate()
        .map(|(index, hall)| (hall.name.as_str(), index))
        .collect();
    declaration
        .servers
        .iter()
        .map(|server| ServerTopology {
            name: server.name.clone(),
            service: ServiceId(to_index(
                services
                    .get(server.service.as_str())
                    .copied()
                    .unwrap_or_default(),
            )),
            hall: HallId(to_index(
                halls.get(server.hall.as_str()).copied().unwrap_or_default(),
            )),
            address: server.address,
            slots: server.slots,
            connections: server.connections,
            serving: declaration.is_serving(server),
        })
        .collect()
}

fn compile_services(
    declaration: &declaration::SteeringDeclaration,
    halls: &[HallTopology],
    servers: &[ServerTopology],
) -> Vec<ServiceTopology> {
    let mut services: Vec<ServiceTopology> = declaration
        .services
        .iter()
        .map(|entry| ServiceTopology {
            entry: entry.clone(),
            places: Vec::new(),
        })
        .collect();
    for hall in 0..halls.len() {
        for (index, service) in services.iter_mut().enumerate() {
            let service_id = ServiceId(to_index(index));
            let place = compile_place(service_id, HallId(to_index(hall)), servers);
            if !place.servers.is_empty() {
                service.places.push(place);
            }
        }
    }
    services
}

fn compile_place(service: ServiceId, hall: HallId, servers: &[ServerTopology]) -> ServicePlace {
    let members = servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server.service == service && server.hall == hall && server.serving);
    let (ids, slots): (Vec<ServerId>, Vec<u32>) = members
        .map(|(index, server)| (ServerId(to_index(index)), server.slots))
        .unzip();
    ServicePlace {
        hall,
        servers: ids,
        slots: slots.iter().sum(),
    }
}

fn compile_latency(declaration: &declaration::SteeringDeclaration, regions: &[String]) -> Vec<u64> {
    let count = regions.len();
    let mut latency = vec![UNKNOWN_LATENCY_MS; count * count];
    for index in 0..count {
        latency[index * count + index] = 0;
    }
    for link in &declaration.links {
        let from = regions.iter().position(|region| *region == link.from);
        let to = regions.iter().position(|region| *region == link.to);
        if let (Some(from), Some(to)) = (from, to) {
            latency[from * count + to] = link.latency_ms;
            latency[to * count + from] = link.latency_ms;
        }
    }
    latency
}
