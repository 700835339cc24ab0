//! Applies what a server states about itself in the headers of an answer.
//!
//! Every answer is evaluated here, also one that the caller does not get. How much trust a claim
//! needs:
//!
//! | claim | accepted from |
//! |---|---|
//! | load, coldness, a limit | any answer but a foreign one |
//! | load, to be told to other hosts | a verified answer |
//! | the end of a limit | a verified answer |
//! | that the server is leaving | a verified answer, or an unsigned one that the caller gets |
//! | a backoff | a 503 that states that the request did not run |

use serde_json::json;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::server_header::{BackoffHeader, LeavingHeader};
use super::server_limit::rate::AdvertisedLimit;
use super::server_limit::table::LimitPeriod;
use super::server_limit_role::AdvertisedInAnswer;
use super::server_notice::ServerNotice;
use super::wire::{ServerHead, WireProtocol};
use crate::event::EventCode;

/// How much an answer is trusted to come from the server, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AnswerTrust {
    /// It belongs to another request or comes from another incarnation.
    Foreign,
    /// It comes from the server's address but is not forwarded to the caller.
    Distrusted,
    /// It is forwarded to the caller but not signed by the server.
    Unsigned,
    /// It is signed, or states that the request did not run.
    Verified,
}

/// The claims of one answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerClaims<'a> {
    /// The headers of the answer.
    pub(super) head: &'a ServerHead<'a>,
    /// The status of the answer.
    pub(super) status: http::StatusCode,
    /// How much the answer is trusted.
    pub(super) trust: AnswerTrust,
    /// The limit period in which the request was sent, as known at that time.
    pub(super) sent_in: Option<LimitPeriod>,
}

impl AnswerClaims<'_> {
    /// The backoff that the server asks for, if the claim is accepted.
    fn backoff(&self) -> BackoffHeader {
        let is_refusal = self.status == http::StatusCode::SERVICE_UNAVAILABLE && self.head.not_run;
        if is_refusal {
            self.head.retry_after
        } else {
            BackoffHeader::Absent
        }
    }

    /// Whether the server states that it is leaving, if the claim is accepted.
    fn leaving(&self) -> LeavingHeader {
        if self.trust >= AnswerTrust::Unsigned {
            self.head.leaving
        } else {
            LeavingHeader::Absent
        }
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Applies the claims of an answer from `server`.
    pub(super) fn on_answer_claims(&self, server: &FleetServer, claims: &AnswerClaims<'_>) {
        if claims.trust == AnswerTrust::Foreign {
            return;
        }
        let now = self.now();
        if let Some(load) = claims.head.load {
            self.on_server_load(server, load, claims, now);
        }
        if let Some(cold) = claims.head.cold {
            server.set_cold_until(now.plus(cold.as_millis() as u64));
        }
        self.on_limit_claim(server, claims);
        self.on_leaving_claim(server, claims);
        self.on_backoff_claim(server, claims.backoff());
        if server.is_removed() {
            self.fleet.borrow_mut().on_late_notice(server, now);
        }
    }

    fn on_limit_claim(&self, server: &FleetServer, claims: &AnswerClaims<'_>) {
        if claims.head.limit == AdvertisedLimit::Unreadable {
            self.on_unreadable_header(server, "limit");
            return;
        }
        let answer = AdvertisedInAnswer {
            advertised: claims.head.limit,
            sent_in: claims.sent_in,
            is_proven: claims.trust == AnswerTrust::Verified,
        };
        self.on_advertised_limit(server, &answer);
    }

    fn on_leaving_claim(&self, server: &FleetServer, claims: &AnswerClaims<'_>) {
        match claims.leaving() {
            LeavingHeader::Absent => {}
            LeavingHeader::Unreadable => self.on_unreadable_header(server, "leaving"),
            LeavingHeader::Leaving => {
                // An unverified claim applies to this host only, which also forwards the answer
                // that carries it. Other hosts get verified claims only.
                self.on_server_leaving(server, "answer");
                if claims.trust == AnswerTrust::Verified && !server.is_draining() {
                    self.leaving_updates.push(server.incarnation_hash);
                }
            }
        }
    }

    /// Records that a server is leaving, as reported by the server itself or by another host.
    pub(super) fn on_server_leaving(&self, server: &FleetServer, source: &str) {
        let now = self.now();
        if server.change_notice(|notice| notice.on_leaving(now)) {
            let fields = json!({ "server": server.id, "hall": server.hall, "source": source });
            self.log_event(EventCode::ServerSaysLeaving, fields);
        }
    }

    fn on_backoff_claim(&self, server: &FleetServer, header: BackoffHeader) {
        let backoff = match header {
            BackoffHeader::Absent => return,
            BackoffHeader::Unreadable => return self.on_unreadable_header(server, "rest"),
            BackoffHeader::For(backoff) => backoff,
        };
        self.metrics.borrow_mut().backoffs += 1;
        let now = self.now();
        let until = now.plus(backoff.as_millis() as u64);
        if server.change_notice(|notice| notice.on_backoff(until, now)) {
            let fields = json!({
                "server": server.id,
                "hall": server.hall,
                "rest_ms": backoff.as_millis() as u64,
            });
            self.log_event(EventCode::ServerRests, fields);
        }
    }

    /// Counts an unreadable header and logs the first one of each server.
    fn on_unreadable_header(&self, server: &FleetServer, name: &str) {
        self.metrics.borrow_mut().unreadable_headers += 1;
        if server.change_notice(ServerNotice::on_unreadable) {
            let fields = json!({ "server": server.id, "hall": server.hall, "word": name });
            self.log_event(EventCode::ServerWordUnreadable, fields);
        }
    }
}
