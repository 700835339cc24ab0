//! Checks what the head of an answer states about the length of its body (RFC 9112, section 6).
//!
//! A lenient reader takes all bytes up to the end of the connection for the body of an answer in an
//! unknown transfer coding, also those that frame it, and passes over a length beside a coding.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Why the statements of a head about the length of the body cannot be true.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FramingFault {
    /// No request asks for a transfer coding, so only `chunked` is possible.
    #[error("the transfer coding is not \"chunked\"")]
    OtherCoding,
    /// A server must not send both; one of them is wrong.
    #[error("a length is stated beside the transfer coding")]
    LengthBesideCoding,
}

/// Checks the head of an answer.
///
/// # Errors
/// Why the length of the body is unknown.
///
/// ```
/// use http::HeaderMap;
/// use http::header::{HeaderValue, TRANSFER_ENCODING};
/// use ledgespool::body_framing::{self, FramingFault};
/// let mut headers = HeaderMap::new();
/// assert_eq!(body_framing::check(&headers), Ok(()));
/// headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
/// assert_eq!(body_framing::check(&headers), Ok(()));
/// headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunke"));
/// assert_eq!(body_framing::check(&headers), Err(FramingFault::OtherCoding));
/// ```
pub fn check(headers: &HeaderMap) -> Result<(), FramingFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => return Ok(()),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {}
        _ => return Err(FramingFault::OtherCoding),
    }
    if headers.contains_key(CONTENT_LENGTH) {
        return Err(FramingFault::LengthBesideCoding);
    }
    Ok(())
}
