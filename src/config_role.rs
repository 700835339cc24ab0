//! The configuration role: generations only grow, and a race of operators has one winner.
//!
//! Memory: one configuration object, at most [`MAX_PENDING`] changes that wait, and one offer for
//! each peer until the first generation is trusted.

use std::collections;

use crate::config_object::{self, ConfigChange, ConfigObject};
use crate::error::Error;
use crate::platform_call::{ReadResult, WriteResult};
use crate::result_code::ResultCode;
use crate::timer;

/// Changes that may wait on one host.
pub const MAX_PENDING: usize = 16;
/// How long one change may take before its operator gets an answer.
const CHANGE_LIFE_MS: u64 = 5_000;
/// Pause after a failed call to the platform.
const RETRY_MS: u64 = 250;
/// How often a host asks for an object that it has not got.
const FIRST_READ_MS: u64 = 500;

/// A change with the means to answer its operator.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeRequest {
    /// Picks the operator's call out of those that wait.
    pub ticket: u64,
    /// The operator's id for it: the same id takes effect at most once.
    pub operation: String,
    /// The generation that the operator saw; `None` to change whatever is there.
    pub expected_generation: Option<u64>,
    /// What to change.
    pub change: ConfigChange,
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeAnswer {
    /// The request's ticket.
    pub ticket: u64,
    /// The generation that the change made, or why not.
    pub result: Result<u64, ChangeFault>,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeFault {
    /// The numbered code.
    pub code: ResultCode,
    /// Details.
    pub detail: String,
}

/// What the role wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigAction {
    /// Read the configuration object.
    Read,
    /// Write it conditionally.
    Write {
        /// The new content.
        bytes: Vec<u8>,
        /// The version to replace.
        expected: Option<u64>,
    },
    /// Ask the named peer for its configuration.
    Fetch(String),
    /// Put this configuration in force.
    Install(ConfigObject),
    /// Answer an operator.
    Answer(ChangeAnswer),
}

#[derive(Debug)]
struct ActiveChange {
    request: ChangeRequest,
    deadline: timer::Moment,
    /// Whether a write was sent whose end is not known.
    written: bool,
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
    offers: collections::HashMap<String, u64>,
    fetching: Option<timer::Moment>,
    platform_failed: bool,
    read_at: Option<timer::Moment>,
}

impl Default for ConfigRole {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigRole {
    /// A host that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            installed: None,
            state: ConfigState::Idle,
            active: None,
            pending: collections::VecDeque::new(),
            offers: collections::HashMap::new(),
            fetching: None,
            platform_failed: false,
            read_at: None,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn installed(&self) -> Option<&ConfigObject> {
        self.installed.as_ref()
    }

    /// The generation in force; 0 without one.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.installed
            .as_ref()
            .map_or(0, |object| object.generation)
    }

