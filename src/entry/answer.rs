//! The body of an answer to a caller, either complete in memory or streamed from a backend server.

use std::{pin, task, time};

use bytes::Bytes;
use http_body::Body as _;
use hyper::body::{Frame, Incoming, SizeHint};

/// A callback for the end of a streamed answer. It is dropped without a call if the caller
/// disconnects first.
pub trait StreamEnd {
    /// The server's answer ended; `complete` is false if the connection broke within it.
    fn on_end(self, complete: bool);

    /// The request's deadline was reached within the answer; `is_silent` tells whether the server has
    /// sent nothing that could be passed on.
    fn on_deadline(self, is_silent: bool);
}

/// Why an answer ends before it is complete.
#[derive(Debug, thiserror::Error)]
pub enum AnswerFault {
    /// The connection to the server broke.
    #[error(transparent)]
    Server(#[from] hyper::Error),
    /// The request's deadline was reached.
    #[error("the answer was not complete at the deadline of its request")]
    DeadlineReached,
}

/// An answer that is still arriving from the server.
#[derive(Debug)]
pub struct AnswerStream<E> {
    /// The part that was read before streaming began.
    buffered: Option<Bytes>,
    /// The part that has not been read yet.
    remaining: Incoming,
    /// An answer may come without end, or stop without one.
    deadline: pin::Pin<Box<tokio::time::Sleep>>,
    /// Called once when the answer ends.
    on_end: Option<E>,
}

impl<E: StreamEnd> AnswerStream<E> {
    fn poll_frame(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, AnswerFault>>> {
        if let Some(bytes) = self.buffered.take() {
            return task::Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let polled = pin::Pin::new(&mut self.remaining).poll_frame(cx);
        let complete = match &polled {
            task::Poll::Ready(None) => Some(true),
            task::Poll::Ready(Some(Err(_))) => Some(false),
            // With a known length, hyper does not poll again after the last byte.
            task::Poll::Ready(Some(Ok(_))) if self.remaining.is_end_stream() => Some(true),
            _ => None,
        };
        if let Some(complete) = complete {
            if let Some(on_end) = self.on_end.take() {
                on_end.on_end(complete);
            }
        } else if self.deadline.as_mut().poll(cx).is_ready() {
            if let Some(on_end) = self.on_end.take() {
                on_end.on_deadline(polled.is_pending());
            }
            return task::Poll::Ready(Some(Err(AnswerFault::DeadlineReached)));
        }
        polled.map(|frame| frame.map(|frame| frame.map_err(AnswerFault::from)))
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody<E> {
    /// The complete body, until it has been sent.
    Whole(Option<Bytes>),
    /// A body that is still arriving from the server.
    Streamed(AnswerStream<E>),
}

impl<E> AnswerBody<E> {
    /// A body that is complete in memory.
    #[must_use]
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// The time until a streamed body is broken off.
    #[must_use]
    pub fn time_left(&self) -> Option<time::Duration> {
        match self {
            Self::Whole(_) => None,
            Self::Streamed(stream) => {
                let deadline = stream.deadline.deadline();
                Some(deadline.saturating_duration_since(tokio::time::Instant::now()))
            }
        }
    }

    /// A body of which `buffered` was read, and which is broken off after `time_left`.
    #[must_use]
    pub fn streamed(
        buffered: Bytes,
        remaining: Incoming,
        time_left: time::Duration,
        on_end: E,
    ) -> Self {
        Self::Streamed(AnswerStream {
            buffered: Some(buffered),
            remaining,
            deadline: Box::pin(tokio::time::sleep(time_left)),
            on_end: Some(on_end),
        })
    }
}

impl<E: StreamEnd + Unpin> http_body::Body for AnswerBody<E> {
    type Data = Bytes;
    type Error = AnswerFault;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, AnswerFault>>> {
        match self.get_mut() {
            Self::Whole(bytes) => task::Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all)))),
            Self::Streamed(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed(stream) => {
                stream.buffered.is_none()
                    && stream.on_end.is_none()
                    && stream.remaining.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(stream) => {
                let before = stream.buffered.as_ref().map_or(0, Bytes::len) as u64;
                match stream.remaining.size_hint().exact() {
                    Some(after) => SizeHint::with_exact(before + after),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
