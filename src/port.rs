//! The input port of the controller for other threads: a bounded ring, with tickets that match
//! answers to inputs.

use std::sync;
use std::sync::atomic;

use tokio::sync::oneshot;

use crate::control_message::{ControlAnswer, ControlInput};
use crate::ring::{self, RingReceiver, RingSender};

/// Inputs that may wait for the controller. When the ring is full, callers are refused with
/// `WorkRejected` or `ControlBusy`, and ticks and reports are dropped.
pub const CONTROL_RING_CAPACITY: usize = 8_192;

/// The reply that the sender of an input waits for.
#[derive(Debug)]
pub struct PendingReply {
    /// The ticket that the answer will carry.
    pub ticket: u64,
    /// The channel for the answer.
    pub sender: oneshot::Sender<ControlAnswer>,
}

/// An input, with its pending reply if one is expected.
#[derive(Debug)]
pub struct ControlEnvelope {
    /// The input.
    pub input: ControlInput,
    /// The pending reply; `None` if no answer is expected.
    pub pending_reply: Option<PendingReply>,
}

/// The sending half of the controller's ring.
#[derive(Debug, Clone)]
pub struct ControlPort {
    ring: RingSender<ControlEnvelope>,
    tickets: sync::Arc<atomic::AtomicU64>,
}

/// Creates the ring of a controller.
#[must_use]
pub fn open() -> (ControlPort, RingReceiver<ControlEnvelope>) {
    let (ring, receiver) = ring::with_capacity(CONTROL_RING_CAPACITY);
    (
        ControlPort {
            ring,
            tickets: sync::Arc::new(atomic::AtomicU64::new(1)),
        },
        receiver,
    )
}

impl ControlPort {
    /// Sends an input without waiting for an answer; returns false if the ring is full or the
    /// controller has stopped.
    #[must_use]
    pub fn send(&self, input: ControlInput) -> bool {
        self.ring
            .push(ControlEnvelope {
                input,
                pending_reply: None,
            })
            .is_ok()
    }

    /// Sends an input and waits for its answer; `None` if the ring is full or the controller has
    /// stopped.
    pub async fn request(&self, input: impl FnOnce(u64) -> ControlInput) -> Option<ControlAnswer> {
        let ticket = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let envelope = ControlEnvelope {
            input: input(ticket),
            pending_reply: Some(PendingReply { ticket, sender }),
        };
        self.ring.push(envelope).ok()?;
        receiver.await.ok()
    }

    /// Whether the controller has stopped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.ring.is_closed()
    }

    /// The ring itself, to which the timer sends ticks.
    #[must_use]
    pub fn ring(&self) -> RingSender<ControlEnvelope> {
        self.ring.clone()
    }
}
