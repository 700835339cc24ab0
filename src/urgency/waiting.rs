//! Patient requests that wait at the host for a slot.
//!
//! **Load pattern.** A burst of patient requests for objects whose servers are full. Sent at once,
//! they would wait in the servers' queues, and every urgent request that follows would wait behind
//! them. At the host, each waits until its server has a slot below the reserved share, in the order
//! in which the requests become late. A request whose slack is nearly used up may also take a
//! reserved slot; at the end of its slack it is sent in any case, so that no route starves.

use std::collections;

use crate::timer::Moment;

/// Number of requests that may wait at one host. More than this cannot be sent within a goal of
/// some seconds by a host that sends a few tens of such requests per second.
const MAX_WAITING: usize = 128;
/// Bytes that all waiting requests of a host may hold together. It is a few percent of the memory
/// of a small host.
const MAX_WAITING_BYTES: usize = 4 << 20;
/// Part of the goal that is left for the wait at a server and for variation of the processing time
/// when a request is sent at the latest. A route's timeout may be no longer than its goal, and the
/// request is then lost if the margin is too short.
const LATEST_START_MARGIN: f64 = 0.25;
/// Part of the goal before the latest start in which a request may take a reserved slot. It is as
/// long as most patient requests hold a slot, so that one becomes free in that time even on a full
/// server.
const RESERVED_SLOT_PART: f64 = 0.2;

/// Identifies a waiting request; ordered by the latest start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket {
    latest_start: Moment,
    number: u64,
}

impl WaitTicket {
    /// The latest moment at which the request can be sent and still meet its goal.
    #[must_use]
    pub const fn latest_start(&self) -> Moment {
        self.latest_start
    }
}

/// The times that limit how long a request may wait at the host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitLimits {
    /// The earliest moment at which the caller may have sent the request.
    pub sent_from: Moment,
    /// The route's goal, in milliseconds.
    pub goal_ms: u64,
    /// When the request must have been answered.
    pub deadline: Moment,
    /// Expected wait at the server, processing time and round trip, in milliseconds.
    pub answer_ms: f64,
}

impl WaitLimits {
    /// The latest moment at which the request can be sent and still meet its goal.
    ///
    /// ```
    /// use ledgespool::timer::Moment;
    /// use ledgespool::urgency::waiting::WaitLimits;
    /// let limits = WaitLimits {
    ///     sent_from: Moment(1_000),
    ///     goal_ms: 8_000,
    ///     deadline: Moment(31_000),
    ///     answer_ms: 2_000.0,
    /// };
    /// assert_eq!(limits.latest_start(), Moment(5_000));
    /// ```
    #[must_use]
    pub fn latest_start(&self) -> Moment {
        let due = self.sent_from.plus(self.goal_ms).min(self.deadline);
        let margin_ms = self.goal_ms as f64 * LATEST_START_MARGIN;
        // The value is positive, and float casts saturate.
        due.before((self.answer_ms + margin_ms) as u64)
            .max(self.sent_from)
    }

    /// From when on the request may take a reserved slot.
    #[must_use]
    pub fn reserved_from(&self) -> Moment {
        let part_ms = self.goal_ms as f64 * RESERVED_SLOT_PART;
        self.latest_start()
            .before(part_ms as u64)
            .max(self.sent_from)
    }
}

/// The slots of a server that are free for a patient request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreeSlot {
    /// A slot below the reserved share.
    Unreserved,
    /// Only reserved slots.
    Reserved,
    /// None.
    Taken,
}

/// The server that a request would be sent to now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceOffer {
    /// Identifies the server.
    pub place: u64,
    /// Its free slots.
    pub free_slot: FreeSlot,
    /// From when on the request may take a reserved slot.
    pub reserved_from: Moment,
}

impl PlaceOffer {
    fn has_slot_at(&self, now: Moment) -> bool {
        match self.free_slot {
            FreeSlot::Unreserved => true,
            FreeSlot::Reserved => now >= self.reserved_from,
            FreeSlot::Taken => false,
        }
    }
}

/// What a patient request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// It is sent to the free slot.
    Send,
    /// It waits.
    Wait,
    /// It waits, and this earlier request takes the free slot.
    LetPass(WaitTicket),
    /// Its slack is used up; it is sent like a request that leaves no slot free.
    SlackEnded,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    place: u64,
    bytes: usize,
}

/// The requests that wait at one host, in the order in which they become late.
///
/// ```
/// use ledgespool::timer::Moment;
/// use ledgespool::urgency::waiting::WaitingLine;
/// let mut line = WaitingLine::default();
/// let later = line.join(7, Moment(900), 100).expect("there is room");
/// let earlier = line.join(7, Moment(500), 100).expect("there is room");
/// assert_eq!(line.first_at(7), Some(earlier));
/// line.leave(earlier);
/// assert_eq!(line.first_at(7), Some(later));
/// ```
#[derive(Debug, Default)]
pub struct WaitingLine {
    requests: collections::BTreeMap<WaitTicket, WaitingRequest>,
    bytes: usize,
    next_number: u64,
}

impl WaitingLine {
    /// Adds a request of `bytes` that waits for a slot at `place`; `None` if the host holds as many
    /// requests or bytes as it may.
    pub fn join(&mut self, place: u64, latest_start: Moment, bytes: usize) -> Option<WaitTicket> {
        if self.requests.len() >= MAX_WAITING || self.bytes + bytes > MAX_WAITING_BYTES {
            return None;
        }
        let ticket = WaitTicket {
            latest_start,
            number: self.next_number,
        };
        self.next_number += 1;
        self.bytes += bytes;
        self.requests
            .insert(ticket, WaitingRequest { place, bytes });
        Some(ticket)
    }

    /// Removes a request that is sent or whose caller has left.
    pub fn leave(&mut self, ticket: WaitTicket) {
        if let Some(request) = self.requests.remove(&ticket) {
            self.bytes -= request.bytes;
        }
    }

    /// The first request that waits for a slot at `place`.
    #[must_use]
    pub fn first_at(&self, place: u64) -> Option<WaitTicket> {
        let mut requests = self.requests.iter();
        let first = requests.find(|(_, request)| request.place == place);
        first.map(|(ticket, _)| *ticket)
    }

    /// Decides what a request does that arrived now.
    #[must_use]
    pub fn on_arrival(
        &self,
        offer: &PlaceOffer,
        latest_start: Moment,
        now: Moment,
    ) -> WaitDecision {
        let arriving = WaitTicket {
            latest_start,
            number: self.next_number,
        };
        self.decide(offer, arriving, now)
    }

    /// Decides what a waiting request does, whose best server may be another one than before.
    pub fn on_wake(&mut self, offer: &PlaceOffer, ticket: WaitTicket, now: Moment) -> WaitDecision {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.place = offer.place;
        }
        self.decide(offer, ticket, now)
    }

    fn decide(&self, offer: &PlaceOffer, ticket: WaitTicket, now: Moment) -> WaitDecision {
        let earlier = self.first_at(offer.place).filter(|first| *first < ticket);
        match (offer.has_slot_at(now), earlier) {
            (true, None) => WaitDecision::Send,
            _ if now >= ticket.latest_start => WaitDecision::SlackEnded,
            (true, Some(first)) => WaitDecision::LetPass(first),
            (false, _) => WaitDecision::Wait,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
