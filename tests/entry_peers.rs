//! What an entry host believes of other hosts, what it tells them, and which of them watch the store.

#[path = "common/peer_records.rs"]
mod peer_records;

use std::net::SocketAddr;

use ledgespool::entry::budget::{RetryShare, RetryWindow};
use ledgespool::entry::peer_message::{self, HeardHost, PeerHeartbeat, PeerMessage, WatchState};
use ledgespool::entry::peers::{
    HostRecord, INDIRECT_SILENT_MS, NEAR_TARGETS, PeerChange, PeerTable, SILENT_MS, WATCHERS,
};
use ledgespool::timer::Moment;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use self::peer_records::heartbeat;

fn host(name: &str, region: &str, processor_milli: u32) -> HostRecord {
    peer_records::record(name, "east", region, processor_milli)
}

#[test]
fn a_host_is_named_while_it_is_heard_ready_and_stays() {
    let mut peers = PeerTable::default();
    let other = host("b", "one", 200);
    assert!(peers.named_for("one", None, Moment(0)).addresses.is_empty());
    peers.on_record(&other, Moment(0));
    assert!(
        peers.named_for("one", None, Moment(0)).addresses.is_empty(),
        "known is not heard"
    );
    let beat = heartbeat(&other, WatchState::Idle);
    assert_eq!(peers.on_heartbeat(&beat, Moment(0)), PeerChange::Heard);
    assert_eq!(
        peers
            .named_for("one", None, Moment(SILENT_MS))
            .addresses
            .len(),
        1
    );
    assert!(
        peers
            .named_for("one", None, Moment(SILENT_MS + 1))
            .addresses
            .is_empty()
    );
    let leaving = PeerHeartbeat {
        leaving: true,
        ..beat.clone()
    };
    assert_eq!(
        peers.on_heartbeat(&leaving, Moment(10)),
        PeerChange::Leaving
    );
    assert!(
        peers
            .named_for("one", None, Moment(10))
            .addresses
            .is_empty()
    );
    peers.on_heartbeat(&beat, Moment(11));
    assert!(
        peers
            .named_for("one", None, Moment(11))
            .addresses
            .is_empty(),
        "a late datagram undoes nothing"
    );
    let again = HostRecord { run: 2, ..other };
    peers.on_heartbeat(&heartbeat(&again, WatchState::Idle), Moment(12));
    assert_eq!(
        peers.named_for("one", None, Moment(12)).addresses.len(),
        1,
        "a new run may come"
    );
}

#[test]
fn hosts_of_other_regions_are_named_as_a_stopgap_only() {
    let mut peers = PeerTable::default();
    let far = host("far", "two", 200);
    peers.on_heartbeat(&heartbeat(&far, WatchState::Idle), Moment(0));
    let named = peers.named_for("one", None, Moment(0));
    assert!(named.is_elsewhere && named.addresses.len() == 1);
    let own = host("own", "one", 200);
    let named = peers.named_for("one", Some(&own), Moment(0));
    assert!(!named.is_elsewhere && named.addresses.len() == 1);
}

/// A region of more hosts than a heartbeat goes to, of which only the first is heard itself.
fn large_region(heard: &[HeardHost]) -> PeerTable {
    let mut peers = PeerTable::default();
    for number in 0..20 {
        peers.on_record(&host(&format!("h-{number:02}"), "one", 200), Moment(0));
    }
    let beat = PeerHeartbeat {
        heard: heard.to_vec(),
        ..heartbeat(&host("h-00", "one", 200), WatchState::Idle)
    };
    peers.on_heartbeat(&beat, Moment(10_000));
    peers
}

fn told(name: &str, age_tenths: u8) -> HeardHost {
    HeardHost {
        name_hash: xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32,
        run_low: 1,
        age_tenths,
        ready: true,
        watch: WatchState::Idle,
    }
}

#[test]
fn a_host_is_named_when_others_have_heard_it() {
    let peers = large_region(&[told("h-07", 10)]);
    assert_eq!(
        peers.named_for("one", None, Moment(10_000)).addresses.len(),
        2
    );
    let later = Moment(9_000 + INDIRECT_SILENT_MS + 1);
    assert_eq!(
        peers.named_for("one", None, later).addresses.len(),
        1,
        "its age counts from when it spoke itself"
    );
}

#[test]
fn the_word_of_an_earlier_run_tells_nothing_of_this_one() {
    let earlier = HeardHost {
        run_low: 0,
        ..told("h-07", 0)
    };
    let peers = large_region(&[earlier, told("unknown", 0)]);
    assert_eq!(
        peers.named_for("one", None, Moment(10_000)).addresses.len(),
        1
    );
}

