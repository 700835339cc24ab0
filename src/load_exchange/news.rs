//! The newest load report of each server, and which of them this host still has to tell.
//!
//! **Load pattern.** A region's hosts together get several hundred reports a second, more than each
//! of them can be told. Each host tells the reports that it gets itself to some others, to which
//! they are certainly new, and these tell on only those of servers of which they had not heard for
//! a while. So the reports of busy servers cost no repetition, and those of idle servers, which
//! are rare, reach the whole region. The newest go first, because they are worth most to a choice.

use std::{cmp, collections};

use super::digest::{
    CachedObject, LoadDigest, MAX_OWN_REPORTS, MAX_PLACEMENTS, MAX_RELAYED_REPORTS, ServerKey,
    ToldReport,
};
use super::estimate::ServerReport;
use crate::timer::Moment;

/// Maximum age of a report that is told or accepted, in milliseconds. About the time for which a
/// request holds a slot; older reports say little.
const MAX_TOLD_AGE_MS: u64 = 1_000;
/// A report must be newer than the known one by at least this time, in milliseconds. Two copies of
/// a report that came by different ways differ by less, because ages do not include the ways.
const MIN_NEWER_MS: u64 = 30;
/// A heard report is told on if the one known before is older by at least this time, in
/// milliseconds. Below the shortest goals of callers, so that the choices for them are made with
/// news of the same second.
const MIN_RELAY_GAP_MS: u64 = 300;
/// Time after which the report of a server that is not heard of is dropped, in milliseconds.
const FORGET_MS: u64 = 10_000;
/// Maximum number of cached objects that wait to be told. More come in a burst only while servers
/// fail, and the most recent then matter.
const MAX_UNTOLD_PLACEMENTS: usize = 32;

/// A server's newest report.
#[derive(Debug, Clone, Copy)]
struct KnownReport {
    report: ServerReport,
    /// Whether it is in a queue of reports to be told.
    is_queued: bool,
}

/// What is to be told at a time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NewsRound {
    /// What this host learned itself. All recipients get it.
    pub own: LoadDigest,
    /// What it heard from others. Only a few recipients get it.
    pub relayed: LoadDigest,
}

/// The newest load reports of all servers, and what of them is to be told.
///
/// ```
/// use ledgespool::load_exchange::digest::ServerKey;
/// use ledgespool::load_exchange::estimate::ServerReport;
/// use ledgespool::load_exchange::news::LoadNews;
/// use ledgespool::timer::Moment;
/// let server = ServerKey::of_incarnation(7);
/// let report = ServerReport { requests: 5, pace: None, at: Moment(100) };
/// let (mut here, mut there) = (LoadNews::default(), LoadNews::default());
/// here.on_answer(server, report);
/// let own = here.next_round(Moment(150)).own;
/// let heard = own.reports[0].report(Moment(150));
/// assert!(there.on_heard(server, heard, Moment(150)));
/// assert!(!there.on_heard(server, heard, Moment(150)), "known by now");
/// assert_eq!(there.next_round(Moment(200)).relayed.reports.len(), 1);
/// assert!(there.next_round(Moment(300)).relayed.is_empty(), "told by now");
/// ```
#[derive(Debug, Default)]
pub struct LoadNews {
    known: rustc_hash::FxHashMap<ServerKey, KnownReport>,
    own: NewsQueue,
    relayed: NewsQueue,
}

/// The servers whose reports are to be told, and cached objects.
#[derive(Debug, Default)]
struct NewsQueue {
    servers: Vec<ServerKey>,
    placements: collections::VecDeque<CachedObject>,
}

impl LoadNews {
    /// Records a report that this host got from the server itself.
    pub fn on_answer(&mut self, server: ServerKey, report: ServerReport) {
        let known = put(&mut self.known, server, report);
        if std::mem::replace(&mut known.is_queued, true) {
            if self.own.servers.contains(&server) {
                return;
            }
            self.relayed.servers.retain(|other| *other != server);
        }
        self.own.servers.push(server);
    }

    /// Records a report that another host told. Returns whether it is news.
    pub fn on_heard(&mut self, server: ServerKey, report: ServerReport, now: Moment) -> bool {
        let before = self.known.get(&server).map(|known| known.report.at);
        let is_newer = before.is_none_or(|before| report.at >= before.plus(MIN_NEWER_MS));
        if !is_newer || now.since(report.at) > MAX_TOLD_AGE_MS {
            return false;
        }
        let known = put(&mut self.known, server, report);
        let is_rare = before.is_none_or(|before| report.at >= before.plus(MIN_RELAY_GAP_MS));
        if is_rare && !std::mem::replace(&mut known.is_queued, true) {
            self.relayed.servers.push(server);
        }
        true
    }

    /// Adds an object that this host caused a server to cache.
    pub fn on_own_placement(&mut self, placement: CachedObject) {
        self.own.push_placement(placement);
    }

    /// Adds a cached object that was new to this host.
    pub fn on_heard_placement(&mut self, placement: CachedObject) {
        self.relayed.push_placement(placement);
    }

    /// Takes what is to be told now: the newest reports, as many as fit.
    pub fn next_round(&mut self, now: Moment) -> NewsRound {
        NewsRound {
            own: self.own.take(&mut self.known, MAX_OWN_REPORTS, now),
            relayed: self.relayed.take(&mut self.known, MAX_RELAYED_REPORTS, now),
        }
    }

    /// Forgets servers that were not heard of for a long time.
    pub fn forget_silent(&mut self, now: Moment) {
        self.known
            .retain(|_, known| now.since(known.report.at) <= FORGET_MS);
    }

    /// Number of servers with a report.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there is no report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

fn put(
    known: &mut rustc_hash::FxHashMap<ServerKey, KnownReport>,
    server: ServerKey,
    report: ServerReport,
) -> &mut KnownReport {
    let known = known.entry(server).or_insert(KnownReport {
        report,
        is_queued: false,
    });
    known.report = report;
    known
}

impl NewsQueue {
    fn push_placement(&mut self, placement: CachedObject) {
        if self.placements.contains(&placement) {
            return;
        }
        if self.placements.len() == MAX_UNTOLD_PLACEMENTS {
            self.placements.pop_front();
        }
        self.placements.push_back(placement);
    }

    /// Takes the newest reports, at most `max_reports`, and some cached objects. Reports that have
    /// become too old are dropped.
    fn take(
        &mut self,
        known: &mut rustc_hash::FxHashMap<ServerKey, KnownReport>,
        max_reports: usize,
        now: Moment,
    ) -> LoadDigest {
        self.servers.retain(|server| {
            let Some(known) = known.get_mut(server) else {
                return false;
            };
            known.is_queued = now.since(known.report.at) <= MAX_TOLD_AGE_MS;
            known.is_queued
        });
        let at = |server: &ServerKey| known.get(server).map(|known| known.report.at);
        self.servers.sort_by_key(|server| cmp::Reverse(at(server)));
        let taken = self.servers.len().min(max_reports);
        let reports = self.servers.drain(..taken).filter_map(|server| {
            let known = known.get_mut(&server)?;
            known.is_queued = false;
            ToldReport::from_report(server, &known.report, now)
        });
        let reports = reports.collect();
        let placements = self.placements.len().min(MAX_PLACEMENTS);
        LoadDigest {
            reports,
            placements: self.placements.drain(..placements).collect(),
        }
    }
}
