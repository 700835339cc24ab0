//! Closes connections without sending what the peer has not received yet.
//!
//! A closed connection normally goes on sending the bytes that its peer has not acknowledged. A
//! request that was given up, because its time is over, its caller has left or another server
//! answers it, would then still arrive when a broken path works again.

use std::time;

/// Makes the close of a connection reset it and discard the unacknowledged bytes. For connections
/// whose last answer was read, or is no longer wanted, when they are closed.
///
/// # Errors
/// When the kernel refuses the option.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_io().build()?.block_on(async {
/// use ledgespool::tcp_close;
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let stream = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
/// tcp_close::discard_unsent(&stream)?;
/// # std::io::Result::Ok(())
/// # })?;
/// # std::io::Result::Ok(())
/// ```
pub fn discard_unsent(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO))
}
