//! Selection of the coordinators that pool customer limits, and the number of hosts that limits are
//! divided by.

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

fn coordinators(peers: &PeerTable, own: Option<&HostRecord>, now: Moment) -> Vec<Option<String>> {
    let coordinator = |group| peers.coordinator_of("one", group, own, |_| false, now);
    let found = (0..GROUPS as u64).map(coordinator);
    found.map(|place| place.map(|place| place.name)).collect()
}

#[test]
fn all_hosts_select_the_same_coordinator_and_prefer_large_ones() {
    let mut all = hosts("one", 20, 100);
    all.extend(hosts("one", 4, 500));
    all.extend(hosts("two", 4, 500));
    let selected: BTreeSet<Vec<Option<String>>> = all[..24]
        .iter()
        .map(|own| {
            let others: Vec<HostRecord> =
                all.iter().filter(|other| *other != own).cloned().collect();
            coordinators(&table(&others), Some(own), Moment(0))
        })
        .collect();
    assert_eq!(selected.len(), 1, "{selected:?}");
    for name in selected.into_iter().flatten() {
        assert!(name.is_some_and(|name| name.starts_with("one-500-")));
    }
}

#[test]
fn silent_and_skipped_hosts_are_not_coordinators() {
    let all = hosts("one", 4, 500);
    let peers = table(&all);
    let silent_ms = PEER_TIMEOUT_MS.max(INDIRECT_PEER_TIMEOUT_MS);
    assert!(coordinators(&peers, None, Moment(silent_ms + 1))[0].is_none());
    let first = coordinators(&peers, None, Moment(0))[0].clone();
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
fn leaving_host_is_not_a_coordinator() {
    let all = hosts("one", 1, 500);
    let mut peers = table(&all);
    assert!(coordinators(&peers, None, Moment(0))[0].is_some());
    let leaving = PeerHeartbeat {
        leaving: true,
        ..peer_records::heartbeat(&all[0], WatchState::Idle)
    };
    peers.on_heartbeat(&leaving, Moment(0));
    assert!(coordinators(&peers, None, Moment(0))[0].is_none());
}

#[test]
fn starting_host_assumes_many_hosts_until_all_region_sizes_are_reported() {
    let mut peers = table(&hosts("one", 3, 100));
    let regions = || ["one", "two"].into_iter();
    let assumed = peers.limit_host_count("one", regions());
    assert!(assumed >= 470, "{assumed}");
    let reported = |region: &str, count: u32| HostRecord {
        region_hosts: count,
        ..peer_records::record(&format!("{region}-told"), "east", region, 100)
    };
    peers.on_record(&reported("one", 22), Moment(0));
    assert!(
        peers.limit_host_count("one", regions()) >= 470,
        "one is missing"
    );
    peers.on_record(&reported("two", 21), Moment(0));
    assert_eq!(peers.limit_host_count("one", regions()), 43);
}

#[test]
fn reported_size_is_forwarded_only_while_starting() {
    let mut peers = table(&hosts("one", 3, 100));
    assert_eq!(
        peers.reported_region_size("one"),
        0,
        "few are known, and none reported"
    );
    let reported = HostRecord {
        region_hosts: 22,
        ..peer_records::record("one-told", "east", "one", 100)
    };
    peers.on_record(&reported, Moment(0));
    assert_eq!(peers.reported_region_size("one"), 22);
    peers.on_membership_complete();
    assert_eq!(
        peers.reported_region_size("one"),
        5,
        "four that are known, and itself"
    );
}
