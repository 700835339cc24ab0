//! Messages between hosts about the limits of customers.

use std::net;

use crate::timer::Moment;

/// A time of the coordinator's clock, which members echo back. It tells the coordinator how long it
/// may use a share, no matter how long a datagram was in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CoordinatorStamp {
    /// The run of the coordinator's process; stamps of other runs are ignored.
    pub run: u64,
    /// Milliseconds on the clock of that run.
    pub at_ms: u64,
}

impl CoordinatorStamp {
    /// The moment on the coordinator's clock.
    #[must_use]
    pub const fn moment(&self) -> Moment {
        Moment(self.at_ms)
    }
}

/// A member leases its share of the limits of one group, or takes it back.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseOffer {
    /// The member's name.
    pub host: String,
    /// The run of the member's process.
    pub run: u64,
    /// Rises with each offer of this run; offers that arrive out of order are ignored.
    pub number: u64,
    /// The group of customers.
    pub group: u8,
    /// The share of all limits that is leased; 0 to take it back.
    pub share: f64,
    /// Whether the initial tokens of this share are still unused and go with it; set in one offer
    /// only.
    pub unused: bool,
    /// The newest stamp that the member received from the coordinator.
    pub stamp: Option<CoordinatorStamp>,
}

/// A coordinator's reply to an offer.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseReply {
    /// The coordinator's name.
    pub host: String,
    /// The coordinator's time.
    pub stamp: CoordinatorStamp,
    /// The group of customers.
    pub group: u8,
    /// The number of the newest offer that the coordinator has read.
    pub number: u64,
    /// Whether the coordinator uses the offered share.
    pub uses: bool,
}

/// A member asks for a token to let one request through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TokenRequest {
    /// Matches the answer to this request.
    pub id: u64,
    /// A hash of the customer's name.
    pub customer: u64,
    /// The requester, if a host that pools nothing has forwarded the request.
    pub reply_to: Option<net::SocketAddr>,
}

/// A coordinator's answer to a token request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TokenAnswer {
    /// The identity of the request.
    pub id: u64,
    /// A hash of the customer's name.
    pub customer: u64,
    /// The decision.
    pub verdict: TokenVerdict,
}

/// Whether a token was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TokenVerdict {
    /// A token was granted.
    Granted,
    /// The pool has no token left.
    Denied {
        /// When it will have one, in milliseconds.
        #[serde(rename = "room_in_ms")]
        available_in_ms: u32,
    },
    /// The host pools no shares for that customer, or does not know it.
    NotHere,
}

/// A datagram about limits.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum LimitMessage {
    /// To a coordinator.
    Offer(LeaseOffer),
    /// To a member.
    Reply(LeaseReply),
    /// To a coordinator.
    Request(TokenRequest),
    /// To a member.
    Answer(TokenAnswer),
}

/// What a host learned before it refused a request because of its customer's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct LimitTrace {
    /// Coordinators that had no token left.
    pub denied: u8,
    /// Coordinators that pool nothing for the customer.
    pub not_here: u8,
    /// Coordinators that did not answer in time.
    pub unanswered: u8,
    /// The number of hosts that this one divides limits by.
    pub hosts: u32,
    /// Whether its own share was leased.
    pub lent: bool,
    /// When a token will be available, in milliseconds, as far as is known.
    #[serde(rename = "room_in_ms")]
    pub available_in_ms: u64,
}

impl LimitTrace {
    /// The number of coordinators that were asked.
    #[must_use]
    pub fn asked(&self) -> usize {
        usize::from(self.denied) + usize::from(self.not_here) + usize::from(self.unanswered)
    }

    /// Counts a coordinator that granted no token; `None` for no answer.
    pub const fn on_verdict(&mut self, verdict: Option<TokenVerdict>) {
        match verdict {
            Some(TokenVerdict::Granted) => {}
            Some(TokenVerdict::Denied { .. }) => self.denied += 1,
            Some(TokenVerdict::NotHere) => self.not_here += 1,
            None => self.unanswered += 1,
        }
    }
}
