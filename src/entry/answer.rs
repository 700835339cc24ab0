//! The body of an answer to a caller, either complete in memory or streamed from a backend server.

use std::{pin, task};

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};

/// A callback for the end of a streamed answer. It is dropped without a call if the caller
/// disconnects first.
pub trait StreamEnd {
    /// The server's answer ended; `complete` is false if the connection broke within it.
    fn on_end(self, complete: bool);
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody<E> {
    /// The complete body, until it has been sent.
    Whole(Option<Bytes>),
    /// A body that is still arriving from the server.
    Streamed {
        /// The part that was read before streaming began.
        buffered: Option<Bytes>,
        /// The part that has not been read yet.
        remaining: Incoming,
        /// Called once when the answer ends.
        on_end: Option<E>,
    },
}

impl<E> AnswerBody<E> {
    /// A body that is complete in memory.
    #[must_use]
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl<E: StreamEnd + Unpin> http_body::Body for AnswerBody<E> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => task::Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all)))),
            Self::Streamed {
                buffered,
                remaining,
                on_end,
            } => {
                if let Some(bytes) = buffered.take() {
                    return task::Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let polled = pin::Pin::new(&mut *remaining).poll_frame(cx);
                let complete = match &polled {
                    task::Poll::Ready(None) => Some(true),
                    task::Poll::Ready(Some(Err(_))) => Some(false),
                    // With a known length, hyper does not poll again after the last byte.
                    task::Poll::Ready(Some(Ok(_))) if remaining.is_end_stream() => Some(true),
                    _ => None,
                };
                if let Some(complete) = complete
                    && let Some(on_end) = on_end.take()
                {
                    on_end.on_end(complete);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed {
                buffered,
                remaining,
                on_end,
            } => buffered.is_none() && on_end.is_none() && remaining.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed {
                buffered,
                remaining,
                ..
            } => {
                let before = buffered.as_ref().map_or(0, Bytes::len) as u64;
                match remaining.size_hint().exact() {
                    Some(after) => SizeHint::with_exact(before + after),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
