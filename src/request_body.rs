//! A request body in several parts, which are sent one after the other.
//!
//! A large body is never copied into one piece: it would take twice its memory for a moment.

use std::{convert, pin, sync, task};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use crate::byte_account::HeldBytes;

/// A complete body. Clones share its bytes, and each clone is sent from the beginning.
///
/// ```
/// use ledgespool::request_body::RequestBody;
/// let body = RequestBody::from_parts(vec!["one ".into(), "two".into()]);
/// assert_eq!(body.len(), 7);
/// assert_eq!(body, RequestBody::from("one two"));
/// assert!(RequestBody::default().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    /// The first part, which is the whole of a small body.
    first: Bytes,
    rest: sync::Arc<[Bytes]>,
    /// Number of parts that were sent.
    sent: usize,
    /// Counts the bytes until the last clone is dropped.
    held: Option<sync::Arc<HeldBytes>>,
}

impl RequestBody {
    /// A body of these parts.
    #[must_use]
    pub fn from_parts(parts: Vec<Bytes>) -> Self {
        let mut parts = parts.into_iter();
        Self {
            first: parts.next().unwrap_or_default(),
            rest: parts.collect(),
            sent: 0,
            held: None,
        }
    }

    /// The same body, whose bytes are counted until its last clone is dropped.
    #[must_use]
    pub fn counted(self, held: HeldBytes) -> Self {
        Self {
            held: Some(sync::Arc::new(held)),
            ..self
        }
    }

    /// The parts that have not been sent.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        let all = std::iter::once(&self.first).chain(self.rest.iter());
        all.skip(self.sent)
    }

    /// The number of bytes that have not been sent.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts().map(Bytes::len).sum()
    }

    /// Whether all bytes have been sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts().all(Bytes::is_empty)
    }

    /// The same body behind another part.
    #[must_use]
    pub fn after(&self, first: Bytes) -> Self {
        Self {
            held: self.held.clone(),
            ..Self::from_parts(
                std::iter::once(first)
                    .chain(self.parts().cloned())
                    .collect(),
            )
        }
    }

    /// Splits off the first `length` bytes, which are copied; `None` if there are fewer.
    ///
    /// ```
    /// use ledgespool::request_body::RequestBody;
    /// let body = RequestBody::from_parts(vec!["ab".into(), "cd".into()]);
    /// let (start, rest) = body.split_at(3).expect("four bytes");
    /// assert_eq!(start, *b"abc");
    /// assert_eq!(rest, RequestBody::from("d"));
    /// assert!(rest.split_at(2).is_none());
    /// ```
    #[must_use]
    pub fn split_at(&self, length: usize) -> Option<(Vec<u8>, Self)> {
        let mut start = Vec::with_capacity(length.min(self.len()));
        let mut rest = Vec::new();
        for part in self.parts() {
            let taken = part.len().min(length - start.len());
            start.extend_from_slice(&part[..taken]);
            if taken < part.len() {
                rest.push(part.slice(taken..));
            }
        }
        let rest = Self {
            held: self.held.clone(),
            ..Self::from_parts(rest)
        };
        (start.len() == length).then_some((start, rest))
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            first: bytes,
            ..Self::default()
        }
    }
}

impl From<&'static str> for RequestBody {
    fn from(text: &'static str) -> Self {
        Self::from(Bytes::from_static(text.as_bytes()))
    }
}

impl PartialEq for RequestBody {
    fn eq(&self, other: &Self) -> bool {
        let own = self.parts().flat_map(|part| part.iter());
        own.eq(other.parts().flat_map(|part| part.iter()))
    }
}

impl Eq for RequestBody {}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, convert::Infallible>>> {
        let body = self.get_mut();
        loop {
            let next = body.parts().next().cloned();
            body.sent += 1;
            match next {
                Some(part) if part.is_empty() => {}
                part => return task::Poll::Ready(part.map(|part| Ok(Frame::data(part)))),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
