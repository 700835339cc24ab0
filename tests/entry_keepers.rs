//! Tests which hosts register in the store, how many hosts a starting host assumes, and how hosts
//! are forgotten. Load pattern: hundreds of hosts return at once and each call of the store is paid
//! for.

#[path = "common/peer_records.rs"]
mod peer_records;

use ledgespool::entry::peer_message::{PeerHeartbeat, RegionSize, WatchState};
use ledgespool::entry::peers::{HostRecord, PeerTable, REGISTERED_HOSTS_PER_HALL};
use ledgespool::timer::Moment;

use self::peer_records::record;

fn heartbeat(record: &HostRecord) -> PeerHeartbeat {
    peer_records::heartbeat(record, WatchState::Idle)
}

/// Three halls of `per_hall` hosts; the first two of each have a larger share of a core.
fn fleet(per_hall: usize) -> Vec<HostRecord> {
    let halls = ["east", "west", "north"];
    let hosts = halls.iter().flat_map(|hall| {
        (0..per_hall).map(move |number| {
            let processor_milli = if number < 2 { 500 } else { 100 };
            record(&format!("{hall}-{number}"), hall, "one", processor_milli)
        })
    });
    hosts.collect()
}

/// Names of the live hosts that register when each knows all others and has seen all but `silent`.
fn registered_hosts(hosts: &[HostRecord], silent: &[&str], now: Moment) -> Vec<String> {
    let is_alive = |host: &&HostRecord| !silent.contains(&host.name.as_str());
    let registers = |own: &&HostRecord| {
        let mut peers = PeerTable::default();
        for other in hosts.iter().filter(|other| other.name != own.name) {
            peers.on_record(other, Moment(0));
            if is_alive(&other) {
                peers.on_heartbeat(&heartbeat(other), now);
            }
        }
        peers.should_register(own, now)
    };
    let registered = hosts.iter().filter(is_alive).filter(registers);
    registered.map(|host| host.name.clone()).collect()
}

/// Without this, each of several hosts that start together would take the whole of every shared
/// limit.
#[test]
fn a_host_that_knows_no_peer_assumes_many_hosts_although_the_store_has_no_entries() {
    let mut peers = PeerTable::default();
    peers.on_other_seeds();
    peers.on_entries(&[]);
    assert!(!peers.is_membership_complete() && peers.host_count() > 100);
    peers.on_record(&fleet(2)[0], Moment(0));
    assert!(peers.is_membership_complete());
    assert_eq!(peers.host_count(), 2);
    let mut alone = PeerTable::default();
    alone.on_entries(&[]);
    assert_eq!(alone.host_count(), 1);
}

#[test]
fn the_number_of_entries_does_not_grow_with_the_number_of_hosts() {
    for per_hall in [4, 33, 160] {
        let registered = registered_hosts(&fleet(per_hall), &[], Moment(5_000));
        assert_eq!(
            registered.len(),
            3 * REGISTERED_HOSTS_PER_HALL,
            "{per_hall} hosts a hall: {registered:?}"
        );
        assert!(
            registered.iter().any(|name| name == "west-0"),
            "larger hosts register first"
        );
    }
    assert_eq!(
        registered_hosts(&fleet(2), &[], Moment(5_000)).len(),
        6,
        "with few hosts, each one registers"
    );
}

#[test]
fn other_hosts_of_a_hall_register_when_the_registered_ones_are_lost() {
    let hosts = fleet(33);
    let before = registered_hosts(&hosts, &[], Moment(5_000));
    let lost: Vec<&str> = before
        .iter()
        .filter(|name| name.starts_with("east"))
        .map(String::as_str)
        .collect();
    let after = registered_hosts(&hosts, &lost, Moment(9_000));
    let east = after.iter().filter(|name| name.starts_with("east")).count();
    assert_eq!(east, REGISTERED_HOSTS_PER_HALL);
    assert!(
        lost.iter()
            .all(|name| !after.iter().any(|other| other == name))
    );
}

