//! The body of an answer to a caller: whole, or streamed with something to do at its end.

use std::{pin, task};

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};

/// What is told when a streamed answer ends; dropped untold when the caller leaves early.
pub trait StreamEnd {
    /// The server's answer was read to its end, or broke off.
    fn on_end(self, whole: bool);
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody<E> {
    /// All bytes are at hand.
    Whole(Option<Bytes>),
    /// Bytes read so far, and the rest as it comes.
    Streamed {
        /// What was read before.
        first: Option<Bytes>,
        /// The rest.
        rest: Incoming,
        /// Told at the end.
        end: Option<E>,
    },
}

impl<E> AnswerBody<E> {
    /// A body of which all bytes are at hand.
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
            Self::Streamed { first, rest, end } => {
                if let Some(bytes) = first.take() {
                    return task::Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let polled = pin::Pin::new(&mut *rest).poll_frame(cx);
                let whole = match &polled {
                    task::Poll::Ready(None) => Some(true),
                    task::Poll::Ready(Some(Err(_))) => Some(false),
                    // With a told length nobody asks again after its last byte.
                    task::Poll::Ready(Some(Ok(_))) if rest.is_end_stream() => Some(true),
                    _ => None,
                };
                if let Some(whole) = whole
                    && let Some(end) = end.take()
                {
                    end.on_end(whole);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed { first, rest, end } => {
                first.is_none() && end.is_none() && rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed { first, rest, .. } => {
                let before = first.as_ref().map_or(0, Bytes::len) as u64;
                match rest.size_hint().exact() {
                    Some(after) => SizeHint::with_exact(before + after),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
