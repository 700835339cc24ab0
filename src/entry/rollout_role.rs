//! Runs rollouts on an entry host: connects the decisions of [`crate::rollout`] to sockets, clock
//! and store.
//!
//! The first store watcher of each region, by rank, is the region's rollout leader and decides for
//! it. The other hosts report their counts to the leader, and the leaders exchange the sums of
//! their regions.

use std::{cell, collections, net, rc, time};

use serde_json::json;

use super::announcements;
use super::fleet_server::FleetServer;
use super::follow;
use super::gossip;
use super::hash;
use super::host::EntryHost;
use super::peer_message::PeerMessage;
use super::store::{ChangeBatch, ObjectContent, ObjectStore, StoreFault, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::rollout::message::{RolloutAnswer, RolloutChange, RolloutReport, RolloutUpdate};
use crate::rollout::plan::VersionRule;
use crate::rollout::report_schedule;
use crate::rollout::spec::{RolloutRecord, VersionTag};
use crate::rollout::table::{RegionView, RolloutTable};
use crate::timer::Moment;

/// Multiple of the expected time from which on an answer that also misses its goal counts as bad.
pub(super) const SLOW_ANSWER_FACTOR: f64 = 3.0;
/// Delay between one region's leader and the next before they record a state in the store, in
/// milliseconds. Because of it one call is usually enough.
const RECORD_STAGGER_MS: u64 = 1_000;
/// Interval at which the leader checks for states to record.
const RECORD_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The rollouts that this host knows.
#[derive(Debug, Default)]
pub struct RolloutRole {
    table: cell::RefCell<RolloutTable>,
    last_report: cell::Cell<Moment>,
    /// Requests without an answer that are not counted yet.
    unconfirmed: cell::RefCell<Vec<UnconfirmedFailure>>,
}

/// A request without an answer, whose cause may be this host's own link.
#[derive(Debug)]
struct UnconfirmedFailure {
    service: rc::Rc<str>,
    route: String,
    version: VersionTag,
    at: Moment,
}

impl RolloutRole {
    /// The state that is sent to other hosts.
    pub(super) fn to_update(&self, now: Moment) -> RolloutUpdate {
        self.table.borrow().to_update(now)
    }

    /// The store revision up to which the rollouts are current.
    pub(super) fn position(&self) -> u64 {
        self.table.borrow().position()
    }

    /// Counts the result of a request of `service`.
    pub(super) fn on_answer(&self, service: &str, answer: &RolloutAnswer<'_>) {
        self.table.borrow_mut().on_answer(service, answer);
    }

    /// Records a request without an answer. It counts as soon as this host certainly reaches a server
    /// of the service, and not at all if it turns out to reach none.
    pub(super) fn on_unanswered(
        &self,
        server: &FleetServer,
        answer: &RolloutAnswer<'_>,
        now: Moment,
    ) {
        if self.table.borrow().is_empty() {
            return;
        }
        self.unconfirmed.borrow_mut().push(UnconfirmedFailure {
            service: rc::Rc::clone(&server.service),
            route: answer.route.to_owned(),
            version: answer.version,
            at: now,
        });
    }

    /// Stores the report of a host in this region.
    pub(super) fn on_host_report(&self, report: RolloutReport, now: Moment) {
        self.table.borrow_mut().on_host_report(report, now);
    }

    /// Stores the report of another region.
    pub(super) fn on_region_report(&self, report: RolloutReport, now: Moment) {
        self.table.borrow_mut().on_region_report(report, now);
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Applies the complete list of rollouts, current up to store revision `position`.
    pub(super) fn on_rollout_list(&self, objects: &[StoredObject], position: u64) {
        self.log_unreadable_rollouts(objects.iter());
        let rollouts = objects.iter().filter_map(|object| match &object.content {
            ObjectContent::Rollout(stored) => Some((stored.clone(), object.revision)),
            _ => None,
        });
        let mut table = self.rollouts.table.borrow_mut();
        table.on_list(rollouts.collect(), position, self.now());
        let is_empty = table.is_empty();
        drop(table);
        if !is_empty {
            announcements::announce(self);
        }
    }

    /// Applies changes from the watch of rollouts.
    pub(super) fn on_rollout_changes(&self, batch: &ChangeBatch) {
        self.log_unreadable_rollouts(batch.changes.iter().map(|change| &change.object));
        let now = self.now();
        let mut table = self.rollouts.table.borrow_mut();
        for change in &batch.changes {
            match &change.object.content {
                _ if change.deleted => table.on_deleted(&change.object.name),
                ObjectContent::Rollout(stored) => {
                    table.on_rollout(stored.clone(), change.object.revision, now);
                }
                _ => {}
            }
        }
        table.on_position(batch.revision);
        drop(table);
        announcements::announce(self);
    }

    fn log_unreadable_rollouts<'a>(&self, objects: impl Iterator<Item = &'a StoredObject>) {
        for object in objects {
            if let ObjectContent::Unreadable(reason) = &object.content {
                let fields = json!({ "object": object.name, "reason": reason });
                self.log_event(EventCode::ObjectUnreadable, fields);
            }
        }
    }

    /// Merges the state of another host. The rollout leader forwards changes to its region.
    pub(super) fn on_rollout_update(&self, update: &RolloutUpdate) {
        let now = self.now();
        let has_changed = self.rollouts.table.borrow_mut().on_update(update, now);
        if has_changed && self.leads_rollouts(now) {
            announcements::announce(self);
        }
    }

    /// Returns the versions that may get a request of `service` for `object`. `is_retry` is set
    /// for a retry after a server failed the request.
    pub(super) fn version_rule(
        &self,
        service: &str,
        object: Option<u64>,
        is_retry: bool,
    ) -> VersionRule {
        let table = self.rollouts.table.borrow();
        if table.is_empty() {
            return VersionRule::Any;
        }
        let point = match object {
            // Hashed once more, so that it is independent of the number that ranks the servers.
            Some(object) => hash::uniform(hash::mix(object)),
            None => rand::Rng::random(&mut *self.random.borrow_mut()),
        };
        let canary_share = self.settings().bounds.canary_share.unwrap_or(0.0);
        table.version_rule(service, point, canary_share, is_retry, self.now())
    }

    fn leads_rollouts(&self, now: Moment) -> bool {
        self.peers.borrow().is_first_watcher(&self.record(), now)
    }

    /// Counts failures whose cause is certainly not this host's own link, and drops those whose cause
    /// probably is.
    fn settle_unconfirmed_failures(&self) {
        let unconfirmed = self.rollouts.unconfirmed.take();
        let open = unconfirmed.into_iter().filter(|failure| {
            if self.is_unreachable(&failure.service) {
                return false;
            }
            if !self.is_reach_confirmed_since(&failure.service, failure.at) {
                return true;
            }
            let answer = RolloutAnswer {
                route: &failure.route,
                version: failure.version,
                is_bad: true,
            };
            self.rollouts.on_answer(&failure.service, &answer);
            false
        });
        let open: Vec<UnconfirmedFailure> = open.collect();
        *self.rollouts.unconfirmed.borrow_mut() = open;
    }

    /// For each rollout in progress, reports the counts to the leader or, as the leader, decides.
    pub(super) fn on_rollout_tick(&self) {
        self.settle_unconfirmed_failures();
        let now = self.now();
        let is_early =
            now.since(self.rollouts.last_report.get()) < report_schedule::MIN_REPORT_INTERVAL_MS;
        if self.rollouts.table.borrow().is_empty() || is_early {
            return;
        }
        self.rollouts.last_report.set(now);
        let table = self.rollouts.table.borrow();
        let running = table.running();
        let running = running.map(|spec| (spec.service.clone(), spec.target_tag()));
        let running: Vec<_> = running.collect();
        drop(table);
        let leader = {
            let peers = self.peers.borrow();
            let first = peers.first_watcher(&self.record(), now);
            first.map(|record| record.heartbeat_address)
        };
        for (service, target) in running {
            let others_open = self.open_on_others(&service, target);
            match leader {
                Some(leader) => self.report_rollout(&service, others_open, leader),
                None => self.decide_rollout(&service, others_open, now),
            }
        }
    }

    /// Number of this host's requests in flight on servers of other versions.
    fn open_on_others(&self, service: &str, target: VersionTag) -> u32 {
        let fleet = self.fleet.borrow();
        let servers = fleet.of_service(service).iter();
        let others = servers.filter(|server| server.version != target);
        others.map(|server| server.in_flight()).sum()
    }

    fn report_rollout(&self, service: &str, others_open: u32, leader: net::SocketAddr) {
        let settings = self.settings();
        let source = hash::of_name(&settings.name);
        let hosts = self.peers.borrow().region_size(&settings.region);
        let now = self.now();
        let mut table = self.rollouts.table.borrow_mut();
        let report = table.own_report(service, source, others_open, hosts, now);
        drop(table);
        if let Some(report) = report {
            gossip::send(self, &PeerMessage::RolloutReport(report), &[leader]);
        }
    }

    fn decide_rollout(&self, service: &str, others_open: u32, now: Moment) {
        let region = self.settings().region.clone();
        let (view, targets) = {
            let peers = self.peers.borrow();
            // There are only a few regions, so the cast is safe.
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
            self.log_rollout(&change);
            self.announce_rollout(&targets);
        }
    }

    fn log_rollout(&self, change: &RolloutChange) {
        let fields = json!({
            "service": change.spec.service,
            "target": change.spec.target,
            "step": change.step,
            "state": change.state,
        });
        self.log_event(EventCode::RolloutChanged, fields);
    }

    /// Announces a change in the own region, and to the hosts that relay it in other regions.
    fn announce_rollout(&self, targets: &[net::SocketAddr]) {
        announcements::announce(self);
        let heartbeat = PeerMessage::Heartbeat(Box::new(self.heartbeat(true)));
        gossip::send(self, &heartbeat, targets);
    }

    fn unrecorded_rollouts(&self, now: Moment) -> Vec<RolloutRecord> {
        let table = self.rollouts.table.borrow();
        table.unrecorded(self.record_wait_ms(), now)
    }

    /// Delay before this host records a state that other leaders may record too, in milliseconds.
    fn record_wait_ms(&self) -> u64 {
        let settings = self.settings();
        let regions: collections::BTreeSet<_> = settings.halls.regions();
        let place = regions.iter().position(|region| *region == settings.region);
        place.unwrap_or_default() as u64 * RECORD_STAGGER_MS
    }
}

/// Starts the task that records the states of rollouts in the store.
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
        tokio::time::sleep(RECORD_CHECK_INTERVAL).await;
        let now = host.now();
        if host.rollouts.table.borrow().is_empty() || !host.leads_rollouts(now) {
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
                    log_not_recorded(&host, &fault);
                    follow::sleep_with_jitter(&host, pause_ms).await;
                    pause_ms = (pause_ms * 2).min(follow::MAX_BACKOFF_MS);
                }
            }
        }
    }
}

fn log_not_recorded<W: WireProtocol>(host: &EntryHost<W>, fault: &StoreFault) {
    // If another host has recorded the state, the watch delivers it.
    let fields = json!({ "fault": fault.to_string() });
    host.log_event(EventCode::RolloutNotRecorded, fields);
}
