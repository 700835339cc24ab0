//! Splits server changes into fragments of one datagram each.

use std::collections;

use super::peer_message;
use super::server::ServerObject;
use super::store::{ObjectChange, ObjectContent};

/// Maximum size of a datagram, in bytes. Fits in one packet of common networks.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Bytes reserved in each datagram for the rest of the update message.
const ENVELOPE_BYTES: usize = 300;

/// Bytes that a gone server takes in addition to its ID: the length of the ID, the remaining
/// retention and the number of its last statement.
const GONE_OVERHEAD_BYTES: usize = 15;

/// Splits changes into fragments; returns one empty fragment if there are no changes. Of each server
/// the last change is included, and those before it whose statement of the server is newer: the
/// store may do a write late. The recipient orders them by these statements, because a fragment lists
/// changed and gone servers without their order.
#[must_use]
pub fn split_changes(changes: &[ObjectChange]) -> Vec<UpdateFragment> {
    let mut fragments = vec![UpdateFragment::default()];
    let last: collections::HashMap<&str, usize> = changes
        .iter()
        .enumerate()
        .map(|(index, change)| (change.object.name.as_str(), index))
        .collect();
    let is_included = |(index, change): &(usize, &ObjectChange)| {
        let last = last.get(change.object.name.as_str());
        last.is_none_or(|last| index == last || is_newer_statement(change, &changes[*last]))
    };
    let changes = changes.iter().enumerate().filter(is_included);
    for item in changes.filter_map(|(_, change)| UpdateItem::from_change(change)) {
        if fragments
            .last()
            .is_some_and(|fragment| !fragment.fits(&item))
        {
            fragments.push(UpdateFragment::default());
        }
        if let Some(fragment) = fragments.last_mut() {
            fragment.push(item);
        }
    }
    fragments
}

/// Whether a change shows a newer statement of the same incarnation of a server than another one.
fn is_newer_statement(change: &ObjectChange, other: &ObjectChange) -> bool {
    match (&change.object.content, &other.object.content) {
        (ObjectContent::Server(own), ObjectContent::Server(other)) => {
            own.start_order(other).is_eq() && own.sequence > other.sequence
        }
        _ => false,
    }
}

/// One server in an update.
enum UpdateItem {
    /// The server joined or changed; with its encoded size in bytes.
    Changed(Box<ServerObject>, usize),
    /// The ID of a server that is gone.
    Gone(String),
}

impl UpdateItem {
    fn from_change(change: &ObjectChange) -> Option<Self> {
        if change.deleted {
            return Some(Self::Gone(change.object.name.clone()));
        }
        let ObjectContent::Server(record) = &change.object.content else {
            return None;
        };
        let object = ServerObject {
            record: record.clone(),
            revision: change.object.revision,
        };
        let bytes = peer_message::to_bytes(&object).map_or(0, |bytes| bytes.len());
        Some(Self::Changed(Box::new(object), bytes))
    }

    const fn bytes(&self) -> usize {
        match self {
            Self::Changed(_, bytes) => *bytes + 1,
            Self::Gone(id) => id.len() + GONE_OVERHEAD_BYTES,
        }
    }
}

/// The servers in one datagram.
#[derive(Default, Debug)]
pub struct UpdateFragment {
    /// Servers that joined or changed.
    pub changed: Vec<ServerObject>,
    /// IDs of servers that are gone.
    pub gone: Vec<String>,
    bytes: usize,
}

impl UpdateFragment {
    const fn fits(&self, item: &UpdateItem) -> bool {
        self.bytes + item.bytes() + ENVELOPE_BYTES <= MAX_DATAGRAM_BYTES
    }

    fn push(&mut self, item: UpdateItem) {
        self.bytes += item.bytes();
        match item {
            UpdateItem::Changed(object, _) => self.changed.push(*object),
            UpdateItem::Gone(id) => self.gone.push(id),
        }
    }
}
