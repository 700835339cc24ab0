//! How a host stops: it serves on while callers may still come, but not past its grace.

use std::{cell, time};

use serde_json::json;

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// Time kept free at the end of the stop grace, for the exit itself.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(250);
/// A stopping host takes any request in this first part of its grace, one half; later only those
/// that are sure to end before it does.
const OPEN_SHARE_OF_GRACE: u32 = 2;
/// A host that was told to stop and has had no request for this long, in milliseconds, ends early.
/// Longer than the time for which callers keep a look-up's answer.
const QUIET_BEFORE_STOP_MS: u64 = 2_500;

/// What a host must know to stop at the right time.
#[derive(Debug, Default)]
pub struct StopState {
    leaving_since: cell::Cell<Option<Moment>>,
    open_requests: cell::Cell<u32>,
    last_request: cell::Cell<Moment>,
}

impl<W: WireProtocol> EntryHost<W> {
    /// A caller's request begins.
    pub fn on_request_begin(&self) {
        self.stop.open_requests.set(self.open_requests() + 1);
        self.stop.last_request.set(self.now());
    }

    /// A caller's request has ended, however.
    pub fn on_request_end(&self) {
        let others = self.open_requests().saturating_sub(1);
        self.stop.open_requests.set(others);
    }

    /// Callers' requests that this host holds.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        self.stop.open_requests.get()
    }

    /// Whether the process was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.stop.leaving_since.get().is_some()
    }

    /// The process was told to stop.
    pub(super) fn on_leaving(&self) {
        self.stop.leaving_since.set(Some(self.now()));
        self.log_event(
            EventCode::ProcessLeaving,
            json!({ "open_requests": self.open_requests() }),
        );
    }

    /// Whether a request that may take until `deadline` would outlast this host.
    #[must_use]
    pub fn ends_before(&self, deadline: Moment) -> bool {
        let Some(since) = self.stop.leaving_since.get() else {
            return false;
        };
        let open_ms = self.settings().bounds.stop_grace / OPEN_SHARE_OF_GRACE;
        let open_until = since.plus(open_ms.as_millis() as u64);
        self.now() >= open_until && deadline >= self.stop_limit(since)
    }

    /// Whether the process may end now.
    #[must_use]
    pub(super) fn may_stop(&self) -> bool {
        let Some(since) = self.stop.leaving_since.get() else {
            return false;
        };
        let now = self.now();
        let last_request = self.stop.last_request.get().max(since);
        let quiet = now.since(last_request) > QUIET_BEFORE_STOP_MS;
        now >= self.stop_limit(since) || (quiet && self.open_requests() == 0)
    }

    fn stop_limit(&self, leaving_since: Moment) -> Moment {
        let grace = self.settings().bounds.stop_grace;
        leaving_since.plus(grace.saturating_sub(STOP_MARGIN).as_millis() as u64)
    }
}
