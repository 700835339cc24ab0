//! `ledgespoold` runs one entry host. The library contains all logic.

mod app;

use std::process;

use ledgespool::error::{self, Error};
use ledgespool::{daemon, event_writer, settings};
use mimalloc::MiMalloc;
use tokio::signal::unix;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> process::ExitCode {
    let options = app::daemon_options().run();
    match run(&options) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fault) => {
            report(&fault);
            process::ExitCode::FAILURE
        }
    }
}

fn run(options: &app::DaemonOptions) -> error::Result<()> {
    let settings = settings::from_file(&options.settings)?;
    if options.check {
        return Ok(());
    }
    let style = if options.quiet {
        event_writer::LogStyle::Silent
    } else {
        event_writer::LogStyle::Json
    };
    let host = daemon::start(&settings, style)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(wait_for_signal())?;
    host.stop();
    host.join();
    Ok(())
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _received = terminate.recv() => {}
        _received = interrupt.recv() => {}
    }
    Ok(())
}

fn report(fault: &Error) {
    match fault {
        Error::Rejected(input) => {
            for report in input.reports() {
                eprintln!("{report:?}");
            }
        }
        other => eprintln!("ledgespoold: {other}"),
    }
}
