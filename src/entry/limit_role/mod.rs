//! What the limits of customers say of this host's requests, and its part in keeping them: it joins
//! the state machines of [`limits`] to the sockets and the clock.

use std::{cell, collections, net, rc, time};

use rand::Rng as _;
use tokio::sync::oneshot;

use super::customer::{CustomerRule, CustomerTable};
use super::host::EntryHost;
use super::limits::grantor::LimitGrantor;
use super::limits::member::{AddressedOffer, GrantorList, LimitMember, RightStep};
use super::limits::message::{LimitMessage, LimitTrace, RightAnswer, RightRequest, RightVerdict};
use super::limits::{self, GROUPS, LimitBound, LimitTolerance, RIGHT_LIFE_MS, ROUND_MS};
use super::peer_message::PeerMessage;
use super::peers::GrantorPlace;
use super::request_failure::RequestFailure;
use super::wire::WireProtocol;
use super::{gossip, hash};

/// Come-back times lie between these multiples of the time until there is room again, so that
/// those who were refused together do not come back together.
const COME_BACK_SHARES: std::ops::Range<f64> = 1.0..2.0;
/// The shortest come-back time, in milliseconds: about what other requests of a busy customer take
/// to move on.
const COME_BACK_MIN_MS: f64 = 50.0;
/// Grantors that are asked for one request at most: with the second one the wait stays below a quarter
/// of a usual aim.
const MOST_ASKED: usize = 2;
/// The longest wait for the answer of a grantor of the own region: some ways there and back, and the
/// turn of a small host's processor, which may take a tenth of a second.
const NEAR_WAIT: time::Duration = time::Duration::from_millis(120);
/// The same in another region; a right is good for little longer.
const FAR_WAIT: time::Duration = time::Duration::from_millis(200);

/// This host's part in keeping limits.
#[derive(Debug)]
pub struct LimitRole {
    member: cell::RefCell<LimitMember>,
    grantor: cell::RefCell<LimitGrantor>,
    lists: cell::RefCell<[GrantorList; GROUPS]>,
    places: cell::RefCell<collections::HashMap<String, net::SocketAddr>>,
    waiting: cell::RefCell<rustc_hash::FxHashMap<u64, oneshot::Sender<RightVerdict>>>,
    next_id: cell::Cell<u64>,
}

impl LimitRole {
    /// The role of a host that has met no other yet.
    #[must_use]
    pub fn of_host(name: &str, run: u64) -> Self {
        Self {
            member: cell::RefCell::new(LimitMember::with_name(name, run)),
            grantor: cell::RefCell::new(LimitGrantor::with_name(name, run)),
            lists: cell::RefCell::default(),
            places: cell::RefCell::default(),
            waiting: cell::RefCell::default(),
            next_id: cell::Cell::new(0),
        }
    }

    /// An identity for one question, and its answer.
    fn expect_answer(&self) -> (u64, oneshot::Receiver<RightVerdict>) {
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        (id, receiver)
    }
}

/// Starts the rounds in which this host lends its parts.
pub(super) fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) {
    tokio::task::spawn_local(lend_in_rounds(rc::Rc::clone(host)));
}

