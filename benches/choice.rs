//! Measures the time to choose a backend server: `cargo bench --bench choice`.
//!
//! The targets are 2 microseconds with 36 servers and 5 microseconds with 450
//! (docs/MEASUREMENTS.md has the figures).

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Instant;

use ledgespool::entry::budget::ColdShare;
use ledgespool::entry::choice::{self, ChoiceQuery};
use ledgespool::entry::expiry_retention::MissingSource;
use ledgespool::entry::fleet::Fleet;
use ledgespool::entry::hash;
use ledgespool::entry::region_latency::RegionLatencies;
use ledgespool::entry::region_weights::{RegionCapacity, RegionWeights};
use ledgespool::entry::server::{ServerRecord, ServerState};
use ledgespool::entry::server_limit::table::ServerLimitTable;
use ledgespool::entry::settings::HallMap;
use ledgespool::entry::store::{ObjectContent, StoredObject};
use ledgespool::rollout::plan::VersionRule;
use ledgespool::rollout::spec::VersionTag;
use ledgespool::timer::Moment;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Number of choices per figure; they take some tenths of a second.
const CHOICES: u64 = 200_000;

fn main() {
    println!("| servers | objects | microseconds a choice |");
    println!("|---|---|---|");
    for servers in [36, 150, 400, 450, 1_000, 2_000] {
        for (label, objects) in [("100", Some(100)), ("none", None)] {
            let micros = measure(servers, objects);
            println!("| {servers} | {label} | {micros:.2} |");
        }
    }
}

/// Returns the time of one choice in microseconds; `objects` is the number of distinct objects.
fn measure(servers: usize, objects: Option<u64>) -> f64 {
    let fleet = fleet(servers);
    let evacuated = BTreeSet::new();
    let latencies = RegionLatencies::default();
    let capacities = [10, 40, 50]
        .into_iter()
        .enumerate()
        .map(|(number, slots)| RegionCapacity {
            region: format!("region-{number}"),
            hosts: 4,
            slots,
        });
    let capacities: Vec<RegionCapacity> = capacities.collect();
    let weights = RegionWeights::for_region("region-0", &capacities);
    let limits = ServerLimitTable::default();
    let mut random = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    for number in 0..CHOICES {
        let query = ChoiceQuery {
            servers: fleet.of_service("desk"),
            object: objects.map(|objects| hash::mix(number % objects)),
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
            typical_ms: 150.0,
            cache_miss_ms: 450.0,
            service_time_ms: 150.0,
            reserved_share: 0.0,
            goal_left_ms: 400.0,
            deadline_left_ms: 800.0,
            cold_share: ColdShare {
                total_per_s: 20.0,
                hosts: 80,
                own_hash: 1,
                other_hashes: None,
            },
            leave_ms: 2_000,
            limits: &limits,
            now: Moment(number),
        };
        black_box(choice::choose(&query, &mut random));
    }
    start.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}

fn fleet(count: usize) -> Fleet {
    let hall = |number: usize| format!("hall-{}", number % 6);
    let halls: HallMap = (0..6)
        .map(|number| (hall(number), format!("region-{}", number % 3)))
        .collect();
    let objects: Vec<StoredObject> = (0..count)
        .map(|number| {
            let id = format!("i-{number:08x}");
            StoredObject {
                name: id.clone(),
                revision: 1,
                content: ObjectContent::Server(ServerRecord {
                    born: None,
                    id,
                    service: "desk".to_owned(),
                    address: "127.0.0.1:9".parse().expect("an address"),
                    hall: hall(number),
                    version: VersionTag::of_name("v1"),
                    slots: 9,
                    state: ServerState::Ready,
                    cold_ms: 0,
                    sequence: None,
                }),
            }
        })
        .collect();
    let mut fleet = Fleet::default();
    fleet.on_list(&objects, 1, MissingSource::Store, &halls, Moment(0));
    fleet
}
