//! Computes the next plan from the committed one and the reports of hosts, without side effects
//! outside its arguments.

use std::collections;

use super::{LeaderState, LoadEntry, MOVE_DIVISOR, PlannerView, StoredReport};
use crate::timer;
use crate::{allocation, budget, member, plan, ramp, report, roster, topology};

/// Computes the next plan.
pub(super) fn draft_plan(
    me: &member::HostIdentity,
    leader: &mut LeaderState,
    reports: &collections::HashMap<String, StoredReport>,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: &mut collections::HashMap<budget::PlaceKey, (u64, u64)>,
    view: &PlannerView<'_>,
    now: timer::Moment,
) -> plan::SteeringPlan {
    let mut draft = leader.committed.clone();
    draft.sequence = draft.sequence.saturating_add(1);
    draft.holder = me.clone();
    draft.generation = view.topology.generation;
    acknowledge_reports(&mut draft, reports);
    update_hosts(&mut draft, reports, view.roster);
    let limits = place_limits(leader, loads, evidence, view, now);
    set_limits(&mut draft, &limits);
    for budget in &mut draft.budgets {
        rebalance(budget, reports, loads, view.topology, draft.sequence);
    }
    draft
        .budgets
        .retain(|budget| budget.limit > 0 || budget.held_units() > 0);
    draft
}

fn acknowledge_reports(
    draft: &mut plan::SteeringPlan,
    reports: &collections::HashMap<String, StoredReport>,
) {
    for stored in reports.values() {
        let report = &stored.report;
        for budget in &mut draft.budgets {
            let usage = report.usage.iter().find(|usage| usage.key == budget.key);
            let in_use = usage.map_or(0, |usage| usage.in_use);
            budget.acknowledge(&report.identity, report.installed, in_use);
        }
    }
}

/// Adds reporting hosts, records which hosts are listed, and releases the units of removed hosts.
fn update_hosts(
    draft: &mut plan::SteeringPlan,
    reports: &collections::HashMap<String, StoredReport>,
    roster: &roster::HostRoster,
) {
    for stored in reports.values() {
        let report = &stored.report;
        if !draft
            .hosts
            .iter()
            .any(|host| host.identity == report.identity)
        {
            draft.hosts.push(plan::PlanHost {
                identity: report.identity.clone(),
                control_address: report.control_address,
                hall: report.hall.clone(),
                listed_at: 0,
            });
        }
    }
    draft
        .hosts
        .sort_by(|left, right| left.identity.cmp(&right.identity));
    let mut removed = Vec::new();
    let known = draft.hosts.clone();
    for host in &mut draft.hosts {
        if is_superseded(host, &known) || (roster.is_removed(host) && !is_reporting(host, reports))
        {
            removed.push(host.identity.clone());
        } else if host.listed_at == 0 {
            host.listed_at = roster.listed_version(host).unwrap_or(0);
        }
    }
    draft.hosts.retain(|host| !removed.contains(&host.identity));
    for identity in &removed {
        for budget in &mut draft.budgets {
            budget.release(identity);
        }
    }
}

fn is_reporting(
    host: &plan::PlanHost,
    reports: &collections::HashMap<String, StoredReport>,
) -> bool {
    reports
        .get(&host.identity.name)
        .is_some_and(|stored| stored.report.identity == host.identity)
}

/// Whether a later run of the host listens on the same address, which proves that this one has
/// ended.
fn is_superseded(host: &plan::PlanHost, known: &[plan::PlanHost]) -> bool {
    known.iter().any(|other| {
        other.identity.name == host.identity.name
            && other.identity.incarnation > host.identity.incarnation
            && other.control_address == host.control_address
    })
}

struct PlaceLimit {
    key: budget::PlaceKey,
    units: u32,
}

fn place_limits(
    leader: &mut LeaderState,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: &mut collections::HashMap<budget::PlaceKey, (u64, u64)>,
    view: &PlannerView<'_>,
    now: timer::Moment,
) -> Vec<PlaceLimit> {
    let mut limits = Vec::new();
    for service in &view.topology.services {
        for place in &service.places {
            let Some(hall) = view.topology.halls.get(place.hall.index()) else {
                continue;
            };
            let key = budget::PlaceKey::with_hall(&service.entry.name, &hall.name);
            limits.push(PlaceLimit {
                key,
                units: place.slots,
            });
        }
        route_limits(leader, service, loads, evidence, view, now, &mut limits);
    }
    limits
}

fn route_limits(
    leader: &mut LeaderState,
    service: &topology::ServiceTopology,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: &mut collections::HashMap<budget::PlaceKey, (u64, u64)>,
    view: &PlannerView<'_>,
    now: timer::Moment,
    limits: &mut Vec<PlaceLimit>,
) {
    let rule = service.entry.shift;
    for link in &view.topology.declaration.links {
        for (from, to) in [(&link.from, &link.to), (&link.to, &link.from)] {
            let key = budget::PlaceKey::with_route(&service.entry.name, from, to);
            let ramp_evidence = collect_evidence(&key, service, to, loads, evidence, view.topology);
            let start = ramp::RouteRamp::initial_allowance(&rule);
            let ramps = &mut leader.ramps;
            let ramp = ramps
                .entry(key.clone())
                .or_insert_with(|| ramp::RouteRamp::with_allowance(start, now));
            if ramp.step(&rule, &ramp_evidence, now) {
                clear_evidence(service, to, evidence, view.topology);
            }
            limits.push(PlaceLimit {
                key,
                units: ramp.allowance,
            });
        }
    }
}

