//! Advertised limits of backend servers as hosts know them, and the tokens that a limit owner
//! grants.

#[path = "common/seeded.rs"]
mod seeded;

use ledgespool::entry::limits::message::TokenVerdict;
use ledgespool::entry::server_limit::message::LimitUpdate;
use ledgespool::entry::server_limit::rate::{AdvertisedLimit, RequestRate};
use ledgespool::entry::server_limit::table::{LimitChange, ServerLimitTable};
use ledgespool::entry::server_limit::{ENDED_RETENTION_MS, MAX_WAIT_MS, UPDATES_PER_HEARTBEAT};
use ledgespool::timer::Moment;
use proptest::prelude::*;

const SERVER: u64 = 7;
/// The window over which a server's requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn rate(text: &str) -> RequestRate {
    RequestRate::from_text(text).expect("a rate")
}

fn advertised(text: &str) -> AdvertisedLimit {
    AdvertisedLimit::Rate(rate(text))
}

/// A table that learned the limit `text` from an answer at time 0.
fn table_with_limit(text: &str) -> ServerLimitTable {
    let mut table = ServerLimitTable::default();
    let change = table.on_answer(SERVER, advertised(text), None, true, Moment(0));
    assert_eq!(change, LimitChange::Began(rate(text)));
    table
}

/// The maximum number of requests in a window: 1.5 times the advertised rate, and 5 more.
fn max_requests(per_s: f64) -> usize {
    (1.5 * per_s * 4.0 + 5.0).floor() as usize
}

fn fullest_window(granted: &[u64]) -> usize {
    let counts = granted
        .iter()
        .enumerate()
        .map(|(first, begin)| granted[first..].partition_point(|at| *at < begin + WINDOW_MS));
    counts.max().unwrap_or(0)
}

#[test]
fn invalid_rates_are_not_limits() {
    for text in ["NaN", "-1", "inf", "", "1,8", "many", "-0.1"] {
        assert_eq!(RequestRate::from_text(text), None, "{text}");
    }
    for (text, per_s) in [("0", 0.0), ("1.8", 1.8), ("1e9", 1e9), (" 3 ", 3.0)] {
        assert!((rate(text).per_s() - per_s).abs() < 1e-9, "{text}");
    }
    let mut table = table_with_limit("2");
    let change = table.on_answer(SERVER, AdvertisedLimit::Unreadable, None, true, Moment(1));
    assert_eq!(change, LimitChange::None);
    assert_eq!(table.rate_of(SERVER), Some(rate("2")));
}

/// An answer that left the server before it advertised a limit may arrive after one that advertises
/// it.
#[test]
fn only_an_answer_to_a_request_sent_in_the_limit_period_ends_the_limit() {
    let mut table = ServerLimitTable::default();
    let before = table.period_of(SERVER);
    table.on_answer(SERVER, advertised("1"), before, true, Moment(0));
    let period = table.period_of(SERVER);
    let mut answer = |sent_in, is_proven| {
        table.on_answer(
            SERVER,
            AdvertisedLimit::Absent,
            sent_in,
            is_proven,
            Moment(1),
        )
    };
    assert_eq!(answer(before, true), LimitChange::None);
    assert_eq!(answer(period, false), LimitChange::None);
    assert_eq!(answer(period, true), LimitChange::Ended);
    // The next limit is another period: the same answer, repeated or late, does not end it.
    table.on_answer(SERVER, advertised("1"), None, true, Moment(2));
    let change = table.on_answer(SERVER, AdvertisedLimit::Absent, period, true, Moment(3));
    assert_eq!(change, LimitChange::None);
}

#[test]
fn updates_in_any_order_lead_to_the_same_state() {
    let update = |version, rate| LimitUpdate {
        server: SERVER,
        version,
        rate,
    };
    let updates = [
        update(1, Some(rate("3"))),
        update(2, None),
        update(2, Some(rate("5"))),
        update(2, Some(rate("4"))),
    ];
    for first in 0..updates.len() {
        let mut table = ServerLimitTable::default();
        for number in 0..updates.len() {
            table.on_update(&updates[(first + number) % updates.len()], Moment(0));
        }
        assert_eq!(table.update_of(SERVER), Some(updates[3]), "from {first}");
        assert_eq!(table.newer_update(&updates[0]), Some(updates[3]));
        assert_eq!(table.newer_update(&updates[3]), None);
    }
}

