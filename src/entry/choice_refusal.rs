//! What a caller hears when no server gets its request: when coming back may help.

use rand::Rng as _;
use rand::rngs::SmallRng;

use super::choice::{self, ChoiceQuery, NoServer, ServerChoice};
use crate::timer::Moment;

/// Come-back times lie between these shares of the expected answer time, so that those who come
/// back are spread out.
const COME_BACK_SHARES: std::ops::Range<f64> = 0.5..1.5;
/// The shortest come-back time, in milliseconds.
const COME_BACK_MIN_MS: f64 = 50.0;

/// When the first server that is passed over for its limit or its rest may be expected to take a request again.
pub(super) fn first_opening(query: &ChoiceQuery<'_>) -> Option<Moment> {
    let servers = query.servers.iter();
    let held = servers.filter(|server| server.takes_work() && choice::fits_later(query, server));
    let opens = held.filter_map(|server| {
        let limit = query.limits.token_expected_at(server.start_hash);
        limit.max(server.notice().backoff_until())
    });
    opens.min()
}

/// Refuses a request that no server takes now.
pub(super) fn refuse(
    query: &ChoiceQuery<'_>,
    reason: NoServer,
    free_slots: u32,
    random: &mut SmallRng,
) -> ServerChoice {
    let share = random.random_range(COME_BACK_SHARES);
    let millis = (query.usual_ms * share).max(COME_BACK_MIN_MS);
    ServerChoice::Refuse {
        reason,
        // A float cast saturates, and the value is positive.
        come_back_ms: millis as u64,
        free_slots,
    }
}

/// Refuses a request that no server takes before `opens`; those that are refused together come back apart.
pub(super) fn refuse_until(
    query: &ChoiceQuery<'_>,
    opens: Moment,
    random: &mut SmallRng,
) -> ServerChoice {
    let spread_ms = query.usual_ms * random.random_range(COME_BACK_SHARES);
    let millis = opens.since(query.now) as f64 + spread_ms;
    ServerChoice::Refuse {
        reason: NoServer::AllLimited,
        // A float cast saturates, and the value is positive.
        come_back_ms: millis.max(COME_BACK_MIN_MS) as u64,
        free_slots: 0,
    }
}
