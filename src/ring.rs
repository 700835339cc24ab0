//! Bounded rings that connect the threads: a push never blocks, a pop waits for a value.

use std::sync;
use std::sync::atomic;

use crossbeam_queue::ArrayQueue;
use tokio::sync::Notify;

/// Why a push failed; contains the value that was not pushed.
#[derive(Debug, PartialEq, Eq)]
pub enum RingFault<T> {
    /// The ring is full.
    Full(T),
    /// The receiver was dropped.
    Closed(T),
}

#[derive(Debug)]
struct RingState<T> {
    queue: ArrayQueue<T>,
    notify: Notify,
    receiver_dropped: atomic::AtomicBool,
    senders: atomic::AtomicUsize,
}

/// The sending half; may be cloned and used from any thread.
#[derive(Debug)]
pub struct RingSender<T> {
    state: sync::Arc<RingState<T>>,
}

/// The receiving half.
#[derive(Debug)]
pub struct RingReceiver<T> {
    state: sync::Arc<RingState<T>>,
}

/// Creates a ring that holds at most `capacity` values.
///
/// ```
/// use ledgespool::ring;
/// let (sender, receiver) = ring::with_capacity(1);
/// assert!(sender.push(7).is_ok());
/// assert_eq!(sender.push(8), Err(ring::RingFault::Full(8)));
/// assert_eq!(receiver.try_pop(), Some(7));
/// ```
#[must_use]
pub fn with_capacity<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let state = sync::Arc::new(RingState {
        queue: ArrayQueue::new(capacity.max(1)),
        notify: Notify::new(),
        receiver_dropped: atomic::AtomicBool::new(false),
        senders: atomic::AtomicUsize::new(1),
    });
    (
        RingSender {
            state: sync::Arc::clone(&state),
        },
        RingReceiver { state },
    )
}

impl<T> RingSender<T> {
    /// Adds a value without waiting.
    ///
    /// # Errors
    /// [`RingFault`] with the value if the ring is full or its receiver was dropped.
    pub fn push(&self, value: T) -> Result<(), RingFault<T>> {
        if self.state.receiver_dropped.load(atomic::Ordering::Acquire) {
            return Err(RingFault::Closed(value));
        }
        self.state.queue.push(value).map_err(RingFault::Full)?;
        self.state.notify.notify_one();
        Ok(())
    }
}

impl<T> RingSender<T> {
    /// Whether the receiver was dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.receiver_dropped.load(atomic::Ordering::Acquire)
    }
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        self.state.senders.fetch_add(1, atomic::Ordering::AcqRel);
        Self {
            state: sync::Arc::clone(&self.state),
        }
    }
}

impl<T> Drop for RingSender<T> {
    fn drop(&mut self) {
        if self.state.senders.fetch_sub(1, atomic::Ordering::AcqRel) == 1 {
            self.state.notify.notify_one();
        }
    }
}

impl<T> RingReceiver<T> {
    /// Takes the oldest value, if there is one.
    #[must_use]
    pub fn try_pop(&self) -> Option<T> {
        self.state.queue.pop()
    }

    /// Waits for the oldest value; `None` once all senders are dropped and the ring is empty.
    pub async fn pop(&self) -> Option<T> {
        loop {
            if let Some(value) = self.state.queue.pop() {
                return Some(value);
            }
            if self.state.senders.load(atomic::Ordering::Acquire) == 0 {
                return self.state.queue.pop();
            }
            self.state.notify.notified().await;
        }
    }
}

impl<T> Drop for RingReceiver<T> {
    fn drop(&mut self) {
        self.state
            .receiver_dropped
            .store(true, atomic::Ordering::Release);
        while self.state.queue.pop().is_some() {}
    }
}
