//! Connects the exchange of servers' loads ([`crate::load_exchange`]) with the answers of servers,
//! the choice of servers and the datagrams between hosts.
//!
//! The exchange is on where the settings have `load_exchange_min_hosts` and this host knows at least
//! so many hosts. Otherwise it uses its own observations only.

use std::{cell, net, rc};

use super::answer_claims::{AnswerClaims, AnswerTrust};
use super::attempt_record::ExpectedAnswer;
use super::fleet_server::FleetServer;
use super::gossip;
use super::host::EntryHost;
use super::peer_message::PeerMessage;
use super::server::ServerLoad;
use super::server_answer::ServerAnswer;
use super::wire::WireProtocol;
use crate::load_exchange::digest::{CachedObject, LoadDigest, ServerKey};
use crate::load_exchange::estimate::{self, ServerReport};
use crate::load_exchange::news::{LoadNews, NewsRound};
use crate::load_exchange::schedule::RELAY_RECIPIENTS;
use crate::timer::Moment;

/// Number of ticks between two computations of the mean loads, which change slowly.
const TICKS_PER_MEAN: u32 = 5;

/// What a host knows of servers' loads for the exchange.
#[derive(Debug, Default)]
pub(super) struct LoadExchangeRole {
    is_on: cell::Cell<bool>,
    ticks: cell::Cell<u32>,
    news: cell::RefCell<LoadNews>,
    servers: cell::RefCell<ServerKeys>,
}

/// The known servers by key. `None` for a key that two servers share; such servers are left out of
/// the exchange.
#[derive(Debug, Default)]
struct ServerKeys {
    by_key: rustc_hash::FxHashMap<ServerKey, Option<rc::Rc<FleetServer>>>,
}

impl ServerKeys {
    fn of_servers<'a>(servers: impl Iterator<Item = &'a rc::Rc<FleetServer>>) -> Self {
        let mut by_key = rustc_hash::FxHashMap::with_capacity_and_hasher(
            servers.size_hint().0,
            rustc_hash::FxBuildHasher,
        );
        for server in servers {
            by_key
                .entry(key_of(server))
                .and_modify(|other| *other = None)
                .or_insert_with(|| Some(rc::Rc::clone(server)));
        }
        Self { by_key }
    }

    fn server(&self, key: ServerKey) -> Option<&rc::Rc<FleetServer>> {
        let server = self.by_key.get(&key)?.as_ref();
        server.filter(|server| !server.is_removed())
    }
}

const fn key_of(server: &FleetServer) -> ServerKey {
    ServerKey::of_incarnation(server.incarnation_hash)
}

impl<W: WireProtocol> EntryHost<W> {
    /// Applies the load that a server reported with an answer to this host.
    pub(super) fn on_server_load(
        &self,
        server: &FleetServer,
        load: ServerLoad,
        claims: &AnswerClaims<'_>,
        now: Moment,
    ) {
        let expected = server.expected_load(now);
        let mut metrics = self.metrics.borrow_mut();
        metrics.load.on_answer(expected, load.requests());
        if !self.load_exchange.is_on.get() {
            server.on_load_report(ServerLoad { pace: None, ..load }, now);
            return;
        }
        server.on_load_report(load, now);
        if claims.trust == AnswerTrust::Verified {
            // The load includes the request of this answer, which has ended.
            let ended = u32::from(!claims.head.not_run);
            let report = ServerReport {
                requests: load.requests().saturating_sub(ended),
                pace: load.pace,
                at: now,
            };
            let mut news = self.load_exchange.news.borrow_mut();
            news.on_answer(key_of(server), report);
        }
    }

    /// Records that a request is about to be sent to `server`. If that makes the server cache the
    /// object although another one is its first, other hosts are told.
    pub(super) fn on_server_chosen(
        &self,
        server: &FleetServer,
        object: Option<u64>,
        expected: &ExpectedAnswer,
    ) {
        let mut metrics = self.metrics.borrow_mut();
        metrics.load.on_choice(expected.load_age_ms);
        if let Some(object) = object
            && self.load_exchange.is_on.get()
            && !expected.object_cached
        {
            let placement = CachedObject::at(key_of(server), object);
            let mut news = self.load_exchange.news.borrow_mut();
            news.on_own_placement(placement);
        }
    }

    /// The load that the server reported with an answer.
    pub(super) fn reported_load(&self, answer: &ServerAnswer) -> Option<ServerLoad> {
        self.wire.read_answer(&answer.head.headers).load
    }

