//! A connection that breaks when a line in the head of an answer ends without a carriage return.

use std::sync::atomic::{AtomicBool, Ordering};
use std::{io, pin, sync, task};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::head_lines::HeadLines;

/// Tells a [`CheckedStream`] that an answer is due. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct AnswerSignal {
    is_due: sync::Arc<AtomicBool>,
}

impl AnswerSignal {
    /// The next bytes that are read begin an answer. Called before its request is written.
    pub fn expect_answer(&self) {
        self.is_due.store(true, Ordering::Release);
    }

    fn take(&self) -> bool {
        self.is_due.swap(false, Ordering::AcqRel)
    }
}

/// A stream whose answers are checked while they are read.
#[derive(Debug)]
pub struct CheckedStream {
    stream: TcpStream,
    signal: AnswerSignal,
    lines: HeadLines,
}

impl CheckedStream {
    /// Checks the answers that `signal` announces.
    #[must_use]
    pub fn new(stream: TcpStream, signal: AnswerSignal) -> Self {
        Self {
            stream,
            signal,
            lines: HeadLines::default(),
        }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.signal.take() {
            self.lines.begin();
        }
        let checked = self.lines.check(&buf.filled()[before..]);
        task::Poll::Ready(
            checked.map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault)),
        )
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
