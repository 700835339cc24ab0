//! The planner role: one entry host at a time splits the budgets.
//!
//! Who plans is decided by the plan object itself: every write is conditional on its version and
//! raises its sequence, which serves as the heartbeat of the lease. A planner that wakes late
//! fails its next write and steps down. Grants are published only after the write that made them
//! is known to have taken effect.
//!
//! Memory: one budget for each place with one entry for each host that holds units, and one report
//! for each host heard in the last [`REPORT_LIFE_MS`].

use std::collections;

use crate::{
    allocation, budget, member, plan, platform_call, ramp, report, roster, timer, topology,
};

/// A follower takes over when the sequence has stood still for this long.
pub const LEASE_MS: u64 = 4_000;
/// Each further candidate in the order waits this much longer.
const CANDIDATE_STEP_MS: u64 = 1_000;
/// The planner writes at least this often, which renews its lease.
const RENEW_MS: u64 = 1_000;
/// Time between two looks at loads.
const REBALANCE_MS: u64 = 500;
/// A host whose last report is older takes part in no new grants.
pub const REPORT_LIFE_MS: u64 = 3_000;
/// How long a load counts after it was reported.
const LOAD_LIFE_MS: u64 = 5_000;
/// Units move when a host's target lies above its grant by this part of it, and by one at least.
const MOVE_DIVISOR: u32 = 8;
/// One part in so many of a load's average is replaced by each report: about four seconds.
const AVERAGE_DIVISOR: u64 = 8;

/// What the planner knows of the world at a tick.
#[derive(Debug)]
pub struct PlannerView<'v> {
    /// The configuration in force here.
    pub topology: &'v topology::SteeringTopology,
    /// The platform's host list.
    pub roster: &'v roster::HostRoster,
    /// This host's place in the order of candidates, 0 first; `None` when it may not plan.
    pub rank: Option<u64>,
}

/// A call that the role wants made to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Read the plan object.
    Read,
    /// Write the plan object if its version is the expected one.
    Write {
        /// The new content.
        bytes: Vec<u8>,
        /// The version to replace; `None` when there must be no object.
        expected: Option<u64>,
    },
}

#[derive(Debug)]
struct StoredReport {
    report: report::HostReport,
    heard: timer::Moment,
}

#[derive(Debug, Clone, Copy)]
struct LoadEntry {
    milli: u32,
    heard: timer::Moment,
}

#[derive(Debug)]
struct LeaderState {
    committed: plan::SteeringPlan,
    version: u64,
    last_write: timer::Moment,
    last_rebalance: timer::Moment,
    ramps: collections::HashMap<budget::PlaceKey, ramp::RouteRamp>,
}

#[derive(Debug)]
enum PlannerState {
    Follower,
    Reading,
    Writing {
        draft: Box<plan::SteeringPlan>,
        leader: Option<Box<LeaderState>>,
    },
    /// A write's answer was lost; the object is being read back.
    Checking {
        draft: Box<plan::SteeringPlan>,
        leader: Option<Box<LeaderState>>,
    },
    Leader(Box<LeaderState>),
}

/// The planner role of one host.
#[derive(Debug)]
pub struct PlannerRole {
    me: member::HostIdentity,
    state: PlannerState,
    seen_sequence: u64,
    seen_holder: Option<member::HostIdentity>,
    seen_at: timer::Moment,
    retry_at: timer::Moment,
    reports: collections::HashMap<String, StoredReport>,
    loads: collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: collections::HashMap<budget::PlaceKey, (u64, u64)>,
}

impl PlannerRole {
    /// A follower that has seen nothing yet.
    #[must_use]
    pub fn new(me: member::HostIdentity, now: timer::Moment) -> Self {
        Self {
            me,
            state: PlannerState::Follower,
            seen_sequence: 0,
            seen_holder: None,
            seen_at: now,
            retry_at: now,
            reports: collections::HashMap::new(),
            loads: collections::HashMap::new(),
            evidence: collections::HashMap::new(),
        }
    }

    /// The planner as far as this host knows.
    #[must_use]
    pub const fn holder(&self) -> Option<&member::HostIdentity> {
        self.seen_holder.as_ref()
    }

