//! Starts processes while other threads look for free addresses.
//!
//! Between fork and exec a new process holds copies of all open sockets. An address that is probed in
//! that time is still in use when the test binds it. Without the lock 52 of 5,000 addresses were in
//! use while four threads started processes.

use std::process::{Child, Command};
use std::sync::RwLock;

/// Held for reading while a process starts, and for writing while an address is probed.
static PROCESS_START_LOCK: RwLock<()> = RwLock::new(());

/// Starts a process. When this returns, the process has executed its program.
pub fn start(command: &mut Command) -> Child {
    let _start_guard = PROCESS_START_LOCK.read().expect("no test panicked here");
    command.spawn().expect("the process starts")
}

/// Runs an action, such as probing an address, while no process is being started.
pub fn while_none_starts<T>(action: impl FnOnce() -> T) -> T {
    let _probe_guard = PROCESS_START_LOCK.write().expect("no test panicked here");
    action()
}
