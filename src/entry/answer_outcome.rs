//! Classifies a server's answer by its head: accepted, rejected, or a refusal to run the request.

use super::answer_claims::{AnswerClaims, AnswerTrust};
use super::exchange::{AttemptOutcome, ForwardRequest, LossCause};
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::server::ServerLoad;
use super::server_connection::{AnswerId, AnswerTrace, SendTrace};
use super::server_limit::table::LimitPeriod;
use super::wire::{ServerHead, WireProtocol};
use crate::timer::Moment;

/// A request that was sent to a server.
#[derive(Debug)]
pub(super) struct SentRequest<'a> {
    pub(super) request: &'a ForwardRequest,
    /// The server's limit period at that time.
    pub(super) sent_in: Option<LimitPeriod>,
    pub(super) trace: SendTrace,
    pub(super) began: Moment,
}

/// Returns the outcome of an attempt if the answer's head decides it, and `None` if the answer is
/// accepted. Applies the answer's claims about the server in both cases.
pub(super) fn outcome_from_head<W: WireProtocol>(
    host: &EntryHost<W>,
    server: &FleetServer,
    sent: &SentRequest<'_>,
    head: &http::response::Parts,
) -> (Option<AttemptOutcome>, SendTrace) {
    let answer = host.wire.read_answer(&head.headers);
    let answer_id = AnswerId::of(answer.request_id, sent.request.id.as_deref());
    let outcome = match misattribution(answer_id, sent.trace) {
        Some(cause) => Some(AttemptOutcome::Lost(cause)),
        None => classify(server, head, &answer),
    };
    let claims = AnswerClaims {
        head: &answer,
        status: head.status,
        trust: trust_of(head, &answer, outcome.as_ref()),
        sent_in: sent.sent_in,
    };
    host.on_answer_claims(server, &claims);
    if matches!(outcome, Some(AttemptOutcome::Lost(_))) {
        host.metrics.borrow_mut().answers_dropped += 1;
    }
    let trace = sent.trace.answered_by(AnswerTrace {
        status: head.status.as_u16(),
        id: answer_id,
        not_run: answer.not_run,
        after_ms: host.now().since(sent.began),
    });
    (outcome, trace)
}

/// Why the answer may belong to another request, if so.
const fn misattribution(answer_id: AnswerId, trace: SendTrace) -> Option<LossCause> {
    match answer_id {
        AnswerId::Other => Some(LossCause::WrongRequest),
        AnswerId::Missing if trace.earlier_sends > 0 => Some(LossCause::NoRequestId),
        AnswerId::Missing | AnswerId::Own => None,
    }
}

fn classify(
    server: &FleetServer,
    head: &http::response::Parts,
    answer: &ServerHead<'_>,
) -> Option<AttemptOutcome> {
    let misdirected = head.status == http::StatusCode::MISDIRECTED_REQUEST;
    if misdirected && answer.server_id.is_some_and(|id| *id != *server.id) {
        return Some(AttemptOutcome::OtherServer);
    }
    // A 421 means that the request has not run, whichever server sent it.
    if answer.not_run || misdirected {
        return Some(AttemptOutcome::NotRun {
            status: head.status,
            had_free_slot: answer.load.is_some_and(ServerLoad::has_free_slot),
        });
    }
    loss_cause(head, answer).map(AttemptOutcome::Lost)
}

/// How much an answer with this outcome is trusted to come from the server.
fn trust_of(
    head: &http::response::Parts,
    answer: &ServerHead<'_>,
    outcome: Option<&AttemptOutcome>,
) -> AnswerTrust {
    // Another process on the server's address may have sent this answer.
    if head.status == http::StatusCode::MISDIRECTED_REQUEST {
        return AnswerTrust::Foreign;
    }
    match outcome {
        Some(AttemptOutcome::Lost(LossCause::WrongRequest | LossCause::NoRequestId)) => {
            AnswerTrust::Foreign
        }
        Some(AttemptOutcome::Lost(_)) => AnswerTrust::Distrusted,
        _ if answer.signed || answer.not_run => AnswerTrust::Verified,
        _ => AnswerTrust::Unsigned,
    }
}

/// Whether a status ends a request (RFC 9110, section 15). Others are interim answers, such as 101
/// to a request that asked for no other protocol, or belong to no class.
fn is_final_status(status: http::StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Why an answer must not be forwarded to the caller, if so.
fn loss_cause(head: &http::response::Parts, answer: &ServerHead<'_>) -> Option<LossCause> {
    if !is_final_status(head.status) {
        return Some(LossCause::NoFinalStatus);
    }
    if head.status.is_success() && !answer.signed {
        return Some(LossCause::Unsigned);
    }
    let implies_not_run = matches!(head.status.as_u16(), 408 | 429 | 503);
    // To the caller, such a status would mean that the request has not run.
    implies_not_run.then_some(LossCause::UnconfirmedRefusal)
}
