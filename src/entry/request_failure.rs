//! Why a caller's request ends without a backend server's answer, and what the caller is told.

use super::choice::NoServer;
use super::customer::KeyDigest;
use super::limits::message::LimitTrace;
use super::metrics_page::RequestCompletion;
use super::quarantine;
use crate::result_code::ResultCode;

/// A host without a configuration asks callers to come back after this time, in milliseconds:
/// about what it takes to read one from the store or another host.
const NO_CONFIGURATION_MS: u64 = 300;
/// A caller that a stopping host turns away finds another at once; in milliseconds.
const LEAVING_COME_BACK_MS: u64 = 10;

/// Why a request ends without a server's answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestFailure {
    /// The status for the caller.
    pub(super) status: http::StatusCode,
    /// How it counts.
    pub(super) end: RequestCompletion,
    /// When the caller should come back, if it should.
    pub(super) come_back_ms: Option<u64>,
    /// Why, for the log.
    pub(super) reason: &'static str,
    /// Free slots within reach when it was refused for want of room, for the log.
    pub(super) free_slots: Option<u32>,
    /// What was found out about its customer's limit, for the log.
    pub(super) limit: Option<LimitTrace>,
    /// The key that was refused; it prints as a fingerprint.
    pub(super) key: Option<KeyDigest>,
}

impl RequestFailure {
    /// The numbered code that callers and logs get.
    pub(super) const fn code(&self) -> ResultCode {
        match (self.end, self.status) {
            (RequestCompletion::RefusedFull, _) => ResultCode::BudgetExhausted,
            (RequestCompletion::RefusedNoServer | RequestCompletion::RefusedUnlisted, _) => {
                ResultCode::NoHealthyServer
            }
            (RequestCompletion::RefusedUnconfigured, _) => ResultCode::ConfigurationMissing,
            (RequestCompletion::RefusedLeaving, _) => ResultCode::HostLeaving,
            (RequestCompletion::RefusedLimit, _) => ResultCode::LimitReached,
            (RequestCompletion::RefusedHomes, _) => ResultCode::HomesApart,
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

    /// There is no configuration to serve by.
    pub(super) const UNCONFIGURED: Self = Self::refused(
        RequestCompletion::RefusedUnconfigured,
        NO_CONFIGURATION_MS,
        "no configuration yet",
    );
    /// There is no list of servers yet.
    pub(super) const UNLISTED: Self = Self::refused(
        RequestCompletion::RefusedUnlisted,
        NO_CONFIGURATION_MS,
        "no list of servers yet",
    );
    /// This host stops too soon.
    pub(super) const LEAVING: Self = Self::refused(
        RequestCompletion::RefusedLeaving,
        LEAVING_COME_BACK_MS,
        "this host stops before the request's time is over",
    );
    /// No route fits.
    pub(super) const NO_ROUTE: Self = Self::rejected(http::StatusCode::NOT_FOUND, "no route");
    /// It carries no key, where one is needed.
    pub(super) const KEY_MISSING: Self = Self::rejected(http::StatusCode::UNAUTHORIZED, "no key");
    /// It carries several keys.
    pub(super) const KEYS_SEVERAL: Self =
        Self::rejected(http::StatusCode::UNAUTHORIZED, "several keys");
    /// Its route and its customer have no region in common. Coming back does not help.
    pub(super) const HOMES_APART: Self = Self::with_status(
        http::StatusCode::SERVICE_UNAVAILABLE,
        RequestCompletion::RefusedHomes,
        "no region may serve both its route and its customer",
    );
    /// Servers ended under it, and it is sent to no other.
    pub(super) const QUARANTINED: Self = Self::refused(
        RequestCompletion::RefusedQuarantined,
        quarantine::COME_BACK_MS,
        "servers ended under it",
    );
    /// Its headers exceed what is configured.
    pub(super) const HEAD_TOO_LARGE: Self = Self::rejected(
        http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "the headers are too large",
    );
    /// It was sent, and its time ran out.
    pub(super) const TIMED_OUT: Self = Self::with_status(
        http::StatusCode::GATEWAY_TIMEOUT,
        RequestCompletion::TimedOut,
        "no answer in time",
    );

    /// It has not run and may come again.
    const fn refused(end: RequestCompletion, come_back_ms: u64, reason: &'static str) -> Self {
        Self {
            status: http::StatusCode::SERVICE_UNAVAILABLE,
            end,
            come_back_ms: Some(come_back_ms),
            reason,
            free_slots: None,
            limit: None,
            key: None,
        }
    }

    const fn with_status(
        status: http::StatusCode,
        end: RequestCompletion,
        reason: &'static str,
    ) -> Self {
        Self {
            status,
            end,
            come_back_ms: None,
            reason,
            free_slots: None,
            limit: None,
            key: None,
        }
    }

    /// The same, with what is known of free slots.
    pub(super) const fn with_free_slots(self, free_slots: u32) -> Self {
        Self {
            free_slots: Some(free_slots),
            ..self
        }
    }

    /// The request itself is at fault.
    pub(super) const fn rejected(status: http::StatusCode, reason: &'static str) -> Self {
        Self::with_status(status, RequestCompletion::Rejected, reason)
    }

    /// It was sent, and no answer that can be trusted came.
    pub(super) const fn lost(reason: &'static str) -> Self {
        Self::with_status(
            http::StatusCode::BAD_GATEWAY,
            RequestCompletion::Lost,
            reason,
        )
    }

    /// The servers that were asked have not run it.
    pub(super) const fn not_run(come_back_ms: u64) -> Self {
        Self::refused(
            RequestCompletion::RefusedFull,
            come_back_ms,
            "no server that was asked ran it",
        )
    }

    /// No customer holds its key.
    pub(super) const fn key_unknown(key: KeyDigest) -> Self {
        let failure = Self::rejected(
            http::StatusCode::UNAUTHORIZED,
            "a key that no customer holds",
        );
        Self {
            key: Some(key),
            ..failure
        }
    }

    /// No customer that could be read holds its key.
    pub(super) const fn key_undecided(key: KeyDigest) -> Self {
        let failure = Self::refused(
            RequestCompletion::RefusedUnconfigured,
            NO_CONFIGURATION_MS,
            "a key that may be of a customer who could not be read",
        );
        Self {
            key: Some(key),
            ..failure
        }
    }

    /// Its customer's limit leaves no room.
    pub(super) const fn over_limit(come_back_ms: u64, trace: LimitTrace) -> Self {
        Self {
            limit: Some(trace),
            status: http::StatusCode::TOO_MANY_REQUESTS,
            ..Self::refused(
                RequestCompletion::RefusedLimit,
                come_back_ms,
                "the customer's limit is reached",
            )
        }
    }

    /// No server was asked.
    pub(super) const fn without_server(reason: NoServer, come_back_ms: u64) -> Self {
        match reason {
            NoServer::AllFull => Self::refused(
                RequestCompletion::RefusedFull,
                come_back_ms,
                "every server would answer too late",
            ),
            NoServer::AllLimited => Self::refused(
                RequestCompletion::RefusedFull,
                come_back_ms,
                "every server has as many requests as it takes",
            ),
            NoServer::NoneFit => Self::refused(
                RequestCompletion::RefusedNoServer,
                come_back_ms,
                "no server may serve it now",
            ),
        }
    }
}
