//! A TCP stream that shows the end of its peer's data while earlier data is still unread.
//!
//! Reading cannot show that: an HTTP server that processes a request and has buffered a part of the
//! next one reads no further. The kernel reports the end as an event of its own (`EPOLLRDHUP`).

use std::{io, net, pin, sync, task};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream with several owners. One of them reads and writes, the others wait for its end.
///
/// ```
/// use ledgespool::shared_stream::SharedStream;
/// use tokio::io::AsyncWriteExt as _;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
/// runtime.block_on(async {
///     let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
///     let mut peer = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
///     let (stream, _address) = listener.accept().await?;
///     let stream = SharedStream::from(stream);
///     peer.write_all(b"never read").await?;
///     drop(peer);
///     stream.peer_closed().await;
///     Ok::<_, std::io::Error>(())
/// })?;
/// # Ok::<_, std::io::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct SharedStream {
    stream: sync::Arc<TcpStream>,
}

impl SharedStream {
    /// Waits until the peer has closed, half-closed or reset the connection.
    ///
    /// TCP does not distinguish a peer that has closed its socket from one that has shut down only
    /// its writing side until data is sent to it. Both count as closed.
    pub async fn peer_closed(&self) {
        // Unlike a readable interest, this one is not ready while data is unread.
        while let Ok(ready) = self.stream.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }

    fn poll_write_with(
        &self,
        cx: &mut task::Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> task::Poll<io::Result<usize>> {
        loop {
            task::ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                result => return task::Poll::Ready(result),
            }
        }
    }
}

impl From<TcpStream> for SharedStream {
    fn from(stream: TcpStream) -> Self {
        Self {
            stream: sync::Arc::new(stream),
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            task::ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
                result => return task::Poll::Ready(result.map(|_bytes| ())),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // Writes are not buffered.
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.stream);
        task::Poll::Ready(socket.shutdown(net::Shutdown::Write))
    }
}
