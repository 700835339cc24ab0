//! Starts the programs as separate processes on free loopback ports and stops them after a test.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]
#![allow(missing_docs, reason = "test code")]

pub mod process_start;

use std::fmt::Write as _;
use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use std::{fs, net};

use bytes::Bytes;
use ledgespool::control_message::HostStatus;
use ledgespool::http_client::{self, SmallAnswer};
use ledgespool::request_body::RequestBody;
use ledgespool::roster::{ListedHost, ListedRole, ListedState};
use ledgespool::rpc::{NoParams, method};
use ledgespool::rpc_client::ControlClient;
use ledgespool::standin::backend::{BackendFaults, BackendLog};
use ledgespool::standin::caller::{CallerRequest, CallerResult};
use ledgespool::standin::platform::{PlatformCalls, PlatformFaults};
use ledgespool::standin::proxy::ProxyMode;

pub const TOKEN: &str = "operator-token";
pub const PEER_TOKEN: &str = "peer-token";
/// Timeout of each wait. It is long, so that a busy machine delays a test but does not fail it.
pub const PATIENCE: Duration = Duration::from_mins(1);
pub const SERVICE: &str = "desk";

/// A process that a test started; it is killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn spawn(program: &str, arguments: &[String]) -> Self {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if std::env::var("SHOW_LOGS").is_err() {
            command.stderr(Stdio::null());
        }
        Self {
            child: process_start::start(&mut command),
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = process_start::start(Command::new("kill").args([name, &id])).wait();
        assert!(status.expect("kill runs").success(), "signal {name}");
    }

    pub fn kill(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }

    /// Waits for the process to exit and returns its exit code; `None` if the wait times out.
    pub fn wait(&mut self) -> Option<i32> {
        wait_for(|| self.child.try_wait().ok().flatten()).and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let id = self.child.id().to_string();
        let mut command = Command::new("kill");
        command.args(["-CONT", &id]).stderr(Stdio::null());
        let _continued = process_start::start(&mut command).wait();
        self.kill();
    }
}

