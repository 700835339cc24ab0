//! How fast moved work may grow between two regions: by steps, on evidence, under the cap.

use crate::declaration;
use crate::timer;

/// Time between steps.
pub const STEP_PERIOD_MS: u64 = 6_000;
const STEPS_PER_MINUTE: u32 = (60_000 / STEP_PERIOD_MS) as u32;
/// Refusals at the receiver, as a share of its requests, that count as suffering.
const SUFFERING_SHARE: f64 = 0.01;
/// Use of the allowance below which it needs no growth.
const PRESSED_SHARE: f64 = 0.5;

/// What was seen at the receiving region since the last step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RampEvidence {
    /// Units of the route that hosts use or would use.
    pub demand: u32,
    /// Requests of the service answered in the receiving region.
    pub completed: u64,
    /// Requests refused there for want of budget.
    pub refused: u64,
}

impl RampEvidence {
    fn is_suffering(&self) -> bool {
        let total = self.completed + self.refused;
        total > 0 && self.refused as f64 > SUFFERING_SHARE * total as f64
    }
}

/// The allowance of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRamp {
    /// Units allowed now.
    pub allowance: u32,
    last_step: timer::Moment,
    /// Parts of a unit, in thousandths, that earlier steps left over.
    carry_milli: u32,
}

impl RouteRamp {
    /// Takes up a ramp at `allowance`; it grows only after a whole step period from `now`, so a
    /// change of planners never makes it faster.
    #[must_use]
    pub const fn with_allowance(allowance: u32, now: timer::Moment) -> Self {
        Self {
            allowance,
            last_step: now,
            carry_milli: 0,
        }
    }

    /// Units by which moved work may grow in a minute.
    fn minute_units(rule: &declaration::ShiftRule) -> u32 {
        let units = f64::from(rule.concurrent) * rule.share_per_minute;
        (units.floor() as u32).min(rule.concurrent)
    }

    /// What a route carries before any step: at least one unit if a minute allows one, so that a
    /// few lost callers are served at once. It counts as the first part of a minute's growth.
    #[must_use]
    pub fn initial_allowance(rule: &declaration::ShiftRule) -> u32 {
        Self::minute_units(rule).div_ceil(STEPS_PER_MINUTE + 1)
    }

    /// Thousandths of a unit that one step adds: with the initial allowance, ten steps make up
    /// exactly what a minute allows.
    fn step_milli(rule: &declaration::ShiftRule) -> u32 {
        let rest = Self::minute_units(rule).saturating_sub(Self::initial_allowance(rule));
        rest.saturating_mul(1_000) / STEPS_PER_MINUTE
    }

    /// Takes at most one step; returns whether the allowance changed.
    pub fn step(
        &mut self,
        rule: &declaration::ShiftRule,
        evidence: &RampEvidence,
        now: timer::Moment,
    ) -> bool {
        let before = self.allowance;
        self.allowance = self.allowance.min(rule.concurrent);
        if now.since(self.last_step) >= STEP_PERIOD_MS {
            self.last_step = now;
            self.take_step(rule, evidence);
        }
        self.allowance != before
    }

    fn take_step(&mut self, rule: &declaration::ShiftRule, evidence: &RampEvidence) {
        let step_milli = Self::step_milli(rule);
        let initial = Self::initial_allowance(rule);
        if evidence.is_suffering() {
            self.carry_milli = 0;
            let back = step_milli.div_ceil(1_000);
            self.allowance = self.allowance.saturating_sub(back).max(initial);
            return;
        }
        if evidence.demand == 0 {
            self.carry_milli = 0;
            self.allowance = initial;
            return;
        }
        if f64::from(evidence.demand) < PRESSED_SHARE * f64::from(self.allowance) {
            return;
        }
        let grown_milli = self.carry_milli + step_milli;
        self.carry_milli = grown_milli % 1_000;
        self.allowance = (self.allowance + grown_milli / 1_000).min(rule.concurrent);
    }
}