fn collect_evidence(
    key: &budget::PlaceKey,
    service: &topology::ServiceTopology,
    to: &str,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: &collections::HashMap<budget::PlaceKey, (u64, u64)>,
    topology: &topology::SteeringTopology,
) -> ramp::RampEvidence {
    let of_place = loads.iter().filter(|((_, place), _)| place == key);
    let milli = budget::saturating_sum(of_place.map(|(_, load)| load.milli));
    let demand = milli.div_ceil(1_000);
    let mut ramp_evidence = ramp::RampEvidence {
        demand,
        ..ramp::RampEvidence::default()
    };
    for hall in receiving_halls(service, to, topology) {
        if let Some(&(completed, refused)) = evidence.get(&hall) {
            ramp_evidence.completed = ramp_evidence.completed.saturating_add(completed);
            ramp_evidence.refused = ramp_evidence.refused.saturating_add(refused);
        }
    }
    ramp_evidence
}

fn clear_evidence(
    service: &topology::ServiceTopology,
    to: &str,
    evidence: &mut collections::HashMap<budget::PlaceKey, (u64, u64)>,
    topology: &topology::SteeringTopology,
) {
    for hall in receiving_halls(service, to, topology) {
        evidence.remove(&hall);
    }
}

fn receiving_halls(
    service: &topology::ServiceTopology,
    to: &str,
    topology: &topology::SteeringTopology,
) -> Vec<budget::PlaceKey> {
    let halls = topology.halls.iter().filter(|hall| {
        topology
            .regions
            .get(hall.region.index())
            .is_some_and(|name| name == to)
    });
    halls
        .map(|hall| budget::PlaceKey::with_hall(&service.entry.name, &hall.name))
        .collect()
}

fn set_limits(draft: &mut plan::SteeringPlan, limits: &[PlaceLimit]) {
    for budget in &mut draft.budgets {
        budget.limit = 0;
    }
    for limit in limits {
        match draft
            .budgets
            .iter_mut()
            .find(|budget| budget.key == limit.key)
        {
            Some(budget) => budget.limit = limit.units,
            None => draft.budgets.push(budget::PlaceBudget::with_limit(
                limit.key.clone(),
                limit.units,
            )),
        }
    }
}

/// Adjusts the grants of a place: lowers first, then raises from the free units.
fn rebalance(
    budget: &mut budget::PlaceBudget,
    reports: &collections::HashMap<String, StoredReport>,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    topology: &topology::SteeringTopology,
    sequence: u64,
) {
    let mut hosts: Vec<&report::HostReport> = reports
        .values()
        .map(|stored| &stored.report)
        .filter(|report| !report.leaving)
        .collect();
    hosts.sort_by(|left, right| left.identity.cmp(&right.identity));
    let claimants: Vec<allocation::UnitClaimant> = hosts
        .iter()
        .map(|host| allocation::UnitClaimant {
            load_milli: loads
                .get(&(host.identity.name.clone(), budget.key.clone()))
                .map_or(0, |load| load.milli),
            is_local: is_local(&budget.key, &host.hall, topology),
        })
        .collect();
    let reserved = inactive_units(budget, &hosts);
    let targets = allocation::split_units(budget.limit.saturating_sub(reserved), &claimants);
    lower_leaving(budget, reports, sequence);
    if !is_rebalance_due(budget, &hosts, &targets) {
        return;
    }
    for (host, &target) in hosts.iter().zip(&targets) {
        budget.lower(&host.identity, target, sequence);
    }
    for (host, &target) in hosts.iter().zip(&targets) {
        budget.raise(&host.identity, target);
    }
}

/// Units held by hosts that don't participate: silent or leaving ones, and earlier runs.
fn inactive_units(place: &budget::PlaceBudget, hosts: &[&report::HostReport]) -> u32 {
    let participates =
        |identity: &member::HostIdentity| hosts.iter().any(|host| host.identity == *identity);
    let others = place
        .entries
        .iter()
        .filter(|entry| !participates(&entry.host));
    budget::saturating_sum(others.map(|entry| entry.held))
}

/// Lowers the grants of leaving hosts that still report to zero.
fn lower_leaving(
    budget: &mut budget::PlaceBudget,
    reports: &collections::HashMap<String, StoredReport>,
    sequence: u64,
) {
    for stored in reports.values().filter(|stored| stored.report.leaving) {
        budget.lower(&stored.report.identity, 0, sequence);
    }
}

/// Whether to move units: only if a host has too few, units are free or the limit was lowered.
fn is_rebalance_due(
    budget: &budget::PlaceBudget,
    hosts: &[&report::HostReport],
    targets: &[u32],
) -> bool {
    let granted = budget.granted_units();
    if granted > budget.limit || budget.free_units() > 0 {
        return true;
    }
    hosts.iter().zip(targets).any(|(host, &target)| {
        let grant = budget.grant_of(&host.identity);
        target > grant + (grant / MOVE_DIVISOR)
    })
}

/// Whether a host is in the region of a hall, or in a region at either end of a route.
fn is_local(key: &budget::PlaceKey, hall: &str, topology: &topology::SteeringTopology) -> bool {
    let region_name = |hall: &str| {
        let region = topology
            .hall_id(hall)
            .and_then(|hall| topology.region_of(hall))?;
        topology.regions.get(region.index())
    };
    let Some(own) = region_name(hall) else {
        return false;
    };
    match key {
        budget::PlaceKey::Hall { hall, .. } => region_name(hall) == Some(own),
        budget::PlaceKey::Route { from, to, .. } => own == from || own == to,
    }
}
