//! The claim role: commits claims to shard objects in batches, by conditional update.
//!
//! Correctness depends only on the conditional update: any host may commit to any shard. Each
//! shard has an owner, chosen by rendezvous hashing over the live hosts, only to reduce write
//! conflicts. The number of platform writes depends on the number of shards and on time, not on
//! the number of requests.
//!
//! Memory: at most [`MAX_PENDING_OPERATIONS`] operations, [`MAX_ABANDONED_ATTEMPTS`] abandoned
//! attempts, and the shards used within the last [`SHARD_IDLE_TIMEOUT_MS`].

use std::collections;

use crate::claim::{ClaimAttempt, ClaimKey, ClaimShard, ClaimVerdict};
use crate::platform_call::{ReadResult, WriteResult};
use crate::timer;

/// Number of shard objects on the platform.
pub const SHARD_COUNT: u16 = 64;
/// Maximum number of pending operations on one host.
pub const MAX_PENDING_OPERATIONS: usize = 4_096;
/// Maximum number of remembered abandoned attempts, whose claims may still appear in a shard.
pub const MAX_ABANDONED_ATTEMPTS: usize = 10_000;
/// A shard that was not used for this long is dropped from memory.
pub const SHARD_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time that outcomes and releases wait for a claim to share a write with.
const MAX_DEFER_MS: u64 = 200;
/// Time after a failed call during which claims of the shard are refused immediately.
const BACKOFF_MS: u64 = 500;

/// A claim to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identifies the waiting request.
    pub ticket: u64,
    /// The key.
    pub key: ClaimKey,
    /// The attempt that wants to run it.
    pub attempt: ClaimAttempt,
    /// After this moment the request is refused as not run.
    pub deadline: timer::Moment,
}

/// The answer to a claim request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The verdict that the shard's object gives.
    Decided(ClaimVerdict),
    /// Nothing could be recorded, so the request must not be sent. Retry after this many
    /// milliseconds.
    Unavailable(u64),
}

/// An action that the role requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read a shard's object.
    Read(u16),
    /// Write a shard's object conditionally.
    Write {
        /// The shard.
        shard: u16,
        /// The new content.
        bytes: Vec<u8>,
        /// The version to replace.
        expected: Option<u64>,
    },
    /// Answer a waiting request.
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
    pending: Vec<ShardOperation>,
    /// Operations of the write in progress; `draft` is the content being written.
    batch: Vec<ShardOperation>,
    draft: ClaimShard,
    deferred_since: Option<timer::Moment>,
    blocked_until: timer::Moment,
    last_used: timer::Moment,
}

impl ShardState {
    fn new(now: timer::Moment) -> Self {
        Self {
            phase: ShardPhase::Unknown,
            stored: ClaimShard::default(),
            version: None,
            pending: Vec::new(),
            batch: Vec::new(),
            draft: ClaimShard::default(),
            deferred_since: None,
            blocked_until: now,
            last_used: now,
        }
    }

    fn has_claims(&self) -> bool {
        self.pending
            .iter()
            .any(|operation| matches!(operation, ShardOperation::Claim(_)))
    }

    fn is_due(&self, now: timer::Moment) -> bool {
        let deferred_due = self
            .deferred_since
            .is_some_and(|since| now.since(since) >= MAX_DEFER_MS);
        now >= self.blocked_until && !self.pending.is_empty() && (self.has_claims() || deferred_due)
    }
}

/// The claim role of one host.
#[derive(Debug, Default)]
pub struct ClaimRole {
    shards: collections::HashMap<u16, ShardState>,
    abandoned: collections::VecDeque<(u128, ClaimAttempt)>,
    pending_count: usize,
}

