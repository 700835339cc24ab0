//! What hosts say to each other about the limits of customers.

use std::net;

use crate::timer::Moment;

/// The time of a grantor's clock, which its members send back: by it the grantor knows how long it
/// may use a part, however long a datagram was on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantorStamp {
    /// The run of the grantor's process; a stamp of another run counts nothing.
    pub run: u64,
    /// Milliseconds of that run.
    pub at_ms: u64,
}

impl GrantorStamp {
    /// The moment on the grantor's clock.
    #[must_use]
    pub const fn moment(&self) -> Moment {
        Moment(self.at_ms)
    }
}

/// A member lends its part of the limits of one group, or takes it back.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseOffer {
    /// The member's name.
    pub host: String,
    /// The run of its process.
    pub run: u64,
    /// Rises with each offer of this run; an offer that arrives late changes nothing.
    pub number: u64,
    /// The group of customers.
    pub group: u8,
    /// The part of all limits that it lends; 0 to take it back.
    pub share: f64,
    /// Whether the start share of this part, of which nothing was used yet, goes with it; said once.
    pub unused: bool,
    /// The last stamp of the grantor that it got.
    pub stamp: Option<GrantorStamp>,
}

/// A grantor has read an offer.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseReply {
    /// The grantor's name.
    pub host: String,
    /// Its time.
    pub stamp: GrantorStamp,
    /// The group of customers.
    pub group: u8,
    /// The number of the offer that it read last.
    pub number: u64,
    /// Whether it uses the part that was offered.
    pub uses: bool,
}

/// A member asks for the right to let one request through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RightRequest {
    /// Tells the answer to this one apart.
    pub id: u64,
    /// A hash of the customer's name.
    pub customer: u64,
    /// Who asked, where a host that pools nothing has passed the question on.
    pub reply_to: Option<net::SocketAddr>,
}

/// What a grantor answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RightAnswer {
    /// The identity of the request.
    pub id: u64,
    /// The customer.
    pub customer: u64,
    /// What was decided.
    pub verdict: RightVerdict,
}

/// Whether a right was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RightVerdict {
    /// It was.
    Granted,
    /// Its pool has none.
    Denied {
        /// When it will, in milliseconds.
        room_in_ms: u32,
    },
    /// It pools no parts for that customer, or does not know it.
    NotHere,
}

/// A datagram about limits.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum LimitMessage {
    /// To a grantor.
    Offer(LeaseOffer),
    /// To a member.
    Reply(LeaseReply),
    /// To a grantor.
    Request(RightRequest),
    /// To a member.
    Answer(RightAnswer),
}

/// What a host found out before it refused a request for its customer's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct LimitTrace {
    /// Grantors that had no right left.
    pub denied: u8,
    /// Grantors that pool nothing for the customer.
    pub not_here: u8,
    /// Grantors that did not answer in time.
    pub unanswered: u8,
    /// All hosts that this one divides limits by.
    pub hosts: u32,
    /// Whether its own part was lent.
    pub lent: bool,
    /// When there is room, in milliseconds, as far as is known.
    pub room_in_ms: u64,
}

impl LimitTrace {
    /// Grantors that were asked.
    #[must_use]
    pub fn asked(&self) -> usize {
        usize::from(self.denied) + usize::from(self.not_here) + usize::from(self.unanswered)
    }

    /// A grantor was asked in vain; `None` for no answer.
    pub const fn on_verdict(&mut self, verdict: Option<RightVerdict>) {
        match verdict {
            Some(RightVerdict::Granted) => {}
            Some(RightVerdict::Denied { .. }) => self.denied += 1,
            Some(RightVerdict::NotHere) => self.not_here += 1,
            None => self.unanswered += 1,
        }
    }
}
