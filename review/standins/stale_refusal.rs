//! A backend turns a request away, and the host sends it again to the same backend, which has free
//! slots. A second copy of the refusal arrives late, in the place of the answer that is due.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::backend::{Arrival, Backend, Work};
use crate::client::{self, Client, Reply, Request};
use crate::deployment::{self, Folder, Route, Service, TABLA_PIATRA};
use crate::http::{self, Head};
use crate::record::Record;
use crate::store::Store;

/// The service that records moves in `tabla-piatra`. A move takes 480 ms there, and less where the
/// backend has seen its object lately.
const SERVICE: &str = "mutare";
const SERVICES: [Service; 1] = [(SERVICE, "9.9")];
const WORK: Duration = Duration::from_millis(200);
const SLOTS: u32 = 4;
const BACKENDS: usize = 15;
/// Two backends of fifteen turn nine of each twenty requests away, although they have free slots:
/// 45 in 100.
const SHED: u64 = 9;
const SHED_OF: u64 = 20;
const SHEDDING: usize = 2;
/// Nine backends of fifteen send second copies, the shedding ones among them.
const GARBLING: usize = 9;
/// A faulty backend sends a second copy of one in so many answers: less than 3 in 100.
const ANSWERS_PER_SURPLUS: u64 = 34;
/// How late a surplus answer is.
const LATE: Duration = Duration::from_millis(20);
/// How long the backends are faulty at a time, and how long they are sound in between.
const FAULTY: Duration = Duration::from_millis(5_000);
const SOUND: Duration = Duration::from_millis(1_500);
const WINDOWS: u32 = 13;
const CLIENTS: u64 = 48;
/// The objects that the requests are about.
const OBJECTS: u64 = 240;

/// What the connections of one backend share.
#[derive(Default)]
struct Shared {
    arrivals: AtomicU64,
    answers: AtomicU64,
    surplus: AtomicU64,
}

impl Shared {
    /// Whether a shedding backend turns the next request away.
    fn sheds_next(&self) -> bool {
        let number = self.arrivals.fetch_add(1, Ordering::Relaxed);
        let (block, place) = (number / SHED_OF, number % SHED_OF);
        // Seven and twenty have no common factor, so each block has its nine.
        (place * 7 + mix(block)) % SHED_OF < SHED
    }
}

struct Recorder {
    shared: Arc<Shared>,
    sheds: bool,
    garbles: bool,
    /// Whether the backends are faulty now.
    trouble: Arc<AtomicBool>,
    /// A second copy of the last answer, and when it is sent.
    surplus: Option<(Instant, String, String)>,
}

impl Recorder {
    fn answer(
        &mut self,
        arrival: &Arrival<'_>,
        text: String,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        stream.write_all(text.as_bytes())?;
        if self.garbles && self.trouble.load(Ordering::Relaxed) {
            let number = self.shared.answers.fetch_add(1, Ordering::Relaxed);
            let (block, place) = (number / ANSWERS_PER_SURPLUS, number % ANSWERS_PER_SURPLUS);
            if place == mix(block) % ANSWERS_PER_SURPLUS {
                self.shared.surplus.fetch_add(1, Ordering::Relaxed);
                self.surplus = Some((Instant::now() + LATE, text, arrival.id().to_owned()));
            }
        }
        Ok(())
    }

    fn send_surplus(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let Some((at, text, _id)) = self.surplus.take() else {
            return Ok(());
        };
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        stream.write_all(text.as_bytes())
    }
}

impl Work for Recorder {
    fn handle(&mut self, arrival: &Arrival<'_>, stream: &mut TcpStream) -> io::Result<bool> {
        let backend = arrival.backend;
        // The surplus answer to the last request is due before this one's.
        if let Some((_, text, id)) = &self.surplus {
            let status = text.split(' ').nth(1).unwrap_or("").to_owned();
            backend.record.note(&format!(
                "backend {} sends a second {status} to {id} where the answer to {} is due",
                backend.id,
                arrival.id()
            ));
        }
        if self.sheds && self.trouble.load(Ordering::Relaxed) && self.shared.sheds_next() {
            self.send_surplus(stream)?;
            backend.record.note(&format!(
                "backend {} turns {} away",
                backend.id,
                arrival.id()
            ));
            let refusal = arrival.refusal("503 Service Unavailable");
            self.answer(arrival, refusal, stream)?;
            return Ok(true);
        }
        let Some(running) = arrival.run(stream)? else {
            return Ok(true);
        };
        let began = Instant::now();
        self.send_surplus(stream)?;
        let answer = match arrival.work(WORK.saturating_sub(began.elapsed())) {
            true => arrival.signed_answer("recorded"),
            false => arrival.deadline_answer(),
        };
        drop(running);
        self.answer(arrival, answer, stream)?;
        Ok(true)
    }

