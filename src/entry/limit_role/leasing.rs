//! Leases this host's shares of limits to the coordinators, in periodic rounds.

use std::{rc, time};

use crate::entry::gossip;
use crate::entry::host::EntryHost;
use crate::entry::limits::member::AddressedOffer;
use crate::entry::limits::message::{LeaseOffer, LimitMessage};
use crate::entry::limits::{GROUPS, ROUND_INTERVAL_MS};
use crate::entry::peer_message::PeerMessage;
use crate::entry::peers::CoordinatorAddress;
use crate::entry::wire::WireProtocol;

/// Starts the task that runs the lease rounds of this host.
pub(in crate::entry) fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) {
    tokio::task::spawn_local(run_lease_rounds(rc::Rc::clone(host)));
}

async fn run_lease_rounds<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut rounds = tokio::time::interval(time::Duration::from_millis(ROUND_INTERVAL_MS));
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        while !host.has_limits() {
            host.limits.configured.notified().await;
        }
        rounds.tick().await;
        host.run_lease_round();
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// Runs one round: looks up the coordinators again and offers this host's shares to them.
    pub(super) fn run_lease_round(&self) {
        self.limits.pending_requests.remove_abandoned();
        let now = self.now();
        let own_name = self.settings().name.clone();
        let own_region = self.settings().region.clone();
        let places = self.find_coordinators(&own_region);
        let preferred: [Option<&str>; GROUPS] = std::array::from_fn(|group| {
            let local = places[group].first().and_then(Option::as_ref);
            local.map(|place| place.name.as_str())
        });
        let settings = self.settings();
        let regions = settings.halls.regions().into_iter();
        let hosts = self.peers.borrow().limit_host_count(&own_region, regions);
        let offers = self.limits.member.borrow_mut().round(hosts, preferred, now);
        self.update_coordinators(&places);
        for offer in offers {
            self.send_offer(&own_name, offer);
        }
    }

    /// The coordinators of each group: that of the own region first, then those of the others.
    fn find_coordinators(&self, own_region: &str) -> [Vec<Option<CoordinatorAddress>>; GROUPS] {
        let now = self.now();
        let own = self.record();
        let own = (!self.is_leaving()).then_some(&own);
        let peers = self.peers.borrow();
        let member = self.limits.member.borrow();
        let settings = self.settings();
        let others = settings.halls.regions();
        let others = others.into_iter().filter(|region| *region != own_region);
        let regions: Vec<&str> = std::iter::once(own_region).chain(others).collect();
        std::array::from_fn(|group| {
            let is_skipped = |name: &str| member.is_skipped(name, now);
            let place =
                |region: &&str| peers.coordinator_of(region, group as u64, own, is_skipped, now);
            regions.iter().map(place).collect()
        })
    }

    fn update_coordinators(&self, places: &[Vec<Option<CoordinatorAddress>>; GROUPS]) {
        let mut coordinator_lists = self.limits.coordinator_lists.borrow_mut();
        let mut known = self.limits.coordinator_addresses.borrow_mut();
        known.clear();
        for (list, places) in coordinator_lists.iter_mut().zip(places) {
            let places = places.iter().flatten();
            known.extend(
                places
                    .clone()
                    .map(|place| (place.name.clone(), place.address)),
            );
            list.names = places.map(|place| place.name.clone()).collect();
        }
    }

    fn send_offer(&self, own_name: &str, offer: AddressedOffer) {
        if offer.to == own_name {
            self.lease_to_self(offer.offer);
            return;
        }
        let address = self
            .limits
            .coordinator_addresses
            .borrow()
            .get(&offer.to)
            .copied();
        let address = address.or_else(|| self.peers.borrow().heartbeat_address(&offer.to));
        if let Some(address) = address {
            let message = LimitMessage::Offer(offer.offer);
            gossip::send(self, &PeerMessage::Limit(message), &[address]);
        }
    }

    /// This host is its own coordinator: passes the messages from one role to the other directly.
    fn lease_to_self(&self, offer: LeaseOffer) {
        let now = self.now();
        let mut next = Some(offer);
        while let Some(offer) = next.take() {
            let Some(reply) = self.limits.coordinator.borrow_mut().on_offer(&offer, now) else {
                return;
            };
            if reply.uses {
                self.limits.lease_began.notify_waiters();
            }
            let answer = self.limits.member.borrow_mut().on_reply(&reply, now);
            next = answer.map(|next| next.offer);
        }
    }

    /// Releases the shares that members have leased to this host, which is about to stop.
    pub(in crate::entry) fn stop_coordinating(&self) {
        self.limits.coordinator.borrow_mut().stop(self.now());
    }
}
