//! A host that reaches no backend hands its requests over. One of the hosts that take them freezes
//! for a moment, in which a route is moved to another service.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::client::{self, End, Request};
use crate::deployment::{self, IP};
use crate::json::Json;
use crate::process::{self, Host, HostPlan};
use crate::store::Store;
use crate::{Run, Verdict};

/// One of them is the share of 0.1 of `node_freeze`.
const HOSTS: u8 = 10;
const BACKENDS: usize = 8;
pub const SLOTS: u32 = 9;
/// `config` of the deployment hvhr-ledge.
pub const CONFIG: Duration = Duration::from_millis(2_000);
/// The duration of an entry in `fleetbench kinds` is 5 s.
const FREEZE: Duration = Duration::from_millis(3_200);
const REQUEST_PAUSE: Duration = Duration::from_millis(4);

/// The service that ran a request, and when.
pub type Runs = Arc<Mutex<BTreeMap<String, (&'static str, Instant)>>>;
/// When a request was sent, and how it ended.
pub type Sent = Arc<Mutex<BTreeMap<String, (Instant, Option<End>)>>>;

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let store = Store::start(IP);
    store.put("config", "main", &configuration(2, "desk"));
    let runs: Runs = Arc::default();
    let carriers: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let mut backends = Vec::new();
    for service in ["desk", "vault"] {
        for number in 0..BACKENDS {
            let id = format!("{service}-{number}");
            let (record, runs, carriers) =
                (run.record.clone(), Arc::clone(&runs), Arc::clone(&carriers));
            let log: Arc<dyn Fn(String) + Send + Sync> = Arc::new(move |text| {
                let words: Vec<&str> = text.split(' ').collect();
                if let [_, "runs", request, "from", machine, ..] = words[..] {
                    let seen = (service, Instant::now());
                    runs.lock()
                        .expect("no writer panicked")
                        .insert(request.to_owned(), seen);
                    let mut carriers = carriers.lock().expect("no writer panicked");
                    *carriers.entry(machine.to_owned()).or_default() += 1;
                    record.line(&text);
                }
            });
            let backend = Backend::start(IP, (&id, "east-1"), SLOTS, log);
            let entry = deployment::entry_of(service, backend.address, "east-1", SLOTS, "ready", 1);
            store.put("servers", &id, &entry);
            backends.push(backend);
        }
    }
    let ips: Vec<Ipv4Addr> = (1..=HOSTS)
        .map(|last| Ipv4Addr::new(127, 0, 1, last))
        .collect();
    let port = process::free_udp_port(&ips);
    let mut plans: Vec<HostPlan> = ips
        .iter()
        .enumerate()
        .map(|(place, ip)| {
            let zone = ["east-1", "east-2"][place % 2];
            let name = format!("entry-{}", place + 1);
            HostPlan {
                source: Some(*ip),
                ..HostPlan::new(&name, zone, *ip, port, store.address)
            }
        })
        .collect();
    let seeds: Vec<SocketAddr> = plans.iter().take(3).map(|plan| plan.control).collect();
    for plan in &mut plans {
        plan.seeds.clone_from(&seeds);
    }
    let hosts: Vec<Host> = plans
        .iter()
        .map(|plan| Host::start(plan, run.temporary))
        .collect();
    for host in &hosts {
        host.wait_until_ready()?;
    }
    thread::sleep(deployment::CONTACT);
    run.record
        .line("all hosts are ready; requests go to entry-1");
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Sent = Arc::default();
    let traffic = start_traffic(run, vec![plans[0].front], REQUEST_PAUSE, &is_over, &sent);
    thread::sleep(Duration::from_secs(1));
    if run.trouble {
        run.record.line("entry-1 is partitioned from all backends");
        for backend in &backends {
            backend.cut_off(IpAddr::V4(ips[0]));
        }
    }
    thread::sleep(Duration::from_secs(2));
    carriers.lock().expect("no writer panicked").clear();
    thread::sleep(Duration::from_secs(2));
    let used = carriers.lock().expect("no writer panicked").clone();
    run.record
        .line(format!("the requests of the last 2 s came from {used:?}"));
    let taker = hosts[1..]
        .iter()
        .find(|host| used.contains_key(&host.plan.front.ip().to_string()));
    let frozen = taker.filter(|_| run.trouble);
    if run.trouble && frozen.is_none() {
        return Err("no host takes requests over".to_owned());
    }
    if let Some(host) = frozen {
        run.record
            .line(format!("{} freezes (SIGSTOP)", host.plan.name));
        host.process.signal("STOP");
    }
    thread::sleep(Duration::from_millis(10));
    store.put("config", "main", &configuration(3, "vault"));
    let acknowledged = Instant::now();
    run.record
        .line("version 3, which moves the route from desk to vault, is acknowledged");
    thread::sleep(FREEZE);
    if let Some(host) = frozen {
        host.process.signal("CONT");
        run.record
            .line(format!("{} wakes (SIGCONT)", host.plan.name));
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    traffic.join().map_err(|_| "the traffic failed")?;
    judge(run, acknowledged, &runs, &sent)
}

/// Looks for requests that the old service ran though they were sent later than `config` after the
/// acknowledgement.
pub fn judge(
    run: &Run<'_>,
    acknowledged: Instant,
    runs: &Runs,
    sent: &Sent,
) -> Result<Verdict, String> {
    let runs = runs.lock().expect("no writer panicked");
    let sent = sent.lock().expect("no writer panicked");
    let mut late = 0;
    for (id, (at, end)) in sent.iter() {
        let Some(("desk", ran)) = runs.get(id).copied() else {
            continue;
        };
        if *at > acknowledged + CONFIG {
            late += 1;
            let after = at.duration_since(acknowledged).as_millis();
            let ran = ran.duration_since(*at).as_millis();
            run.record.line(format!(
                "{id}, sent {after} ms after the acknowledgement, ran at desk {ran} ms later: {}",
                end.as_ref().map_or_else(String::new, End::text)
            ));
        }
    }
    let ends = sent.values().filter_map(|(_, end)| end.as_ref());
    let served = ends.filter(|end| end.is_success()).count();
    run.record.line(format!(
        "{} requests, {served} served, {late} too late by the old service",
        sent.len()
    ));
    if late == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the old service ran {late} requests that were sent later than `config` after the acknowledgement"
    )))
}

