//! Handles the outcome of an attempt: what the host learns from it, and whether another attempt is
//! allowed.

use std::rc;

use serde_json::json;

use super::RequestAttempts;
use crate::entry::exchange::{AttemptOutcome, LossCause};
use crate::entry::fleet_server::FleetServer;
use crate::entry::quarantine_role;
use crate::entry::request_failure::RequestFailure;
use crate::entry::rollout_role;
use crate::entry::route_times::AnswerSample;
use crate::entry::wire::WireProtocol;
use crate::event::EventCode;
use crate::rollout::message::RolloutAnswer;
use crate::timer::Moment;

/// Retry-after time of a request last refused by a server with free slots, in milliseconds. It is
/// short, because no slot has to become free first.
const SHED_RETRY_AFTER_MS: u64 = 10;

impl<W: WireProtocol> RequestAttempts<'_, W> {
    /// Reports the outcome to the service's rollout, if there is one.
    pub(super) fn count_for_rollout(
        &self,
        server: &FleetServer,
        outcome: &AttemptOutcome,
        began: Moment,
        object_cached: bool,
    ) {
        let now = self.host.now();
        let expected_ms = if object_cached {
            self.typical_ms()
        } else {
            self.cache_miss_ms()
        };
        let took_ms = now.since(began);
        // An answer within the route's goal is good, even if other servers are faster.
        let is_slow = !server.is_cold(now)
            && took_ms > self.open.route.goal_ms
            && took_ms as f64 > expected_ms * rollout_role::SLOW_ANSWER_FACTOR;
        let is_unanswered = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Lost(_));
        let is_bad = match outcome {
            AttemptOutcome::Answered(answer) => answer.head.status.is_server_error() || is_slow,
            AttemptOutcome::TimedOut | AttemptOutcome::Lost(_) => true,
            AttemptOutcome::NotSent
            | AttemptOutcome::NoOpenConnection
            | AttemptOutcome::Withheld(_)
            | AttemptOutcome::OutOfTime
            | AttemptOutcome::NotRun { .. }
            | AttemptOutcome::OtherServer => return,
        };
        let answer = RolloutAnswer {
            route: &self.open.route.name,
            version: server.version,
            is_bad,
        };
        if is_unanswered {
            // Counted once it is certain that this host's own link is not the cause.
            self.host.rollouts.on_unanswered(server, &answer, now);
        } else {
            self.host.rollouts.on_answer(&server.service, &answer);
        }
    }

    pub(super) fn on_timeout(
        &self,
        server: &FleetServer,
        began: Moment,
        object_cached: bool,
    ) -> RequestFailure {
        self.log_failed(server, "timed out");
        let now = self.host.now();
        let typical_ms = if object_cached {
            self.typical_ms()
        } else {
            self.cache_miss_ms()
        };
        server.record_slowdown(now.since(began) as f64 / typical_ms, now);
        self.host.on_server_failure(server);
        RequestFailure::TIMED_OUT
    }

    pub(super) fn on_answer(&self, server: &FleetServer, began: Moment, object_cached: bool) {
        let sample = AnswerSample {
            route: &self.open.route.name,
            took_ms: self.host.now().since(began),
            object_cached,
        };
        self.host.record_answer_time(server, &sample);
    }

    pub(super) fn on_not_sent(&self, server: &FleetServer) {
        self.log_failed(server, "not reached");
        self.host.on_server_unreachable(server);
    }

    /// The server refused the request. A server with free slots that did not ask for a backoff is
    /// tried a second time: it may accept the request now, and on another server the request would
    /// be a cache miss.
    pub(super) fn on_not_run(
        &mut self,
        server: &FleetServer,
        status: http::StatusCode,
        had_free_slot: bool,
    ) {
        self.host.metrics.borrow_mut().shed += 1;
        self.log_failed(server, status.as_str());
        if !had_free_slot {
            self.record_sent(self.not_run());
            return;
        }
        self.record_sent(RequestFailure::not_run(SHED_RETRY_AFTER_MS));
        let wants_backoff = server.notice().is_in_backoff(self.host.now());
        if !self.retried_same_server && !wants_backoff {
            self.retried_same_server = true;
            self.tried.retain(|id| **id != *server.id);
        }
    }

    pub(super) fn on_other_server(&mut self, server: &FleetServer) {
        self.log_failed(server, "another server has the address");
        server.on_address_reused();
        self.record_sent(self.not_run());
    }

    pub(super) fn on_lost(
        &mut self,
        server: &rc::Rc<FleetServer>,
        cause: LossCause,
    ) -> Result<(), RequestFailure> {
        self.log_failed(server, cause.as_str());
        if cause != LossCause::Unreachable {
            self.host.on_server_failure(server);
        }
        if cause.has_broken() {
            self.host.on_connection_failed(server);
            quarantine_role::on_broken(self.host, server, self.open.fingerprint());
        }
        let failure = RequestFailure::lost(cause.as_str());
        if !self.open.forward.is_retryable {
            return Err(failure);
        }
        self.record_sent(failure);
        Ok(())
    }

    pub(super) const fn record_sent(&mut self, failure: RequestFailure) {
        self.sent += 1;
        self.last = Some(self.combined_failure(failure));
    }

    /// The failure of all attempts, of which the last one failed with `failure`: that it did not run
    /// says nothing of an earlier one that may have.
    pub(super) const fn combined_failure(&self, failure: RequestFailure) -> RequestFailure {
        match self.last {
            Some(earlier) if earlier.may_have_run() && !failure.may_have_run() => earlier,
            _ => failure,
        }
    }

    pub(super) fn not_run(&self) -> RequestFailure {
        RequestFailure::not_run(self.typical_ms() as u64)
    }

    pub(super) fn typical_ms(&self) -> f64 {
        let route = &self.open.route;
        self.host.typical_ms(&route.name, route.goal_ms)
    }

    pub(super) fn cache_miss_ms(&self) -> f64 {
        let route = &self.open.route;
        self.host.cache_miss_ms(&route.name, route.goal_ms)
    }

    pub(super) fn log_failed(&self, server: &FleetServer, result: &str) {
        let host = self.host;
        let open = self.open;
        host.metrics.borrow_mut().on_attempt_failed(result);
        let now = host.now();
        let fields = json!({
            "id": open.forward.id,
            "route": open.route.name,
            "fingerprint": open.fingerprint().to_string(),
            "server": server.id,
            "hall": server.hall,
            "result": result,
            "after_ms": now.since(open.arrived),
            "cold": server.is_cold(now),
            "own_in_flight": server.in_flight(),
            "version": host.configuration_version(),
            "fleet_revision": host.fleet.borrow().revision(),
            "expected_load": server.expected_load(now),
            "send": self.last_send.get(),
        });
        host.log_event(EventCode::OfferFailed, fields);
    }
}
