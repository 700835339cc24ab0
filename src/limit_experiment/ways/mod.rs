//! The ways to keep a limit that are compared. Each is a state machine for one host.

use std::collections;

use super::fixed_parts::{FixedParts, FixedVerdict};
use super::fixed_share::HostShare;
use crate::entry::hash;
use crate::entry::limits::grantor::LimitGrantor;
use crate::entry::limits::member::{GrantorList, LimitMember, RightStep};
use crate::entry::limits::message::{LimitMessage, RightAnswer, RightRequest, RightVerdict};
use crate::entry::limits::{self, FAR_WAIT_MS, GROUPS, LimitBound, MOST_ASKED, NEAR_WAIT_MS};
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
    type Message: Clone;

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
    fn on_round(&mut self, view: &HostView, now: Moment, out: &mut Vec<SentMessage<Self::Message>>);

    /// A message has come; returns the requests that it decides.
    fn on_message(
        &mut self,
        from: usize,
        message: &Self::Message,
        bound_of: &dyn Fn(u64) -> LimitBound,
        now: Moment,
        out: &mut Vec<SentMessage<Self::Message>>,
    ) -> Option<(u64, SimDecision)>;

    /// A request has waited as long as it was told to.
    fn on_waited(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        out: &mut Vec<SentMessage<Self::Message>>,
    ) -> SimDecision;

    /// The size of a message as it is sent, in bytes.
    fn size(message: &Self::Message) -> usize;
}

/// Each host goes by its own part alone.
#[derive(Debug)]
pub struct FixedWay {
    parts: FixedParts,
}

impl LimitWay for FixedWay {
    type Message = ();

    const NAME: &'static str = "fixed parts";

    fn start(_own: usize, _run: u64, _now: Moment) -> Self {
        Self {
            parts: FixedParts::default(),
        }
    }

    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        _out: &mut Vec<SentMessage<()>>,
    ) -> SimDecision {
        let name = |host| hash::of_name(&HostView::name(host));
        let others = (0..view.regions.len()).filter(|host| *host != view.own);
        let others: Vec<u64> = others.map(name).collect();
        let share = HostShare {
            hosts: view.hosts,
            own_hash: name(view.own),
            other_hashes: &others,
        };
        let customer = format!("{:x}", request.customer);
        match self.parts.admit(&customer, &request.bound, &share, now) {
            FixedVerdict::Admitted => SimDecision::Admit,
            FixedVerdict::Refused { .. } => SimDecision::Refuse,
        }
    }

    fn on_round(&mut self, _view: &HostView, _now: Moment, _out: &mut Vec<SentMessage<()>>) {}

    fn on_message(
        &mut self,
        _from: usize,
        (): &(),
        _bound_of: &dyn Fn(u64) -> LimitBound,
        _now: Moment,
        _out: &mut Vec<SentMessage<()>>,
    ) -> Option<(u64, SimDecision)> {
        None
    }

    fn on_waited(
        &mut self,
        _request: &SimRequest,
        _view: &HostView,
        _now: Moment,
        _out: &mut Vec<SentMessage<()>>,
    ) -> SimDecision {
        SimDecision::Refuse
    }

    fn size((): &()) -> usize {
        0
    }
}

/// What a host let through in one round.
#[derive(Debug, Clone, serde::Serialize)]
pub struct CountNews {
    counts: Vec<(u64, u32)>,
}

/// Every host tells all others what it let through; each lets through until the sum that it knows
/// reaches the limit. One that has not heard from some lets through its share only.
#[derive(Debug)]
pub struct CountsWay {
    own: usize,
    untold: collections::BTreeMap<u64, u32>,
    known: collections::HashMap<u64, collections::VecDeque<(Moment, u32)>>,
    heard: collections::HashMap<usize, Moment>,
}

impl CountsWay {
    /// Others count as heard for this long, in milliseconds.
    const HEARD_MS: u64 = 1_000;

    fn add(&mut self, customer: u64, count: u32, now: Moment) {
        self.known
            .entry(customer)
            .or_default()
            .push_back((now, count));
    }

    fn sum(&mut self, customer: u64, window_ms: u64, now: Moment) -> f64 {
        let known = self.known.entry(customer).or_default();
        while known
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window_ms)
        {
            known.pop_front();
        }
        known.iter().map(|(_, count)| f64::from(*count)).sum()
    }
}

