//! Decides whether a request that a server answered with a failure of its own is sent to one other
//! server.
//!
//! **Load pattern.** Some servers fail part of their requests while others of the same service
//! answer: a server with a broken disk, or one of a new version. Their callers get failures that
//! another server would not have given them. A service whose servers all fail gains nothing from
//! retries, so the route's attempts and the service's retry budget bound them, and no request is
//! sent a third time because of a failure.

use http::StatusCode;

/// A server's answer that reports a failure, and what its request may still do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAnswer {
    /// The answer's status.
    pub status: StatusCode,
    /// Whether the request is safe to run more than once.
    pub is_retryable: bool,
    /// Whether all of the answer is here. A longer one is passed on as it arrives.
    pub is_whole: bool,
    /// Number of times that the request was sent before this answer.
    pub sends: u32,
    /// Number of times that its route allows it to be sent.
    pub attempts: u32,
    /// Time until the request's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Usual time of an answer on its route, in milliseconds. With less time left, another server
    /// would only delay the failure.
    pub typical_ms: u64,
}

impl FailedAnswer {
    /// Whether another server may get the request. The service's retry budget is not considered.
    ///
    /// ```
    /// use http::StatusCode;
    /// use ledgespool::failed_answer::FailedAnswer;
    /// let failed_answer = FailedAnswer {
    ///     status: StatusCode::INTERNAL_SERVER_ERROR,
    ///     is_retryable: true,
    ///     is_whole: true,
    ///     sends: 1,
    ///     attempts: 2,
    ///     time_left_ms: 2_000,
    ///     typical_ms: 80,
    /// };
    /// assert!(failed_answer.allows_another_server());
    /// assert!(!FailedAnswer { is_retryable: false, ..failed_answer }.allows_another_server());
    /// ```
    #[must_use]
    pub fn allows_another_server(&self) -> bool {
        self.is_retryable
            && self.is_whole
            && is_failure_of_one_server(self.status)
            && self.sends < self.attempts
            && self.time_left_ms >= self.typical_ms
    }
}

/// Whether another server may answer differently. It would lack the same feature (501, 505); a 503 is a
/// refusal, which is handled as one.
const fn is_failure_of_one_server(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
    )
}
