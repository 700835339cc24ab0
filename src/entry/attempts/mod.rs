//! Sends a caller's request to one backend server after another, until one answers or no further
//! attempt is allowed. The submodule `slot_wait` lets patient requests wait before the first attempt,
//! `outcome` handles the outcome of each attempt, `failed_answer` retains the failures that servers
//! answer with, and `handoff` hands requests over to other hosts.

mod failed_answer;
mod handoff;
mod outcome;
mod slot_wait;

use std::{cell, rc};

use self::failed_answer::FirstFailure;
use super::attempt_record::AttemptRecord;
use super::choice::{self, ChoiceQuery, ChosenServer, NoServer, ServerChoice};
use super::departure::RequestPhase;
use super::exchange::{self, AttemptOptions, AttemptOutcome};
use super::fleet_server::FleetServer;
use super::handoff::HandoffProgress;
use super::host::EntryHost;
use super::open_request::OpenRequest;
use super::peers::HandoffTarget;
use super::quarantine_role::SuspectAdmission;
use super::request_failure::RequestFailure;
use super::server::ServerLoad;
use super::server_answer::ServerAnswer;
use super::server_connection::SendTrace;
use super::server_limit;
use super::server_limit::token::SendToken;
use super::wire::WireProtocol;
use crate::rollout::plan::VersionRule;
use crate::timer::Moment;

/// Maximum number of attempts to send a request, including those for which no connection could be
/// established.
const MAX_ATTEMPTS: u32 = 4;
/// A request with less time left than this, in milliseconds, is not sent, because its answer would
/// be late.
const MIN_TIME_LEFT_MS: u64 = 20;
/// A request's answer and where it came from.
#[derive(Debug)]
pub(super) struct AnsweredRequest {
    /// Who sent it to this host.
    pub(super) source: AnswerSource,
    /// The server's answer.
    pub(super) answer: Box<ServerAnswer>,
}

/// Who sent an answer to this host.
#[derive(Debug)]
pub(super) enum AnswerSource {
    /// The server itself, with the expected and the actual answer.
    Server(rc::Rc<FleetServer>, AttemptRecord),
    /// Another host, which the request was handed over to.
    Host(HandoffTarget),
}

/// Sends the request, if its customer's limit allows it, until a server answers or no further
/// attempt is allowed.
pub(super) async fn run<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
) -> Result<AnsweredRequest, RequestFailure> {
    if let Some(progress) = open.handoff {
        return try_servers(host, open, admit_handoff(host, open, progress)).await;
    }
    open.progress.enter(RequestPhase::Waiting);
    let admission = host.admit_suspect(open);
    if admission == SuspectAdmission::Blocked {
        // Before the request counts for the customer's limit.
        return Err(RequestFailure::QUARANTINED);
    }
    if let Some(customer) = &open.customer {
        host.admit(customer).await?;
    }
    try_servers(host, open, admission).await
}

/// The other host has applied the customer's limit and takes the probes of blocked requests.
fn admit_handoff<W: WireProtocol>(
    host: &EntryHost<W>,
    open: &OpenRequest,
    progress: HandoffProgress,
) -> SuspectAdmission {
    match (progress.is_probe, host.is_blocked(open)) {
        (true, _) => SuspectAdmission::Probe,
        (false, true) => SuspectAdmission::Blocked,
        (false, false) => SuspectAdmission::Allowed,
    }
}

async fn try_servers<W: WireProtocol>(
    host: &rc::Rc<EntryHost<W>>,
    open: &OpenRequest,
    admission: SuspectAdmission,
) -> Result<AnsweredRequest, RequestFailure> {
    if admission == SuspectAdmission::Blocked {
        return Err(RequestFailure::QUARANTINED);
    }
    let progress = open.handoff.unwrap_or_default();
    let mut attempts = RequestAttempts {
        host,
        open,
        admission,
        tried: Vec::new(),
        sent: progress.sends,
        attempt_count: 0,
        retried_same_server: false,
        is_counted: progress.is_counted,
        last: None,
        last_send: cell::Cell::default(),
        first_failure: None,
        reserved_share: 0.0,
    };
    attempts.wait_for_slot().await;
    let result = attempts.run().await;
    let result = attempts.first_failure_or(result);
    result.map_err(|failure| attempts.order_retry(failure))
}

