//! Lets the kernel break connections whose peer has fallen silent.
//!
//! A host behind a cut, or one that lost power, resets nothing: a connection to it stays open and says
//! nothing for good. Where an answer may take long that can't be told from waiting, so the kernel asks
//! the peer's kernel at short intervals.

use std::time;

/// Bytes that the peer does not confirm within this time break the connection.
const UNCONFIRMED_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// A quiet connection is probed after this time, and then as often.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Lost probes that break it.
const PROBES: u32 = 2;

/// Has the kernel probe a connection from now on.
///
/// # Errors
/// When the kernel refuses an option.
pub fn enable(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNCONFIRMED_LIMIT))
}
