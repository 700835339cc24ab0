//! Finds lines in the heads of answers that end without a carriage return.
//!
//! HTTP libraries accept a line feed alone as the end of a line (RFC 9112, section 2.2). One byte
//! that was changed then ends a head early: what follows is read as the body, or the answer seems
//! complete without one.

/// A line of a head ends without a carriage return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a line of the answer's head ends without a carriage return")]
pub struct BareLineFeed;

/// Number of bytes of a status line before the status, as in `HTTP/1.1 200 OK`.
const STATUS_OFFSET: usize = 9;

/// What the next bytes of a connection belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum AnswerPart {
    /// A body, or nothing that was asked for.
    #[default]
    Other,
    /// Empty lines before a head, or its status line.
    StatusLine,
    /// The fields of a head.
    Fields,
}

/// Follows the lines of an answer's head while it arrives.
///
/// ```
/// use ledgespool::head_lines::{BareLineFeed, HeadLines};
/// let mut lines = HeadLines::default();
/// lines.begin();
/// assert_eq!(lines.check(b"HTTP/1.1 200 OK\r\n\r\nbody\n\n"), Ok(()));
/// lines.begin();
/// assert_eq!(lines.check(b"HTTP/1.1 200 OK\r\nX: a\n"), Err(BareLineFeed));
/// ```
#[derive(Debug, Default)]
pub struct HeadLines {
    part: AnswerPart,
    /// Whether the answer is an interim one, which another head follows.
    is_interim: bool,
    /// Number of bytes of the current line, without its end.
    line_bytes: usize,
    after_return: bool,
}

impl HeadLines {
    /// Expects the head of the next answer.
    pub fn begin(&mut self) {
        *self = Self {
            part: AnswerPart::StatusLine,
            ..Self::default()
        };
    }

    /// Checks the next bytes as far as they belong to a head.
    ///
    /// # Errors
    /// When a line ends without a carriage return.
    pub fn check(&mut self, bytes: &[u8]) -> Result<(), BareLineFeed> {
        for byte in bytes {
            if self.part == AnswerPart::Other {
                break;
            }
            match byte {
                b'\n' if !self.after_return => return Err(BareLineFeed),
                b'\n' => self.end_line(),
                b'\r' => self.after_return = true,
                _ => self.add(*byte),
            }
        }
        Ok(())
    }

    fn add(&mut self, byte: u8) {
        if self.part == AnswerPart::StatusLine && self.line_bytes == STATUS_OFFSET {
            self.is_interim = byte == b'1';
        }
        self.line_bytes += 1;
        self.after_return = false;
    }

    fn end_line(&mut self) {
        let is_empty = self.line_bytes == 0;
        self.line_bytes = 0;
        self.after_return = false;
        match self.part {
            AnswerPart::StatusLine if !is_empty => self.part = AnswerPart::Fields,
            AnswerPart::Fields if is_empty && self.is_interim => self.begin(),
            AnswerPart::Fields if is_empty => self.part = AnswerPart::Other,
            _ => {}
        }
    }
}
