//! Since when the requests of a connection have been waiting for their turn.
//!
//! **Load pattern.** A caller sends several requests on a connection without waiting for the
//! answers (RFC 9112, section 9.3.2). The host processes them one after the other, so the later
//! ones have already spent a part of their goal when the host reads them. Holding each of them for
//! as long as a request that has just been sent would make the last ones late.

use crate::timer::Moment;

/// A request that arrives within this time after the previous answer was already waiting, in
/// milliseconds. A caller that sends it after it has read the answer needs at least a round trip,
/// and one that is nearer than this waits no time worth counting.
const MAX_GAP_MS: u64 = 1;

/// The requests of one connection, which follow each other without a gap.
///
/// ```
/// use ledgespool::timer::Moment;
/// use ledgespool::urgency::pipeline::RequestPipeline;
/// let mut pipeline = RequestPipeline::default();
/// assert_eq!(pipeline.on_request(Moment(100)), Moment(100));
/// pipeline.on_answer(Moment(900));
/// // Sent before the answer: it may have waited since the first.
/// assert_eq!(pipeline.on_request(Moment(900)), Moment(100));
/// pipeline.on_answer(Moment(1_500));
/// assert_eq!(pipeline.on_request(Moment(1_540)), Moment(1_540));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestPipeline {
    began: Moment,
    last_answer: Option<Moment>,
}

impl RequestPipeline {
    /// Records a request that the host has read; returns the earliest moment at which the caller
    /// may have sent it.
    pub fn on_request(&mut self, now: Moment) -> Moment {
        let follows = |last: Moment| now.since(last) <= MAX_GAP_MS;
        if !self.last_answer.is_some_and(follows) {
            self.began = now;
        }
        self.began
    }

    /// Records that the answer to the last request is ready; the rest of a streamed one may follow.
    pub const fn on_answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
    }
}
