//! The limits of one caller's connection: the memory and the time of a head that is arriving, and the
//! time in which the caller must read.

use std::{rc, time};

use super::caller_connections::CallerConnection;
use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::request_boundary::StreamLimits;

/// Heads up to this size, in bytes, are part of the memory of their connection.
const UNCOUNTED_BYTES: usize = 8 << 10;
/// A buffer that grows takes up to this multiple of its content.
const BUFFER_FACTOR: u64 = 2;
/// Time for a head where no configuration sets one.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// A head may take the configured time multiplied by this, since packets may be late.
const TIMEOUT_FACTOR: u64 = 2;

/// The limits of one connection.
#[derive(Debug)]
pub(super) struct CallerStream<W> {
    host: rc::Rc<EntryHost<W>>,
    connection: rc::Rc<CallerConnection>,
}

impl<W: WireProtocol> CallerStream<W> {
    /// The limits of a new connection.
    pub(super) const fn new(
        host: rc::Rc<EntryHost<W>>,
        connection: rc::Rc<CallerConnection>,
    ) -> Self {
        Self { host, connection }
    }

    fn try_hold(&self, bytes: u64) -> bool {
        let host = &self.host;
        let limit = host.large_memory_limit();
        loop {
            if self.connection.try_hold(bytes, &host.caller_memory, limit) {
                return true;
            }
            if !host.make_room() {
                return false;
            }
        }
    }
}

impl<W: WireProtocol> StreamLimits for CallerStream<W> {
    fn allows_head(&mut self, bytes: usize) -> bool {
        if bytes <= UNCOUNTED_BYTES {
            self.connection.release();
            return true;
        }
        let is_allowed = self.try_hold(bytes as u64 * BUFFER_FACTOR);
        if !is_allowed {
            self.host.metrics.borrow_mut().callers.heads_refused += 1;
        }
        is_allowed
    }

    fn head_timeout(&self) -> time::Duration {
        self.host.routes().map_or(DEFAULT_TIMEOUT, |routes| {
            let limits = routes.configuration().limits;
            time::Duration::from_millis(limits.header_ms.saturating_mul(TIMEOUT_FACTOR))
        })
    }

    fn is_idle(&self) -> bool {
        self.connection.is_idle()
    }

    fn on_write(&mut self, is_blocked: bool) {
        self.connection.on_write(is_blocked, self.host.now());
    }
}