    /// The newest plan sequence known.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.seen_sequence
    }

    /// Whether this host plans.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.committed().is_some()
    }

    /// The plan last known to be stored, on the planner only.
    #[must_use]
    pub const fn committed(&self) -> Option<&plan::SteeringPlan> {
        match &self.state {
            PlannerState::Leader(leader)
            | PlannerState::Writing {
                leader: Some(leader),
                ..
            }
            | PlannerState::Checking {
                leader: Some(leader),
                ..
            } => Some(&leader.committed),
            _ => None,
        }
    }

    /// Learns from anywhere that `holder` wrote plan `sequence`.
    pub fn observe(&mut self, sequence: u64, holder: &member::HostIdentity, now: timer::Moment) {
        if sequence > self.seen_sequence {
            self.seen_sequence = sequence;
            self.seen_holder = Some(holder.clone());
            self.seen_at = now;
        }
    }

    /// Takes a host's report; the planner answers with the host's grants.
    pub fn on_report(
        &mut self,
        report: report::HostReport,
        now: timer::Moment,
    ) -> Option<plan::HostGrants> {
        let grants = self.committed()?.grants_of(&report.identity);
        let name = report.identity.name.clone();
        let newest = self
            .reports
            .get(&name)
            .is_none_or(|stored| stored.report.identity.incarnation <= report.identity.incarnation);
        if !newest {
            return Some(grants);
        }
        for usage in &report.usage {
            self.note_usage(&name, usage, now);
        }
        self.reports
            .insert(name, StoredReport { report, heard: now });
        Some(grants)
    }

    fn note_usage(&mut self, host: &str, usage: &report::PlaceUsage, now: timer::Moment) {
        let counts = self.evidence.entry(usage.key.clone()).or_default();
        counts.0 += u64::from(usage.completed);
        counts.1 += u64::from(usage.refused);
        let entry = self.loads.entry((host.to_owned(), usage.key.clone()));
        let load = entry.or_insert(LoadEntry {
            milli: usage.load_milli,
            heard: now,
        });
        load.milli = averaged(load.milli, usage.load_milli);
        load.heard = now;
    }

    /// Lets time pass.
    pub fn tick(&mut self, view: &PlannerView<'_>, now: timer::Moment) -> Option<PlannerAction> {
        self.forget_old(now);
        if let PlannerState::Leader(_) = self.state {
            return self.tick_leader(view, now);
        }
        if let PlannerState::Follower = self.state {
            return self.tick_follower(view, now);
        }
        None
    }

    fn forget_old(&mut self, now: timer::Moment) {
        self.reports
            .retain(|_, stored| now.since(stored.heard) <= REPORT_LIFE_MS);
        self.loads
            .retain(|_, load| now.since(load.heard) <= LOAD_LIFE_MS);
    }

    fn tick_follower(
        &mut self,
        view: &PlannerView<'_>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        let patience = LEASE_MS + view.rank? * CANDIDATE_STEP_MS;
        let fresh = self.seen_sequence > 0 && now.since(self.seen_at) < patience;
        if fresh || now < self.retry_at {
            return None;
        }
        self.state = PlannerState::Reading;
        Some(PlannerAction::Read)
    }

    fn tick_leader(&mut self, view: &PlannerView<'_>, now: timer::Moment) -> Option<PlannerAction> {
        let PlannerState::Leader(leader) = &mut self.state else {
            return None;
        };
        if view.rank.is_none() && now.since(leader.last_write) >= RENEW_MS {
            self.state = PlannerState::Follower;
            self.retry_at = now.plus(LEASE_MS);
            return None;
        }
        if now.since(leader.last_rebalance) < REBALANCE_MS {
            return None;
        }
        leader.last_rebalance = now;
        let draft = draft_plan(
            &self.me,
            leader,
            &self.reports,
            &self.loads,
            &mut self.evidence,
            view,
            now,
        );
        let changed = draft.budgets != leader.committed.budgets
            || draft.hosts != leader.committed.hosts
            || draft.generation != leader.committed.generation;
        if !changed && now.since(leader.last_write) < RENEW_MS {
            return None;
        }
        let Ok(bytes) = draft.to_bytes() else {
            return None;
        };
        leader.last_write = now;
        let expected = Some(leader.version);
        let PlannerState::Leader(leader) =
            std::mem::replace(&mut self.state, PlannerState::Follower)
        else {
            return None;
        };
        self.state = PlannerState::Writing {
            draft: Box::new(draft),
            leader: Some(leader),
        };
        Some(PlannerAction::Write { bytes, expected })
    }

    /// The plan object was read, after a read that this role asked for.
    pub fn on_read(
        &mut self,
        result: &platform_call::ReadResult,
        view: &PlannerView<'_>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        match std::mem::replace(&mut self.state, PlannerState::Follower) {
            PlannerState::Reading => self.take_over(result, view, now),
            PlannerState::Checking { draft, leader } => {
                self.check_write(result, draft, leader, now)
            }
            other => {
                self.state = other;
                None
            }
        }
    }

    fn take_over(
        &mut self,
        result: &platform_call::ReadResult,
        view: &PlannerView<'_>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        self.retry_at = now.plus(RENEW_MS);
        let (before, expected) = match result {
            platform_call::ReadResult::Found { bytes, version } => (
                Some(plan::SteeringPlan::from_bytes(bytes).ok()?),
                Some(*version),
            ),
            platform_call::ReadResult::Absent => (None, None),
            platform_call::ReadResult::Failed => return None,
        };
        if let Some(before) = &before
            && before.sequence > self.seen_sequence
        {
            let holder = before.holder.clone();
            self.observe(before.sequence, &holder, now);
            return None;
        }
        let draft = plan::SteeringPlan {
            sequence: before.as_ref().map_or(1, |plan| plan.sequence + 1),
            holder: self.me.clone(),
            generation: view.topology.generation,
            hosts: before
                .as_ref()
                .map_or_else(Vec::new, |plan| plan.hosts.clone()),
            budgets: before.map_or_else(Vec::new, |plan| plan.budgets),
        };
        let bytes = draft.to_bytes().ok()?;
        self.state = PlannerState::Writing {
            draft: Box::new(draft),
            leader: None,
        };
        Some(PlannerAction::Write { bytes, expected })
    }

    /// A write that this role asked for has ended.
    pub fn on_write(
        &mut self,
        result: platform_call::WriteResult,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        let PlannerState::Writing { draft, leader } =
            std::mem::replace(&mut self.state, PlannerState::Follower)
        else {
            return None;
        };
        match result {
            platform_call::WriteResult::Stored { version } => {
                self.install(*draft, leader, version, now);
                None
            }
            platform_call::WriteResult::Conflict => {
                self.retry_at = now.plus(LEASE_MS);
                None
            }
            platform_call::WriteResult::Uncertain => {
                self.state = PlannerState::Checking { draft, leader };
                Some(PlannerAction::Read)
            }
        }
    }

    /// Decides by the object itself whether a write whose answer was lost took effect.
    fn check_write(
        &mut self,
        result: &platform_call::ReadResult,
        draft: Box<plan::SteeringPlan>,
        leader: Option<Box<LeaderState>>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        match result {
            platform_call::ReadResult::Failed => {
                self.state = PlannerState::Checking { draft, leader };
                Some(PlannerAction::Read)
            }
            platform_call::ReadResult::Absent => None,
            platform_call::ReadResult::Found { bytes, version } => {
                let stored = plan::SteeringPlan::from_bytes(bytes).ok()?;
                if stored == *draft {
                    self.install(*draft, leader, *version, now);
                } else if let Some(leader) = leader
                    && stored == leader.committed
                {
                    self.state = PlannerState::Leader(leader);
                }
                None
            }
        }
    }

    fn install(
        &mut self,
        draft: plan::SteeringPlan,
        leader: Option<Box<LeaderState>>,
        version: u64,
        now: timer::Moment,
    ) {
        self.observe(draft.sequence, &self.me.clone(), now);
        let mut leader = leader.unwrap_or_else(|| Box::new(fresh_leader(&draft, now)));
        leader.committed = draft;
        leader.version = version;
        leader.last_write = now;
        self.state = PlannerState::Leader(leader);
    }
}

