//! A small deployment: the settings of its hosts, the operator's configuration, and the hosts as
//! processes started with the command of the deploy file.

use std::ffi::{c_int, c_ulong};
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// What the settings of a host take from its deployment.
#[derive(Debug)]
pub struct Site {
    /// The zones, with their regions.
    pub zones: [(&'static str, &'static str); 6],
    retry_slack: u32,
    leave_ms: u32,
}

pub const PKD_CI: Site = Site {
    zones: [
        ("perth-east", "perth"),
        ("perth-west", "perth"),
        ("bunbury-north", "bunbury"),
        ("bunbury-south", "bunbury"),
        ("kal-main", "kalgoorlie"),
        ("kal-annex", "kalgoorlie"),
    ],
    retry_slack: 58,
    leave_ms: 2_500,
};

pub const HVHR_LEDGE: Site = Site {
    zones: [
        ("koshi-dhankuta", "koshi"),
        ("koshi-ilam", "koshi"),
        ("gandaki-pokhara", "gandaki"),
        ("gandaki-syangja", "gandaki"),
        ("karnali-surkhet", "karnali"),
        ("karnali-jumla", "karnali"),
    ],
    retry_slack: 58,
    leave_ms: 2_000,
};

pub const TABLA_PIATRA: Site = Site {
    zones: [
        ("timis-a", "ro-vest"),
        ("arad-b", "ro-vest"),
        ("iasi-a", "ro-est"),
        ("suceava-b", "ro-est"),
        ("craiova-a", "ro-sud"),
        ("pitesti-b", "ro-sud"),
    ],
    retry_slack: 64,
    leave_ms: 2_500,
};

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback addresses that no other case uses at the same time.
pub fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x20, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

fn next_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 11_000 + (std::process::id() % 9_000) as u16;
    first + NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A listener on a free port.
pub fn listen(ip: Ipv4Addr) -> TcpListener {
    (0..1_000)
        .find_map(|_| TcpListener::bind((ip, next_port())).ok())
        .expect("a free port")
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    listen(ip).local_addr().expect("a bound address")
}

/// A UDP port that is free on all of `ips`.
pub fn free_udp_port(ips: &[Ipv4Addr]) -> u16 {
    let mut ports = (0..1_000).map(|_| next_port());
    let is_free = |port: &u16| ips.iter().all(|ip| UdpSocket::bind((*ip, *port)).is_ok());
    ports.find(is_free).expect("a free port")
}

/// What the operator configures for one route.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
}

/// A service's name, and the requests a second that a cold backend of it bears.
pub type Service = (&'static str, &'static str);

/// The host name of all routes.
pub const HOST_NAME: &str = "ficu95.example";

/// The operator's configuration, in the form of `config/main`.
pub fn configuration(version: u32, services: &[Service], routes: &[Route]) -> Json {
    let list = |items: Vec<Json>| Json::List(items);
    // As in the pages' example; `ATTEMPTS` sets another number.
    let attempts = std::env::var("ATTEMPTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(2);
    let route = |route: &Route| {
        Json::object([
            (
                "name",
                Json::text(&format!("r-{}", route.prefix.trim_matches('/'))),
            ),
            ("host", Json::text(HOST_NAME)),
            ("path_prefix", Json::text(route.prefix)),
            ("type", Json::text(route.kind)),
            ("timeout", Json::text(&format!("{}ms", route.timeout_ms))),
            ("goal", Json::text(&format!("{}ms", route.goal_ms))),
            ("priority", Json::number(1)),
            ("service", Json::text(route.service)),
            ("attempts", Json::number(attempts)),
            ("sticky", Json::Bool(true)),
            ("home_regions", list(Vec::new())),
        ])
    };
    let service = |(name, cold_per_s): &Service| {
        Json::object([
            ("name", Json::text(name)),
            ("health_path", Json::text("/health")),
            ("max_conns", Json::number(330)),
            ("protocol", Json::text("h1")),
            ("tls", Json::Bool(false)),
            ("warmup", Json::text("3s")),
            ("cold_per_s", Json::Number((*cold_per_s).to_owned())),
        ])
    };
    let limits = Json::object([
        ("header_bytes", Json::number(16_384)),
        ("max_body_bytes", Json::number(67_108_864)),
        ("header_timeout", Json::text("3000ms")),
        ("idle", Json::text("15000ms")),
    ]);
    let services = services.iter().map(service).collect();
    Json::object([
        ("version", Json::text(&format!("{version:08x}"))),
        ("routes", list(routes.iter().map(route).collect())),
        ("services", list(services)),
        ("limits", limits),
        ("base_version", Json::text("00000001")),
    ])
}

/// The services of `pkd-ci`.
pub const PKD_CI_SERVICES: [Service; 2] = [("pipeline-desk", "14.0"), ("artefact-vault", "14.0")];

/// One machine that runs the role `entry`.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub lookups: SocketAddr,
    pub control: SocketAddr,
    port: u16,
}

impl Machine {
    pub fn in_zone(zone: &'static str, number: usize, ip: Ipv4Addr, port: u16) -> Self {
        Self {
            name: format!("edge-{zone}-{number}"),
            zone,
            callers: free_address(ip),
            ready: free_address(ip),
            lookups: free_address(ip),
            control: free_address(ip),
            port,
        }
    }

