//! Offers a caller's request to one backend server after the other, until one answers or nothing
//! more may be tried. What follows from how an offer ended stands in `ends`.

mod ends;

use std::rc;

use super::choice::{self, ChoiceQuery, ChosenServer, NoServer, ServerChoice};
use super::exchange::{self, AttemptOptions, AttemptOutcome, ServerAnswer};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::offer_record::OfferRecord;
use super::open_request::OpenRequest;
use super::quarantine_role::SuspectAdmission;
use super::request_failure::RequestFailure;
use super::server_limit;
use super::server_limit::token::SendToken;
use super::wire::WireProtocol;
use crate::rollout::plan::VersionRule;
use crate::timer::Moment;

/// A request that was not sent for want of a connection may be offered to this many servers.
const MAX_OFFERS: u32 = 4;
/// With less time left than this, in milliseconds, a request is not offered: no answer would come
/// back in time.
const LEAST_TIME_MS: u64 = 20;
/// A request's answer and the server that gave it.
#[derive(Debug)]
pub(super) struct AnsweredRequest {
    /// The server.
    pub(super) server: rc::Rc<FleetServer>,
    /// Its answer.
    pub(super) answer: Box<ServerAnswer>,
    /// What was expected of it, and what came.
    pub(super) offer: OfferRecord,
}

/// Offers the request, if its customer's limit has room, until a server answers or nothing more may be
/// tried.
pub(super) async fn run<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
) -> Result<AnsweredRequest, RequestFailure> {
    let admission = host.admit_suspect(open);
    if admission == SuspectAdmission::Blocked {
        return Err(RequestFailure::QUARANTINED);
    }
    if let Some(customer) = &open.customer {
        host.admit(customer).await?;
    }
    offer_in_turn(host, open, admission).await
}

async fn offer_in_turn<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
    admission: SuspectAdmission,
) -> Result<AnsweredRequest, RequestFailure> {
    let mut series = OfferSeries {
        host,
        open,
        admission,
        tried: Vec::new(),
        sent: 0,
        offers: 0,
        asked_again: false,
        counted: false,
        last: None,
    };
    for _ in 0..MAX_OFFERS {
        let Some((chosen, right)) = series.next_server().await? else {
            break;
        };
        if let Some(answered) = series.offer(chosen, right).await? {
            return Ok(answered);
        }
        if series.sent >= open.route.attempts.max(1) {
            break;
        }
    }
    Err(series.last.unwrap_or_else(|| series.not_run()))
}

/// The offers of one request so far.
struct OfferSeries<'a, W> {
    host: &'a rc::Rc<EntryHost<W>>,
    open: &'a OpenRequest,
    admission: SuspectAdmission,
    /// The servers that it must not be offered to any more.
    tried: Vec<String>,
    /// How often it was sent; an offer that found no connection is not counted.
    sent: u32,
    /// How often it was offered.
    offers: usize,
    /// Whether a server that turned it away in spite of free slots was asked again.
    asked_again: bool,
    /// Whether the request was counted for the repeat budget.
    counted: bool,
    /// What came of the last time that it was sent.
    last: Option<RequestFailure>,
}

