//! `ledgespool` is the operators' command line. The library contains all logic.

mod app;
mod commands;
mod experiment;
mod hosts;
mod logs;
mod output;

use std::process;

use ledgespool::error::Error;
use ledgespool::result_code::ResultCode;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const EXIT_FAILED: u8 = 1;
const EXIT_WAIT_EXPIRED: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;

fn main() -> process::ExitCode {
    let command = app::operator_command().run();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("ledgespool: {fault}");
            return process::ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(commands::run(command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fault) => {
            output::print_error(&fault);
            process::ExitCode::from(exit_status(&fault))
        }
    }
}

fn exit_status(fault: &Error) -> u8 {
    match fault.code() {
        ResultCode::WaitExpired => EXIT_WAIT_EXPIRED,
        ResultCode::HostUnreachable => EXIT_UNREACHABLE,
        _ => EXIT_FAILED,
    }
}