#[test]
fn a_leaving_host_does_not_count_as_registered() {
    let hosts = fleet(4);
    let mut peers = PeerTable::default();
    for other in &hosts[..3] {
        let leaving = PeerHeartbeat {
            leaving: true,
            ..heartbeat(other)
        };
        peers.on_heartbeat(&leaving, Moment(0));
    }
    assert!(peers.should_register(&hosts[3], Moment(1)));
}

#[test]
fn a_list_of_entries_is_complete_only_if_halls_are_small() {
    let mut peers = PeerTable::default();
    peers.on_entries(&fleet(2));
    assert!(peers.is_membership_complete());
    let mut peers = PeerTable::default();
    peers.on_entries(&fleet(REGISTERED_HOSTS_PER_HALL));
    assert!(
        !peers.is_membership_complete(),
        "there may be any number of other hosts"
    );
    assert!(
        peers.host_count() > 400,
        "a large count keeps shares of limits small"
    );
    assert!(peers.other_hashes().is_none());
}

/// Objects are assigned to regions by region size, so all hosts must use the same sizes.
#[test]
fn a_host_uses_the_larger_region_size_that_others_report() {
    let mut peers = PeerTable::default();
    let size = |region: &str| RegionSize {
        region: region.to_owned(),
        hosts: 98,
    };
    peers.on_reported_sizes(&[size("one"), size("two")], Moment(0));
    for host in fleet(20) {
        peers.on_record(&host, Moment(0));
    }
    peers.on_membership_complete();
    let sizes = peers.hosts_by_region("one");
    assert_eq!((sizes["one"], sizes["two"]), (98, 98));
    let mut knows_more = record("more", "east", "one", 100);
    knows_more.region_hosts = 99;
    peers.on_heartbeat(&heartbeat(&knows_more), Moment(1_000));
    assert_eq!(
        peers.hosts_by_region("one")["one"],
        99,
        "records report the size too"
    );
}

#[test]
fn a_reported_region_size_shrinks_after_its_ttl() {
    let mut peers = PeerTable::default();
    let mut other = record("other", "east", "one", 100);
    other.region_hosts = 98;
    peers.on_heartbeat(&heartbeat(&other), Moment(0));
    other.region_hosts = 60;
    peers.on_heartbeat(&heartbeat(&other), Moment(30_000));
    assert_eq!(
        peers.hosts_by_region("one")["one"],
        98,
        "other hosts may know more"
    );
    peers.on_heartbeat(&heartbeat(&other), Moment(61_000));
    assert_eq!(peers.hosts_by_region("one")["one"], 60);
}

#[test]
fn silent_hosts_are_forgotten_and_their_entries_are_abandoned() {
    let hosts = fleet(4);
    let own = &hosts[0];
    let mut peers = PeerTable::default();
    peers.on_entries(&hosts[..2]);
    for other in &hosts[1..] {
        peers.on_record(other, Moment(0));
    }
    let far = record("far", "south", "two", 100);
    peers.on_record(&far, Moment(0));
    peers.on_heartbeat(&heartbeat(&hosts[2]), Moment(20_000));
    assert!(peers.abandoned_entries(own).is_empty());
    let forgotten = peers.forget_silent("one", Moment(20_001));
    assert_eq!(
        forgotten.len(),
        10,
        "all hosts of the region except the one that was seen"
    );
    assert_eq!(
        peers.run_of("far"),
        1,
        "hosts of other regions are seen rarely"
    );
    let abandoned = peers.abandoned_entries(own);
    assert_eq!(abandoned.len(), 1, "{abandoned:?}");
    assert_eq!(abandoned[0].name, hosts[1].name);
    peers.on_entry_gone(&hosts[1].name, 1);
    assert!(peers.abandoned_entries(own).is_empty());
    assert!(peers.forget_silent("one", Moment(700_000)).len() == 1);
    assert_eq!(peers.run_of("far"), 0);
}
