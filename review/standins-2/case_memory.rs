//! Many users send bodies that the configuration allows, at once, to two of two hosts.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::client::{self, End, Request};
use crate::deployment::{self, Route};
use crate::process::{self, Host, HostPlan};
use crate::store::Store;
use crate::{Run, Verdict};

/// `memory_mb` of the hosts.
const MEMORY_MB: u64 = 260;
/// `max_body_bytes` of the configuration is 64 MiB.
const BODY_BYTES: usize = 20 << 20;
const USUAL_AT_ONCE: usize = 6;
/// Less than 1.7 times as many, the `burst` of the site files.
const BURST_AT_ONCE: usize = 10;
/// The rule counts three ends of a process.
const ENDS: usize = 3;
const ROUNDS: usize = 8;
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What the platform saw of one host.
#[derive(Debug, Default)]
struct Watched {
    ends: usize,
    most_mb: u64,
}

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/file/",
        kind: "mutating",
        timeout_ms: 20_000,
        goal_ms: 8_000,
    }];
    let ips = [Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::new(127, 0, 0, 3)];
    let store = Store::start(Ipv4Addr::LOCALHOST);
    store.put("config", "main", &deployment::configuration(2, &routes));
    let record = run.record.clone();
    let log: Arc<dyn Fn(String) + Send + Sync> = Arc::new(move |text| record.line(text));
    let _backends: Vec<Backend> = (0..8)
        .map(|number| {
            let id = format!("i-{number}");
            let backend = Backend::start(Ipv4Addr::LOCALHOST, (&id, "east-1"), 3, Arc::clone(&log));
            store.put("servers", &id, &backend.entry("ready", 1));
            backend
        })
        .collect();
    let port = process::free_udp_port(&ips);
    let mut plans: Vec<HostPlan> = ips
        .iter()
        .zip(deployment::process_zones())
        .enumerate()
        .map(|(place, (ip, zone))| {
            HostPlan::new(&format!("entry-{place}"), zone, *ip, port, store.address)
        })
        .collect();
    let seeds: Vec<SocketAddr> = plans.iter().map(|plan| plan.control).collect();
    for plan in &mut plans {
        plan.seeds.clone_from(&seeds);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut platforms = Vec::new();
    for plan in &plans {
        let host = Host::start(plan, run.temporary);
        let (plan, record) = (plan.clone(), run.record.clone());
        let (folder, is_over) = (run.temporary.to_owned(), Arc::clone(&is_over));
        platforms.push(thread::spawn(move || {
            watch(host, &plan, &folder, &record, &is_over)
        }));
    }
    for plan in &plans {
        process::wait_for("a host is ready", Duration::from_secs(20), || {
            is_ready(plan)
        })?;
    }
    thread::sleep(deployment::CONTACT);
    let at_once = if run.trouble {
        BURST_AT_ONCE
    } else {
        USUAL_AT_ONCE
    };
    let mut cut = 0;
    for round in 1..=ROUNDS {
        for plan in &plans {
            process::wait_for("a host is ready", Duration::from_secs(20), || {
                is_ready(plan)
            })?;
        }
        run.record.line(format!(
            "round {round}: {at_once} clients at each host send bodies of 20 MiB"
        ));
        let clients: Vec<_> = plans
            .iter()
            .flat_map(|plan| (0..at_once).map(move |number| (plan.clone(), number)))
            .map(|(plan, number)| {
                let record = run.record.clone();
                let id = format!("u-{round}-{}-{number}", plan.name);
                thread::spawn(move || send(&plan, &id, &record))
            })
            .collect();
        for client in clients {
            let end = client.join().map_err(|_| "a client failed")?;
            cut += usize::from(matches!(end, End::Cut(_)));
        }
        thread::sleep(Duration::from_secs(3));
    }
    is_over.store(true, Ordering::Relaxed);
    let mut watched = Vec::new();
    for platform in platforms {
        watched.push(platform.join().map_err(|_| "the platform failed")?);
    }
    run.record.line(format!(
        "{watched:?}, {cut} requests ended with a closed connection"
    ));
    if watched.iter().filter(|host| host.ends >= ENDS).count() >= 2 {
        return Ok(Verdict::Broken(format!(
            "on two of two hosts the process was over its memory three times, and {cut} requests ended with no answer"
        )));
    }
    if run.trouble && watched.iter().any(|host| host.ends > 0) {
        return Err("the hosts were over their memory, but not three times each".to_owned());
    }
    Ok(Verdict::Held)
}

fn is_ready(plan: &HostPlan) -> bool {
    client::get(plan.ready, "/-/ready").is_some_and(|answer| answer.status() == 200)
}

/// The platform: kills a process that is over its memory, and starts it again.
fn watch(
    mut host: Host,
    plan: &HostPlan,
    folder: &std::path::Path,
    record: &crate::record::Record,
    is_over: &AtomicBool,
) -> Watched {
    let mut watched = Watched::default();
    while !is_over.load(Ordering::Relaxed) {
        let resident = host.process.resident_mb();
        watched.most_mb = watched.most_mb.max(resident);
        if resident > MEMORY_MB {
            watched.ends += 1;
            record.line(format!("{} takes {resident} MiB and is killed", plan.name));
            host.process.kill();
            thread::sleep(RESTART_DELAY);
            host = Host::start(plan, folder);
        }
        thread::sleep(Duration::from_millis(5));
    }
    watched
}

fn send(plan: &HostPlan, id: &str, record: &crate::record::Record) -> End {
    let sent = Instant::now();
    let request = Request {
        method: "POST",
        path: "/file/one?work=300".to_owned(),
        id: id.to_owned(),
        deadline_ms: 20_000,
        body: vec![b'x'; BODY_BYTES],
    };
    let Some(mut connection) = client::connect(plan.front) else {
        return End::Cut("no connection".to_owned());
    };
    let _set = connection
        .stream()
        .set_read_timeout(Some(Duration::from_secs(20)));
    let end = match connection.write(&request.bytes()) {
        Ok(()) => client::read_answer(&mut connection, id),
        Err(fault) => End::Cut(format!("while it was sent: {fault}")),
    };
    record.line(format!(
        "{id} ends at the client after {:.1?}: {end:?}",
        sent.elapsed()
    ));
    end
}
