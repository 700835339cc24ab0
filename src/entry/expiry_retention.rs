//! How long servers are retained whose store entries went missing.
//!
//! A missing entry has one of two causes: the server leaves, or the entry expired while the store
//! was away although the server is alive. A leaving server serves for a time that the settings
//! state, and must get no new work after it. An expired entry is back within about two seconds of
//! the store's return. So a server is retained past the leave time only when its entry is known to
//! have gone missing while the store was away.

use std::collections;

use super::peer_message::GoneServer;
use crate::timer::Moment;

/// How long expired entries are waited for after the store's return, in milliseconds. Servers whose
/// entries expired while the store was away write them again within about two seconds; the rest is
/// network latency. A server still missing then is removed.
pub const EXPIRY_GRACE_MS: u64 = 2_200;

/// How long a leaving server serves if the settings do not say, in milliseconds. It is short, since
/// a server that is retained for too long gets work that it can no longer do.
pub const DEFAULT_LEAVE_TIME_MS: u64 = 1_000;

/// The end of a leaving server's time that is reserved for updates and requests in flight, in
/// milliseconds: the pause after a change (250), the latency from the store to a watcher and on to
/// the others (up to 100 between the most distant regions), a tick until the end of the retention
/// is noticed (100) and the latency of a request. Without this margin, a group that leaves at once
/// without announcing it, or a server that leaves before the store's return is noticed late, is
/// retained for 2,200 ms, while servers leave within 2,000 ms.
const UPDATE_MARGIN_MS: u64 = 600;

/// Why servers whose entries went missing are retained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetentionReason {
    /// The store was away, and answers again.
    #[default]
    StoreReturned,
    /// Many servers vanished at the same time.
    ManyVanished,
    /// Another host retains them.
    Reported,
}

impl RetentionReason {
    /// The label in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::StoreReturned => "store returned",
            Self::ManyVanished => "many vanished",
            Self::Reported => "told",
        }
    }
}

/// Until when a server is retained, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerRetention {
    /// The server is removed then unless its entry is back.
    pub until: Moment,
    /// Why it is retained.
    pub reason: RetentionReason,
}

/// How the store's return was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnObservation {
    /// A call failed shortly before: entries missing from the first answer went missing while the
    /// store was away.
    InTime,
    /// The failed call had hung for long: entries may have gone missing at any time since it began.
    Late,
    /// Only the store's new epoch shows the return: entries may be lost, and may have gone missing
    /// at any time.
    Undated,
}

/// Decides whether a server is retained whose entry is missing from the store.
#[derive(Debug)]
pub struct ExpiryRetention {
    leave_time_ms: u64,
    until: Moment,
    /// Entries that went missing up to this store revision did so while the store was away.
    expired_by: u64,
    /// Entries that went missing up to this store revision may have done so long ago.
    uncertain_by: u64,
    reason: RetentionReason,
}

impl Default for ExpiryRetention {
    fn default() -> Self {
        Self {
            leave_time_ms: DEFAULT_LEAVE_TIME_MS,
            until: Moment(0),
            expired_by: 0,
            uncertain_by: 0,
            reason: RetentionReason::default(),
        }
    }
}

impl ExpiryRetention {
    /// Sets how long a leaving server serves.
    pub const fn set_leave_time_ms(&mut self, leave_time_ms: u64) {
        self.leave_time_ms = leave_time_ms;
    }

    /// The store was away and answers again at `now`, first with the store revision `revision`.
    pub fn on_store_return(&mut self, observation: ReturnObservation, revision: u64, now: Moment) {
        self.open(now.plus(EXPIRY_GRACE_MS), RetentionReason::StoreReturned);
        match observation {
            ReturnObservation::InTime => self.expired_by = revision,
            ReturnObservation::Late => self.uncertain_by = revision,
            // Like later removals, retained for less than the leave time.
            ReturnObservation::Undated => {}
        }
    }

    /// Handles so many servers vanishing at `now` that the store may have been away unnoticed. That
    /// many servers do not leave at the same time, so their entries did not go missing long ago
    /// either.
    pub fn on_many_vanished(&mut self, now: Moment) {
        self.open(now.plus(EXPIRY_GRACE_MS), RetentionReason::ManyVanished);
        self.uncertain_by = 0;
    }

    /// Another host retains a server until `until`.
    pub fn on_reported(&mut self, until: Moment) {
        self.open(until, RetentionReason::Reported);
    }

    fn open(&mut self, until: Moment, reason: RetentionReason) {
        if until > self.until {
            self.until = until;
            self.reason = reason;
        }
    }

