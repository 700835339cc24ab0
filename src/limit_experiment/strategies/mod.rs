//! The limit strategies that are compared. Each one is a state machine for a single host.

mod counts;
mod fixed;
mod pooled;

pub use self::counts::CountsStrategy;
pub use self::fixed::FixedStrategy;
pub use self::pooled::PooledStrategy;
use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::timer::Moment;

/// What a host knows of the other hosts.
#[derive(Debug, Clone)]
pub struct HostView {
    /// This host's number.
    pub own: usize,
    /// The number of hosts that limits are divided by.
    pub hosts: u32,
    /// The region of each host.
    pub regions: Vec<usize>,
    /// Whether each host is alive, as far as this one knows.
    pub alive: Vec<bool>,
}

impl HostView {
    /// The name of a host.
    #[must_use]
    pub fn name(host: usize) -> String {
        format!("entry-{host}")
    }

    fn number(name: &str) -> Option<usize> {
        name.strip_prefix("entry-")?.parse().ok()
    }

    fn coordinator(
        &self,
        region: usize,
        group: usize,
        skip: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let hosts = (0..self.regions.len()).filter(|host| self.regions[*host] == region);
        let live = hosts.filter(|host| self.alive[*host]).map(Self::name);
        let rank = |name: &String| hash::mix(hash::of_name(name) ^ hash::mix(group as u64 + 1));
        live.filter(|name| !skip(name)).min_by_key(rank)
    }
}

/// A request at a host.
#[derive(Debug, Clone, Copy)]
pub struct SimRequest {
    /// Identifies the request.
    pub id: u64,
    /// A hash of its customer's name.
    pub customer: u64,
    /// The bound of its customer.
    pub bound: LimitBound,
}

/// A host's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimDecision {
    /// Let it through.
    Admit,
    /// Refuse it.
    Refuse,
    /// Wait for an answer, for at most this many milliseconds.
    Wait(u64),
}

/// An outgoing message.
#[derive(Debug, Clone)]
pub struct SentMessage<M> {
    /// The receiving host.
    pub to: usize,
    /// The message.
    pub message: M,
}

/// A strategy to enforce limits, as one host runs it.
pub trait LimitStrategy {
    /// A message between hosts.
    type Message: Clone + serde::Serialize;

    /// The name in tables.
    const NAME: &'static str;

    /// A host that has just started.
    fn start(own: usize, run: u64, now: Moment) -> Self;

    /// Handles a new request.
    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        out: &mut Vec<SentMessage<Self::Message>>,
    ) -> SimDecision;

    /// Runs the periodic work of a round.
    fn on_round(
        &mut self,
        _view: &HostView,
        _now: Moment,
        _out: &mut Vec<SentMessage<Self::Message>>,
    ) {
    }

    /// Handles a message; returns the request that it decides, and the decision.
    fn on_message(
        &mut self,
        _from: usize,
        _message: &Self::Message,
        _bound_of: &dyn Fn(u64) -> LimitBound,
        _now: Moment,
        _out: &mut Vec<SentMessage<Self::Message>>,
    ) -> Option<(u64, SimDecision)> {
        None
    }

    /// Handles the timeout of a request that was waiting.
    fn on_wait_ended(
        &mut self,
        _request: &SimRequest,
        _now: Moment,
        _out: &mut Vec<SentMessage<Self::Message>>,
    ) -> SimDecision {
        SimDecision::Refuse
    }
}

/// The size of an encoded message including the headers of its datagram, in bytes.
pub(super) fn encoded_size(message: &impl serde::Serialize) -> usize {
    const HEADERS: usize = 28;
    // A message that cannot be encoded is not sent.
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() + HEADERS)
}
