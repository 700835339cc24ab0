//! Reasons why a caller's request ends without a backend server's answer, each with the status,
//! result code and retry time that the caller gets.

use super::choice::NoServer;
use super::customer::KeyDigest;
use super::handoff::message::HandoffFailure;
use super::limits::message::LimitTrace;
use super::metrics_page::RequestCompletion;
use super::quarantine;
use super::refusal_reason;
use crate::result_code::ResultCode;

/// Retry time that a host without a configuration or server list sends, in milliseconds: about what
/// it takes to read one from the store or another host.
const NO_CONFIGURATION_RETRY_MS: u64 = 300;
/// Retry time that a stopping host sends, in milliseconds. It is short because another host can
/// take the request at once.
const LEAVING_RETRY_MS: u64 = 10;

/// Retry time for a request without memory for its body, in milliseconds: bodies that arrive for this
/// time yield to others.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Why a request ends without a server's answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestFailure {
    /// The HTTP status for the caller.
    pub(super) status: http::StatusCode,
    /// The outcome under which metrics count the request.
    pub(super) completion: RequestCompletion,
    /// After how many milliseconds the caller should retry; `None` if a retry does not help.
    pub(super) retry_after_ms: Option<u64>,
    /// The reason, for the log.
    pub(super) reason: &'static str,
    /// Free slots of the servers in question when the request was refused for lack of capacity, for
    /// the log.
    pub(super) free_slots: Option<u32>,
    /// How the customer's limit was checked, for the log.
    pub(super) limit: Option<LimitTrace>,
    /// The rejected key, which prints as a fingerprint.
    pub(super) key: Option<KeyDigest>,
}

impl RequestFailure {
    /// The result code in the response and the log.
    pub(super) const fn code(&self) -> ResultCode {
        match (self.completion, self.status) {
            (RequestCompletion::RefusedFull, _) => ResultCode::BudgetExhausted,
            (
                RequestCompletion::RefusedNoServer
                | RequestCompletion::RefusedUnreachable
                | RequestCompletion::RefusedUnlisted,
                _,
            ) => ResultCode::NoHealthyServer,
            (RequestCompletion::RefusedUnconfigured, _) => ResultCode::ConfigurationMissing,
            (RequestCompletion::RefusedLeaving, _) => ResultCode::HostLeaving,
            (RequestCompletion::RefusedLimit, _) => ResultCode::LimitReached,
            (RequestCompletion::RefusedHomes, _) => ResultCode::HomesApart,
            (RequestCompletion::RefusedMemory, _) => ResultCode::MemoryExhausted,
            (RequestCompletion::RefusedQuarantined, _) => ResultCode::RequestQuarantined,
            (RequestCompletion::Rejected, http::StatusCode::UNAUTHORIZED) => ResultCode::KeyRefused,
            (RequestCompletion::Rejected, http::StatusCode::NOT_FOUND) => {
                ResultCode::ServiceUnknown
            }
            (RequestCompletion::Rejected, http::StatusCode::PAYLOAD_TOO_LARGE) => {
                ResultCode::BodyTooLarge
            }
            (RequestCompletion::Rejected, http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE) => {
                ResultCode::HeadTooLarge
            }
            (RequestCompletion::Rejected, _) => ResultCode::BodyBroken,
            (RequestCompletion::TimedOut, _) => ResultCode::DeadlinePassed,
            (
                RequestCompletion::Lost
                | RequestCompletion::CallerLeft
                | RequestCompletion::Answered,
                _,
            ) => ResultCode::AnswerLost,
        }
    }

