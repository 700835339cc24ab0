//! Tests which hosts a lookup response contains.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ledgespool::entry::listen;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

#[test]
fn every_host_of_a_region_too_large_for_one_response_is_returned_to_some_callers() {
    let live: Vec<SocketAddr> = (0..157)
        .map(|number| SocketAddr::from(([10, 1, 0, 1], 1_000 + number)))
        .collect();
    let mut random = SmallRng::seed_from_u64(3);
    let mut sampled = BTreeSet::new();
    for _ in 0..50 {
        let sample = listen::sample_hosts(live.clone(), &mut random);
        assert_eq!(sample.len(), 64, "the maximum of one response");
        sampled.extend(sample);
    }
    assert_eq!(sampled.len(), live.len());
}
