//! The claim role: group commits of claims to shard objects by conditional update.
//!
//! Correctness rests on the conditional update alone: any host may commit to any shard. The
//! owner, found by rendezvous over the live hosts, only keeps writers from getting in each
//! other's way. Platform writes follow shards and time, not requests.
//!
//! Memory: at most [`MAX_WAITING`] operations, [`MAX_ABANDONED`] abandoned attempts, and the
//! shards used in the last [`SHARD_LIFE_MS`].

use std::collections;

use crate::claim::{ClaimAttempt, ClaimKey, ClaimShard, ClaimVerdict};
use crate::platform_call::{ReadResult, WriteResult};
use crate::timer;

/// Shard objects in the platform.
pub const SHARD_COUNT: u16 = 64;
/// Operations that may wait on one host.
pub const MAX_WAITING: usize = 4_096;
/// Attempts given up whose claim may still come to light.
pub const MAX_ABANDONED: usize = 10_000;
/// A shard that nobody used for this long is dropped from memory.
pub const SHARD_LIFE_MS: u64 = 60_000;
/// Outcomes wait this long for a claim to travel with.
const SETTLE_DELAY_MS: u64 = 200;
/// After a failed call, claims of the shard are refused at once for this long.
const BACKOFF_MS: u64 = 500;

/// A claim to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Picks the waiting request.
    pub ticket: u64,
    /// The key.
    pub key: ClaimKey,
    /// Who wants to run it.
    pub attempt: ClaimAttempt,
    /// Past this moment the request is refused as not run.
    pub deadline: timer::Moment,
}

/// What a claim came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The shard decided.
    Decided(ClaimVerdict),
    /// Nothing could be recorded; nothing may be sent. Ask again after so many milliseconds.
    Unavailable(u64),
}

/// What the role wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read a shard's object.
    Read(u16),
    /// Write a shard's object conditionally.
    Write {
        /// The shard.
        shard: u16,
        /// New content.
        bytes: Vec<u8>,
        /// The version to replace.
        expected: Option<u64>,
    },
    /// Tell a waiting request.
    Answer {
        /// The request's ticket.
        ticket: u64,
        /// Its answer.
        answer: ClaimAnswer,
    },
}

#[derive(Debug, Clone)]
enum ShardOperation {
    Claim(ClaimRequest),
    Settle {
        digest: u128,
        attempt: ClaimAttempt,
        status: u16,
    },
    Release {
        digest: u128,
        attempt: ClaimAttempt,
    },
}

#[derive(Debug, PartialEq, Eq)]
enum ShardPhase {
    Unknown,
    Reading,
    Ready,
    Writing,
}

#[derive(Debug)]
struct ShardState {
    phase: ShardPhase,
    stored: ClaimShard,
    version: Option<u64>,
    waiting: Vec<ShardOperation>,
    /// Operations of the write under way, and the content written.
    batch: Vec<ShardOperation>,
    draft: ClaimShard,
    settle_since: Option<timer::Moment>,
    blocked_until: timer::Moment,
    used: timer::Moment,
}

impl ShardState {
    fn new(now: timer::Moment) -> Self {
        Self {
            phase: ShardPhase::Unknown,
            stored: ClaimShard::default(),
            version: None,
            waiting: Vec::new(),
            batch: Vec::new(),
            draft: ClaimShard::default(),
            settle_since: None,
            blocked_until: now,
            used: now,
        }
    }

    fn has_claims(&self) -> bool {
        self.waiting
            .iter()
            .any(|operation| matches!(operation, ShardOperation::Claim(_)))
    }

    fn is_due(&self, now: timer::Moment) -> bool {
        let settle_due = self
            .settle_since
            .is_some_and(|since| now.since(since) >= SETTLE_DELAY_MS);
        now >= self.blocked_until && !self.waiting.is_empty() && (self.has_claims() || settle_due)
    }
}

/// The claim role of one host.
#[derive(Debug, Default)]
pub struct ClaimRole {
    shards: collections::HashMap<u16, ShardState>,
    abandoned: collections::VecDeque<(u128, ClaimAttempt)>,
    waiting: usize,
}

