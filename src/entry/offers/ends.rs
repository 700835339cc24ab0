//! What a host learns from how an offer ended, and whether the request may go on.

use std::rc;

use serde_json::json;

use super::OfferSeries;
use crate::entry::exchange::{LossCause, OfferEnd};
use crate::entry::fleet_server::FleetServer;
use crate::entry::quarantine_role;
use crate::entry::request_failure::RequestFailure;
use crate::entry::rollout_role;
use crate::entry::route_times::AnswerSample;
use crate::entry::wire::WireProtocol;
use crate::event::EventCode;
use crate::rollout::message::RolloutAnswer;
use crate::timer::Moment;

/// When a request may come back whose last refusal came from a server with free slots, in
/// milliseconds: at once, since nothing must become free first.
const SHED_COME_BACK_MS: u64 = 10;

impl<W: WireProtocol> OfferSeries<'_, W> {
    /// Tells how it ended to the roll-out that the server's service may be in.
    pub(super) fn count_for_rollout(
        &self,
        server: &FleetServer,
        end: &OfferEnd,
        began: Moment,
        known_object: bool,
    ) {
        let now = self.host.now();
        let expected_ms = if known_object {
            self.usual_ms()
        } else {
            self.first_ms()
        };
        let took_ms = now.since(began);
        // What comes within the route's goal is good, however fast others are.
        let is_slow = !server.is_cold(now)
            && took_ms > self.open.route.goal_ms
            && took_ms as f64 > expected_ms * rollout_role::SLOW_FACTOR;
        let is_bad = match end {
            OfferEnd::Answered(answer) => answer.head.status.is_server_error() || is_slow,
            OfferEnd::TimedOut | OfferEnd::Lost(_) => true,
            OfferEnd::NotSent
            | OfferEnd::Withheld(_)
            | OfferEnd::OutOfTime
            | OfferEnd::NotRun { .. }
            | OfferEnd::OtherServer => return,
        };
        let answer = RolloutAnswer {
            route: &self.open.route.name,
            version: server.version,
            is_bad,
        };
        self.host.rollouts.on_answer(&server.service, &answer);
    }

    pub(super) fn on_timeout(
        &self,
        server: &FleetServer,
        began: Moment,
        known_object: bool,
    ) -> RequestFailure {
        self.note_offer(server, "timed out");
        let now = self.host.now();
        let usual_ms = if known_object {
            self.usual_ms()
        } else {
            self.first_ms()
        };
        server.on_pace(now.since(began) as f64 / usual_ms, now);
        self.host.on_server_failure(server);
        RequestFailure::TIMED_OUT
    }

    pub(super) fn on_answer(&self, server: &FleetServer, began: Moment, known_object: bool) {
        let sample = AnswerSample {
            route: &self.open.route.name,
            millis: self.host.now().since(began),
            known_object,
        };
        self.host.on_answer_time(server, &sample);
    }

    pub(super) fn on_not_sent(&self, server: &FleetServer) {
        self.note_offer(server, "not reached");
        self.host.on_server_unreachable(server);
    }

    /// A server turned it away. One with free slots that wants no rest is asked once more: it may take the next one,
    /// and another server would have to do a first run on the object.
    pub(super) fn on_not_run(
        &mut self,
        server: &FleetServer,
        status: http::StatusCode,
        had_room: bool,
    ) {
        self.host.metrics.borrow_mut().shed += 1;
        self.note_offer(server, status.as_str());
        if !had_room {
            self.on_sent(self.not_run());
            return;
        }
        self.on_sent(RequestFailure::not_run(SHED_COME_BACK_MS));
        let wants_rest = server.notice().is_resting(self.host.now());
        if !self.asked_again && !wants_rest {
            self.asked_again = true;
            self.tried.retain(|id| **id != *server.id);
        }
    }

    pub(super) fn on_other_server(&mut self, server: &FleetServer) {
        self.note_offer(server, "another server has the address");
        server.on_displaced();
        self.on_sent(self.not_run());
    }

    pub(super) fn on_lost(
        &mut self,
        server: &rc::Rc<FleetServer>,
        cause: LossCause,
    ) -> Result<(), RequestFailure> {
        self.note_offer(server, cause.as_str());
        self.host.on_server_failure(server);
        if cause.has_broken() {
            quarantine_role::on_broken(self.host, server, self.open.fingerprint());
        }
        let failure = RequestFailure::lost(cause.as_str());
        if !self.open.forward.may_repeat {
            return Err(failure);
        }
        self.on_sent(failure);
        Ok(())
    }

    const fn on_sent(&mut self, failure: RequestFailure) {
        self.sent += 1;
        self.last = Some(failure);
    }

    pub(super) fn not_run(&self) -> RequestFailure {
        RequestFailure::not_run(self.usual_ms() as u64)
    }

    pub(super) fn usual_ms(&self) -> f64 {
        let route = &self.open.route;
        self.host.usual_ms(&route.name, route.goal_ms)
    }

    pub(super) fn first_ms(&self) -> f64 {
        let route = &self.open.route;
        self.host.first_ms(&route.name, route.goal_ms)
    }

    pub(super) fn note_offer(&self, server: &FleetServer, result: &str) {
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
        });
        host.note(EventCode::OfferFailed, fields);
    }
}
