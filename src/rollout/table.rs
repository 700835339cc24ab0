//! The orders that a host knows, and how far each has come.

use std::collections;

use super::message::{RolloutAnswer, RolloutChange, RolloutNews, RolloutReport};
use super::open_rollout::OpenRollout;
use super::order::{RolloutOrder, RolloutRecord, RolloutState, StoredRollout};
use super::pace::ReportMark;
use super::plan::{RolloutStep, VersionRule};
use crate::timer::Moment;

/// Servers of other versions stop when an order is complete; for this long, in milliseconds, hosts may still know them.
/// Afterwards servers of any version that come are good.
const STOPPING_MS: u64 = 10_000;

/// What the host that decides for its region sees beside reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionView {
    /// Its own requests that are under way on servers of other versions.
    pub others_open: u32,
    /// Hosts of its region.
    pub hosts: u32,
    /// Regions of which a host lives, its own included.
    pub regions: u32,
}

impl RegionView {
    /// Requests of the whole region that are under way on servers of other versions.
    fn others_open(self, open: &OpenRollout, now: Moment) -> u32 {
        let hosts = open.hosts.present(self.hosts, now);
        self.others_open + hosts.map(|host| host.others_open).sum::<u32>()
    }
}

/// The orders that a host knows, by service.
#[derive(Debug, Default)]
pub struct RolloutTable {
    position: u64,
    orders: collections::BTreeMap<String, OpenRollout>,
}

impl RolloutTable {
    /// Whether there is no order.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The store's position up to which the orders are current.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Takes over the whole list of the store, or what another host knows of it.
    pub fn on_list(&mut self, stored: Vec<(StoredRollout, u64)>, position: u64, now: Moment) {
        let services: collections::BTreeSet<String> = stored
            .iter()
            .map(|(stored, _)| stored.order.service.clone())
            .collect();
        self.orders.retain(|service, _| services.contains(service));
        for (stored, revision) in stored {
            self.on_order(stored, revision, now);
        }
        self.position = position;
    }

    /// Takes over one order as the store shows it.
    pub fn on_order(&mut self, stored: StoredRollout, revision: u64, now: Moment) {
        let service = stored.order.service.clone();
        if let Some(known) = self.orders.get_mut(&service) {
            if known.order.is_same(&stored.order) {
                known.revision = known.revision.max(revision);
                known.on_stored(stored.state, now);
                return;
            }
            if known.revision > revision {
                return;
            }
        }
        let open = OpenRollout::new(stored, revision, now, now);
        self.orders.insert(service, open);
    }

    /// An order is gone from the store.
    pub fn on_gone(&mut self, name: &str) {
        self.orders.retain(|_, open| open.order.name != name);
    }

