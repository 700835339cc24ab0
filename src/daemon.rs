//! Starts the threads of one entry host, joins them by rings, and stops them without cutting a
//! request. No decision is taken here: the controller and the workers' steering roles take them.

use std::sync::atomic;
use std::{collections, net, sync, thread, time};

use tokio::sync::watch;

use crate::auth::TokenPair;
use crate::control_message::ControlInput;
use crate::control_thread::{ControlThread, WorkerPort};
use crate::controller::{ControlSettings, HostController};
use crate::error::{self, Error};
use crate::event::EventCode;
use crate::event_writer::{self, EventPort, LogStyle};
use crate::listener;
use crate::member::{HostIdentity, HostState, MemberRecord};
use crate::peer_link;
use crate::platform_link;
use crate::port::{self, ControlEnvelope, ControlPort};
use crate::result_code::ResultCode;
use crate::ring::RingReceiver;
use crate::rpc::{self, RpcContext};
use crate::rpc_server;
use crate::settings::HostSettings;
use crate::timer::{self, BootClock, TimerService};
use crate::worker::{self, WorkerCommand, WorkerSetup};

/// How often the controller sees time pass.
const CONTROL_TICK: time::Duration = time::Duration::from_millis(50);
/// How often workers report.
const WORKER_TICK: time::Duration = time::Duration::from_millis(100);

/// A running entry host.
#[derive(Debug)]
pub struct RunningHost {
    control: ControlPort,
    events: EventPort,
    caller_address: net::SocketAddr,
    control_address: net::SocketAddr,
    threads: Vec<thread::JoinHandle<()>>,
    event_thread: thread::JoinHandle<()>,
}

impl RunningHost {
    /// Where callers reach it.
    #[must_use]
    pub const fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Where operators and peers reach it.
    #[must_use]
    pub const fn control_address(&self) -> net::SocketAddr {
        self.control_address
    }

    /// Asks it to stop; requests in flight end by themselves.
    pub fn stop(&self) {
        while !self.control.is_closed() && !self.control.tell(ControlInput::Stop) {
            thread::sleep(time::Duration::from_millis(1));
        }
    }

    /// Waits until it has stopped.
    pub fn join(self) {
        for thread in self.threads {
            // A thread that panicked has ended too.
            let _outcome = thread.join();
        }
        self.events.write(EventCode::ProcessStopped, String::new());
        drop(self.events);
        drop(self.control);
        let _outcome = self.event_thread.join();
    }
}

/// The listening sockets of a host, and the addresses that they got.
#[derive(Debug)]
struct HostSockets {
    callers: net::TcpListener,
    control: net::TcpListener,
    caller_address: net::SocketAddr,
    control_address: net::SocketAddr,
}

/// Starts an entry host.
///
/// # Errors
/// `AddressInvalid` when an address cannot be bound; I/O errors when a thread cannot be started.
pub fn start(settings: &HostSettings, style: LogStyle) -> error::Result<RunningHost> {
    let settings = sync::Arc::new(settings.clone());
    let clock = BootClock::start();
    let (events, event_thread) = event_writer::spawn(&settings.name, style)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let sockets = {
        let _guard = runtime.enter();
        open_sockets(&settings)?
    };
    let (control, envelopes) = port::open();
    let (stop, stopped) = watch::channel(false);
    let me = own_record(&settings, &sockets);
    let seed = match settings.seed {
        0 => me.identity.incarnation,
        seed => u64::from(seed),
    };
    let (caller_address, control_address) = (sockets.caller_address, sockets.control_address);

    let template = WorkerSetup {
        number: 0,
        settings: sync::Arc::clone(&settings),
        identity: me.identity.clone(),
        listener: sockets.callers,
        control: control.clone(),
        events: events.clone(),
        clock,
        seed,
        stop: stopped.clone(),
    };
    let (workers, mut threads) = spawn_workers(&template)?;
    drop(template);
    let (platform, handle) = platform_link::spawn(settings.platform_address, control.clone())?;
    threads.push(handle);
    let (peers, handle) =
        peer_link::spawn(control.clone(), events.clone(), settings.peer_token.clone())?;
    threads.push(handle);
    let context = RpcContext {
        control: control.clone(),
        events: events.clone(),
    };
    let tokens = TokenPair::from_settings(&settings);
    threads.push(spawn_rpc(sockets.control, tokens, context, stopped)?);
    let timer_stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let handle = spawn_timer(&control, &workers, sync::Arc::clone(&timer_stop))?;
    threads.push(handle);

    let control_settings = ControlSettings {
        me,
        peers: settings.peers.clone(),
        workers: workers.len(),
        seed,
    };
    let control_thread = ControlThread {
        controller: HostController::new(&control_settings, clock.now()),
        clock,
        control: control.clone(),
        events: events.clone(),
        platform,
        peers,
        workers,
        waiting: collections::HashMap::new(),
        stop,
        timer_stop,
    };
    threads.push(spawn_control(control_thread, envelopes, runtime)?);
    let detail = format!("callers {caller_address}, control {control_address}");
    events.write(EventCode::ProcessStarted, detail);
    Ok(RunningHost {
        control,
        events,
        caller_address,
        control_address,
        threads,
        event_thread,
    })
}

