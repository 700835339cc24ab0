//! Lends this host's parts of limits to the hosts that pool them, in rounds.

use std::{rc, time};

use crate::entry::gossip;
use crate::entry::host::EntryHost;
use crate::entry::limits::member::AddressedOffer;
use crate::entry::limits::message::{LeaseOffer, LimitMessage};
use crate::entry::limits::{GROUPS, ROUND_MS};
use crate::entry::peer_message::PeerMessage;
use crate::entry::peers::CoordinatorAddress;
use crate::entry::wire::WireProtocol;

/// Starts the rounds in which this host lends its parts.
pub(in crate::entry) fn spawn<W: WireProtocol>(host: &rc::Rc<EntryHost<W>>) {
    tokio::task::spawn_local(lend_in_rounds(rc::Rc::clone(host)));
}

async fn lend_in_rounds<W: WireProtocol>(host: rc::Rc<EntryHost<W>>) {
    let mut rounds = tokio::time::interval(time::Duration::from_millis(ROUND_MS));
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        while !host.has_limits() {
            host.limits.configured.notified().await;
        }
        rounds.tick().await;
        host.lend_parts();
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// One round: who pools what is looked up anew, and this host's parts are offered.
    pub(super) fn lend_parts(&self) {
        self.limits.questions.forget_abandoned();
        let now = self.now();
        let own_name = self.settings().name.clone();
        let own_region = self.settings().region.clone();
        let places = self.grantor_places(&own_region);
        let wanted: [Option<&str>; GROUPS] = std::array::from_fn(|group| {
            let near = places[group].first().and_then(Option::as_ref);
            near.map(|place| place.name.as_str())
        });
        let settings = self.settings();
        let regions = settings.halls.regions().into_iter();
        let hosts = self.peers.borrow().limit_host_count(&own_region, regions);
        let offers = self.limits.member.borrow_mut().round(hosts, wanted, now);
        self.learn_places(&places);
        for offer in offers {
            self.send_offer(&own_name, offer);
        }
    }

    /// The grantors of each group: the own region's first, then those of the others.
    fn grantor_places(&self, own_region: &str) -> [Vec<Option<CoordinatorAddress>>; GROUPS] {
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
            let passes_over = |name: &str| member.passes_over(name, now);
            let place =
                |region: &&str| peers.coordinator_of(region, group as u64, own, passes_over, now);
            regions.iter().map(place).collect()
        })
    }

    fn learn_places(&self, places: &[Vec<Option<CoordinatorAddress>>; GROUPS]) {
        let mut lists = self.limits.lists.borrow_mut();
        let mut known = self.limits.places.borrow_mut();
        known.clear();
        for (list, places) in lists.iter_mut().zip(places) {
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
            self.lend_to_itself(offer.offer);
            return;
        }
        let address = self.limits.places.borrow().get(&offer.to).copied();
        let address = address.or_else(|| self.peers.borrow().heartbeat_address(&offer.to));
        if let Some(address) = address {
            let message = LimitMessage::Offer(offer.offer);
            gossip::send(self, &PeerMessage::Limit(message), &[address]);
        }
    }

    /// This host is a grantor of its own: what would be sent goes from one role to the other.
    fn lend_to_itself(&self, offer: LeaseOffer) {
        let now = self.now();
        let mut next = Some(offer);
        while let Some(offer) = next.take() {
            let Some(reply) = self.limits.grantor.borrow_mut().on_offer(&offer, now) else {
                return;
            };
            if reply.uses {
                self.limits.lent.notify_waiters();
            }
            let answer = self.limits.member.borrow_mut().on_reply(&reply, now);
            next = answer.map(|next| next.offer);
        }
    }

    /// This host is about to stop: those that lent it their parts get them back.
    pub(in crate::entry) fn stop_granting(&self) {
        self.limits.grantor.borrow_mut().stop(self.now());
    }
}
