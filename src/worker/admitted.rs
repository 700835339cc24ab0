//! An admitted request and the resources that it holds: units, a claim and a running attempt.

use super::claiming::GrantedClaim;
use super::incoming::CallerRequest;
use super::with_worker;
use crate::control_message::ControlInput;
use crate::steering::{AttemptResult, RequestAdmission};
use crate::timer::Moment;

/// An admitted request. Dropping it releases its units, and also its claim if nothing was sent.
pub(super) struct AdmittedRequest {
    pub(super) admission: RequestAdmission,
    pub(super) service: String,
    pub(super) class: String,
    pub(super) arrived: Moment,
    pub(super) claim: Option<GrantedClaim>,
    /// Whether an attempt at the current server is running.
    pub(super) attempting: bool,
    /// Whether the request may have reached a server.
    pub(super) sent: bool,
    pub(super) finished: bool,
}

impl AdmittedRequest {
    pub(super) fn new(admission: RequestAdmission, request: &CallerRequest) -> Self {
        Self {
            admission,
            service: request.head.service.clone(),
            class: request.head.class.clone(),
            arrived: request.arrived,
            claim: None,
            attempting: true,
            sent: false,
            finished: false,
        }
    }

    pub(super) fn end_attempt(&mut self, result: AttemptResult, reported_load: Option<u32>) {
        if !std::mem::take(&mut self.attempting) {
            return;
        }
        with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .end_attempt(&self.admission, result, reported_load, now);
        });
    }

    /// Selects another server if the retry budget allows it.
    pub(super) fn retry(&mut self, proved_not_run: bool) -> bool {
        let retried = with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .retry(&mut self.admission, proved_not_run, now)
        });
        self.attempting = retried == Some(true);
        self.attempting
    }

    pub(super) fn settle(&mut self, status: Option<u16>) {
        if let Some(claim) = self.claim.take() {
            with_worker(|worker| {
                // If the ring is full, the claim stays pending, which is safe.
                let _taken =
                    worker
                        .control
                        .tell(ControlInput::Settle(claim.key, claim.attempt, status));
            });
        }
    }

    /// Records that the head of an answer arrived. The server stays occupied until the body ends.
    pub(super) fn record_answer(&mut self, result: AttemptResult, reported_load: Option<u32>) {
        with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .record_answer(&self.admission, result, reported_load, now);
        });
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.end_attempt(AttemptResult::Abandoned, None);
        if !self.sent {
            self.settle(None);
        }
        if !std::mem::replace(&mut self.finished, true) {
            with_worker(|worker| worker.release(&self.admission));
        }
    }
}