    /// Whether hosts exchange loads now.
    pub(super) fn exchanges_loads(&self) -> bool {
        self.load_exchange.is_on.get()
    }

    /// Sends what is to be told, and updates the mean loads now and then.
    pub(super) fn on_load_exchange_tick(&self) {
        let role = &self.load_exchange;
        let is_on = self.should_exchange_loads();
        let was_on = role.is_on.replace(is_on);
        if !is_on {
            if was_on {
                self.stop_load_exchange();
            }
            return;
        }
        let ticks = role.ticks.get();
        role.ticks.set((ticks + 1) % TICKS_PER_MEAN);
        if ticks == 0 || !was_on {
            self.update_known_servers();
            self.update_mean_loads();
        }
        let round = role.news.borrow_mut().next_round(self.now());
        self.send_load_news(round);
    }

    fn should_exchange_loads(&self) -> bool {
        let Some(min_hosts) = self.settings().load.exchange_min_hosts else {
            return false;
        };
        let others = self.peers.borrow().records().count();
        others + 1 >= min_hosts as usize
    }

    fn stop_load_exchange(&self) {
        for server in self.fleet.borrow().servers() {
            server.set_mean_load(None);
        }
        *self.load_exchange.news.borrow_mut() = LoadNews::default();
        *self.load_exchange.servers.borrow_mut() = ServerKeys::default();
    }

    fn update_known_servers(&self) {
        let role = &self.load_exchange;
        role.news.borrow_mut().forget_silent(self.now());
        *role.servers.borrow_mut() = ServerKeys::of_servers(self.fleet.borrow().servers());
    }

    fn update_mean_loads(&self) {
        let Some(routes) = self.routes() else {
            return;
        };
        let now = self.now();
        let fleet = self.fleet.borrow();
        for service in &routes.configuration().services {
            let servers = fleet.of_service(&service.name);
            let reports = servers
                .iter()
                .map(|server| (server.slots, server.last_report()));
            let mean = estimate::mean_per_slot(reports, now);
            for server in servers {
                server.set_mean_load(mean.map(|mean| mean * f64::from(server.slots)));
            }
        }
    }

    fn send_load_news(&self, round: NewsRound) {
        let own = self.record();
        let targets = {
            let mut random = self.random.borrow_mut();
            self.peers.borrow().load_targets(&own, &mut random)
        };
        let (relays, others) = targets.split_at(targets.len().min(RELAY_RECIPIENTS));
        self.send_load_digest(round.relayed.with(&round.own), relays);
        self.send_load_digest(round.own, others);
    }

    fn send_load_digest(&self, digest: LoadDigest, targets: &[net::SocketAddr]) {
        if digest.is_empty() {
            return;
        }
        let count = targets.len() as u64;
        let reports = digest.reports.len() as u64;
        let before = self.metrics.borrow().peer_bytes_sent;
        gossip::send(self, &PeerMessage::Load(digest), targets);
        let mut metrics = self.metrics.borrow_mut();
        let bytes = metrics.peer_bytes_sent - before;
        metrics.load.digests_sent += count;
        metrics.load.reports_sent += reports * count;
        metrics.load.bytes_sent += bytes;
    }

    /// Applies a digest of another host, of `bytes` bytes.
    pub(super) fn on_load_digest(&self, digest: &LoadDigest, bytes: usize) {
        let mut metrics = self.metrics.borrow_mut();
        metrics.load.digests_received += 1;
        metrics.load.bytes_received += bytes as u64;
        metrics.load.reports_received += digest.reports.len() as u64;
        if !self.load_exchange.is_on.get() {
            return;
        }
        let now = self.now();
        let servers = self.load_exchange.servers.borrow();
        let mut news = self.load_exchange.news.borrow_mut();
        for told in &digest.reports {
            let Some(server) = servers.server(told.server) else {
                metrics.load.reports_void += 1;
                continue;
            };
            let report = told.report(now);
            if news.on_heard(told.server, report, now) {
                metrics.load.reports_new += 1;
                server.on_told_report(report);
            }
        }
        for placement in &digest.placements {
            metrics.load.placements_received += 1;
            let server = servers.server(placement.server);
            let is_new = server.is_some_and(|server| !server.record_object(placement.object()));
            if is_new {
                news.on_heard_placement(*placement);
            }
        }
    }
}
