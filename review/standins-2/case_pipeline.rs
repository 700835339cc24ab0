//! A host is told to stop while a client has several requests on one connection, as the clients of
//! `paycode-read` of the deployment corrie-pay-grown do.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, End, Request};
use crate::deployment::{Deployment, Route};
use crate::{Run, Verdict};

/// `loss_slack` of the deployments.
const LOSS_SLACK: Duration = Duration::from_millis(200);
const REQUESTS: usize = 4;

pub fn run(run: &Run<'_>) -> Result<Verdict, String> {
    let routes = [Route {
        prefix: "/codes/",
        kind: "idempotent",
        timeout_ms: 30_000,
        goal_ms: 8_000,
    }];
    let deployment = Deployment::start(run, &routes, (3, 9), 3_000)?;
    let front = deployment.host.plan.front;
    let mut connection = client::connect(front).ok_or("no connection")?;
    let own = connection
        .stream()
        .local_addr()
        .map_err(|fault| fault.to_string())?;
    let _set = connection
        .stream()
        .set_read_timeout(Some(Duration::from_secs(30)));
    let ids: Vec<String> = (1..=REQUESTS).map(|number| format!("p-{number}")).collect();
    let mut bytes = Vec::new();
    for id in &ids {
        bytes.extend(Request::get("/codes/one?work=1000", id, 30_000).bytes());
    }
    connection
        .write(&bytes)
        .map_err(|fault| fault.to_string())?;
    let sent = Instant::now();
    run.record.line(format!(
        "the client sends {} on one connection",
        ids.join(", ")
    ));
    thread::sleep(Duration::from_millis(500));
    // What the process has not read yet waits in the receive queue of its socket.
    let unread = unread_bytes(front, own).ok_or("the connection is not listed")?;
    run.record.line(format!(
        "entry-1 has {unread} unread bytes of the connection"
    ));
    if unread > 0 {
        return Err("the host has not read the requests".to_owned());
    }
    if run.trouble {
        run.record.line("entry-1 gets SIGTERM");
        deployment.host.process.signal("TERM");
    }
    let mut lost = Vec::new();
    for id in &ids {
        let end = client::read_answer(&mut connection, id);
        run.record
            .line(format!("{id} ends at the client: {}", end.text()));
        match end {
            End::Answer(_) => {}
            End::Cut(_) if sent.elapsed() > LOSS_SLACK => lost.push(id.as_str()),
            other => return Err(format!("{id} ended otherwise: {other:?}")),
        }
    }
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the host had read {} and closed the connection without an answer, {:.1?} after they were sent",
        lost.join(", "),
        sent.elapsed()
    )))
}

/// The bytes of the connection from `client` that wait unread at `server`, as the kernel lists them.
fn unread_bytes(server: SocketAddr, client: SocketAddr) -> Option<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (server, client) = (kernel_form(server)?, kernel_form(client)?);
    table.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_it =
            words.get(1) == Some(&server.as_str()) && words.get(2) == Some(&client.as_str());
        let (_, unread) = words.get(4)?.split_once(':')?;
        is_it.then(|| u64::from_str_radix(unread, 16).ok())?
    })
}

fn kernel_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
