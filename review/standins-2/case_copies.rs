//! Another writer keeps a copy of each backend's entry. Then all hosts are killed and start again.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::client::{self, End, Request};
use crate::deployment::{self, IP, Route};
use crate::json::Json;
use crate::process::{self, Host, HostPlan};
use crate::store::Store;
use crate::{Run, Verdict};

const HOSTS: u8 = 3;
const BACKENDS: usize = 36;
/// `recovery` of the deployments.
const RECOVERY: Duration = Duration::from_secs(15);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Requests in each of the two spans that are judged.
const REQUESTS: usize = 150;

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/sheet/",
        kind: "idempotent",
        timeout_ms: 3_000,
        goal_ms: 400,
    }];
    let store = Store::start(IP);
    store.put("config", "main", &deployment::configuration(2, &routes));
    let log: Arc<dyn Fn(String) + Send + Sync> = Arc::new(|_text| {});
    let backends: Vec<Backend> = (0..BACKENDS)
        .map(|number| {
            let id = format!("i-{number:02}");
            let backend = Backend::start(IP, (&id, "east-1"), 3, Arc::clone(&log));
            store.put("servers", &id, &backend.entry("ready", 1));
            backend
        })
        .collect();
    let ips: Vec<Ipv4Addr> = (1..=HOSTS)
        .map(|last| Ipv4Addr::new(127, 0, 1, last))
        .collect();
    let port = process::free_udp_port(&ips);
    let mut plans: Vec<HostPlan> = ips
        .iter()
        .enumerate()
        .map(|(place, ip)| {
            let zone = process::ZONES[place].0;
            HostPlan::new(
                &format!("entry-{}", place + 1),
                zone,
                *ip,
                port,
                store.address,
            )
        })
        .collect();
    let seeds: Vec<SocketAddr> = plans.iter().map(|plan| plan.control).collect();
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
    let before = served(run, &plans, "before the final fault");
    if run.trouble {
        for backend in &backends {
            let copy = Json::parse(r#"{"copied":true}"#).ok_or("it is JSON")?;
            store.put("servers", &format!("{} copy", backend.id), &copy);
        }
        run.record.line(format!(
            "another writer puts {BACKENDS} entries, \"i-00 copy\" and so on, without fields"
        ));
        thread::sleep(Duration::from_secs(2));
        served(run, &plans, "with the entries of the other writer");
    }
    for host in hosts {
        drop(host);
    }
    run.record.line("all hosts are killed");
    thread::sleep(RESTART_DELAY);
    let hosts: Vec<Host> = plans
        .iter()
        .map(|plan| {
            let plan = HostPlan {
                is_first_start: false,
                ..plan.clone()
            };
            Host::start(&plan, run.temporary)
        })
        .collect();
    run.record.line("they are started again");
    thread::sleep(RECOVERY);
    let after = served(run, &plans, "more than 15 s after the return");
    for host in &hosts {
        let lines = host.log_lines("list that does not end");
        let others = host.log_lines("EV6001");
        for line in lines.iter().chain(&others).take(3) {
            run.record
                .line(format!("log of {}: {line}", host.plan.name));
        }
    }
    if 4 * before < REQUESTS {
        return Err(format!(
            "only {before} of {REQUESTS} requests were served before"
        ));
    }
    if 4 * after < REQUESTS {
        return Ok(Verdict::Broken(format!(
            "{after} of {REQUESTS} requests were served more than 15 s after the hosts had returned, {before} before they were killed"
        )));
    }
    Ok(Verdict::Held)
}

/// Sends requests to all hosts in turn and counts those that are served.
fn served(run: &Run<'_>, plans: &[HostPlan], when: &str) -> usize {
    let began = Instant::now();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(20));
            let front = plans[number % plans.len()].front;
            let id = format!("s-{}-{number}", run.record.now_ms());
            let request = Request {
                object: number % 24,
                ..Request::get("/sheet/one?work=50", &id, 3_000)
            };
            thread::spawn(move || {
                let Some(mut connection) = client::connect(front) else {
                    return End::Cut("no connection".to_owned());
                };
                let _set = connection
                    .stream()
                    .set_read_timeout(Some(Duration::from_secs(3)));
                let _written = connection.write(&request.bytes());
                client::read_answer(&mut connection, &id)
            })
        })
        .collect();
    let ends: Vec<End> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let served = ends.iter().filter(|end| end.is_success()).count();
    let other = ends.iter().find(|end| !end.is_success()).map(End::text);
    run.record.line(format!(
        "{when}: {served} of {REQUESTS} requests served in {:.1?}; another: {other:?}",
        began.elapsed()
    ));
    served
}