#[test]
fn what_a_host_sends_does_not_grow_with_the_number_of_hosts() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut peers = PeerTable::default();
    for number in 0..470 {
        let region = ["one", "two", "three"][number % 3];
        let record = host(&format!("h-{number:03}"), region, 200);
        peers.on_heartbeat(&heartbeat(&record, WatchState::Idle), Moment(0));
    }
    let near = peers.near_targets("one", &mut random).len();
    let far = peers.far_targets("one", &mut random).len();
    assert!(near <= NEAR_TARGETS && far <= 2, "{near} and {far}");
    let beat = PeerHeartbeat {
        heard: peers.heard_lately("one", Moment(0)),
        ..heartbeat(&host("h-000", "one", 200), WatchState::Idle)
    };
    let bytes = |beat: PeerHeartbeat| {
        let written = peer_message::to_bytes(&PeerMessage::Heartbeat(Box::new(beat)));
        written.expect("it is written").len()
    };
    let short = PeerHeartbeat {
        record: None,
        ..beat.clone()
    };
    let far_short = short.for_other_regions();
    // Twice a second, with the host's record in one of four.
    let a_round = near * bytes(short) + far * bytes(far_short);
    let with_record = (near + far) * bytes(beat);
    let per_second = 2 * (3 * a_round + with_record) / 4;
    assert!(per_second < 10_000, "{per_second} bytes a second");
}

/// Hosts of one region that send heartbeats to each other, in simulated time.
struct HearsayRegion {
    records: Vec<HostRecord>,
    tables: Vec<PeerTable>,
    random: SmallRng,
}

impl HearsayRegion {
    const BEAT_MS: u64 = 500;
    /// A datagram's way between two halls, at most.
    const WAY_MS: u64 = 20;

    fn with_hosts(count: u16) -> Self {
        let record = |number: u16| HostRecord {
            caller_address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
            heartbeat_address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
            ..host(&format!("h-{number:03}"), "one", 200)
        };
        let records: Vec<HostRecord> = (0..count).map(record).collect();
        let mut tables = Vec::new();
        for own in &records {
            let mut table = PeerTable::default();
            for other in records.iter().filter(|other| other.name != own.name) {
                table.on_record(other, Moment(0));
            }
            tables.push(table);
        }
        Self {
            records,
            tables,
            random: SmallRng::seed_from_u64(3),
        }
    }

    /// Lets all hosts beat at their own moments until `until_ms`; the first is dead from `dies_ms`.
    fn run(&mut self, from_ms: u64, until_ms: u64, dies_ms: u64) {
        for millis in from_ms..until_ms {
            for number in 0..self.records.len() {
                let phase = number as u64 * 37 % Self::BEAT_MS;
                let dead = number == 0 && millis > dies_ms;
                if millis % Self::BEAT_MS == phase && !dead {
                    self.beat(number, millis, dies_ms);
                }
            }
        }
    }

    fn beat(&mut self, number: usize, millis: u64, dies_ms: u64) {
        let table = &self.tables[number];
        let beat = PeerHeartbeat {
            record: None,
            heard: table.heard_lately("one", Moment(millis)),
            ..heartbeat(&self.records[number], WatchState::Idle)
        };
        for target in table.near_targets("one", &mut self.random) {
            let target = usize::from(target.port() - 1_000);
            if target != 0 || millis <= dies_ms {
                let arrives = Moment(millis + self.random.random_range(1..=Self::WAY_MS));
                self.tables[target].on_heartbeat(&beat, arrives);
            }
        }
    }

    /// How many hosts other than the first name the one with `number` to callers.
    fn naming(&self, number: usize, millis: u64) -> usize {
        let address = self.records[number].caller_address;
        let others = (1..self.tables.len()).filter(|other| *other != number);
        others
            .filter(|other| {
                let named = self.tables[*other].named_for("one", None, Moment(millis));
                let named = named.addresses;
                named.contains(&address)
            })
            .count()
    }
}

#[test]
fn a_dead_host_is_forgotten_and_the_living_are_not_however_many_they_are() {
    const DIES_MS: u64 = 8_000;
    for count in [12, 27, 80, 157] {
        let mut region = HearsayRegion::with_hosts(count);
        region.run(0, DIES_MS, DIES_MS);
        let others = usize::from(count) - 2;
        for number in 1..usize::from(count) {
            let naming = region.naming(number, DIES_MS);
            assert!(
                naming * 100 >= others * 98,
                "{count} hosts: {naming} of {others} name living host {number}"
            );
        }
        let later = DIES_MS + INDIRECT_SILENT_MS + 1_000;
        region.run(DIES_MS, later, DIES_MS);
        assert_eq!(region.naming(0, later), 0, "{count} hosts");
    }
}

