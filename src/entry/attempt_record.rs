//! The expected and the actual answer of the server that got a request, as written to the log.

/// What a host expects of one server for one request, with the inputs of that estimate.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ExpectedAnswer {
    /// The server's position in the object's ranking, from 0; on routes without objects, its
    /// position in the random sample.
    pub place: usize,
    /// Whether the server is assumed to have the object cached; also true if the route has no
    /// objects.
    #[serde(rename = "knows_object")]
    pub object_cached: bool,
    /// Estimated number of requests at the server.
    pub load: f64,
    /// Age of the server's last load report, in milliseconds; `None` if it never reported one.
    pub load_age_ms: Option<u64>,
    /// The wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The processing time, in milliseconds.
    pub work_ms: f64,
    /// The round trip time, in milliseconds.
    #[serde(rename = "way_ms")]
    pub rtt_ms: f64,
}

impl ExpectedAnswer {
    /// The expected time from the start of the attempt to the answer, in milliseconds.
    ///
    /// ```
    /// use ledgespool::entry::attempt_record::ExpectedAnswer;
    /// let expected = ExpectedAnswer {
    ///     place: 0,
    ///     object_cached: true,
    ///     load: 1.0,
    ///     load_age_ms: None,
    ///     wait_ms: 5.0,
    ///     work_ms: 100.0,
    ///     rtt_ms: 40.0,
    /// };
    /// assert!((expected.total_ms() - 145.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub const fn total_ms(&self) -> f64 {
        self.wait_ms + self.work_ms + self.rtt_ms
    }
}

/// The attempt that was answered.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptRecord {
    /// The expected answer.
    pub expected: ExpectedAnswer,
    /// Time from the start of the attempt to the answer, in milliseconds.
    pub took_ms: u64,
    /// Number of requests at the server as reported with the answer, if it reports them.
    #[serde(default)]
    pub reported_load: Option<u32>,
    /// The pace that the server reported with the answer, in percent of the usual time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reported_pace: Option<u32>,
    /// Number of earlier attempts to send the same request.
    #[serde(rename = "offers_before")]
    pub earlier_attempts: usize,
}
