//! The bodies that are arriving, of which one yields its memory when others need it.
//!
//! A caller may send all but the end of a body and stay. Its request has not run, so it can be
//! refused at any time.

use std::{cell, collections, rc};

use tokio::sync::Notify;

use super::body_buffer::BodyBuffer;
use crate::byte_account::{ByteAccount, HeldBytes};
use crate::request_body::RequestBody;
use crate::timer::Moment;

/// A body that has been arriving for a shorter time does not yield, in milliseconds. Most bodies are
/// complete by then.
const MIN_YIELD_AGE_MS: u64 = 1_000;

/// All bodies that are arriving at a host.
///
/// ```
/// use ledgespool::byte_account::ByteAccount;
/// use ledgespool::entry::arriving_bodies::ArrivingBodies;
/// use ledgespool::timer::Moment;
/// let (account, bodies) = (ByteAccount::default(), ArrivingBodies::default());
/// let first = bodies.begin(None, &account, Moment(0));
/// assert!(first.push(b"line", u64::MAX));
/// assert!(account.held() > 0);
/// assert!(!bodies.yield_oldest(Moment(900)), "it has just begun");
/// assert!(bodies.yield_oldest(Moment(1_000)));
/// assert_eq!(account.held(), 0);
/// assert!(first.complete().is_none());
/// ```
#[derive(Debug, Default)]
pub struct ArrivingBodies {
    next: cell::Cell<u64>,
    /// In the order in which they began.
    bodies: rc::Rc<cell::RefCell<BodyMap>>,
}

type BodyMap = collections::BTreeMap<u64, rc::Rc<BodyState>>;

#[derive(Debug)]
struct BodyState {
    began: Moment,
    /// `None` after it has yielded.
    content: cell::RefCell<Option<BodyContent>>,
    yielded: Notify,
}

#[derive(Debug)]
struct BodyContent {
    buffer: BodyBuffer,
    held: HeldBytes,
}

impl ArrivingBodies {
    /// Adds a body of this stated length, in bytes, whose memory is counted in `account`.
    #[must_use]
    pub fn begin(&self, stated: Option<usize>, account: &ByteAccount, now: Moment) -> ArrivingBody {
        let number = self.next.replace(self.next.get() + 1);
        let content = BodyContent {
            buffer: BodyBuffer::with_length(stated),
            held: account.hold_none(),
        };
        let state = rc::Rc::new(BodyState {
            began: now,
            content: cell::RefCell::new(Some(content)),
            yielded: Notify::new(),
        });
        let mut bodies = self.bodies.borrow_mut();
        bodies.insert(number, rc::Rc::clone(&state));
        ArrivingBody {
            bodies: rc::Rc::clone(&self.bodies),
            number,
            state,
        }
    }

    /// Gives back the memory of the body that has been arriving for the longest time; returns
    /// whether there is one.
    pub fn yield_oldest(&self, now: Moment) -> bool {
        let bodies = self.bodies.borrow();
        let mut old = bodies
            .values()
            .take_while(|body| now.since(body.began) >= MIN_YIELD_AGE_MS);
        let yielding = old.find(|body| body.holds_memory());
        if let Some(body) = yielding {
            body.content.borrow_mut().take();
            body.yielded.notify_one();
        }
        yielding.is_some()
    }

    /// The number of bodies that are arriving.
    #[must_use]
    pub fn count(&self) -> usize {
        self.bodies.borrow().len()
    }
}

impl BodyState {
    fn holds_memory(&self) -> bool {
        let content = self.content.borrow();
        content
            .as_ref()
            .is_some_and(|content| content.held.bytes() > 0)
    }
}

/// A body that is arriving, until the value is dropped.
#[derive(Debug)]
pub struct ArrivingBody {
    bodies: rc::Rc<cell::RefCell<BodyMap>>,
    number: u64,
    state: rc::Rc<BodyState>,
}

impl ArrivingBody {
    /// The number of bytes that have arrived; `None` if it has yielded.
    #[must_use]
    pub fn arrived_bytes(&self) -> Option<usize> {
        let content = self.state.content.borrow();
        content.as_ref().map(|content| content.buffer.len())
    }

    /// Adds the piece that arrives next, unless it needs memory and more than `limit` bytes would be
    /// held in all; returns whether it was added.
    #[must_use]
    pub fn push(&self, piece: &[u8], limit: u64) -> bool {
        let mut content = self.state.content.borrow_mut();
        let Some(content) = content.as_mut() else {
            return false;
        };
        let growth = content.buffer.growth_for(piece.len()) as u64;
        let fits = growth == 0 || content.held.try_grow(growth, limit);
        if fits {
            content.buffer.push(piece);
        }
        fits
    }

    /// Waits until it has yielded.
    pub async fn yielded(&self) {
        self.state.yielded.notified().await;
    }

    /// The complete body, whose memory stays counted; `None` if it has yielded.
    #[must_use]
    pub fn complete(self) -> Option<RequestBody> {
        let content = self.state.content.borrow_mut().take()?;
        Some(content.buffer.into_body().counted(content.held))
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.bodies.borrow_mut().remove(&self.number);
    }
}