/// Polls until there is a value or the timeout expires.
pub fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if let Some(value) = poll() {
            return Some(value);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Polls an async condition until it holds; panics with `what` when the timeout expires.
pub async fn until<F: Future<Output = bool>>(what: &str, mut poll: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if poll().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("not reached: {what}");
}

/// Returns a port that is currently free, from a range below the ephemeral ports. Each test process
/// starts at a different port.
pub fn free_port() -> u16 {
    const FIRST: u16 = 10_000;
    const COUNT: u16 = 20_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let start = (std::process::id().wrapping_mul(97) % u32::from(COUNT)) as u16;
        let port = FIRST + (start + NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let is_free = || net::TcpListener::bind(("127.0.0.1", port)).is_ok();
        if process_start::while_none_starts(is_free) {
            return port;
        }
    }
}

pub fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

/// Starts a stand-in and reads the addresses that it prints.
pub fn standin(arguments: &[&str], addresses: usize) -> (Process, Vec<net::SocketAddr>) {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let mut process = Process::spawn(env!("CARGO_BIN_EXE_ledgespool-standin"), &arguments);
    let output = process.child.stdout.take().expect("stdout is piped");
    let mut lines = BufReader::new(output).lines();
    let mut read = Vec::new();
    for _ in 0..addresses {
        let line = lines.next().expect("a line").expect("text");
        read.push(
            line.trim_start_matches("listening ")
                .parse()
                .expect("an address"),
        );
    }
    (process, read)
}

/// Configuration of a test system.
#[derive(Clone)]
pub struct SystemPlan {
    pub regions: Vec<(&'static str, Vec<&'static str>)>,
    pub servers_per_hall: usize,
    pub slots: u32,
    /// The hall of each entry host.
    pub hosts: Vec<&'static str>,
    pub shift_concurrent: u32,
    pub shift_share: f64,
    /// Whether each host reaches the platform through its own proxy.
    pub platform_proxies: bool,
    pub list_hosts: bool,
    /// `steered` or `naive`.
    pub policy: &'static str,
}

impl Default for SystemPlan {
    fn default() -> Self {
        Self {
            regions: vec![("perth", vec!["perth-1"]), ("bunbury", vec!["bunbury-1"])],
            servers_per_hall: 1,
            slots: 6,
            hosts: vec!["perth-1", "perth-1", "bunbury-1"],
            shift_concurrent: 4,
            shift_share: 1.0,
            platform_proxies: false,
            list_hosts: true,
            policy: "steered",
        }
    }
}

pub struct Host {
    pub name: String,
    pub hall: String,
    pub process: Process,
    pub callers: net::SocketAddr,
    pub control: net::SocketAddr,
    pub settings: PathBuf,
    /// Admin address of the host's proxy to the platform.
    pub platform_proxy: Option<net::SocketAddr>,
}

pub struct Server {
    pub name: String,
    pub hall: String,
    pub process: Process,
    pub address: net::SocketAddr,
}

/// A complete system of separate processes.
pub struct System {
    pub plan: SystemPlan,
    pub dir: PathBuf,
    pub platform: net::SocketAddr,
    pub platform_process: Process,
    pub proxies: Vec<Process>,
    pub servers: Vec<Server>,
    pub hosts: Vec<Host>,
}

impl System {
    /// Starts all processes, applies the declaration with the command line and waits for grants.
    pub async fn start(plan: SystemPlan) -> Self {
        let mut system = Self::start_processes(&plan);
        system.write_declaration();
        system.apply().await;
        system.wait_ready().await;
        system
    }

    pub fn start_processes(plan: &SystemPlan) -> Self {
        static COUNT: AtomicU16 = AtomicU16::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("ledgespool-{}-{number}", std::process::id()));
        fs::create_dir_all(dir.join("declaration")).expect("a directory");
        let (platform_process, addresses) = standin(&["platform", "--listen", "127.0.0.1:0"], 1);
        let mut system = Self {
            plan: plan.clone(),
            dir,
            platform: addresses[0],
            platform_process,
            proxies: Vec::new(),
            servers: Vec::new(),
            hosts: Vec::new(),
        };
        for (_, halls) in &plan.regions {
            for hall in halls {
                for index in 0..plan.servers_per_hall {
                    system.start_server(hall, index);
                }
            }
        }
        for index in 0..plan.hosts.len() {
            system.start_host(index);
        }
        system
    }

    fn start_server(&mut self, hall: &str, index: usize) {
        let slots = self.plan.slots.to_string();
        let (process, addresses) = standin(
            &["backend", "--slots", &slots, "--listen", "127.0.0.1:0"],
            1,
        );
        let name = format!("desk-{hall}-{index}");
        self.servers.push(Server {
            name,
            hall: hall.to_owned(),
            process,
            address: addresses[0],
        });
    }

    fn start_host(&mut self, index: usize) {
        let mut platform = self.platform;
        let mut platform_proxy = None;
        if self.plan.platform_proxies {
            let to = self.platform.to_string();
            let arguments = [
                "proxy",
                "--listen",
                "127.0.0.1:0",
                "--to",
                &to,
                "--admin",
                "127.0.0.1:0",
            ];
            let (process, addresses) = standin(&arguments, 2);
            self.proxies.push(process);
            platform = addresses[0];
            platform_proxy = Some(addresses[1]);
        }
        let name = format!("entry-{}", index + 1);
        let hall = self.plan.hosts[index].to_owned();
        let callers = loopback(free_port());
        let control = loopback(free_port());
        let peers: Vec<String> = self
            .hosts
            .iter()
            .map(|host| format!("{:?}", host.control.to_string()))
            .collect();
        let settings = self.dir.join(format!("{name}.jsonc"));
        let text = format!(
            "// written by a test\n{{ \"name\": \"{name}\", \"hall\": \"{hall}\", \"caller_address\": \"{callers}\", \"control_address\": \"{control}\",\n  \"platform_address\": \"{platform}\", \"peers\": [{}], \"operator_token\": \"{TOKEN}\", \"peer_token\": \"{PEER_TOKEN}\",\n  \"trusted_forwarders\": [\"127.0.0.1\"], \"seed\": {}, \"policy\": \"{}\" }}\n",
            peers.join(", "),
            index + 1,
            self.plan.policy
        );
        fs::write(&settings, text).expect("settings are written");
        let process = spawn_host(&settings);
        self.hosts.push(Host {
            name,
            hall,
            process,
            callers,
            control,
            settings,
            platform_proxy,
        });
    }

    /// Kills a host's process and starts a new one, as the platform does.
    pub fn restart_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.process.kill();
        host.process = spawn_host(&host.settings);
    }

    pub fn declaration_text(&self) -> String {
        let mut text = format!(
            "{{ // the test's declaration\n\"services\": [{{ \"name\": \"{SERVICE}\", \"classes\": [\n  {{ \"name\": \"read\", \"weight\": 5, \"deadline\": \"30s\", \"repeatable\": true }},\n  {{ \"name\": \"release\", \"weight\": 20, \"deadline\": \"30s\", \"repeatable\": false }} ],\n  \"retry_budget\": 0.2, \"shift\": {{ \"concurrent\": {}, \"share_per_minute\": {} }} }}],\n",
            self.plan.shift_concurrent, self.plan.shift_share
        );
        let regions: Vec<String> = self
            .plan
            .regions
            .iter()
            .map(|(name, _)| format!("{{ \"name\": \"{name}\" }}"))
            .collect();
        let _ = writeln!(text, "\"regions\": [{}],", regions.join(", "));
        let capacity = self.plan.slots * u32::try_from(self.plan.servers_per_hall).expect("few");
        let mut halls = Vec::new();
        for (region, names) in &self.plan.regions {
            for hall in names {
                halls.push(format!(
                    "{{ \"name\": \"{hall}\", \"region\": \"{region}\", \"capacity\": {capacity} }}"
                ));
            }
        }
        let _ = writeln!(text, "\"halls\": [{}],", halls.join(", "));
        let mut links = Vec::new();
        for (index, (from, _)) in self.plan.regions.iter().enumerate() {
            for (to, _) in &self.plan.regions[index + 1..] {
                links.push(format!("{{ \"from\": \"{from}\", \"to\": \"{to}\", \"latency\": \"35ms\", \"concurrent\": 100 }}"));
            }
        }
        let _ = writeln!(text, "\"links\": [{}],", links.join(", "));
        let servers: Vec<String> = self.servers.iter().map(|server| format!("  {{ \"name\": \"{}\", \"service\": \"{SERVICE}\", \"hall\": \"{}\", \"address\": \"{}\", \"slots\": {}, \"connections\": 330 }}", server.name, server.hall, server.address, self.plan.slots)).collect();
        let _ = writeln!(text, "\"servers\": [\n{} ],", servers.join(",\n"));
        let blocks: Vec<String> = self
            .plan
            .regions
            .iter()
            .enumerate()
            .map(|(index, (region, _))| {
                format!(
                    "{{ \"prefix\": \"10.{}.0.0/16\", \"split\": 24, \"region\": \"{region}\" }}",
                    index + 1
                )
            })
            .collect();
        let _ = writeln!(text, "\"blocks\": [{}] }}", blocks.join(", "));
        text
    }

    pub fn write_declaration(&mut self) {
        fs::write(
            self.dir.join("declaration/all.jsonc"),
            self.declaration_text(),
        )
        .expect("written");
    }

    pub async fn apply(&self) {
        until("the declaration is applied", || async {
            self.cli(&["apply", "--wait"], &["declaration"])
                .status
                .success()
        })
        .await;
    }

    /// Runs the operators' command line against the first host.
    pub fn cli(&self, command: &[&str], rest: &[&str]) -> std::process::Output {
        self.cli_at(self.hosts[0].control, command, rest)
    }

    pub fn cli_at(
        &self,
        host: net::SocketAddr,
        command: &[&str],
        rest: &[&str],
    ) -> std::process::Output {
        let mut program = Command::new(env!("CARGO_BIN_EXE_ledgespool"));
        program
            .args(command)
            .args(["--host", &host.to_string()])
            .args(rest)
            .env("LEDGESPOOL_TOKEN", TOKEN)
            .current_dir(&self.dir)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let output = process_start::start(&mut program).wait_with_output();
        output.expect("the command line runs")
    }

    /// Waits until every host has an active declaration, a grant and a complete member list.
    pub async fn wait_ready(&self) {
        self.list_hosts(&self.hosts.iter().collect::<Vec<_>>())
            .await;
        until("every host has grants", || async {
            let statuses = self.statuses().await;
            let ready = |status: &HostStatus| {
                status.in_force > 0 && status.places.iter().any(|place| place.grant > 0)
            };
            statuses.len() == self.hosts.len()
                && statuses
                    .iter()
                    .all(|status| ready(status) && status.members.len() == self.hosts.len())
        })
        .await;
    }

    /// Sets the platform's list of hosts.
    pub async fn list_hosts(&self, hosts: &[&Host]) {
        if !self.plan.list_hosts {
            return;
        }
        let list: Vec<ListedHost> = hosts
            .iter()
            .map(|host| ListedHost {
                name: host.name.clone(),
                control_address: host.control,
                role: ListedRole::Entry,
                state: ListedState::Live,
            })
            .collect();
        put(self.platform, "/admin/hosts", &list).await;
    }

    pub async fn statuses(&self) -> Vec<HostStatus> {
        let mut statuses = Vec::new();
        for host in &self.hosts {
            statuses.extend(status(host.control).await);
        }
        statuses
    }

    pub fn entries(&self) -> Vec<net::SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub async fn set_platform(&self, faults: PlatformFaults) {
        put(self.platform, "/admin/faults", &faults).await;
    }

    pub async fn platform_calls(&self) -> PlatformCalls {
        let answer = get(self.platform, "/admin/calls").await;
        serde_json::from_slice(&answer.body).expect("counts")
    }

    pub async fn set_server(&self, index: usize, faults: BackendFaults) {
        put(self.servers[index].address, "/admin/faults", &faults).await;
    }

    pub async fn server_log(&self, index: usize) -> BackendLog {
        let answer = get(self.servers[index].address, "/admin/log").await;
        serde_json::from_slice(&answer.body).expect("a log")
    }

    /// Returns the runs of all servers.
    pub async fn runs(&self) -> Vec<ledgespool::standin::backend::RunRecord> {
        let mut runs = Vec::new();
        for index in 0..self.servers.len() {
            runs.extend(self.server_log(index).await.runs);
        }
        runs
    }

    pub async fn set_proxy(&self, host: usize, mode: ProxyMode) {
        let admin = self.hosts[host]
            .platform_proxy
            .expect("the plan has proxies");
        put(admin, "/", &mode).await;
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

pub fn spawn_host(settings: &std::path::Path) -> Process {
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    Process::spawn(env!("CARGO_BIN_EXE_ledgespoold"), &arguments)
}

pub async fn status(control: net::SocketAddr) -> Option<HostStatus> {
    let client = ControlClient::new(control, TOKEN, Duration::from_secs(2)).expect("a client");
    client.call(method::STATUS, &NoParams {}).await.ok()
}

pub async fn put<T: serde::Serialize>(address: net::SocketAddr, path: &str, value: &T) {
    let body = Bytes::from(serde_json::to_vec(value).expect("json"));
    let request = http::Request::put(path)
        .header("host", "admin")
        .body(RequestBody::from(body))
        .expect("a request");
    let answer = http_client::exchange(address, request, Duration::from_secs(10), 1 << 20)
        .await
        .expect("an answer");
    assert_eq!(answer.status, http::StatusCode::OK, "PUT {path}");
}

pub async fn get(address: net::SocketAddr, path: &str) -> SmallAnswer {
    let request = http::Request::get(path)
        .header("host", "admin")
        .body(RequestBody::default())
        .expect("a request");
    http_client::exchange(address, request, Duration::from_secs(10), 64 << 20)
        .await
        .expect("an answer")
}

/// Returns a read request of `bytes` bytes that a server works on for `work_ms`.
pub fn read_request(id: &str, work_ms: u64, bytes: usize) -> CallerRequest {
    CallerRequest {
        service: SERVICE.to_owned(),
        class: "read".to_owned(),
        id: id.to_owned(),
        deadline: Duration::from_secs(30),
        work_ms,
        answer_bytes: bytes,
        claim_key: None,
        from: None,
        extra_query: String::new(),
    }
}

/// Returns a release request that may run only once for its claim key.
pub fn release_request(id: &str, key: &str, work_ms: u64) -> CallerRequest {
    CallerRequest {
        class: "release".to_owned(),
        claim_key: Some(key.to_owned()),
        extra_query: format!("&key={key}"),
        ..read_request(id, work_ms, 10)
    }
}

/// Returns a new claim key with the current time.
pub fn new_key(token: &str) -> String {
    format!("{}-{token}-key", ledgespool::timer::unix_millis())
}

pub fn assert_whole(result: &CallerResult) {
    assert!(
        result.whole,
        "expected the complete answer to this request, got {result:?}"
    );
}

/// A request of a [`Crowd`] and its result.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub key: Option<String>,
    pub result: CallerResult,
}

