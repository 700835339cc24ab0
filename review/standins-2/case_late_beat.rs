//! A backend drains. Then its entry says `ready` once more: because the store does an earlier write of
//! the backend late, or because another writer puts an entry with fields missing there.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{self, Backend};
use crate::client::{self, End, Request};
use crate::deployment::{self, IP, Route};
use crate::process::{self, BackendProcess, Host, HostPlan};
use crate::store::Store;
use crate::{Run, Verdict};

const BACKENDS: usize = 4;
/// Of `picklog` in hvhr-ledge. Without i-0 the others are nearly full.
const SLOTS: u32 = 3;
/// `drain` of the deployment hvhr-ledge.
const DRAIN: Duration = Duration::from_millis(2_000);
/// From the lost write to the moment at which the backend drains: longer than `contact`, 3 s.
const DRAINS_AFTER: Duration = Duration::from_millis(3_200);
/// From the lost write to the moment at which the store does it; the pages allow 1 to 6 s.
const DONE_AFTER: Duration = Duration::from_millis(4_750);
/// The backend serves for `drain` after its notice and a little longer.
const ENDS_AFTER: Duration = Duration::from_millis(3_200 + 2_000 + 950);
/// `things` in the site file.
const OBJECTS: usize = 24;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const REQUEST_PAUSE: Duration = Duration::from_micros(17_500);

/// Why the entry says `ready` once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    LateWrite,
    OtherWriter,
}

pub fn run(run: &Run<'_>, cause: Cause) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/filing/",
        kind: "mutating",
        timeout_ms: 4_000,
        goal_ms: 600,
    }];
    let store = Store::start(IP);
    store.put("config", "main", &deployment::configuration(2, &routes));
    let record = run.record.clone();
    let log: Arc<dyn Fn(String) + Send + Sync> = Arc::new(move |text| record.line(text));
    let mut leaving = BackendProcess::start(IP, ("i-0", "east-1"), SLOTS, &run.record);
    let address = leaving.address;
    let entry =
        move |state: &str, sequence| deployment::entry(address, "east-1", SLOTS, state, sequence);
    store.put("servers", "i-0", &entry("ready", 1));
    let _others: Vec<Backend> = (1..BACKENDS)
        .map(|number| {
            let id = format!("i-{number}");
            let backend = Backend::start(IP, (&id, "east-1"), SLOTS, Arc::clone(&log));
            store.put("servers", &id, &backend.entry("ready", 1));
            backend
        })
        .collect();
    let port = process::free_udp_port(&[IP]);
    let plan = HostPlan::new("entry-1", "east-1", IP, port, store.address);
    let host = Host::start(&plan, run.temporary);
    host.wait_until_ready()?;
    thread::sleep(deployment::CONTACT);
    run.record.line("entry-1 is ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = start_traffic(run, &plan, &is_over);
    thread::sleep(Duration::from_millis(500));

    // The heartbeats of i-0. Sequence 2 is the write that the store does not answer.
    let lost = Instant::now();
    let at =
        |after: Duration| thread::sleep((lost + after).saturating_duration_since(Instant::now()));
    if run.trouble && cause == Cause::LateWrite {
        run.record
            .line("the store does not answer i-0's write of seq 2, ready");
    } else {
        store.put("servers", "i-0", &entry("ready", 2));
    }
    at(HEARTBEAT);
    store.put("servers", "i-0", &entry("ready", 3));
    at(DRAINS_AFTER);
    store.put("servers", "i-0", &entry("draining", 4));
    let acknowledged = backend::unix_micros();
    run.record
        .line("the store has acknowledged that i-0 is draining (seq 4)");
    at(DRAINS_AFTER + HEARTBEAT);
    store.put("servers", "i-0", &entry("draining", 5));
    at(DONE_AFTER);
    if run.trouble && cause == Cause::LateWrite {
        store.put("servers", "i-0", &entry("ready", 2));
        run.record
            .line("the store does i-0's write of seq 2, ready");
    }
    if run.trouble && cause == Cause::OtherWriter {
        store.put(
            "servers",
            "i-0",
            &deployment::partial_entry(address, "east-1", SLOTS),
        );
        run.record
            .line("another writer puts an entry without version, seq and cold under the name i-0");
    }
    at(ENDS_AFTER);
    leaving.process.kill();
    store.delete("servers", "i-0");
    run.record.line("i-0 has ended, and its entry is gone");
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    let ends = traffic.join().map_err(|_| "the traffic failed")?;
    let served = ends.iter().filter(|end| end.is_success()).count();
    let late = leaving.reached_since(acknowledged + DRAIN.as_micros());
    run.record.line(format!(
        "{} requests, {served} served; {} reached i-0 later than 2 s after the acknowledgement",
        ends.len(),
        late
    ));
    if late == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} requests reached i-0 later than `drain` after the acknowledgement that it is draining; {} of {} requests were not served",
        late,
        ends.len() - served,
        ends.len()
    )))
}

/// Sends filings, each on a new connection, until the case is over.
fn start_traffic(
    run: &Run<'_>,
    plan: &HostPlan,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<End>> {
    let (record, front, is_over) = (run.record.clone(), plan.front, Arc::clone(is_over));
    thread::spawn(move || {
        let began = Instant::now();
        let mut clients = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("f-{}", clients.len());
            let object = clients.len() % OBJECTS;
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let Some(mut connection) = client::connect(front) else {
                    return End::Cut("no connection".to_owned());
                };
                let _set = connection
                    .stream()
                    .set_read_timeout(Some(Duration::from_secs(4)));
                let request = Request {
                    method: "POST",
                    path: "/filing/one?work=150".to_owned(),
                    id: id.clone(),
                    deadline_ms: 4_000,
                    object,
                    body: b"weight=12".to_vec(),
                };
                let _written = connection.write(&request.bytes());
                let end = client::read_answer(&mut connection, &id);
                if !end.is_success() {
                    record.line(format!("{id} ends at the client: {}", end.text()));
                }
                end
            }));
            let due = began + REQUEST_PAUSE * clients.len() as u32;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let ends = clients.into_iter().filter_map(|client| client.join().ok());
        ends.collect()
    })
}
