//! The way into the controller for other threads: a bounded ring, and tickets for answers.

use std::sync;
use std::sync::atomic;

use tokio::sync::oneshot;

use crate::control_message::{ControlAnswer, ControlInput};
use crate::ring::{self, RingReceiver, RingSender};

/// Inputs that may wait for the controller. When it is full, callers are refused with
/// `WorkRejected` or `ControlBusy`, and ticks and reports are left out.
pub const CONTROL_RING: usize = 8_192;

/// Someone who waits for an answer.
#[derive(Debug)]
pub struct WaitingCaller {
    /// The ticket that the answer will carry.
    pub ticket: u64,
    /// Where to send it.
    pub sender: oneshot::Sender<ControlAnswer>,
}

/// An input, with whoever waits for its answer.
#[derive(Debug)]
pub struct ControlEnvelope {
    /// The input.
    pub input: ControlInput,
    /// Who waits.
    pub waiting: Option<WaitingCaller>,
}

/// The writing end of the controller's ring.
#[derive(Debug, Clone)]
pub struct ControlPort {
    ring: RingSender<ControlEnvelope>,
    tickets: sync::Arc<atomic::AtomicU64>,
}

/// Makes the ring of a controller.
#[must_use]
pub fn open() -> (ControlPort, RingReceiver<ControlEnvelope>) {
    let (ring, receiver) = ring::with_capacity(CONTROL_RING);
    (
        ControlPort {
            ring,
            tickets: sync::Arc::new(atomic::AtomicU64::new(1)),
        },
        receiver,
    )
}

impl ControlPort {
    /// Passes an input on; returns whether there was room.
    #[must_use]
    pub fn tell(&self, input: ControlInput) -> bool {
        self.ring
            .push(ControlEnvelope {
                input,
                waiting: None,
            })
            .is_ok()
    }

    /// Passes an input on and waits for its answer; `None` when the ring is full or the
    /// controller gone.
    pub async fn ask(&self, input: impl FnOnce(u64) -> ControlInput) -> Option<ControlAnswer> {
        let ticket = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let envelope = ControlEnvelope {
            input: input(ticket),
            waiting: Some(WaitingCaller { ticket, sender }),
        };
        self.ring.push(envelope).ok()?;
        receiver.await.ok()
    }

    /// Whether the controller is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.ring.is_closed()
    }

    /// The ring itself, for the timer.
    #[must_use]
    pub fn ring(&self) -> RingSender<ControlEnvelope> {
        self.ring.clone()
    }
}
