//! The lifecycle of an entry host's process: startup, periodic work, signals, reloaded settings,
//! shutdown.

use std::{net, path, rc, time};

use serde_json::json;

use super::decision_log::DecisionLog;
use super::host::EntryHost;
use super::settings::{self, EntrySettings};
use super::store::ObjectStore;
use super::wire::WireProtocol;
use super::{
    announcements, follow, gossip, host_entries, join_client, limit_role, listen, quarantine_role,
    reachability_role, rollout_role,
};
use crate::error;
use crate::event::EventCode;

/// Interval of the periodic work: idle connections, expired entries, the log.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How often the settings file is checked, in ticks; it may change without a signal.
const SETTINGS_CHECK_TICKS: u64 = 20;

/// Runs a host until the process is told to stop and its requests have completed.
///
/// # Errors
/// `AddressInvalid` when a listener cannot be opened; I/O errors when signals or the log cannot be
/// set up.
pub async fn run<W, S, C>(
    file: &path::Path,
    settings: EntrySettings,
    wire: W,
    connect_store: C,
) -> error::Result<()>
where
    W: WireProtocol,
    S: ObjectStore,
    C: FnOnce(net::SocketAddr) -> S,
{
    let (log, writer) = DecisionLog::start(&settings.name)?;
    let store = rc::Rc::new(connect_store(settings.store_address));
    let host = rc::Rc::new(EntryHost::new(settings, wire, log));
    let signals = StopSignals::open()?;
    let listeners = listen::HostListeners::open(&host.settings())?;
    let first_start = host.settings().first_start;
    let fields = json!({ "run": host.run, "first_start": first_start });
    host.log_event(EventCode::ProcessStarted, fields);
    listeners.serve(&host);
    gossip::spawn(&host)?;
    join_client::spawn(&host, &store);
    limit_role::spawn(&host);
    follow::spawn(&host, &store);
    host_entries::spawn(&host, &store);
    quarantine_role::spawn(&host, &store);
    reachability_role::spawn(&host);
    rollout_role::spawn(&host, &store);
    run_event_loop(&host, &store, file, signals).await;
    host.log_event(
        EventCode::ProcessStopped,
        json!({ "open_requests": host.open_requests() }),
    );
    host.log.close();
    // A writer that panicked has ended too.
    let _outcome = writer.join();
    Ok(())
}

/// The signals that a host handles.
#[derive(Debug)]
struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hang_up: tokio::signal::unix::Signal,
}

impl StopSignals {
    fn open() -> std::io::Result<Self> {
        use tokio::signal::unix::{SignalKind, signal};
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

async fn run_event_loop<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
    file: &path::Path,
    mut signals: StopSignals,
) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tick_count = 0_u64;
    loop {
        tokio::select! {
            _tick = ticks.tick() => {
                host.on_tick();
                tick_count += 1;
                if tick_count.is_multiple_of(SETTINGS_CHECK_TICKS) {
                    reload_settings(host, file);
                }
                if host.may_stop() {
                    return;
                }
            }
            _signal = signals.hang_up.recv() => reload_settings(host, file),
            _signal = signals.terminate.recv() => begin_leaving(host, store),
            _signal = signals.interrupt.recv() => begin_leaving(host, store),
        }
    }
}

fn begin_leaving<W: WireProtocol, S: ObjectStore>(host: &rc::Rc<EntryHost<W>>, store: &rc::Rc<S>) {
    if host.is_leaving() {
        return;
    }
    host.on_leaving();
    host.stop_coordinating();
    announcements::announce(host);
    let deregistration = host_entries::deregister(rc::Rc::clone(host), rc::Rc::clone(store));
    tokio::task::spawn_local(deregistration);
}

fn reload_settings<W: WireProtocol>(host: &EntryHost<W>, file: &path::Path) {
    match settings::from_file(file) {
        Ok(settings) => host.install_settings(settings),
        // The active settings stay; the file is read again soon.
        Err(fault) => host.log_event(
            EventCode::SettingsRejected,
            json!({ "code": fault.code().to_string(), "detail": fault.to_string() }),
        ),
    }
}
