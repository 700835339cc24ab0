//! Requests that wait for a unit. A request is woken when it gets one, and leaves the queue when
//! its caller disconnects.

use std::collections;

use tokio::sync::oneshot;

use super::{WorkerState, answer, with_worker};
use crate::steering::{AttemptResult, RequestAdmission, RequestRefusal, WaitTicket};

/// An admission that is being passed to the request that waited for it. If the request is gone,
/// dropping the guard releases the admission.
#[derive(Debug)]
pub(super) struct AdmissionGuard {
    admission: Option<RequestAdmission>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.take() {
            with_worker(|worker| worker.release_unused(&admission));
        }
    }
}

type WaitResult = Result<AdmissionGuard, RequestRefusal>;

/// The waiting requests of a worker.
#[derive(Debug, Default)]
pub(super) struct WaiterTable {
    waiters: collections::HashMap<WaitTicket, oneshot::Sender<WaitResult>>,
}

/// Removes the request from the queue when its caller disconnects.
struct QueueGuard(WaitTicket);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        with_worker(|worker| {
            if worker.waiters.waiters.remove(&self.0).is_some() {
                worker.steering.cancel_wait(self.0);
            }
        });
    }
}

/// Waits until the request is admitted or refused.
pub(super) async fn for_unit(ticket: WaitTicket) -> Result<RequestAdmission, RequestRefusal> {
    let (sender, receiver) = oneshot::channel();
    with_worker(|worker| worker.waiters.waiters.insert(ticket, sender));
    let _guard = QueueGuard(ticket);
    let unanswered = answer::internal_refusal();
    let unanswered = RequestRefusal {
        code: unanswered.code,
        retry_after_ms: unanswered.retry_after_ms,
    };
    let mut guard = receiver.await.unwrap_or(Err(unanswered))?;
    guard.admission.take().ok_or(unanswered)
}

impl WorkerState {
    /// Releases the units of a finished request and passes them to waiting requests.
    pub(super) fn release(&mut self, admission: &RequestAdmission) {
        self.steering.finish(admission);
        self.wake_ready();
    }

    /// Releases an admission that was never used.
    fn release_unused(&mut self, admission: &RequestAdmission) {
        let now = self.now();
        self.steering
            .end_attempt(admission, AttemptResult::Abandoned, None, now);
        self.release(admission);
    }

    /// Wakes the requests whose wait has ended.
    pub(super) fn wake_ready(&mut self) {
        let now = self.now();
        for outcome in self.steering.take_ready(now) {
            let result = outcome.result.map(|admission| AdmissionGuard {
                admission: Some(admission),
            });
            let waiter = self.waiters.waiters.remove(&outcome.ticket);
            let unused = match waiter {
                Some(sender) => sender.send(result).err(),
                None => Some(result),
            };
            // The worker is already borrowed here, so the guard's drop could not release the
            // admission.
            if let Some(Ok(mut guard)) = unused
                && let Some(admission) = guard.admission.take()
            {
                self.steering
                    .end_attempt(&admission, AttemptResult::Abandoned, None, now);
                self.steering.finish(&admission);
            }
        }
    }
}
