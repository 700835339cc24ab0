//! One backend of seven falls silent while it sends downloads.

use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::client::{self, End, Request};
use crate::deployment::{self, IP, Route};
use crate::process::{self, BackendProcess, Host, HostPlan};
use crate::store::Store;
use crate::{Run, Verdict};
use std::sync::Arc;

/// One of them is 0.14 of the service.
const BACKENDS: usize = 7;
const DOWNLOADS: usize = 70;
/// The route's `timeout`.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long after it an answer may still come.
const SLACK: Duration = Duration::from_millis(500);
/// The rule counts from this number of requests on.
const MIN_REQUESTS: usize = 8;

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/pull/",
        kind: "download",
        timeout_ms: TIMEOUT.as_millis() as u64,
        goal_ms: 1_500,
    }];
    let store = Store::start(IP);
    store.put("config", "main", &deployment::configuration(2, &routes));
    let record = run.record.clone();
    let log: Arc<dyn Fn(String) + Send + Sync> = Arc::new(move |text| record.line(text));
    let names = ("i-0", "east-1");
    let silent = BackendProcess::start(IP, names, 9, &run.record);
    store.put(
        "servers",
        "i-0",
        &deployment::entry(silent.address, "east-1", 9, "ready", 1),
    );
    let _others: Vec<Backend> = (1..BACKENDS)
        .map(|number| {
            let id = format!("i-{number}");
            let backend = Backend::start(IP, (&id, "east-1"), 9, Arc::clone(&log));
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

    // Whole after 0.8 s at a backend that goes on.
    let path = "/pull/archive?work=50&bytes=2097152&first=1310720&pace=131072";
    let clients: Vec<_> = (1..=DOWNLOADS)
        .map(|number| {
            let id = format!("d-{number}");
            let record = run.record.clone();
            let front = plan.front;
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || {
                let sent = Instant::now();
                let Some(mut connection) = client::connect(front) else {
                    return (End::Cut("no connection".to_owned()), Duration::ZERO);
                };
                let _set = connection
                    .stream()
                    .set_read_timeout(Some(Duration::from_secs(6)));
                let request = Request::get(path, &id, 6_000);
                let _written = connection.write(&request.bytes());
                let end = client::read_answer(&mut connection, &id);
                record.line(format!(
                    "{id} ends at the client after {:.2?}: {end:?}",
                    sent.elapsed()
                ));
                (end, sent.elapsed())
            })
        })
        .collect();
    if run.trouble {
        thread::sleep(Duration::from_millis(150));
        run.record.line("i-0 falls silent (SIGSTOP)");
        silent.process.signal("STOP");
        thread::sleep(Duration::from_millis(4_500));
        // Its entry goes after three heartbeats of silence.
        store.delete("servers", "i-0");
        run.record.line("the entry of i-0 is gone");
    }
    let mut ends = Vec::new();
    for client in clients {
        ends.push(client.join().map_err(|_| "a client failed")?);
    }
    let is_open_at = |limit: Duration| ends.iter().filter(|(_, after)| *after > limit).count();
    let unanswered = is_open_at(TIMEOUT);
    let still = is_open_at(TIMEOUT + SLACK);
    let served = ends.iter().filter(|(end, _)| end.is_success()).count();
    run.record.line(format!(
        "{served} of {DOWNLOADS} were served; {unanswered} had no final answer at the route's timeout, {still} half a second later"
    ));
    if unanswered >= MIN_REQUESTS && 2 * still > unanswered {
        return Ok(Verdict::Broken(format!(
            "of {unanswered} requests without a final answer at their route's timeout, {still} had none half a second later"
        )));
    }
    if run.trouble && unanswered < MIN_REQUESTS && still > 0 {
        return Err(format!(
            "only {unanswered} requests were open at the timeout"
        ));
    }
    Ok(Verdict::Held)
}
