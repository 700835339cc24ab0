//! Broken answers of other hosts, as read by the client that all exchanges between hosts use. One that
//! is believed holds bytes that the other host did not send as a body.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ledgespool::http_client::{self, ExchangeFault, SmallAnswer};
use ledgespool::request_body::RequestBody;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A host that answers each request with `text` and keeps the connection open.
fn start_host(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            while stream.read(&mut [0_u8; 4096]).is_ok_and(|read| read > 0) {
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    address
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(work)
}

fn request() -> http::Request<RequestBody> {
    http::Request::get("/")
        .header(http::header::HOST, "peer")
        .body(RequestBody::default())
        .expect("a request")
}

/// Asserts that an answer with this text is none, and that this is known before the timeout.
fn assert_no_answer(text: &'static str) {
    let began = std::time::Instant::now();
    let answered = run(http_client::exchange(
        start_host(text),
        request(),
        TIMEOUT,
        1 << 20,
    ));
    assert_eq!(answered, Err(ExchangeFault::Lost), "{text:?}");
    assert!(began.elapsed() < TIMEOUT, "{text:?}");
}

#[test]
fn an_unknown_coding_is_known_at_once() {
    assert_no_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    assert_no_answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    );
}

#[test]
fn a_length_beside_chunks_is_no_answer() {
    assert_no_answer(
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    );
}

#[test]
fn a_line_without_carriage_return_is_no_answer() {
    assert_no_answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\n\nY: b\r\n\r\nab");
    assert_no_answer("HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nab");
}

/// Bodies are not searched, nor is the line end of one head taken for that of the next.
#[test]
fn a_connection_carries_several_answers_with_line_feeds_in_their_bodies() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\na\n\nb\r\n\r\n";
    let answers: Vec<SmallAnswer> = run(async {
        let mut sender = http_client::connect(start_host(text), TIMEOUT)
            .await
            .expect("a connection");
        let mut answers = Vec::new();
        for _ in 0..3 {
            let answer = http_client::read_answer(&mut sender, request(), 1 << 20).await;
            answers.push(answer.expect("an answer"));
        }
        answers
    });
    assert!(
        answers
            .iter()
            .all(|answer| &*answer.body == b"a\n\nb\r\n\r\n")
    );
}
