//! The parts that several cases share.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::json::Json;

pub const IP: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// Longer than `contact` of the deployments, so that a started host is in touch.
pub const CONTACT: Duration = Duration::from_millis(4_500);

/// What a backend writes to the store about itself.
pub fn entry(address: SocketAddr, zone: &str, slots: u32, state: &str, sequence: u64) -> Json {
    entry_of("desk", address, zone, slots, state, sequence)
}

/// The same for a backend of another service.
pub fn entry_of(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    sequence: u64,
) -> Json {
    let text = format!(
        r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","seq":{sequence},"cold":"0ms"}}}}"#
    );
    Json::parse(&text).expect("it is JSON")
}

/// An entry of another writer: the fields `version`, `seq` and `cold` are missing.
pub fn partial_entry(address: SocketAddr, zone: &str, slots: u32) -> Json {
    let text = format!(
        r#"{{"address":"{address}","info":{{"service":"desk","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready"}}}}"#
    );
    Json::parse(&text).expect("it is JSON")
}

/// One route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
}

/// A configuration with one service, `desk`.
pub fn configuration(version: u32, routes: &[Route]) -> Json {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { prefix, kind, timeout_ms, goal_ms } = route;
            format!(
                r#"{{"name":"r{}","host":"desk.example","path_prefix":"{prefix}","type":"{kind}","timeout":"{timeout_ms}ms","goal":"{goal_ms}ms","priority":1,"service":"desk","attempts":2,"sticky":false,"home_regions":[]}}"#,
                prefix.replace('/', "-")
            )
        })
        .collect();
    let text = format!(
        r#"{{"version":"{version:08x}","routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup":"3s","cold_per_s":3.5}}],"limits":{{"header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle":"15000ms"}},"base_version":"00000001"}}"#,
        routes.join(",")
    );
    Json::parse(&text).expect("it is JSON")
}