/// Concurrent callers that each send one request after the other until they are stopped.
pub struct Crowd {
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Sent>>>,
}

/// The callers and requests of a [`Crowd`].
#[derive(Clone)]
pub struct CrowdPlan {
    pub name: &'static str,
    pub callers: usize,
    pub work_ms: u64,
    pub bytes: usize,
    /// Interval in requests at which a caller sends a claimed release; 0 for none.
    pub release_every: u64,
    /// The region, counted from 1, whose blocks contain the callers' addresses, one block each.
    pub from_region: Option<u8>,
    pub extra_query: &'static str,
    pub deadline: Duration,
}

impl Default for CrowdPlan {
    fn default() -> Self {
        Self {
            name: "crowd",
            callers: 6,
            work_ms: 10,
            bytes: 2_000,
            release_every: 0,
            from_region: None,
            extra_query: "",
            deadline: Duration::from_secs(30),
        }
    }
}

impl Crowd {
    pub fn start(entries: &[net::SocketAddr], plan: &CrowdPlan) -> Self {
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let tasks = (0..plan.callers).map(|caller| {
            tokio::spawn(send_until_stopped(
                entries.to_vec(),
                plan.clone(),
                caller,
                std::sync::Arc::clone(&stop),
            ))
        });
        Self {
            tasks: tasks.collect(),
            stop,
        }
    }

