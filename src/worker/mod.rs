//! A worker thread. It accepts callers, answers look-ups and forwards requests.
//!
//! Each worker owns its steering role, its backend connections and its slice of the host's grants,
//! so the request path takes no lock. The state is thread-local; gotham's handlers access it in
//! short calls that never span an await.

mod admitted;
mod answer;
mod answer_stream;
mod attempt;
mod claiming;
mod forward;
mod head;
mod incoming;
mod pool;
mod route;
mod wait;

use std::{cell, net, sync, thread, time};

use gotham::handler::{Handler as _, NewHandler as _};
use gotham::state::State;
use tokio::sync::watch;

use crate::claim::ClaimAttempt;
use crate::control_message::{ControlInput, WorkerUsage};
use crate::event_writer::EventPort;
use crate::listener;
use crate::lookup::LookupTable;
use crate::member::HostIdentity;
use crate::metrics::WorkerMetrics;
use crate::plan::HostGrants;
use crate::port::ControlPort;
use crate::ring::{self, RingReceiver, RingSender};
use crate::settings::HostSettings;
use crate::steering::SteeringRole;
use crate::timer::{BootClock, Moment};
use crate::topology::{HallId, SteeringTopology};

/// Commands that may be queued for a worker. When the ring is full, the control thread keeps the
/// newest command of each kind and sends it again later.
const COMMAND_RING_CAPACITY: usize = 256;

/// A command of the control thread to a worker.
#[derive(Debug, Clone)]
pub enum WorkerCommand {
    /// Report now.
    Tick,
    /// Apply a topology.
    Topology(sync::Arc<SteeringTopology>),
    /// Apply a table of look-up answers.
    Lookup(sync::Arc<LookupTable>),
    /// Apply this worker's slice of the grants.
    Grants(HostGrants),
    /// Whether this host is leaving.
    Leaving(bool),
    /// The backend servers that are leaving, by name.
    LeavingServers(sync::Arc<Vec<String>>),
}

/// Everything needed to start a worker.
#[derive(Debug)]
pub struct WorkerSetup {
    /// The worker's index, from 0.
    pub number: usize,
    /// The host's settings.
    pub settings: sync::Arc<HostSettings>,
    /// The host and the run of its process.
    pub identity: HostIdentity,
    /// The listening socket for callers, shared by all workers.
    pub listener: net::TcpListener,
    /// The channel to the controller.
    pub control: ControlPort,
    /// The channel to the event thread.
    pub events: EventPort,
    /// The clock of the process.
    pub clock: BootClock,
    /// Seed of random choices.
    pub seed: u64,
    /// Becomes true when the process stops.
    pub stop: watch::Receiver<bool>,
}

pub(crate) struct WorkerState {
    number: usize,
    settings: sync::Arc<HostSettings>,
    identity: HostIdentity,
    control: ControlPort,
    events: EventPort,
    clock: BootClock,
    metrics: WorkerMetrics,
    steering: SteeringRole,
    lookup: sync::Arc<LookupTable>,
    own_hall: HallId,
    generation: u64,
    leaving_since: Option<Moment>,
    pool: pool::ConnectionPool,
    waiters: wait::WaiterTable,
    requests: u64,
}

thread_local! {
    static WORKER: cell::RefCell<Option<WorkerState>> = const { cell::RefCell::new(None) };
}

/// Runs `work` on this thread's state; `None` on a thread that is not a worker.
pub(crate) fn with_worker<T>(work: impl FnOnce(&mut WorkerState) -> T) -> Option<T> {
    WORKER.with(|worker| {
        worker
            .try_borrow_mut()
            .ok()
            .and_then(|mut state| state.as_mut().map(work))
    })
}

impl WorkerState {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn next_attempt(&mut self) -> ClaimAttempt {
        self.requests += 1;
        ClaimAttempt {
            host: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            number: self.requests * 64 + self.number as u64,
        }
    }

