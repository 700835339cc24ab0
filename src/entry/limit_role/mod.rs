//! What the limits of customers say of this host's requests, and its part in keeping them: it joins
//! the state machines of [`limits`] to the sockets and the clock.
//!
//! Here a request finds its right; [`lending`] lends this host's parts in rounds, [`messages`] answers
//! other hosts.

mod lending;
mod messages;

use std::{cell, collections, net, time};

use rand::Rng as _;
use tokio::sync::Notify;

use crate::entry::customer::{CustomerRule, CustomerTable, RateLimit};
use crate::entry::host::EntryHost;
use crate::entry::limits::grantor::LimitGrantor;
use crate::entry::limits::member::{GrantorList, LimitMember, RightStep};
use crate::entry::limits::message::{LimitMessage, LimitTrace, RightRequest, RightVerdict};
use crate::entry::limits::{
    self, FAR_WAIT_MS, GROUPS, LimitBound, LimitTolerance, NEAR_WAIT_MS, RIGHT_LIFE_MS,
};
use crate::entry::peer_message::PeerMessage;
use crate::entry::pending_answers::PendingAnswers;
use crate::entry::request_failure::RequestFailure;
use crate::entry::wire::WireProtocol;
use crate::entry::{gossip, hash};

pub(super) use self::lending::spawn;
pub(super) use self::messages::on_message;

/// Come-back times lie between these multiples of the time until there is room again, so that
/// those who were refused together do not come back together.
const COME_BACK_SHARES: std::ops::Range<f64> = 1.0..2.0;
/// The shortest come-back time, in milliseconds: about what other requests of a busy customer take
/// to move on.
const COME_BACK_MIN_MS: f64 = 50.0;
/// The longest wait of a host that has just started for its first lease: as long as for an answer.
const FIRST_LEASE_WAIT: time::Duration = time::Duration::from_millis(NEAR_WAIT_MS);

/// This host's part in keeping limits.
#[derive(Debug)]
pub struct LimitRole {
    member: cell::RefCell<LimitMember>,
    grantor: cell::RefCell<LimitGrantor>,
    lists: cell::RefCell<[GrantorList; GROUPS]>,
    places: cell::RefCell<collections::HashMap<String, net::SocketAddr>>,
    questions: PendingAnswers<RightVerdict>,
    /// Told when a grantor uses a part of this host.
    lent: Notify,
    /// Told when a configuration is put in force, by which there may be limits.
    configured: Notify,
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
            questions: PendingAnswers::default(),
            lent: Notify::new(),
            configured: Notify::new(),
        }
    }

    /// A configuration was put in force.
    pub(super) fn on_configured(&self) {
        self.configured.notify_waiters();
    }

    /// All hosts that this one divides limits by; 0 before its first round.
    pub(super) fn hosts(&self) -> u32 {
        self.member.borrow().hosts()
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Lets one request of `customer` through, or says when there is room for it.
    pub(super) async fn admit(&self, customer: &CustomerRule) -> Result<(), RequestFailure> {
        let Some(bound) = self.limit_bound(customer) else {
            return Ok(());
        };
        let result = self.find_right(customer, &bound).await;
        let mut metrics = self.metrics.borrow_mut();
        match result {
            Ok(()) => metrics.within_limit += 1,
            Err(_) => metrics.on_over_limit(&customer.name),
        }
        result
    }

    async fn find_right(
        &self,
        customer: &CustomerRule,
        bound: &LimitBound,
    ) -> Result<(), RequestFailure> {
        let name = hash::of_name(&customer.name);
        let group = limits::group_of(name);
        self.wait_for_pool(group).await;
        let mut trace = LimitTrace::default();
        loop {
            let asked = trace.asked();
            let step = {
                let lists = self.limits.lists.borrow();
                let mut member = self.limits.member.borrow_mut();
                member.next_step(name, bound, &lists[group], asked, self.now())
            };
            match step {
                RightStep::Admit => return Ok(()),
                RightStep::Refuse { room_in_ms } => {
                    trace.room_in_ms = room_in_ms;
                    return Err(self.over_limit(group, trace));
                }
                RightStep::Ask(grantor) => {
                    let verdict = self.ask(&grantor, name, bound).await;
                    if verdict == Some(RightVerdict::Granted) {
                        return Ok(());
                    }
                    trace.on_verdict(verdict);
                }
            }
        }
    }

    /// A host that has just started lends its part at once, and waits a moment for that: when it waited for
    /// its next round instead, 1,140 requests were refused within 0.3 s of a return of 67 hosts.
    async fn wait_for_pool(&self, group: usize) {
        if !self.is_starting() || self.limits.member.borrow().was_lent(group) {
            return;
        }
        if self.limits.lists.borrow()[group].names.is_empty() {
            self.lend_parts();
        }
        let lent = self.limits.lent.notified();
        if self.limits.member.borrow().has_lent(group, self.now()) {
            return;
        }
        // Whether it came is seen by the answer of the grantor.
        let _elapsed = tokio::time::timeout(FIRST_LEASE_WAIT, lent).await;
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
        let is_near = self.limits.lists.borrow()[limits::group_of(customer)].is_nearest(grantor);
        let asked_at = self.now();
        let question = self.limits.questions.open();
        let request = LimitMessage::Request(RightRequest {
            id: question.id,
            customer,
            reply_to: None,
        });
        gossip::send(self, &PeerMessage::Limit(request), &[address]);
        let wait_ms = if is_near { NEAR_WAIT_MS } else { FAR_WAIT_MS };
        let wait = time::Duration::from_millis(wait_ms);
        let verdict = self.limits.questions.wait_for(question, wait).await;
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
        let limit = customer.limit.filter(RateLimit::is_valid)?;
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
}
