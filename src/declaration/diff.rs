//! Computes the difference between two declarations, entry by entry.

use std::{collections, fmt};

use super::SteeringDeclaration;

/// How an entry changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only in the new declaration.
    Added,
    /// Only in the old declaration.
    Removed,
    /// In both, with different content.
    Changed,
}

/// One entry that differs.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DeclarationChange {
    /// How it differs.
    pub kind: ChangeKind,
    /// The section and the entry's key, such as `servers desk-1`.
    pub entry: String,
}

impl DeclarationChange {
    /// Whether this is an active drain or shift that is missing from the files. `apply` keeps it.
    #[must_use]
    pub fn is_retained_by_apply(&self) -> bool {
        let is_drain_or_shift =
            self.entry.starts_with("drains ") || self.entry.starts_with("shifts ");
        self.kind == ChangeKind::Removed && is_drain_or_shift
    }
}

impl fmt::Display for DeclarationChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        write!(f, "{sign} {}", self.entry)
    }
}

/// Lists the changes from `old` to `new`, by section and sorted by key.
///
/// ```
/// use ledgespool::declaration;
/// let old = declaration::SteeringDeclaration::default();
/// assert!(declaration::list_changes(&old, &old.clone()).is_empty());
/// ```
#[must_use]
pub fn list_changes(
    old: &SteeringDeclaration,
    new: &SteeringDeclaration,
) -> Vec<DeclarationChange> {
    let mut changes = Vec::new();
    compare_section(
        "services",
        &old.services,
        &new.services,
        |entry| entry.name.clone(),
        &mut changes,
    );
    compare_section(
        "regions",
        &old.regions,
        &new.regions,
        |entry| entry.name.clone(),
        &mut changes,
    );
    compare_section(
        "halls",
        &old.halls,
        &new.halls,
        |entry| entry.name.clone(),
        &mut changes,
    );
    compare_section(
        "links",
        &old.links,
        &new.links,
        |entry| format!("{} - {}", entry.from, entry.to),
        &mut changes,
    );
    compare_section(
        "servers",
        &old.servers,
        &new.servers,
        |entry| entry.name.clone(),
        &mut changes,
    );
    compare_section(
        "blocks",
        &old.blocks,
        &new.blocks,
        |entry| entry.prefix.to_string(),
        &mut changes,
    );
    compare_section(
        "drains",
        &old.drains,
        &new.drains,
        |entry| format!("{:?} {}", entry.kind, entry.name),
        &mut changes,
    );
    compare_section(
        "shifts",
        &old.shifts,
        &new.shifts,
        |entry| format!("{} {} -> {}", entry.service, entry.from, entry.to),
        &mut changes,
    );
    changes
}

fn compare_section<T: serde::Serialize>(
    name: &str,
    old: &[T],
    new: &[T],
    key: impl Fn(&T) -> String,
    changes: &mut Vec<DeclarationChange>,
) {
    let old: collections::BTreeMap<String, &T> =
        old.iter().map(|entry| (key(entry), entry)).collect();
    let new: collections::BTreeMap<String, &T> =
        new.iter().map(|entry| (key(entry), entry)).collect();
    let mut push = |kind, key: &str| {
        changes.push(DeclarationChange {
            kind,
            entry: format!("{name} {key}"),
        });
    };
    for (key, entry) in &new {
        match old.get(key) {
            None => push(ChangeKind::Added, key),
            Some(before) if !is_equal(before, entry) => push(ChangeKind::Changed, key),
            Some(_) => {}
        }
    }
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        push(ChangeKind::Removed, key);
    }
}

/// Compares the serialized forms, which do not contain source positions.
fn is_equal<T: serde::Serialize>(left: &T, right: &T) -> bool {
    serde_json::to_value(left).ok() == serde_json::to_value(right).ok()
}