impl ClaimRole {
    /// A role that knows no shard yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn shard_mut(&mut self, shard: u16, now: timer::Moment) -> &mut ShardState {
        let state = self
            .shards
            .entry(shard)
            .or_insert_with(|| ShardState::new(now));
        state.used = now;
        state
    }

    /// A request wants to own its key.
    pub fn on_claim(
        &mut self,
        request: ClaimRequest,
        now: timer::Moment,
        wall: &WallWindow,
    ) -> Vec<ClaimAction> {
        let ticket = request.ticket;
        if self.waiting >= MAX_WAITING {
            return vec![unavailable(ticket, BACKOFF_MS)];
        }
        let shard = request.key.shard(SHARD_COUNT);
        let state = self.shard_mut(shard, now);
        if now < state.blocked_until {
            return vec![unavailable(ticket, state.blocked_until.since(now))];
        }
        state.waiting.push(ShardOperation::Claim(request));
        self.waiting += 1;
        self.advance(shard, now, wall)
    }

    /// The owning attempt was answered.
    pub fn on_settle(
        &mut self,
        digest: u128,
        attempt: ClaimAttempt,
        status: u16,
        now: timer::Moment,
    ) {
        self.push_later(
            digest,
            ShardOperation::Settle {
                digest,
                attempt,
                status,
            },
            now,
        );
    }

    /// The owning attempt provably did not run.
    pub fn on_release(&mut self, digest: u128, attempt: ClaimAttempt, now: timer::Moment) {
        self.abandon(digest, attempt.clone());
        self.push_later(digest, ShardOperation::Release { digest, attempt }, now);
    }

    fn push_later(&mut self, digest: u128, operation: ShardOperation, now: timer::Moment) {
        if self.waiting >= MAX_WAITING {
            return;
        }
        let shard = ClaimKey { digest, made_at: 0 }.shard(SHARD_COUNT);
        let state = self.shard_mut(shard, now);
        state.waiting.push(operation);
        state.settle_since.get_or_insert(now);
        self.waiting += 1;
    }

    fn abandon(&mut self, digest: u128, attempt: ClaimAttempt) {
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((digest, attempt));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: timer::Moment, wall: &WallWindow) -> Vec<ClaimAction> {
        let mut actions = self.expire(now);
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            actions.extend(self.advance(shard, now, wall));
        }
        self.shards.retain(|_, state| {
            let busy = !state.waiting.is_empty()
                || !state.batch.is_empty()
                || state.phase == ShardPhase::Reading;
            busy || now.since(state.used) < SHARD_LIFE_MS
        });
        actions
    }

    /// Requests whose time is over are refused now; what their claim may have written is undone.
    fn expire(&mut self, now: timer::Moment) -> Vec<ClaimAction> {
        let mut expired = Vec::new();
        for state in self.shards.values_mut() {
            for operations in [&mut state.waiting, &mut state.batch] {
                operations.retain(|operation| match operation {
                    ShardOperation::Claim(request) if now >= request.deadline => {
                        expired.push(request.clone());
                        false
                    }
                    _ => true,
                });
            }
        }
        let mut actions = Vec::new();
        for request in expired {
            self.waiting = self.waiting.saturating_sub(1);
            actions.push(unavailable(request.ticket, BACKOFF_MS));
            self.on_release(request.key.digest, request.attempt, now);
        }
        actions
    }

    fn advance(&mut self, shard: u16, now: timer::Moment, wall: &WallWindow) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        if !state.is_due(now) {
            return Vec::new();
        }
        match state.phase {
            ShardPhase::Unknown => {
                state.phase = ShardPhase::Reading;
                vec![ClaimAction::Read(shard)]
            }
            ShardPhase::Ready => self.commit(shard, now, wall),
            ShardPhase::Reading | ShardPhase::Writing => Vec::new(),
        }
    }

    /// Applies all waiting operations to a draft; writes it, or answers if nothing changed.
    fn commit(&mut self, shard: u16, now: timer::Moment, wall: &WallWindow) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let batch = std::mem::take(&mut state.waiting);
        state.settle_since = None;
        let mut draft = state.stored.clone();
        for operation in &batch {
            apply(&mut draft, operation, &self.abandoned);
        }
        if draft == state.stored {
            state.draft = draft;
            state.batch = batch;
            return self.finish(shard);
        }
        draft.prune(wall.now_unix_ms, wall.window_ms);
        let Ok(bytes) = draft.to_bytes() else {
            state.blocked_until = now.plus(BACKOFF_MS);
            self.waiting = self.waiting.saturating_sub(batch.len());
            return refuse_claims(&batch);
        };
        let expected = state.version;
        state.draft = draft;
        state.batch = batch;
        state.phase = ShardPhase::Writing;
        vec![ClaimAction::Write {
            shard,
            bytes,
            expected,
        }]
    }

    /// The draft holds: every operation of the batch gets its verdict.
    fn finish(&mut self, shard: u16) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        state.phase = ShardPhase::Ready;
        state.stored = std::mem::take(&mut state.draft);
        let batch = std::mem::take(&mut state.batch);
        self.waiting = self.waiting.saturating_sub(batch.len());
        let mut actions = Vec::new();
        for operation in batch {
            if let ShardOperation::Claim(request) = operation {
                let verdict = state.stored.verdict(&request.key, &request.attempt);
                let answer = ClaimAnswer::Decided(verdict);
                actions.push(ClaimAction::Answer {
                    ticket: request.ticket,
                    answer,
                });
            }
        }
        actions
    }

    /// A shard's object was read.
    pub fn on_read(
        &mut self,
        shard: u16,
        result: &ReadResult,
        now: timer::Moment,
        wall: &WallWindow,
    ) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        if state.phase != ShardPhase::Reading {
            return Vec::new();
        }
        let loaded = match result {
            ReadResult::Found { bytes, version } => ClaimShard::from_bytes(bytes)
                .ok()
                .map(|stored| (stored, Some(*version))),
            ReadResult::Absent => Some((ClaimShard::default(), None)),
            ReadResult::Failed => None,
        };
        let Some((stored, version)) = loaded else {
            return self.fail(shard, now);
        };
        state.stored = stored;
        state.version = version;
        state.phase = ShardPhase::Ready;
        self.advance(shard, now, wall)
    }

    /// The platform failed: whoever waits is refused at once, and so is who comes soon after.
    fn fail(&mut self, shard: u16, now: timer::Moment) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        state.phase = ShardPhase::Unknown;
        state.blocked_until = now.plus(BACKOFF_MS);
        let (claims, others): (Vec<_>, Vec<_>) = std::mem::take(&mut state.waiting)
            .into_iter()
            .partition(|operation| matches!(operation, ShardOperation::Claim(_)));
        state.waiting = others;
        self.waiting = self.waiting.saturating_sub(claims.len());
        let actions = refuse_claims(&claims);
        for operation in claims {
            if let ShardOperation::Claim(request) = operation {
                self.on_release(request.key.digest, request.attempt, now);
            }
        }
        actions
    }

    /// A shard's write ended. Unless it is known to have taken effect, the object is read again
    /// and the whole batch applied to what it holds: an attempt finds its own claim there.
    pub fn on_write(
        &mut self,
        shard: u16,
        result: WriteResult,
        now: timer::Moment,
        wall: &WallWindow,
    ) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        if state.phase != ShardPhase::Writing {
            return Vec::new();
        }
        if let WriteResult::Stored { version } = result {
            state.version = Some(version);
            let mut actions = self.finish(shard);
            actions.extend(self.advance(shard, now, wall));
            return actions;
        }
        let batch = std::mem::take(&mut state.batch);
        let later = std::mem::replace(&mut state.waiting, batch);
        state.waiting.extend(later);
        state.settle_since.get_or_insert(now);
        state.phase = ShardPhase::Reading;
        vec![ClaimAction::Read(shard)]
    }
}