#[test]
fn the_watchers_of_a_region_share_the_hosts_that_they_tell() {
    let all: Vec<HostRecord> = (0..30)
        .map(|number| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
            HostRecord {
                heartbeat_address: address,
                ..host(&format!("h-{number:02}"), "one", 200)
            }
        })
        .collect();
    let (watchers, others) = all.split_at(2);
    let mut told: Vec<SocketAddr> = Vec::new();
    for own in watchers {
        let mut peers = PeerTable::default();
        for peer in all.iter().filter(|peer| peer.name != own.name) {
            let state = if watchers.contains(peer) {
                WatchState::Watching
            } else {
                WatchState::Idle
            };
            peers.on_heartbeat(&heartbeat(peer, state), Moment(0));
        }
        told.extend(peers.news_targets(own, Moment(0)));
        let silent = Moment(INDIRECT_SILENT_MS + 1);
        assert_eq!(
            peers.news_targets(own, silent).len(),
            29,
            "one whose fellow is silent tells all"
        );
    }
    for other in others {
        let times = told
            .iter()
            .filter(|target| **target == other.heartbeat_address)
            .count();
        assert_eq!(times, 1, "{}", other.name);
    }
}

#[test]
fn the_next_in_order_watches_when_one_falls_silent_or_blind() {
    let own = host("z", "one", 100);
    let larger: Vec<HostRecord> = ["a", "b", "c"].map(|name| host(name, "one", 500)).to_vec();
    let mut peers = PeerTable::default();
    for other in &larger {
        peers.on_heartbeat(&heartbeat(other, WatchState::Watching), Moment(0));
    }
    assert!(!peers.is_watcher(&own, Moment(0)));
    for blind in &larger[..2] {
        peers.on_heartbeat(&heartbeat(blind, WatchState::Blind), Moment(1));
    }
    assert!(
        peers.is_watcher(&own, Moment(1)),
        "one of three sees, {WATCHERS} must"
    );
    assert!(
        peers.is_watcher(&own, Moment(SILENT_MS + 2)),
        "all are silent"
    );
    let far = host("f", "two", 100);
    assert!(peers.is_watcher(&far, Moment(1)), "each region has its own");
}

#[test]
fn when_the_store_is_away_for_all_only_a_few_of_a_region_ask_it() {
    let all: Vec<HostRecord> = (0..30)
        .map(|number| host(&format!("h-{number:02}"), "one", 200))
        .collect();
    let asking = all.iter().filter(|own| {
        let mut peers = PeerTable::default();
        for peer in all.iter().filter(|peer| peer.name != own.name) {
            peers.on_heartbeat(&heartbeat(peer, WatchState::Blind), Moment(0));
        }
        peers.is_watcher(own, Moment(0))
    });
    assert_eq!(asking.count(), 6);
}

#[test]
fn a_host_that_knows_few_counts_many() {
    let mut peers = PeerTable::default();
    assert!(
        peers.host_count() >= 100,
        "it may have just started among many"
    );
    peers.on_listed();
    assert_eq!(peers.host_count(), 1);
}

/// Each of any number of hosts that have just started takes its part of a limit: together they must not exceed it.
#[test]
fn hosts_that_do_not_know_their_number_take_no_fixed_part_of_a_limit() {
    const SLACK: f64 = 100_000.0;
    let peers = PeerTable::default();
    let share = RetryShare {
        ratio: 0.2,
        slack: SLACK,
        hosts: peers.host_count(),
    };
    assert!(!RetryWindow::with_length(10_000).try_retry(&share, Moment(0)));
}

/// Hosts count as known once there was time to hear of them, which may be too early in a large deployment.
#[test]
fn a_host_that_others_tell_of_more_hosts_divides_limits_by_as_many() {
    let mut peers = PeerTable::default();
    peers.on_listed();
    for region in ["one", "two", "three"] {
        let told = HostRecord {
            region_hosts: 300,
            ..host(&format!("h-{region}"), region, 200)
        };
        peers.on_record(&told, Moment(0));
    }
    assert!(peers.host_count() >= 895, "{}", peers.host_count());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Whatever bytes another host sends, they are read or refused.
    #[test]
    fn bytes_of_other_hosts_never_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _read = peer_message::from_bytes::<PeerMessage>(&bytes);
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        let _read = peer_message::from_bytes::<PeerMessage>(&bytes);
    }
}

#[test]
fn late_word_of_an_earlier_runs_end_does_not_remove_the_later_run() {
    let mut peers = PeerTable::default();
    let later = HostRecord {
        run: 7,
        ..host("b", "one", 200)
    };
    peers.on_record(&later, Moment(0));
    peers.on_removed("b", 6);
    assert_eq!(peers.run_of("b"), 7);
    peers.on_removed("b", 7);
    assert_eq!(peers.run_of("b"), 0);
}
