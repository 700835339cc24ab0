//! Connects the decisions of [`super::server_limit`], on the limits that backend servers advertise,
//! to the sockets and the clock of this host.

use std::{cell, net, time};

use serde_json::json;

use super::fleet_server::FleetServer;
use super::gossip;
use super::host::EntryHost;
use super::limits::message::TokenVerdict;
use super::limits::{LOCAL_ANSWER_TIMEOUT_MS, REMOTE_ANSWER_TIMEOUT_MS};
use super::peer_message::PeerMessage;
use super::peers::{LimitOwner, LimitOwnerQuery};
use super::pending_answers::PendingAnswers;
use super::server_limit::message::{
    LimitUpdate, SendTokenAnswer, SendTokenRequest, ServerLimitMessage,
};
use super::server_limit::rate::{AdvertisedLimit, RequestRate};
use super::server_limit::table::{LimitChange, LimitPeriod, ServerLimitTable};
use super::server_limit::token::SendToken;
use super::server_limit::{TOKEN_LIFETIME_MS, UNANSWERED_SKIP_MS, UPDATES_PER_DATAGRAM};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// The limits that servers advertise, and the pending token requests.
#[derive(Debug, Default)]
pub struct ServerLimitRole {
    table: cell::RefCell<ServerLimitTable>,
    pending_requests: PendingAnswers<SendTokenAnswer>,
}

/// What an answer advertises about its server's limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdvertisedInAnswer {
    /// The advertised limit.
    pub(super) advertised: AdvertisedLimit,
    /// The limit period in which the request was sent, as far as was known then.
    pub(super) sent_in: Option<LimitPeriod>,
    /// Whether the server itself certainly wrote it.
    pub(super) is_proven: bool,
}

