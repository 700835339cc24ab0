//! Tests which hosts a fleet update reaches, and how many of its datagrams cross between halls.

#[path = "common/peer_records.rs"]
mod peer_records;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ledgespool::entry::peer_message::WatchState;
use ledgespool::entry::peers::{HostRecord, NEWS_RELAYS, PeerTable};
use ledgespool::timer::Moment;

const HALLS: [&str; 3] = ["east", "north", "west"];

/// A region whose halls have `per_hall` hosts each. The first host of each of the first two halls
/// watches the store.
struct NewsRegion {
    hosts: Vec<HostRecord>,
    tables: BTreeMap<SocketAddr, PeerTable>,
}

/// The hosts that got the update, and the number of datagrams that crossed between halls.
struct NewsPlay {
    reached: BTreeSet<SocketAddr>,
    crossed: usize,
}

impl NewsRegion {
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
                let watch = if Self::watches(peer) {
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

    fn watches(host: &HostRecord) -> bool {
        ["h-0", "h-1"].contains(&host.name.as_str())
    }

    fn hall_of(&self, address: SocketAddr) -> &str {
        let mut hosts = self.hosts.iter();
        let host = hosts.find(|host| host.heartbeat_address == address);
        &host.expect("a host").hall
    }

    /// Each watcher sends to its share of the halls. Hosts in `dead` neither receive nor relay.
    fn play(&self, dead: &BTreeSet<SocketAddr>) -> NewsPlay {
        let mut play = NewsPlay {
            reached: BTreeSet::new(),
            crossed: 0,
        };
        for own in self.hosts.iter().filter(|host| Self::watches(host)) {
            play.reached.insert(own.heartbeat_address);
            let table = &self.tables[&own.heartbeat_address];
            let targets = table.fleet_news_targets(own, Moment(0));
            for target in targets.direct.iter().chain(&targets.relays) {
                play.crossed += usize::from(self.hall_of(*target) != own.hall);
            }
            let live = |target: &&SocketAddr| !dead.contains(target);
            play.reached.extend(targets.direct.iter().filter(live));
            for relay in targets.relays.iter().filter(live) {
                let mut hosts = self.hosts.iter();
                let record = hosts.find(|host| host.heartbeat_address == *relay);
                let passed_on = self.tables[relay].hall_targets(record.expect("a host"));
                play.reached.insert(*relay);
                play.reached.extend(passed_on.iter().filter(live));
            }
        }
        play
    }
}

#[test]
fn news_reaches_every_host_and_crosses_between_halls_as_often_whatever_their_number() {
    for per_hall in [1, 2, 3, 14, 110, 291] {
        let region = NewsRegion::with_hosts(per_hall);
        let play = region.play(&BTreeSet::new());
        assert_eq!(play.reached.len(), region.hosts.len(), "{per_hall} a hall");
        assert!(
            play.crossed <= NEWS_RELAYS * HALLS.len(),
            "{per_hall} a hall"
        );
    }
}

/// A crashed host counts as alive for a few seconds, so it may still be chosen as a relay.
#[test]
fn news_reaches_every_other_host_though_one_that_passes_it_on_has_just_ended_in_each_hall() {
    let region = NewsRegion::with_hosts(14);
    for own in region.hosts.iter().filter(|host| NewsRegion::watches(host)) {
        let targets = region.tables[&own.heartbeat_address].fleet_news_targets(own, Moment(0));
        let mut ended: BTreeMap<&str, SocketAddr> = BTreeMap::new();
        for relay in &targets.relays {
            ended.insert(region.hall_of(*relay), *relay);
        }
        let ended: BTreeSet<SocketAddr> = ended.into_values().collect();
        let play = region.play(&ended);
        let hosts = region.hosts.iter().map(|host| host.heartbeat_address);
        let missed = hosts.filter(|host| !ended.contains(host) && !play.reached.contains(host));
        assert_eq!(missed.count(), 0);
    }
}