pub fn configuration(version: u32, service: &str) -> Json {
    let services: Vec<String> = ["desk", "vault"]
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup":"3s","cold_per_s":3.5}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"version":"{version:08x}","routes":[{{"name":"r-filing","host":"desk.example","path_prefix":"/filing/","type":"mutating","timeout":"1200ms","goal":"400ms","priority":1,"service":"{service}","attempts":2,"sticky":false,"home_regions":[]}}],"services":[{}],"limits":{{"header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle":"15000ms"}},"base_version":"00000001"}}"#,
        services.join(",")
    );
    Json::parse(&text).expect("it is JSON")
}

/// Sends filings to these hosts in turn, each on a new connection, until the case is over.
pub fn start_traffic(
    run: &Run<'_>,
    fronts: Vec<SocketAddr>,
    pause: Duration,
    is_over: &Arc<AtomicBool>,
    sent: &Sent,
) -> thread::JoinHandle<()> {
    let (record, is_over, sent) = (run.record.clone(), Arc::clone(is_over), Arc::clone(sent));
    thread::spawn(move || {
        let mut clients = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("f-{}", clients.len());
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            let front = fronts[clients.len() % fronts.len()];
            clients.push(thread::spawn(move || {
                let Some(mut connection) = client::connect(front) else {
                    return;
                };
                let _set = connection
                    .stream()
                    .set_read_timeout(Some(Duration::from_millis(2_500)));
                let request = Request {
                    method: "POST",
                    path: "/filing/one?work=150".to_owned(),
                    id: id.clone(),
                    deadline_ms: 2_500,
                    object: 0,
                    body: b"weight=12".to_vec(),
                };
                let at = Instant::now();
                let _written = connection.write(&request.bytes());
                let end = client::read_answer(&mut connection, &id);
                if !end.is_success() {
                    record.line(format!("{id} ends at the client: {}", end.text()));
                }
                sent.lock()
                    .expect("no writer panicked")
                    .insert(id, (at, Some(end)));
            }));
            thread::sleep(pause);
        }
        for client in clients {
            let _ended = client.join();
        }
    })
}
