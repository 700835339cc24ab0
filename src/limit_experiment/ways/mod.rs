//! The ways to keep a limit that are compared. Each is a state machine for one host.

mod counts;
mod fixed;
mod pooled;

pub use self::counts::CountsWay;
pub use self::fixed::FixedWay;
pub use self::pooled::PooledWay;
use crate::entry::hash;
use crate::entry::limits::LimitBound;
use crate::timer::Moment;

/// What a host knows of the others.
#[derive(Debug, Clone)]
pub struct HostView {
    /// Its number.
    pub own: usize,
    /// All hosts that limits are divided by.
    pub hosts: u32,
    /// The region of each host.
    pub regions: Vec<usize>,
    /// Whether each lives, as far as this one knows.
    pub lives: Vec<bool>,
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

    fn grantor(&self, region: usize, group: usize, skip: impl Fn(&str) -> bool) -> Option<String> {
        let hosts = (0..self.regions.len()).filter(|host| self.regions[*host] == region);
        let live = hosts.filter(|host| self.lives[*host]).map(Self::name);
        let rank = |name: &String| hash::mix(hash::of_name(name) ^ hash::mix(group as u64 + 1));
        live.filter(|name| !skip(name)).min_by_key(rank)
    }
}

/// A request at a host.
#[derive(Debug, Clone, Copy)]
pub struct SimRequest {
    /// Tells it apart.
    pub id: u64,
    /// A hash of its customer's name.
    pub customer: u64,
    /// The bound of its customer.
    pub bound: LimitBound,
}

/// What a host does about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimDecision {
    /// It lets it through.
    Admit,
    /// It refuses it.
    Refuse,
    /// It waits for an answer, and until then at most so long, in milliseconds.
    Wait(u64),
}

/// A message on its way.
#[derive(Debug, Clone)]
pub struct SentMessage<M> {
    /// The host that gets it.
    pub to: usize,
    /// The message.
    pub message: M,
}

/// One way to keep limits, as one host does it.
pub trait LimitWay {
    /// What hosts say to each other.
    type Message: Clone + serde::Serialize;

    /// The name in tables.
    const NAME: &'static str;

    /// A host that has just started.
    fn start(own: usize, run: u64, now: Moment) -> Self;

    /// A request has come.
    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        out: &mut Vec<SentMessage<Self::Message>>,
    ) -> SimDecision;

    /// A round is due.
    fn on_round(
        &mut self,
        _view: &HostView,
        _now: Moment,
        _out: &mut Vec<SentMessage<Self::Message>>,
    ) {
    }

    /// A message has come; returns the request that it decides.
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

    /// A request has waited as long as it was told to.
    fn on_waited(
        &mut self,
        _request: &SimRequest,
        _now: Moment,
        _out: &mut Vec<SentMessage<Self::Message>>,
    ) -> SimDecision {
        SimDecision::Refuse
    }
}

/// The size of a message in the form that hosts speak, with the headers of its datagram, in bytes.
pub(super) fn encoded_size(message: &impl serde::Serialize) -> usize {
    const HEADERS: usize = 28;
    // A message that cannot be written is not sent.
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() + HEADERS)
}
