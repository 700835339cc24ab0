//! The configuration role: applies operators' changes and installs newer configurations.
//!
//! Generations only grow, and of concurrent changes to the same generation only one succeeds.
//!
//! Memory: one configuration object, at most [`MAX_PENDING_CHANGES`] pending changes, and one
//! generation number for each peer until the first configuration is installed.

use std::collections;

use crate::config_object::{self, ConfigChange, ConfigObject};
use crate::error::Error;
use crate::platform_call::{ReadResult, WriteResult};
use crate::result_code::ResultCode;
use crate::timer;

/// Maximum number of pending changes on one host.
pub const MAX_PENDING_CHANGES: usize = 16;
/// Time after which an operator gets a final answer even if the platform has not responded.
const CHANGE_TIMEOUT_MS: u64 = 5_000;
/// Delay after a failed call to the platform.
const RETRY_DELAY_MS: u64 = 250;
/// Interval between reads while the platform has no valid configuration object.
const INITIAL_READ_INTERVAL_MS: u64 = 500;

/// An operator's change and the ticket for its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeRequest {
    /// Identifies the operator's waiting call.
    pub ticket: u64,
    /// The operator's id for the change. The same id takes effect at most once.
    pub operation: String,
    /// The generation that the change is based on; `None` to change any generation.
    pub expected_generation: Option<u64>,
    /// The change.
    pub change: ConfigChange,
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeAnswer {
    /// The request's ticket.
    pub ticket: u64,
    /// The generation that the change created, or why it was not accepted.
    pub result: Result<u64, ChangeFault>,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeFault {
    /// The result code.
    pub code: ResultCode,
    /// Details.
    pub detail: String,
}

/// An action that the role requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigAction {
    /// Read the configuration object.
    Read,
    /// Write the configuration object conditionally.
    Write {
        /// The new content.
        bytes: Vec<u8>,
        /// The version to replace.
        expected: Option<u64>,
    },
    /// Request the configuration of the peer with this name.
    Fetch(String),
    /// Activate this configuration.
    Install(ConfigObject),
    /// Answer an operator.
    Answer(ChangeAnswer),
}

#[derive(Debug)]
struct ActiveChange {
    request: ChangeRequest,
    deadline: timer::Moment,
    /// Whether a write was sent, so that the change may have taken effect.
    write_sent: bool,
}

#[derive(Debug, PartialEq, Eq)]
enum ConfigState {
    Idle,
    Reading,
    Writing,
}

/// The configuration role of one host.
#[derive(Debug)]
pub struct ConfigRole {
    installed: Option<ConfigObject>,
    state: ConfigState,
    active: Option<ActiveChange>,
    pending: collections::VecDeque<ActiveChange>,
    peer_generations: collections::HashMap<String, u64>,
    fetch_started_at: Option<timer::Moment>,
    platform_failed: bool,
    next_read_at: Option<timer::Moment>,
}

