//! A host is told to stop while backends still send long answers through it. It has most of its
//! grace period left, and so have the requests of their time.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend::{Arrival, Backend, Work};
use crate::client::{Client, Reply, Request};
use crate::deployment::{self, Folder, PKD_CI, PKD_CI_SERVICES, Route};
use crate::record::Record;
use crate::store::Store;

const SERVICE: &str = "artefact-vault";
const WORK: Duration = Duration::from_millis(384);
/// The size of an artefact. The hosts keep up to 1 MiB of an answer and pass a longer one on as it
/// comes.
const ARTEFACT_BYTES: usize = 5_000_000;
/// What a backend sends in each [`SEND_PAUSE`]: 10 Mbit/s, the slowest link of the pages.
const SEND_BYTES: usize = 125_000;
const SEND_PAUSE: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 8_000;
const CALLERS: usize = 6;
const BACKENDS: usize = 12;
/// When the host is told to stop, after the requests were sent.
const STOP_AFTER: Duration = Duration::from_millis(1_000);
/// The grace period of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// When the last sixth of it begins, in which a cut is excused while the backend is still at work.
const LAST_SIXTH: Duration = Duration::from_secs(5);

struct Vault;

impl Work for Vault {
    fn handle(&mut self, arrival: &Arrival<'_>, stream: &mut TcpStream) -> io::Result<bool> {
        let Some(running) = arrival.run(stream)? else {
            return Ok(true);
        };
        if !arrival.work(WORK) {
            stream.write_all(arrival.deadline_answer().as_bytes())?;
            return Ok(true);
        }
        let lines = format!("Response-Signature: 3e1b.{}\r\n", arrival.backend.id);
        stream.write_all(
            arrival
                .answer_head("200 OK", &lines, ARTEFACT_BYTES)
                .as_bytes(),
        )?;
        let piece = [b'a'; SEND_BYTES];
        let backend = arrival.backend;
        for sent in (0..ARTEFACT_BYTES).step_by(SEND_BYTES) {
            if let Err(fault) = stream.write_all(&piece) {
                let id = arrival.id();
                backend.record.note(&format!(
                    "backend {}: the host left {id} after {sent} bytes",
                    backend.id
                ));
                return Err(fault);
            }
            if !arrival.work(SEND_PAUSE) {
                // It stops at the deadline, in the middle of its answer.
                return Ok(false);
            }
        }
        drop(running);
        backend.record.note(&format!(
            "backend {} has sent its answer to {}",
            backend.id,
            arrival.id()
        ));
        Ok(true)
    }
}

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create().map_err(|fault| fault.to_string())?;
    let store = Store::start(deployment::listen(deployment::next_ip()));
    let routes = [Route {
        prefix: "/pull/",
        kind: "download",
        service: SERVICE,
        timeout_ms: DEADLINE_MS,
        goal_ms: 1_000,
    }];
    store.put(
        "config",
        "main",
        deployment::configuration(2, &PKD_CI_SERVICES, &routes),
    );
    let ip = deployment::next_ip();
    let zones = ["perth-east", "perth-west"];
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|number| {
            let place = (SERVICE, zones[number % 2], 3);
            Backend::start(
                &format!("i-vault-{number}"),
                place,
                (ip, &store, record),
                || Vault,
            )
        })
        .collect();
    let mut hosts = deployment::start_hosts(
        &PKD_CI,
        &zones,
        store.address,
        backends.len() as u64,
        &folder,
        record,
    )?;
    let callers = hosts[0].machine.callers;
    let began = Instant::now();
    let downloads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || pull(callers, number, &record))
        })
        .collect();
    std::thread::sleep(STOP_AFTER);
    if trouble {
        hosts[0].signal("TERM");
        record.note(&format!(
            "SIGTERM to {}; its grace period is 6 s",
            hosts[0].machine.name
        ));
    }
    let mut exited = None;
    while began.elapsed() < STOP_AFTER + GRACE && exited.is_none() && trouble {
        std::thread::sleep(Duration::from_millis(10));
        if hosts[0].has_exited() {
            exited = Some(began.elapsed().saturating_sub(STOP_AFTER));
        }
    }
    if let Some(after) = exited {
        record.note(&format!(
            "the host ended by itself {} ms after SIGTERM",
            after.as_millis()
        ));
    }
    let results: Vec<(String, usize, Duration)> = downloads
        .into_iter()
        .map(|download| download.join().expect("a sound caller"))
        .collect();
    let mut broken = 0;
    for (id, bytes, took) in &results {
        let ran = backends.iter().any(|backend| backend.runs(id) > 0);
        let is_in_time = took.as_millis() < u128::from(DEADLINE_MS);
        // All requests were sent before SIGTERM, and a backend is at work until its answer is whole.
        let is_excused = *took >= STOP_AFTER + LAST_SIXTH;
        if ran && is_in_time && !is_excused && *bytes < ARTEFACT_BYTES {
            broken += 1;
            record.note(&format!(
                "BROKEN LOST: the connection of {id} ended after {bytes} of {ARTEFACT_BYTES} bytes, {} ms after the request",
                took.as_millis()
            ));
        }
    }
    record.note(&format!("downloads {}, broken {broken}", results.len()));
    Ok(broken == 0)
}

/// Downloads an artefact; returns the id, the bytes of the body and the time.
fn pull(host: SocketAddr, number: usize, record: &Record) -> (String, usize, Duration) {
    let id = format!("pull-{number}");
    let path = format!("/pull/artefact-{number}");
    let request = Request {
        method: "GET",
        path: &path,
        id: &id,
        object: number as u64,
        deadline_ms: DEADLINE_MS,
        body_bytes: 0,
    };
    let began = Instant::now();
    record.note(&format!("caller {number} sent {id}"));
    let reply = Client::of(host).send(&request);
    let took = began.elapsed();
    let (text, bytes) = match &reply {
        Ok(reply @ (Reply::Whole(_, bytes) | Reply::Broken(bytes))) => (reply.text(), *bytes),
        Ok(reply) => (reply.text(), 0),
        Err(fault) => (fault.to_string(), 0),
    };
    record.note(&format!("caller {number} sent {id} and got {text}"));
    (id, bytes as usize, took)
}
