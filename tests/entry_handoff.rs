//! Tests which hosts may take requests over from a host that reaches no server.

#[path = "common/peer_records.rs"]
mod peer_records;

use ledgespool::entry::peer_message::{PeerHeartbeat, WatchState};
use ledgespool::entry::peers::{HandoffQuery, HostRecord, PeerTable};
use ledgespool::timer::Moment;

use self::peer_records::heartbeat;

fn host(name: &str, region: &str) -> HostRecord {
    peer_records::record(name, "east", region, 200)
}

fn target_names(peers: &PeerTable, own: &HostRecord, homes: &[&str]) -> Vec<String> {
    let homes: Vec<String> = homes.iter().map(ToString::to_string).collect();
    let query = HandoffQuery { own, homes: &homes };
    let targets = peers.handoff_targets(&query, Moment(0)).into_iter();
    targets.map(|target| target.name).collect()
}

/// Hosts that could not serve either were asked, and requests went in circles.
#[test]
fn only_hosts_that_serve_and_reach_servers_take_requests_over() {
    let mut peers = PeerTable::default();
    let own = host("own", "one");
    let mut report = |name: &str, change: &dyn Fn(&mut PeerHeartbeat)| {
        let mut beat = heartbeat(&host(name, "one"), WatchState::Idle);
        change(&mut beat);
        peers.on_heartbeat(&beat, Moment(0));
    };
    report("leaving", &|beat| beat.leaving = true);
    report("starting", &|beat| beat.ready = false);
    report("partitioned", &|beat| beat.reaches_servers = false);
    assert!(target_names(&peers, &own, &[]).is_empty());
    let good = heartbeat(&host("good", "one"), WatchState::Idle);
    peers.on_heartbeat(&good, Moment(0));
    assert_eq!(target_names(&peers, &own, &[]), ["good"]);
}

#[test]
fn hosts_of_the_own_region_come_first_and_homes_bind() {
    let mut peers = PeerTable::default();
    let own = host("own", "one");
    for (name, region) in [("near", "one"), ("far", "two"), ("farther", "three")] {
        let beat = heartbeat(&host(name, region), WatchState::Idle);
        peers.on_heartbeat(&beat, Moment(0));
    }
    let all = target_names(&peers, &own, &[]);
    assert_eq!(all.len(), 3);
    assert_eq!(all[0], "near");
    assert_eq!(target_names(&peers, &own, &["two"]), ["far"]);
    assert!(target_names(&peers, &own, &["four"]).is_empty());
}

/// Without a bound each host would connect to each other one; with the same choice everywhere, a
/// partitioned hall would load a few hosts.
#[test]
fn the_hosts_of_a_large_region_select_few_and_different_ones() {
    let mut peers = PeerTable::default();
    for number in 0..100 {
        let record = host(&format!("h-{number}"), "one");
        peers.on_heartbeat(&heartbeat(&record, WatchState::Idle), Moment(0));
    }
    let mut selected = std::collections::BTreeSet::new();
    for number in 0..20 {
        let targets = target_names(&peers, &host(&format!("own-{number}"), "one"), &[]);
        assert_eq!(targets.len(), 3);
        selected.extend(targets);
    }
    assert!(selected.len() >= 30, "{} of 60", selected.len());
}
