//! Collects a body in blocks while it arrives.
//!
//! The pieces that an HTTP library returns share its read buffers. A piece of one byte would keep a
//! whole buffer allocated, so each piece is copied into a block and dropped.

use bytes::{Bytes, BytesMut};

use crate::request_body::RequestBody;

/// Size of the first block, in bytes, unless the body is stated to be shorter.
const FIRST_BLOCK_BYTES: usize = 4 << 10;
/// Size of all further blocks, in bytes. The memory of a block that was freed fits any other one.
const BLOCK_BYTES: usize = 16 << 10;

/// The part of a body that has arrived.
///
/// ```
/// use ledgespool::entry::body_buffer::BodyBuffer;
/// use ledgespool::request_body::RequestBody;
/// let mut buffer = BodyBuffer::with_length(Some(5));
/// assert_eq!(buffer.growth_for(2), 5);
/// buffer.push(b"ab");
/// assert_eq!(buffer.growth_for(3), 0);
/// buffer.push(b"cde");
/// assert_eq!(buffer.into_body(), RequestBody::from("abcde"));
/// ```
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
    /// The stated length of the body, in bytes.
    stated: Option<usize>,
}

impl BodyBuffer {
    /// An empty buffer for a body of this stated length, in bytes.
    #[must_use]
    pub fn with_length(stated: Option<usize>) -> Self {
        Self {
            stated,
            ..Self::default()
        }
    }

    /// The number of bytes that have arrived.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing has arrived.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The memory that [`Self::push`] allocates for a piece of this length, in bytes.
    #[must_use]
    pub fn growth_for(&self, length: usize) -> usize {
        match length.saturating_sub(self.room()) {
            0 => 0,
            missing => self.next_block(missing),
        }
    }

    /// Adds the piece that arrives next.
    pub fn push(&mut self, piece: &[u8]) {
        let (fitting, other) = piece.split_at(piece.len().min(self.room()));
        self.last.extend_from_slice(fitting);
        self.len += fitting.len();
        if other.is_empty() {
            return;
        }
        let block = BytesMut::with_capacity(self.next_block(other.len()));
        let last = std::mem::replace(&mut self.last, block);
        if !last.is_empty() {
            self.full.push(last.freeze());
        }
        self.last.extend_from_slice(other);
        self.len += other.len();
    }

    /// The complete body.
    #[must_use]
    pub fn into_body(self) -> RequestBody {
        let mut parts = self.full;
        parts.push(self.last.freeze());
        RequestBody::from_parts(parts)
    }

    fn room(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    /// The size of the next block, into which at least `missing` bytes go.
    fn next_block(&self, missing: usize) -> usize {
        let known = self.len + self.room();
        let block = match known {
            0 => FIRST_BLOCK_BYTES,
            _ => BLOCK_BYTES,
        };
        let expected = self
            .stated
            .map_or(block, |stated| block.min(stated.saturating_sub(known)));
        expected.max(missing)
    }
}
