//! Invalid input over the network: each listener refuses it with a numbered code and keeps serving.

mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use common::{PEER_TOKEN, System, SystemPlan, TOKEN, assert_whole, read_request, release_request};
use ledgespool::http_client;
use ledgespool::request_body::RequestBody;
use ledgespool::result_code::{RequestOutcome, ResultCode};
use ledgespool::rpc::{NoParams, method};
use ledgespool::rpc_client::ControlClient;
use ledgespool::standin::caller::CallerClient;
use ledgespool::timer;

async fn status_and_code(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> (u16, String) {
    let mut builder = http::Request::post(path).header("host", "entry");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(RequestBody::from(Bytes::from(body)))
        .expect("a request");
    let answer = http_client::exchange(to, request, Duration::from_secs(20), 1 << 20)
        .await
        .expect("an answer");
    let code = answer
        .headers
        .get("x-ledgespool-code")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    (answer.status.as_u16(), code.to_owned())
}

fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a limit");
    let _sent = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..length]);
        if answer.len() > 64 {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request that must be refused, and the expected code.
struct RefusedCase<'c> {
    path: &'c str,
    headers: Vec<(&'c str, &'c str)>,
    body: Vec<u8>,
    code: ResultCode,
}

const CALL: &str = "/call/desk/work";
const READ: (&str, &str) = ("x-ledgespool-class", "read");
const RELEASE: (&str, &str) = ("x-ledgespool-class", "release");
const KEY: &str = "x-ledgespool-claim-key";
const DEADLINE: &str = "x-ledgespool-deadline-ms";

fn refused<'c>(path: &'c str, headers: &[(&'c str, &'c str)], code: ResultCode) -> RefusedCase<'c> {
    RefusedCase {
        path,
        headers: headers.to_vec(),
        body: Vec::new(),
        code,
    }
}

#[tokio::test]
async fn callers_receive_numbered_refusals() {
    let system = System::start(SystemPlan {
        hosts: vec!["perth-1"],
        ..SystemPlan::default()
    })
    .await;
    let expired = format!("{}-an-old-key", timer::unix_millis() - 3_600_000);
    let ahead = format!("{}-a-new-key", timer::unix_millis() + 3_600_000);
    let large = RefusedCase {
        body: vec![0; (1 << 20) + 1],
        ..refused(CALL, &[READ], ResultCode::BodyTooLarge)
    };
    let cases = [
        refused("/nothing", &[], ResultCode::RouteUnknown),
        refused(CALL, &[], ResultCode::RequestMalformed),
        refused(CALL, &[READ, READ], ResultCode::RequestMalformed),
        refused(
            CALL,
            &[READ, (DEADLINE, "soon")],
            ResultCode::RequestMalformed,
        ),
        refused(
            CALL,
            &[READ, ("x-ledgespool-request-id", "two words")],
            ResultCode::RequestMalformed,
        ),
        refused(CALL, &[READ, (DEADLINE, "0")], ResultCode::DeadlineTooShort),
        refused("/call/none/work", &[READ], ResultCode::ServiceUnknown),
        refused(
            CALL,
            &[("x-ledgespool-class", "none")],
            ResultCode::ClassUnknown,
        ),
        refused(CALL, &[RELEASE], ResultCode::ClaimKeyMissing),
        refused(
            CALL,
            &[RELEASE, (KEY, "short")],
            ResultCode::ClaimKeyInvalid,
        ),
        refused(CALL, &[RELEASE, (KEY, &ahead)], ResultCode::ClaimKeyInvalid),
        refused(
            CALL,
            &[RELEASE, (KEY, &expired)],
            ResultCode::ClaimKeyExpired,
        ),
        large,
    ];
    for case in cases {
        let got =
            status_and_code(system.hosts[0].callers, case.path, &case.headers, case.body).await;
        assert_eq!(
            got,
            (case.code.http_status(), case.code.to_string()),
            "{} {:?}",
            case.path,
            case.headers
        );
    }
    assert!(system.runs().await.is_empty(), "nothing refused was run");
}

