//! Fixed shares: hosts send no messages to each other.

use super::{HostView, LimitStrategy, SentMessage, SimDecision, SimRequest};
use crate::entry::hash;
use crate::limit_experiment::fixed_shares::{FixedShares, FixedVerdict};
use crate::limit_experiment::host_share::HostSet;
use crate::timer::Moment;

/// Each host uses its own share alone.
#[derive(Debug)]
pub struct FixedStrategy {
    shares: FixedShares,
}

impl LimitStrategy for FixedStrategy {
    type Message = ();

    const NAME: &'static str = "fixed parts";

    fn start(_own: usize, _run: u64, _now: Moment) -> Self {
        Self {
            shares: FixedShares::default(),
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
        let hosts = HostSet {
            hosts: view.hosts,
            own_hash: name(view.own),
            other_hashes: &others,
        };
        let customer = format!("{:x}", request.customer);
        match self.shares.admit(&customer, &request.bound, &hosts, now) {
            FixedVerdict::Admitted => SimDecision::Admit,
            FixedVerdict::Refused { .. } => SimDecision::Refuse,
        }
    }
}
