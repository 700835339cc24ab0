//! Applies the limits of customers to this host's requests, and connects the state machines of
//! [`limits`] to the sockets and the clock.
//!
//! This module gets a token for each request; [`leasing`] leases this host's shares in rounds,
//! [`messages`] answers other hosts.

mod leasing;
mod messages;

use std::{cell, collections, net, time};

use rand::Rng as _;
use tokio::sync::Notify;

use crate::entry::customer::{CustomerRule, CustomerTable, RateLimit};
use crate::entry::host::EntryHost;
use crate::entry::limits::coordinator::LimitCoordinator;
use crate::entry::limits::member::{AdmissionStep, CoordinatorList, LimitMember};
use crate::entry::limits::message::{LimitMessage, LimitTrace, TokenRequest, TokenVerdict};
use crate::entry::limits::{
    self, GROUPS, LOCAL_ANSWER_TIMEOUT_MS, LimitBound, LimitTolerance, REMOTE_ANSWER_TIMEOUT_MS,
    TOKEN_LIFETIME_MS,
};
use crate::entry::peer_message::PeerMessage;
use crate::entry::pending_answers::PendingAnswers;
use crate::entry::request_failure::RequestFailure;
use crate::entry::wire::WireProtocol;
use crate::entry::{gossip, hash};

pub(super) use self::leasing::spawn;
pub(super) use self::messages::on_message;

/// Retry times are sampled between these multiples of the time until a token is available, so that
/// requests that were refused together are not repeated together.
const RETRY_AFTER_FACTORS: std::ops::Range<f64> = 1.0..2.0;
/// The minimum retry time, in milliseconds: about the time in which other requests of a busy
/// customer complete.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// How long a host that has just started waits for its first lease: as long as for an answer.
const FIRST_LEASE_TIMEOUT: time::Duration = time::Duration::from_millis(LOCAL_ANSWER_TIMEOUT_MS);

/// This host's state as a member and coordinator of customer limits.
#[derive(Debug)]
pub struct LimitRole {
    member: cell::RefCell<LimitMember>,
    coordinator: cell::RefCell<LimitCoordinator>,
    coordinator_lists: cell::RefCell<[CoordinatorList; GROUPS]>,
    coordinator_addresses: cell::RefCell<collections::HashMap<String, net::SocketAddr>>,
    pending_requests: PendingAnswers<TokenVerdict>,
    /// Notified when a coordinator uses a share of this host.
    lease_began: Notify,
    /// Notified when a configuration, which may contain limits, is applied.
    configured: Notify,
}

impl LimitRole {
    /// The role of a host that has seen no other host yet.
    #[must_use]
    pub fn of_host(name: &str, run: u64) -> Self {
        Self {
            member: cell::RefCell::new(LimitMember::with_name(name, run)),
            coordinator: cell::RefCell::new(LimitCoordinator::with_name(name, run)),
            coordinator_lists: cell::RefCell::default(),
            coordinator_addresses: cell::RefCell::default(),
            pending_requests: PendingAnswers::default(),
            lease_began: Notify::new(),
            configured: Notify::new(),
        }
    }

    /// Handles a newly applied configuration.
    pub(super) fn on_configured(&self) {
        self.configured.notify_waiters();
    }