async fn lend_in_rounds<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut rounds = tokio::time::interval(time::Duration::from_millis(ROUND_MS));
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        if host.has_limits() {
            host.lend_parts();
        }
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Lets one request of `customer` through, or says when there is room for it.
    pub(super) async fn admit(&self, customer: &CustomerRule) -> Result<(), RequestFailure> {
        let Some(bound) = self.limit_bound(customer) else {
            return Ok(());
        };
        let name = hash::of_name(&customer.name);
        let group = limits::group_of(name);
        let mut trace = LimitTrace::default();
        loop {
            let asked = trace.asked();
            let step = {
                let lists = self.limits.lists.borrow();
                let mut member = self.limits.member.borrow_mut();
                member.next_step(name, &bound, &lists[group], asked, self.now())
            };
            match step {
                RightStep::Admit => return Ok(()),
                RightStep::Refuse { room_in_ms } => {
                    trace.room_in_ms = room_in_ms;
                    return Err(self.over_limit(group, trace));
                }
                RightStep::Ask(_) if asked >= MOST_ASKED => {
                    return Err(self.over_limit(group, trace));
                }
                RightStep::Ask(grantor) => {
                    let verdict = self.ask(&grantor, name, &bound).await;
                    if verdict == Some(RightVerdict::Granted) {
                        return Ok(());
                    }
                    trace.on_verdict(verdict);
                }
            }
        }
    }

    /// Asks a grantor for a right; `None` when it does not answer in time.
    async fn ask(&self, grantor: &str, customer: u64, bound: &LimitBound) -> Option<RightVerdict> {
        let verdict = if grantor == self.settings().name {
            let mut own = self.limits.grantor.borrow_mut();
            Some(own.grant(customer, bound, self.now()))
        } else {
            self.ask_other(grantor, customer).await
        };
        let mut member = self.limits.member.borrow_mut();
        match verdict {
            Some(verdict) => member.on_verdict(grantor, customer, verdict, self.now()),
            None => member.on_unanswered(grantor, self.now()),
        }
        verdict
    }

    async fn ask_other(&self, grantor: &str, customer: u64) -> Option<RightVerdict> {
        let address = self.limits.places.borrow().get(grantor).copied()?;
        let is_near = {
            let lists = self.limits.lists.borrow();
            lists[limits::group_of(customer)]
                .names
                .first()
                .map(String::as_str)
                == Some(grantor)
        };
        let asked_at = self.now();
        let (id, mut answer) = self.limits.expect_answer();
        let request = LimitMessage::Request(RightRequest {
            id,
            customer,
            reply_to: None,
        });
        gossip::send(self, &PeerMessage::Limit(request), &[address]);
        let wait = if is_near { NEAR_WAIT } else { FAR_WAIT };
        let verdict = match tokio::time::timeout(wait, &mut answer).await {
            Ok(verdict) => verdict.ok(),
            Err(_elapsed) => {
                // Where this host itself had no turn, the answer lies in the socket's queue: others go first.
                tokio::task::yield_now().await;
                answer.try_recv().ok()
            }
        };
        self.limits.waiting.borrow_mut().remove(&id);
        let is_late = self.now().since(asked_at) > RIGHT_LIFE_MS;
        verdict.filter(|verdict| !is_late || *verdict != RightVerdict::Granted)
    }

    fn over_limit(&self, group: usize, trace: LimitTrace) -> RequestFailure {
        let now = self.now();
        let spread = self.random.borrow_mut().random_range(COME_BACK_SHARES);
        let millis = (trace.room_in_ms as f64 * spread).max(COME_BACK_MIN_MS);
        let member = self.limits.member.borrow();
        let trace = LimitTrace {
            hosts: member.hosts(),
            lent: member.has_lent(group, now),
            ..trace
        };
        // A float cast saturates, and the value is positive.
        RequestFailure::over_limit(millis as u64, trace)
    }

    fn limit_bound(&self, customer: &CustomerRule) -> Option<LimitBound> {
        let bounds = self.settings().bounds;
        let limit = customer.limit?;
        Some(LimitBound {
            limit,
            tolerance: LimitTolerance {
                window_s: bounds.limit_window.as_secs_f64(),
                excess: bounds.limit_excess,
                slack: bounds.limit_slack,
            },
        })
    }

    fn has_limits(&self) -> bool {
        let routes = self.routes();
        let customers = routes.as_ref().and_then(|routes| routes.customers());
        customers.is_some_and(CustomerTable::has_limits)
    }

    /// One round: who pools what is looked up anew, and this host's parts are offered.
    fn lend_parts(&self) {
        let now = self.now();
        let own_name = self.settings().name.clone();
        let own_region = self.settings().region.clone();
        let places = self.grantor_places(&own_region);
        let wanted: [Option<&str>; GROUPS] = std::array::from_fn(|group| {
            let near = places[group].first().and_then(Option::as_ref);
            near.map(|place| place.name.as_str())
        });
        let settings = self.settings();
        let regions = settings.halls.regions().into_iter();
        let hosts = self.peers.borrow().limit_hosts(&own_region, regions);
        let offers = self.limits.member.borrow_mut().round(hosts, wanted, now);
        self.learn_places(&places);
        for offer in offers {
            self.send_offer(&own_name, offer);
        }
    }

    /// The grantors of each group: the own region's first, then those of the others.
    fn grantor_places(&self, own_region: &str) -> [Vec<Option<GrantorPlace>>; GROUPS] {
        let now = self.now();
        let own = self.record();
        let own = (!self.is_leaving()).then_some(&own);
        let peers = self.peers.borrow();
        let member = self.limits.member.borrow();
        let settings = self.settings();
        let others = settings.halls.regions();
        let others = others.into_iter().filter(|region| *region != own_region);
        let regions: Vec<&str> = std::iter::once(own_region).chain(others).collect();
        std::array::from_fn(|group| {
            let passes_over = |name: &str| member.passes_over(name, now);
            let place = |region: &&str| peers.grantor_of(region, group, own, passes_over, now);
            regions.iter().map(place).collect()
        })
    }

    fn learn_places(&self, places: &[Vec<Option<GrantorPlace>>; GROUPS]) {
        let mut lists = self.limits.lists.borrow_mut();
        let mut known = self.limits.places.borrow_mut();
        known.clear();
        for (list, places) in lists.iter_mut().zip(places) {
            let places = places.iter().flatten();
            known.extend(
                places
                    .clone()
                    .map(|place| (place.name.clone(), place.address)),
            );
            list.names = places.map(|place| place.name.clone()).collect();
        }
    }

    fn send_offer(&self, own_name: &str, offer: AddressedOffer) {
        let now = self.now();
        if offer.to == own_name {
            let reply = self.limits.grantor.borrow_mut().on_offer(&offer.offer, now);
            let next = reply.and_then(|reply| {
                let mut member = self.limits.member.borrow_mut();
                member.on_reply(&reply, now)
            });
            if let Some(next) = next {
                let _reply = self.limits.grantor.borrow_mut().on_offer(&next.offer, now);
            }
            return;
        }
        let address = self.limits.places.borrow().get(&offer.to).copied();
        let address = address.or_else(|| self.peers.borrow().heartbeat_address(&offer.to));
        if let Some(address) = address {
            let message = LimitMessage::Offer(offer.offer);
            gossip::send(self, &PeerMessage::Limit(message), &[address]);
        }
    }

    /// This host is about to stop: those that lent it their parts get them back.
    pub(super) fn stop_granting(&self) {
        self.limits.grantor.borrow_mut().stop(self.now());
    }

    /// Where the other host of this region is that pools the limit of a customer.
    fn near_grantor(&self, customer: u64) -> Option<net::SocketAddr> {
        let lists = self.limits.lists.borrow();
        let name = lists[limits::group_of(customer)].names.first()?;
        let places = self.limits.places.borrow();
        let address = places.get(name).copied();
        address.filter(|_| *name != self.settings().name)
    }

    fn answer_request(&self, request: RightRequest) -> RightAnswer {
        let routes = self.routes();
        let customers = routes.as_ref().and_then(|routes| routes.customers());
        let customer = customers.and_then(|customers| customers.named(request.customer));
        let bound = customer.and_then(|customer| self.limit_bound(customer));
        let verdict = bound.map_or(RightVerdict::NotHere, |bound| {
            let mut grantor = self.limits.grantor.borrow_mut();
            grantor.grant(request.customer, &bound, self.now())
        });
        RightAnswer {
            id: request.id,
            customer: request.customer,
            verdict,
        }
    }
}