    fn next_head(
        &mut self,
        reader: &mut BufReader<TcpStream>,
        stream: &mut TcpStream,
    ) -> io::Result<Option<Head>> {
        if let Some((at, _, _)) = &self.surplus {
            let left = at
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1));
            reader.get_ref().set_read_timeout(Some(left))?;
            let waited = std::io::BufRead::fill_buf(reader).map(|_bytes| ());
            let idle = Duration::from_secs(crate::backend::IDLE_S);
            reader.get_ref().set_read_timeout(Some(idle))?;
            match waited {
                Ok(()) => {}
                // Nothing came before it was due: it arrives on an idle connection.
                Err(fault) if client::is_timeout(&fault) => self.send_surplus(stream)?,
                Err(fault) => return Err(fault),
            }
        }
        http::read_head(reader)
    }
}

/// Spreads consecutive numbers evenly.
const fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    mixed >> 33
}

/// Returns whether the rule held.
pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let folder = Folder::create().map_err(|fault| fault.to_string())?;
    let store = Store::start(deployment::listen(deployment::next_ip()));
    let routes = [Route {
        prefix: "/move/",
        kind: "mutating",
        service: SERVICE,
        timeout_ms: 2_500,
        goal_ms: 400,
    }];
    store.put(
        "config",
        "main",
        deployment::configuration(2, &SERVICES, &routes),
    );
    let is_trouble = Arc::new(AtomicBool::new(false));
    let ip = deployment::next_ip();
    let mut shared = Vec::new();
    let zones = ["timis-a", "arad-b"];
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|number| {
            let of_backend = Arc::new(Shared::default());
            // Each backend begins elsewhere in the sequence of its surplus answers.
            let first = 1_000 * ANSWERS_PER_SURPLUS * number as u64;
            of_backend.answers.store(first, Ordering::Relaxed);
            shared.push(Arc::clone(&of_backend));
            let trouble = Arc::clone(&is_trouble);
            let work = move || Recorder {
                shared: Arc::clone(&of_backend),
                sheds: number < SHEDDING,
                garbles: number < GARBLING,
                trouble: Arc::clone(&trouble),
                surplus: None,
            };
            let place = (SERVICE, zones[number % 2], SLOTS);
            Backend::start(
                &format!("i-mutare-{number}"),
                place,
                (ip, &store, record),
                work,
            )
        })
        .collect();
    let count = backends.len() as u64;
    let hosts =
        deployment::start_hosts(&TABLA_PIATRA, &zones, store.address, count, &folder, record)?;
    let end = Instant::now() + (FAULTY + SOUND) * WINDOWS;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let host = hosts[(number % hosts.len() as u64) as usize]
                .machine
                .callers;
            let record = record.clone();
            std::thread::spawn(move || move_until(end, host, number, &record))
        })
        .collect();
    for window in 1..=WINDOWS {
        std::thread::sleep(SOUND);
        if trouble {
            record.note(&format!(
                "span {window}: {SHEDDING} of {BACKENDS} backends shed, {GARBLING} send second copies"
            ));
            is_trouble.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(FAULTY);
        is_trouble.store(false, Ordering::Relaxed);
    }
    let replies: Vec<(String, u16)> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a sound client"))
        .collect();
    // A backend may still be at work on the last requests.
    std::thread::sleep(Duration::from_secs(1));
    let count = |is_counted: &dyn Fn(u16) -> bool| {
        replies
            .iter()
            .filter(|(_, status)| is_counted(*status))
            .count()
    };
    let mut broken = 0;
    for (id, status) in &replies {
        let runs: usize = backends.iter().map(|backend| backend.runs(id)).sum();
        let promises_not_run = matches!(status, 408 | 421 | 429 | 503);
        if promises_not_run && runs > 0 {
            broken += 1;
            record.note(&format!(
                "BROKEN REFUSED: {id} was answered {status} and ran {runs} times"
            ));
        }
        if runs > 1 {
            broken += 1;
            record.note(&format!("BROKEN TWICE: {id} ran {runs} times"));
        }
    }
    let surplus: u64 = shared
        .iter()
        .map(|shared| shared.surplus.load(Ordering::Relaxed))
        .sum();
    record.note(&format!(
        "requests {}, answered 200 {}, answered 503 or 429 {}, answered 502 {}, surplus answers {surplus}, broken {broken}",
        replies.len(),
        count(&|status| status == 200),
        count(&|status| status == 503 || status == 429),
        count(&|status| status == 502),
    ));
    Ok(broken == 0)
}

fn move_until(
    end: Instant,
    host: std::net::SocketAddr,
    client: u64,
    record: &Record,
) -> Vec<(String, u16)> {
    let mut connection = Client::of(host);
    let mut replies = Vec::new();
    let mut number = 0_u64;
    while Instant::now() < end {
        number += 1;
        let id = format!("c{client:02}-{number:04}");
        let request = Request {
            method: "POST",
            path: "/move/commit",
            id: &id,
            object: mix(client * 1_000 + number) % OBJECTS,
            deadline_ms: 2_500,
            body_bytes: 1_200,
        };
        let reply = connection.send(&request);
        let (status, text) = match &reply {
            Ok(reply @ Reply::Whole(head, _)) => (head.status(), reply.text()),
            Ok(reply) => (0, reply.text()),
            Err(fault) => (0, fault.to_string()),
        };
        record.note(&format!("client {client} sent {id} and got {text}"));
        replies.push((id, status));
        std::thread::sleep(Duration::from_millis(60));
    }
    replies
}
