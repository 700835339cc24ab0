//! Builds records and heartbeats of entry hosts for tests and benches.

use ledgespool::entry::peer_message::{PeerHeartbeat, WatchState};
use ledgespool::entry::peers::HostRecord;

/// Returns the record of a host's first run, at an address on which nothing listens.
pub fn record(name: &str, hall: &str, region: &str, processor_milli: u32) -> HostRecord {
    let address = "127.0.0.1:9".parse().expect("an address");
    HostRecord {
        name: name.to_owned(),
        run: 1,
        hall: hall.to_owned(),
        region: region.to_owned(),
        caller_address: address,
        peer_address: address,
        heartbeat_address: address,
        processor_milli,
        region_hosts: 0,
    }
}

/// Returns a heartbeat with the full record of a host that is ready and not leaving.
pub fn heartbeat(record: &HostRecord, watch: WatchState) -> PeerHeartbeat {
    PeerHeartbeat {
        host: record.name.clone(),
        run: record.run,
        record: Some(record.clone()),
        ready: true,
        reaches_servers: true,
        leaving: false,
        watch,
        configuration_version: 1,
        fleet_changed: 1,
        evacuation_changed: 0,
        evacuated: Vec::new(),
        quarantine: ledgespool::entry::quarantine::message::QuarantineDigest::default(),
        leaving_servers: Vec::new(),
        rollouts: ledgespool::rollout::message::RolloutUpdate::default(),
        server_limits: Vec::new(),
        known_hosts: 1,
        known_near: 1,
        peer_statuses: Vec::new(),
    }
}
