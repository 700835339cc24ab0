//! More clients than usual send large bodies, each within the configured limit. The platform kills
//! a process that exceeds its memory.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::backend::{Arrival, Backend, Work};
use crate::client::{Client, Reply, Request};
use crate::deployment::{self, Folder, MEMORY_MB, PKD_CI, PKD_CI_SERVICES, Route};
use crate::record::Record;
use crate::store::Store;

const READ_WORK: Duration = Duration::from_millis(480);
const STORE_WORK: Duration = Duration::from_millis(384);
/// Below the limit of the configuration, which is 67,108,864 bytes.
const BODY_BYTES: usize = 9_000_000;
const USUAL_UPLOADERS: usize = 16;
/// 1.69 times the usual ones; the pages have bursts of 1.7 times the traffic.
const BURST_UPLOADERS: usize = 27;
/// The clients begin to upload one after the other.
const UPLOAD_STAGGER: Duration = Duration::from_millis(40);
const READERS: usize = 8;
const BURST_AT: Duration = Duration::from_secs(6);
const BURST: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(14);
const SAMPLE_PAUSE: Duration = Duration::from_millis(2);
/// More than this many requests of kept connections break the rule.
const ALLOWED_LOSSES: usize = 3;

/// A backend that answers after a fixed time.
struct Desk(Duration);

impl Work for Desk {
    fn handle(&mut self, arrival: &Arrival<'_>, stream: &mut TcpStream) -> io::Result<bool> {
        let running = arrival.run();
        std::thread::sleep(self.0);
        drop(running);
        stream.write_all(arrival.signed_answer("done").as_bytes())?;
        Ok(true)
    }
}

/// How a request ended.
struct Ended {
    id: String,
    /// Whether its connection had carried a request before.
    kept: bool,
    /// Whether its connection ended without an answer.
    broken: bool,
}

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create().map_err(|fault| fault.to_string())?;
    let store = Store::start(deployment::listen(deployment::next_ip()));
    let route = |prefix, kind, service, timeout_ms| Route {
        prefix,
        kind,
        service,
        timeout_ms,
        goal_ms: 1_000,
    };
    let routes = [
        route("/read/", "idempotent", "pipeline-desk", 2_500),
        route("/store/", "mutating", "artefact-vault", 8_000),
    ];
    store.put("config", "main", deployment::configuration(2, &PKD_CI_SERVICES, &routes));
    let ip = deployment::next_ip();
    let zones = ["perth-east", "perth-west"];
    let start = |number: usize| {
        let (name, service, work) = match number % 2 {
            0 => ("desk", "pipeline-desk", READ_WORK),
            _ => ("vault", "artefact-vault", STORE_WORK),
        };
        let place = (service, zones[number / 2 % 2], 9);
        let id = format!("i-{name}-{number}");
        Backend::start(&id, place, (ip, &store, record), move || Desk(work))
    };
    let backends: Vec<Arc<Backend>> = (0..12).map(start).collect();
    let mut hosts =
        deployment::start_hosts(&PKD_CI, &zones, store.address, backends.len() as u64, &folder, record)?;
    let callers = hosts[0].machine.callers;
    let end = Instant::now() + LENGTH;
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || read_until(end, callers, number, &record))
        })
        .collect();
    let open = Arc::new(AtomicU64::new(0));
    let upload = |number: usize, until: Instant| {
        let (record, open) = (record.clone(), Arc::clone(&open));
        std::thread::spawn(move || upload_until(until, callers, number, &open, &record))
    };
    let mut uploaders: Vec<_> = (0..USUAL_UPLOADERS).map(|number| upload(number, end)).collect();
    let mut peak_kilobytes = 0;
    let mut peak_open = 0;
    let mut has_burst = !trouble;
    let mut was_killed = false;
    while Instant::now() < end {
        if !has_burst && end - Instant::now() < LENGTH - BURST_AT {
            has_burst = true;
            record.note(&format!("the burst begins: {BURST_UPLOADERS} clients upload instead of {USUAL_UPLOADERS}, for 3 s"));
            let until = Instant::now() + BURST;
            uploaders.extend((USUAL_UPLOADERS..BURST_UPLOADERS).map(|number| upload(number, until)));
        }
        let kilobytes = hosts[0].resident_kilobytes();
        peak_kilobytes = peak_kilobytes.max(kilobytes);
        peak_open = peak_open.max(open.load(Ordering::Relaxed));
        if !was_killed && kilobytes > MEMORY_MB * 1_024 {
            was_killed = true;
            record.note(&format!(
                "the platform kills {}: it has {kilobytes} kB of {MEMORY_MB} MB",
                hosts[0].machine.name
            ));
            hosts[0].signal("KILL");
        }
        if was_killed && hosts[0].has_exited() {
            break;
        }
        std::thread::sleep(SAMPLE_PAUSE);
    }
    for uploader in uploaders {
        uploader.join().expect("a sound client");
    }
    let ended: Vec<Ended> =
        readers.into_iter().flat_map(|reader| reader.join().expect("a sound client")).collect();
    let has_run = |id: &str| backends.iter().any(|backend| backend.runs(id) > 0);
    let lost = ended.iter().filter(|ended| ended.kept && ended.broken && has_run(&ended.id));
    let lost: Vec<&Ended> = lost.collect();
    for ended in &lost {
        record.note(&format!("LOST: {} was passed on, and its kept connection ended without an answer", ended.id));
    }
    record.note(&format!(
        "reads {}, lost {}, uploads open at most {peak_open}, peak memory {peak_kilobytes} kB",
        ended.len(),
        lost.len()
    ));
    Ok(lost.len() <= ALLOWED_LOSSES)
}

/// Sends reads over a kept connection until the end, or until the host is gone.
fn read_until(end: Instant, host: SocketAddr, client: usize, record: &Record) -> Vec<Ended> {
    // The clients send one after the other, not all at the same moment.
    std::thread::sleep(READ_WORK / READERS as u32 * client as u32);
    let mut connection = Client::of(host);
    let mut all = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("read{client}-{number:03}");
        let request = Request {
            method: "GET",
            path: "/read/log",
            id: &id,
            object: client as u64,
            deadline_ms: 2_500,
            body_bytes: 0,
        };
        let Ok(reply) = connection.send(&request) else { break };
        record.note(&format!("client {client} sent {id} and got {}", reply.text()));
        let broken = matches!(reply, Reply::Broken(_));
        all.push(Ended { id, kept: connection.carried > 1, broken });
        std::thread::sleep(Duration::from_millis(20));
    }
    all
}

fn upload_until(end: Instant, host: SocketAddr, client: usize, open: &AtomicU64, record: &Record) {
    std::thread::sleep(UPLOAD_STAGGER * client as u32);
    let mut connection = Client::of(host);
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("store{client}-{number:03}");
        let request = Request {
            method: "POST",
            path: "/store/artefact",
            id: &id,
            object: client as u64,
            deadline_ms: 8_000,
            body_bytes: BODY_BYTES,
        };
        open.fetch_add(1, Ordering::Relaxed);
        let reply = connection.send(&request);
        open.fetch_sub(1, Ordering::Relaxed);
        let Ok(reply) = reply else { break };
        record.note(&format!("uploader {client} sent {id} with {BODY_BYTES} bytes and got {}", reply.text()));
    }
}