impl LimitWay for CountsWay {
    type Message = CountNews;

    const NAME: &'static str = "counts told";

    fn start(own: usize, _run: u64, _now: Moment) -> Self {
        Self {
            own,
            untold: collections::BTreeMap::new(),
            known: collections::HashMap::new(),
            heard: collections::HashMap::new(),
        }
    }

    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        _out: &mut Vec<SentMessage<CountNews>>,
    ) -> SimDecision {
        let bound = &request.bound;
        let window_ms = (bound.tolerance.window_s * 1_000.0) as u64;
        let heard = self.heard.values();
        let heard = heard.filter(|at| now.since(**at) <= Self::HEARD_MS).count();
        let share = ((heard + 1) as f64 / f64::from(view.hosts)).min(1.0);
        let most = (bound.limit.per_s * bound.tolerance.window_s + bound.limit.burst) * share;
        if self.sum(request.customer, window_ms, now) + 1.0 > most {
            return SimDecision::Refuse;
        }
        self.add(request.customer, 1, now);
        *self.untold.entry(request.customer).or_default() += 1;
        SimDecision::Admit
    }

    fn on_round(&mut self, view: &HostView, _now: Moment, out: &mut Vec<SentMessage<CountNews>>) {
        let counts = std::mem::take(&mut self.untold).into_iter().collect();
        let news = CountNews { counts };
        for to in (0..view.lives.len()).filter(|to| *to != self.own && view.lives[*to]) {
            out.push(SentMessage {
                to,
                message: news.clone(),
            });
        }
    }

    fn on_message(
        &mut self,
        from: usize,
        message: &CountNews,
        _bound_of: &dyn Fn(u64) -> LimitBound,
        now: Moment,
        _out: &mut Vec<SentMessage<CountNews>>,
    ) -> Option<(u64, SimDecision)> {
        self.heard.insert(from, now);
        for (customer, count) in &message.counts {
            self.add(*customer, *count, now);
        }
        None
    }

    fn on_waited(
        &mut self,
        _request: &SimRequest,
        _view: &HostView,
        _now: Moment,
        _out: &mut Vec<SentMessage<CountNews>>,
    ) -> SimDecision {
        SimDecision::Refuse
    }

    fn size(message: &CountNews) -> usize {
        encoded_size(message)
    }
}

/// Rights that move: parts are lent to grantors, which hand single rights out.
#[derive(Debug)]
pub struct PooledWay {
    own: usize,
    member: LimitMember,
    grantor: LimitGrantor,
    lists: [GrantorList; GROUPS],
    waiting: collections::HashMap<u64, WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    request: SimRequest,
    asked: usize,
    grantor: String,
}

impl PooledWay {
    fn look_up_grantors(&mut self, view: &HostView, now: Moment) {
        let region = view.regions[view.own];
        let regions = 1 + view.regions.iter().copied().max().unwrap_or(0);
        let member = &self.member;
        self.lists = std::array::from_fn(|group| {
            let order =
                std::iter::once(region).chain((0..regions).filter(|other| *other != region));
            let skip = |name: &str| member.passes_over(name, now);
            GrantorList {
                names: order
                    .filter_map(|region| view.grantor(region, group, skip))
                    .collect(),
            }
        });
    }

    fn go_on(
        &mut self,
        request: &SimRequest,
        mut asked: usize,
        now: Moment,
        out: &mut Vec<SentMessage<LimitMessage>>,
    ) -> SimDecision {
        let list = self.lists[limits::group_of(request.customer)].clone();
        loop {
            let customer = request.customer;
            let step = self
                .member
                .next_step(customer, &request.bound, &list, asked, now);
            let grantor = match step {
                RightStep::Admit => return SimDecision::Admit,
                RightStep::Ask(grantor) if asked < MOST_ASKED => grantor,
                RightStep::Ask(_) | RightStep::Refuse { .. } => return SimDecision::Refuse,
            };
            asked += 1;
            let to = HostView::number(&grantor).unwrap_or(self.own);
            if to == self.own {
                let verdict = self.grantor.grant(customer, &request.bound, now);
                self.member.on_verdict(&grantor, customer, verdict, now);
                if verdict == RightVerdict::Granted {
                    return SimDecision::Admit;
                }
                continue;
            }
            let id = request.id;
            out.push(SentMessage {
                to,
                message: LimitMessage::Request(RightRequest {
                    id,
                    customer,
                    reply_to: None,
                }),
            });
            let is_near = list.is_nearest(&grantor);
            let waiting = WaitingRequest {
                request: *request,
                asked,
                grantor,
            };
            self.waiting.insert(id, waiting);
            return SimDecision::Wait(if is_near { NEAR_WAIT_MS } else { FAR_WAIT_MS });
        }
    }
}

