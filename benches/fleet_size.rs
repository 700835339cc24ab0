//! Measures the cost for one host by the number of servers and hosts: `cargo bench --bench
//! fleet_size`.
//!
//! Times are for one whole core; most hosts of a large fleet have a tenth of one. docs/CAPACITY.md
//! has the figures.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Instant;

use ledgespool::entry::budget::ColdShare;
use ledgespool::entry::choice::{self, ChoiceQuery};
use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::fleet_change::ChangeSpan;
use ledgespool::entry::packed_servers::PackedServers;
use ledgespool::entry::peer_message::{PackedSnapshot, PeerSnapshot, WatchState};
use ledgespool::entry::peers::PeerTable;
use ledgespool::entry::region_latency::RegionLatencies;
use ledgespool::entry::region_weights::RegionWeights;
use ledgespool::entry::server::{ServerRecord, ServerState};
use ledgespool::entry::server_limit::table::ServerLimitTable;
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectChange, ObjectContent, StoredObject};
use ledgespool::rollout::plan::VersionRule;
use ledgespool::rollout::spec::VersionTag;
use ledgespool::timer::Moment;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

#[path = "../tests/common/peer_records.rs"]
mod peer_records;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").expect("the kernel's figures");
    let pages = text.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

fn main() {
    println!(
        "| servers | bytes each | one change, us | a tick, us | a choice, us | a list, ms | snapshot, KB | packed, ms | unpacked, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for servers in [20_000, 10_000, 3_000, 1_000, 100] {
        measure_servers(servers);
    }
    println!();
    println!("| hosts | bytes each | heartbeat sent, us | heartbeat received, us |");
    println!("|---|---|---|---|");
    for hosts in [2_619, 986, 300, 100, 9] {
        measure_hosts(hosts);
    }
}

/// Returns the mean time of one call, in microseconds.
fn micros(count: u64, mut work: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for number in 0..count {
        work(number);
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn halls() -> HallMap {
    let halls = (0..9).map(|number| (hall(number), format!("region-{}", number % 3)));
    halls.collect()
}

fn hall(number: usize) -> String {
    format!("hall-{}", number % 9)
}

fn server(number: usize, revision: u64) -> StoredObject {
    let id = format!("i-{number:08x}");
    StoredObject {
        name: id.clone(),
        revision,
        content: ObjectContent::Server(ServerRecord {
            born: Some(1),
            id,
            service: format!("service-{}", number % 8 / 7),
            address: "127.0.0.1:9".parse().expect("an address"),
            hall: hall(number),
            version: VersionTag::of_name("v1"),
            slots: 8,
            state: ServerState::Ready,
            cold_ms: 0,
            sequence: None,
        }),
    }
}

fn measure_servers(count: usize) {
    let halls = halls();
    let objects: Vec<StoredObject> = (0..count).map(|number| server(number, 1)).collect();
    let before = resident_bytes();
    let mut fleet = Fleet::default();
    let list_us = micros(1, |_| {
        fleet.on_list(&objects, 1, MissingSource::Store, &halls, Moment(0));
    });
    let bytes = resident_bytes().saturating_sub(before) / count;
    let change_us = micros(20, |number| {
        let revision = number + 2;
        let change = ObjectChange {
            object: server(count + number as usize, revision),
            deleted: false,
        };
        let span = ChangeSpan {
            until: revision,
            contiguous: true,
        };
        fleet.on_changes(&[change], span, MissingSource::Store, &halls, Moment(1));
    });
    let tick_us = micros(50, |number| {
        black_box(fleet.on_tick(Moment(number)));
    });
    let choice_us = measure_choice(&fleet);
    let snapshot = PeerSnapshot {
        servers: PackedServers::from_objects(fleet.objects()),
        ..PeerSnapshot::default()
    };
    let mut packed = None;
    let pack_us = micros(5, |_| {
        packed = Some(PackedSnapshot::from_snapshot(&snapshot).expect("a snapshot"));
    });
    let packed = packed.expect("it was packed");
    let unpack_us = micros(5, |_| {
        black_box(packed.snapshot());
    });
    let packed = postcard::to_stdvec(&packed).expect("bytes").len();
    println!(
        "| {count} | {bytes} | {change_us:.0} | {tick_us:.0} | {choice_us:.1} | {:.1} | {:.0} | {:.1} | {:.1} |",
        list_us / 1e3,
        packed as f64 / 1e3,
        pack_us / 1e3,
        unpack_us / 1e3,
    );
}

fn measure_choice(fleet: &Fleet) -> f64 {
    let evacuated = BTreeSet::new();
    let latencies = RegionLatencies::default();
    let weights = RegionWeights::default();
    let limits = ServerLimitTable::default();
    let mut random = SmallRng::seed_from_u64(7);
    micros(500, |number| {
        let query = ChoiceQuery {
            servers: fleet.of_service("service-0"),
            object: Some(number),
            hall: "hall-0",
            region: "region-0",
            latencies: &latencies,
            weights: &weights,
            halls: None,
            homes: &[],
            evacuated: &evacuated,
            versions: VersionRule::Any,
            tried: &[],
            prefer_local: false,
            typical_ms: 600.0,
            cache_miss_ms: 1_900.0,
            service_time_ms: 600.0,
            reserved_share: 0.0,
            goal_left_ms: 1_200.0,
            deadline_left_ms: 2_400.0,
            cold_share: ColdShare {
                total_per_s: 20.0,
                hosts: 986,
                own_hash: 1,
                other_hashes: None,
            },
            leave_ms: 5_000,
            limits: &limits,
            now: Moment(number),
        };
        black_box(choice::choose(&query, &mut random));
    })
}

fn measure_hosts(count: usize) {
    let record = |number: usize| {
        let region = format!("region-{}", number % 3);
        peer_records::record(&format!("edge-{number}"), &hall(number), &region, 100)
    };
    let before = resident_bytes();
    let mut peers = PeerTable::default();
    for number in 1..count {
        peers.on_record(&record(number), Moment(0));
    }
    let bytes = resident_bytes().saturating_sub(before) / count;
    let mut heartbeats: Vec<_> = (1..count.min(40))
        .map(|number| peer_records::heartbeat(&record(number), WatchState::Idle))
        .collect();
    for heartbeat in &heartbeats {
        peers.on_heartbeat(heartbeat, Moment(1));
    }
    let send_us = micros(200, |_| {
        black_box(peers.recent_statuses_all_regions("region-0", Moment(100)));
    });
    let statuses = peers.recent_statuses_all_regions("region-0", Moment(100));
    for heartbeat in &mut heartbeats {
        heartbeat.peer_statuses.clone_from(&statuses);
    }
    let own = record(0);
    let receive_us = micros(200, |number| {
        let heartbeat = &heartbeats[number as usize % heartbeats.len()];
        peers.on_heartbeat(heartbeat, Moment(200 + number));
        black_box(peers.missing_hosts_request(heartbeat, &own, Moment(200 + number)));
    });
    println!("| {count} | {bytes} | {send_us:.1} | {receive_us:.1} |");
}
