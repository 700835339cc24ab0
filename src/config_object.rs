//! The configuration object: a declaration with its generation and the operations that made it.

use std::sync;

use crate::declaration;
use crate::error::{self, Error};
use crate::plan;
use crate::result_code::ResultCode;
use crate::source;

/// Operations that the object remembers, so that a repeated one is recognized.
const MAX_OPERATIONS: usize = 16;
/// The longest operation id.
const MAX_OPERATION_LENGTH: usize = 64;

/// An operation that took effect.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct AppliedOperation {
    /// The id that its caller gave it.
    pub id: String,
    /// The generation that it made.
    pub generation: u64,
}

/// The configuration as stored and passed between hosts.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigObject {
    /// Grows by one with each accepted change.
    pub generation: u64,
    /// The last operations, newest last.
    pub operations: Vec<AppliedOperation>,
    /// The declaration in force.
    pub declaration: sync::Arc<declaration::SteeringDeclaration>,
}

/// What an operator wants changed.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Put a whole declaration in place; drains and shifts in force stay unless it names its own.
    Replace(Box<declaration::SteeringDeclaration>),
    /// Start a drain.
    Drain(declaration::DrainEntry),
    /// Lift a drain.
    Undrain(declaration::DrainEntry),
    /// Start a shift, or change the share of one.
    Shift(declaration::ShiftEntry),
    /// End a shift; `share` does not matter.
    Unshift(declaration::ShiftEntry),
}

impl ConfigObject {
    /// Reads and checks an object from the platform or a peer.
    ///
    /// # Errors
    /// `ObjectInvalid` when it does not parse, `Rejected` when its declaration is faulty.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        let object: Self = serde_json::from_slice(bytes).map_err(|fault| {
            Error::with_code(ResultCode::ObjectInvalid, format!("configuration: {fault}"))
        })?;
        check(&object.declaration)?;
        Ok(object)
    }

    /// Writes the object.
    ///
    /// # Errors
    /// `ObjectTooLarge` past one megabyte.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let bytes = serde_json::to_vec(self).map_err(|fault| {
            Error::with_code(ResultCode::ObjectInvalid, format!("configuration: {fault}"))
        })?;
        if bytes.len() > plan::MAX_OBJECT_BYTES {
            let detail = format!("configuration: {} bytes", bytes.len());
            return Err(Error::with_code(ResultCode::ObjectTooLarge, detail));
        }
        Ok(bytes)
    }

    /// The generation that an operation made, if it took effect.
    #[must_use]
    pub fn generation_of(&self, operation: &str) -> Option<u64> {
        self.operations
            .iter()
            .find(|applied| applied.id == operation)
            .map(|applied| applied.generation)
    }

    /// The next generation, after a change.
    ///
    /// # Errors
    /// `TargetUnknown`, or `Rejected` when the result would not be a valid declaration.
    pub fn with_change(
        before: Option<&Self>,
        change: &ConfigChange,
        operation: &str,
    ) -> error::Result<Self> {
        let empty = declaration::SteeringDeclaration::default();
        let old = before.map_or(&empty, |object| object.declaration.as_ref());
        let declaration = changed_declaration(old, change)?;
        check(&declaration)?;
        let before_generation = before.map_or(0, |object| object.generation);
        let generation = before_generation.saturating_add(1);
        let mut operations = before.map_or_else(Vec::new, |object| object.operations.clone());
        operations.push(AppliedOperation {
            id: operation.to_owned(),
            generation,
        });
        let surplus = operations.len().saturating_sub(MAX_OPERATIONS);
        operations.drain(..surplus);
        Ok(Self {
            generation,
            operations,
            declaration: sync::Arc::new(declaration),
        })
    }
}

/// Whether an operation id can be stored.
#[must_use]
pub fn is_valid_operation(operation: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    (1..=MAX_OPERATION_LENGTH).contains(&operation.len()) && operation.bytes().all(valid)
}

fn check(declaration: &declaration::SteeringDeclaration) -> error::Result<()> {
    let mut problems = source::ProblemList::default();
    declaration::check_declaration(declaration, &mut problems);
    problems.into_result(&[])
}

fn changed_declaration(
    old: &declaration::SteeringDeclaration,
    change: &ConfigChange,
) -> error::Result<declaration::SteeringDeclaration> {
    let mut new = old.clone();
    match change {
        ConfigChange::Replace(whole) => return Ok(replaced(old, whole)),
        ConfigChange::Drain(drain) => {
            if !new.is_draining(drain.kind, &drain.name) {
                new.drains.push(drain.clone());
            }
        }
        ConfigChange::Undrain(drain) => {
            if !new.is_draining(drain.kind, &drain.name) {
                return Err(Error::with_code(
                    ResultCode::TargetUnknown,
                    format!("no drain of {}", drain.name),
                ));
            }
            new.drains
                .retain(|entry| entry.kind != drain.kind || entry.name != drain.name);
        }
        ConfigChange::Shift(shift) => {
            new.shifts.retain(|entry| !is_same_route(entry, shift));
            new.shifts.push(shift.clone());
        }
        ConfigChange::Unshift(shift) => {
            if !new.shifts.iter().any(|entry| is_same_route(entry, shift)) {
                return Err(Error::with_code(
                    ResultCode::TargetUnknown,
                    "no such shift".to_owned(),
                ));
            }
            new.shifts.retain(|entry| !is_same_route(entry, shift));
        }
    }
    Ok(new)
}

/// Drains and shifts are orders of the day: files under version control seldom name them, so a
/// replacement keeps those in force, as far as what they name is still there.
fn replaced(
    old: &declaration::SteeringDeclaration,
    whole: &declaration::SteeringDeclaration,
) -> declaration::SteeringDeclaration {
    let mut new = whole.clone();
    for drain in &old.drains {
        let known = match drain.kind {
            declaration::DrainKind::Server => {
                new.servers.iter().any(|server| server.name == drain.name)
            }
            declaration::DrainKind::Hall => new.hall(&drain.name).is_some(),
            declaration::DrainKind::Host => true,
        };
        if known && !new.is_draining(drain.kind, &drain.name) {
            new.drains.push(drain.clone());
        }
    }
    for shift in &old.shifts {
        let region_known = |name: &str| new.regions.iter().any(|region| region.name == name);
        let known = new.service(&shift.service).is_some()
            && region_known(&shift.from)
            && region_known(&shift.to);
        if known && !new.shifts.iter().any(|entry| is_same_route(entry, shift)) {
            new.shifts.push(shift.clone());
        }
    }
    new
}

fn is_same_route(left: &declaration::ShiftEntry, right: &declaration::ShiftEntry) -> bool {
    left.service == right.service && left.from == right.from && left.to == right.to
}
