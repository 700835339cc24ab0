//! Retains the failure that a server answered with while another server is tried.

use super::{AnsweredRequest, RequestAttempts};
use crate::entry::fleet_server::FleetServer;
use crate::entry::request_failure::RequestFailure;
use crate::entry::server_answer::ServerAnswer;
use crate::entry::wire::WireProtocol;
use crate::failed_answer::FailedAnswer;

/// The first answer to a request, which reports a failure.
#[derive(Debug)]
pub(super) struct FirstFailure {
    answered: AnsweredRequest,
    /// Number of times that the request was sent before another server was tried.
    sends: u32,
}

impl<W: WireProtocol> RequestAttempts<'_, W> {
    /// Retains `answered` and returns `None` if it is a failure and another server may be tried.
    pub(super) fn retain_failure(
        &mut self,
        server: &FleetServer,
        answered: AnsweredRequest,
    ) -> Option<AnsweredRequest> {
        let enabled = self.host.settings().load.retry_failed_answers;
        let failed_answer = self.describe(&answered.answer);
        if !enabled || self.first_failure.is_some() || !failed_answer.allows_another_server() {
            return Some(answered);
        }
        self.log_failed(server, "a failure of its own");
        self.sent += 1;
        self.first_failure = Some(FirstFailure {
            answered,
            sends: self.sent,
        });
        None
    }

    fn describe(&self, answer: &ServerAnswer) -> FailedAnswer {
        FailedAnswer {
            status: answer.head.status,
            is_retryable: self.open.forward.is_retryable,
            is_whole: answer.remaining.is_none(),
            sends: self.sent + 1,
            attempts: self.open.route.attempts,
            time_left_ms: self.open.deadline.since(self.host.now()),
            typical_ms: self.typical_ms() as u64,
        }
    }

    /// How often the request may be sent: once more after a failure.
    pub(super) fn max_sends(&self) -> u32 {
        let failed = self.first_failure.as_ref();
        failed.map_or(self.open.route.attempts.max(1), |failed| failed.sends + 1)
    }

    /// The first failure unchanged, unless `result` is an answer that reports none.
    pub(super) fn first_failure_or(
        &mut self,
        result: Result<AnsweredRequest, RequestFailure>,
    ) -> Result<AnsweredRequest, RequestFailure> {
        let Some(failed) = self.first_failure.take() else {
            return result;
        };
        match result {
            Ok(answered) if !answered.answer.head.status.is_server_error() => Ok(answered),
            Ok(_) | Err(_) => Ok(failed.answered),
        }
    }
}