    fn handle_command(&mut self, command: WorkerCommand) {
        let now = self.now();
        match command {
            WorkerCommand::Tick => {}
            WorkerCommand::Topology(topology) => {
                self.steering.install_topology(&topology, now);
                self.generation = topology.generation;
                self.own_hall = topology.hall_id(&self.settings.hall).unwrap_or(HallId(0));
            }
            WorkerCommand::Lookup(lookup) => self.lookup = lookup,
            WorkerCommand::Grants(grants) => self.steering.install_grants(&grants),
            WorkerCommand::Leaving(leaving) => {
                self.leaving_since = leaving.then(|| self.leaving_since.unwrap_or(now));
            }
            WorkerCommand::LeavingServers(names) => self.steering.set_leaving_servers(&names),
        }
        self.wake_ready();
        self.report(now);
    }

    fn report(&mut self, now: Moment) {
        if self.metrics.is_on() {
            for (place, units) in self.steering.headroom() {
                self.metrics
                    .on_headroom(&place.to_string(), u64::from(units));
            }
        }
        let usage = WorkerUsage {
            worker: self.number,
            generation: self.generation,
            sequence: self.steering.installed_sequence(),
            usage: self.steering.take_usage(now),
            in_flight: self.steering.in_flight(),
            draining: self.steering.draining_in_flight(),
        };
        // If the ring is full, this report is dropped; the next one follows soon.
        let _taken = self.control.tell(ControlInput::Usage(usage));
    }
}

/// Starts a worker thread. After `stop` it ends as soon as its last request is finished.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn(
    setup: WorkerSetup,
) -> std::io::Result<(RingSender<WorkerCommand>, thread::JoinHandle<()>)> {
    let (sender, receiver) = ring::with_capacity(COMMAND_RING_CAPACITY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let name = format!("worker-{}", setup.number);
    let handle = thread::Builder::new().name(name).spawn(move || {
        runtime.block_on(run(setup, receiver));
        runtime.shutdown_timeout(time::Duration::from_millis(100));
    })?;
    Ok((sender, handle))
}

async fn run(setup: WorkerSetup, commands: RingReceiver<WorkerCommand>) {
    let WorkerSetup {
        number,
        settings,
        identity,
        listener,
        control,
        events,
        clock,
        seed,
        stop,
    } = setup;
    let max_connections = settings.max_connections as usize;
    let state = WorkerState {
        number,
        metrics: WorkerMetrics::from_settings(&settings),
        steering: SteeringRole::new(&settings.hall, settings.policy, seed),
        settings,
        identity,
        control,
        events,
        clock,
        lookup: sync::Arc::default(),
        own_hall: HallId(0),
        generation: 0,
        leaving_since: None,
        pool: pool::ConnectionPool::default(),
        waiters: wait::WaiterTable::default(),
        requests: 0,
    };
    WORKER.with(|worker| *worker.borrow_mut() = Some(state));
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    tokio::spawn(async move {
        while let Some(command) = commands.pop().await {
            with_worker(|worker| worker.handle_command(command));
        }
    });
    let router = route::build_router();
    let handler = move |request: http::Request<hyper::body::Incoming>, peer| {
        let router = router.clone();
        async move { answer_with(&router, request, peer).await }
    };
    listener::serve(listener, max_connections, stop, handler).await;
}

/// Routes one request with gotham.
async fn answer_with(
    router: &gotham::router::Router,
    mut request: http::Request<hyper::body::Incoming>,
    peer: net::SocketAddr,
) -> http::Response<gotham::helpers::http::Body> {
    // Without this header gotham generates a random id for each request, which costs a system call.
    let unused_id = http::HeaderValue::from_static("-");
    request
        .headers_mut()
        .entry("x-request-id")
        .or_insert(unused_id);
    let state = State::from_request(request, peer);
    let Ok(handler) = router.new_handler() else {
        return answer::refusal_response(&answer::internal_refusal());
    };
    match handler.handle(state).await {
        Ok((_state, response)) => answer::with_code(response),
        Err((state, fault)) => {
            answer::with_code(gotham::handler::IntoResponse::into_response(fault, &state))
        }
    }
}
