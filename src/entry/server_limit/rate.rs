//! Request rates, as backend servers advertise them.

/// Requests a second, stored in thousandths so that rates compare exactly and encode in few bytes.
///
/// ```
/// use ledgespool::entry::server_limit::rate::RequestRate;
/// let rate = RequestRate::from_text("1.8").expect("a rate");
/// assert_eq!(rate.per_s(), 1.8);
/// assert_eq!(RequestRate::from_text("-1"), None);
/// assert_eq!(RequestRate::from_text("NaN"), None);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct RequestRate(u64);

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

impl RequestRate {
    /// Parses a decimal number of requests a second; `None` if it is not a valid rate.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        // Not negative, and a float cast saturates.
        is_rate.then(|| Self((per_s * MILLI).round() as u64))
    }

    /// Requests a second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.0 as f64 / MILLI
    }
}

/// The limit that an answer advertises for its server: the requests that it takes from all hosts
/// together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// No limit.
    Absent,
    /// At most this rate.
    Rate(RequestRate),
    /// A value that is not a valid rate.
    Unreadable,
}

impl AdvertisedLimit {
    /// Combines all values that one answer advertises: the lowest rate applies.
    ///
    /// ```
    /// use ledgespool::entry::server_limit::rate::AdvertisedLimit;
    /// let advertised = |values: &[&str]| AdvertisedLimit::from_texts(values.iter().copied());
    /// assert_eq!(advertised(&["4", "2"]), advertised(&["2"]));
    /// assert_eq!(advertised(&["x", "2"]), advertised(&["2"]));
    /// assert_eq!(advertised(&["x"]), AdvertisedLimit::Unreadable);
    /// assert_eq!(advertised(&[]), AdvertisedLimit::Absent);
    /// ```
    #[must_use]
    pub fn from_texts<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut advertised = Self::Absent;
        for value in values {
            let rate = RequestRate::from_text(value);
            advertised = match (advertised, rate) {
                (Self::Rate(known), Some(rate)) => Self::Rate(known.min(rate)),
                (Self::Rate(known), None) => Self::Rate(known),
                (_, Some(rate)) => Self::Rate(rate),
                (_, None) => Self::Unreadable,
            };
        }
        advertised
    }
}
