//! Counts how one worker uses its slice of a grant.

/// Usage of a place or route by this worker.
#[derive(Debug, Default)]
pub(super) struct UnitCounter {
    pub(super) grant: u32,
    pub(super) in_use: u32,
    pub(super) completed: u32,
    pub(super) refused: u32,
    pub(super) refused_ms: f64,
    /// This place's share of the waiting requests.
    pub(super) waiting: f64,
    /// Average answer time of the place, in milliseconds; 0 before the first answer.
    pub(super) answer_ms: f64,
}

impl UnitCounter {
    pub(super) const fn has_free_unit(&self) -> bool {
        self.in_use < self.grant
    }

    pub(super) const fn acquire(&mut self) {
        self.in_use += 1;
    }

    pub(super) fn record_answer(&mut self, answer_ms: f64) {
        let before = if self.answer_ms == 0.0 {
            answer_ms
        } else {
            self.answer_ms
        };
        self.answer_ms = before + AnswerEstimate::AVERAGE_WEIGHT * (answer_ms - before);
    }

    pub(super) const fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }
}

/// Answer times of a class, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerEstimate {
    pub(super) answer_ms: f64,
    pub(super) fastest_ms: f64,
}

impl AnswerEstimate {
    /// The estimate before the first answer.
    pub(super) const INITIAL: Self = Self {
        answer_ms: 20.0,
        fastest_ms: 0.0,
    };
    const AVERAGE_WEIGHT: f64 = 0.1;
    /// The fastest time grows by this factor with each answer, so that it adapts if the class has
    /// become slower.
    const FASTEST_GROWTH: f64 = 1.01;

    /// Records an answer time.
    pub(super) fn record(&mut self, answer_ms: f64) {
        self.answer_ms += Self::AVERAGE_WEIGHT * (answer_ms - self.answer_ms);
        self.fastest_ms = if self.fastest_ms == 0.0 {
            answer_ms
        } else {
            answer_ms.min(self.fastest_ms * Self::FASTEST_GROWTH)
        };
    }
}
