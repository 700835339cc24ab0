//! Records the results of attempts at backend servers and selects another server for a retry.

use super::{
    AttemptResult, ChosenServer, RequestAdmission, SteeringPolicy, SteeringRole, choice, placement,
};
use crate::health::ReportedLoad;
use crate::retry::RetryBudget;
use crate::timer;

/// Attempts for each request under the naive policy.
const NAIVE_ATTEMPTS: u32 = 3;

impl SteeringRole {
    /// Selects another server of the same place after a failed attempt, if the retry budget and the
    /// deadline allow it. `proved_not_run` states that the failed attempt was certainly not run.
    pub fn retry(
        &mut self,
        admission: &mut RequestAdmission,
        proved_not_run: bool,
        now: timer::Moment,
    ) -> bool {
        if !(admission.repeatable || proved_not_run) || now >= admission.deadline {
            return false;
        }
        let Some(server) = self.other_server(admission, now) else {
            return false;
        };
        let allowed = match self.policy {
            SteeringPolicy::Naive => admission.attempts < NAIVE_ATTEMPTS,
            SteeringPolicy::Steered => self
                .retries
                .get_mut(admission.retry)
                .is_some_and(RetryBudget::try_retry),
        };
        if !allowed {
            return false;
        }
        admission.attempts += 1;
        admission.server = server;
        if let Some(health) = self.servers.get_mut(server.slot) {
            health.start_request();
        }
        true
    }

    fn other_server(
        &mut self,
        admission: &RequestAdmission,
        now: timer::Moment,
    ) -> Option<ChosenServer> {
        let service = self
            .services
            .values()
            .find(|service| service.id == admission.service)?;
        if self.policy == SteeringPolicy::Naive {
            return choice::next_round_robin(service, &mut self.round_robin);
        }
        let mut places = service.local.iter().chain(&service.remote);
        let place = places.find(|place| place.place == admission.place)?;
        let avoid = Some(admission.server.slot);
        choice::select_server(
            &placement::choice_view(&self.servers, &self.units, place, avoid, now),
            &mut self.random,
        )
    }

    /// Records the end of an attempt. The admission keeps its units until [`Self::finish`].
    pub fn end_attempt(
        &mut self,
        admission: &RequestAdmission,
        result: AttemptResult,
        reported_load: Option<u32>,
        now: timer::Moment,
    ) {
        self.record_answer(admission, result, reported_load, now);
        if let Some(health) = self.servers.get_mut(admission.server.slot) {
            health.finish_request();
        }
    }

    /// Records that the head of an answer arrived, or that none will. The attempt itself continues.
    pub fn record_answer(
        &mut self,
        admission: &RequestAdmission,
        result: AttemptResult,
        reported_load: Option<u32>,
        now: timer::Moment,
    ) {
        let answer_ms = now.since(admission.started);
        if let Some(health) = self.servers.get_mut(admission.server.slot) {
            match result {
                AttemptResult::Success => health.on_success(answer_ms),
                AttemptResult::Failure => health.on_failure(now),
                AttemptResult::Shed | AttemptResult::Abandoned => {}
            }
            if let Some(in_use) = reported_load {
                health.on_reported_load(ReportedLoad { in_use, at: now });
            }
        }
        if result == AttemptResult::Success {
            self.record_success(admission, answer_ms as f64);
        }
    }

    fn record_success(&mut self, admission: &RequestAdmission, answer_ms: f64) {
        if let Some(retry) = self.retries.get_mut(admission.retry) {
            retry.on_success();
        }
        if let Some(counter) = self.units.get_mut(admission.place) {
            counter.record_answer(answer_ms);
        }
        if let Some(estimate) = self.estimates.get_mut(admission.estimate) {
            estimate.record(answer_ms);
        }
    }

    /// Releases the units of an admission, however the request ended.
    pub fn finish(&mut self, admission: &RequestAdmission) {
        for slot in std::iter::once(admission.place).chain(admission.route) {
            if let Some(counter) = self.units.get_mut(slot) {
                counter.release();
                counter.completed += 1;
            }
        }
    }
}
