//! TCP keepalive settings, with which the kernel breaks connections whose peer has fallen silent.
//!
//! A host that is partitioned or loses power does not reset its connections; they stay open without
//! any data. Where a response may take long, this looks the same as waiting, so the kernel probes
//! the peer's kernel at short intervals.

use std::time;

/// Data that the peer does not acknowledge within this time breaks the connection.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Idle time before the first probe, and the interval between probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes that break the connection.
const MAX_LOST_PROBES: u32 = 2;

/// Enables keepalive probes on a connection.
///
/// # Errors
/// When the kernel refuses an option.
pub fn enable(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_LOST_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
