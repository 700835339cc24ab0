//! `ledgespool-standin` runs the stand-ins and the load generator. The library contains all logic.

mod app;

use std::{path, process};

use ledgespool::error::{self, Error};
use ledgespool::result_code::ResultCode;
use ledgespool::standin::{self, backend, load, platform, proxy, repeat};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> process::ExitCode {
    match run(app::standin_command().run()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ledgespool-standin: {fault}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(command: app::StandinCommand) -> error::Result<()> {
    match command {
        app::StandinCommand::Platform { listen } => serve(vec![platform::start(listen)?]),
        app::StandinCommand::Backend { slots, listen } => {
            let started: Result<Vec<_>, _> = listen
                .into_iter()
                .map(|address| backend::start(address, slots))
                .collect();
            serve(started?);
        }
        app::StandinCommand::Proxy { listen, to, admin } => {
            let started = proxy::start(listen, to, admin)?;
            serve(vec![started.proxy, started.admin]);
        }
        app::StandinCommand::Load {
            entry,
            mix,
            rate,
            requests,
            seed,
            from,
            json,
        } => {
            let mix = read_mix(&mix)?;
            let plan = load::LoadPlan {
                entries: entry,
                mix,
                rate,
                requests,
                seed,
                from,
                retry: true,
            };
            drive(&plan, json)?;
        }
        app::StandinCommand::Repeat {
            to,
            path,
            header,
            callers,
            threads,
            seconds,
        } => {
            let headers = header
                .iter()
                .filter_map(|header| header.split_once('='))
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect();
            let duration = std::time::Duration::from_secs(seconds);
            let figures = repeat::run(&repeat::RepeatPlan {
                to,
                path,
                headers,
                callers,
                threads,
                duration,
            })?;
            println!("{}", serde_json::to_string(&figures).unwrap_or_default());
        }
    }
    Ok(())
}

/// Prints the addresses, one a line, and serves until the process is killed.
fn serve(standins: Vec<standin::RunningStandin>) {
    for standin in &standins {
        println!("listening {}", standin.address());
    }
    for standin in standins {
        standin.join();
    }
}

fn read_mix(file: &path::Path) -> error::Result<Vec<load::MixEntry>> {
    let unreadable = |detail: String| Error::with_code(ResultCode::FileUnreadable, detail);
    let text = std::fs::read_to_string(file).map_err(|fault| unreadable(fault.to_string()))?;
    serde_json::from_str(&text).map_err(|fault| unreadable(fault.to_string()))
}

fn drive(plan: &load::LoadPlan, json: bool) -> error::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(load::run(plan));
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        println!("{report}");
    }
    Ok(())
}