    /// The list is current up to here.
    pub fn on_position(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// All that others must know.
    #[must_use]
    pub fn news(&self, now: Moment) -> RolloutNews {
        let orders = self.orders.values();
        RolloutNews {
            position: self.position,
            orders: orders.map(|open| open.progress(now)).collect(),
        }
    }

    /// Takes in what another host knows; returns whether an order has come further.
    pub fn on_news(&mut self, news: &RolloutNews, now: Moment) -> bool {
        let mut is_news = false;
        if news.position > self.position {
            let told = news.orders.iter().map(|told| {
                let stored = StoredRollout {
                    order: told.order.clone(),
                    state: None,
                };
                (stored, told.revision)
            });
            let before = self.orders.len();
            self.on_list(told.collect(), news.position, now);
            is_news = self.orders.len() != before;
        }
        for told in &news.orders {
            if let Some(open) = self.orders.get_mut(&told.order.service)
                && open.order.is_same(&told.order)
            {
                open.began = open.began.min(now.before(told.age_ms));
                is_news |= open.advance(told.step, told.state, now);
            }
        }
        is_news
    }

    /// Which versions may get a request of `service`. `point` is a number from 0 up to 1 that stays the same for
    /// requests about the same object; `is_repeat` tells that a server has failed it.
    #[must_use]
    pub fn rule_of(
        &self,
        service: &str,
        point: f64,
        canary_share: f64,
        is_repeat: bool,
        now: Moment,
    ) -> VersionRule {
        let Some(open) = self.orders.get(service) else {
            return VersionRule::Any;
        };
        let target = open.order.target_tag();
        let is_over = now.since(open.state_since) > STOPPING_MS;
        if open.state == RolloutState::Complete && is_over {
            return VersionRule::Any;
        }
        let has_moved = open.step == RolloutStep::All;
        let is_canary = !is_repeat && point < open.step.share(canary_share);
        let goes_there = match open.state {
            RolloutState::Running => has_moved || is_canary,
            RolloutState::Complete => true,
            RolloutState::Reverted => false,
        };
        if goes_there {
            VersionRule::Only(target)
        } else {
            VersionRule::Except(target)
        }
    }

    /// A request of `service` has ended on a server.
    pub fn on_answer(&mut self, service: &str, answer: &RolloutAnswer<'_>) {
        if let Some(open) = self.orders.get_mut(service)
            && open.state == RolloutState::Running
        {
            let is_target = answer.version == open.order.target_tag();
            open.own.on_answer(answer.route, is_target, answer.is_bad);
        }
    }

    /// The orders whose traffic is being moved.
    pub fn running(&self) -> impl Iterator<Item = &RolloutOrder> {
        let running = self.orders.values();
        let running = running.filter(|open| open.state == RolloutState::Running);
        running.map(|open| &open.order)
    }

    /// What this host has counted since an order, for the host that decides; `None` while no report is due. `hosts`
    /// report in this region.
    #[must_use]
    pub fn own_report(
        &mut self,
        service: &str,
        source: u64,
        others_open: u32,
        hosts: u32,
        now: Moment,
    ) -> Option<RolloutReport> {
        let open = self.orders.get_mut(service)?;
        let mark = ReportMark {
            target_bad: open.own.target_bad(),
            others_open,
            step: open.step,
        };
        if !open.own_pace.take_due(source, mark, hosts, now) {
            return None;
        }
        Some(RolloutReport {
            source,
            service: service.to_owned(),
            created: open.order.created,
            tally: open.own.for_report(),
            others_open,
            step: open.step,
        })
    }

    /// What the hosts of this region have counted together, for the other regions.
    #[must_use]
    pub fn region_report(
        &self,
        service: &str,
        source: u64,
        view: RegionView,
        now: Moment,
    ) -> Option<RolloutReport> {
        let open = self.orders.get(service)?;
        let mut tally = open.hosts.tally();
        tally.add(&open.own);
        Some(RolloutReport {
            source,
            service: service.to_owned(),
            created: open.order.created,
            tally: tally.for_report(),
            others_open: view.others_open(open, now),
            step: open.step,
        })
    }

    /// A host of this region has reported.
    pub fn on_host_report(&mut self, report: RolloutReport, now: Moment) {
        if let Some(open) = self.open_of(&report) {
            open.hosts.put(report, now);
        }
    }

    /// Another region has reported.
    pub fn on_region_report(&mut self, report: RolloutReport, now: Moment) {
        if let Some(open) = self.open_of(&report) {
            open.regions.put(report, now);
        }
    }

    fn open_of(&mut self, report: &RolloutReport) -> Option<&mut OpenRollout> {
        let open = self.orders.get_mut(&report.service)?;
        (open.order.created == report.created).then_some(open)
    }

    /// Decides on an order, on the host that decides for its region; `None` if nothing changes.
    pub fn decide(
        &mut self,
        service: &str,
        view: RegionView,
        now: Moment,
    ) -> Option<RolloutChange> {
        let open = self.orders.get_mut(service)?;
        if open.state != RolloutState::Running {
            return None;
        }
        let state = open.judge(view.others_open(open, now), view.regions, now);
        let step = RolloutStep::due(now.since(open.began), open.order.over_ms);
        open.advance(step, state, now).then(|| RolloutChange {
            order: open.order.clone(),
            step: open.step,
            state: open.state,
        })
    }

    /// The states that the store lacks and that were known for `wait_ms`.
    #[must_use]
    pub fn unrecorded(&self, wait_ms: u64, now: Moment) -> Vec<RolloutRecord> {
        let open = self.orders.values().filter(|open| {
            let is_due = open.stored.is_none_or(|stored| stored < open.state);
            is_due && now.since(open.state_since) >= wait_ms
        });
        open.map(|open| RolloutRecord {
            order: open.order.clone(),
            state: open.state,
            revision: open.revision,
        })
        .collect()
    }

    /// A state was recorded; the object stands at `revision` now.
    pub fn on_recorded(&mut self, record: &RolloutRecord, revision: u64, now: Moment) {
        if let Some(open) = self.orders.get_mut(&record.order.service)
            && open.order.is_same(&record.order)
        {
            open.on_stored(Some(record.state), now);
            open.revision = open.revision.max(revision);
        }
    }
}
