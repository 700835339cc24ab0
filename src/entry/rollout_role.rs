//! This host's part in roll-outs: it joins the decisions of [`crate::rollout`] to sockets, clock and store.
//!
//! The first host of each region that watches the store decides for its region. The others report to it what they
//! count, and those of different regions tell each other their sums.

use std::{cell, collections, net, rc, time};

use serde_json::json;

use super::follow;
use super::gossip;
use super::hash;
use super::host::EntryHost;
use super::peer_message::PeerMessage;
use super::store::{ChangeBatch, ObjectContent, ObjectStore, StoreFault, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::rollout::message::{RolloutAnswer, RolloutChange, RolloutNews, RolloutReport};
use crate::rollout::order::{RolloutRecord, VersionTag};
use crate::rollout::pace;
use crate::rollout::plan::VersionRule;
use crate::rollout::table::{RegionView, RolloutTable};
use crate::timer::Moment;

/// An answer that took this many times as long as usual counts as bad.
pub(super) const SLOW_FACTOR: f64 = 3.0;
/// Hosts that decide for their regions record in turn, so that one call does: each waits this much longer than the one
/// before, in milliseconds.
const RECORD_TURN_MS: u64 = 1_000;
/// How often it is looked whether something is to be recorded.
const RECORD_CHECK: time::Duration = time::Duration::from_millis(200);

/// The roll-outs that a host knows.
#[derive(Debug, Default)]
pub struct RolloutRole {
    table: cell::RefCell<RolloutTable>,
    reported: cell::Cell<Moment>,
}

impl RolloutRole {
    /// What other hosts are told.
    pub(super) fn news(&self, now: Moment) -> RolloutNews {
        self.table.borrow().news(now)
    }

    /// The store's position up to which the orders are current.
    pub(super) fn position(&self) -> u64 {
        self.table.borrow().position()
    }

    /// A request of `service` has ended on a server.
    pub(super) fn on_answer(&self, service: &str, answer: &RolloutAnswer<'_>) {
        self.table.borrow_mut().on_answer(service, answer);
    }

    /// A host of this region has reported.
    pub(super) fn on_host_report(&self, report: RolloutReport, now: Moment) {
        self.table.borrow_mut().on_host_report(report, now);
    }

    /// Another region has reported.
    pub(super) fn on_region_report(&self, report: RolloutReport, now: Moment) {
        self.table.borrow_mut().on_region_report(report, now);
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Takes over the whole list of orders, current up to `position`.
    pub(super) fn on_rollout_list(&self, objects: &[StoredObject], position: u64) {
        self.note_unreadable_rollouts(objects.iter());
        let orders = objects.iter().filter_map(|object| match &object.content {
            ObjectContent::Rollout(stored) => Some((stored.clone(), object.revision)),
            _ => None,
        });
        let mut table = self.rollouts.table.borrow_mut();
        table.on_list(orders.collect(), position, self.now());
        let is_empty = table.is_empty();
        drop(table);
        if !is_empty {
            gossip::announce(self);
        }
    }

    /// Takes over what a watch of the orders brought.
    pub(super) fn on_rollout_changes(&self, batch: &ChangeBatch) {
        self.note_unreadable_rollouts(batch.changes.iter().map(|change| &change.object));
        let now = self.now();
        let mut table = self.rollouts.table.borrow_mut();
        for change in &batch.changes {
            match &change.object.content {
                _ if change.deleted => table.on_gone(&change.object.name),
                ObjectContent::Rollout(stored) => {
                    table.on_order(stored.clone(), change.object.revision, now);
                }
                _ => {}
            }
        }
        table.on_position(batch.revision);
        drop(table);
        gossip::announce(self);
    }

    fn note_unreadable_rollouts<'a>(&self, objects: impl Iterator<Item = &'a StoredObject>) {
        for object in objects {
            if let ObjectContent::Unreadable(reason) = &object.content {
                let fields = json!({ "object": object.name, "reason": reason });
                self.note(EventCode::ObjectUnreadable, fields);
            }
        }
    }

    /// Another host tells what it knows of orders. Who decides for its region passes on what is new there.
    pub(super) fn on_rollout_news(&self, news: &RolloutNews) {
        let now = self.now();
        let is_news = self.rollouts.table.borrow_mut().on_news(news, now);
        if is_news && self.decides_rollouts(now) {
            gossip::announce(self);
        }
    }

    /// Which versions may get a request of `service` about `object`; `is_repeat` tells that a server has failed it.
    pub(super) fn version_rule(
        &self,
        service: &str,
        object: Option<u64>,
        is_repeat: bool,
    ) -> VersionRule {
        let table = self.rollouts.table.borrow();
        if table.is_empty() {
            return VersionRule::Any;
        }
        let point = match object {
            // Not the number by which the servers are ranked.
            Some(object) => hash::uniform(hash::mix(object)),
            None => rand::Rng::random(&mut *self.random.borrow_mut()),
        };
        let canary_share = self.settings().bounds.canary_share.unwrap_or(0.0);
        table.rule_of(service, point, canary_share, is_repeat, self.now())
    }

    fn decides_rollouts(&self, now: Moment) -> bool {
        self.peers.borrow().is_first_watcher(&self.record(), now)
    }

    /// Reports what was counted, or decides, for each order whose traffic is being moved.
    pub(super) fn on_rollout_tick(&self) {
        let now = self.now();
        let is_early = now.since(self.rollouts.reported.get()) < pace::REPORT_MS;
        if self.rollouts.table.borrow().is_empty() || is_early {
            return;
        }
        self.rollouts.reported.set(now);
        let table = self.rollouts.table.borrow();
        let running = table.running();
        let running = running.map(|order| (order.service.clone(), order.target_tag()));
        let running: Vec<_> = running.collect();
        drop(table);
        let decider = {
            let peers = self.peers.borrow();
            let first = peers.first_watcher(&self.record(), now);
            first.map(|record| record.heartbeat_address)
        };
        for (service, target) in running {
            let others_open = self.open_on_others(&service, target);
            match decider {
                Some(decider) => self.report_rollout(&service, others_open, decider),
                None => self.decide_rollout(&service, others_open, now),
            }
        }
    }

    /// Requests of this host that are under way on servers of other versions.
    fn open_on_others(&self, service: &str, target: VersionTag) -> u32 {
        let fleet = self.fleet.borrow();
        let servers = fleet.of_service(service).iter();
        let others = servers.filter(|server| server.version != target);
        others.map(|server| server.in_flight()).sum()
    }

    fn report_rollout(&self, service: &str, others_open: u32, decider: net::SocketAddr) {
        let settings = self.settings();
        let source = hash::of_name(&settings.name);
        let hosts = self.peers.borrow().region_size(&settings.region);
        let now = self.now();
        let mut table = self.rollouts.table.borrow_mut();
        let report = table.own_report(service, source, others_open, hosts, now);
        drop(table);
        if let Some(report) = report {
            gossip::send(self, &PeerMessage::RolloutReport(report), &[decider]);
        }
    }

    fn decide_rollout(&self, service: &str, others_open: u32, now: Moment) {
        let region = self.settings().region.clone();
        let (view, targets) = {
            let peers = self.peers.borrow();
            // A handful of regions.
            let others = peers.other_live_regions(&region, now).len() as u32;
            let view = RegionView {
                others_open,
                hosts: peers.region_size(&region),
                regions: others + 1,
            };
            (view, peers.relay_targets(&region, now))
        };
        let mut table = self.rollouts.table.borrow_mut();
        let change = table.decide(service, view, now);
        let source = hash::of_name(&region);
        let report = table.region_report(service, source, view, now);
        drop(table);
        if let Some(report) = report {
            gossip::send(self, &PeerMessage::RegionRollout(report), &targets);
        }
        if let Some(change) = change {
            self.note_rollout(&change);
            self.announce_rollout(&targets);
        }
    }

    fn note_rollout(&self, change: &RolloutChange) {
        let fields = json!({
            "service": change.order.service,
            "target": change.order.target,
            "step": change.step,
            "state": change.state,
        });
        self.note(EventCode::RolloutChanged, fields);
    }

    /// Tells the own region, and those who pass it on in the others.
    fn announce_rollout(&self, targets: &[net::SocketAddr]) {
        gossip::announce(self);
        let heartbeat = PeerMessage::Heartbeat(Box::new(self.heartbeat(true)));
        gossip::send(self, &heartbeat, targets);
    }

    fn unrecorded_rollouts(&self, now: Moment) -> Vec<RolloutRecord> {
        let table = self.rollouts.table.borrow();
        table.unrecorded(self.record_wait_ms(), now)
    }

    /// How long this host waits before it records what others may record as well, in milliseconds.
    fn record_wait_ms(&self) -> u64 {
        let settings = self.settings();
        let regions: collections::BTreeSet<_> = settings.halls.regions();
        let place = regions.iter().position(|region| *region == settings.region);
        place.unwrap_or_default() as u64 * RECORD_TURN_MS
    }
}

/// Starts the task that records in the store how far orders have come.
pub(super) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    if host.settings().bounds.canary_share.is_some() {
        tokio::task::spawn_local(record_all(rc::Rc::clone(host), rc::Rc::clone(store)));
    }
}

async fn record_all<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    let mut pause_ms = follow::MIN_BACKOFF_MS;
    loop {
        tokio::time::sleep(RECORD_CHECK).await;
        let now = host.now();
        if host.rollouts.table.borrow().is_empty() || !host.decides_rollouts(now) {
            continue;
        }
        for record in host.unrecorded_rollouts(now) {
            match follow::with_timeout(store.record_rollout(&record)).await {
                Ok(revision) => {
                    let mut table = host.rollouts.table.borrow_mut();
                    table.on_recorded(&record, revision, now);
                    pause_ms = follow::MIN_BACKOFF_MS;
                }
                Err(fault) => {
                    note_not_recorded(&host, &fault);
                    follow::sleep_with_jitter(&host, pause_ms).await;
                    pause_ms = (pause_ms * 2).min(follow::MAX_BACKOFF_MS);
                }
            }
        }
    }
}

fn note_not_recorded<W: WireProtocol>(host: &EntryHost<W>, fault: &StoreFault) {
    // The watch brings what another host has recorded.
    let fields = json!({ "fault": fault.to_string() });
    host.note(EventCode::RolloutNotRecorded, fields);
}