#[tokio::test]
async fn malformed_input_does_not_affect_other_callers() {
    let system = System::start(SystemPlan {
        hosts: vec!["perth-1"],
        ..SystemPlan::default()
    })
    .await;
    let entry = system.hosts[0].callers;
    for garbage in [
        &b"\0\xff\x01 garbage\r\n\r\n"[..],
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /call/desk/work HTTP/1.1\r\ncontent-length: 99\r\n\r\nhalf",
    ] {
        drop(TcpStream::connect(entry).and_then(|mut stream| stream.write_all(garbage)));
        drop(
            TcpStream::connect(system.hosts[0].control)
                .and_then(|mut stream| stream.write_all(garbage)),
        );
    }
    let head = format!(
        "GET /lookup HTTP/1.1\r\nx-large: {}\r\n\r\n",
        "a".repeat(64 * 1024)
    );
    assert!(
        send_raw(entry, head.as_bytes()).starts_with("HTTP/1.1 431"),
        "an oversized request head is refused"
    );
    let mut caller = CallerClient::with_entries(vec![entry]);
    assert_whole(
        &caller
            .send_to(entry, &read_request("after-garbage", 1, 1_000))
            .await,
    );
}

#[tokio::test]
async fn operators_need_a_token_and_valid_parameters() {
    let system = System::start(SystemPlan {
        hosts: vec!["perth-1"],
        ..SystemPlan::default()
    })
    .await;
    let control = system.hosts[0].control;
    let client =
        |token: &str| ControlClient::new(control, token, Duration::from_secs(5)).expect("a client");
    for token in ["", "wrong", PEER_TOKEN] {
        let refused = client(token)
            .call::<_, serde_json::Value>(method::STATUS, &NoParams {})
            .await;
        assert_eq!(
            refused.expect_err("a refusal").code,
            ResultCode::TokenRejected,
            "{token:?}"
        );
    }
    let refused = client(TOKEN)
        .call::<_, serde_json::Value>(method::FETCH, &NoParams {})
        .await;
    assert_eq!(
        refused.expect_err("a refusal").code,
        ResultCode::TokenRejected,
        "a peer's method"
    );
    let answer = send_raw(control, b"POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let wrong = serde_json::json!({ "operation": 7 });
    let refused = client(TOKEN)
        .call::<_, serde_json::Value>(method::CHANGE, &wrong)
        .await;
    assert_eq!(
        refused.expect_err("a refusal").code,
        ResultCode::ParameterInvalid
    );
    let events = system.cli(&["timeline"], &[]);
    assert!(
        String::from_utf8_lossy(&events.stdout).contains("EV2005"),
        "refused tokens appear in the timeline"
    );
}

/// The server answers with another request's id, truncates its answers, omits the id, or claims an
/// unknown transfer coding.
#[tokio::test]
async fn truncated_or_foreign_answers_never_count_as_whole() {
    use ledgespool::standin::backend::BackendFaults;
    let system = System::start(SystemPlan {
        hosts: vec!["perth-1"],
        ..SystemPlan::default()
    })
    .await;
    let entry = system.hosts[0].callers;
    let mut caller = CallerClient::with_entries(vec![entry]);
    let all = [0, 1];
    for (name, faults) in [
        (
            "mix-up",
            BackendFaults {
                mix_up: true,
                ..BackendFaults::default()
            },
        ),
        (
            "truncate",
            BackendFaults {
                truncate: true,
                ..BackendFaults::default()
            },
        ),
        (
            "other-coding",
            BackendFaults {
                other_coding: true,
                ..BackendFaults::default()
            },
        ),
        (
            "nameless",
            BackendFaults {
                mix_up: true,
                anonymous: true,
                ..BackendFaults::default()
            },
        ),
    ] {
        for server in all {
            system.set_server(server, faults).await;
        }
        for number in 0..5 {
            let key = common::new_key(&format!("{name}-{number}"));
            let result = caller
                .send_to(
                    entry,
                    &release_request(&format!("{name}-{number}"), &key, 1),
                )
                .await;
            assert!(!result.whole, "{name}: {result:?}");
            assert_ne!(
                result.outcome,
                Some(RequestOutcome::NotRun),
                "{name}: it was run"
            );
            if ["mix-up", "other-coding"].contains(&name) {
                let outcome = result.outcome;
                assert_eq!(outcome, Some(RequestOutcome::Unknown), "{name}: dropped");
            }
            let result = caller
                .send_to(
                    entry,
                    &read_request(&format!("{name}-read-{number}"), 1, 300_000),
                )
                .await;
            assert!(!result.whole, "{name}: {result:?}");
        }
    }
    for server in all {
        system.set_server(server, BackendFaults::default()).await;
    }
    common::until("the servers are trusted again", || async {
        let mut caller = CallerClient::with_entries(vec![entry]);
        let result = caller
            .send_to(entry, &read_request("healthy-again", 1, 300_000))
            .await;
        result.whole
    })
    .await;
}
