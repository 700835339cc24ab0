//! Lets a patient request wait at the host until a server has a slot for it, before its first
//! attempt.

use rand::Rng as _;

use super::RequestAttempts;
use crate::entry::choice::{ChosenServer, ServerChoice};
use crate::entry::metrics_page::RequestCompletion;
use crate::entry::request_failure::RequestFailure;
use crate::entry::urgency_role::HeldRequest;
use crate::entry::wire::WireProtocol;
use crate::urgency::classes::UrgencyClass;
use crate::urgency::refusal::RefusedRequest;
use crate::urgency::waiting::{FreeSlot, PlaceOffer, WaitDecision, WaitLimits};

impl<W: WireProtocol> RequestAttempts<'_, W> {
    /// Waits, if the request is patient, until a server has a slot below the reserved share or the
    /// request must be sent to meet its goal.
    pub(super) async fn wait_for_slot(&mut self) {
        if self.host.urgency_class(self.open) != Some(UrgencyClass::Patient) {
            return;
        }
        self.reserved_share = self.host.reserved_share(&self.open.service);
        let began = self.host.now();
        let mut held = None;
        while self.may_wait() && self.must_wait(&mut held) {
            let Some(held) = &held else {
                self.reserved_share = 0.0;
                break;
            };
            held.woken(self.host.now()).await;
        }
        if held.is_some() {
            let waited_ms = self.host.now().since(began);
            self.open.waited_ms.set(waited_ms);
            self.host.metrics.borrow_mut().urgency.waited_ms += waited_ms;
        }
    }

    /// Whether the host may keep the request: not if it stops, cannot serve the request itself or
    /// got it from another host, which has limited the time for it.
    fn may_wait(&self) -> bool {
        self.reserved_share > 0.0
            && self.open.handoff.is_none()
            && !self.host.is_leaving()
            && self.host.may_send(&self.open.service)
            && !self.host.is_blocked(self.open)
    }

    /// Whether the request waits further; then `held` is set unless the host holds too many.
    fn must_wait(&mut self, held: &mut Option<HeldRequest>) -> bool {
        let ServerChoice::Selected(chosen) = self.select(self.reserved_share) else {
            return false;
        };
        let limits = self.wait_limits(&chosen);
        let offer = PlaceOffer {
            place: chosen.server.incarnation_hash,
            free_slot: free_slot(&chosen),
            reserved_from: limits.reserved_from(),
        };
        let latest_start = limits.latest_start();
        let decision = match self.host.decide_wait(&offer, latest_start, held.as_ref()) {
            // The latest start moves when a queue grows or another server becomes the best.
            WaitDecision::Wait | WaitDecision::LetPass(_) if self.host.now() >= latest_start => {
                WaitDecision::SlackEnded
            }
            decision => decision,
        };
        match decision {
            WaitDecision::Send => {
                if offer.free_slot == FreeSlot::Reserved {
                    self.reserved_share = 0.0;
                }
                return false;
            }
            WaitDecision::SlackEnded => {
                self.reserved_share = 0.0;
                self.host.metrics.borrow_mut().urgency.slack_ended += 1;
                return false;
            }
            WaitDecision::LetPass(first) => self.host.wake(first),
            WaitDecision::Wait => {}
        }
        if held.is_none() {
            *held = self.host.hold(self.open, offer.place, latest_start);
        }
        true
    }

    fn wait_limits(&self, chosen: &ChosenServer) -> WaitLimits {
        WaitLimits {
            sent_from: self.open.sent_from,
            goal_ms: self.open.route.goal_ms,
            deadline: self.open.deadline,
            answer_ms: chosen.expected.work_ms + chosen.expected.rtt_ms + self.queue_ms(chosen),
        }
    }

    /// Expected wait at the server if no slot is left free, in milliseconds.
    fn queue_ms(&self, chosen: &ChosenServer) -> f64 {
        let slots = f64::from(chosen.server.slots);
        let usable_slots = slots * (1.0 - self.reserved_share);
        let load = chosen.expected.load + 1.0;
        if load <= slots {
            return 0.0;
        }
        chosen.expected.wait_ms * (load - slots) / (load - usable_slots)
    }

    /// Lets patient callers retry after urgent ones, if the request was refused for lack of
    /// capacity.
    pub(super) fn order_retry(&self, failure: RequestFailure) -> RequestFailure {
        // For a request that was handed over, the host that did so orders the retry.
        let class = self.host.urgency_class(self.open);
        let Some(class) = class.filter(|_| self.open.handoff.is_none()) else {
            return failure;
        };
        let (RequestCompletion::RefusedFull, Some(retry_after_ms)) =
            (failure.completion, failure.retry_after_ms)
        else {
            return failure;
        };
        self.host.metrics.borrow_mut().urgency.on_refused(class);
        let age_ms = self.host.now().since(self.open.arrived);
        let refused = RefusedRequest {
            class,
            retry_after_ms,
            typical_ms: self.typical_ms(),
            goal_left_ms: self.open.route.goal_ms.saturating_sub(age_ms) as f64,
        };
        let random = self.host.random.borrow_mut().random();
        RequestFailure {
            retry_after_ms: Some(refused.ordered_retry_ms(random)),
            ..failure
        }
    }
}

fn free_slot(chosen: &ChosenServer) -> FreeSlot {
    if chosen.expected.wait_ms <= 0.0 {
        FreeSlot::Unreserved
    } else if chosen.expected.load + 1.0 <= f64::from(chosen.server.slots) {
        FreeSlot::Reserved
    } else {
        FreeSlot::Taken
    }
}
