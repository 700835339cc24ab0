//! Stand-ins for the systems around ledgespool, and load generators.
//!
//! They are used by tests, benches and the demonstration. They are small, implement the published
//! protocols and can inject faults.

pub mod backend;
pub mod caller;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod repeat;

use std::convert::Infallible;
use std::{net, thread};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use tokio::sync::watch;

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 8 << 20;

type SmallBody = Full<Bytes>;

/// A stand-in that runs on a thread of this process.
#[derive(Debug)]
pub struct RunningStandin {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    thread: thread::JoinHandle<()>,
}

impl RunningStandin {
    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops it and waits for its thread.
    pub fn stop(self) {
        // Sending fails if the stand-in has already stopped: then no receiver is left.
        let _gone = self.stop.send(true);
        let _outcome = self.thread.join();
    }

    /// Waits until its thread ends.
    pub fn join(self) {
        let _outcome = self.thread.join();
    }
}

/// Binds a listener and runs `serve` on a new thread.
fn spawn<F, S>(name: &str, address: net::SocketAddr, serve: S) -> std::io::Result<RunningStandin>
where
    S: FnOnce(tokio::net::TcpListener, watch::Receiver<bool>) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = {
        let _guard = runtime.enter();
        crate::listener::bind(address)?
    };
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                    let mut stopping = stopped.clone();
                    tokio::select! {
                        () = serve(listener, stopped) => {}
                        _changed = stopping.changed() => {}
                    }
                }
            });
            runtime.shutdown_background();
        })?;
    Ok(RunningStandin {
        address,
        stop,
        thread,
    })
}

async fn read_body(body: Incoming) -> Option<Bytes> {
    Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes)
}

fn empty_response(status: http::StatusCode) -> http::Response<SmallBody> {
    let mut response = http::Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn json_response<T: serde::Serialize>(value: &T) -> http::Response<SmallBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => http::Response::new(Full::from(bytes)),
        Err(_fault) => empty_response(http::StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn query_number(uri: &http::Uri, name: &str) -> Option<u64> {
    let pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}

/// Converts the error of a body that cannot fail.
const fn never(never: Infallible) -> std::io::Error {
    match never {}
}