/// The average load after one more report. It is slow on purpose: units on their way from one host to
/// another are nobody's, so a split that follows every fluctuation wastes what it moves.
fn averaged(before: u32, report: u32) -> u32 {
    let sum = u64::from(before) * (AVERAGE_DIVISOR - 1) + u64::from(report);
    u32::try_from(sum / AVERAGE_DIVISOR).unwrap_or(u32::MAX)
}

/// A new planner takes the ramps up where the plan has them and grows nothing for a whole step.
fn fresh_leader(draft: &plan::SteeringPlan, now: timer::Moment) -> LeaderState {
    let routes = draft
        .budgets
        .iter()
        .filter(|budget| matches!(budget.key, budget::PlaceKey::Route { .. }));
    let ramps = routes
        .map(|budget| {
            (
                budget.key.clone(),
                ramp::RouteRamp::with_allowance(budget.limit, now),
            )
        })
        .collect();
    LeaderState {
        committed: draft.clone(),
        version: 0,
        last_write: now,
        last_rebalance: timer::Moment::default(),
        ramps,
    }
}

/// Computes the next plan from the committed one and what hosts reported.
fn draft_plan(
    me: &member::HostIdentity,
    leader: &mut LeaderState,
    reports: &collections::HashMap<String, StoredReport>,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: &mut collections::HashMap<budget::PlaceKey, (u64, u64)>,
    view: &PlannerView<'_>,
    now: timer::Moment,
) -> plan::SteeringPlan {
    let mut draft = leader.committed.clone();
    draft.sequence += 1;
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

/// Adds reporting hosts, notes who is listed, and releases what gone hosts held.
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
    let mut gone = Vec::new();
    let known = draft.hosts.clone();
    for host in &mut draft.hosts {
        if is_superseded(host, &known) || (roster.is_gone(host) && !reports_now(host, reports)) {
            gone.push(host.identity.clone());
        } else if host.listed_at == 0 {
            host.listed_at = roster.listed_version(host).unwrap_or(0);
        }
    }
    draft.hosts.retain(|host| !gone.contains(&host.identity));
    for identity in &gone {
        for budget in &mut draft.budgets {
            budget.release(identity);
        }
    }
}

