//! Words in which a backend server speaks of itself in the heads of its answers.

use std::time;

/// The longest rest that is counted exactly; a longer one is as good as for ever.
const LONGEST_REST: time::Duration = time::Duration::from_hours(24);

/// Whether an answer says that its server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingWord {
    /// It does not.
    Absent,
    /// It does.
    Leaving,
    /// It says something else in its place.
    Unreadable,
}

impl LeavingWord {
    /// What all values that one answer carries say together: one that says so is enough.
    ///
    /// ```
    /// use ledgespool::entry::server_word::LeavingWord;
    /// let word = |values: &[&str]| LeavingWord::from_texts(values.iter().copied());
    /// assert_eq!(word(&["1"]), LeavingWord::Leaving);
    /// assert_eq!(word(&["0", "1"]), LeavingWord::Leaving);
    /// assert_eq!(word(&["0"]), LeavingWord::Absent);
    /// assert_eq!(word(&["soon"]), LeavingWord::Unreadable);
    /// assert_eq!(word(&[]), LeavingWord::Absent);
    /// ```
    #[must_use]
    pub fn from_texts<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut word = Self::Absent;
        for value in values {
            word = match (word, value.trim()) {
                (Self::Leaving, _) | (_, "1") => Self::Leaving,
                (known, "0") => known,
                _ => Self::Unreadable,
            };
        }
        word
    }
}

/// For how long a server that turns a request away wants no others from the host that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestWord {
    /// It does not say.
    Absent,
    /// For so long.
    For(time::Duration),
    /// It says something that is no number of seconds.
    Unreadable,
}

impl RestWord {
    /// What all values that one answer carries say together: the longest time holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ledgespool::entry::server_word::RestWord;
    /// let word = |values: &[&str]| RestWord::from_texts(values.iter().copied());
    /// assert_eq!(word(&["2.5"]), RestWord::For(Duration::from_millis(2_500)));
    /// assert_eq!(word(&["1", "3"]), RestWord::For(Duration::from_secs(3)));
    /// assert_eq!(word(&["x", "3"]), RestWord::For(Duration::from_secs(3)));
    /// assert_eq!(word(&["0"]), RestWord::Absent);
    /// assert_eq!(word(&["-3"]), RestWord::Unreadable);
    /// assert_eq!(word(&["Thu, 03 Dec 2026 08:00:00 GMT"]), RestWord::Unreadable);
    /// ```
    #[must_use]
    pub fn from_texts<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut word = Self::Absent;
        for value in values {
            let rest = seconds(value);
            word = match (word, rest) {
                (Self::For(known), Some(rest)) => Self::For(known.max(rest)),
                (Self::For(known), None) => Self::For(known),
                (known, Some(time::Duration::ZERO)) => known,
                (_, Some(rest)) => Self::For(rest),
                (_, None) => Self::Unreadable,
            };
        }
        word
    }
}

/// A number of seconds, fractions included, rounded up to milliseconds.
fn seconds(text: &str) -> Option<time::Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds.is_sign_negative() {
        return None;
    }
    let millis = (seconds * 1_000.0).ceil();
    // Not negative, and a float cast saturates.
    let rest = time::Duration::from_millis(millis as u64);
    Some(rest.min(LONGEST_REST))
}
