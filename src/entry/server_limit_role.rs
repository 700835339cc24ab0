//! This host's part in keeping the limits that backend servers name: it joins the decisions of
//! [`super::server_limit`] to sockets and clock.

use std::{cell, net, time};

use serde_json::json;

use super::fleet_server::FleetServer;
use super::gossip;
use super::host::EntryHost;
use super::limits::message::RightVerdict;
use super::limits::{FAR_WAIT_MS, NEAR_WAIT_MS};
use super::peer_message::PeerMessage;
use super::peers::{KeeperPlace, KeeperQuery};
use super::pending_answers::PendingAnswers;
use super::server_limit::message::{
    LimitWord, SendRightAnswer, SendRightRequest, ServerLimitMessage,
};
use super::server_limit::rate::{NamedLimit, RequestRate};
use super::server_limit::right::SendRight;
use super::server_limit::table::{LimitChange, LimitSpell, ServerLimitTable};
use super::server_limit::{RIGHT_LIFE_MS, UNANSWERED_MS, WORDS_PER_DATAGRAM};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// The limits that servers name, and the questions for rights.
#[derive(Debug, Default)]
pub struct ServerLimitRole {
    table: cell::RefCell<ServerLimitTable>,
    questions: PendingAnswers<SendRightAnswer>,
}

/// What an answer says of its server's limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct NamedInAnswer {
    /// The limit.
    pub(super) named: NamedLimit,
    /// The time of a limit in which its request was sent, as far as was known then.
    pub(super) sent_in: Option<LimitSpell>,
    /// Whether the server certainly wrote it.
    pub(super) proves: bool,
}