    /// The host has no configuration yet.
    pub(super) const UNCONFIGURED: Self = Self::refused(
        RequestCompletion::RefusedUnconfigured,
        NO_CONFIGURATION_RETRY_MS,
        "no configuration yet, or one that is too old",
    );
    /// The host has no list of servers yet.
    pub(super) const NO_SERVER_LIST: Self = Self::refused(
        RequestCompletion::RefusedUnlisted,
        NO_CONFIGURATION_RETRY_MS,
        "no list of servers yet",
    );
    /// The host stops before the request's deadline.
    pub(super) const LEAVING: Self = Self::refused(
        RequestCompletion::RefusedLeaving,
        LEAVING_RETRY_MS,
        "this host stops before the request's time is over",
    );
    /// The connection ended within the request's body. The response is not delivered.
    pub(super) const CALLER_LEFT: Self = Self::with_status(
        http::StatusCode::BAD_REQUEST,
        RequestCompletion::CallerLeft,
        "the caller left within the request's body",
    );
    /// The body exceeds the configured size.
    pub(super) const BODY_TOO_LARGE: Self =
        Self::rejected(http::StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    /// There is no memory for the body.
    pub(super) const NO_MEMORY: Self = Self::refused(
        RequestCompletion::RefusedMemory,
        NO_MEMORY_RETRY_MS,
        "no memory is left for its body",
    );
    /// The body breaks the protocol.
    pub(super) const BODY_MALFORMED: Self =
        Self::rejected(http::StatusCode::BAD_REQUEST, "the body is malformed");
    /// The body did not arrive in time.
    pub(super) const BODY_LATE: Self = Self::rejected(
        http::StatusCode::REQUEST_TIMEOUT,
        "the body did not arrive in time",
    );
    /// No route matches the request.
    pub(super) const NO_ROUTE: Self = Self::rejected(http::StatusCode::NOT_FOUND, "no route");
    /// The request carries no key although its route requires one.
    pub(super) const MISSING_KEY: Self = Self::rejected(http::StatusCode::UNAUTHORIZED, "no key");
    /// The request carries more than one key.
    pub(super) const MULTIPLE_KEYS: Self =
        Self::rejected(http::StatusCode::UNAUTHORIZED, "several keys");
    /// Route and customer allow no common region. A retry does not help.
    pub(super) const NO_COMMON_REGION: Self = Self::with_status(
        http::StatusCode::SERVICE_UNAVAILABLE,
        RequestCompletion::RefusedHomes,
        "no region may serve both its route and its customer",
    );
    /// Servers crashed while they processed this request, so no other server gets it.
    pub(super) const QUARANTINED: Self = Self::refused(
        RequestCompletion::RefusedQuarantined,
        quarantine::RETRY_AFTER_MS,
        "servers ended under it",
    );
    /// The headers exceed the configured size.
    pub(super) const HEAD_TOO_LARGE: Self = Self::rejected(
        http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "the headers are too large",
    );
    /// The request was sent and not answered before its deadline.
    pub(super) const TIMED_OUT: Self = Self::with_status(
        http::StatusCode::GATEWAY_TIMEOUT,
        RequestCompletion::TimedOut,
        "no answer in time",
    );

    /// The request has not run and may be retried.
    const fn refused(
        completion: RequestCompletion,
        retry_after_ms: u64,
        reason: &'static str,
    ) -> Self {
        Self {
            status: http::StatusCode::SERVICE_UNAVAILABLE,
            completion,
            retry_after_ms: Some(retry_after_ms),
            reason,
            free_slots: None,
            limit: None,
            key: None,
        }
    }

    const fn with_status(
        status: http::StatusCode,
        completion: RequestCompletion,
        reason: &'static str,
    ) -> Self {
        Self {
            status,
            completion,
            retry_after_ms: None,
            reason,
            free_slots: None,
            limit: None,
            key: None,
        }
    }

    /// Whether a server may have run the request.
    pub(super) const fn may_have_run(self) -> bool {
        matches!(
            self.completion,
            RequestCompletion::Lost | RequestCompletion::TimedOut
        )
    }

    /// Adds the number of free slots, for the log.
    pub(super) const fn with_free_slots(self, free_slots: u32) -> Self {
        Self {
            free_slots: Some(free_slots),
            ..self
        }
    }

    /// The request itself is invalid.
    pub(super) const fn rejected(status: http::StatusCode, reason: &'static str) -> Self {
        Self::with_status(status, RequestCompletion::Rejected, reason)
    }

    /// The request was sent and no trustworthy answer came back.
    pub(super) const fn lost(reason: &'static str) -> Self {
        Self::with_status(
            http::StatusCode::BAD_GATEWAY,
            RequestCompletion::Lost,
            reason,
        )
    }

    /// No server of the service accepts connections of this host, and no other host serves the
    /// request.
    pub(super) const fn unreachable(retry_after_ms: u64) -> Self {
        Self::refused(
            RequestCompletion::RefusedUnreachable,
            retry_after_ms,
            "no server of the service can be reached",
        )
    }

    /// The host that the request was handed over to did not serve it.
    pub(super) fn of_other_host(failure: &HandoffFailure) -> Self {
        let status = http::StatusCode::from_u16(failure.status);
        Self {
            retry_after_ms: failure.retry_after_ms,
            ..Self::with_status(
                status.unwrap_or(http::StatusCode::BAD_GATEWAY),
                failure.completion,
                "the host that it was handed over to did not serve it",
            )
        }
    }

    /// Every server that got the request reported that it did not run it.
    pub(super) const fn not_run(retry_after_ms: u64) -> Self {
        Self::refused(
            RequestCompletion::RefusedFull,
            retry_after_ms,
            refusal_reason::NOT_RUN,
        )
    }

    /// The key belongs to no customer.
    pub(super) const fn unknown_key(key: KeyDigest) -> Self {
        let failure = Self::rejected(
            http::StatusCode::UNAUTHORIZED,
            "a key that no customer holds",
        );
        Self {
            key: Some(key),
            ..failure
        }
    }

    /// The key belongs to no valid customer, but some customers in the configuration are
    /// unreadable.
    pub(super) const fn undecided_key(key: KeyDigest) -> Self {
        let failure = Self::refused(
            RequestCompletion::RefusedUnconfigured,
            NO_CONFIGURATION_RETRY_MS,
            "a key that may be of a customer who could not be read",
        );
        Self {
            key: Some(key),
            ..failure
        }
    }

    /// The customer has reached its rate limit.
    pub(super) const fn over_limit(retry_after_ms: u64, trace: LimitTrace) -> Self {
        Self {
            limit: Some(trace),
            status: http::StatusCode::TOO_MANY_REQUESTS,
            ..Self::refused(
                RequestCompletion::RefusedLimit,
                retry_after_ms,
                "the customer's limit is reached",
            )
        }
    }

    /// The request was sent to no server.
    pub(super) const fn without_server(reason: NoServer, retry_after_ms: u64) -> Self {
        match reason {
            NoServer::AllFull => Self::refused(
                RequestCompletion::RefusedFull,
                retry_after_ms,
                refusal_reason::EVERY_SERVER_LATE,
            ),
            NoServer::AllLimited => Self::refused(
                RequestCompletion::RefusedFull,
                retry_after_ms,
                refusal_reason::EVERY_SERVER_LIMITED,
            ),
            NoServer::NoneEligible => Self::refused(
                RequestCompletion::RefusedNoServer,
                retry_after_ms,
                "no server may serve it now",
            ),
        }
    }
}
