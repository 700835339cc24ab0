//! Callers that leave while requests stand behind the running one on their connection.
//!
//! Guards against work for a caller that has left: a host that reads no further while a request is
//! buffered does not see the end of the connection, and a server's slot stays taken.

mod common;

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};

use common::{System, SystemPlan};
use ledgespool::standin::backend::RunRecord;
use ledgespool::standin::caller::CallerClient;

/// How long a server works on the request of the caller that leaves, in milliseconds.
const WORK_MS: u64 = 15_000;

fn read_head(id: &str) -> String {
    let service = common::SERVICE;
    format!(
        "GET /call/{service}/work?ms={WORK_MS}&bytes=10 HTTP/1.1\r\nhost: entry\r\n\
         x-ledgespool-class: read\r\nx-ledgespool-request-id: {id}\r\n\
         x-ledgespool-deadline-ms: 30000\r\n\r\n"
    )
}

/// Sends requests on one connection without waiting for answers.
fn pipeline(address: SocketAddr, ids: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let requests: String = ids.iter().map(|id| read_head(id)).collect();
    stream.write_all(requests.as_bytes()).expect("written");
    stream
}

async fn run_of(system: &System, id: &str) -> Option<RunRecord> {
    let runs = system.runs().await;
    runs.into_iter().find(|run| run.request_id == id)
}

#[tokio::test]
async fn a_slot_is_free_again_when_a_caller_leaves_with_a_request_behind() {
    let plan = SystemPlan {
        regions: vec![("perth", vec!["perth-1"])],
        slots: 1,
        hosts: vec!["perth-1"],
        ..SystemPlan::default()
    };
    let system = System::start(plan).await;
    let stream = pipeline(system.entries()[0], &["first", "behind"]);
    common::until("the first request runs", async || {
        run_of(&system, "first").await.is_some()
    })
    .await;
    drop(stream);
    let mut caller = CallerClient::with_entries(system.entries());
    let request = common::read_request("next", 1, 10);
    while !caller.send(&request).await.whole {}
    let first = run_of(&system, "first").await.expect("it ran");
    let next = run_of(&system, "next").await.expect("it ran");
    assert!(
        next.began_unix_ms < first.began_unix_ms + WORK_MS,
        "the next request began only after the work for the caller that had left"
    );
    assert!(run_of(&system, "behind").await.is_none());
}
