//! The control thread: feeds the controller and carries out what it decides.

use std::sync::atomic;
use std::{collections, sync};

use tokio::sync::{oneshot, watch};

use crate::control_message::{CallPurpose, ControlAction, ControlAnswer, ControlInput};
use crate::controller::HostController;
use crate::event_writer::EventPort;
use crate::peer_link::PeerMessage;
use crate::plan::{HostGrants, PlaceGrant};
use crate::platform_call::PlatformCall;
use crate::platform_link::PurposedCall;
use crate::port::{ControlEnvelope, ControlPort};
use crate::ring::{RingFault, RingReceiver, RingSender};
use crate::timer::{self, BootClock};
use crate::worker::WorkerOrder;

/// A worker's ring, and the newest order of each kind that found it full.
#[derive(Debug)]
pub(crate) struct WorkerPort {
    pub(crate) ring: RingSender<WorkerOrder>,
    held: collections::VecDeque<WorkerOrder>,
}

impl WorkerPort {
    /// A port with nothing held back.
    pub(crate) const fn with_ring(ring: RingSender<WorkerOrder>) -> Self {
        Self {
            ring,
            held: collections::VecDeque::new(),
        }
    }

    fn send(&mut self, order: WorkerOrder) {
        self.held
            .retain(|held| std::mem::discriminant(held) != std::mem::discriminant(&order));
        self.held.push_back(order);
        self.flush();
    }

    fn flush(&mut self) {
        while let Some(order) = self.held.pop_front() {
            if let Err(RingFault::Full(order)) = self.ring.push(order) {
                self.held.push_front(order);
                return;
            }
        }
    }
}

/// The control thread: feeds the controller and carries out its actions.
pub(crate) struct ControlShell {
    pub(crate) controller: HostController,
    pub(crate) clock: BootClock,
    pub(crate) control: ControlPort,
    pub(crate) events: EventPort,
    pub(crate) platform: RingSender<PurposedCall>,
    pub(crate) peers: RingSender<PeerMessage>,
    pub(crate) workers: Vec<WorkerPort>,
    pub(crate) waiting: collections::HashMap<u64, oneshot::Sender<ControlAnswer>>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) timer_stop: sync::Arc<atomic::AtomicBool>,
}

impl ControlShell {
    /// Runs until the controller has finished or all ports are gone.
    pub(crate) async fn run(mut self, envelopes: RingReceiver<ControlEnvelope>) {
        while let Some(envelope) = envelopes.pop().await {
            if let Some(pending) = envelope.pending_reply {
                self.waiting.insert(pending.ticket, pending.sender);
            }
            if self.feed(envelope.input) {
                break;
            }
        }
        self.timer_stop.store(true, atomic::Ordering::Relaxed);
        // The receivers are the threads that this stops.
        let _gone = self.stop.send(true);
    }

    /// Returns whether the process is to stop.
    fn feed(&mut self, input: ControlInput) -> bool {
        let mut inputs = collections::VecDeque::from([input]);
        let mut finished = false;
        while let Some(input) = inputs.pop_front() {
            let actions = self
                .controller
                .handle(input, self.clock.now(), timer::unix_millis());
            for action in actions {
                finished |= matches!(action, ControlAction::Finished);
                inputs.extend(self.perform(action));
            }
        }
        for worker in &mut self.workers {
            worker.flush();
        }
        finished
    }

    /// Carries out one action; what could not even be queued comes back as a failure.
    fn perform(&mut self, action: ControlAction) -> Option<ControlInput> {
        match action {
            ControlAction::Platform(purpose, call) => return self.call_platform(purpose, call),
            ControlAction::SendHeartbeat(target, heartbeat) => {
                return self.tell_peer(PeerMessage::Heartbeat(target, heartbeat));
            }
            ControlAction::SendReport(address, report) => {
                return self.tell_peer(PeerMessage::Report(address, report));
            }
            ControlAction::SendFetch(address) => {
                return self.tell_peer(PeerMessage::Fetch(address));
            }
            ControlAction::SendClaim(ticket, address, claim) => {
                return self.tell_peer(PeerMessage::Claim(ticket, address, claim));
            }
            ControlAction::SendSettle(address, settle) => {
                return self.tell_peer(PeerMessage::Settle(address, settle));
            }
            ControlAction::InstallTopology(topology) => {
                self.order_all(&WorkerOrder::Topology(topology));
            }
            ControlAction::InstallLookup(lookup) => self.order_all(&WorkerOrder::Lookup(lookup)),
            ControlAction::InstallGrants(grants) => self.install_grants(&grants),
            ControlAction::SetLeaving(leaving) => self.order_all(&WorkerOrder::Leaving(leaving)),
            ControlAction::SetLeavingServers(names) => {
                self.order_all(&WorkerOrder::LeavingServers(names));
            }
            ControlAction::Answer(ticket, answer) => {
                if let Some(sender) = self.waiting.remove(&ticket) {
                    // Whoever went away needs no answer.
                    let _gone = sender.send(answer);
                }
            }
            ControlAction::Event(code, detail) => self.events.write(code, detail),
            ControlAction::Finished => {}
        }
        None
    }

    fn call_platform(&self, purpose: CallPurpose, call: PlatformCall) -> Option<ControlInput> {
        let purposed = PurposedCall { purpose, call };
        match self.platform.push(purposed) {
            Ok(()) => None,
            Err(RingFault::Full(purposed) | RingFault::Closed(purposed)) => {
                let reply = purposed.failure();
                // Fed back over the ring, so that a role that tries at once can't loop here.
                let _taken = self.control.send(ControlInput::Platform(purpose, reply));
                None
            }
        }
    }

    fn tell_peer(&self, message: PeerMessage) -> Option<ControlInput> {
        match self.peers.push(message) {
            Ok(()) => None,
            Err(RingFault::Full(message) | RingFault::Closed(message)) => message.into_failure(),
        }
    }

    fn order_all(&mut self, order: &WorkerOrder) {
        for worker in &mut self.workers {
            worker.send(order.clone());
        }
    }

    /// Splits the host's grants over its workers; the slices add up to the grant.
    fn install_grants(&mut self, grants: &HostGrants) {
        let count = u32::try_from(self.workers.len()).unwrap_or(1).max(1);
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let number = u32::try_from(number).unwrap_or(0);
            let slices = grants.grants.iter().map(|grant| PlaceGrant {
                key: grant.key.clone(),
                units: grant.units / count + u32::from(number < grant.units % count),
                offset: grant.offset
                    + number * (grant.units / count)
                    + number.min(grant.units % count),
            });
            worker.send(WorkerOrder::Grants(HostGrants {
                sequence: grants.sequence,
                grants: slices.collect(),
            }));
        }
    }
}
