//! The planner role: one entry host at a time splits the budgets over the hosts.
//!
//! The plan object itself decides which host plans. Every write is conditional on the object's
//! version and increases its sequence, which renews the lease. A planner that was suspended past
//! its lease fails its next write and steps down. Grants are published only after the write that
//! contains them is known to be stored.
//!
//! Memory: one budget for each place with one entry for each host that holds units, and one report
//! for each host that reported within [`REPORT_MAX_AGE_MS`].

mod draft;

use std::collections;

use crate::{budget, member, plan, platform_call, ramp, report, roster, timer, topology};

/// A follower takes over if the sequence has not changed for this long.
pub const LEASE_MS: u64 = 4_000;
/// Additional wait of each further candidate, by rank.
const CANDIDATE_DELAY_MS: u64 = 1_000;
/// The planner writes at least this often to renew its lease.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Interval of rebalancing.
const REBALANCE_INTERVAL_MS: u64 = 500;
/// A host whose last report is older gets no new grants.
pub const REPORT_MAX_AGE_MS: u64 = 3_000;
/// A reported load expires after this long.
const LOAD_MAX_AGE_MS: u64 = 5_000;
/// Units move if a host's target exceeds its grant by more than this fraction of the grant.
const MOVE_DIVISOR: u32 = 8;
/// Each report replaces this fraction of the average load: about four seconds.
const AVERAGE_DIVISOR: u64 = 8;

/// The planner's inputs at a tick.
#[derive(Debug)]
pub struct PlannerView<'v> {
    /// The configuration that is active on this host.
    pub topology: &'v topology::SteeringTopology,
    /// The platform's host list.
    pub roster: &'v roster::HostRoster,
    /// This host's rank among the candidates, from 0; `None` if it must not plan.
    pub rank: Option<u64>,
}

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Read the plan object.
    Read,
    /// Write the plan object if its version is the expected one.
    Write {
        /// The new content.
        bytes: Vec<u8>,
        /// The version to replace; `None` if no object may exist.
        expected: Option<u64>,
    },
}

#[derive(Debug)]
struct StoredReport {
    report: report::HostReport,
    received_at: timer::Moment,
}

#[derive(Debug, Clone, Copy)]
struct LoadEntry {
    milli: u32,
    received_at: timer::Moment,
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
    /// The answer to a write was lost; the object is being read back.
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
    /// A follower without a known plan.
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

    /// The current planner, as far as this host knows.
    #[must_use]
    pub const fn holder(&self) -> Option<&member::HostIdentity> {
        self.seen_holder.as_ref()
    }

    /// The newest known plan sequence.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.seen_sequence
    }

    /// Whether this host is the planner.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        self.committed().is_some()
    }

    /// The last plan that is known to be stored; only on the planner.
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

    /// Records that `holder` wrote plan `sequence`, whatever the source of this information.
    pub fn observe(&mut self, sequence: u64, holder: &member::HostIdentity, now: timer::Moment) {
        if sequence > self.seen_sequence {
            self.seen_sequence = sequence;
            self.seen_holder = Some(holder.clone());
            self.seen_at = now;
        }
    }

    /// Records a host's report. The planner returns the host's grants.
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
            self.record_usage(&name, usage, now);
        }
        self.reports.insert(
            name,
            StoredReport {
                report,
                received_at: now,
            },
        );
        Some(grants)
    }

    fn record_usage(&mut self, host: &str, usage: &report::PlaceUsage, now: timer::Moment) {
        let counts = self.evidence.entry(usage.key.clone()).or_default();
        counts.0 = counts.0.saturating_add(u64::from(usage.completed));
        counts.1 = counts.1.saturating_add(u64::from(usage.refused));
        let entry = self.loads.entry((host.to_owned(), usage.key.clone()));
        let load = entry.or_insert(LoadEntry {
            milli: usage.load_milli,
            received_at: now,
        });
        load.milli = average_load(load.milli, usage.load_milli);
        load.received_at = now;
    }

    /// Expires old reports and returns the next call to the platform, if one is due.
    pub fn tick(&mut self, view: &PlannerView<'_>, now: timer::Moment) -> Option<PlannerAction> {
        self.expire_reports(now);
        if let PlannerState::Leader(_) = self.state {
            return self.tick_leader(view, now);
        }
        if let PlannerState::Follower = self.state {
            return self.tick_follower(view, now);
        }
        None
    }

    fn expire_reports(&mut self, now: timer::Moment) {
        self.reports
            .retain(|_, stored| now.since(stored.received_at) <= REPORT_MAX_AGE_MS);
        self.loads
            .retain(|_, load| now.since(load.received_at) <= LOAD_MAX_AGE_MS);
    }

    fn tick_follower(
        &mut self,
        view: &PlannerView<'_>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        let timeout_ms = LEASE_MS + view.rank? * CANDIDATE_DELAY_MS;
        let lease_active = self.seen_sequence > 0 && now.since(self.seen_at) < timeout_ms;
        if lease_active || now < self.retry_at {
            return None;
        }
        self.state = PlannerState::Reading;
        Some(PlannerAction::Read)
    }

    fn tick_leader(&mut self, view: &PlannerView<'_>, now: timer::Moment) -> Option<PlannerAction> {
        let PlannerState::Leader(leader) = &mut self.state else {
            return None;
        };
        if view.rank.is_none() && now.since(leader.last_write) >= RENEW_INTERVAL_MS {
            self.state = PlannerState::Follower;
            self.retry_at = now.plus(LEASE_MS);
            return None;
        }
        if now.since(leader.last_rebalance) < REBALANCE_INTERVAL_MS {
            return None;
        }
        leader.last_rebalance = now;
        let draft = draft::draft_plan(
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
        if !changed && now.since(leader.last_write) < RENEW_INTERVAL_MS {
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

    /// Handles the result of a read of the plan object.
    pub fn on_read(
        &mut self,
        result: &platform_call::ReadResult,
        view: &PlannerView<'_>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        match std::mem::replace(&mut self.state, PlannerState::Follower) {
            PlannerState::Reading => self.take_leadership(result, view, now),
            PlannerState::Checking { draft, leader } => {
                self.check_write(result, draft, leader, now)
            }
            other => {
                self.state = other;
                None
            }
        }
    }

    fn take_leadership(
        &mut self,
        result: &platform_call::ReadResult,
        view: &PlannerView<'_>,
        now: timer::Moment,
    ) -> Option<PlannerAction> {
        self.retry_at = now.plus(RENEW_INTERVAL_MS);
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
            sequence: before
                .as_ref()
                .map_or(1, |plan| plan.sequence.saturating_add(1)),
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

    /// Handles the result of a write.
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

    /// Reads from the stored object whether a write whose answer was lost took effect.
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
        let mut leader = leader.unwrap_or_else(|| Box::new(new_leader_state(&draft, now)));
        leader.committed = draft;
        leader.version = version;
        leader.last_write = now;
        self.state = PlannerState::Leader(leader);
    }
}

/// The average load after one more report. It changes slowly on purpose: units that move from one
/// host to another are usable by neither, so a split that follows every fluctuation wastes them.
fn average_load(before: u32, report: u32) -> u32 {
    let sum = u64::from(before) * (AVERAGE_DIVISOR - 1) + u64::from(report);
    u32::try_from(sum / AVERAGE_DIVISOR).unwrap_or(u32::MAX)
}

/// The state of a new planner. It continues the ramps at the plan's limits and grows none of them
/// for a whole step.
fn new_leader_state(draft: &plan::SteeringPlan, now: timer::Moment) -> LeaderState {
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
