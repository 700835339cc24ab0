//! Runs the decisions of [`crate::urgency`] on an entry host: connects them to the clock, the
//! configuration and the requests that wait here.

use std::{cell, collections, rc, time};

use rand::Rng as _;

use super::configuration::RouteTable;
use super::fleet_server::FleetServer;
use super::host::EntryHost;
use super::open_request::OpenRequest;
use super::wire::WireProtocol;
use crate::timer::Moment;
use crate::urgency::classes::{UrgencyClass, UrgencyTable};
use crate::urgency::reserve::SlotUse;
use crate::urgency::waiting::{PlaceOffer, WaitDecision, WaitTicket, WaitingLine};

/// Range of the time after which a waiting request compares the servers again, in milliseconds. A
/// slot may have become free through another host's request. The range keeps the hosts that wait
/// for the same server from sending at the same time.
const RECHECK_MS: std::ops::Range<u64> = 50..150;
/// Number of waiting requests beyond which each compares the servers less often, so that all of them
/// together take a bounded time.
const REQUESTS_PER_RECHECK: usize = 32;
/// Memory of a waiting request besides its body, in bytes: headers, path and task.
const REQUEST_OVERHEAD_BYTES: usize = 4 << 10;

/// The requests that wait at this host, and what reserves slots for urgent ones.
#[derive(Debug, Default)]
pub struct UrgencyRole {
    line: rc::Rc<cell::RefCell<HostLine>>,
    slot_use: cell::RefCell<collections::HashMap<String, SlotUse>>,
}

/// The line of this host, with a way to wake each request in it.
#[derive(Debug, Default)]
struct HostLine {
    line: WaitingLine,
    wakers: collections::HashMap<WaitTicket, rc::Rc<tokio::sync::Notify>>,
}

impl HostLine {
    fn wake(&self, ticket: WaitTicket) {
        if let Some(waker) = self.wakers.get(&ticket) {
            waker.notify_one();
        }
    }
}

/// A request that waits at this host until the value is dropped.
#[derive(Debug)]
pub(super) struct HeldRequest {
    line: rc::Rc<cell::RefCell<HostLine>>,
    ticket: WaitTicket,
    waker: rc::Rc<tokio::sync::Notify>,
    recheck: time::Duration,
}

impl HeldRequest {
    /// Waits until the servers should be compared again.
    pub(super) async fn woken(&self, now: Moment) {
        let slack_ms = self.ticket.latest_start().since(now).max(1);
        let recheck = self.recheck.min(time::Duration::from_millis(slack_ms));
        tokio::select! {
            () = self.waker.notified() => {}
            () = tokio::time::sleep(recheck) => {}
        }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let mut line = self.line.borrow_mut();
        line.line.leave(self.ticket);
        line.wakers.remove(&self.ticket);
    }
}

impl<W: WireProtocol> EntryHost<W> {
    /// The class of the request's route at its service; `None` if the decisions are off or the
    /// service's routes have the same priority.
    pub(super) fn urgency_class(&self, open: &OpenRequest) -> Option<UrgencyClass> {
        let routes = self.routes_by_urgency()?;
        routes.urgency().class_of(&open.service, &open.route.name)
    }

    fn routes_by_urgency(&self) -> Option<rc::Rc<RouteTable>> {
        self.routes().filter(|_| self.settings().load.urgency)
    }

    /// The patient routes of a configuration with their services, for the log; `None` if the
    /// decisions are off.
    pub(super) fn patient_routes(&self, table: &UrgencyTable) -> Option<Vec<String>> {
        let routes = table.routes_of(UrgencyClass::Patient);
        let names = routes.map(|(service, route)| format!("{service}/{route}"));
        self.settings().load.urgency.then(|| names.collect())
    }

    /// Counts the slot time of a request that is sent.
    pub(super) fn record_slot_use(&self, open: &OpenRequest, slot_ms: f64) {
        let Some(class) = self.urgency_class(open) else {
            return;
        };
        let now = self.now();
        let mut services = self.urgency.slot_use.borrow_mut();
        let is_patient = class == UrgencyClass::Patient;
        if let Some(slot_use) = services.get_mut(&open.service) {
            return slot_use.on_sent(is_patient, slot_ms, now);
        }
        let slot_use = services.entry(open.service.clone()).or_default();
        slot_use.on_sent(is_patient, slot_ms, now);
    }

    /// The share of each server's slots that patient requests of `service` leave free.
    pub(super) fn reserved_share(&self, service: &str) -> f64 {
        let fleet = self.fleet.borrow();
        let servers = fleet.of_service(service).iter();
        let slots = servers.map(|server| server.slots).max().unwrap_or(0);
        let services = self.urgency.slot_use.borrow();
        services
            .get(service)
            .map_or(0.0, |slot_use| slot_use.reserved_share(slots, self.now()))
    }

    /// Decides what a patient request does that would be sent to `offer` now.
    pub(super) fn decide_wait(
        &self,
        offer: &PlaceOffer,
        latest_start: Moment,
        held: Option<&HeldRequest>,
    ) -> WaitDecision {
        let now = self.now();
        let mut line = self.urgency.line.borrow_mut();
        match held {
            None => line.line.on_arrival(offer, latest_start, now),
            Some(held) => line.line.on_wake(offer, held.ticket, now),
        }
    }

    /// Lets a request wait for a slot at `place`; `None` if too many wait.
    pub(super) fn hold(
        &self,
        open: &OpenRequest,
        place: u64,
        latest_start: Moment,
    ) -> Option<HeldRequest> {
        let bytes = open.forward.body.len() + REQUEST_OVERHEAD_BYTES;
        let mut line = self.urgency.line.borrow_mut();
        let ticket = line.line.join(place, latest_start, bytes);
        let counters = &mut self.metrics.borrow_mut().urgency;
        let Some(ticket) = ticket else {
            counters.over_bound += 1;
            return None;
        };
        counters.waited += 1;
        let waker = rc::Rc::new(tokio::sync::Notify::new());
        line.wakers.insert(ticket, rc::Rc::clone(&waker));
        let crowd = 1 + (line.line.len() / REQUESTS_PER_RECHECK) as u64;
        let recheck_ms = self.random.borrow_mut().random_range(RECHECK_MS) * crowd;
        Some(HeldRequest {
            line: rc::Rc::clone(&self.urgency.line),
            ticket,
            waker,
            recheck: time::Duration::from_millis(recheck_ms),
        })
    }

    /// Lets a waiting request compare the servers again.
    pub(super) fn wake(&self, ticket: WaitTicket) {
        self.urgency.line.borrow().wake(ticket);
    }

    /// Wakes the first request that waits for a slot of `server`, of which one became free.
    pub(super) fn on_slot_freed(&self, server: &FleetServer) {
        let line = self.urgency.line.borrow();
        if let Some(first) = line.line.first_at(server.incarnation_hash) {
            line.wake(first);
        }
    }

    /// Number of requests that wait at this host.
    pub(super) fn waiting_count(&self) -> usize {
        self.urgency.line.borrow().line.len()
    }
}
