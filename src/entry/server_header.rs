//! Parses the answer headers in which a backend server states its own condition: leaving and
//! backoff.

use std::time;

/// Longest backoff; a longer one is shortened to this.
const MAX_BACKOFF: time::Duration = time::Duration::from_hours(24);

/// The header that states whether a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingHeader {
    /// The header is missing, or the server is not leaving.
    Absent,
    /// The server is leaving.
    Leaving,
    /// The value is neither `0` nor `1`.
    Unreadable,
}

impl LeavingHeader {
    /// Combines all values of the header in one answer; a single `1` is enough for leaving.
    ///
    /// ```
    /// use ledgespool::entry::server_header::LeavingHeader;
    /// let header = |values: &[&str]| LeavingHeader::from_texts(values.iter().copied());
    /// assert_eq!(header(&["1"]), LeavingHeader::Leaving);
    /// assert_eq!(header(&["0", "1"]), LeavingHeader::Leaving);
    /// assert_eq!(header(&["0"]), LeavingHeader::Absent);
    /// assert_eq!(header(&["soon"]), LeavingHeader::Unreadable);
    /// assert_eq!(header(&[]), LeavingHeader::Absent);
    /// ```
    #[must_use]
    pub fn from_texts<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut header = Self::Absent;
        for value in values {
            header = match (header, value.trim()) {
                (Self::Leaving, _) | (_, "1") => Self::Leaving,
                (known, "0") => known,
                _ => Self::Unreadable,
            };
        }
        header
    }
}

/// The header with the time for which a server that refuses a request wants no others from this
/// host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffHeader {
    /// The header is missing or zero.
    Absent,
    /// The duration of the backoff.
    For(time::Duration),
    /// The value is not a number of seconds.
    Unreadable,
}

impl BackoffHeader {
    /// Combines all values of the header in one answer; the longest time applies.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ledgespool::entry::server_header::BackoffHeader;
    /// let header = |values: &[&str]| BackoffHeader::from_texts(values.iter().copied());
    /// assert_eq!(header(&["2.5"]), BackoffHeader::For(Duration::from_millis(2_500)));
    /// assert_eq!(header(&["1", "3"]), BackoffHeader::For(Duration::from_secs(3)));
    /// assert_eq!(header(&["x", "3"]), BackoffHeader::For(Duration::from_secs(3)));
    /// assert_eq!(header(&["0"]), BackoffHeader::Absent);
    /// assert_eq!(header(&["-3"]), BackoffHeader::Unreadable);
    /// assert_eq!(header(&["Thu, 03 Dec 2026 08:00:00 GMT"]), BackoffHeader::Unreadable);
    /// ```
    #[must_use]
    pub fn from_texts<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut header = Self::Absent;
        for value in values {
            let backoff = seconds(value);
            header = match (header, backoff) {
                (Self::For(known), Some(backoff)) => Self::For(known.max(backoff)),
                (Self::For(known), None) => Self::For(known),
                (known, Some(time::Duration::ZERO)) => known,
                (_, Some(backoff)) => Self::For(backoff),
                (_, None) => Self::Unreadable,
            };
        }
        header
    }
}

/// A number of seconds, fractions included, rounded up to milliseconds.
fn seconds(text: &str) -> Option<time::Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds.is_sign_negative() {
        return None;
    }
    let millis = (seconds * 1_000.0).ceil();
    // The value is not negative, and a float cast saturates.
    let backoff = time::Duration::from_millis(millis as u64);
    Some(backoff.min(MAX_BACKOFF))
}
