//! Ranks the places that may serve a request.

use super::compile::{PlaceChoice, ServiceChoice};
use super::unit::UnitCounter;
use crate::budget::PlaceKey;
use crate::declaration::SteeringPriority;
use crate::slot_table::{SlotIndex, SlotTable};
use crate::topology::RegionId;

/// A place that may serve a request, with the route of which it needs a unit.
#[derive(Debug, Clone, Copy)]
pub(super) struct RankedPlace<'c> {
    pub(super) place: &'c PlaceChoice,
    pub(super) route: Option<SlotIndex>,
}

/// The places that may serve a request, best first: the target region of a shift, then the own
/// region, then the others by latency. A request that leaves its home region needs a unit of the
/// route.
pub(super) fn rank_places<'c>(
    service: &'c ServiceChoice,
    block_hash: u64,
    home: Option<RegionId>,
    own: Option<RegionId>,
    units: &SlotTable<PlaceKey, UnitCounter>,
) -> Vec<RankedPlace<'c>> {
    let mut ranking = Vec::with_capacity(service.local.len() + service.remote.len());
    for place in service.local.iter().chain(&service.remote) {
        if let Some(ranked) = ranked_place(service, place, home, own) {
            ranking.push(ranked);
        }
    }
    if service.priority == SteeringPriority::Headroom {
        let load = |ranked: &RankedPlace<'_>| {
            units.get(ranked.place.place).map_or(1.0, |counter| {
                f64::from(counter.in_use) / f64::from(counter.grant.max(1))
            })
        };
        ranking.sort_by(|left, right| {
            let remote = |ranked: &RankedPlace<'_>| Some(ranked.place.region) != own;
            remote(left)
                .cmp(&remote(right))
                .then(load(left).total_cmp(&load(right)))
        });
    }
    if let Some(to) = shifted_region(service, block_hash, home) {
        ranking.sort_by_key(|ranked| ranked.place.region != to);
    }
    ranking
}

fn ranked_place<'c>(
    service: &ServiceChoice,
    place: &'c PlaceChoice,
    home: Option<RegionId>,
    own: Option<RegionId>,
) -> Option<RankedPlace<'c>> {
    let (home, own) = (home?, own?);
    if place.region == home && home == own {
        return Some(RankedPlace { place, route: None });
    }
    let ends = if place.region == home {
        (own, place.region)
    } else if place.region == own || home == own {
        (home, place.region)
    } else {
        return None;
    };
    let route = service.routes.get(&ends).copied()?;
    Some(RankedPlace {
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