fn open_sockets(settings: &HostSettings) -> error::Result<HostSockets> {
    let callers = bind(settings.caller_address)?;
    let control = bind(settings.control_address)?;
    Ok(HostSockets {
        caller_address: callers.local_addr()?,
        control_address: control.local_addr()?,
        callers,
        control,
    })
}

fn own_record(settings: &HostSettings, sockets: &HostSockets) -> MemberRecord {
    MemberRecord {
        identity: HostIdentity {
            name: settings.name.clone(),
            incarnation: timer::unix_millis(),
        },
        refutation: 0,
        state: HostState::Live,
        caller_address: sockets.caller_address,
        control_address: sockets.control_address,
        hall: settings.hall.clone(),
    }
}

fn spawn_workers(
    template: &WorkerSetup,
) -> error::Result<(Vec<WorkerPort>, Vec<thread::JoinHandle<()>>)> {
    let mut workers = Vec::new();
    let mut threads = Vec::new();
    for number in 0..template.settings.workers as usize {
        let setup = WorkerSetup {
            number,
            settings: sync::Arc::clone(&template.settings),
            identity: template.identity.clone(),
            listener: template.listener.try_clone()?,
            control: template.control.clone(),
            events: template.events.clone(),
            seed: template.seed.wrapping_add(number as u64),
            stop: template.stop.clone(),
            ..*template
        };
        let (ring, handle) = worker::spawn(setup)?;
        workers.push(WorkerPort::with_ring(ring));
        threads.push(handle);
    }
    Ok((workers, threads))
}

fn spawn_control(
    control_thread: ControlThread,
    envelopes: RingReceiver<ControlEnvelope>,
    runtime: tokio::runtime::Runtime,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control_thread.run(envelopes)))
}

fn bind(address: net::SocketAddr) -> error::Result<net::TcpListener> {
    listener::bind(address).map_err(|fault| {
        Error::with_code(ResultCode::AddressInvalid, format!("{address}: {fault}"))
    })
}

fn spawn_rpc(
    listener: net::TcpListener,
    tokens: TokenPair,
    context: RpcContext,
    stop: watch::Receiver<bool>,
) -> error::Result<thread::JoinHandle<()>> {
    let module = rpc::build_module(context.clone())
        .map_err(|fault| Error::with_code(ResultCode::ParameterInvalid, fault.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = thread::Builder::new()
        .name("rpc".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                    let serving =
                        rpc_server::serve(listener, module, tokens, context, stop.clone());
                    run_until_stop(serving, stop).await;
                }
            });
            runtime.shutdown_timeout(time::Duration::from_millis(100));
        })?;
    Ok(handle)
}

/// Peers keep connections open; those need not end for the process to stop.
async fn run_until_stop(serving: impl Future<Output = ()>, mut stop: watch::Receiver<bool>) {
    const LAST_ANSWERS: time::Duration = time::Duration::from_millis(500);
    let stopped = async {
        while !*stop.borrow_and_update() {
            if stop.changed().await.is_err() {
                break;
            }
        }
        tokio::time::sleep(LAST_ANSWERS).await;
    };
    tokio::select! {
        () = serving => {}
        () = stopped => {}
    }
}

fn spawn_timer(
    control: &ControlPort,
    workers: &[WorkerPort],
    stop: sync::Arc<atomic::AtomicBool>,
) -> std::io::Result<thread::JoinHandle<()>> {
    let mut timer = TimerService::default();
    let tick = || ControlEnvelope {
        input: ControlInput::Tick,
        waiting: None,
    };
    timer.subscribe(CONTROL_TICK, control.ring(), tick);
    for worker in workers {
        timer.subscribe(WORKER_TICK, worker.ring.clone(), || WorkerCommand::Tick);
    }
    timer.spawn(stop)
}