    pub async fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sent = Vec::new();
        for task in self.tasks {
            sent.extend(task.await.expect("a caller"));
        }
        sent
    }
}

async fn send_until_stopped(
    entries: Vec<net::SocketAddr>,
    plan: CrowdPlan,
    caller: usize,
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
) -> Vec<Sent> {
    let mut client = ledgespool::standin::caller::CallerClient::with_entries(entries);
    let mut sent = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{}-{caller}-{number}", plan.name);
        let mut request = read_request(&id, plan.work_ms, plan.bytes);
        if plan.release_every > 0 && number % plan.release_every == 0 {
            request = release_request(&id, &new_key(&id), plan.work_ms);
        }
        let block = u8::try_from(caller % 256).expect("a byte");
        request.from = plan
            .from_region
            .map(|region| net::IpAddr::from([10, region, block, 7]));
        request.deadline = plan.deadline;
        request.extra_query.push_str(plan.extra_query);
        let result = client.send(&request).await;
        let pause = result.retry_after_ms.unwrap_or(0).min(200);
        sent.push(Sent {
            id,
            key: request.claim_key.clone(),
            result,
        });
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    sent
}

/// Asserts that reported outcomes are correct: requests reported as not run did not run, answered
/// ones ran and are complete, and each claim key ran at most once.
pub fn assert_truthful(sent: &[Sent], runs: &[ledgespool::standin::backend::RunRecord]) {
    use ledgespool::result_code::RequestOutcome;
    let mut by_id: std::collections::HashMap<&str, usize> = std::collections::HashMap::new();
    let mut by_key: std::collections::HashMap<&str, usize> = std::collections::HashMap::new();
    for run in runs {
        *by_id.entry(&run.request_id).or_default() += 1;
        if let Some((_, key)) = run.query.split_once("&key=") {
            *by_key
                .entry(key.split('&').next().unwrap_or(key))
                .or_default() += 1;
        }
    }
    for sent in sent {
        let count = by_id.get(sent.id.as_str()).copied().unwrap_or(0);
        match sent.result.outcome {
            Some(RequestOutcome::NotRun) => assert_eq!(count, 0, "not run, but ran: {sent:?}"),
            Some(RequestOutcome::Answered) if sent.result.status == Some(200) => {
                assert!(
                    count >= 1 && sent.result.whole,
                    "answered, but not run or incomplete: {sent:?}"
                );
            }
            _ => {}
        }
    }
    for (key, count) in by_key {
        assert_eq!(count, 1, "key {key} ran {count} times");
    }
}

pub fn count(sent: &[Sent], outcome: Option<ledgespool::result_code::RequestOutcome>) -> usize {
    sent.iter()
        .filter(|sent| sent.result.outcome == outcome)
        .count()
}
