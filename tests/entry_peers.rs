//! Tests how a host tracks its peers, which of them it sends to, and which hosts watch the store.

#[path = "common/peer_records.rs"]
mod peer_records;

use std::net::SocketAddr;

use ledgespool::entry::budget::{RetryShare, RetryWindow};
use ledgespool::entry::handoff::message::HandoffRequest;
use ledgespool::entry::peer_message::{self, PeerHeartbeat, PeerMessage, PeerStatus, WatchState};
use ledgespool::entry::peers::{
    HEARTBEAT_FANOUT, HostRecord, INDIRECT_PEER_TIMEOUT_MS, PEER_TIMEOUT_MS, PeerChange, PeerTable,
    ServingHost, WATCHERS_PER_REGION,
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
fn a_host_is_advertised_while_alive_ready_and_not_leaving() {
    let mut peers = PeerTable::default();
    let other = host("b", "one", 200);
    assert!(
        peers
            .advertised_for("one", None, Moment(0))
            .addresses
            .is_empty()
    );
    peers.on_record(&other, Moment(0));
    assert!(
        peers
            .advertised_for("one", None, Moment(0))
            .addresses
            .is_empty(),
        "a known host is not yet a live one"
    );
    let beat = heartbeat(&other, WatchState::Idle);
    assert_eq!(peers.on_heartbeat(&beat, Moment(0)), PeerChange::Appeared);
    assert_eq!(
        peers
            .advertised_for("one", None, Moment(PEER_TIMEOUT_MS))
            .addresses
            .len(),
        1
    );
    assert!(
        peers
            .advertised_for("one", None, Moment(PEER_TIMEOUT_MS + 1))
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
            .advertised_for("one", None, Moment(10))
            .addresses
            .is_empty()
    );
    peers.on_heartbeat(&beat, Moment(11));
    assert!(
        peers
            .advertised_for("one", None, Moment(11))
            .addresses
            .is_empty(),
        "a late datagram does not revert leaving"
    );
    let again = HostRecord { run: 2, ..other };
    peers.on_heartbeat(&heartbeat(&again, WatchState::Idle), Moment(12));
    assert_eq!(
        peers
            .advertised_for("one", None, Moment(12))
            .addresses
            .len(),
        1,
        "a new run is advertised again"
    );
}

#[test]
fn hosts_of_other_regions_are_advertised_only_without_local_ones() {
    let mut peers = PeerTable::default();
    let far = host("far", "two", 200);
    peers.on_heartbeat(&heartbeat(&far, WatchState::Idle), Moment(0));
    let named = peers.advertised_for("one", None, Moment(0));
    assert!(named.is_remote && named.addresses.len() == 1);
    let own = host("own", "one", 200);
    let own = ServingHost {
        record: &own,
        reaches_servers: true,
    };
    let named = peers.advertised_for("one", Some(own), Moment(0));
    assert!(!named.is_remote && named.addresses.len() == 1);
}

/// Callers were sent to hosts of their region, although these could not reach any server.
#[test]
fn hosts_that_reach_no_server_are_advertised_only_if_no_host_does() {
    let mut peers = PeerTable::default();
    let lost = PeerHeartbeat {
        reaches_servers: false,
        ..heartbeat(&host("lost", "one", 200), WatchState::Idle)
    };
    peers.on_heartbeat(&lost, Moment(0));
    assert!(!peers.any_reaches_servers(Moment(0)));
    let named = peers.advertised_for("one", None, Moment(0));
    assert!(!named.is_remote && named.addresses.len() == 1);
    let far = host("far", "two", 200);
    peers.on_heartbeat(&heartbeat(&far, WatchState::Idle), Moment(0));
    assert!(peers.any_reaches_servers(Moment(0)));
    let named = peers.advertised_for("one", None, Moment(0));
    assert!(named.is_remote && named.addresses == [far.caller_address]);
    let own = host("own", "one", 200);
    let own = ServingHost {
        record: &own,
        reaches_servers: false,
    };
    let named = peers.advertised_for("one", Some(own), Moment(0));
    assert!(named.is_remote && named.addresses == [far.caller_address]);
    let found = PeerHeartbeat {
        reaches_servers: true,
        ..lost
    };
    peers.on_heartbeat(&found, Moment(10));
    let named = peers.advertised_for("one", Some(own), Moment(10));
    assert!(!named.is_remote && named.addresses.len() == 1);
}

/// A region with more hosts than a heartbeat goes to, of which only the first has sent a heartbeat.
fn large_region(statuses: &[PeerStatus]) -> PeerTable {
    let mut peers = PeerTable::default();
    for number in 0..20 {
        peers.on_record(&host(&format!("h-{number:02}"), "one", 200), Moment(0));
    }
    let beat = PeerHeartbeat {
        peer_statuses: statuses.to_vec(),
        ..heartbeat(&host("h-00", "one", 200), WatchState::Idle)
    };
    peers.on_heartbeat(&beat, Moment(10_000));
    peers
}

fn status(name: &str, age_tenths: u8) -> PeerStatus {
    PeerStatus {
        name_hash: xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32,
        run_low: 1,
        age_tenths,
        ready: true,
        reaches_servers: true,
        watch: WatchState::Idle,
    }
}

#[test]
fn a_host_is_advertised_when_others_report_it_alive() {
    let peers = large_region(&[status("h-07", 10)]);
    assert_eq!(
        peers
            .advertised_for("one", None, Moment(10_000))
            .addresses
            .len(),
        2
    );
    let later = Moment(9_000 + INDIRECT_PEER_TIMEOUT_MS + 1);
    assert_eq!(
        peers.advertised_for("one", None, later).addresses.len(),
        1,
        "the age counts from the host's own heartbeat"
    );
}

#[test]
fn the_status_of_an_earlier_run_is_ignored() {
    let earlier = PeerStatus {
        run_low: 0,
        ..status("h-07", 0)
    };
    let peers = large_region(&[earlier, status("unknown", 0)]);
    assert_eq!(
        peers
            .advertised_for("one", None, Moment(10_000))
            .addresses
            .len(),
        1
    );
}

#[test]
fn heartbeat_traffic_does_not_grow_with_the_number_of_hosts() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut peers = PeerTable::default();
    for number in 0..470 {
        let region = ["one", "two", "three"][number % 3];
        let record = host(&format!("h-{number:03}"), region, 200);
        peers.on_heartbeat(&heartbeat(&record, WatchState::Idle), Moment(0));
    }
    let local = peers.local_targets("one", &mut random).len();
    let remote = peers.remote_targets("one", &mut random).len();
    assert!(
        local <= HEARTBEAT_FANOUT && remote <= 2,
        "{local} and {remote}"
    );
    let beat = PeerHeartbeat {
        peer_statuses: peers.recent_statuses("one", Moment(0)),
        ..heartbeat(&host("h-000", "one", 200), WatchState::Idle)
    };
    let bytes = |beat: PeerHeartbeat| {
        let written = peer_message::to_bytes(&PeerMessage::Heartbeat(Box::new(beat)));
        written.expect("the message is encoded").len()
    };
    let short = PeerHeartbeat {
        record: None,
        ..beat.clone()
    };
    let remote_short = short.for_other_regions();
    // Two heartbeats per second, one in four with the record.
    let per_round = local * bytes(short) + remote * bytes(remote_short);
    let with_record = (local + remote) * bytes(beat);
    let per_second = 2 * (3 * per_round + with_record) / 4;
    assert!(per_second < 10_000, "{per_second} bytes a second");
}

