//! What a host reports to other hosts about itself and its state.

use std::collections;

use super::host::EntryHost;
use super::packed_servers::PackedServers;
use super::peer_message::{FleetUpdate, PeerHeartbeat, PeerSnapshot, RegionSize};
use super::peers::HostRecord;
use super::wire::WireProtocol;

impl<W: WireProtocol> EntryHost<W> {
    /// The record of this run of the host.
    #[must_use]
    pub fn record(&self) -> HostRecord {
        let settings = self.settings();
        let mut heartbeat_address = settings.peer_address;
        heartbeat_address.set_port(settings.heartbeat_port);
        HostRecord {
            name: settings.name.clone(),
            run: self.run,
            hall: settings.hall.clone(),
            region: settings.region.clone(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            heartbeat_address,
            // The settings limit the share of a core, so the product fits.
            processor_milli: (settings.processor_share * 1_000.0) as u32,
            region_hosts: self.peers.borrow().reported_region_size(&settings.region),
        }
    }

    /// The heartbeat for the other hosts; `whole` adds the host's record.
    #[must_use]
    pub fn heartbeat(&self, whole: bool) -> PeerHeartbeat {
        let evacuations = self.evacuations.borrow();
        let region = &self.settings().region;
        let peers = self.peers.borrow();
        let peer_statuses = peers.recent_statuses_all_regions(region, self.now());
        let known_hosts = peers.known_count();
        let known_near = peers.region_size(region);
        drop(peers);
        PeerHeartbeat {
            host: self.settings().name.clone(),
            run: self.run,
            record: whole.then(|| self.record()),
            ready: self.is_ready(),
            reaches_servers: self.reaches_servers(),
            leaving: self.is_leaving(),
            watch: self.watch.state(),
            configuration_version: self.configuration_version(),
            fleet_changed: self.fleet.borrow().changed(),
            evacuation_changed: evacuations.changed(),
            evacuated: evacuations.stored().iter().cloned().collect(),
            quarantine: self.quarantine.digest(),
            server_limits: self.server_limits.next_heartbeat_updates(),
            leaving_servers: self.leaving_updates.next_for_heartbeat(),
            rollouts: self.rollouts.to_update(self.now()),
            known_hosts,
            known_near,
            peer_statuses,
        }
    }

    /// The server changes after the store revision `since`; `None` when this host no longer knows
    /// them.
    #[must_use]
    pub fn fleet_news_since(&self, since: u64) -> Option<FleetUpdate> {
        let fleet = self.fleet.borrow();
        let difference = fleet.changes_since(since, self.now())?;
        Some(FleetUpdate {
            host: self.settings().name.clone(),
            since,
            until: fleet.revision(),
            part: 0,
            parts: 1,
            changed: difference.changed,
            gone: difference.gone,
            relay: false,
        })
    }

    /// The server changes after the store revision `since` that this host has read from the store
    /// without interruption; `None` if it does not watch the servers now.
    #[must_use]
    pub fn followed_changes_since(&self, since: u64) -> Option<FleetUpdate> {
        let followed = self.watch.servers_followed()?;
        let update = self.fleet_news_since(since.max(followed.since))?;
        // Other hosts may have reported later changes.
        let until = followed.until.min(update.until);
        Some(FleetUpdate { until, ..update })
    }

    fn region_sizes(&self) -> Vec<RegionSize> {
        let sizes = self.hosts_by_region().into_iter();
        sizes
            .map(|(region, hosts)| RegionSize { region, hosts })
            .collect()
    }

    /// The number of hosts in each region, including this one.
    pub(super) fn hosts_by_region(&self) -> collections::BTreeMap<String, u32> {
        let settings = self.settings();
        self.peers.borrow().hosts_by_region(&settings.region)
    }

    /// A snapshot of everything that other hosts may need.
    #[must_use]
    pub fn snapshot(&self) -> PeerSnapshot {
        let fleet = self.fleet.borrow();
        let routes = self.routes();
        let evacuations = self.evacuations.borrow();
        let mut hosts: Vec<_> = self.peers.borrow().records().cloned().collect();
        hosts.push(self.record());
        PeerSnapshot {
            configuration: routes.map(|routes| routes.configuration().clone()),
            servers: PackedServers::from_objects(fleet.objects()),
            kept: fleet.retained(self.now()).collect(),
            fleet_revision: if fleet.is_listed() {
                fleet.revision()
            } else {
                0
            },
            evacuated: evacuations.stored().iter().cloned().collect(),
            evacuation_revision: evacuations.revision(),
            hosts,
            hosts_listed: self.peers.borrow().is_membership_complete(),
            suspects: self.quarantine.snapshot_records(self.now()),
            region_sizes: self.region_sizes(),
            rollouts: self.rollouts.to_update(self.now()),
        }
    }
}
