//! A stand-in for a backend server. It follows the users' pages: it reads one request at a time on
//! each connection, turns away requests for another instance, and carries the request's id and its
//! signature in its answers. It works on as many requests at a time as it has slots, queues a few more
//! and turns further ones away, and stops at the deadline that it is handed. What it does with a
//! request is for the case to say.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::deployment;
use crate::http::{self, Head};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// How long an idle connection stays open; its answers say so.
pub const IDLE_S: u64 = 10;
/// Requests that a backend queues for each of its slots, as in the site files.
const QUEUED_PER_SLOT: u32 = 3;

/// One incarnation of a backend.
#[derive(Debug)]
pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub address: SocketAddr,
    pub record: Record,
    load: Mutex<Load>,
    slot_freed: Condvar,
    ran: Mutex<Vec<String>>,
}

/// The requests at a backend.
#[derive(Debug, Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// A request at a backend.
pub struct Arrival<'a> {
    pub backend: &'a Backend,
    pub head: Head,
    /// When the backend stops working on it.
    pub deadline: Option<Instant>,
}

/// What a backend does with the requests of one connection.
pub trait Work {
    /// Handles a request; returns whether the connection stays open.
    fn handle(&mut self, arrival: &Arrival<'_>, stream: &mut TcpStream) -> io::Result<bool>;

    /// Reads the next head; `None` at the end of the connection.
    fn next_head(
        &mut self,
        reader: &mut BufReader<TcpStream>,
        _stream: &mut TcpStream,
    ) -> io::Result<Option<Head>> {
        http::read_head(reader)
    }
}

impl Arrival<'_> {
    pub fn id(&self) -> &str {
        self.head.header("request-id").unwrap_or("")
    }

    /// The head of an answer to this request.
    pub fn answer_head(&self, status: &str, lines: &str, length: usize) -> String {
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {}\r\n{lines}Server-Load: {}\r\n\
             Keep-Alive: timeout={IDLE_S}\r\nContent-Length: {length}\r\n\r\n",
            self.id(),
            self.backend.load(),
        )
    }

    /// A whole, signed answer.
    pub fn signed_answer(&self, body: &str) -> String {
        let lines = format!("Response-Signature: 3e1b.{}\r\n", self.backend.id);
        self.answer_head("200 OK", &lines, body.len()) + body
    }

    /// A refusal that says that the request did not run.
    pub fn refusal(&self, status: &str) -> String {
        self.answer_head(status, "Not-Executed: 1\r\n", 0)
    }

    /// Begins to run the request once a slot is free; `None` if it was turned away or its connection
    /// has ended meanwhile, which is all that the backend does for it.
    pub fn run(&self, stream: &mut TcpStream) -> io::Result<Option<Running<'_>>> {
        let backend = self.backend;
        let has_slot = backend.wait_for_slot(self.deadline);
        if !has_slot {
            let refusal = self.refusal("503 Service Unavailable");
            stream.write_all(refusal.as_bytes())?;
            backend
                .record
                .note(&format!("backend {} is full for {}", backend.id, self.id()));
            return Ok(None);
        }
        let running = Running(backend);
        if has_ended(stream)? {
            return Ok(None);
        }
        let mut ran = backend.ran.lock().expect("a sound lock");
        ran.push(self.id().to_owned());
        drop(ran);
        backend
            .record
            .note(&format!("backend {} runs {}", backend.id, self.id()));
        Ok(Some(running))
    }

    /// Works for so long, or until the deadline; returns whether the work was done.
    pub fn work(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let stop = self.deadline.map_or(end, |deadline| deadline.min(end));
        std::thread::sleep(stop.saturating_duration_since(Instant::now()));
        stop == end
    }

    /// The answer of a backend that has stopped at the deadline.
    pub fn deadline_answer(&self) -> String {
        let lines = format!("Response-Signature: 3e1b.{}\r\n", self.backend.id);
        self.answer_head("504 Gateway Timeout", &lines, 0)
    }
}

