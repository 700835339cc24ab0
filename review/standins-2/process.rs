//! Processes that a case starts: the project's own program and backends. Each is ended by its id.

use std::fs;
use std::io::{BufRead as _, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

/// The ids of all processes that run, for the watchdog.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends everything and exits with 2 if a case takes too long.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in RUNNING.lock().expect("no writer panicked").iter() {
            signal(*id, "KILL");
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

fn signal(id: u32, name: &str) {
    let command = format!("kill -{name} {id}");
    let _status = Command::new("sh").args(["-c", &command]).status();
}

/// A started process, which is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(command: &mut Command) -> Self {
        let child = command.spawn().expect("the program starts");
        let mut running = RUNNING.lock().expect("no writer panicked");
        running.push(child.id());
        Self { child }
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
        let id = self.child.id();
        let mut running = RUNNING.lock().expect("no writer panicked");
        running.retain(|other| *other != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses and places of one host.
#[derive(Debug, Clone)]
pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub heartbeat_port: u16,
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    /// `drain` and `config`, which are equal in the deployments.
    pub leave_ms: u64,
    /// The address from which the host connects to backends: that of its machine.
    pub source: Option<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
}

/// The zones of the deployments, with their regions.
pub const ZONES: [(&str, &str); 4] = [
    ("east-1", "east"),
    ("east-2", "east"),
    ("north-1", "north"),
    ("west-1", "west"),
];

impl HostPlan {
    pub fn new(
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        heartbeat_port: u16,
        store: SocketAddr,
    ) -> Self {
        let control = free_port(ip);
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: free_port(ip),
            ready: free_port(ip),
            directory: free_port(ip),
            control,
            heartbeat_port,
            seeds: vec![control],
            store,
            leave_ms: 2_000,
            source: None,
            is_first_start: true,
        }
    }

    /// The settings as the platform fills in the template of the deploy file, with the bounds of the
    /// deployment hvhr-ledge unless `leave_ms` says otherwise.
    fn settings(&self) -> String {
        let region = ZONES.iter().find(|(zone, _)| *zone == self.zone);
        let halls: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("{{ \"name\": \"{zone}\", \"region\": \"{region}\" }}"))
            .collect();
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let source = self.source.map_or_else(String::new, |source| {
            format!("\"server_source_address\": \"{source}\", ")
        });
        format!(
            r#"{{
  "name": "{}",
  "hall": "{}",
  "region": "{}",
  "halls": [{}],
  "caller_address": "{}",
  "readiness_address": "{}",
  "lookup_address": "{}",
  "peer_address": "{}",
  "heartbeat_port": {},
  "seeds": [{}],
  "first_start": {},
  "store_address": "{}",
  "memory_mb": 260,
  "descriptors": 4100,
  "processor_share": 0.2,
  "link_mbps": 1000.0,
  "stop_grace": "6s",
  {}"leave_time": "{}ms",
  "configuration_time": "{}ms",
  "evacuation_time": "5000ms",
  "time_to_live_max": "5s",
  "retry_ratio": 0.2,
  "retry_window": "10s",
  "retry_slack": 58,
  "urgency": true,
  "cold_factor": 1.5,
  "cold_slack": 5,
  "load_exchange_min_hosts": 24,
  "hall_homes_min_hosts": 8
}}
"#,
            self.name,
            self.zone,
            region.map_or("", |(_, region)| region),
            halls.join(", "),
            self.front,
            self.ready,
            self.directory,
            self.control,
            self.heartbeat_port,
            seeds.join(", "),
            self.is_first_start,
            self.store,
            source,
            self.leave_ms,
            self.leave_ms,
        )
    }
}

/// An entry host as a process, started with the command of the deploy file.
pub struct Host {
    pub plan: HostPlan,
    pub process: Process,
    directory: PathBuf,
}

impl Host {
    pub fn start(plan: &HostPlan, directory: &Path) -> Self {
        let directory = directory.join(&plan.name);
        fs::create_dir_all(&directory).expect("a temporary folder");
        let file = directory.join("settings.jsonc");
        fs::write(&file, plan.settings()).expect("a settings file");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(directory.join("log.txt"))
            .expect("a log file");
        let mut command = Command::new("target/release/ledgespool-entry");
        command
            .env_clear()
            .env("LEDGESPOOL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the same file"))
            .stdout(log);
        Self {
            plan: plan.clone(),
            process: Process::start(&mut command),
            directory,
        }
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        wait_for("a host is ready", Duration::from_secs(40), || {
            client::get(self.plan.ready, "/-/ready").is_some_and(|answer| answer.status() == 200)
        })
    }

    /// Lines of the host's own log that contain `text`, for the record.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.directory.join("log.txt")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

/// A backend as a process of its own.
pub struct BackendProcess {
    pub process: Process,
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl BackendProcess {
    pub fn start(ip: Ipv4Addr, (id, zone): (&str, &str), slots: u32, record: &Record) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        command
            .args(["backend", &ip.to_string(), id, zone, &slots.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = Process::start(&mut command);
        let output = process.child.stdout.take().expect("its output");
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let first = lines.next().expect("its first line");
        let address = first
            .strip_prefix("address ")
            .and_then(|text| text.parse().ok());
        let record = record.clone();
        let seen: Arc<Mutex<Vec<(u128, String)>>> = Arc::default();
        let known = Arc::clone(&seen);
        thread::spawn(move || {
            for line in lines {
                let Some((at, text)) = line.split_once(' ') else {
                    continue;
                };
                record.line(text);
                let at = at.parse().unwrap_or(0);
                let mut known = known.lock().expect("no reader panicked");
                known.push((at, text.to_owned()));
            }
        });
        Self {
            process,
            address: address.expect("its address"),
            lines: seen,
        }
    }

    /// How many requests have reached it after this time of day, by its own account.
    pub fn reached_since(&self, from: u128) -> usize {
        let lines = self.lines.lock().expect("no writer panicked");
        let reached = lines
            .iter()
            .filter(|(at, line)| *at > from && line.contains(" is reached by "));
        reached.count()
    }
}

/// Waits until `is_met` holds.
pub fn wait_for(
    what: &str,
    limit: Duration,
    mut is_met: impl FnMut() -> bool,
) -> Result<(), String> {
    let until = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= until {
            return Err(format!("it did not come about that {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// The next port to try, below the range from which the kernel takes ports of its own.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 10_000;

fn next_port() -> u16 {
    let own = (std::process::id() % u32::from(PORTS / 40)) as u16 * 40;
    let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    FIRST_PORT + own.wrapping_add(number) % PORTS
}

/// A TCP address that is free; no two calls return the same port.
pub fn free_port(ip: Ipv4Addr) -> SocketAddr {
    loop {
        let address = SocketAddr::from((ip, next_port()));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A UDP port that is free on all addresses.
pub fn free_udp_port(ips: &[Ipv4Addr]) -> u16 {
    loop {
        let port = next_port();
        if ips.iter().all(|ip| UdpSocket::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
}
