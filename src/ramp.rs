//! Limits how fast the work moved between two regions may grow: step by step, depending on the
//! demand and on refusals in the receiving region, up to the declared cap.

use crate::declaration;
use crate::timer;

/// Interval between steps.
pub const STEP_INTERVAL_MS: u64 = 6_000;
const STEPS_PER_MINUTE: u32 = (60_000 / STEP_INTERVAL_MS) as u32;
/// Share of refused requests above which the receiving region counts as overloaded.
const OVERLOAD_REFUSAL_SHARE: f64 = 0.01;
/// Used share of the allowance below which the allowance does not grow.
const MIN_USED_SHARE_FOR_GROWTH: f64 = 0.5;

/// What was observed in the receiving region since the last step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RampEvidence {
    /// Units of the route that hosts use or would use if they were granted.
    pub demand: u32,
    /// Requests of the service answered in the receiving region.
    pub completed: u64,
    /// Requests refused there because no budget was left.
    pub refused: u64,
}

impl RampEvidence {
    fn is_overloaded(&self) -> bool {
        let total = self.completed + self.refused;
        total > 0 && self.refused as f64 > OVERLOAD_REFUSAL_SHARE * total as f64
    }
}

/// The allowance of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRamp {
    /// Units currently allowed.
    pub allowance: u32,
    last_step: timer::Moment,
    /// Fraction of a unit left over from earlier steps, in thousandths.
    carry_milli: u32,
}

impl RouteRamp {
    /// Resumes a ramp at `allowance`. The first step comes a whole interval after `now`, so that a
    /// change of planner never makes the ramp faster.
    #[must_use]
    pub const fn with_allowance(allowance: u32, now: timer::Moment) -> Self {
        Self {
            allowance,
            last_step: now,
            carry_milli: 0,
        }
    }

    /// Units by which the moved work may grow per minute.
    fn minute_units(rule: &declaration::ShiftRule) -> u32 {
        let units = f64::from(rule.concurrent) * rule.share_per_minute;
        (units.floor() as u32).min(rule.concurrent)
    }

    /// The allowance of a route before any step: at least one unit if the growth per minute allows
    /// one, so that a few callers that lost their region are served immediately. It counts towards
    /// the growth of the first minute.
    #[must_use]
    pub fn initial_allowance(rule: &declaration::ShiftRule) -> u32 {
        Self::minute_units(rule).div_ceil(STEPS_PER_MINUTE + 1)
    }

    /// Thousandths of a unit that one step adds. The initial allowance and the ten steps of a
    /// minute together add up to the growth per minute.
    fn step_milli(rule: &declaration::ShiftRule) -> u32 {
        let remaining_units =
            Self::minute_units(rule).saturating_sub(Self::initial_allowance(rule));
        remaining_units.saturating_mul(1_000) / STEPS_PER_MINUTE
    }

    /// Performs a step if one is due; returns whether the allowance changed.
    pub fn step(
        &mut self,
        rule: &declaration::ShiftRule,
        evidence: &RampEvidence,
        now: timer::Moment,
    ) -> bool {
        let before = self.allowance;
        self.allowance = self.allowance.min(rule.concurrent);
        if now.since(self.last_step) >= STEP_INTERVAL_MS {
            self.last_step = now;
            self.apply_step(rule, evidence);
        }
        self.allowance != before
    }

    fn apply_step(&mut self, rule: &declaration::ShiftRule, evidence: &RampEvidence) {
        let step_milli = Self::step_milli(rule);
        let initial = Self::initial_allowance(rule);
        if evidence.is_overloaded() {
            self.carry_milli = 0;
            let decrease = step_milli.div_ceil(1_000);
            self.allowance = self.allowance.saturating_sub(decrease).max(initial);
            return;
        }
        if evidence.demand == 0 {
            self.carry_milli = 0;
            self.allowance = initial;
            return;
        }
        if f64::from(evidence.demand) < MIN_USED_SHARE_FOR_GROWTH * f64::from(self.allowance) {
            return;
        }
        let grown_milli = self.carry_milli + step_milli;
        self.carry_milli = grown_milli % 1_000;
        self.allowance = (self.allowance + grown_milli / 1_000).min(rule.concurrent);
    }
}
