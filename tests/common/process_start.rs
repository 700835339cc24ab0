//! Starting processes beside threads that look for free addresses.
//!
//! Until it runs its own program a new process holds copies of all open sockets, so that an address that
//! was tried just then would not be free when it is used. Without the lock 52 of 5,000 addresses
//! were taken beside four threads that start processes.

use std::process::{Child, Command};
use std::sync::RwLock;

/// Held for reading while a process starts, and for writing while an address is tried.
static SOCKETS_ARE_COPIED: RwLock<()> = RwLock::new(());

/// Starts a process; it runs its own program when this returns.
pub fn start(command: &mut Command) -> Child {
    let _no_address_is_tried = SOCKETS_ARE_COPIED.read().expect("no test panicked here");
    command.spawn().expect("the process starts")
}

/// Does something while no process starts, such as trying an address.
pub fn while_none_starts<T>(action: impl FnOnce() -> T) -> T {
    let _no_process_starts = SOCKETS_ARE_COPIED.write().expect("no test panicked here");
    action()
}