impl ClaimRole {
    /// A role without any loaded shard.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn touch_shard(&mut self, shard: u16, now: timer::Moment) -> &mut ShardState {
        let state = self
            .shards
            .entry(shard)
            .or_insert_with(|| ShardState::new(now));
        state.last_used = now;
        state
    }

    /// Queues a request's claim and starts a read or a write if possible.
    pub fn on_claim(
        &mut self,
        request: ClaimRequest,
        now: timer::Moment,
        window: &ClaimWindow,
    ) -> Vec<ClaimAction> {
        let ticket = request.ticket;
        if self.pending_count >= MAX_PENDING_OPERATIONS {
            return vec![unavailable(ticket, BACKOFF_MS)];
        }
        let shard = request.key.shard(SHARD_COUNT);
        let state = self.touch_shard(shard, now);
        if now < state.blocked_until {
            return vec![unavailable(ticket, state.blocked_until.since(now))];
        }
        state.pending.push(ShardOperation::Claim(request));
        self.pending_count += 1;
        self.advance(shard, now, window)
    }

    /// Queues the outcome of the owning attempt.
    pub fn on_settle(
        &mut self,
        digest: u128,
        attempt: ClaimAttempt,
        status: u16,
        now: timer::Moment,
    ) {
        self.enqueue_deferred(
            digest,
            ShardOperation::Settle {
                digest,
                attempt,
                status,
            },
            now,
        );
    }

    /// Queues the release of a key whose owning attempt provably did not run.
    pub fn on_release(&mut self, digest: u128, attempt: ClaimAttempt, now: timer::Moment) {
        self.abandon(digest, attempt.clone());
        self.enqueue_deferred(digest, ShardOperation::Release { digest, attempt }, now);
    }

    fn enqueue_deferred(&mut self, digest: u128, operation: ShardOperation, now: timer::Moment) {
        if self.pending_count >= MAX_PENDING_OPERATIONS {
            return;
        }
        let shard = ClaimKey { digest, made_at: 0 }.shard(SHARD_COUNT);
        let state = self.touch_shard(shard, now);
        state.pending.push(operation);
        state.deferred_since.get_or_insert(now);
        self.pending_count += 1;
    }

    fn abandon(&mut self, digest: u128, attempt: ClaimAttempt) {
        if self.abandoned.len() >= MAX_ABANDONED_ATTEMPTS {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((digest, attempt));
    }

    /// Refuses expired requests, starts due reads and writes, and drops idle shards.
    pub fn tick(&mut self, now: timer::Moment, window: &ClaimWindow) -> Vec<ClaimAction> {
        let mut actions = self.expire(now);
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            actions.extend(self.advance(shard, now, window));
        }
        self.shards.retain(|_, state| {
            let busy = !state.pending.is_empty()
                || !state.batch.is_empty()
                || state.phase == ShardPhase::Reading;
            busy || now.since(state.last_used) < SHARD_IDLE_TIMEOUT_MS
        });
        actions
    }

    /// Refuses requests past their deadline and releases the claims that they may have written.
    fn expire(&mut self, now: timer::Moment) -> Vec<ClaimAction> {
        let mut expired = Vec::new();
        for state in self.shards.values_mut() {
            for operations in [&mut state.pending, &mut state.batch] {
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
            self.pending_count = self.pending_count.saturating_sub(1);
            actions.push(unavailable(request.ticket, BACKOFF_MS));
            self.on_release(request.key.digest, request.attempt, now);
        }
        actions
    }

    fn advance(
        &mut self,
        shard: u16,
        now: timer::Moment,
        window: &ClaimWindow,
    ) -> Vec<ClaimAction> {
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
            ShardPhase::Ready => self.commit(shard, now, window),
            ShardPhase::Reading | ShardPhase::Writing => Vec::new(),
        }
    }

    /// Applies all pending operations to a draft. Writes the draft, or answers immediately if it
    /// equals the stored content.
    fn commit(&mut self, shard: u16, now: timer::Moment, window: &ClaimWindow) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let batch = std::mem::take(&mut state.pending);
        state.deferred_since = None;
        let mut draft = state.stored.clone();
        for operation in &batch {
            apply(&mut draft, operation, &self.abandoned);
        }
        if draft == state.stored {
            state.draft = draft;
            state.batch = batch;
            return self.complete_batch(shard);
        }
        draft.prune(window.now_unix_ms, window.window_ms);
        let Ok(bytes) = draft.to_bytes() else {
            state.blocked_until = now.plus(BACKOFF_MS);
            self.pending_count = self.pending_count.saturating_sub(batch.len());
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

    /// Makes the draft the stored content and answers every claim of the batch.
    fn complete_batch(&mut self, shard: u16) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        state.phase = ShardPhase::Ready;
        state.stored = std::mem::take(&mut state.draft);
        let batch = std::mem::take(&mut state.batch);
        self.pending_count = self.pending_count.saturating_sub(batch.len());
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

    /// Handles the result of reading a shard's object.
    pub fn on_read(
        &mut self,
        shard: u16,
        result: &ReadResult,
        now: timer::Moment,
        window: &ClaimWindow,
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
            return self.refuse_pending(shard, now);
        };
        state.stored = stored;
        state.version = version;
        state.phase = ShardPhase::Ready;
        self.advance(shard, now, window)
    }

    /// Refuses all pending claims after a failed read and blocks new ones for [`BACKOFF_MS`].
    fn refuse_pending(&mut self, shard: u16, now: timer::Moment) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        state.phase = ShardPhase::Unknown;
        state.blocked_until = now.plus(BACKOFF_MS);
        let (claims, others): (Vec<_>, Vec<_>) = std::mem::take(&mut state.pending)
            .into_iter()
            .partition(|operation| matches!(operation, ShardOperation::Claim(_)));
        state.pending = others;
        self.pending_count = self.pending_count.saturating_sub(claims.len());
        let actions = refuse_claims(&claims);
        for operation in claims {
            if let ShardOperation::Claim(request) = operation {
                self.on_release(request.key.digest, request.attempt, now);
            }
        }
        actions
    }

    /// Handles the result of writing a shard's object. Unless the write is known to have
    /// succeeded, the object is read again and the whole batch is applied to its content. If the
    /// write did take effect, an attempt finds its own claim there.
    pub fn on_write(
        &mut self,
        shard: u16,
        result: WriteResult,
        now: timer::Moment,
        window: &ClaimWindow,
    ) -> Vec<ClaimAction> {
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        if state.phase != ShardPhase::Writing {
            return Vec::new();
        }
        if let WriteResult::Stored { version } = result {
            state.version = Some(version);
            let mut actions = self.complete_batch(shard);
            actions.extend(self.advance(shard, now, window));
            return actions;
        }
        let batch = std::mem::take(&mut state.batch);
        let newer = std::mem::replace(&mut state.pending, batch);
        state.pending.extend(newer);
        state.deferred_since.get_or_insert(now);
        state.phase = ShardPhase::Reading;
        vec![ClaimAction::Read(shard)]
    }
}

/// The current time and the longest claim window, which decide when records are pruned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWindow {
    /// The current time in Unix milliseconds.
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
            let abandoned_owner = draft
                .pending_attempt(digest)
                .filter(|owner| {
                    abandoned
                        .iter()
                        .any(|(key, attempt)| *key == digest && attempt == *owner)
                })
                .cloned();
            if let Some(attempt) = abandoned_owner {
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
