//! When the callers of refused requests may retry.
//!
//! **Load pattern.** Many requests of all classes are refused at once. If all callers retry after
//! the same time, patient and urgent requests compete for the first slots that become free, and the
//! urgent ones cannot wait for the next.

use super::classes::UrgencyClass;

/// The retries of patient callers are spread over this multiple of their typical answer time: the
/// time in which the slots that are taken now become free, and once more for the requests that
/// return first.
const PATIENT_SPREAD_FACTOR: f64 = 2.0;

/// A refusal whose retry time is determined.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusedRequest {
    /// The class of the request's route.
    pub class: UrgencyClass,
    /// When a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
    /// Typical time of an answer, in milliseconds.
    pub typical_ms: f64,
    /// Time left until the goal, in milliseconds.
    pub goal_left_ms: f64,
}

impl RefusedRequest {
    /// The retry time for the caller, in milliseconds. Patient callers retry later than others, but
    /// early enough to be answered within their goal. `random` is a number from 0 to 1.
    ///
    /// ```
    /// use ledgespool::urgency::classes::UrgencyClass;
    /// use ledgespool::urgency::refusal::RefusedRequest;
    /// let urgent = RefusedRequest {
    ///     class: UrgencyClass::Urgent,
    ///     retry_after_ms: 100,
    ///     typical_ms: 1_000.0,
    ///     goal_left_ms: 8_000.0,
    /// };
    /// assert_eq!(urgent.ordered_retry_ms(0.5), 100);
    /// let patient = RefusedRequest { class: UrgencyClass::Patient, ..urgent };
    /// assert_eq!(patient.ordered_retry_ms(0.5), 1_100);
    /// ```
    #[must_use]
    pub fn ordered_retry_ms(&self, random: f64) -> u64 {
        if self.class != UrgencyClass::Patient {
            return self.retry_after_ms;
        }
        let useful_ms = self.goal_left_ms - self.typical_ms - self.retry_after_ms as f64;
        let spread_ms = (self.typical_ms * PATIENT_SPREAD_FACTOR).min(useful_ms.max(0.0));
        // The value is positive, and float casts saturate.
        self.retry_after_ms + (spread_ms * random) as u64
    }
}
