//! The control thread: passes inputs to the controller and executes the resulting actions.

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
use crate::worker::WorkerCommand;

/// A worker's ring and the orders that did not fit into it, only the newest of each kind.
#[derive(Debug)]
pub(crate) struct WorkerPort {
    pub(crate) ring: RingSender<WorkerCommand>,
    unsent: collections::VecDeque<WorkerCommand>,
}

impl WorkerPort {
    /// A port without unsent orders.
    pub(crate) const fn with_ring(ring: RingSender<WorkerCommand>) -> Self {
        Self {
            ring,
            unsent: collections::VecDeque::new(),
        }
    }

    fn send(&mut self, order: WorkerCommand) {
        self.unsent
            .retain(|unsent| std::mem::discriminant(unsent) != std::mem::discriminant(&order));
        self.unsent.push_back(order);
        self.flush();
    }

    fn flush(&mut self) {
        while let Some(order) = self.unsent.pop_front() {
            if let Err(RingFault::Full(order)) = self.ring.push(order) {
                self.unsent.push_front(order);
                return;
            }
        }
    }
}

/// The state of the control thread.
pub(crate) struct ControlThread {
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

impl ControlThread {
    /// Runs until the controller has finished or all senders are dropped.
    pub(crate) async fn run(mut self, envelopes: RingReceiver<ControlEnvelope>) {
        while let Some(envelope) = envelopes.pop().await {
            if let Some(waiting) = envelope.waiting {
                self.waiting.insert(waiting.ticket, waiting.sender);
            }
            if self.handle(envelope.input) {
                break;
            }
        }
        self.timer_stop.store(true, atomic::Ordering::Relaxed);
        // Sending fails only if the receiving threads have already stopped.
        let _ignored = self.stop.send(true);
    }

    /// Handles an input and all inputs that result from it; returns whether the process should
    /// stop.
    fn handle(&mut self, input: ControlInput) -> bool {
        let mut inputs = collections::VecDeque::from([input]);
        let mut finished = false;
        while let Some(input) = inputs.pop_front() {
            let actions = self
                .controller
                .handle(input, self.clock.now(), timer::unix_millis());
            for action in actions {
                finished |= matches!(action, ControlAction::Finished);
                inputs.extend(self.execute(action));
            }
        }
        for worker in &mut self.workers {
            worker.flush();
        }
        finished
    }

    /// Executes one action. Returns a failure input if a message to a peer could not be queued.
    fn execute(&mut self, action: ControlAction) -> Option<ControlInput> {
        match action {
            ControlAction::Platform(purpose, call) => return self.call_platform(purpose, call),
            ControlAction::SendHeartbeat(target, heartbeat) => {
                return self.send_to_peer(PeerMessage::Heartbeat(target, heartbeat));
            }
            ControlAction::SendReport(address, report) => {
                return self.send_to_peer(PeerMessage::Report(address, report));
            }
            ControlAction::SendFetch(address) => {
                return self.send_to_peer(PeerMessage::Fetch(address));
            }
            ControlAction::SendClaim(ticket, address, claim) => {
                return self.send_to_peer(PeerMessage::Claim(ticket, address, claim));
            }
            ControlAction::SendSettle(address, settle) => {
                return self.send_to_peer(PeerMessage::Settle(address, settle));
            }
            ControlAction::InstallTopology(topology) => {
                self.broadcast(&WorkerCommand::Topology(topology));
            }
            ControlAction::InstallLookup(lookup) => self.broadcast(&WorkerCommand::Lookup(lookup)),
            ControlAction::InstallGrants(grants) => self.install_grants(&grants),
            ControlAction::SetLeaving(leaving) => self.broadcast(&WorkerCommand::Leaving(leaving)),
            ControlAction::SetLeavingServers(names) => {
                self.broadcast(&WorkerCommand::LeavingServers(names));
            }
            ControlAction::Answer(ticket, answer) => {
                if let Some(sender) = self.waiting.remove(&ticket) {
                    // Sending fails only if the waiting call was dropped.
                    let _ignored = sender.send(answer);
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
                // Send the failure through the ring. Handling it here would loop if the role
                // retries immediately.
                let _ignored = self.control.tell(ControlInput::Platform(purpose, reply));
                None
            }
        }
    }

    fn send_to_peer(&self, message: PeerMessage) -> Option<ControlInput> {
        match self.peers.push(message) {
            Ok(()) => None,
            Err(RingFault::Full(message) | RingFault::Closed(message)) => message.into_failure(),
        }
    }

    fn broadcast(&mut self, order: &WorkerCommand) {
        for worker in &mut self.workers {
            worker.send(order.clone());
        }
    }

    /// Splits the host's grants among its workers. The slices add up to the grant.
    fn install_grants(&mut self, grants: &HostGrants) {
        let count = u32::try_from(self.workers.len()).unwrap_or(1).max(1);
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let index = u32::try_from(index).unwrap_or(0);
            let slices = grants.grants.iter().map(|grant| PlaceGrant {
                key: grant.key.clone(),
                units: grant.units / count + u32::from(index < grant.units % count),
                offset: grant.offset
                    + index * (grant.units / count)
                    + index.min(grant.units % count),
            });
            worker.send(WorkerCommand::Grants(HostGrants {
                sequence: grants.sequence,
                grants: slices.collect(),
            }));
        }
    }
}
