//! An admitted request: what it holds, and that it gives all of it back however it ends.

use super::claiming::GrantedClaim;
use super::incoming::CallerRequest;
use super::with_worker;
use crate::control_message::ControlInput;
use crate::steering::{AttemptResult, RequestAdmission};
use crate::timer::Moment;

/// An admitted request. Dropping it gives its units back, and its claim if it was never sent.
pub(super) struct HeldRequest {
    pub(super) admission: RequestAdmission,
    pub(super) service: String,
    pub(super) class: String,
    pub(super) arrived: Moment,
    pub(super) claim: Option<GrantedClaim>,
    /// Whether an attempt at the present server is under way.
    pub(super) attempting: bool,
    /// Whether anything may have reached a server.
    pub(super) sent: bool,
    pub(super) finished: bool,
}

impl HeldRequest {
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

    pub(super) fn end_attempt(&mut self, result: AttemptResult, claimed_load: Option<u32>) {
        if !std::mem::take(&mut self.attempting) {
            return;
        }
        with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .end_attempt(&self.admission, result, claimed_load, now);
        });
    }

    /// Another server, if the retry budget allows one.
    pub(super) fn retry(&mut self, proved_unrun: bool) -> bool {
        let retried = with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .retry(&mut self.admission, proved_unrun, now)
        });
        self.attempting = retried == Some(true);
        self.attempting
    }

    pub(super) fn settle(&mut self, status: Option<u16>) {
        if let Some(claim) = self.claim.take() {
            with_worker(|worker| {
                // An outcome that finds the ring full leaves the claim pending, which is safe.
                let _taken =
                    worker
                        .control
                        .send(ControlInput::Settle(claim.key, claim.attempt, status));
            });
        }
    }

    /// The head of an answer came; the server stays occupied until the body has ended.
    pub(super) fn answered(&mut self, result: AttemptResult, claimed_load: Option<u32>) {
        with_worker(|worker| {
            let now = worker.now();
            worker
                .steering
                .note_answer(&self.admission, result, claimed_load, now);
        });
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.end_attempt(AttemptResult::Abandoned, None);
        if !self.sent {
            self.settle(None);
        }
        if !std::mem::replace(&mut self.finished, true) {
            with_worker(|worker| worker.give_back(&self.admission));
        }
    }
}
