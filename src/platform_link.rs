//! The platform thread: makes the controller's calls to the object API.

use std::{net, rc, thread};

use crate::control_message::{CallPurpose, ControlInput};
use crate::platform_call::{PlatformCall, PlatformReply, ReadResult, WriteResult};
use crate::platform_client::PlatformClient;
use crate::port::ControlPort;
use crate::ring::{self, RingReceiver, RingSender};

/// Calls that may wait. When the ring is full, a call counts as failed.
const PLATFORM_RING_CAPACITY: usize = 1_024;

/// A call and its purpose.
#[derive(Debug)]
pub struct PurposedCall {
    /// What the call is for.
    pub purpose: CallPurpose,
    /// The call.
    pub call: PlatformCall,
}

impl PurposedCall {
    /// The reply to a call that could not be queued. Such a write certainly did not happen, but
    /// `Uncertain` is a valid answer too and makes the role check the object.
    #[must_use]
    pub const fn failure(&self) -> PlatformReply {
        match self.call {
            PlatformCall::Read(_) => PlatformReply::Read(ReadResult::Failed),
            PlatformCall::Write { .. } => PlatformReply::Write(WriteResult::Uncertain),
            PlatformCall::Watch { .. } => PlatformReply::Watch(None),
            PlatformCall::Hosts => PlatformReply::Hosts(None),
        }
    }
}

/// Starts the platform thread, which ends when the senders of its ring are dropped.
///
/// # Errors
/// When the thread cannot be started.
pub fn spawn(
    address: net::SocketAddr,
    control: ControlPort,
) -> std::io::Result<(RingSender<PurposedCall>, thread::JoinHandle<()>)> {
    let (sender, receiver) = ring::with_capacity(PLATFORM_RING_CAPACITY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, make_calls(address, control, receiver));
        })?;
    Ok((sender, handle))
}

async fn make_calls(
    address: net::SocketAddr,
    control: ControlPort,
    receiver: RingReceiver<PurposedCall>,
) {
    let client = rc::Rc::new(PlatformClient::with_address(address));
    while let Some(purposed) = receiver.pop().await {
        let client = rc::Rc::clone(&client);
        let control = control.clone();
        tokio::task::spawn_local(async move {
            let reply = client.call(&purposed.call).await;
            deliver(&control, purposed.purpose, reply).await;
        });
    }
}

/// Delivers a reply to the controller, and retries while its ring is full, because roles wait for
/// every reply.
async fn deliver(control: &ControlPort, purpose: CallPurpose, reply: PlatformReply) {
    const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(5);
    while !control.is_closed() {
        if control.send(ControlInput::Platform(purpose, reply.clone())) {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
