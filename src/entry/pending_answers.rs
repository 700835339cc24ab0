//! Pending requests to other hosts by datagram, and the delivery of their answers.

use std::{cell, time};

use tokio::sync::oneshot;

/// The pending requests of one kind.
#[derive(Debug)]
pub(super) struct PendingAnswers<T> {
    waiting: cell::RefCell<rustc_hash::FxHashMap<u64, oneshot::Sender<T>>>,
    next_id: cell::Cell<u64>,
}

/// A pending request and the channel for its answer.
#[derive(Debug)]
pub(super) struct PendingRequest<T> {
    /// Matches the answer to the request.
    pub(super) id: u64,
    answer: oneshot::Receiver<T>,
}

impl<T> Default for PendingAnswers<T> {
    fn default() -> Self {
        Self {
            waiting: cell::RefCell::default(),
            next_id: cell::Cell::default(),
        }
    }
}

impl<T> PendingAnswers<T> {
    /// Registers a request under a new identity.
    pub(super) fn register(&self) -> PendingRequest<T> {
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        PendingRequest { id, answer }
    }

    /// Delivers the answer to a request.
    pub(super) fn on_answer(&self, id: u64, answer: T) {
        let waiting = self.waiting.borrow_mut().remove(&id);
        if let Some(waiting) = waiting {
            // The requester may have given up.
            let _given_up = waiting.send(answer);
        }
    }

    /// Waits for the answer to `request`; `None` if it does not come within `wait`.
    pub(super) async fn wait_for(
        &self,
        mut request: PendingRequest<T>,
        wait: time::Duration,
    ) -> Option<T> {
        let answer = match tokio::time::timeout(wait, &mut request.answer).await {
            Ok(answer) => answer.ok(),
            Err(_elapsed) => {
                // If this process was stalled, the answer may still be in the socket's queue:
                // yields once so that it can be read.
                tokio::task::yield_now().await;
                request.answer.try_recv().ok()
            }
        };
        self.waiting.borrow_mut().remove(&request.id);
        answer
    }

    /// Removes requests whose requesters have given up.
    pub(super) fn remove_abandoned(&self) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, requester| !requester.is_closed());
    }
}
