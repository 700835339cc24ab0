//! The limits of servers that one host knows, and the tokens that it grants as limit owner.

use super::message::LimitUpdate;
use super::rate::{AdvertisedLimit, RequestRate};
use super::{BURST_S, ENDED_RETENTION_MS, MAX_WAIT_MS, MIN_PER_S, UPDATES_PER_HEARTBEAT};
use crate::entry::limits::bucket::{BucketConfig, TokenBucket};
use crate::entry::limits::message::TokenVerdict;
use crate::timer::Moment;

/// An uninterrupted period in which a server advertises a limit, as this host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitPeriod(u32);

/// The change that an answer or an update caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// No change.
    None,
    /// The server advertises a limit, and advertised none before.
    Began(RequestRate),
    /// The server advertises a different limit.
    Changed(RequestRate),
    /// The limit has ended.
    Ended,
}

/// The state of one server's limit.
#[derive(Debug)]
struct LimitEntry {
    update: LimitUpdate,
    period: u32,
    /// When the limit last changed.
    changed_at: Moment,
    /// No token can be expected before.
    blocked_until: Moment,
    /// Whether this host was the limit owner when last asked.
    is_owner: bool,
    bucket: TokenBucket,
    /// Tokens up to this time are promised to hosts that were denied one.
    promised_until: Moment,
}

/// The limits of all servers that advertised one recently.
#[derive(Debug, Default)]
pub struct ServerLimitTable {
    entries: rustc_hash::FxHashMap<u64, LimitEntry>,
    /// Servers whose update is not yet sent to other hosts.
    unsent: Vec<u64>,
    /// Where the next heartbeat continues.
    cursor: usize,
}

impl ServerLimitTable {
    /// Handles an answer of `server` to a request that was sent in the period `sent_in`. An answer
    /// can end a limit only if it `is_proven` that the server itself wrote it.
    pub fn on_answer(
        &mut self,
        server: u64,
        advertised: AdvertisedLimit,
        sent_in: Option<LimitPeriod>,
        is_proven: bool,
        now: Moment,
    ) -> LimitChange {
        let rate = match advertised {
            AdvertisedLimit::Unreadable => return LimitChange::None,
            AdvertisedLimit::Rate(rate) => Some(rate),
            AdvertisedLimit::Absent => None,
        };
        let Some(entry) = self.entries.get_mut(&server) else {
            return match rate {
                Some(_) => self.learn(server, 1, rate, now),
                None => LimitChange::None,
            };
        };
        let has_ended = rate.is_none();
        if has_ended && (!is_proven || sent_in.is_none() || sent_in != entry.current_period()) {
            return LimitChange::None;
        }
        if entry.update.rate == rate {
            return LimitChange::None;
        }
        let version = entry.update.version.saturating_add(1);
        self.learn(server, version, rate, now)
    }

    /// Handles an update from another host.
    pub fn on_update(&mut self, update: &LimitUpdate, now: Moment) -> LimitChange {
        let is_newer = match self.entries.get(&update.server) {
            Some(known) => update.supersedes(&known.update),
            // The end of a limit that is unknown here is ignored: otherwise hosts would send it to
            // each other for ever.
            None => update.rate.is_some(),
        };
        if !is_newer {
            return LimitChange::None;
        }
        self.learn(update.server, update.version, update.rate, now)
    }

    /// The newer update that the sender of `update` is missing.
    #[must_use]
    pub fn newer_update(&self, update: &LimitUpdate) -> Option<LimitUpdate> {
        let known = self.entries.get(&update.server)?.update;
        known.supersedes(update).then_some(known)
    }

