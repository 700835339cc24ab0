//! Pooled tokens: the state machines of the entry host, connected by the simulated network.

use std::collections;

use super::{HostView, LimitStrategy, SentMessage, SimDecision, SimRequest};
use crate::entry::limits::coordinator::LimitCoordinator;
use crate::entry::limits::member::{AdmissionStep, CoordinatorList, LimitMember};
use crate::entry::limits::message::{LimitMessage, TokenAnswer, TokenRequest, TokenVerdict};
use crate::entry::limits::{
    self, GROUPS, LOCAL_ANSWER_TIMEOUT_MS, LimitBound, REMOTE_ANSWER_TIMEOUT_MS,
};
use crate::timer::Moment;

/// Shares are leased to coordinators, which grant single tokens.
#[derive(Debug)]
pub struct PooledStrategy {
    own: usize,
    member: LimitMember,
    coordinator: LimitCoordinator,
    coordinator_lists: [CoordinatorList; GROUPS],
    waiting: collections::HashMap<u64, WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    request: SimRequest,
    asked: usize,
    coordinator: String,
}

impl PooledStrategy {
    fn update_coordinators(&mut self, view: &HostView, now: Moment) {
        let region = view.regions[view.own];
        let regions = 1 + view.regions.iter().copied().max().unwrap_or(0);
        let member = &self.member;
        self.coordinator_lists = std::array::from_fn(|group| {
            let regions_in_order =
                std::iter::once(region).chain((0..regions).filter(|other| *other != region));
            let skip = |name: &str| member.is_skipped(name, now);
            CoordinatorList {
                names: regions_in_order
                    .filter_map(|region| view.coordinator(region, group, skip))
                    .collect(),
            }
        });
    }

    fn next_decision(
        &mut self,
        request: &SimRequest,
        mut asked: usize,
        now: Moment,
        out: &mut Vec<SentMessage<LimitMessage>>,
    ) -> SimDecision {
        let list = self.coordinator_lists[limits::group_of(request.customer)].clone();
        loop {
            let customer = request.customer;
            let step = self
                .member
                .next_step(customer, &request.bound, &list, asked, now);
            let coordinator = match step {
                AdmissionStep::Admit => return SimDecision::Admit,
                AdmissionStep::Ask(coordinator) => coordinator,
                AdmissionStep::Refuse { .. } => return SimDecision::Refuse,
            };
            asked += 1;
            let to = HostView::number(&coordinator).unwrap_or(self.own);
            if to == self.own {
                let verdict = self.coordinator.grant(customer, &request.bound, now);
                self.member.on_verdict(&coordinator, customer, verdict, now);
                if verdict == TokenVerdict::Granted {
                    return SimDecision::Admit;
                }
                continue;
            }
            let id = request.id;
            out.push(SentMessage {
                to,
                message: LimitMessage::Request(TokenRequest {
                    id,
                    customer,
                    reply_to: None,
                }),
            });
            let is_local = list.is_local(&coordinator);
            let waiting = WaitingRequest {
                request: *request,
                asked,
                coordinator,
            };
            self.waiting.insert(id, waiting);
            return SimDecision::Wait(if is_local {
                LOCAL_ANSWER_TIMEOUT_MS
            } else {
                REMOTE_ANSWER_TIMEOUT_MS
            });
        }
    }
}

impl LimitStrategy for PooledStrategy {
    type Message = LimitMessage;

    const NAME: &'static str = "rights that move";

    fn start(own: usize, run: u64, _now: Moment) -> Self {
        let name = HostView::name(own);
        Self {
            own,
            member: LimitMember::with_name(&name, run),
            coordinator: LimitCoordinator::with_name(&name, run),
            coordinator_lists: std::array::from_fn(|_| CoordinatorList::default()),
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
        self.next_decision(request, 0, now, out)
    }

    fn on_round(&mut self, view: &HostView, now: Moment, out: &mut Vec<SentMessage<LimitMessage>>) {
        self.update_coordinators(view, now);
        let region = view.regions[view.own];
        let preferred: Vec<Option<String>> = (0..GROUPS)
            .map(|group| {
                let member = &self.member;
                view.coordinator(region, group, |name| member.is_skipped(name, now))
            })
            .collect();
        let preferred_names = std::array::from_fn(|group| preferred[group].as_deref());
        for offer in self.member.round(view.hosts, preferred_names, now) {
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
                let reply = self.coordinator.on_offer(offer, now)?;
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
                let verdict = self.coordinator.grant(request.customer, &bound, now);
                out.push(SentMessage {
                    to: from,
                    message: LimitMessage::Answer(TokenAnswer {
                        id: request.id,
                        customer: request.customer,
                        verdict,
                    }),
                });
                None
            }
            LimitMessage::Answer(answer) => {
                let waiting = self.waiting.get(&answer.id);
                waiting.filter(|waiting| HostView::number(&waiting.coordinator) == Some(from))?;
                let waiting = self.waiting.remove(&answer.id)?;
                let verdict = answer.verdict;
                self.member
                    .on_verdict(&waiting.coordinator, answer.customer, verdict, now);
                if verdict == TokenVerdict::Granted {
                    return Some((answer.id, SimDecision::Admit));
                }
                let decision = self.next_decision(&waiting.request, waiting.asked, now, out);
                Some((answer.id, decision))
            }
        }
    }

    fn on_wait_ended(
        &mut self,
        request: &SimRequest,
        now: Moment,
        out: &mut Vec<SentMessage<LimitMessage>>,
    ) -> SimDecision {
        let Some(waiting) = self.waiting.remove(&request.id) else {
            return SimDecision::Refuse;
        };
        self.member.on_unanswered(&waiting.coordinator, now);
        self.next_decision(request, waiting.asked, now, out)
    }
}