impl<W: WireProtocol> OfferSeries<'_, W> {
    /// The server for the next offer, and the right to send to it; `None` if there must be no more.
    async fn next_server(&mut self) -> Result<Option<(ChosenServer, SendToken)>, RequestFailure> {
        if self.open.deadline.since(self.host.now()) < LEAST_TIME_MS {
            return Ok(None);
        }
        // It may have been barred while it waited, or by its own last offer.
        let is_first_of_trial = self.admission == SuspectAdmission::Probe && self.offers == 0;
        if !is_first_of_trial && self.host.is_blocked(self.open) {
            return Err(self.last.unwrap_or(RequestFailure::QUARANTINED));
        }
        let chosen = self.choose_with_right().await;
        // What a server has shown says more than that no other is left.
        let (chosen, right) = chosen.map_err(|failure| self.last.unwrap_or(failure))?;
        if !self.is_within_budget() {
            return Ok(None);
        }
        self.tried.push(chosen.server.id.to_string());
        self.offers += 1;
        Ok(Some((chosen, right)))
    }

    /// Chooses a server, and finds the right to send to it where it names a limit.
    async fn choose_with_right(&self) -> Result<(ChosenServer, SendToken), RequestFailure> {
        for _ in 0..server_limit::MAX_SERVERS_ASKED {
            let chosen = self.choose()?;
            if let Some(right) = self.host.acquire_send_token(&chosen.server).await {
                return Ok((chosen, right));
            }
        }
        let come_back_ms = self.usual_ms() as u64;
        let reason = NoServer::AllLimited;
        Err(RequestFailure::without_server(reason, come_back_ms))
    }

    fn choose(&self) -> Result<ChosenServer, RequestFailure> {
        let now = self.host.now();
        let open = self.open;
        let is_repeat = self.sent > 0;
        let versions = self
            .host
            .version_rule(&open.service, open.object, is_repeat);
        let mut choice = self.draw(versions, now);
        if let (ServerChoice::Refuse { .. }, VersionRule::Only(version)) = (&choice, versions) {
            // The new version has no room yet, or no server any more.
            choice = self.draw(VersionRule::Except(version), now);
        }
        match choice {
            ServerChoice::Offer(chosen) => {
                if chosen.server.is_cold(now) {
                    chosen.server.on_cold_send(now);
                }
                Ok(chosen)
            }
            ServerChoice::Refuse {
                reason,
                come_back_ms,
                free_slots,
            } => {
                if !self.host.fleet.borrow().is_listed() {
                    return Err(RequestFailure::NO_SERVER_LIST);
                }
                let failure = RequestFailure::without_server(reason, come_back_ms);
                Err(failure.with_free_slots(free_slots))
            }
        }
    }

    fn draw(&self, versions: VersionRule, now: Moment) -> ServerChoice {
        let host = self.host;
        let open = self.open;
        let route = &open.route;
        let settings = host.settings();
        let fleet = host.fleet.borrow();
        let evacuated = host.evacuated_halls();
        let distances = host.distances.borrow();
        let goal_left_ms = route.goal_ms.saturating_sub(now.since(open.arrived));
        let weights = host.region_weights(&open.service);
        let limits = host.server_limits.table();
        let query = ChoiceQuery {
            weights: &weights,
            servers: fleet.of_service(&open.service),
            object: open.object,
            region: &settings.region,
            distances: &distances,
            homes: &open.homes,
            evacuated: &evacuated,
            tried: &self.tried,
            versions,
            near: route.kind.prefers_local_region(),
            usual_ms: self.usual_ms(),
            first_ms: self.first_ms(),
            patience_ms: goal_left_ms as f64,
            cold_share: host.cold_share(self.cold_per_s()),
            leave_ms: settings.bounds.leave_ms(),
            limits: &limits,
            now,
        };
        choice::choose(&query, &mut host.random.borrow_mut())
    }

    fn cold_per_s(&self) -> f64 {
        let routes = self.host.routes();
        let rule = routes
            .as_ref()
            .and_then(|routes| routes.service(&self.open.service));
        rule.map_or(0.0, |rule| rule.cold_per_s)
    }

    /// Counts the offer that comes; a repeat must be within the service's budget.
    fn is_within_budget(&mut self) -> bool {
        if self.sent > 0 {
            return self.host.try_repeat(&self.open.service);
        }
        if !self.counted {
            self.counted = true;
            self.host.on_first_offer(&self.open.service);
        }
        true
    }

    /// Offers it once; `None` if another server may be tried.
    async fn offer(
        &mut self,
        chosen: ChosenServer,
        right: SendToken,
    ) -> Result<Option<AnsweredRequest>, RequestFailure> {
        let ChosenServer { server, expected } = chosen;
        let object = self.open.object;
        let known_object = object.is_none_or(|object| server.remember_object(object));
        let began = self.host.now();
        let terms = AttemptOptions {
            deadline: self.open.deadline,
            right,
        };
        let end = exchange::attempt(self.host, &server, &self.open.forward, terms).await;
        self.count_for_rollout(&server, &end, began, known_object);
        match end {
            AttemptOutcome::Answered(answer) => {
                self.on_answer(&server, began, known_object);
                self.host.on_success(self.open, &answer);
                let offer = OfferRecord {
                    expected,
                    took_ms: self.host.now().since(began),
                    offers_before: self.offers - 1,
                };
                return Ok(Some(AnsweredRequest {
                    server,
                    answer,
                    offer,
                }));
            }
            AttemptOutcome::TimedOut => return Err(self.on_timeout(&server, began, known_object)),
            AttemptOutcome::NotSent => self.on_not_sent(&server),
            AttemptOutcome::Withheld(cause) => self.note_offer(&server, cause.as_str()),
            AttemptOutcome::OutOfTime => self.note_offer(&server, "out of time before it was sent"),
            AttemptOutcome::NotRun {
                status,
                had_free_slot,
            } => self.on_not_run(&server, status, had_free_slot),
            AttemptOutcome::OtherServer => self.on_other_server(&server),
            AttemptOutcome::Lost(cause) => self.on_lost(&server, cause)?,
        }
        Ok(None)
    }
}
