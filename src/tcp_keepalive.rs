//! TCP keepalive settings, with which the kernel breaks connections whose peer has fallen silent.
//!
//! A host that is partitioned or loses power does not reset its connections; they stay open without
//! any data. Where a response may take long, this looks the same as waiting, so the kernel probes
//! the peer's kernel at short intervals.
//!
//! On Linux a user timeout replaces the number of unanswered probes: the connection breaks when a
//! probe is due, the one before is unanswered and the peer has been silent for the user timeout. With
//! the times below, one lost probe is enough.

use std::time;

/// Data that the peer does not acknowledge within this time breaks the connection.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Interval between probes; the kernel counts in seconds.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// When the first probe is sent. The connection breaks one second later if it is unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStart {
    /// After one second without data: for requests that may be sent again, such as watches.
    Early,
    /// After two seconds without data: for connections on which a server may run a request that is
    /// lost with them. Most requests end before, so that no lost probe ends them.
    Late,
}

impl ProbeStart {
    const fn idle_time(self) -> time::Duration {
        match self {
            Self::Early => time::Duration::from_secs(1),
            Self::Late => time::Duration::from_secs(2),
        }
    }
}

/// Enables keepalive probes on a connection.
///
/// # Errors
/// When the kernel refuses an option.
pub fn enable(stream: &tokio::net::TcpStream, start: ProbeStart) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(start.idle_time())
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