/// The attempts to send one request.
struct RequestAttempts<'a, W> {
    host: &'a rc::Rc<EntryHost<W>>,
    open: &'a OpenRequest,
    admission: SuspectAdmission,
    /// The servers that must not be tried again.
    tried: Vec<String>,
    /// How often the request was sent; attempts without a connection do not count.
    sent: u32,
    /// Number of attempts.
    attempt_count: usize,
    /// Whether a server that refused the request despite free slots was tried a second time.
    retried_same_server: bool,
    /// Whether the request was counted for the retry budget.
    is_counted: bool,
    /// The outcome of the last time that the request was sent.
    last: Option<RequestFailure>,
    /// The last attempt's send, for the log; `None` if it had no connection.
    last_send: cell::Cell<Option<SendTrace>>,
    /// The failure that a server answered with, while another server is tried.
    first_failure: Option<FirstFailure>,
    /// Share of each server's slots that the request leaves free for more urgent ones.
    reserved_share: f64,
}

impl<W: WireProtocol> RequestAttempts<'_, W> {
    /// Sends the request until a server answers or no further attempt is allowed.
    async fn run(&mut self) -> Result<AnsweredRequest, RequestFailure> {
        for _ in 0..MAX_ATTEMPTS {
            if !self.host.may_send(&self.open.service) {
                return self.hand_over().await;
            }
            let (chosen, token) = match self.next_server().await {
                Ok(Some(next)) => next,
                Ok(None) | Err(_) if self.must_hand_over() => break,
                Ok(None) => break,
                Err(failure) => return Err(failure),
            };
            if let Some(answered) = self.attempt(chosen, token).await? {
                return Ok(answered);
            }
            if self.sent >= self.max_sends() {
                break;
            }
        }
        if self.must_hand_over() {
            return self.hand_over().await;
        }
        Err(self.last.unwrap_or_else(|| self.not_run()))
    }

    /// The server for the next attempt, and the token to send to it; `None` if no further attempt
    /// is allowed.
    async fn next_server(&mut self) -> Result<Option<(ChosenServer, SendToken)>, RequestFailure> {
        if self.open.deadline.since(self.host.now()) < MIN_TIME_LEFT_MS {
            return Ok(None);
        }
        // It has waited here while the host began to stop. Another host can still serve it.
        if self.sent == 0 && self.host.may_stop_before(self.open.deadline) {
            return Err(RequestFailure::LEAVING);
        }
        // The request may have been blocked while it waited, or because of its own last attempt.
        let is_first_probe_attempt =
            self.admission == SuspectAdmission::Probe && self.attempt_count == 0;
        if !is_first_probe_attempt && self.host.is_blocked(self.open) {
            return Err(self.last.unwrap_or(RequestFailure::QUARANTINED));
        }
        self.open.progress.enter(RequestPhase::Waiting);
        let chosen = self.choose_with_token().await;
        // The outcome of an earlier attempt is more informative than the lack of another server.
        let (chosen, token) = chosen.map_err(|failure| self.last.unwrap_or(failure))?;
        if !self.count_attempt() {
            return Ok(None);
        }
        self.tried.push(chosen.server.id.to_string());
        self.attempt_count += 1;
        Ok(Some((chosen, token)))
    }

    /// Selects a server, and gets a token to send to it if it advertises a limit.
    async fn choose_with_token(&self) -> Result<(ChosenServer, SendToken), RequestFailure> {
        for _ in 0..server_limit::MAX_SERVERS_ASKED {
            let chosen = self.choose()?;
            if let Some(token) = self.host.acquire_send_token(&chosen.server).await {
                return Ok((chosen, token));
            }
        }
        let retry_after_ms = self.typical_ms() as u64;
        let reason = NoServer::AllLimited;
        Err(RequestFailure::without_server(reason, retry_after_ms))
    }

    fn choose(&self) -> Result<ChosenServer, RequestFailure> {
        let now = self.host.now();
        let mut choice = self.select(self.reserved_share);
        if let ServerChoice::Refuse { .. } = &choice
            && self.reserved_share > 0.0
        {
            // A server that is expected to be late only because of the reserved slots is not.
            choice = self.select(0.0);
        }
        match choice {
            ServerChoice::Selected(chosen) => {
                if chosen.server.is_cold(now) {
                    chosen.server.on_cold_send(now);
                }
                Ok(chosen)
            }
            ServerChoice::Refuse {
                reason,
                retry_after_ms,
                free_slots,
                earliest,
            } => {
                if !self.host.fleet.borrow().is_listed() {
                    return Err(RequestFailure::NO_SERVER_LIST);
                }
                let failure = RequestFailure::without_server(reason, retry_after_ms);
                self.open.earliest.set(earliest);
                Err(failure.with_free_slots(free_slots))
            }
        }
    }

    /// Selects a server for a request that leaves `reserved_share` of each server's slots free.
    fn select(&self, reserved_share: f64) -> ServerChoice {
        let now = self.host.now();
        let open = self.open;
        let is_retry = self.sent > 0;
        let versions = self.host.version_rule(&open.service, open.object, is_retry);
        let choice = self.choose_among(versions, reserved_share, now);
        match (&choice, versions) {
            // The new version has no free capacity yet, or no server any more.
            (ServerChoice::Refuse { .. }, VersionRule::Only(version)) => {
                self.choose_among(VersionRule::Except(version), reserved_share, now)
            }
            _ => choice,
        }
    }

    fn choose_among(
        &self,
        versions: VersionRule,
        reserved_share: f64,
        now: Moment,
    ) -> ServerChoice {
        let host = self.host;
        let open = self.open;
        let route = &open.route;
        let settings = host.settings();
        let fleet = host.fleet.borrow();
        let evacuated = host.evacuated_halls();
        let latencies = host.latencies.borrow();
        let goal_left_ms = route.goal_ms.saturating_sub(now.since(open.arrived));
        let weights = host.region_weights(&open.service);
        // A large answer is costly to transfer between halls; for others a first server in each hall
        // costs more cache misses than it saves.
        let prefers_hall = route.kind.prefers_local_region();
        let halls = prefers_hall
            .then(|| host.hall_places(&open.service))
            .flatten();
        let limits = host.server_limits.table();
        let query = ChoiceQuery {
            weights: &weights,
            servers: fleet.of_service(&open.service),
            object: open.object,
            hall: &settings.hall,
            region: &settings.region,
            latencies: &latencies,
            halls: halls.as_deref(),
            homes: &open.homes,
            evacuated: &evacuated,
            tried: &self.tried,
            versions,
            prefer_local: route.kind.prefers_local_region(),
            typical_ms: self.typical_ms(),
            cache_miss_ms: self.cache_miss_ms(),
            service_time_ms: if halls.is_some() {
                host.service_time_ms(&open.service, self.typical_ms())
            } else {
                self.typical_ms()
            },
            reserved_share,
            goal_left_ms: goal_left_ms as f64,
            deadline_left_ms: open.deadline.since(now) as f64,
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

    /// Counts the next attempt; a retry must be within the service's budget.
    fn count_attempt(&mut self) -> bool {
        if self.sent > 0 {
            return self.host.try_retry(self.open);
        }
        if !self.is_counted {
            self.is_counted = true;
            self.host.on_first_attempt(&self.open.service);
        }
        true
    }

    /// Sends the request once; returns `None` if another server may be tried.
    async fn attempt(
        &mut self,
        chosen: ChosenServer,
        right: SendToken,
    ) -> Result<Option<AnsweredRequest>, RequestFailure> {
        let ChosenServer { server, expected } = chosen;
        self.host.record_slot_use(self.open, expected.work_ms);
        let object = self.open.object;
        let object_cached = object.is_none_or(|object| server.record_object(object));
        self.host.on_server_chosen(&server, object, &expected);
        let began = self.host.now();
        let terms = AttemptOptions {
            deadline: self.open.deadline,
            right,
            progress: &self.open.progress,
            trace: &self.last_send,
        };
        self.last_send.set(None);
        let outcome = exchange::attempt(self.host, &server, &self.open.forward, terms).await;
        self.host.on_slot_freed(&server);
        self.count_for_rollout(&server, &outcome, began, object_cached);
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.on_answer(&server, began, object_cached);
                self.host.on_success(self.open, &answer);
                let load = self.host.reported_load(&answer);
                let attempt = AttemptRecord {
                    expected,
                    took_ms: self.host.now().since(began),
                    reported_load: load.map(ServerLoad::requests),
                    reported_pace: load.and_then(|load| load.pace),
                    earlier_attempts: self.attempt_count - 1,
                };
                let source = AnswerSource::Server(rc::Rc::clone(&server), attempt);
                let answered = AnsweredRequest { source, answer };
                return Ok(self.retain_failure(&server, answered));
            }
            AttemptOutcome::TimedOut => return Err(self.on_timeout(&server, began, object_cached)),
            AttemptOutcome::NotSent => self.on_not_sent(&server),
            AttemptOutcome::NoOpenConnection => self.log_failed(&server, "no open connection"),
            AttemptOutcome::Withheld(cause) => self.log_failed(&server, cause.as_str()),
            AttemptOutcome::OutOfTime => self.log_failed(&server, "out of time before it was sent"),
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