    fn learn(
        &mut self,
        server: u64,
        version: u32,
        rate: Option<RequestRate>,
        now: Moment,
    ) -> LimitChange {
        let entry = self.entries.entry(server);
        let entry = entry.or_insert_with(|| LimitEntry::fresh(server, now));
        let before = entry.update.rate;
        entry.set(version, rate, now);
        let change = match (before, rate) {
            (None, Some(rate)) => LimitChange::Began(rate),
            (Some(before), Some(rate)) if before != rate => LimitChange::Changed(rate),
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(_)) | (None, None) => LimitChange::None,
        };
        // A changed rate matters only to the limit owner, which learns it from the token requests.
        if matches!(change, LimitChange::Began(_) | LimitChange::Ended) {
            self.unsent.push(server);
        }
        change
    }

    /// The limit of `server`; `None` if it advertises none.
    #[must_use]
    pub fn rate_of(&self, server: u64) -> Option<RequestRate> {
        self.entries.get(&server)?.update.rate
    }

    /// What this host knows of `server`, if that advertises a limit.
    #[must_use]
    pub fn update_of(&self, server: u64) -> Option<LimitUpdate> {
        let update = self.entries.get(&server)?.update;
        update.rate.is_some().then_some(update)
    }

    /// The limit period that a request sent to `server` now belongs to.
    #[must_use]
    pub fn period_of(&self, server: u64) -> Option<LimitPeriod> {
        self.entries.get(&server)?.current_period()
    }

    /// Whether a token for `server` can be expected now, or none is needed.
    #[must_use]
    pub fn is_token_expected(&self, server: u64, now: Moment) -> bool {
        self.token_expected_at(server)
            .is_none_or(|expected_at| expected_at <= now)
    }

    /// When a token for `server` can be expected; `None` if none is needed.
    #[must_use]
    pub fn token_expected_at(&self, server: u64) -> Option<Moment> {
        let entry = self.entries.get(&server)?;
        entry.update.rate.map(|_| entry.blocked_until)
    }

    /// Records that no token for `server` can be expected within `wait_ms`.
    pub fn on_denied(&mut self, server: u64, wait_ms: u64, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&server) {
            entry.blocked_until = now.plus(wait_ms);
        }
    }

    /// Grants one token as the limit owner of `server`, or denies it and says when to expect one.
    pub fn grant(&mut self, server: u64, now: Moment) -> TokenVerdict {
        let Some(entry) = self.entries.get_mut(&server) else {
            return TokenVerdict::NotHere;
        };
        let Some(rate) = entry.update.rate else {
            return TokenVerdict::Granted;
        };
        if !entry.is_owner {
            entry.is_owner = true;
            entry.bucket = TokenBucket::with_tokens(0.0, now);
        }
        entry.grant(&bucket_config(rate), now)
    }

    /// Records that another host is the limit owner of `server`.
    pub fn on_other_owner(&mut self, server: u64) {
        if let Some(entry) = self.entries.get_mut(&server) {
            entry.is_owner = false;
        }
    }

    /// The number of servers that advertise a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.update.rate.is_some()).count()
    }

    /// The updates to send to other hosts at once; each is returned once.
    pub fn take_unsent(&mut self) -> Vec<LimitUpdate> {
        let mut servers = std::mem::take(&mut self.unsent);
        servers.sort_unstable();
        servers.dedup();
        let entries = servers.iter().filter_map(|server| self.entries.get(server));
        entries.map(|entry| entry.update).collect()
    }

    /// The updates for the next heartbeat; heartbeats go through all of them round robin.
    pub fn next_heartbeat_updates(&mut self) -> Vec<LimitUpdate> {
        let count = self.entries.len();
        let count_sent = count.min(UPDATES_PER_HEARTBEAT);
        let entries = self
            .entries
            .values()
            .cycle()
            .skip(self.cursor)
            .take(count_sent);
        let updates = entries.map(|entry| entry.update).collect();
        self.cursor = (self.cursor + count_sent).checked_rem(count).unwrap_or(0);
        updates
    }

    /// Removes limits that ended long ago, and those of servers that are no longer known.
    pub fn on_tick(&mut self, is_known: impl Fn(u64) -> bool, now: Moment) {
        self.entries.retain(|server, entry| {
            let is_retained =
                entry.update.rate.is_some() || now.since(entry.changed_at) <= ENDED_RETENTION_MS;
            is_retained && is_known(*server)
        });
    }
}

impl LimitEntry {
    fn fresh(server: u64, now: Moment) -> Self {
        Self {
            update: LimitUpdate {
                server,
                version: 0,
                rate: None,
            },
            period: 0,
            changed_at: now,
            blocked_until: now,
            is_owner: false,
            bucket: TokenBucket::with_tokens(0.0, now),
            promised_until: now,
        }
    }

    fn set(&mut self, version: u32, rate: Option<RequestRate>, now: Moment) {
        if let Some(before) = self.update.rate {
            // Tokens up to now accrue at the previous limit.
            self.bucket.refill(&bucket_config(before), now);
        } else {
            self.period = self.period.wrapping_add(1);
            self.is_owner = false;
            self.blocked_until = now;
            self.promised_until = now;
        }
        self.changed_at = now;
        self.update.version = version;
        self.update.rate = rate;
    }

    fn current_period(&self) -> Option<LimitPeriod> {
        self.update.rate.map(|_| LimitPeriod(self.period))
    }

    /// Denials report times that are one token apart, so that many hosts that each want few tokens
    /// do not all ask for every token.
    fn grant(&mut self, config: &BucketConfig, now: Moment) -> TokenVerdict {
        self.bucket.refill(config, now);
        if self.bucket.take(1.0) {
            return TokenVerdict::Granted;
        }
        let token_interval_ms = (1_000.0 / config.per_s).min(MAX_WAIT_MS as f64);
        let missing_ms = (1.0 - self.bucket.tokens()) * token_interval_ms;
        // Each value is at most the longest wait, by the lines around.
        let next = now.plus(missing_ms.ceil() as u64);
        let available_at = next.max(self.promised_until.plus(token_interval_ms as u64));
        let available_at = available_at.min(now.plus(MAX_WAIT_MS));
        self.promised_until = available_at;
        TokenVerdict::Denied {
            available_in_ms: u32::try_from(available_at.since(now))
                .unwrap_or(u32::MAX)
                .max(1),
        }
    }
}

/// The bucket configuration for a limit: refills at the rate that the server takes, and holds one
/// token plus those of half a second.
fn bucket_config(rate: RequestRate) -> BucketConfig {
    let per_s = rate.per_s().max(MIN_PER_S);
    BucketConfig {
        per_s,
        capacity: 1.0 + BURST_S * per_s,
    }
}