fn reports_now(
    host: &plan::PlanHost,
    reports: &collections::HashMap<String, StoredReport>,
) -> bool {
    reports
        .get(&host.identity.name)
        .is_some_and(|stored| stored.report.identity == host.identity)
}

/// A later run that listens on the same address proves the earlier one gone.
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
            let seen = gather_evidence(&key, service, to, loads, evidence, view.topology);
            let start = ramp::RouteRamp::initial_allowance(&rule);
            let ramps = &mut leader.ramps;
            let ramp = ramps
                .entry(key.clone())
                .or_insert_with(|| ramp::RouteRamp::with_allowance(start, now));
            if ramp.step(&rule, &seen, now) {
                clear_evidence(service, to, evidence, view.topology);
            }
            limits.push(PlaceLimit {
                key,
                units: ramp.allowance,
            });
        }
    }
}

fn gather_evidence(
    key: &budget::PlaceKey,
    service: &topology::ServiceTopology,
    to: &str,
    loads: &collections::HashMap<(String, budget::PlaceKey), LoadEntry>,
    evidence: &collections::HashMap<budget::PlaceKey, (u64, u64)>,
    topology: &topology::SteeringTopology,
) -> ramp::RampEvidence {
    let milli: u32 = loads
        .iter()
        .filter(|((_, place), _)| place == key)
        .map(|(_, load)| load.milli)
        .sum();
    let demand = milli.div_ceil(1_000);
    let mut seen = ramp::RampEvidence {
        demand,
        ..ramp::RampEvidence::default()
    };
    for hall in receiving_halls(service, to, topology) {
        if let Some(&(completed, refused)) = evidence.get(&hall) {
            seen.completed += completed;
            seen.refused += refused;
        }
    }
    seen
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

/// Lowers first, then raises from what is free.
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
            is_near: is_near(&budget.key, &host.hall, topology),
        })
        .collect();
    let reserved = silent_units(budget, &hosts);
    let targets = allocation::split_units(budget.limit.saturating_sub(reserved), &claimants);
    lower_others(budget, reports, sequence);
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

/// Units that hosts hold which do not take part: silent, leaving or of an earlier run.
fn silent_units(budget: &budget::PlaceBudget, hosts: &[&report::HostReport]) -> u32 {
    let takes_part =
        |identity: &member::HostIdentity| hosts.iter().any(|host| host.identity == *identity);
    budget
        .entries
        .iter()
        .filter(|entry| !takes_part(&entry.host))
        .map(|entry| entry.held)
        .sum()
}

/// A leaving host that still reports gives its units back.
fn lower_others(
    budget: &mut budget::PlaceBudget,
    reports: &collections::HashMap<String, StoredReport>,
    sequence: u64,
) {
    for stored in reports.values().filter(|stored| stored.report.leaving) {
        budget.lower(&stored.report.identity, 0, sequence);
    }
}

/// Units move only when that helps: someone lacks its share, or the limit changed.
fn is_rebalance_due(
    budget: &budget::PlaceBudget,
    hosts: &[&report::HostReport],
    targets: &[u32],
) -> bool {
    let granted: u32 = budget.entries.iter().map(|entry| entry.grant).sum();
    if granted > budget.limit || budget.free_units() > 0 {
        return true;
    }
    hosts.iter().zip(targets).any(|(host, &target)| {
        let grant = budget.grant_of(&host.identity);
        target > grant + (grant / MOVE_DIVISOR)
    })
}

/// Whether a host stands in the region of a hall, or at either end of a route.
fn is_near(key: &budget::PlaceKey, hall: &str, topology: &topology::SteeringTopology) -> bool {
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