/// Another host says something about limits.
pub(super) fn on_message<W: WireProtocol>(
    host: &EntryHost<W>,
    message: LimitMessage,
    source: net::SocketAddr,
) {
    let now = host.now();
    match message {
        LimitMessage::Offer(offer) => {
            let reply = host.limits.grantor.borrow_mut().on_offer(&offer, now);
            if let Some(reply) = reply {
                let message = LimitMessage::Reply(reply);
                gossip::send(host, &PeerMessage::Limit(message), &[source]);
            }
        }
        LimitMessage::Reply(reply) => {
            let next = host.limits.member.borrow_mut().on_reply(&reply, now);
            if let Some(next) = next {
                let message = LimitMessage::Offer(next.offer);
                gossip::send(host, &PeerMessage::Limit(message), &[source]);
            }
        }
        LimitMessage::Request(request) => on_request(host, request, source),
        LimitMessage::Answer(answer) => {
            let waiting = host.limits.waiting.borrow_mut().remove(&answer.id);
            if let Some(waiting) = waiting {
                // Who asked may have given up.
                let _given_up = waiting.send(answer.verdict);
            }
        }
    }
}

/// Answers a question, or passes it on to the host of this region that pools what was asked for: hosts of
/// other regions know little of who lives here, and 3 in 100 requests were refused since they asked one
/// that pooled nothing.
fn on_request<W: WireProtocol>(
    host: &EntryHost<W>,
    request: RightRequest,
    source: net::SocketAddr,
) {
    let answer = host.answer_request(request);
    let asker = request.reply_to.unwrap_or(source);
    if answer.verdict == RightVerdict::NotHere
        && request.reply_to.is_none()
        && let Some(grantor) = host.near_grantor(request.customer)
    {
        let passed_on = LimitMessage::Request(RightRequest {
            reply_to: Some(source),
            ..request
        });
        gossip::send(host, &PeerMessage::Limit(passed_on), &[grantor]);
        return;
    }
    let message = LimitMessage::Answer(answer);
    gossip::send(host, &PeerMessage::Limit(message), &[asker]);
}