/// Hosts of one region that exchange heartbeats in simulated time.
struct GossipRegion {
    records: Vec<HostRecord>,
    tables: Vec<PeerTable>,
    random: SmallRng,
}

impl GossipRegion {
    const HEARTBEAT_INTERVAL_MS: u64 = 500;
    /// Maximum network latency between two halls.
    const MAX_LATENCY_MS: u64 = 20;

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

    /// Lets each host send heartbeats at its own phase until `until_ms`; the first host stops at
    /// `crash_ms`.
    fn run(&mut self, from_ms: u64, until_ms: u64, crash_ms: u64) {
        for millis in from_ms..until_ms {
            for number in 0..self.records.len() {
                let phase = number as u64 * 37 % Self::HEARTBEAT_INTERVAL_MS;
                let dead = number == 0 && millis > crash_ms;
                if millis % Self::HEARTBEAT_INTERVAL_MS == phase && !dead {
                    self.send_heartbeat(number, millis, crash_ms);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, number: usize, millis: u64, crash_ms: u64) {
        let table = &self.tables[number];
        let beat = PeerHeartbeat {
            record: None,
            peer_statuses: table.recent_statuses("one", Moment(millis)),
            ..heartbeat(&self.records[number], WatchState::Idle)
        };
        for target in table.local_targets("one", &mut self.random) {
            let target = usize::from(target.port() - 1_000);
            if target != 0 || millis <= crash_ms {
                let arrives = Moment(millis + self.random.random_range(1..=Self::MAX_LATENCY_MS));
                self.tables[target].on_heartbeat(&beat, arrives);
            }
        }
    }

    /// Number of hosts, without the first, that advertise host `number` to callers.
    fn advertising(&self, number: usize, millis: u64) -> usize {
        let address = self.records[number].caller_address;
        let others = (1..self.tables.len()).filter(|other| *other != number);
        others
            .filter(|other| {
                let named = self.tables[*other].advertised_for("one", None, Moment(millis));
                let named = named.addresses;
                named.contains(&address)
            })
            .count()
    }
}

#[test]
fn gossip_drops_a_dead_host_and_keeps_live_ones_at_any_region_size() {
    const CRASH_MS: u64 = 8_000;
    for count in [12, 27, 80, 157] {
        let mut region = GossipRegion::with_hosts(count);
        region.run(0, CRASH_MS, CRASH_MS);
        let others = usize::from(count) - 2;
        for number in 1..usize::from(count) {
            let advertising = region.advertising(number, CRASH_MS);
            assert!(
                advertising * 100 >= others * 98,
                "{count} hosts: {advertising} of {others} advertise live host {number}"
            );
        }
        let later = CRASH_MS + INDIRECT_PEER_TIMEOUT_MS + 1_000;
        region.run(CRASH_MS, later, CRASH_MS);
        assert_eq!(region.advertising(0, later), 0, "{count} hosts");
    }
}

#[test]
fn watchers_divide_the_hosts_of_a_region_among_themselves() {
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
    let mut recipients: Vec<SocketAddr> = Vec::new();
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
        recipients.extend(peers.host_update_targets(own, Moment(0)));
        let silent = Moment(INDIRECT_PEER_TIMEOUT_MS + 1);
        assert_eq!(
            peers.host_update_targets(own, silent).len(),
            29,
            "a watcher whose counterpart is silent sends to all hosts"
        );
    }
    for other in others {
        let times = recipients
            .iter()
            .filter(|target| **target == other.heartbeat_address)
            .count();
        assert_eq!(times, 1, "{}", other.name);
    }
}

#[test]
fn the_next_host_by_rank_watches_when_a_watcher_is_silent_or_cannot_reach_the_store() {
    let own = host("z", "one", 100);
    let larger: Vec<HostRecord> = ["a", "b", "c"].map(|name| host(name, "one", 500)).to_vec();
    let mut peers = PeerTable::default();
    for other in &larger {
        peers.on_heartbeat(&heartbeat(other, WatchState::Watching), Moment(0));
    }
    assert!(!peers.is_watcher(&own, Moment(0)));
    for unable in &larger[..2] {
        peers.on_heartbeat(&heartbeat(unable, WatchState::Blind), Moment(1));
    }
    assert!(
        peers.is_watcher(&own, Moment(1)),
        "one of three reaches the store, {WATCHERS_PER_REGION} must"
    );
    assert!(
        peers.is_watcher(&own, Moment(PEER_TIMEOUT_MS + 2)),
        "all larger hosts are silent"
    );
    let far = host("f", "two", 100);
    assert!(
        peers.is_watcher(&far, Moment(1)),
        "each region has its own watchers"
    );
}

/// Guards against a gap without watchers: hosts that start again rank before the others, but do not
/// watch at once.
#[test]
fn the_next_host_by_rank_watches_while_a_watcher_starts_again() {
    let own = host("z", "one", 100);
    let larger: Vec<HostRecord> = ["a", "b"].map(|name| host(name, "one", 500)).to_vec();
    let mut peers = PeerTable::default();
    let killed = Moment(60_000);
    for other in &larger {
        peers.on_heartbeat(&heartbeat(other, WatchState::Watching), Moment(0));
        peers.on_heartbeat(&heartbeat(other, WatchState::Watching), killed);
    }
    assert!(!peers.is_watcher(&own, killed));
    let restarted: Vec<HostRecord> = larger
        .iter()
        .map(|other| HostRecord {
            run: other.run + 1,
            ..other.clone()
        })
        .collect();
    let started = killed.plus(500);
    for other in &restarted {
        peers.on_heartbeat(&heartbeat(other, WatchState::Idle), started);
    }
    assert!(
        peers.is_watcher(&own, started),
        "nobody else watches: {:?}",
        peers.watch_candidates(&own, started)
    );
    for other in &restarted {
        peers.on_heartbeat(&heartbeat(other, WatchState::Watching), started);
    }
    assert!(!peers.is_watcher(&own, started));
}

/// Guards against hosts that all list the store when they start together: none has watched before.
#[test]
fn hosts_that_start_together_leave_the_store_to_the_first_by_rank() {
    let all: Vec<HostRecord> = (0..30)
        .map(|number| host(&format!("h-{number:02}"), "one", 200))
        .collect();
    let now = Moment(1_500);
    let watching = all.iter().filter(|own| {
        let mut peers = PeerTable::default();
        peers.set_shortest_bound(2_000);
        for peer in all.iter().filter(|peer| peer.name != own.name) {
            peers.on_heartbeat(&heartbeat(peer, WatchState::Idle), Moment(1_000));
        }
        peers.is_watcher(own, now)
    });
    assert_eq!(watching.count(), WATCHERS_PER_REGION);
}

/// Guards against a successor that waits for silent watchers until the bound is over.
#[test]
fn the_next_host_by_rank_watches_before_the_shortest_bound_is_over() {
    const BOUND_MS: u64 = 2_000;
    /// A tick, a call, a repeated announcement and a fetch.
    const NEWS_MS: u64 = 600;
    let own = host("z", "one", 100);
    let mut peers = PeerTable::default();
    peers.set_shortest_bound(BOUND_MS);
    for name in ["a", "b"] {
        let larger = host(name, "one", 500);
        peers.on_heartbeat(&heartbeat(&larger, WatchState::Watching), Moment(0));
    }
    // Two heartbeats may be lost.
    assert!(!peers.is_watcher(&own, Moment(1_100)));
    assert!(peers.is_watcher(&own, Moment(BOUND_MS - NEWS_MS)));
}

#[test]
fn during_a_store_outage_only_a_few_hosts_of_a_region_call_the_store() {
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
fn a_host_without_complete_membership_assumes_many_hosts() {
    let mut peers = PeerTable::default();
    assert!(
        peers.host_count() >= 100,
        "the host may have just started among many"
    );
    peers.on_membership_complete();
    assert_eq!(peers.host_count(), 1);
}

/// Any number of hosts may have just started. If each took a fixed share of a limit, they would
/// exceed it together.
#[test]
fn hosts_that_do_not_know_their_number_take_no_fixed_share_of_a_limit() {
    const SLACK: f64 = 100_000.0;
    let peers = PeerTable::default();
    let share = RetryShare {
        ratio: 0.2,
        slack: SLACK,
        hosts: peers.host_count(),
    };
    assert!(!RetryWindow::with_length(10_000).try_retry(&share, Moment(0)));
}

/// Membership counts as complete after a timeout, which may be too early in a large deployment.
#[test]
fn limits_are_divided_by_the_reported_number_of_hosts_if_larger() {
    let mut peers = PeerTable::default();
    peers.on_membership_complete();
    for region in ["one", "two", "three"] {
        let record = HostRecord {
            region_hosts: 300,
            ..host(&format!("h-{region}"), region, 200)
        };
        peers.on_record(&record, Moment(0));
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

    /// Arbitrary bytes from another host are decoded or rejected.
    #[test]
    fn arbitrary_bytes_of_other_hosts_never_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _read = peer_message::from_bytes::<PeerMessage>(&bytes);
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        let _read = peer_message::from_bytes::<PeerMessage>(&bytes);
        let _read = HandoffRequest::from_message(&bytes::Bytes::from(bytes).into());
    }
}

#[test]
fn a_late_removal_of_an_earlier_run_does_not_remove_the_later_run() {
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

/// A host that starts while it is cut off from all others takes the whole slack of the retry budget,
/// beside the others' shares, once its search for hosts has timed out.
#[test]
fn a_host_that_finds_none_of_its_seeds_takes_no_fixed_share_of_the_retry_budget() {
    let mut peers = PeerTable::default();
    peers.on_other_seeds();
    peers.on_membership_complete();
    let share = RetryShare {
        ratio: 0.2,
        slack: 174.0,
        hosts: peers.retry_host_count(),
    };
    let mut window = RetryWindow::with_length(10_000);
    assert!(!window.try_retry(&share, Moment(20_000)));
    peers.on_record(&host("b", "one", 200), Moment(20_000));
    assert_eq!(peers.retry_host_count(), 2);
}
