//! The share of each server's slots that patient requests leave free.
//!
//! **Load pattern.** Patient requests arrive faster than they are processed for a while and fill
//! all slots of the servers of some objects. Urgent requests arrive one by one all the time; how
//! many of them are at a server at a time follows from their rate and their processing time
//! (Little's law).

use crate::timer::Moment;

/// Time constant of the decay of earlier requests, in milliseconds. It is several times a patient
/// route's goal of a few seconds at most, and shorter than a change of the demand over a minute.
const DECAY_MS: f64 = 10_000.0;
/// After this time without an urgent request no slot is left free, in milliseconds.
const URGENT_MEMORY_MS: u64 = 30_000;
/// The largest part of a server's slots that is left free. Patient requests keep the other half,
/// so that their rate never falls below half of what the servers can process.
const MAX_RESERVED_PART: f64 = 0.5;

/// The slot time that one host's requests of a service used lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotUse {
    /// Of all requests but patient ones, in milliseconds, decayed up to `updated`.
    urgent_ms: f64,
    /// Of all requests, in milliseconds, decayed up to `updated`.
    total_ms: f64,
    updated: Moment,
    last_urgent: Option<Moment>,
}

impl SlotUse {
    /// Counts a request that holds a slot for `slot_ms`, in milliseconds.
    pub fn on_sent(&mut self, is_patient: bool, slot_ms: f64, now: Moment) {
        let factor = (-(now.since(self.updated) as f64) / DECAY_MS).exp();
        self.urgent_ms *= factor;
        self.total_ms = self.total_ms * factor + slot_ms;
        self.updated = now;
        if !is_patient {
            self.urgent_ms += slot_ms;
            self.last_urgent = Some(now);
        }
    }

    /// The share of a server's slots that patient requests leave free, for servers with `slots`
    /// slots. It covers the mean number of urgent requests at a full server and one standard
    /// deviation (the number is Poisson distributed), in whole slots.
    ///
    /// ```
    /// use ledgespool::timer::Moment;
    /// use ledgespool::urgency::reserve::SlotUse;
    /// let mut slot_use = SlotUse::default();
    /// slot_use.on_sent(true, 1_700.0, Moment(0));
    /// assert!(slot_use.reserved_share(9, Moment(1)) < f64::EPSILON);
    /// slot_use.on_sent(false, 300.0, Moment(2));
    /// assert!(slot_use.reserved_share(9, Moment(3)) > 0.0);
    /// ```
    #[must_use]
    pub fn reserved_share(&self, slots: u32, now: Moment) -> f64 {
        let is_recent = |last: Moment| now.since(last) <= URGENT_MEMORY_MS;
        let slots = f64::from(slots);
        let max_reserved = (slots * MAX_RESERVED_PART).floor();
        if !self.last_urgent.is_some_and(is_recent) || max_reserved < 1.0 || self.total_ms <= 0.0 {
            return 0.0;
        }
        let mean = slots * self.urgent_ms / self.total_ms;
        let reserved = (mean + mean.sqrt()).ceil().clamp(1.0, max_reserved);
        reserved / slots
    }
}
