//! A host is told to stop while a client still reads a download.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, End, Request};
use crate::deployment::{Deployment, Route};
use crate::process::wait_for;
use crate::{Run, Verdict};

/// `grace` of the deployment.
const GRACE: Duration = Duration::from_secs(6);
/// A stop counts as planned work until this long after `grace`.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// In the last sixth of `grace` a cut is excused while the backend is at work.
const LAST_SIXTH: Duration = Duration::from_secs(5);

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/pull/",
        kind: "download",
        timeout_ms: 20_000,
        goal_ms: 6_000,
    }];
    let mut deployment = Deployment::start(run, &routes, (3, 3), 2_000)?;
    // After the first 1.5 MiB, 10 Mbit/s.
    let path = "/pull/archive?work=200&bytes=6291456&first=1572864&pace=131072";
    let request = Request::get(path, "d-1", 20_000);
    let mut connection = client::connect(deployment.host.plan.front).ok_or("no connection")?;
    let _set = connection
        .stream()
        .set_read_timeout(Some(Duration::from_secs(20)));
    run.record.line("the client sends d-1, a download of 6 MiB");
    connection
        .write(&request.bytes())
        .map_err(|fault| fault.to_string())?;
    let record = run.record.clone();
    let reader = thread::spawn(move || {
        let end = client::read_answer(&mut connection, "d-1");
        record.line(format!("d-1 ends at the client: {end:?}"));
        (end, Instant::now())
    });
    thread::sleep(Duration::from_millis(700));
    let stopped = Instant::now();
    if run.trouble {
        run.record.line("entry-1 gets SIGTERM");
        deployment.host.process.signal("TERM");
        wait_for("the host has ended", GRACE + AFTER_GRACE, || {
            deployment.host.process.has_ended()
        })?;
        run.record.line("entry-1 has ended");
    }
    let (end, at) = reader.join().map_err(|_| "the client failed")?;
    let after = at.saturating_duration_since(stopped);
    for line in deployment.host.log_lines("d-1") {
        run.record.line(format!("log of entry-1: {line}"));
    }
    match end {
        End::Answer(200) => Ok(Verdict::Held),
        End::Cut(how) if run.trouble && after < LAST_SIXTH => Ok(Verdict::Broken(format!(
            "the download was cut {how}, {after:.1?} after the SIGTERM, while its backend was at work"
        ))),
        other => Err(format!("the download ended otherwise: {other:?}")),
    }
}
