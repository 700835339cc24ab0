//! Checks what the head of an answer states about the length of its body (RFC 9112, section 6).
//!
//! A lenient reader takes all bytes up to the end of the connection for the body of an answer in an
//! unknown transfer coding, also those that frame it, and passes over a length beside a coding or
//! where no body follows.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

/// Why the statements of a head about the length of the body cannot be true.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FramingFault {
    /// No request asks for a transfer coding, so only `chunked` is possible.
    #[error("the transfer coding is not \"chunked\"")]
    OtherCoding,
    /// The length is no number, or there are several.
    #[error("the stated length is not one number")]
    InvalidLength,
    /// A server must not send both; one of them is wrong.
    #[error("a length is stated beside the transfer coding")]
    LengthBesideCoding,
    /// An answer with this status has no body.
    #[error("a body is stated beside status 204")]
    BodyBesideNoContent,
}

/// Checks the head of an answer.
///
/// # Errors
/// Why the length of the body is unknown.
///
/// ```
/// use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
/// use http::{HeaderMap, StatusCode};
/// use ledgespool::body_framing::{self, FramingFault};
/// let mut headers = HeaderMap::new();
/// assert_eq!(body_framing::check(StatusCode::OK, &headers), Ok(()));
/// headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
/// assert_eq!(body_framing::check(StatusCode::OK, &headers), Ok(()));
/// headers.insert(CONTENT_LENGTH, HeaderValue::from_static("5"));
/// let fault = FramingFault::LengthBesideCoding;
/// assert_eq!(body_framing::check(StatusCode::OK, &headers), Err(fault));
/// ```
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), FramingFault> {
    let is_chunked = is_chunked(headers)?;
    let length = stated_length(headers)?;
    if is_chunked && length.is_some() {
        return Err(FramingFault::LengthBesideCoding);
    }
    let has_body = is_chunked || length.is_some_and(|length| length > 0);
    if has_body && status == StatusCode::NO_CONTENT {
        return Err(FramingFault::BodyBesideNoContent);
    }
    Ok(())
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, FramingFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(FramingFault::OtherCoding),
    }
}

/// The length in bytes that a head states. The same number may be stated several times (RFC 9110,
/// section 8.6).
///
/// # Errors
/// `InvalidLength`.
///
/// ```
/// use http::HeaderMap;
/// use http::header::{CONTENT_LENGTH, HeaderValue};
/// use ledgespool::body_framing::{self, FramingFault};
/// let mut headers = HeaderMap::new();
/// assert_eq!(body_framing::stated_length(&headers), Ok(None));
/// headers.insert(CONTENT_LENGTH, HeaderValue::from_static("21, 21"));
/// assert_eq!(body_framing::stated_length(&headers), Ok(Some(21)));
/// headers.append(CONTENT_LENGTH, HeaderValue::from_static("5"));
/// let fault = FramingFault::InvalidLength;
/// assert_eq!(body_framing::stated_length(&headers), Err(fault));
/// ```
pub fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, FramingFault> {
    let mut stated = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for digits in value.as_bytes().split(|byte| *byte == b',') {
            let length = parse_length(digits.trim_ascii()).ok_or(FramingFault::InvalidLength)?;
            if stated.is_some_and(|stated| stated != length) {
                return Err(FramingFault::InvalidLength);
            }
            stated = Some(length);
        }
    }
    Ok(stated)
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    // A number with a sign can be parsed as well.
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
