//! Finds where the requests of a connection begin, to tell whether another one has been read behind
//! the current one.
//!
//! An HTTP server reads ahead: one read may return several requests that a caller sent without
//! waiting (RFC 9112, section 9.3.2). A server that closes the connection after an answer drops those
//! behind it, although it has read them. [`BoundaryStream`] passes on at most one head at a time and
//! keeps the rest.

use std::{cell, io, pin, rc, task, time};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::shared_stream::SharedStream;

/// What the next bytes of the stream belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum ReadPart {
    /// Empty lines before a head, or the head itself.
    #[default]
    BeforeHead,
    /// The head; `line_start` tells whether the last line is empty so far.
    Head { line_start: bool },
    /// A head was passed on, and its request has not begun yet.
    AfterHead,
    /// The rest of a body, in bytes.
    Body(u64),
    /// The boundaries are not known any more: a body came without a length.
    Unknown,
}

/// How far the requests of a connection have been read.
#[derive(Debug, Default)]
pub struct RequestBoundary {
    part: cell::Cell<ReadPart>,
    /// Bytes that were read behind the part that was passed on.
    rest: cell::RefCell<Vec<u8>>,
    /// Heads that were passed on and whose requests have not begun.
    waiting_heads: cell::Cell<u32>,
    /// Size of the part of the current head that was passed on, in bytes; 0 between two heads.
    head_bytes: cell::Cell<usize>,
}

impl RequestBoundary {
    /// Records that the next request begins. `body_length` is that of its body, in bytes; `None` if
    /// it has no stated length.
    pub fn on_request(&self, body_length: Option<u64>) {
        self.head_bytes.set(0);
        let waiting = self.waiting_heads.get();
        self.waiting_heads.set(waiting.saturating_sub(1));
        if self.part.get() == ReadPart::AfterHead {
            self.part.set(match body_length {
                Some(0) => ReadPart::BeforeHead,
                Some(length) => ReadPart::Body(length),
                None => ReadPart::Unknown,
            });
        }
    }

    /// Whether another request was read, at least in part, behind the one that began last.
    ///
    /// ```
    /// use ledgespool::request_boundary::RequestBoundary;
    /// let boundary = RequestBoundary::default();
    /// boundary.take_part(b"GET / HTTP/1.1\r\n\r\n");
    /// boundary.on_request(Some(0));
    /// assert!(!boundary.has_next());
    /// boundary.take_part(b"GET /two HTTP/1.1\r\n\r\n");
    /// assert!(boundary.has_next(), "it has not begun");
    /// boundary.on_request(Some(0));
    /// assert!(!boundary.has_next());
    /// ```
    #[must_use]
    pub fn has_next(&self) -> bool {
        self.waiting_heads.get() > 0 || !self.rest.borrow().is_empty()
    }

    /// The number of `bytes` that may be passed on: up to the end of a head or a body.
    ///
    /// ```
    /// use ledgespool::request_boundary::RequestBoundary;
    /// let boundary = RequestBoundary::default();
    /// let head = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n";
    /// assert_eq!(boundary.take_part(head), head.len());
    /// boundary.on_request(Some(3));
    /// assert_eq!(boundary.take_part(b"abcGET /two"), 3);
    /// ```
    #[must_use]
    pub fn take_part(&self, bytes: &[u8]) -> usize {
        match self.part.get() {
            ReadPart::BeforeHead | ReadPart::Head { .. } => self.take_head(bytes),
            ReadPart::Body(left) => {
                let taken = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                let left = left - taken as u64;
                self.part.set(match left {
                    0 => ReadPart::BeforeHead,
                    left => ReadPart::Body(left),
                });
                taken
            }
            // The server reads on before it begins the request, so it sees other boundaries.
            ReadPart::AfterHead | ReadPart::Unknown => {
                self.part.set(ReadPart::Unknown);
                self.waiting_heads.set(0);
                bytes.len()
            }
        }
    }

    fn is_within_head(&self) -> bool {
        match self.part.get() {
            ReadPart::Head { .. } => true,
            ReadPart::Unknown => self.head_bytes.get() > 0,
            _ => false,
        }
    }

    /// Counts bytes that were passed on. Where the boundaries are not known, those that come while the
    /// connection is idle belong to a head.
    fn count_unknown(&self, bytes: usize, is_idle: bool) {
        if self.part.get() == ReadPart::Unknown {
            let head_bytes = self.head_bytes.get() + bytes;
            self.head_bytes.set(if is_idle { head_bytes } else { 0 });
        }
    }

