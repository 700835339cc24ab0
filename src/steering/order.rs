//! Ranks the places that may serve a request.

use super::compile::{PlaceChoice, ServiceChoice};
use super::unit::UnitCounter;
use crate::budget::PlaceKey;
use crate::declaration::SteeringPriority;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::topology::RegionId;

/// A place that may serve a request, with the route of which it needs a unit.
#[derive(Debug, Clone, Copy)]
pub(super) struct OrderedPlace<'c> {
    pub(super) place: &'c PlaceChoice,
    pub(super) route: Option<SlotIndex>,
}

/// The places that may serve a request, best first: the target region of a shift, then the own
/// region, then the others by latency. A request that leaves its home region needs a unit of the
/// route.
pub(super) fn place_order<'c>(
    service: &'c ServiceChoice,
    block_hash: u64,
    home: Option<RegionId>,
    own: Option<RegionId>,
    units: &SlotTable<PlaceKey, UnitCounter>,
) -> Vec<OrderedPlace<'c>> {
    let mut order = Vec::with_capacity(service.near.len() + service.far.len());
    for place in service.near.iter().chain(&service.far) {
        if let Some(ordered) = ordered_place(service, place, home, own) {
            order.push(ordered);
        }
    }
    if service.priority == SteeringPriority::Headroom {
        let load = |ordered: &OrderedPlace<'_>| {
            units.get(ordered.place.place).map_or(1.0, |counter| {
                f64::from(counter.in_use) / f64::from(counter.grant.max(1))
            })
        };
        order.sort_by(|left, right| {
            let far = |ordered: &OrderedPlace<'_>| Some(ordered.place.region) != own;
            far(left)
                .cmp(&far(right))
                .then(load(left).total_cmp(&load(right)))
        });
    }
    if let Some(to) = shifted_region(service, block_hash, home) {
        order.sort_by_key(|ordered| ordered.place.region != to);
    }
    order
}

fn ordered_place<'c>(
    service: &ServiceChoice,
    place: &'c PlaceChoice,
    home: Option<RegionId>,
    own: Option<RegionId>,
) -> Option<OrderedPlace<'c>> {
    let (home, own) = (home?, own?);
    if place.region == home && home == own {
        return Some(OrderedPlace { place, route: None });
    }
    let ends = if place.region == home {
        (own, place.region)
    } else if place.region == own || home == own {
        (home, place.region)
    } else {
        return None;
    };
    let route = service.routes.get(&ends).copied()?;
    Some(OrderedPlace {
        place,
        route: Some(route),
    })
}

fn shifted_region(
    service: &ServiceChoice,
    block_hash: u64,
    home: Option<RegionId>,
) -> Option<RegionId> {
    let position = (block_hash >> 11) as f64 / (1_u64 << 53) as f64;
    let shift = service
        .shifts
        .iter()
        .find(|shift| Some(shift.from) == home)?;
    (position < shift.share).then_some(shift.to)
}