impl Default for ConfigRole {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigRole {
    /// A role without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self {
            installed: None,
            state: ConfigState::Idle,
            active: None,
            pending: collections::VecDeque::new(),
            peer_generations: collections::HashMap::new(),
            fetch_started_at: None,
            platform_failed: false,
            next_read_at: None,
        }
    }

    /// The active configuration.
    #[must_use]
    pub const fn installed(&self) -> Option<&ConfigObject> {
        self.installed.as_ref()
    }

    /// The active generation; 0 without one.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.installed
            .as_ref()
            .map_or(0, |object| object.generation)
    }

    /// Queues an operator's change.
    pub fn on_change(&mut self, request: ChangeRequest, now: timer::Moment) -> Vec<ConfigAction> {
        if self.pending.len() >= MAX_PENDING_CHANGES {
            return vec![refuse(
                request.ticket,
                ResultCode::ControlBusy,
                "too many pending changes",
            )];
        }
        if !config_object::is_valid_operation(&request.operation) {
            return vec![refuse(
                request.ticket,
                ResultCode::ParameterInvalid,
                "invalid operation id",
            )];
        }
        let deadline = now.plus(CHANGE_TIMEOUT_MS);
        self.pending.push_back(ActiveChange {
            request,
            deadline,
            write_sent: false,
        });
        self.tick(now)
    }

    /// Expires changes and starts a read if one is due.
    pub fn tick(&mut self, now: timer::Moment) -> Vec<ConfigAction> {
        let mut actions = self.expire(now);
        if self.state != ConfigState::Idle || self.next_read_at.is_some_and(|at| now < at) {
            return actions;
        }
        if self.active.is_none() {
            self.active = self.pending.pop_front();
        }
        if self.active.is_some() || self.installed.is_none() {
            self.state = ConfigState::Reading;
            actions.push(ConfigAction::Read);
        }
        actions
    }

    /// Answers the operators of changes that have reached their deadline.
    fn expire(&mut self, now: timer::Moment) -> Vec<ConfigAction> {
        let expired = |change: &ActiveChange| now >= change.deadline;
        let mut timed_out: Vec<ActiveChange> = Vec::new();
        timed_out.extend(self.active.take_if(|change| expired(change)));
        while self.pending.front().is_some_and(expired) {
            timed_out.extend(self.pending.pop_front());
        }
        timed_out
            .into_iter()
            .map(|change| time_out(&change))
            .collect()
    }

    /// Handles the result of reading the configuration object.
    pub fn on_read(&mut self, result: &ReadResult, now: timer::Moment) -> Vec<ConfigAction> {
        if self.state != ConfigState::Reading {
            return Vec::new();
        }
        self.state = ConfigState::Idle;
        match result {
            ReadResult::Failed => {
                self.platform_failed = true;
                self.next_read_at = Some(now.plus(RETRY_DELAY_MS));
                Vec::new()
            }
            ReadResult::Absent => {
                self.platform_failed = false;
                self.next_read_at = self
                    .active
                    .is_none()
                    .then(|| now.plus(INITIAL_READ_INTERVAL_MS));
                self.write_change(None, None)
            }
            ReadResult::Found { bytes, version } => {
                self.platform_failed = false;
                match ConfigObject::from_bytes(bytes) {
                    Ok(object) => self.on_stored_object(&object, *version),
                    Err(fault) => self.on_invalid_object(&fault, now),
                }
            }
        }
    }

    fn on_invalid_object(&mut self, fault: &Error, now: timer::Moment) -> Vec<ConfigAction> {
        self.next_read_at = Some(now.plus(INITIAL_READ_INTERVAL_MS));
        let answer = self
            .active
            .take()
            .map(|change| refuse(change.request.ticket, fault.code(), &fault.to_string()));
        answer.into_iter().collect()
    }

    fn on_stored_object(&mut self, object: &ConfigObject, version: u64) -> Vec<ConfigAction> {
        let mut actions = self.install(object);
        let done = self
            .active
            .take_if(|change| object.generation_of(&change.request.operation).is_some());
        if let Some(change) = done {
            let generation = object
                .generation_of(&change.request.operation)
                .unwrap_or(object.generation);
            actions.push(accept(change.request.ticket, generation));
            return actions;
        }
        actions.extend(self.write_change(Some(object), Some(version)));
        actions
    }

    fn write_change(
        &mut self,
        before: Option<&ConfigObject>,
        version: Option<u64>,
    ) -> Vec<ConfigAction> {
        let Some(change) = &mut self.active else {
            return Vec::new();
        };
        let request = &change.request;
        let generation = before.map_or(0, |object| object.generation);
        let outcome = if request
            .expected_generation
            .is_some_and(|expected| expected != generation)
        {
            let detail = format!("the active generation is {generation}");
            Err(Error::with_code(ResultCode::GenerationConflict, detail))
        } else {
            ConfigObject::with_change(before, &request.change, &request.operation)
                .and_then(|object| object.to_bytes())
        };
        match outcome {
            Ok(bytes) => {
                change.write_sent = true;
                self.state = ConfigState::Writing;
                vec![ConfigAction::Write {
                    bytes,
                    expected: version,
                }]
            }
            Err(fault) => {
                let ticket = request.ticket;
                self.active = None;
                vec![refuse(ticket, fault.code(), &fault.to_string())]
            }
        }
    }

    /// Handles the result of a write. The object is always read again, because the operation ids
    /// in it show whether the change took effect.
    pub fn on_write(&mut self, result: WriteResult, now: timer::Moment) -> Vec<ConfigAction> {
        if self.state != ConfigState::Writing {
            return Vec::new();
        }
        self.state = ConfigState::Reading;
        self.platform_failed = result == WriteResult::Uncertain;
        self.next_read_at = None;
        let mut actions = self.expire(now);
        actions.push(ConfigAction::Read);
        actions
    }

    /// Installs a configuration received through a watch or from a peer, if it is newer.
    pub fn on_received(&mut self, object: &ConfigObject) -> Vec<ConfigAction> {
        self.fetch_started_at = None;
        self.install(object)
    }

    /// Handles a failed fetch from a peer.
    pub const fn on_fetch_failed(&mut self) {
        self.fetch_started_at = None;
    }

    fn install(&mut self, object: &ConfigObject) -> Vec<ConfigAction> {
        if object.generation <= self.generation() {
            return Vec::new();
        }
        self.installed = Some(object.clone());
        self.peer_generations.clear();
        vec![ConfigAction::Install(object.clone())]
    }

    /// Handles a peer's report of its active generation. `peers` is the number of other hosts
    /// that this one knows and considers alive.
    ///
    /// A host with a configuration fetches any higher generation. A host without one reads the
    /// platform. While the platform is down, it waits until more than half of its peers have
    /// reported, so that a single stale peer that was cut off cannot determine the active
    /// configuration.
    pub fn on_peer_generation(
        &mut self,
        peer: &str,
        generation: u64,
        peers: usize,
        now: timer::Moment,
    ) -> Vec<ConfigAction> {
        const FETCH_TIMEOUT_MS: u64 = 1_000;
        if generation <= self.generation() {
            if self.installed.is_none() {
                self.peer_generations.insert(peer.to_owned(), generation);
            }
            return Vec::new();
        }
        if self
            .fetch_started_at
            .is_some_and(|since| now.since(since) < FETCH_TIMEOUT_MS)
        {
            return Vec::new();
        }
        if self.installed.is_some() {
            self.fetch_started_at = Some(now);
            return vec![ConfigAction::Fetch(peer.to_owned())];
        }
        self.peer_generations.insert(peer.to_owned(), generation);
        let can_trust_peers = self.platform_failed && self.peer_generations.len() * 2 > peers;
        let is_highest = self.peer_generations.values().copied().max() == Some(generation);
        if !can_trust_peers || !is_highest {
            return Vec::new();
        }
        self.fetch_started_at = Some(now);
        vec![ConfigAction::Fetch(peer.to_owned())]
    }
}

fn accept(ticket: u64, generation: u64) -> ConfigAction {
    ConfigAction::Answer(ChangeAnswer {
        ticket,
        result: Ok(generation),
    })
}

fn refuse(ticket: u64, code: ResultCode, detail: &str) -> ConfigAction {
    let fault = ChangeFault {
        code,
        detail: detail.to_owned(),
    };
    ConfigAction::Answer(ChangeAnswer {
        ticket,
        result: Err(fault),
    })
}

fn time_out(change: &ActiveChange) -> ConfigAction {
    let code = if change.write_sent {
        ResultCode::ApplyUncertain
    } else {
        ResultCode::PlatformUnavailable
    };
    refuse(
        change.request.ticket,
        code,
        "the platform did not respond in time",
    )
}