impl LimitWay for PooledWay {
    type Message = LimitMessage;

    const NAME: &'static str = "rights that move";

    fn start(own: usize, run: u64, _now: Moment) -> Self {
        let name = HostView::name(own);
        Self {
            own,
            member: LimitMember::with_name(&name, run),
            grantor: LimitGrantor::with_name(&name, run),
            lists: std::array::from_fn(|_| GrantorList::default()),
            waiting: collections::HashMap::new(),
        }
    }

    fn on_request(
        &mut self,
        request: &SimRequest,
        _view: &HostView,
        now: Moment,
        out: &mut Vec<SentMessage<LimitMessage>>,
    ) -> SimDecision {
        self.go_on(request, 0, now, out)
    }

    fn on_round(&mut self, view: &HostView, now: Moment, out: &mut Vec<SentMessage<LimitMessage>>) {
        self.look_up_grantors(view, now);
        let region = view.regions[view.own];
        let first: Vec<Option<String>> = (0..GROUPS)
            .map(|group| {
                let member = &self.member;
                view.grantor(region, group, |name| member.passes_over(name, now))
            })
            .collect();
        let wanted = std::array::from_fn(|group| first[group].as_deref());
        for offer in self.member.round(view.hosts, wanted, now) {
            let to = HostView::number(&offer.to).unwrap_or(self.own);
            let message = LimitMessage::Offer(offer.offer);
            out.push(SentMessage { to, message });
        }
    }

    fn on_message(
        &mut self,
        from: usize,
        message: &LimitMessage,
        bound_of: &dyn Fn(u64) -> LimitBound,
        now: Moment,
        out: &mut Vec<SentMessage<LimitMessage>>,
    ) -> Option<(u64, SimDecision)> {
        match message {
            LimitMessage::Offer(offer) => {
                let reply = self.grantor.on_offer(offer, now)?;
                out.push(SentMessage {
                    to: from,
                    message: LimitMessage::Reply(reply),
                });
                None
            }
            LimitMessage::Reply(reply) => {
                let next = self.member.on_reply(reply, now)?;
                out.push(SentMessage {
                    to: from,
                    message: LimitMessage::Offer(next.offer),
                });
                None
            }
            LimitMessage::Request(request) => {
                let bound = bound_of(request.customer);
                let verdict = self.grantor.grant(request.customer, &bound, now);
                out.push(SentMessage {
                    to: from,
                    message: LimitMessage::Answer(RightAnswer {
                        id: request.id,
                        customer: request.customer,
                        verdict,
                    }),
                });
                None
            }
            LimitMessage::Answer(answer) => {
                let is_due = self.waiting.get(&answer.id);
                is_due.filter(|waiting| HostView::number(&waiting.grantor) == Some(from))?;
                let waiting = self.waiting.remove(&answer.id)?;
                let verdict = answer.verdict;
                self.member
                    .on_verdict(&waiting.grantor, answer.customer, verdict, now);
                if verdict == RightVerdict::Granted {
                    return Some((answer.id, SimDecision::Admit));
                }
                let decision = self.go_on(&waiting.request, waiting.asked, now, out);
                Some((answer.id, decision))
            }
        }
    }

    fn on_waited(
        &mut self,
        request: &SimRequest,
        _view: &HostView,
        now: Moment,
        out: &mut Vec<SentMessage<LimitMessage>>,
    ) -> SimDecision {
        let Some(waiting) = self.waiting.remove(&request.id) else {
            return SimDecision::Refuse;
        };
        self.member.on_unanswered(&waiting.grantor, now);
        self.go_on(request, waiting.asked, now, out)
    }

    fn size(message: &LimitMessage) -> usize {
        encoded_size(message)
    }
}

/// The size of a message in the form that hosts speak, with the headers of its datagram, in bytes.
fn encoded_size(message: &impl serde::Serialize) -> usize {
    const HEADERS: usize = 28;
    // A message that cannot be written is not sent.
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() + HEADERS)
}
