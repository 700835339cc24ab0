//! The store gives no answers for half a second, just after a change. The next change, over three
//! seconds later, moves a route to another service, and the hosts go on with the old one.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend::{Arrival, Backend, Work};
use crate::client::{Client, Reply, Request};
use crate::deployment::{self, Folder, HVHR_LEDGE, Route, Service};
use crate::record::Record;
use crate::store::Store;

const OLD: &str = "picklog";
const NEW: &str = "lotvault";
const SERVICES: [Service; 2] = [(OLD, "3.5"), (NEW, "3.5")];
const WORK: Duration = Duration::from_millis(40);
/// The bound `config` of the site.
const CONFIG_MS: u64 = 2_000;
/// How long the store is silent.
const SILENT: Duration = Duration::from_millis(500);
/// From the first change to the silence.
const SILENT_AFTER: Duration = Duration::from_millis(100);
/// From the end of the silence to the second change: longer than the bound `contact`, 3 s.
const CALM: Duration = Duration::from_millis(3_100);
const LENGTH_AFTER: Duration = Duration::from_millis(4_000);
const CLIENTS: usize = 12;

struct Sheets;

impl Work for Sheets {
    fn handle(&mut self, arrival: &Arrival<'_>, stream: &mut TcpStream) -> io::Result<bool> {
        let Some(running) = arrival.run(stream)? else {
            return Ok(true);
        };
        let answer = match arrival.work(WORK) {
            true => arrival.signed_answer(arrival.backend.service),
            false => arrival.deadline_answer(),
        };
        drop(running);
        stream.write_all(answer.as_bytes())?;
        Ok(true)
    }
}

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create().map_err(|fault| fault.to_string())?;
    let store = Store::start(deployment::listen(deployment::next_ip()));
    let configuration = |version, service, goal_ms| {
        let route = Route {
            prefix: "/sheet/",
            kind: "idempotent",
            service,
            timeout_ms: 3_000,
            goal_ms,
        };
        deployment::configuration(version, &SERVICES, &[route])
    };
    store.put("config", "main", configuration(2, OLD, 400));
    let ip = deployment::next_ip();
    let zones = ["koshi-dhankuta", "gandaki-pokhara", "karnali-surkhet"];
    let backends: Vec<Arc<Backend>> = (0..12)
        .map(|number| {
            let service = if number % 2 == 0 { OLD } else { NEW };
            let place = (service, zones[number % 3], 3);
            Backend::start(
                &format!("i-{service}-{number}"),
                place,
                (ip, &store, record),
                || Sheets,
            )
        })
        .collect();
    let count = backends.len() as u64;
    let hosts =
        deployment::start_hosts(&HVHR_LEDGE, &zones, store.address, count, &folder, record)?;
    // By then no host counts as newly started.
    std::thread::sleep(Duration::from_secs(6));
    let end = Instant::now() + SILENT_AFTER + SILENT + CALM + LENGTH_AFTER;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let host = hosts[number % hosts.len()].machine.callers;
            let record = record.clone();
            std::thread::spawn(move || look_up_until(end, host, number, &record))
        })
        .collect();
    store.put("config", "main", configuration(3, OLD, 500));
    record.note("version 3 is acknowledged: another goal");
    std::thread::sleep(SILENT_AFTER);
    if trouble {
        store.set_silent(true);
        record.note("the store is silent for 500 ms");
    }
    std::thread::sleep(SILENT);
    store.set_silent(false);
    std::thread::sleep(CALM);
    store.put("config", "main", configuration(4, NEW, 500));
    let acknowledged = record.millis();
    record.note(&format!(
        "version 4 is acknowledged: the route moves from {OLD} to {NEW}"
    ));
    let sent: Vec<(String, u64)> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a sound client"))
        .collect();
    let ran_at = |id: &str| backends.iter().find(|backend| backend.runs(id) > 0);
    let late = sent.iter().filter(|(id, at)| {
        *at > acknowledged + CONFIG_MS && ran_at(id).is_some_and(|backend| backend.service == OLD)
    });
    let late: Vec<&(String, u64)> = late.collect();
    for (id, at) in &late {
        let after = at - acknowledged;
        record.note(&format!(
            "BROKEN CONFIG: {id}, sent {after} ms after the acknowledgement, ran at {OLD}"
        ));
    }
    record.note(&format!(
        "requests {}, run by the old service too late {}",
        sent.len(),
        late.len()
    ));
    Ok(late.is_empty())
}

/// Sends requests until the end; returns their ids with the times at which they were sent.
fn look_up_until(
    end: Instant,
    host: SocketAddr,
    client: usize,
    record: &Record,
) -> Vec<(String, u64)> {
    let mut connection = Client::of(host);
    let mut sent = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("c{client:02}-{number:03}");
        let request = Request {
            method: "GET",
            path: "/sheet/a",
            id: &id,
            object: (client * 7 + number) as u64 % 24,
            deadline_ms: 3_000,
            body_bytes: 0,
        };
        let at = record.millis();
        let text = connection
            .send(&request)
            .map_or_else(|fault| fault.to_string(), |reply: Reply| reply.text());
        record.note(&format!("client {client} sent {id} at {at} and got {text}"));
        sent.push((id, at));
        std::thread::sleep(Duration::from_millis(30));
    }
    sent
}
