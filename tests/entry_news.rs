//! Tests which hosts a fleet update reaches, and how many of its datagrams cross between halls.

#[path = "common/peer_records.rs"]
mod peer_records;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ledgespool::entry::peer_message::WatchState;
use ledgespool::entry::peers::{HostRecord, PeerTable, RELAYS_PER_HALL};
use ledgespool::timer::Moment;

const HALLS: [&str; 3] = ["east", "north", "west"];

/// A region whose halls have `per_hall` hosts each. The first host of each of the first two halls
/// watches the store.
struct SimulatedRegion {
    hosts: Vec<HostRecord>,
    tables: BTreeMap<SocketAddr, PeerTable>,
}

/// The hosts that got the update, and the number of datagrams that crossed between halls.
struct UpdateSpread {
    reached: BTreeSet<SocketAddr>,
    hall_crossings: usize,
}

impl SimulatedRegion {
    fn with_hosts(per_hall: usize) -> Self {
        let hosts: Vec<HostRecord> = (0..per_hall * HALLS.len())
            .map(|number| {
                let hall = HALLS[number % HALLS.len()];
                // The first two hosts of each hall are the largest.
                let processor_milli = if number < 2 * HALLS.len() { 500 } else { 100 };
                let mut record =
                    peer_records::record(&format!("h-{number}"), hall, "one", processor_milli);
                let port = u16::try_from(1_000 + number).expect("a port");
                record.heartbeat_address.set_port(port);
                record
            })
            .collect();
        let mut tables = BTreeMap::new();
        for own in &hosts {
            let mut table = PeerTable::default();
            for peer in hosts.iter().filter(|peer| peer.name != own.name) {
                let watch = if Self::is_watcher(peer) {
                    WatchState::Watching
                } else {
                    WatchState::Idle
                };
                table.on_heartbeat(&peer_records::heartbeat(peer, watch), Moment(0));
            }
            tables.insert(own.heartbeat_address, table);
        }
        Self { hosts, tables }
    }

    fn is_watcher(host: &HostRecord) -> bool {
        ["h-0", "h-1"].contains(&host.name.as_str())
    }

    fn hall_of(&self, address: SocketAddr) -> &str {
        let mut hosts = self.hosts.iter();
        let host = hosts.find(|host| host.heartbeat_address == address);
        &host.expect("a host").hall
    }

    /// Each watcher sends to its share of the halls. Hosts in `dead` neither receive nor relay.
    fn spread_update(&self, dead: &BTreeSet<SocketAddr>) -> UpdateSpread {
        let mut spread = UpdateSpread {
            reached: BTreeSet::new(),
            hall_crossings: 0,
        };
        for own in self.hosts.iter().filter(|host| Self::is_watcher(host)) {
            spread.reached.insert(own.heartbeat_address);
            let table = &self.tables[&own.heartbeat_address];
            let targets = table.fleet_update_targets(own, Moment(0));
            for target in targets.direct.iter().chain(&targets.relays) {
                spread.hall_crossings += usize::from(self.hall_of(*target) != own.hall);
            }
            let live = |target: &&SocketAddr| !dead.contains(target);
            spread.reached.extend(targets.direct.iter().filter(live));
            for relay in targets.relays.iter().filter(live) {
                let mut hosts = self.hosts.iter();
                let record = hosts.find(|host| host.heartbeat_address == *relay);
                let relayed = self.tables[relay].hall_targets(record.expect("a host"));
                spread.reached.insert(*relay);
                spread.reached.extend(relayed.iter().filter(live));
            }
        }
        spread
    }
}

#[test]
fn an_update_reaches_every_host_with_a_bounded_number_of_hall_crossings() {
    for per_hall in [1, 2, 3, 14, 110, 291] {
        let region = SimulatedRegion::with_hosts(per_hall);
        let spread = region.spread_update(&BTreeSet::new());
        assert_eq!(
            spread.reached.len(),
            region.hosts.len(),
            "{per_hall} a hall"
        );
        assert!(
            spread.hall_crossings <= RELAYS_PER_HALL * HALLS.len(),
            "{per_hall} a hall"
        );
    }
}

/// A crashed host counts as alive for a few seconds, so it may still be chosen as a relay.
#[test]
fn an_update_reaches_every_live_host_although_one_relay_per_hall_has_crashed() {
    let region = SimulatedRegion::with_hosts(14);
    for own in region
        .hosts
        .iter()
        .filter(|host| SimulatedRegion::is_watcher(host))
    {
        let targets = region.tables[&own.heartbeat_address].fleet_update_targets(own, Moment(0));
        let mut crashed: BTreeMap<&str, SocketAddr> = BTreeMap::new();
        for relay in &targets.relays {
            crashed.insert(region.hall_of(*relay), *relay);
        }
        let crashed: BTreeSet<SocketAddr> = crashed.into_values().collect();
        let spread = region.spread_update(&crashed);
        let hosts = region.hosts.iter().map(|host| host.heartbeat_address);
        let missed = hosts.filter(|host| !crashed.contains(host) && !spread.reached.contains(host));
        assert_eq!(missed.count(), 0);
    }
}
