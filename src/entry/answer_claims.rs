//! What an answer claims of the server that it comes from, and which claims are believed.
//!
//! All that a host learns of a server from an answer is taken in here, whatever becomes of the answer itself:
//!
//! | claim | believed of |
//! |---|---|
//! | load, coldness, a limit | any answer but a foreign one |
//! | the end of a limit | a proven answer |
//! | that the server leaves | a proven answer, or one that the caller gets |
//! | that the server wants rest | a 503 which says that the request did not run |

use serde_json::json;

use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::server_limit::rate::AdvertisedLimit;
use super::server_limit::table::LimitPeriod;
use super::server_limit_role::AdvertisedInAnswer;
use super::server_notice::ServerNotice;
use super::server_word::{LeavingWord, RestWord};
use super::wire::{ServerHead, WireProtocol};
use crate::event::EventCode;

/// How certain it is that a server wrote an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AnswerProof {
    /// It is another request's, or another incarnation's.
    Foreign,
    /// It is kept from the caller.
    Distrusted,
    /// The caller gets it, without the server's signature.
    Unsigned,
    /// It is signed, or says that the request did not run.
    Proven,
}

/// What one answer claims.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerClaims<'a> {
    /// Its head.
    pub(super) told: &'a ServerHead<'a>,
    /// Its status.
    pub(super) status: http::StatusCode,
    /// Whether the server wrote it.
    pub(super) proof: AnswerProof,
    /// The time of a limit in which its request was sent, as far as was known then.
    pub(super) sent_in: Option<LimitPeriod>,
}

impl AnswerClaims<'_> {
    /// The rest that the server asks for, if that is believed.
    fn rest(&self) -> RestWord {
        let turns_away = self.status == http::StatusCode::SERVICE_UNAVAILABLE && self.told.not_run;
        if turns_away {
            self.told.come_back
        } else {
            RestWord::Absent
        }
    }

    /// Whether the server says that it leaves, if that is believed.
    fn leaving(&self) -> LeavingWord {
        if self.proof >= AnswerProof::Unsigned {
            self.told.leaving
        } else {
            LeavingWord::Absent
        }
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Takes in what an answer claims of `server`.
    pub(super) fn on_answer_claims(&self, server: &FleetServer, claims: &AnswerClaims<'_>) {
        if claims.proof == AnswerProof::Foreign {
            return;
        }
        let now = self.now();
        if let Some(load) = claims.told.load {
            server.on_load(load, now);
        }
        if let Some(cold) = claims.told.cold {
            server.set_cold_until(now.plus(cold.as_millis() as u64));
        }
        self.on_limit_claim(server, claims);
        self.on_leaving_claim(server, claims);
        self.on_rest_claim(server, claims.rest());
        if server.is_gone() {
            self.fleet.borrow_mut().on_late_notice(server, now);
        }
    }

    fn on_limit_claim(&self, server: &FleetServer, claims: &AnswerClaims<'_>) {
        if claims.told.limit == AdvertisedLimit::Unreadable {
            self.on_unreadable_word(server, "limit");
            return;
        }
        let answer = AdvertisedInAnswer {
            advertised: claims.told.limit,
            sent_in: claims.sent_in,
            is_proven: claims.proof == AnswerProof::Proven,
        };
        self.on_advertised_limit(server, &answer);
    }

    fn on_leaving_claim(&self, server: &FleetServer, claims: &AnswerClaims<'_>) {
        match claims.leaving() {
            LeavingWord::Absent => {}
            LeavingWord::Unreadable => self.on_unreadable_word(server, "leaving"),
            LeavingWord::Leaving => {
                // What only seems to come from the server concerns this host alone: it passes the answer on.
                self.on_server_leaving(server, "answer");
                if claims.proof == AnswerProof::Proven && !server.is_draining() {
                    self.leaving_news.push(server.start_hash);
                }
            }
        }
    }

    /// A server leaves, as it or another host says.
    pub(super) fn on_server_leaving(&self, server: &FleetServer, source: &str) {
        let now = self.now();
        if server.change_notice(|notice| notice.on_leaving(now)) {
            let fields = json!({ "server": server.id, "hall": server.hall, "source": source });
            self.note(EventCode::ServerSaysLeaving, fields);
        }
    }

    fn on_rest_claim(&self, server: &FleetServer, word: RestWord) {
        let rest = match word {
            RestWord::Absent => return,
            RestWord::Unreadable => return self.on_unreadable_word(server, "rest"),
            RestWord::For(rest) => rest,
        };
        self.metrics.borrow_mut().backoffs += 1;
        let now = self.now();
        let until = now.plus(rest.as_millis() as u64);
        if server.change_notice(|notice| notice.on_rest(until, now)) {
            let fields = json!({
                "server": server.id,
                "hall": server.hall,
                "rest_ms": rest.as_millis() as u64,
            });
            self.note(EventCode::ServerRests, fields);
        }
    }

    /// A server says something of itself that cannot be understood: one line for each server.
    fn on_unreadable_word(&self, server: &FleetServer, word: &str) {
        self.metrics.borrow_mut().unreadable_headers += 1;
        if server.change_notice(ServerNotice::on_unreadable) {
            let fields = json!({ "server": server.id, "hall": server.hall, "word": word });
            self.note(EventCode::ServerWordUnreadable, fields);
        }
    }
}
