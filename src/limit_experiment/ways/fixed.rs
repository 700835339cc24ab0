//! Fixed shares: hosts send no messages to each other.

use super::{HostView, LimitWay, SentMessage, SimDecision, SimRequest};
use crate::entry::hash;
use crate::limit_experiment::fixed_parts::{FixedParts, FixedVerdict};
use crate::limit_experiment::fixed_share::HostShare;
use crate::timer::Moment;

/// Each host uses its own share alone.
#[derive(Debug)]
pub struct FixedWay {
    parts: FixedParts,
}

impl LimitWay for FixedWay {
    type Message = ();

    const NAME: &'static str = "fixed parts";

    fn start(_own: usize, _run: u64, _now: Moment) -> Self {
        Self {
            parts: FixedParts::default(),
        }
    }

    fn on_request(
        &mut self,
        request: &SimRequest,
        view: &HostView,
        now: Moment,
        _out: &mut Vec<SentMessage<()>>,
    ) -> SimDecision {
        let name = |host| hash::of_name(&HostView::name(host));
        let others = (0..view.regions.len()).filter(|host| *host != view.own);
        let others: Vec<u64> = others.map(name).collect();
        let share = HostShare {
            hosts: view.hosts,
            own_hash: name(view.own),
            other_hashes: &others,
        };
        let customer = format!("{:x}", request.customer);
        match self.parts.admit(&customer, &request.bound, &share, now) {
            FixedVerdict::Admitted => SimDecision::Admit,
            FixedVerdict::Refused { .. } => SimDecision::Refuse,
        }
    }
}
