//! Refusals of requests that no server takes, and when a retry may succeed.

use rand::Rng as _;
use rand::rngs::SmallRng;

use super::choice::{self, ChoiceQuery, ChosenServer, NoServer, ServerChoice};
use crate::timer::Moment;

/// Range of the retry-after time as a multiple of the typical answer time; the spread keeps refused
/// callers from retrying at the same time.
const RETRY_AFTER_FACTORS: std::ops::Range<f64> = 0.5..1.5;
/// Minimum retry-after time, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;

/// The earliest time at which a server that was skipped because of its limit or its backoff may
/// accept a request again.
pub(super) fn next_available_at(query: &ChoiceQuery<'_>) -> Option<Moment> {
    let servers = query.servers.iter();
    let closed =
        servers.filter(|server| server.takes_work() && choice::is_eligible_later(query, server));
    let times = closed.filter_map(|server| {
        let limit = query.limits.token_expected_at(server.incarnation_hash);
        limit.max(server.notice().backoff_until())
    });
    times.min()
}

/// Refuses a request that no server takes now.
pub(super) fn refuse(
    query: &ChoiceQuery<'_>,
    reason: NoServer,
    free_slots: u32,
    random: &mut SmallRng,
) -> ServerChoice {
    ServerChoice::Refuse {
        reason,
        retry_after_ms: spread_retry_ms(query, random),
        free_slots,
        earliest: None,
    }
}

/// Refuses a request that every candidate would answer too late.
pub(super) fn refuse_late(
    query: &ChoiceQuery<'_>,
    candidates: &[ChosenServer],
    free_slots: u32,
    random: &mut SmallRng,
) -> ServerChoice {
    let expected = candidates.iter().map(|candidate| candidate.expected);
    ServerChoice::Refuse {
        reason: NoServer::AllFull,
        retry_after_ms: spread_retry_ms(query, random),
        free_slots,
        earliest: expected.min_by(|a, b| a.total_ms().total_cmp(&b.total_ms())),
    }
}

fn spread_retry_ms(query: &ChoiceQuery<'_>, random: &mut SmallRng) -> u64 {
    let factor = random.random_range(RETRY_AFTER_FACTORS);
    let retry_after_ms = (query.typical_ms * factor).max(MIN_RETRY_AFTER_MS);
    // The value is positive, and float casts saturate.
    retry_after_ms as u64
}

/// Refuses a request that no server takes before `available_at`. The retry-after times are spread,
/// so that callers refused together do not retry together.
pub(super) fn refuse_until(
    query: &ChoiceQuery<'_>,
    available_at: Moment,
    random: &mut SmallRng,
) -> ServerChoice {
    let spread_ms = query.typical_ms * random.random_range(RETRY_AFTER_FACTORS);
    let retry_after_ms = available_at.since(query.now) as f64 + spread_ms;
    ServerChoice::Refuse {
        reason: NoServer::AllLimited,
        // The value is positive, and float casts saturate.
        retry_after_ms: retry_after_ms.max(MIN_RETRY_AFTER_MS) as u64,
        free_slots: 0,
        earliest: None,
    }
}
