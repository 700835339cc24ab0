//! Which hosts pool the limits of customers, and by how many hosts limits are divided.

#[path = "common/peer_records.rs"]
mod peer_records;

use std::collections::BTreeSet;

use ledgespool::entry::limits::GROUPS;
use ledgespool::entry::peer_message::{PeerHeartbeat, WatchState};
use ledgespool::entry::peers::{HostRecord, INDIRECT_PEER_TIMEOUT_MS, PEER_TIMEOUT_MS, PeerTable};
use ledgespool::timer::Moment;

fn table(records: &[HostRecord]) -> PeerTable {
    let mut peers = PeerTable::default();
    for record in records {
        peers.on_record(record, Moment(0));
    }
    peers
}

fn hosts(region: &str, count: u32, processor_milli: u32) -> Vec<HostRecord> {
    let names = (0..count).map(|number| format!("{region}-{processor_milli}-{number}"));
    names
        .map(|name| peer_records::record(&name, "east", region, processor_milli))
        .collect()
}

fn grantors(peers: &PeerTable, own: Option<&HostRecord>, now: Moment) -> Vec<Option<String>> {
    let grantor = |group| peers.coordinator_of("one", group, own, |_| false, now);
    let found = (0..GROUPS as u64).map(grantor);
    found.map(|place| place.map(|place| place.name)).collect()
}

#[test]
fn all_hosts_name_the_same_grantor_and_large_ones_come_first() {
    let mut all = hosts("one", 20, 100);
    all.extend(hosts("one", 4, 500));
    all.extend(hosts("two", 4, 500));
    let named: BTreeSet<Vec<Option<String>>> = all[..24]
        .iter()
        .map(|own| {
            let others: Vec<HostRecord> =
                all.iter().filter(|other| *other != own).cloned().collect();
            grantors(&table(&others), Some(own), Moment(0))
        })
        .collect();
    assert_eq!(named.len(), 1, "{named:?}");
    for name in named.into_iter().flatten() {
        assert!(name.is_some_and(|name| name.starts_with("one-500-")));
    }
}

#[test]
fn a_host_that_is_silent_is_no_grantor_and_one_passed_over_neither() {
    let all = hosts("one", 4, 500);
    let peers = table(&all);
    let silent_ms = PEER_TIMEOUT_MS.max(INDIRECT_PEER_TIMEOUT_MS);
    assert!(grantors(&peers, None, Moment(silent_ms + 1))[0].is_none());
    let first = grantors(&peers, None, Moment(0))[0].clone();
    let next = peers.coordinator_of(
        "one",
        0,
        None,
        |name| Some(name) == first.as_deref(),
        Moment(0),
    );
    assert_ne!(next.map(|place| place.name), first);
}

#[test]
fn a_host_that_is_about_to_stop_is_no_grantor() {
    let all = hosts("one", 1, 500);
    let mut peers = table(&all);
    assert!(grantors(&peers, None, Moment(0))[0].is_some());
    let leaving = PeerHeartbeat {
        leaving: true,
        ..peer_records::heartbeat(&all[0], WatchState::Idle)
    };
    peers.on_heartbeat(&leaving, Moment(0));
    assert!(grantors(&peers, None, Moment(0))[0].is_none());
}

#[test]
fn a_starting_host_counts_many_until_all_regions_were_told() {
    let mut peers = table(&hosts("one", 3, 100));
    let regions = || ["one", "two"].into_iter();
    let many = peers.limit_host_count("one", regions());
    assert!(many >= 470, "{many}");
    let told = |region: &str, count: u32| HostRecord {
        region_hosts: count,
        ..peer_records::record(&format!("{region}-told"), "east", region, 100)
    };
    peers.on_record(&told("one", 22), Moment(0));
    assert!(
        peers.limit_host_count("one", regions()) >= 470,
        "one is missing"
    );
    peers.on_record(&told("two", 21), Moment(0));
    assert_eq!(peers.limit_host_count("one", regions()), 43);
}

#[test]
fn a_told_size_is_passed_on_while_starting_and_not_for_ever() {
    let mut peers = table(&hosts("one", 3, 100));
    assert_eq!(
        peers.reported_region_size("one"),
        0,
        "few were met, and none told"
    );
    let told = HostRecord {
        region_hosts: 22,
        ..peer_records::record("one-told", "east", "one", 100)
    };
    peers.on_record(&told, Moment(0));
    assert_eq!(peers.reported_region_size("one"), 22);
    peers.on_membership_complete();
    assert_eq!(
        peers.reported_region_size("one"),
        5,
        "four that are known, and itself"
    );
}
