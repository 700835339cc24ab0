//! Stops a host: it continues to serve while callers may still send requests, but no longer than
//! its grace period.

use std::{cell, time};

use serde_json::json;

use super::host::EntryHost;
use super::wire::WireProtocol;
use crate::event::EventCode;
use crate::timer::Moment;

/// Time reserved at the end of the grace period for the exit itself.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(250);
/// The grace period divided by this is its first part, in which a stopping host accepts any
/// request. Later it accepts only requests that are certain to complete before it stops.
const OPEN_GRACE_DIVISOR: u32 = 2;
/// The longest first part of the grace period. Callers know by then that the host stops, and a
/// request that comes later must not be cut off at the end.
const MAX_OPEN_TIME: time::Duration = time::Duration::from_secs(3);
/// A host that was told to stop exits early after this time without requests, in milliseconds. It
/// is longer than callers cache a lookup answer.
const QUIET_BEFORE_STOP_MS: u64 = 2_500;

/// The state from which a host decides when to stop.
#[derive(Debug, Default)]
pub struct StopState {
    leaving_since: cell::Cell<Option<Moment>>,
    open_requests: cell::Cell<u32>,
    last_request: cell::Cell<Moment>,
}

impl<W: WireProtocol> EntryHost<W> {
    /// Records the start of a caller's request.
    pub fn on_request_begin(&self) {
        self.stop.open_requests.set(self.open_requests() + 1);
        self.stop.last_request.set(self.now());
    }

    /// Records the completion of a caller's request, whatever its outcome.
    pub fn on_request_end(&self) {
        let others = self.open_requests().saturating_sub(1);
        self.stop.open_requests.set(others);
    }

    /// The number of callers' requests in flight.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        self.stop.open_requests.get()
    }

    /// Whether the process was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.stop.leaving_since.get().is_some()
    }

    /// Records that the process was told to stop.
    pub(super) fn on_leaving(&self) {
        self.stop.leaving_since.set(Some(self.now()));
        self.log_event(
            EventCode::ProcessLeaving,
            json!({ "open_requests": self.open_requests() }),
        );
    }

    /// Whether this host may stop before a request with this deadline completes.
    #[must_use]
    pub fn may_stop_before(&self, deadline: Moment) -> bool {
        let Some(since) = self.stop.leaving_since.get() else {
            return false;
        };
        let open_time = self.settings().bounds.stop_grace / OPEN_GRACE_DIVISOR;
        let open_until = since.plus(open_time.min(MAX_OPEN_TIME).as_millis() as u64);
        self.now() >= open_until && deadline >= self.exit_deadline(since)
    }

    /// Whether the process may exit now.
    #[must_use]
    pub(super) fn may_stop(&self) -> bool {
        let Some(since) = self.stop.leaving_since.get() else {
            return false;
        };
        let now = self.now();
        let last_request = self.stop.last_request.get().max(since);
        let quiet = now.since(last_request) > QUIET_BEFORE_STOP_MS;
        let is_idle = self.open_requests() == 0 && self.open_answers.get() == 0;
        now >= self.exit_deadline(since) || (quiet && is_idle)
    }

    fn exit_deadline(&self, leaving_since: Moment) -> Moment {
        let grace = self.settings().bounds.stop_grace;
        leaving_since.plus(grace.saturating_sub(STOP_MARGIN).as_millis() as u64)
    }
}