impl ServerLimitRole {
    /// All limits that are known.
    pub(super) fn table(&self) -> cell::Ref<'_, ServerLimitTable> {
        self.table.borrow()
    }

    /// The number of servers that advertise a limit, as far as this host knows.
    pub(super) fn limited_count(&self) -> usize {
        self.table.borrow().limited_count()
    }

    fn on_other_owner(&self, server: u64) {
        self.table.borrow_mut().on_other_owner(server);
    }

    /// The updates for the next heartbeat.
    pub(super) fn next_heartbeat_updates(&self) -> Vec<LimitUpdate> {
        self.table.borrow_mut().next_heartbeat_updates()
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Handles what an answer of `server` advertises.
    pub(super) fn on_advertised_limit(&self, server: &FleetServer, answer: &AdvertisedInAnswer) {
        let change = self.server_limits.table.borrow_mut().on_answer(
            server.incarnation_hash,
            answer.advertised,
            answer.sent_in,
            answer.is_proven,
            self.now(),
        );
        self.log_limit_change(&server.id, change, "answer");
    }

    fn log_limit_change(&self, server: &str, change: LimitChange, source: &str) {
        let (event, rate) = match change {
            LimitChange::None => return,
            LimitChange::Began(rate) | LimitChange::Changed(rate) => {
                (EventCode::ServerLimited, Some(rate))
            }
            LimitChange::Ended => (EventCode::ServerUnlimited, None),
        };
        let fields = json!({
            "server": server,
            "per_s": rate.map(RequestRate::per_s),
            "source": source,
        });
        self.log_event(event, fields);
    }

    /// Acquires a token to send one request to `server`. If there is none, the server is skipped in
    /// later choices until a token can be expected.
    pub(super) async fn acquire_send_token(&self, server: &FleetServer) -> Option<SendToken> {
        let update = self
            .server_limits
            .table
            .borrow()
            .update_of(server.incarnation_hash);
        let Some(update) = update else {
            return Some(SendToken::NotNeeded);
        };
        let until = self.now().plus(TOKEN_LIFETIME_MS);
        let verdict = self.request_send_token(server, update).await;
        let mut metrics = self.metrics.borrow_mut();
        let wait_ms = match verdict {
            Some(TokenVerdict::Granted) => {
                metrics.send_tokens += 1;
                return Some(SendToken::Until(until));
            }
            Some(TokenVerdict::Denied { available_in_ms }) => {
                metrics.send_tokens_denied += 1;
                u64::from(available_in_ms)
            }
            Some(TokenVerdict::NotHere) | None => {
                metrics.send_tokens_unanswered += 1;
                UNANSWERED_SKIP_MS
            }
        };
        let mut table = self.server_limits.table.borrow_mut();
        table.on_denied(server.incarnation_hash, wait_ms, self.now());
        None
    }

    /// Whether `token` permits sending one request to `server` now.
    pub(super) fn is_token_valid(&self, server: &FleetServer, token: SendToken) -> bool {
        let limits = self.server_limits.table.borrow();
        let is_limited = limits.rate_of(server.incarnation_hash).is_some();
        token.is_valid(is_limited, self.now())
    }

    async fn request_send_token(
        &self,
        server: &FleetServer,
        update: LimitUpdate,
    ) -> Option<TokenVerdict> {
        match self.limit_owner_of(server) {
            LimitOwner::ThisHost => Some(self.grant_send_token(server)),
            LimitOwner::Unknown => None,
            LimitOwner::Peer { address, is_local } => {
                self.server_limits.on_other_owner(server.incarnation_hash);
                self.request_send_token_from(address, is_local, update)
                    .await
            }
        }
    }

    async fn request_send_token_from(
        &self,
        address: net::SocketAddr,
        is_local: bool,
        update: LimitUpdate,
    ) -> Option<TokenVerdict> {
        let asked_at = self.now();
        let pending = self.server_limits.pending_requests.register();
        let request = ServerLimitMessage::Ask(SendTokenRequest {
            id: pending.id,
            update,
            reply_to: None,
        });
        gossip::send(self, &PeerMessage::ServerLimit(request), &[address]);
        let wait_ms = if is_local {
            LOCAL_ANSWER_TIMEOUT_MS
        } else {
            REMOTE_ANSWER_TIMEOUT_MS
        };
        let wait = time::Duration::from_millis(wait_ms);
        let answer = self
            .server_limits
            .pending_requests
            .wait_for(pending, wait)
            .await?;
        self.apply_limit_update(&answer.update, "keeper");
        let is_late = self.now().since(asked_at) > TOKEN_LIFETIME_MS;
        (!is_late).then_some(answer.verdict)
    }

    fn limit_owner_of(&self, server: &FleetServer) -> LimitOwner {
        let own = self.record();
        let peers = self.peers.borrow();
        let query = LimitOwnerQuery {
            region: &server.region,
            server: server.incarnation_hash,
            own: &own,
            may_own: !self.is_leaving(),
        };
        peers.limit_owner(&query, self.now())
    }

    /// Grants a token as the limit owner. A host that has not yet seen the other hosts of its
    /// region grants none: it might take itself for the owner of every server's limit.
    fn grant_send_token(&self, server: &FleetServer) -> TokenVerdict {
        if !self.has_discovered_region() {
            return TokenVerdict::NotHere;
        }
        let mut table = self.server_limits.table.borrow_mut();
        table.grant(server.incarnation_hash, self.now())
    }

    /// Applies an update for a server that is known here; updates for unknown servers are ignored.
    fn apply_limit_update(&self, update: &LimitUpdate, source: &str) {
        let server = self.fleet.borrow().of_incarnation(update.server);
        let Some(server) = server else {
            return;
        };
        let mut table = self.server_limits.table.borrow_mut();
        let change = table.on_update(update, self.now());
        drop(table);
        self.log_limit_change(&server.id, change, source);
    }

    /// Applies updates from another host and sends back the newer ones that it is missing.
    pub(super) fn on_limit_updates(
        &self,
        updates: &[LimitUpdate],
        source: Option<net::SocketAddr>,
    ) {
        for update in updates {
            self.apply_limit_update(update, "peer");
        }
        let table = self.server_limits.table.borrow();
        let newer = updates
            .iter()
            .filter_map(|update| table.newer_update(update));
        let newer: Vec<LimitUpdate> = newer.collect();
        drop(table);
        if let Some(source) = source {
            self.send_limit_updates(&newer, &[source]);
        }
    }

    fn send_limit_updates(&self, updates: &[LimitUpdate], targets: &[net::SocketAddr]) {
        for chunk in updates.chunks(UPDATES_PER_DATAGRAM) {
            let message = ServerLimitMessage::Words(chunk.to_vec());
            gossip::send(self, &PeerMessage::ServerLimit(message), targets);
        }
    }

    /// Sends the limits that began or ended to some hosts at once; those to which they are new
    /// forward them. Even if all servers of a hall advertise limits, that costs each host one
    /// datagram per target, not one per server.
    pub(super) fn on_limit_tick(&self) {
        self.server_limits.pending_requests.remove_abandoned();
        let mut table = self.server_limits.table.borrow_mut();
        let fleet = self.fleet.borrow();
        table.on_tick(|server| fleet.of_incarnation(server).is_some(), self.now());
        drop(fleet);
        let updates = table.take_unsent();
        drop(table);
        if updates.is_empty() {
            return;
        }
        let region = self.settings().region.clone();
        let targets = {
            let mut random = self.random.borrow_mut();
            self.peers.borrow().gossip_targets(&region, &mut random)
        };
        self.send_limit_updates(&updates, &targets);
    }

    /// Handles a token request of another host: grants a token as the limit owner, or forwards the
    /// request once.
    fn on_send_token_request(&self, request: &SendTokenRequest, source: net::SocketAddr) {
        self.apply_limit_update(&request.update, "peer");
        // A server that is unknown here has no known limit owner.
        let server = self.fleet.borrow().of_incarnation(request.update.server);
        let owner = server
            .as_ref()
            .map_or(LimitOwner::Unknown, |server| self.limit_owner_of(server));
        let verdict = match (owner, &server) {
            (LimitOwner::ThisHost, Some(server)) => self.grant_send_token(server),
            (LimitOwner::Peer { address, is_local }, _) => {
                self.server_limits.on_other_owner(request.update.server);
                if is_local && request.reply_to.is_none() {
                    self.forward_token_request(request, source, address);
                    return;
                }
                TokenVerdict::NotHere
            }
            _ => TokenVerdict::NotHere,
        };
        let newer = self
            .server_limits
            .table
            .borrow()
            .newer_update(&request.update);
        let answer = ServerLimitMessage::Answer(SendTokenAnswer {
            id: request.id,
            update: newer.unwrap_or(request.update),
            verdict,
        });
        let requester = request.reply_to.unwrap_or(source);
        gossip::send(self, &PeerMessage::ServerLimit(answer), &[requester]);
    }

    fn forward_token_request(
        &self,
        request: &SendTokenRequest,
        requester: net::SocketAddr,
        owner: net::SocketAddr,
    ) {
        let forwarded = ServerLimitMessage::Ask(SendTokenRequest {
            reply_to: Some(requester),
            ..request.clone()
        });
        gossip::send(self, &PeerMessage::ServerLimit(forwarded), &[owner]);
    }
}

/// Handles a message of another host about limits of servers.
pub(super) fn on_message<W: WireProtocol>(
    host: &EntryHost<W>,
    message: ServerLimitMessage,
    source: net::SocketAddr,
) {
    match message {
        ServerLimitMessage::Words(updates) => host.on_limit_updates(&updates, Some(source)),
        ServerLimitMessage::Ask(request) => host.on_send_token_request(&request, source),
        ServerLimitMessage::Answer(answer) => {
            host.server_limits
                .pending_requests
                .on_answer(answer.id, answer);
        }
    }
}
