//! A stand-in for a backend. What a request asks of it stands in the query of its path:
//! `work` (milliseconds until the answer begins), `bytes` (size of the answer), `first` (bytes that
//! are sent at once) and `pace` (bytes in each further tenth of a second).

use std::collections::BTreeMap;
use std::io::Read as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment;
use crate::http::{Connection, Message};
use crate::json::Json;

/// The pause between two pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: u32,
    log: Arc<dyn Fn(String) + Send + Sync>,
    /// The address of a machine whose connections are reset.
    cut_off: Arc<Mutex<Option<IpAddr>>>,
    work: Arc<(Mutex<Load>, Condvar)>,
}

/// Requests that run and that wait.
#[derive(Debug, Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// Requests that wait at a backend, at most: `queue` in the site file.
const QUEUE: u32 = 9;

impl Backend {
    pub fn start(
        ip: Ipv4Addr,
        (id, zone): (&str, &str),
        slots: u32,
        log: Arc<dyn Fn(String) + Send + Sync>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let backend = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("its address"),
            slots,
            log,
            cut_off: Arc::default(),
            work: Arc::default(),
        };
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let backend = serving.clone();
                thread::spawn(move || backend.serve(Connection::of(stream)));
            }
        });
        backend
    }

    /// What the backend writes to the store about itself.
    pub fn entry(&self, state: &str, sequence: u64) -> Json {
        deployment::entry(self.address, &self.zone, self.slots, state, sequence)
    }

    /// Partitions the backend from the machine with this address.
    pub fn cut_off(&self, machine: IpAddr) {
        *self.cut_off.lock().expect("no writer panicked") = Some(machine);
    }

    fn serve(&self, mut connection: Connection) {
        let peer = connection
            .stream()
            .peer_addr()
            .map(|address| address.ip())
            .ok();
        let is_cut_off =
            || peer.is_some() && *self.cut_off.lock().expect("no writer panicked") == peer;
        if is_cut_off() {
            return;
        }
        while let Ok(Some(mut request)) = connection.read_head() {
            if is_cut_off() {
                return;
            }
            connection.read_body(&mut request);
            if !request.whole || self.answer(&mut connection, &request).is_none() {
                return;
            }
        }
    }

    /// Answers one request; `None` if the connection ends.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Option<()> {
        if request.word(1).starts_with("/health") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.load_text()
            );
            return connection.write(head.as_bytes()).ok();
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        let arrived = Instant::now();
        (self.log)(format!("{} is reached by {id}", self.id));
        let is_meant = request
            .header("target-instance")
            .is_none_or(|target| target == self.id);
        if !is_meant {
            (self.log)(format!(
                "{} turns {id} away: another instance is meant",
                self.id
            ));
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return connection.write(head.as_bytes()).ok();
        }
        let deadline = request.header("request-deadline");
        let deadline = deadline
            .and_then(|text| text.parse().ok())
            .unwrap_or(60_000);
        let deadline = arrived + Duration::from_millis(deadline);
        if !self.take_slot(deadline) {
            (self.log)(format!("{} turns {id} away: it is full", self.id));
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.load_text()
            );
            return connection.write(head.as_bytes()).ok();
        }
        let answered = self.run(connection, request, &id, deadline);
        self.free_slot();
        answered
    }

    /// Waits for a slot; false if the queue is full or the deadline passes in it.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.work.0.lock().expect("no worker panicked");
        if load.running >= self.slots && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.slots && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let waited = self.work.1.wait_timeout(load, left);
            load = waited.expect("no worker panicked").0;
        }
        load.waiting -= 1;
        let has_slot = load.running < self.slots;
        load.running += u32::from(has_slot);
        has_slot
    }

    fn free_slot(&self) {
        self.work.0.lock().expect("no worker panicked").running -= 1;
        self.work.1.notify_one();
    }

    fn load_text(&self) -> String {
        let load = self.work.0.lock().expect("no worker panicked");
        format!("{},{},{}", load.running, load.waiting, self.slots)
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        deadline: Instant,
    ) -> Option<()> {
        if has_left(connection) {
            return None;
        }
        let length = request.body.len();
        let peer = connection.stream().peer_addr();
        let peer = peer.map_or_else(|_| "?".to_owned(), |address| address.ip().to_string());
        (self.log)(format!(
            "{} runs {id} from {peer} (body of {length} bytes)",
            self.id
        ));
        let sent = self.send_answer(connection, request, id, deadline);
        if sent.is_none() {
            (self.log)(format!("{} could not answer {id} to the end", self.id));
            return None;
        }
        (self.log)(format!("{} has answered {id}", self.id));
        Some(())
    }

    fn send_answer(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        deadline: Instant,
    ) -> Option<()> {
        let wish = Wish::of(request.word(1));
        let until = arrived_plus(wish.work_ms).min(deadline);
        while Instant::now() < until {
            if has_left(connection) {
                return None;
            }
            thread::sleep(
                until
                    .saturating_duration_since(Instant::now())
                    .min(PIECE_PAUSE),
            );
        }
        if Instant::now() >= deadline {
            let head = format!(
                "HTTP/1.1 504 Gateway Timeout\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(head.as_bytes()).ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig-{}-{id}\r\nServer-Load: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            self.id,
            self.load_text(),
            wish.bytes
        );
        connection.write(head.as_bytes()).ok()?;
        let mut sent = wish.first.min(wish.bytes);
        connection.write(&body_of(id, 0..sent)).ok()?;
        while sent < wish.bytes {
            thread::sleep(PIECE_PAUSE);
            // A backend stops working at the deadline that it was handed.
            if Instant::now() >= deadline {
                return None;
            }
            let next = (sent + wish.pace).min(wish.bytes);
            connection.write(&body_of(id, sent..next)).ok()?;
            sent = next;
        }
        Some(())
    }
}

fn arrived_plus(work_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(work_ms)
}

/// The bytes of an answer, which differ from request to request.
pub fn body_of(id: &str, range: std::ops::Range<usize>) -> Vec<u8> {
    let pattern = id.as_bytes();
    let byte = |place: usize| pattern.get(place % (pattern.len() + 1)).copied();
    range.map(|place| byte(place).unwrap_or(b'.')).collect()
}

fn has_left(connection: &Connection) -> bool {
    let mut byte = [0];
    let stream = connection.stream();
    let _set = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _set = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
        || peeked.is_err_and(|fault| fault.kind() != std::io::ErrorKind::WouldBlock)
}

struct Wish {
    work_ms: u64,
    bytes: usize,
    first: usize,
    pace: usize,
}

impl Wish {
    fn of(path: &str) -> Self {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let values: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let number = |name: &str, other: usize| {
            let value = values.get(name).and_then(|text| text.parse().ok());
            value.unwrap_or(other)
        };
        let bytes = number("bytes", 200);
        Self {
            work_ms: number("work", 20) as u64,
            bytes,
            first: number("first", bytes),
            pace: number("pace", bytes),
        }
    }
}

/// The time of day, which the processes of a case share.
pub fn unix_micros() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_micros())
}

/// Runs one backend as a process of its own: writes its address, then what happens, to standard
/// output, and ends when standard input does.
pub fn run_process(ip: Ipv4Addr, names: (&str, &str), slots: u32) {
    let log = Arc::new(|text: String| println!("{} {text}", unix_micros()));
    let backend = Backend::start(ip, names, slots, log);
    println!("address {}", backend.address);
    let _end = std::io::stdin().read_to_end(&mut Vec::new());
}