#[test]
fn unsent_updates_are_returned_once_and_heartbeats_cover_all() {
    let mut table = ServerLimitTable::default();
    let servers = 3 * UPDATES_PER_HEARTBEAT as u64 + 1;
    for server in 0..servers {
        table.on_answer(server, advertised("2"), None, true, Moment(0));
    }
    assert_eq!(table.take_unsent().len() as u64, servers);
    assert_eq!(table.take_unsent(), Vec::new());
    let mut seen: Vec<u64> = (0..4)
        .flat_map(|_| table.next_heartbeat_updates())
        .map(|update| update.server)
        .collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len() as u64, servers);
}

#[test]
fn ended_limit_is_removed_after_the_retention_time() {
    let mut table = table_with_limit("2");
    let period = table.period_of(SERVER);
    table.on_answer(SERVER, AdvertisedLimit::Absent, period, true, Moment(10));
    table.on_tick(|_| true, Moment(10 + ENDED_RETENTION_MS));
    let over = table.next_heartbeat_updates();
    assert_eq!(over.len(), 1, "the end is still advertised");
    table.on_tick(|_| true, Moment(11 + ENDED_RETENTION_MS));
    assert_eq!(table.next_heartbeat_updates(), Vec::new());
    // A host that still sends the update does not bring the limit back.
    assert_eq!(table.on_update(&over[0], Moment(70_000)), LimitChange::None);
    assert_eq!(table.next_heartbeat_updates(), Vec::new());
}

/// Two hosts that both take themselves for the limit owner for a moment must grant little more than
/// one would.
#[test]
fn new_limit_owner_has_no_tokens() {
    let mut table = table_with_limit("2");
    assert_ne!(table.grant(SERVER, Moment(60_000)), TokenVerdict::Granted);
    assert_eq!(table.grant(SERVER, Moment(60_500)), TokenVerdict::Granted);
    table.on_other_owner(SERVER);
    assert_ne!(table.grant(SERVER, Moment(90_000)), TokenVerdict::Granted);
}

#[test]
fn server_with_limit_zero_gets_the_minimum_rate() {
    let mut table = table_with_limit("0");
    let asked = (0..400).map(|step| step * 100);
    let granted = asked.filter(|at| table.grant(SERVER, Moment(*at)) == TokenVerdict::Granted);
    let granted: Vec<u64> = granted.collect();
    assert!((9..=11).contains(&granted.len()), "{granted:?}");
}

/// Hundreds of hosts that each want one token a second must not all ask for every token.
#[test]
fn denials_report_times_one_token_apart() {
    let mut table = table_with_limit("4");
    let mut waits = Vec::new();
    for _ in 0..100 {
        if let TokenVerdict::Denied { available_in_ms } = table.grant(SERVER, Moment(0)) {
            waits.push(available_in_ms);
        }
    }
    assert_eq!(waits[..4], [250, 500, 750, 1_000]);
    assert_eq!(u64::from(waits[99]), MAX_WAIT_MS);
}

proptest! {
    #![proptest_config(seeded::config())]

    /// No window exceeds the bound, however often hosts ask and however the limit changes below its
    /// maximum.
    #[test]
    fn limit_owner_never_exceeds_the_bound(
        limits in prop::collection::vec(0_u32..200, 1..6),
        gaps in prop::collection::vec(0_u64..400, 1..600),
    ) {
        let highest = f64::from(*limits.iter().max().expect("one")) / 10.0;
        let mut table = table_with_limit("0");
        let mut granted = Vec::new();
        let mut now = 0;
        for (step, gap) in gaps.iter().enumerate() {
            now += gap;
            let limit = limits[step / 100 % limits.len()];
            let text = format!("{}.{}", limit / 10, limit % 10);
            table.on_answer(SERVER, advertised(&text), table.period_of(SERVER), true, Moment(now));
            while table.grant(SERVER, Moment(now)) == TokenVerdict::Granted {
                granted.push(now);
            }
        }
        prop_assert!(fullest_window(&granted) <= max_requests(highest));
    }
}