    /// The settings file, as the platform fills it from the template with the fields of the site.
    fn settings(&self, site: &Site, store: SocketAddr, seeds: &[SocketAddr]) -> String {
        let mut zones = site.zones.iter();
        let region = zones
            .find(|(zone, _)| *zone == self.zone)
            .map_or("", |(_, region)| region);
        let Site {
            retry_slack,
            leave_ms,
            ..
        } = site;
        let halls = site
            .zones
            .map(|(zone, region)| format!("{{ \"name\": \"{zone}\", \"region\": \"{region}\" }}"));
        let halls = halls.join(", ");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let Self {
            name,
            zone,
            callers,
            ready,
            lookups,
            control,
            port,
        } = self;
        format!(
            r#"{{
  "name": "{name}", "hall": "{zone}", "region": "{region}", "halls": [ {halls} ],
  "caller_address": "{callers}", "readiness_address": "{ready}", "lookup_address": "{lookups}",
  "peer_address": "{control}", "heartbeat_port": {port}, "seeds": [{seeds}],
  "first_start": true, "store_address": "{store}",
  "memory_mb": 260, "descriptors": 4100, "processor_share": 0.2, "link_mbps": 1000.0,
  "stop_grace": "6s", "leave_time": "{leave_ms}ms", "time_to_live_max": "5s",
  "retry_ratio": 0.2, "retry_window": "10s", "retry_slack": {retry_slack}, "urgency": true,
  "cold_factor": 1.5, "cold_slack": 5, "load_exchange_min_hosts": 24, "hall_homes_min_hosts": 8
}}
"#
        )
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("ledgespool-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.0);
    }
}

const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

unsafe extern "C" {
    fn prctl(option: c_int, value: c_ulong) -> c_int;
}

/// Lets a new process end with the one that started it, also if that is killed.
fn end_with_parent() -> std::io::Result<()> {
    // SAFETY: the option takes one integer.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// The command of the role `entry` in the deploy file.
fn entry_command() -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|fault| fault.to_string())?;
    let entry = text
        .split("[roles.entry]")
        .nth(1)
        .ok_or("no role entry in the deploy file")?;
    let line = entry
        .lines()
        .find_map(|line| line.trim().strip_prefix("run = "));
    let words = line
        .ok_or("the role entry has no command")?
        .trim()
        .trim_matches('"');
    Ok(words.split(' ').map(str::to_owned).collect())
}

/// A running host, killed when dropped.
pub struct HostProcess {
    pub machine: Machine,
    child: Child,
}

impl HostProcess {
    pub fn start(
        site: &Site,
        machine: &Machine,
        store: SocketAddr,
        seeds: &[SocketAddr],
        folder: &Folder,
    ) -> Result<Self, String> {
        let file = folder.0.join(format!("{}.jsonc", machine.name));
        fs::write(&file, machine.settings(site, store, seeds))
            .map_err(|fault| fault.to_string())?;
        let command = entry_command()?;
        if !Path::new(&command[0]).exists() {
            return Err(format!("{} is not built", command[0]));
        }
        let mut host = Command::new(&command[0]);
        // SAFETY: the call only sets an attribute of the new process, without any memory of this one.
        unsafe {
            host.pre_exec(end_with_parent);
        }
        let started = host
            .args(&command[1..])
            .env("LEDGESPOOL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let mut child = started.map_err(|fault| format!("{}: {fault}", command[0]))?;
        let output = child.stdout.take().expect("a pipe");
        let log =
            std::env::var_os("KEEP_LOG").map(|folder| PathBuf::from(folder).join(&machine.name));
        std::thread::spawn(move || {
            let mut file = log.and_then(|path| fs::File::create(path).ok());
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(file) = &mut file {
                    let _written = std::io::Write::write_all(file, format!("{line}\n").as_bytes());
                }
            }
        });
        Ok(Self {
            machine: machine.clone(),
            child,
        })
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(self.machine.ready, request).is_ok_and(|(status, _)| status == 200)
    }

    /// The value of a figure on the host's metrics page.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let request = "GET /metrics HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n";
        let (_, body) = http::call(self.machine.control, request).ok()?;
        let page = String::from_utf8(body).ok()?;
        let mut lines = page.lines().filter_map(|line| line.split_once(' '));
        lines
            .find(|(known, _)| *known == name)?
            .1
            .trim()
            .parse()
            .ok()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _status = Command::new("kill").args(["-s", name, &id]).status();
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// Starts hosts in these zones, and waits until all are ready, know `servers` backends, and know
/// each other.
pub fn start_hosts(
    site: &Site,
    zones: &[&'static str],
    store: SocketAddr,
    servers: u64,
    folder: &Folder,
    record: &Record,
) -> Result<Vec<HostProcess>, String> {
    let ips: Vec<Ipv4Addr> = zones.iter().map(|_| next_ip()).collect();
    let port = free_udp_port(&ips);
    let machines = zones.iter().zip(&ips).enumerate();
    let machines: Vec<Machine> = machines
        .map(|(number, (zone, ip))| Machine::in_zone(zone, number, *ip, port))
        .collect();
    let seeds: Vec<SocketAddr> = machines
        .iter()
        .take(3)
        .map(|machine| machine.control)
        .collect();
    let hosts: Result<Vec<HostProcess>, String> = machines
        .iter()
        .map(|machine| HostProcess::start(site, machine, store, &seeds, folder))
        .collect();
    let hosts = hosts?;
    let others = zones.len() as u64 - 1;
    let knows_all = |host: &HostProcess| {
        host.is_ready()
            && host.metric("ledgespool_servers") == Some(servers)
            && host.metric("ledgespool_peers") == Some(others)
    };
    let began = Instant::now();
    while !hosts.iter().all(knows_all) {
        if began.elapsed() > READY_TIMEOUT {
            return Err("the hosts did not become ready".to_owned());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    for host in &hosts {
        record.note(&format!(
            "host {} is ready at {}",
            host.machine.name, host.machine.callers
        ));
    }
    Ok(hosts)
}
