//! The peer thread: sends heartbeats, reports, claims and outcomes to other entry hosts.

use std::{cell, collections, net, rc, thread, time};

use crate::config_object::ConfigObject;
use crate::control_message::{ClaimDecision, ControlInput, PeerClaim, PeerHeartbeat, PeerSettle};
use crate::event_writer::EventPort;
use crate::membership::HeartbeatTarget;
use crate::plan::HostGrants;
use crate::port::ControlPort;
use crate::report::HostReport;
use crate::ring::{self, RingReceiver, RingSender};
use crate::rpc::{NoParams, StampedHeartbeat, method};
use crate::rpc_client::ControlClient;

/// Messages that may wait to be sent. When the ring is full, a message counts as unanswered.
const PEER_RING_CAPACITY: usize = 4_096;
/// Timeout of a small message to a peer; a message that takes longer counts as unanswered.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Timeout of a configuration, which can be a megabyte.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// A message to another entry host.
#[derive(Debug)]
pub enum PeerMessage {
    /// A heartbeat.
    Heartbeat(HeartbeatTarget, PeerHeartbeat),
    /// A report to the planner.
    Report(net::SocketAddr, HostReport),
    /// A request for the configuration.
    Fetch(net::SocketAddr),
    /// A claim, for the owner of its shard.
    Claim(u64, net::SocketAddr, PeerClaim),
    /// The outcome of a claimed request, for the owner of its shard.
    Settle(net::SocketAddr, PeerSettle),
}

impl PeerMessage {
    /// The input that reports to the controller that the message could not be sent. A lost outcome
    /// is not reported: its claim stays pending, which is safe.
    #[must_use]
    pub fn into_failure(self) -> Option<ControlInput> {
        match self {
            Self::Heartbeat(target, _) => Some(ControlInput::HeartbeatDone(target, None)),
            Self::Report(..) => Some(ControlInput::ReportDone(None)),
            Self::Fetch(_) => Some(ControlInput::Fetched(None)),
            Self::Claim(ticket, ..) => Some(ControlInput::PeerClaimDone(ticket, None)),
            Self::Settle(..) => None,
        }
    }
}

struct PeerLink {
    control: ControlPort,
    events: EventPort,
    token: String,
    clients: cell::RefCell<collections::HashMap<(net::SocketAddr, time::Duration), ControlClient>>,
}

/// Starts the peer thread, which ends when the senders of its ring are dropped.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn(
    control: ControlPort,
    events: EventPort,
    token: String,
) -> std::io::Result<(RingSender<PeerMessage>, thread::JoinHandle<()>)> {
    let (sender, receiver) = ring::with_capacity(PEER_RING_CAPACITY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            let clients = cell::RefCell::default();
            let link = rc::Rc::new(PeerLink {
                control,
                events,
                token,
                clients,
            });
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, send_all(link, receiver));
        })?;
    Ok((sender, handle))
}

async fn send_all(link: rc::Rc<PeerLink>, receiver: RingReceiver<PeerMessage>) {
    while let Some(message) = receiver.pop().await {
        let link = rc::Rc::clone(&link);
        tokio::task::spawn_local(async move { link.send(message).await });
    }
}

impl PeerLink {
    async fn send(&self, message: PeerMessage) {
        let result = match message {
            PeerMessage::Heartbeat(target, heartbeat) => {
                let answer = self.heartbeat(target.address, heartbeat).await;
                Some(ControlInput::HeartbeatDone(target, answer))
            }
            PeerMessage::Report(address, report) => {
                let grants: Option<Option<HostGrants>> = self
                    .call(address, method::REPORT, &report, PEER_TIMEOUT)
                    .await;
                Some(ControlInput::ReportDone(grants.flatten()))
            }
            PeerMessage::Fetch(address) => {
                let object: Option<Option<ConfigObject>> = self
                    .call(address, method::FETCH, &NoParams {}, FETCH_TIMEOUT)
                    .await;
                Some(ControlInput::Fetched(object.flatten()))
            }
            PeerMessage::Claim(ticket, address, claim) => {
                let timeout = time::Duration::from_millis(claim.time_left_ms);
                let decision: Option<ClaimDecision> = self
                    .call(address, method::CLAIM, &claim, timeout.min(FETCH_TIMEOUT))
                    .await;
                Some(ControlInput::PeerClaimDone(ticket, decision))
            }
            PeerMessage::Settle(address, settle) => {
                let _stored: Option<bool> = self
                    .call(address, method::SETTLE, &settle, PEER_TIMEOUT)
                    .await;
                None
            }
        };
        if let Some(input) = result {
            // A full ring drops the answer; the next heartbeat or report brings another.
            let _taken = self.control.send(input);
        }
    }

    async fn heartbeat(
        &self,
        address: net::SocketAddr,
        heartbeat: PeerHeartbeat,
    ) -> Option<PeerHeartbeat> {
        let message = StampedHeartbeat {
            stamp: self.events.clock().tick(),
            heartbeat,
        };
        let answer: StampedHeartbeat = self
            .call(address, method::HEARTBEAT, &message, PEER_TIMEOUT)
            .await?;
        self.events.clock().observe(answer.stamp);
        Some(answer.heartbeat)
    }

    async fn call<P, R>(
        &self,
        address: net::SocketAddr,
        name: &str,
        params: &P,
        timeout: time::Duration,
    ) -> Option<R>
    where
        P: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let client = self.client(address, timeout)?;
        client.call(name, params).await.ok()
    }

    /// Returns the cached client of a peer and timeout. The timeout is rounded up, so that each
    /// known host has a few clients at most.
    fn client(&self, address: net::SocketAddr, timeout: time::Duration) -> Option<ControlClient> {
        const ROUNDING_MS: u128 = 100;
        let rounded = timeout.as_millis().div_ceil(ROUNDING_MS) * ROUNDING_MS;
        let timeout = time::Duration::from_millis(u64::try_from(rounded).unwrap_or(u64::MAX));
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(&(address, timeout)) {
            return Some(client.clone());
        }
        let client = ControlClient::new(address, &self.token, timeout).ok()?;
        clients.insert((address, timeout), client.clone());
        Some(client)
    }
}