/// Whether the other side has closed the connection.
fn has_ended(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(count) => count == 0,
        Err(fault) => fault.kind() != io::ErrorKind::WouldBlock,
    })
}

/// A request that a backend works on.
pub struct Running<'a>(&'a Backend);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.load.lock().expect("a sound lock").running -= 1;
        self.0.slot_freed.notify_one();
    }
}

impl Backend {
    /// Starts a backend that writes its entry to the store. `work` makes the handler of each
    /// connection.
    pub fn start<W: Work + Send + 'static>(
        id: &str,
        (service, zone, slots): (&'static str, &'static str, u32),
        (ip, store, record): (Ipv4Addr, &Store, &Record),
        work: impl Fn() -> W + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = deployment::listen(ip);
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            slots,
            address: listener.local_addr().expect("a bound address"),
            record: record.clone(),
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            ran: Mutex::default(),
        });
        store.put("servers", id, backend.entry("ready"));
        let serving = Arc::clone(&backend);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (backend, mut work) = (Arc::clone(&serving), work());
                std::thread::spawn(move || {
                    // The end of a connection needs no handling.
                    let _ended = backend.serve(stream, &mut work);
                });
            }
        });
        backend
    }

    /// The backend's entry in the store.
    pub fn entry(&self, state: &str) -> Json {
        let info = Json::object([
            ("service", Json::text(self.service)),
            ("version", Json::text("v1")),
            ("zone", Json::text(self.zone)),
            ("slots", Json::number(u64::from(self.slots))),
        ]);
        let status = Json::object([
            ("state", Json::text(state)),
            ("seq", Json::number(1)),
            ("cold", Json::text("0ms")),
        ]);
        Json::object([
            ("address", Json::text(&self.address.to_string())),
            ("born", Json::number(1_790_000_000_000)),
            ("info", info),
            ("status", status),
        ])
    }

    fn load(&self) -> String {
        let load = self.load.lock().expect("a sound lock");
        format!("{},{},{}", load.running, load.waiting, self.slots)
    }

    /// Waits for a free slot; returns false if too many wait or the deadline passes before.
    fn wait_for_slot(&self, deadline: Option<Instant>) -> bool {
        let mut load = self.load.lock().expect("a sound lock");
        if load.running >= self.slots && load.waiting >= self.slots * QUEUED_PER_SLOT {
            return false;
        }
        load.waiting += 1;
        let longest = Duration::from_secs(60);
        while load.running >= self.slots {
            let left = deadline.map_or(longest, |deadline| {
                deadline.saturating_duration_since(Instant::now())
            });
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = self
                .slot_freed
                .wait_timeout(load, left)
                .expect("a sound lock")
                .0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    /// How often it ran the request with this id.
    pub fn runs(&self, id: &str) -> usize {
        self.ran
            .lock()
            .expect("a sound lock")
            .iter()
            .filter(|ran| *ran == id)
            .count()
    }

    fn serve(&self, stream: TcpStream, work: &mut impl Work) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(IDLE_S)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = work.next_head(&mut reader, &mut writer)? {
            http::read_body(&mut reader, &head, |_bytes| {})?;
            let left = head.number("request-deadline").map(Duration::from_millis);
            let arrival = Arrival {
                backend: self,
                deadline: left.map(|left| Instant::now() + left),
                head,
            };
            let target = arrival.head.header("target-instance");
            if target.is_some_and(|target| target != self.id) {
                let lines = format!("Not-Executed: 1\r\nInstance-Id: {}\r\n", self.id);
                let answer = arrival.answer_head("421 Misdirected Request", &lines, 0);
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            if arrival.head.word(1) == "/health" {
                let lines = format!("Instance-Id: {}\r\n", self.id);
                writer.write_all(arrival.answer_head("200 OK", &lines, 0).as_bytes())?;
                continue;
            }
            if !work.handle(&arrival, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }
}
