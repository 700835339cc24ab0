//! What was expected of the server that a request was offered to, and what came: the inputs of a
//! choice, as the log tells them.

/// What a host expects of one server for one request, and what it bases that on.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ExpectedAnswer {
    /// The server's place in the object's rank, from 0; on routes without objects, in the draw.
    pub place: usize,
    /// Whether the server is taken to know the object, or the route has none.
    pub knows_object: bool,
    /// Requests that are taken to be at the server.
    pub load: f64,
    /// How long ago the server last told its load, in milliseconds; `None` if it never did.
    pub load_age_ms: Option<u64>,
    /// The wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The work, in milliseconds.
    pub work_ms: f64,
    /// The way there and back, in milliseconds.
    pub way_ms: f64,
}

impl ExpectedAnswer {
    /// The time from the offer to the answer, in milliseconds.
    ///
    /// ```
    /// use ledgespool::entry::offer_record::ExpectedAnswer;
    /// let expected = ExpectedAnswer {
    ///     place: 0,
    ///     knows_object: true,
    ///     load: 1.0,
    ///     load_age_ms: None,
    ///     wait_ms: 5.0,
    ///     work_ms: 100.0,
    ///     way_ms: 40.0,
    /// };
    /// assert!((expected.total_ms() - 145.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub const fn total_ms(&self) -> f64 {
        self.wait_ms + self.work_ms + self.way_ms
    }
}

/// The offer that was answered.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct OfferRecord {
    /// What was expected.
    pub expected: ExpectedAnswer,
    /// From the offer to the answer, in milliseconds.
    pub took_ms: u64,
    /// Servers that the request was offered to before.
    pub offers_before: usize,
}