/// The wall clock and the longest claim window, which decide what a shard may forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WallWindow {
    /// Unix milliseconds now.
    pub now_unix_ms: u64,
    /// The longest window of any service, in milliseconds.
    pub window_ms: u64,
}

fn apply(
    draft: &mut ClaimShard,
    operation: &ShardOperation,
    abandoned: &collections::VecDeque<(u128, ClaimAttempt)>,
) {
    match operation {
        ShardOperation::Claim(request) => {
            let digest = request.key.digest;
            let orphan = draft
                .pending_attempt(digest)
                .filter(|owner| {
                    abandoned
                        .iter()
                        .any(|(key, attempt)| *key == digest && attempt == *owner)
                })
                .cloned();
            if let Some(attempt) = orphan {
                draft.release(digest, &attempt);
            }
            draft.claim(&request.key, &request.attempt);
        }
        ShardOperation::Settle {
            digest,
            attempt,
            status,
        } => draft.settle(*digest, attempt, *status),
        ShardOperation::Release { digest, attempt } => draft.release(*digest, attempt),
    }
}

fn unavailable(ticket: u64, retry_ms: u64) -> ClaimAction {
    ClaimAction::Answer {
        ticket,
        answer: ClaimAnswer::Unavailable(retry_ms.max(1)),
    }
}

fn refuse_claims(operations: &[ShardOperation]) -> Vec<ClaimAction> {
    let claims = operations.iter().filter_map(|operation| match operation {
        ShardOperation::Claim(request) => Some(unavailable(request.ticket, BACKOFF_MS)),
        _ => None,
    });
    claims.collect()
}