    /// An operator asks for a change.
    pub fn on_change(&mut self, request: ChangeRequest, now: timer::Moment) -> Vec<ConfigAction> {
        if self.pending.len() >= MAX_PENDING {
            return vec![refuse(
                request.ticket,
                ResultCode::ControlBusy,
                "changes wait already",
            )];
        }
        if !config_object::is_valid_operation(&request.operation) {
            return vec![refuse(
                request.ticket,
                ResultCode::ParameterInvalid,
                "operation id",
            )];
        }
        let deadline = now.plus(CHANGE_LIFE_MS);
        self.pending.push_back(ActiveChange {
            request,
            deadline,
            written: false,
        });
        self.tick(now)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: timer::Moment) -> Vec<ConfigAction> {
        let mut actions = self.expire(now);
        if self.state != ConfigState::Idle || self.read_at.is_some_and(|at| now < at) {
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

    /// An operator whose change takes too long gets its final answer now.
    fn expire(&mut self, now: timer::Moment) -> Vec<ConfigAction> {
        let expired = |change: &ActiveChange| now >= change.deadline;
        let mut late: Vec<ActiveChange> = Vec::new();
        late.extend(self.active.take_if(|change| expired(change)));
        while self.pending.front().is_some_and(expired) {
            late.extend(self.pending.pop_front());
        }
        late.into_iter().map(|change| give_up(&change)).collect()
    }

    /// The configuration object was read.
    pub fn on_read(&mut self, result: &ReadResult, now: timer::Moment) -> Vec<ConfigAction> {
        if self.state != ConfigState::Reading {
            return Vec::new();
        }
        self.state = ConfigState::Idle;
        match result {
            ReadResult::Failed => {
                self.platform_failed = true;
                self.read_at = Some(now.plus(RETRY_MS));
                Vec::new()
            }
            ReadResult::Absent => {
                self.platform_failed = false;
                self.read_at = self.active.is_none().then(|| now.plus(FIRST_READ_MS));
                self.write_change(None, None)
            }
            ReadResult::Found { bytes, version } => {
                self.platform_failed = false;
                match ConfigObject::from_bytes(bytes) {
                    Ok(object) => self.on_object(&object, *version),
                    Err(fault) => self.on_invalid(&fault, now),
                }
            }
        }
    }

    fn on_invalid(&mut self, fault: &Error, now: timer::Moment) -> Vec<ConfigAction> {
        self.read_at = Some(now.plus(FIRST_READ_MS));
        let answer = self
            .active
            .take()
            .map(|change| refuse(change.request.ticket, fault.code(), &fault.to_string()));
        answer.into_iter().collect()
    }

    fn on_object(&mut self, object: &ConfigObject, version: u64) -> Vec<ConfigAction> {
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
            let detail = format!("generation {generation} is in force");
            Err(Error::with_code(ResultCode::GenerationConflict, detail))
        } else {
            ConfigObject::with_change(before, &request.change, &request.operation)
                .and_then(|object| object.to_bytes())
        };
        match outcome {
            Ok(bytes) => {
                change.written = true;
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

    /// A write ended. Whatever came of it, the object itself tells: it is read again, and the
    /// operation id in it says whether the change took effect.
    pub fn on_write(&mut self, result: WriteResult, now: timer::Moment) -> Vec<ConfigAction> {
        if self.state != ConfigState::Writing {
            return Vec::new();
        }
        self.state = ConfigState::Reading;
        self.platform_failed = result == WriteResult::Uncertain;
        self.read_at = None;
        let mut actions = self.expire(now);
        actions.push(ConfigAction::Read);
        actions
    }

    /// A watch or a peer brought an object.
    pub fn on_offer(&mut self, object: &ConfigObject) -> Vec<ConfigAction> {
        self.fetching = None;
        self.install(object)
    }

    /// A fetch from a peer failed.
    pub const fn on_fetch_failed(&mut self) {
        self.fetching = None;
    }

    fn install(&mut self, object: &ConfigObject) -> Vec<ConfigAction> {
        if object.generation <= self.generation() {
            return Vec::new();
        }
        self.installed = Some(object.clone());
        self.offers.clear();
        vec![ConfigAction::Install(object.clone())]
    }

    /// A peer said which generation it has in force. `peers` is the number of other hosts that
    /// this one knows and believes alive.
    ///
    /// A host that holds a generation takes any higher one. A host that holds nothing asks the
    /// platform; while that is down it waits until more than half of its peers have answered, so
    /// that a single stale peer, cut off earlier, can't decide what comes into force.
    pub fn on_peer_generation(
        &mut self,
        peer: &str,
        generation: u64,
        peers: usize,
        now: timer::Moment,
    ) -> Vec<ConfigAction> {
        const FETCH_LIFE_MS: u64 = 1_000;
        if generation <= self.generation() {
            if self.installed.is_none() {
                self.offers.insert(peer.to_owned(), generation);
            }
            return Vec::new();
        }
        if self
            .fetching
            .is_some_and(|since| now.since(since) < FETCH_LIFE_MS)
        {
            return Vec::new();
        }
        if self.installed.is_some() {
            self.fetching = Some(now);
            return vec![ConfigAction::Fetch(peer.to_owned())];
        }
        self.offers.insert(peer.to_owned(), generation);
        let enough = self.platform_failed && self.offers.len() * 2 > peers;
        let best = self.offers.values().copied().max() == Some(generation);
        if !enough || !best {
            return Vec::new();
        }
        self.fetching = Some(now);
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

fn give_up(change: &ActiveChange) -> ConfigAction {
    let code = if change.written {
        ResultCode::ApplyUncertain
    } else {
        ResultCode::PlatformUnavailable
    };
    refuse(
        change.request.ticket,
        code,
        "the platform did not answer in time",
    )
}