    fn take_head(&self, bytes: &[u8]) -> usize {
        let taken = self.scan_head(bytes);
        self.head_bytes.set(match self.part.get() {
            ReadPart::Head { .. } => self.head_bytes.get() + taken,
            _ => 0,
        });
        taken
    }

    fn scan_head(&self, bytes: &[u8]) -> usize {
        let mut part = self.part.get();
        for (at, byte) in bytes.iter().enumerate() {
            part = match (part, byte) {
                (ReadPart::BeforeHead, b'\r' | b'\n') => ReadPart::BeforeHead,
                (ReadPart::Head { line_start: true }, b'\n') => ReadPart::AfterHead,
                (ReadPart::Head { line_start: true }, b'\r') => part,
                (_, b'\n') => ReadPart::Head { line_start: true },
                _ => ReadPart::Head { line_start: false },
            };
            if part == ReadPart::AfterHead {
                self.part.set(part);
                self.waiting_heads.set(self.waiting_heads.get() + 1);
                return at + 1;
            }
        }
        self.part.set(part);
        bytes.len()
    }
}

/// Limits what the peer of a stream may do.
pub trait StreamLimits {
    /// Whether a head of which `bytes` have been read may go on. Called for each part of a head.
    fn allows_head(&mut self, bytes: usize) -> bool;

    /// The time that a head may take from its first byte.
    fn head_timeout(&self) -> time::Duration;

    /// Whether no request of the connection is being read or answered.
    fn is_idle(&self) -> bool;

    /// Called for each write; `is_blocked` tells whether the peer took nothing, since it has not read
    /// what was written before.
    fn on_write(&mut self, is_blocked: bool);
}

/// Largest part that is returned by one read, in bytes. An HTTP server enlarges its buffer when a read
/// fills it, and keeps the larger one while it waits for the rest of a body.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A stream that is read up to the end of each head and each body.
#[derive(Debug)]
pub struct BoundaryStream<L> {
    stream: SharedStream,
    boundary: rc::Rc<RequestBoundary>,
    limits: L,
    /// Ends when an incomplete head has taken too long.
    head_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<L: StreamLimits> BoundaryStream<L> {
    /// Reads `stream` and records its requests in `boundary`.
    #[must_use]
    pub const fn new(stream: SharedStream, boundary: rc::Rc<RequestBoundary>, limits: L) -> Self {
        Self {
            stream,
            boundary,
            limits,
            head_timer: None,
        }
    }

    /// Reads one part, as much as fits and at most [`MAX_READ_BYTES`].
    fn poll_part(
        &mut self,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let fitting = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(fitting));
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        task::Poll::Ready(Ok(()))
    }

    /// Whether the head that is arriving has taken too long.
    fn poll_head_timeout(&mut self, cx: &mut task::Context<'_>) -> bool {
        if !self.boundary.is_within_head() {
            self.head_timer = None;
            return false;
        }
        let timeout = self.limits.head_timeout();
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        timer.as_mut().poll(cx).is_ready()
    }

    fn check_head(&mut self) -> io::Result<()> {
        let head_bytes = self.boundary.head_bytes.get();
        if head_bytes == 0 {
            self.head_timer = None;
            return Ok(());
        }
        if self.limits.allows_head(head_bytes) {
            Ok(())
        } else {
            Err(io::ErrorKind::OutOfMemory.into())
        }
    }
}

impl<L: StreamLimits + Unpin> AsyncRead for BoundaryStream<L> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let boundary = rc::Rc::clone(&self.boundary);
        let mut rest = boundary.rest.borrow_mut();
        if !rest.is_empty() {
            let fitting = rest.len().min(buf.remaining());
            let taken = boundary.take_part(&rest[..fitting]);
            buf.put_slice(&rest[..taken]);
            rest.drain(..taken);
            return task::Poll::Ready(self.check_head());
        }
        let before = buf.filled().len();
        let polled = self.poll_part(cx, buf)?;
        if polled.is_pending() {
            return if self.poll_head_timeout(cx) {
                task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            } else {
                task::Poll::Pending
            };
        }
        let taken = boundary.take_part(&buf.filled()[before..]);
        rest.extend_from_slice(&buf.filled()[before + taken..]);
        buf.set_filled(before + taken);
        boundary.count_unknown(taken, self.limits.is_idle());
        task::Poll::Ready(self.check_head())
    }
}

impl<L: StreamLimits + Unpin> AsyncWrite for BoundaryStream<L> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limits.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limits.on_write(written.is_pending());
        written
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