    /// The number of hosts that this one divides limits by; 0 before its first round.
    pub(super) fn hosts(&self) -> u32 {
        self.member.borrow().hosts()
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Lets one request of `customer` through, or fails with the time at which to retry.
    pub(super) async fn admit(&self, customer: &CustomerRule) -> Result<(), RequestFailure> {
        let Some(bound) = self.limit_bound(customer) else {
            return Ok(());
        };
        let result = self.acquire_token(customer, &bound).await;
        let mut metrics = self.metrics.borrow_mut();
        match result {
            Ok(()) => metrics.requests.on_within_limit(),
            Err(_) => metrics.requests.on_over_limit(&customer.name),
        }
        result
    }

    async fn acquire_token(
        &self,
        customer: &CustomerRule,
        bound: &LimitBound,
    ) -> Result<(), RequestFailure> {
        let name = hash::of_name(&customer.name);
        let group = limits::group_of(name);
        self.wait_for_first_lease(group).await;
        let mut trace = LimitTrace::default();
        loop {
            let asked = trace.asked();
            let step = {
                let coordinator_lists = self.limits.coordinator_lists.borrow();
                let mut member = self.limits.member.borrow_mut();
                member.next_step(name, bound, &coordinator_lists[group], asked, self.now())
            };
            match step {
                AdmissionStep::Admit => return Ok(()),
                AdmissionStep::Refuse { available_in_ms } => {
                    trace.available_in_ms = available_in_ms;
                    return Err(self.over_limit(group, trace));
                }
                AdmissionStep::Ask(coordinator) => {
                    let verdict = self.request_token(&coordinator, name, bound).await;
                    if verdict == Some(TokenVerdict::Granted) {
                        return Ok(());
                    }
                    trace.on_verdict(verdict);
                }
            }
        }
    }

    /// A host that has just started leases its share at once, and waits briefly for the lease: when
    /// hosts waited for their next round instead, 67 hosts that restarted together refused 1,140
    /// requests within 0.3 s.
    async fn wait_for_first_lease(&self, group: usize) {
        if !self.is_starting() || self.limits.member.borrow().was_used(group) {
            return;
        }
        if self.limits.coordinator_lists.borrow()[group]
            .names
            .is_empty()
        {
            self.run_lease_round();
        }
        let lease_began = self.limits.lease_began.notified();
        if self.limits.member.borrow().is_leased(group, self.now()) {
            return;
        }
        // If the lease did not begin, the coordinator's answer shows it.
        let _elapsed = tokio::time::timeout(FIRST_LEASE_TIMEOUT, lease_began).await;
    }

    /// Asks a coordinator for a token; `None` if it does not answer in time.
    async fn request_token(
        &self,
        coordinator: &str,
        customer: u64,
        bound: &LimitBound,
    ) -> Option<TokenVerdict> {
        let verdict = if coordinator == self.settings().name {
            let mut own = self.limits.coordinator.borrow_mut();
            Some(own.grant(customer, bound, self.now()))
        } else {
            self.request_token_from(coordinator, customer).await
        };
        let mut member = self.limits.member.borrow_mut();
        match verdict {
            Some(verdict) => member.on_verdict(coordinator, customer, verdict, self.now()),
            None => member.on_unanswered(coordinator, self.now()),
        }
        verdict
    }

    async fn request_token_from(&self, coordinator: &str, customer: u64) -> Option<TokenVerdict> {
        let address = self
            .limits
            .coordinator_addresses
            .borrow()
            .get(coordinator)
            .copied()?;
        let is_local = self.limits.coordinator_lists.borrow()[limits::group_of(customer)]
            .is_local(coordinator);
        let asked_at = self.now();
        let pending = self.limits.pending_requests.register();
        let request = LimitMessage::Request(TokenRequest {
            id: pending.id,
            customer,
            reply_to: None,
        });
        gossip::send(self, &PeerMessage::Limit(request), &[address]);
        let wait_ms = if is_local {
            LOCAL_ANSWER_TIMEOUT_MS
        } else {
            REMOTE_ANSWER_TIMEOUT_MS
        };
        let wait = time::Duration::from_millis(wait_ms);
        let verdict = self.limits.pending_requests.wait_for(pending, wait).await;
        let is_late = self.now().since(asked_at) > TOKEN_LIFETIME_MS;
        verdict.filter(|verdict| !is_late || *verdict != TokenVerdict::Granted)
    }

    fn over_limit(&self, group: usize, trace: LimitTrace) -> RequestFailure {
        let now = self.now();
        let factor = self.random.borrow_mut().random_range(RETRY_AFTER_FACTORS);
        let millis = (trace.available_in_ms as f64 * factor).max(MIN_RETRY_AFTER_MS);
        let member = self.limits.member.borrow();
        let trace = LimitTrace {
            hosts: member.hosts(),
            lent: member.is_leased(group, now),
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
