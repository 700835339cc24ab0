//! Hands a request over to other hosts when this one reaches no server of its service.

use serde_json::json;

use super::{AnswerSource, AnsweredRequest, MIN_TIME_LEFT_MS, RequestAttempts};
use crate::entry::handoff::{self, HandoffOutcome, HandoffProgress, MAX_HOSTS_ASKED};
use crate::entry::peers::HandoffTarget;
use crate::entry::quarantine_role::SuspectAdmission;
use crate::entry::request_failure::RequestFailure;
use crate::entry::wire::WireProtocol;
use crate::event::EventCode;

impl<W: WireProtocol> RequestAttempts<'_, W> {
    /// Whether the request may only be served by way of another host.
    pub(super) fn must_hand_over(&self) -> bool {
        self.sent == 0 && self.host.is_unreachable(&self.open.service)
    }

    /// Hands the request over until a host takes it. A request that was itself handed over is
    /// refused, so that none goes in circles.
    pub(super) async fn hand_over(&mut self) -> Result<AnsweredRequest, RequestFailure> {
        if self.open.handoff.is_some() {
            return Err(self.unserved());
        }
        if self.sent > 0 && !self.host.try_retry(self.open) {
            return Err(self.unserved());
        }
        for _ in 0..MAX_HOSTS_ASKED {
            if self.open.deadline.since(self.host.now()) < MIN_TIME_LEFT_MS {
                break;
            }
            let Some(target) = self.host.handoff_target(self.open) else {
                break;
            };
            let progress = HandoffProgress {
                sends: self.sent,
                is_counted: self.is_counted,
                is_probe: self.admission == SuspectAdmission::Probe,
            };
            let outcome = handoff::send(self.host, &target, self.open, progress).await;
            if let Some(answered) = self.on_handoff(&target, outcome)? {
                return Ok(answered);
            }
            if self.sent >= self.max_sends() {
                break;
            }
        }
        Err(self.unserved())
    }

    /// Handles the outcome of a handoff; returns `None` if another host may be asked.
    fn on_handoff(
        &mut self,
        target: &HandoffTarget,
        outcome: HandoffOutcome,
    ) -> Result<Option<AnsweredRequest>, RequestFailure> {
        match outcome {
            HandoffOutcome::Answered(answer) => {
                self.host.metrics.borrow_mut().handed_over += 1;
                let source = AnswerSource::Host(target.clone());
                return Ok(Some(AnsweredRequest { source, answer }));
            }
            HandoffOutcome::NotServed(reason) => {
                self.log_handoff_failed(target, reason);
                self.avoid(target);
            }
            HandoffOutcome::Failed(failure) => return Err(self.combined_failure(failure)),
            HandoffOutcome::Lost(cause) => {
                self.log_handoff_failed(target, cause.as_str());
                self.avoid(target);
                let failure = RequestFailure::lost(cause.as_str());
                if !self.open.forward.is_retryable {
                    return Err(failure);
                }
                self.record_sent(failure);
                if !self.host.try_retry(self.open) {
                    return Err(failure);
                }
            }
            HandoffOutcome::TimedOut => {
                self.log_handoff_failed(target, "timed out");
                return Err(RequestFailure::TIMED_OUT);
            }
        }
        Ok(None)
    }

    fn avoid(&self, target: &HandoffTarget) {
        let now = self.host.now();
        let role = &self.host.handoffs;
        role.avoid(target.address, &self.open.service, now);
    }

    /// The outcome of earlier attempts is more informative than the lack of a host.
    fn unserved(&self) -> RequestFailure {
        let failure = self.last;
        failure.unwrap_or_else(|| self.host.unreachable_failure())
    }

    fn log_handoff_failed(&self, target: &HandoffTarget, reason: &str) {
        let fields = json!({
            "id": self.open.forward.id,
            "route": self.open.route.name,
            "peer": target.name,
            "result": reason,
            "after_ms": self.host.now().since(self.open.arrived),
        });
        self.host.log_event(EventCode::HandoffFailed, fields);
    }
}