impl ServerLimitRole {
    /// All that is known of the limits.
    pub(super) fn table(&self) -> cell::Ref<'_, ServerLimitTable> {
        self.table.borrow()
    }

    /// Servers that name a limit, as far as this host knows.
    pub(super) fn limited_count(&self) -> usize {
        self.table.borrow().limited_count()
    }

    fn on_other_keeper(&self, server: u64) {
        self.table.borrow_mut().on_other_keeper(server);
    }

    /// What the next heartbeat tells.
    pub(super) fn words_in_turn(&self) -> Vec<LimitWord> {
        self.table.borrow_mut().words_in_turn()
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// An answer of `server` has come.
    pub(super) fn on_named_limit(&self, server: &FleetServer, answer: &NamedInAnswer) {
        let change = self.server_limits.table.borrow_mut().on_answer(
            server.incarnation_hash,
            answer.named,
            answer.sent_in,
            answer.proves,
            self.now(),
        );
        self.note_limit(&server.id, change, "answer");
    }

    fn note_limit(&self, server: &str, change: LimitChange, source: &str) {
        let (event, rate) = match change {
            LimitChange::None => return,
            LimitChange::Began(rate) | LimitChange::Moved(rate) => {
                (EventCode::ServerLimited, Some(rate))
            }
            LimitChange::Ended => (EventCode::ServerUnlimited, None),
        };
        let fields = json!({
            "server": server,
            "per_s": rate.map(RequestRate::per_s),
            "source": source,
        });
        self.note(event, fields);
    }

    /// Finds the right to send one request to `server`. Where there is none, the next choices pass the server over
    /// until one may be had.
    pub(super) async fn find_send_right(&self, server: &FleetServer) -> Option<SendRight> {
        let word = self
            .server_limits
            .table
            .borrow()
            .word_of(server.incarnation_hash);
        let Some(word) = word else {
            return Some(SendRight::NotNeeded);
        };
        let until = self.now().plus(RIGHT_LIFE_MS);
        let verdict = self.ask_for_send(server, word).await;
        let mut metrics = self.metrics.borrow_mut();
        let wait_ms = match verdict {
            Some(RightVerdict::Granted) => {
                metrics.send_rights += 1;
                return Some(SendRight::Until(until));
            }
            Some(RightVerdict::Denied { room_in_ms }) => {
                metrics.send_rights_denied += 1;
                u64::from(room_in_ms)
            }
            Some(RightVerdict::NotHere) | None => {
                metrics.send_rights_unanswered += 1;
                UNANSWERED_MS
            }
        };
        let mut table = self.server_limits.table.borrow_mut();
        table.on_denied(server.incarnation_hash, wait_ms, self.now());
        None
    }

    /// Whether `right` allows to send one request to `server` now.
    pub(super) fn is_right_good(&self, server: &FleetServer, right: SendRight) -> bool {
        let limits = self.server_limits.table.borrow();
        let is_limited = limits.rate_of(server.incarnation_hash).is_some();
        right.is_good(is_limited, self.now())
    }

    async fn ask_for_send(&self, server: &FleetServer, word: LimitWord) -> Option<RightVerdict> {
        match self.keeper_of(server) {
            KeeperPlace::Own => Some(self.grant_send(server)),
            KeeperPlace::Nowhere => None,
            KeeperPlace::At { address, is_near } => {
                self.server_limits.on_other_keeper(server.incarnation_hash);
                self.ask_keeper(address, is_near, word).await
            }
        }
    }

    async fn ask_keeper(
        &self,
        address: net::SocketAddr,
        is_near: bool,
        word: LimitWord,
    ) -> Option<RightVerdict> {
        let asked_at = self.now();
        let question = self.server_limits.questions.open();
        let request = ServerLimitMessage::Ask(SendRightRequest {
            id: question.id,
            word,
            reply_to: None,
        });
        gossip::send(self, &PeerMessage::ServerLimit(request), &[address]);
        let wait_ms = if is_near { NEAR_WAIT_MS } else { FAR_WAIT_MS };
        let wait = time::Duration::from_millis(wait_ms);
        let answer = self
            .server_limits
            .questions
            .wait_for(question, wait)
            .await?;
        self.on_limit_word(&answer.word, "keeper");
        let is_late = self.now().since(asked_at) > RIGHT_LIFE_MS;
        (!is_late).then_some(answer.verdict)
    }

    fn keeper_of(&self, server: &FleetServer) -> KeeperPlace {
        let own = self.record();
        let peers = self.peers.borrow();
        let query = KeeperQuery {
            region: &server.region,
            server: server.incarnation_hash,
            own: &own,
            may_keep: !self.is_leaving(),
        };
        peers.limit_keeper(&query, self.now())
    }

    /// Gives out a right as the keeper. A host that has not met the others of its region is none: it might take itself
    /// for the keeper of every server.
    fn grant_send(&self, server: &FleetServer) -> RightVerdict {
        if !self.has_met_region() {
            return RightVerdict::NotHere;
        }
        let mut table = self.server_limits.table.borrow_mut();
        table.grant(server.incarnation_hash, self.now())
    }

    /// Takes in a word about a server that is known here; of others nothing can be asked.
    fn on_limit_word(&self, word: &LimitWord, source: &str) {
        let server = self.fleet.borrow().of_incarnation(word.server);
        let Some(server) = server else {
            return;
        };
        let mut table = self.server_limits.table.borrow_mut();
        let change = table.on_word(word, self.now());
        drop(table);
        self.note_limit(&server.id, change, source);
    }

    /// Another host tells what it knows; what it lacks goes back.
    pub(super) fn on_limit_words(&self, words: &[LimitWord], source: Option<net::SocketAddr>) {
        for word in words {
            self.on_limit_word(word, "peer");
        }
        let table = self.server_limits.table.borrow();
        let beyond = words.iter().filter_map(|word| table.word_beyond(word));
        let beyond: Vec<LimitWord> = beyond.collect();
        drop(table);
        if let Some(source) = source {
            self.tell_limits(&beyond, &[source]);
        }
    }

    fn tell_limits(&self, words: &[LimitWord], targets: &[net::SocketAddr]) {
        for part in words.chunks(WORDS_PER_DATAGRAM) {
            let message = ServerLimitMessage::Words(part.to_vec());
            gossip::send(self, &PeerMessage::ServerLimit(message), targets);
        }
    }

    /// Tells some hosts at once which limits began or ended; for whom it is news, they tell it on. A hall whose
    /// servers all name limits costs each host a datagram for each of its targets, not one for each server.
    pub(super) fn on_limit_tick(&self) {
        self.server_limits.questions.forget_abandoned();
        let mut table = self.server_limits.table.borrow_mut();
        let fleet = self.fleet.borrow();
        table.on_tick(|server| fleet.of_incarnation(server).is_some(), self.now());
        drop(fleet);
        let news = table.take_news();
        drop(table);
        if news.is_empty() {
            return;
        }
        let region = self.settings().region.clone();
        let targets = {
            let mut random = self.random.borrow_mut();
            self.peers.borrow().word_targets(&region, &mut random)
        };
        self.tell_limits(&news, &targets);
    }

    /// A host asks for a right: this one gives it out as the keeper, or passes the question on once.
    fn on_right_request(&self, request: &SendRightRequest, source: net::SocketAddr) {
        self.on_limit_word(&request.word, "peer");
        // One that this host has not met is nobody's here.
        let server = self.fleet.borrow().of_incarnation(request.word.server);
        let place = server
            .as_ref()
            .map_or(KeeperPlace::Nowhere, |server| self.keeper_of(server));
        let verdict = match (place, &server) {
            (KeeperPlace::Own, Some(server)) => self.grant_send(server),
            (KeeperPlace::At { address, is_near }, _) => {
                self.server_limits.on_other_keeper(request.word.server);
                if is_near && request.reply_to.is_none() {
                    self.pass_on_request(request, source, address);
                    return;
                }
                RightVerdict::NotHere
            }
            _ => RightVerdict::NotHere,
        };
        let beyond = self.server_limits.table.borrow().word_beyond(&request.word);
        let answer = ServerLimitMessage::Answer(SendRightAnswer {
            id: request.id,
            word: beyond.unwrap_or(request.word),
            verdict,
        });
        let asker = request.reply_to.unwrap_or(source);
        gossip::send(self, &PeerMessage::ServerLimit(answer), &[asker]);
    }

    fn pass_on_request(
        &self,
        request: &SendRightRequest,
        asker: net::SocketAddr,
        keeper: net::SocketAddr,
    ) {
        let passed_on = ServerLimitMessage::Ask(SendRightRequest {
            reply_to: Some(asker),
            ..request.clone()
        });
        gossip::send(self, &PeerMessage::ServerLimit(passed_on), &[keeper]);
    }
}

/// Another host speaks of limits of servers.
pub(super) fn on_message<W: WireProtocol>(
    host: &EntryHost<W>,
    message: ServerLimitMessage,
    source: net::SocketAddr,
) {
    match message {
        ServerLimitMessage::Words(words) => host.on_limit_words(&words, Some(source)),
        ServerLimitMessage::Ask(request) => host.on_right_request(&request, source),
        ServerLimitMessage::Answer(answer) => {
            host.server_limits.questions.on_answer(answer.id, answer);
        }
    }
}
