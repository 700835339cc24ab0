//! The configuration object: a declaration, its generation and the operations applied last.

use std::sync;

use crate::declaration;
use crate::error::{self, Error};
use crate::plan;
use crate::result_code::ResultCode;
use crate::source;

/// Number of operations that the object remembers, to recognize a retried one.
const MAX_OPERATIONS: usize = 16;
/// Maximum length of an operation id in bytes.
const MAX_OPERATION_LENGTH: usize = 64;

/// An operation that took effect.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct AppliedOperation {
    /// The id that its caller chose.
    pub id: String,
    /// The generation that it created.
    pub generation: u64,
}

/// The configuration as it is stored on the platform and exchanged between hosts.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigObject {
    /// Incremented by one with each accepted change.
    pub generation: u64,
    /// The most recent operations, newest last.
    pub operations: Vec<AppliedOperation>,
    /// The active declaration.
    pub declaration: sync::Arc<declaration::SteeringDeclaration>,
}

/// A configuration change that an operator requests.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Replace the whole declaration. Active drains and shifts stay unless the new declaration
    /// names its own.
    Replace(Box<declaration::SteeringDeclaration>),
    /// Start a drain.
    Drain(declaration::DrainEntry),
    /// End a drain.
    Undrain(declaration::DrainEntry),
    /// Start a shift, or change the share of an active one.
    Shift(declaration::ShiftEntry),
    /// End a shift; `share` is ignored.
    Unshift(declaration::ShiftEntry),
}

impl ConfigObject {
    /// Parses and validates an object received from the platform or a peer.
    ///
    /// # Errors
    /// `ObjectInvalid` when it does not parse, `Rejected` when its declaration is invalid.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        let object: Self = serde_json::from_slice(bytes).map_err(|fault| {
            Error::with_code(ResultCode::ObjectInvalid, format!("configuration: {fault}"))
        })?;
        check(&object.declaration)?;
        Ok(object)
    }

    /// Serializes the object.
    ///
    /// # Errors
    /// `ObjectTooLarge` when it exceeds [`plan::MAX_OBJECT_BYTES`].
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

    /// The generation that an operation created, if it took effect and is still remembered.
    #[must_use]
    pub fn generation_of(&self, operation: &str) -> Option<u64> {
        self.operations
            .iter()
            .find(|applied| applied.id == operation)
            .map(|applied| applied.generation)
    }

    /// The next generation: `before` with the change applied.
    ///
    /// # Errors
    /// `TargetUnknown` when the drain or shift to end does not exist, `Rejected` when the result
    /// would not be a valid declaration.
    pub fn with_change(
        before: Option<&Self>,
        change: &ConfigChange,
        operation: &str,
    ) -> error::Result<Self> {
        let empty = declaration::SteeringDeclaration::default();
        let old = before.map_or(&empty, |object| object.declaration.as_ref());
        let declaration = apply_change(old, change)?;
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

/// Whether an operation id has a valid length and only letters, digits and hyphens.
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

fn apply_change(
    old: &declaration::SteeringDeclaration,
    change: &ConfigChange,
) -> error::Result<declaration::SteeringDeclaration> {
    let mut new = old.clone();
    match change {
        ConfigChange::Replace(replacement) => return Ok(replace_declaration(old, replacement)),
        ConfigChange::Drain(drain) => {
            if !new.is_draining(drain.kind, &drain.name) {
                new.drains.push(drain.clone());
            }
        }
        ConfigChange::Undrain(drain) => {
            if !new.is_draining(drain.kind, &drain.name) {
                return Err(Error::with_code(
                    ResultCode::TargetUnknown,
                    format!("no active drain of `{}`", drain.name),
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
                    "no active shift for this service and pair of regions".to_owned(),
                ));
            }
            new.shifts.retain(|entry| !is_same_route(entry, shift));
        }
    }
    Ok(new)
}

/// A new declaration that keeps the active drains and shifts whose targets it still declares.
/// Drains and shifts are temporary, and files under version control rarely contain them.
fn replace_declaration(
    old: &declaration::SteeringDeclaration,
    replacement: &declaration::SteeringDeclaration,
) -> declaration::SteeringDeclaration {
    let mut new = replacement.clone();
    for drain in &old.drains {
        let is_declared = match drain.kind {
            declaration::DrainKind::Server => {
                new.servers.iter().any(|server| server.name == drain.name)
            }
            declaration::DrainKind::Hall => new.hall(&drain.name).is_some(),
            declaration::DrainKind::Host => true,
        };
        if is_declared && !new.is_draining(drain.kind, &drain.name) {
            new.drains.push(drain.clone());
        }
    }
    for shift in &old.shifts {
        let is_region_declared = |name: &str| new.regions.iter().any(|region| region.name == name);
        let is_declared = new.service(&shift.service).is_some()
            && is_region_declared(&shift.from)
            && is_region_declared(&shift.to);
        if is_declared && !new.shifts.iter().any(|entry| is_same_route(entry, shift)) {
            new.shifts.push(shift.clone());
        }
    }
    new
}

fn is_same_route(left: &declaration::ShiftEntry, right: &declaration::ShiftEntry) -> bool {
    left.service == right.service && left.from == right.from && left.to == right.to
}
