//! All hosts that watch the store are killed at the same moment and start again a second later. A
//! route is moved just after the kill.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::case_handover::{Runs, SLOTS, Sent, configuration, judge, start_traffic};
use crate::deployment::{self, IP};
use crate::process::{self, Host, HostPlan};
use crate::store::Store;
use crate::{Run, Verdict};

/// Six of ten are the share of 0.6 of `herd_kill`.
const ZONES: [&str; 10] = [
    "east-1", "east-1", "east-2", "east-2", "north-1", "north-1", "north-1", "west-1", "west-1",
    "west-1",
];
const KILLED: usize = 6;
/// The short delay after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
const BACKENDS: usize = 4;

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let store = Store::start(IP);
    store.put("config", "main", &configuration(2, "desk"));
    let runs: Runs = Arc::new(Mutex::new(BTreeMap::new()));
    let mut backends = Vec::new();
    for service in ["desk", "vault"] {
        for number in 0..BACKENDS {
            let id = format!("{service}-{number}");
            let (record, runs) = (run.record.clone(), Arc::clone(&runs));
            let log: Arc<dyn Fn(String) + Send + Sync> = Arc::new(move |text| {
                let words: Vec<&str> = text.split(' ').collect();
                if let [_, "runs", request, ..] = words[..] {
                    let seen = (service, Instant::now());
                    let mut runs = runs.lock().expect("no writer panicked");
                    runs.insert(request.to_owned(), seen);
                    record.line(&text);
                }
            });
            let backend = Backend::start(IP, (&id, "east-1"), SLOTS, log);
            let entry = deployment::entry_of(service, backend.address, "east-1", SLOTS, "ready", 1);
            store.put("servers", &id, &entry);
            backends.push(backend);
        }
    }
    let ips: Vec<Ipv4Addr> = (1..=ZONES.len() as u8)
        .map(|last| Ipv4Addr::new(127, 0, 1, last))
        .collect();
    let port = process::free_udp_port(&ips);
    let mut plans: Vec<HostPlan> = ips
        .iter()
        .zip(ZONES)
        .enumerate()
        .map(|(place, (ip, zone))| {
            HostPlan::new(
                &format!("entry-{}", place + 1),
                zone,
                *ip,
                port,
                store.address,
            )
        })
        .collect();
    let seeds: Vec<SocketAddr> = SEEDS.iter().map(|place| plans[*place].control).collect();
    for plan in &mut plans {
        plan.seeds.clone_from(&seeds);
    }
    let mut hosts: Vec<Host> = plans
        .iter()
        .map(|plan| Host::start(plan, run.temporary))
        .collect();
    for host in &hosts {
        host.wait_until_ready()?;
    }
    thread::sleep(deployment::CONTACT);
    let watches = |host: &Host| {
        let changes = host.log_lines("EV6004");
        changes
            .last()
            .is_some_and(|line| line.contains("\"watching\":true"))
    };
    let (watchers, others): (Vec<usize>, Vec<usize>) =
        (0..hosts.len()).partition(|place| watches(&hosts[*place]));
    let names = |places: &[usize]| {
        let names = places.iter().map(|place| plans[*place].name.as_str());
        names.collect::<Vec<_>>().join(", ")
    };
    run.record.line(format!(
        "{} watch the store; requests go to {}",
        names(&watchers),
        names(&others)
    ));
    if watchers.len() != KILLED {
        return Err(format!("{} hosts watch the store", watchers.len()));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Sent = Arc::default();
    let fronts = others.iter().map(|place| plans[*place].front).collect();
    let traffic = start_traffic(run, fronts, Duration::from_millis(5), &is_over, &sent);
    thread::sleep(Duration::from_secs(1));
    if run.trouble {
        for place in &watchers {
            hosts[*place].process.signal("KILL");
        }
        run.record.line(format!("{} are killed", names(&watchers)));
    }
    store.put("config", "main", &configuration(3, "vault"));
    let acknowledged = Instant::now();
    run.record
        .line("version 3, which moves the route from desk to vault, is acknowledged");
    thread::sleep(RESTART_DELAY);
    if run.trouble {
        for place in &watchers {
            hosts[*place].process.kill();
            let plan = HostPlan {
                is_first_start: false,
                ..plans[*place].clone()
            };
            hosts[*place] = Host::start(&plan, run.temporary);
        }
        run.record.line("they are started again");
    }
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    traffic.join().map_err(|_| "the traffic failed")?;
    for host in &hosts {
        for line in host.log_lines("EV2001") {
            run.record
                .line(format!("log of {}: {line}", host.plan.name));
        }
    }
    judge(run, acknowledged, &runs, &sent)
}

/// The places of the seeds.
const SEEDS: [usize; 3] = [1, 5, 7];