    /// The retention of a server whose entry went missing by the store revision `by`, as observed
    /// at `now`; `None` when the server is removed.
    ///
    /// ```
    /// use ledgespool::entry::expiry_retention::{EXPIRY_GRACE_MS, ExpiryRetention, ReturnObservation};
    /// use ledgespool::timer::Moment;
    /// let mut retention = ExpiryRetention::default();
    /// retention.set_leave_time_ms(2_000);
    /// assert!(retention.server_retention(5, Moment(0)).is_none());
    /// retention.on_store_return(ReturnObservation::InTime, 5, Moment(0));
    /// let until = |by| retention.server_retention(by, Moment(0)).map(|retention| retention.until);
    /// assert_eq!(until(5), Some(Moment(EXPIRY_GRACE_MS)));
    /// assert_eq!(until(6), Some(Moment(1_400)), "it may be leaving");
    /// ```
    #[must_use]
    pub fn server_retention(&self, by: u64, now: Moment) -> Option<ServerRetention> {
        let leaving_until = now.plus(self.leave_time_ms.saturating_sub(UPDATE_MARGIN_MS));
        let until = if by <= self.expired_by {
            self.until
        } else if by <= self.uncertain_by {
            return None;
        } else {
            self.until.min(leaving_until)
        };
        let reason = self.reason;
        (until > now).then_some(ServerRetention { until, reason })
    }
}

/// Until when another host retains servers that it reports as missing. Servers that it does not
/// report are removed.
#[derive(Debug, Default)]
pub struct ReportedRetentions {
    retentions: collections::HashMap<String, Moment>,
    /// The numbers of the last statements of servers about themselves.
    last_statements: collections::HashMap<String, u64>,
    /// Until when the recipient retains servers that it finds missing itself.
    outage_end: Option<Moment>,
}

impl ReportedRetentions {
    /// Builds the retentions reported at `now`.
    ///
    /// ```
    /// use ledgespool::entry::expiry_retention::ReportedRetentions;
    /// use ledgespool::entry::peer_message::GoneServer;
    /// use ledgespool::timer::Moment;
    /// let gone = |id: &str, hold_ms| GoneServer {
    ///     id: id.to_owned(),
    ///     hold_ms,
    ///     last_statement: None,
    /// };
    /// let reported = ReportedRetentions::from_gone(&[gone("a", 0), gone("b", 300)], Moment(10));
    /// assert!(reported.server_retention("a").is_none());
    /// assert_eq!(reported.server_retention("b").map(|retention| retention.until), Some(Moment(310)));
    /// ```
    #[must_use]
    pub fn from_gone(gone: &[GoneServer], now: Moment) -> Self {
        let retained = gone.iter().filter(|server| server.hold_ms > 0);
        let retentions = retained.map(|server| (server.id.clone(), now.plus(server.hold_ms)));
        let retentions: collections::HashMap<_, _> = retentions.collect();
        let outage_end = retentions.values().max().copied();
        let last_statements = gone
            .iter()
            .filter_map(|server| Some((server.id.clone(), server.last_statement?)));
        Self {
            retentions,
            last_statements: last_statements.collect(),
            outage_end,
        }
    }

    /// Drops the report that the store was away, for a recipient that reads it without
    /// interruption.
    #[must_use]
    pub fn without_outage(self) -> Self {
        let outage_end = None;
        Self { outage_end, ..self }
    }

    /// The retention of a server; `None` when it is removed.
    #[must_use]
    pub fn server_retention(&self, id: &str) -> Option<ServerRetention> {
        let until = *self.retentions.get(id)?;
        let reason = RetentionReason::Reported;
        Some(ServerRetention { until, reason })
    }

    /// Until when the recipient retains servers that it finds missing itself; `None` if the store
    /// was not away.
    pub(super) const fn outage_end(&self) -> Option<Moment> {
        self.outage_end
    }
}

/// The source of a report that entries are missing, which decides how long their servers are
/// retained.
#[derive(Debug, Clone, Copy)]
pub enum MissingSource<'a> {
    /// The store: this host decides.
    Store,
    /// Another host, which decided when it read the store.
    Peer(&'a ReportedRetentions),
}

impl MissingSource<'_> {
    /// The number of a server's last statement about itself, if another host reports it.
    pub(super) fn last_statement(self, id: &str) -> Option<u64> {
        match self {
            Self::Store => None,
            Self::Peer(reported) => reported.last_statements.get(id).copied(),
        }
    }
}
