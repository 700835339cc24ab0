//! Compiles a topology for one worker: the places, classes, routes and shifts of each service.

use std::{collections, net};

use super::SteeringRole;
use super::unit::{AnswerEstimate, UnitCounter};
use crate::budget::PlaceKey;
use crate::declaration::SteeringPriority;
use crate::health::ServerHealth;
use crate::retry::RetryBudget;
use crate::slot_table::SlotIndex;
use crate::timer;
use crate::topology::{HallId, RegionId, ServerId, ServiceId, SteeringTopology};

#[derive(Debug, Clone)]
pub(super) struct PlaceChoice {
    pub(super) hall: HallId,
    pub(super) region: RegionId,
    pub(super) place: SlotIndex,
    pub(super) servers: Vec<ServerChoice>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct ServerChoice {
    /// Slots of the server that are assigned to this worker's units. They are used before slots of
    /// other workers are borrowed.
    pub(super) owned: u32,
    pub(super) slot: SlotIndex,
    pub(super) address: net::SocketAddr,
    pub(super) slots: u32,
}

#[derive(Debug, Clone)]
pub(super) struct ClassChoice {
    pub(super) name: String,
    pub(super) weight: u32,
    pub(super) deadline_ms: u64,
    pub(super) repeatable: bool,
    pub(super) estimate: SlotIndex,
}

#[derive(Debug, Clone)]
pub(super) struct ShiftChoice {
    pub(super) from: RegionId,
    pub(super) to: RegionId,
    pub(super) share: f64,
}

#[derive(Debug, Clone)]
pub(super) struct ServiceChoice {
    pub(super) id: ServiceId,
    pub(super) classes: Vec<ClassChoice>,
    pub(super) priority: SteeringPriority,
    pub(super) local: Vec<PlaceChoice>,
    pub(super) remote: Vec<PlaceChoice>,
    pub(super) routes: collections::HashMap<(RegionId, RegionId), SlotIndex>,
    pub(super) shifts: Vec<ShiftChoice>,
    pub(super) retry: SlotIndex,
}

impl SteeringRole {
    pub(super) fn compile_service(
        &mut self,
        topology: &SteeringTopology,
        id: ServiceId,
        own_hall: Option<HallId>,
        cold: bool,
        now: timer::Moment,
    ) -> ServiceChoice {
        let service = &topology.services[id.index()];
        let name = &service.entry.name;
        let mut places = Vec::new();
        for place in &service.places {
            let hall = &topology.halls[place.hall.index()];
            let key = PlaceKey::with_hall(name, &hall.name);
            places.push(PlaceChoice {
                hall: place.hall,
                region: hall.region,
                place: self.units.ensure(&key, UnitCounter::default),
                servers: place
                    .servers
                    .iter()
                    .map(|&server| self.server_choice(topology, server, cold, now))
                    .collect(),
            });
        }
        let own_region = self.own_region;
        let (mut local, mut remote): (Vec<_>, Vec<_>) = places
            .into_iter()
            .partition(|place| Some(place.region) == own_region);
        local.sort_by_key(|place| Some(place.hall) != own_hall);
        remote.sort_by_key(|place| {
            own_region.map_or(0, |own| topology.latency_ms(own, place.region))
        });
        let retry = self
            .retries
            .ensure(name, || RetryBudget::with_share(service.entry.retry_budget));
        if let Some(budget) = self.retries.get_mut(retry) {
            budget.set_share(service.entry.retry_budget);
        }
        ServiceChoice {
            id,
            classes: self.class_choices(topology, id),
            priority: service.entry.priority,
            local,
            remote,
            routes: self.route_slots(topology, name),
            shifts: shift_choices(topology, name),
            retry,
        }
    }

    fn server_choice(
        &mut self,
        topology: &SteeringTopology,
        server: ServerId,
        cold: bool,
        now: timer::Moment,
    ) -> ServerChoice {
        let server = &topology.servers[server.index()];
        let key = (server.name.clone(), server.address);
        let slot = self.servers.ensure(&key, || ServerHealth::new(now, cold));
        ServerChoice {
            owned: 0,
            slot,
            address: server.address,
            slots: server.slots,
        }
    }

    fn class_choices(&mut self, topology: &SteeringTopology, id: ServiceId) -> Vec<ClassChoice> {
        let entry = &topology.services[id.index()].entry;
        let mut classes = Vec::new();
        for class in &entry.classes {
            let key = (entry.name.clone(), class.name.clone());
            classes.push(ClassChoice {
                name: class.name.clone(),
                weight: class.weight,
                deadline_ms: class.deadline_ms,
                repeatable: class.repeatable,
                estimate: self.estimates.ensure(&key, || AnswerEstimate::INITIAL),
            });
        }
        classes
    }

    fn route_slots(
        &mut self,
        topology: &SteeringTopology,
        service: &str,
    ) -> collections::HashMap<(RegionId, RegionId), SlotIndex> {
        let mut routes = collections::HashMap::new();
        for link in &topology.declaration.links {
            for (from, to) in [(&link.from, &link.to), (&link.to, &link.from)] {
                let ends = (topology.region_id(from), topology.region_id(to));
                if let (Some(from_id), Some(to_id)) = ends {
                    let key = PlaceKey::with_route(service, from, to);
                    routes.insert(
                        (from_id, to_id),
                        self.units.ensure(&key, UnitCounter::default),
                    );
                }
            }
        }
        routes
    }
}

fn shift_choices(topology: &SteeringTopology, service: &str) -> Vec<ShiftChoice> {
    let shifts = topology
        .declaration
        .shifts
        .iter()
        .filter(|shift| shift.service == service);
    shifts
        .filter_map(|shift| {
            Some(ShiftChoice {
                from: topology.region_id(&shift.from)?,
                to: topology.region_id(&shift.to)?,
                share: shift.share,
            })
        })
        .collect()
}

/// Numbers a place's slots round robin over its servers and counts for each server the slots in
/// `offset..offset + units`, which are assigned to this worker. The ranges of all workers are
/// disjoint, so that workers of different hosts spread evenly over the servers without knowing of
/// each other's requests.
pub(super) fn assign_slots(servers: &mut [ServerChoice], offset: u32, units: u32) {
    let max_slots = servers.iter().map(|server| server.slots).max().unwrap_or(0);
    let own = offset..offset.saturating_add(units);
    for server in servers.iter_mut() {
        server.owned = 0;
    }
    let mut position = 0;
    for round in 0..max_slots {
        for server in servers.iter_mut().filter(|server| server.slots > round) {
            server.owned += u32::from(own.contains(&position));
            position += 1;
        }
    }
}
