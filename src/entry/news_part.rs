//! News of servers, cut into parts that fit into one datagram each.

use std::collections;

use super::peer_message;
use super::server::ServerObject;
use super::store::{ObjectChange, ObjectContent};

/// The largest datagram that fits into one packet of the usual networks, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Bytes of a part of news that are left for its frame.
const FRAME_BYTES: usize = 300;

/// Bytes that a server that is gone takes beside its identity: the length of that, and for how long
/// the server is kept.
const GONE_BYTES: usize = 4;

/// Cuts changes into parts; one empty part if there is nothing to tell. Of each server only the
/// last change counts: a part tells of servers that changed and of those that are gone, and not in
/// which order.
#[must_use]
pub fn parts_of(changes: &[ObjectChange]) -> Vec<NewsPart> {
    let mut parts = vec![NewsPart::default()];
    let last: collections::HashMap<&str, usize> = changes
        .iter()
        .enumerate()
        .map(|(place, change)| (change.object.name.as_str(), place))
        .collect();
    let is_last = |(place, change): &(usize, &ObjectChange)| {
        last.get(change.object.name.as_str()) == Some(place)
    };
    let changes = changes.iter().enumerate().filter(is_last);
    for item in changes.filter_map(|(_, change)| NewsItem::from_change(change)) {
        if parts.last().is_some_and(|part| !part.has_room(&item)) {
            parts.push(NewsPart::default());
        }
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}

/// One server in the news.
enum NewsItem {
    /// It came or changed; with its length in bytes as it is sent.
    Changed(Box<ServerObject>, usize),
    /// It is gone; its identity.
    Gone(String),
}

impl NewsItem {
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
            Self::Gone(id) => id.len() + GONE_BYTES,
        }
    }
}

/// The servers that one datagram tells of.
#[derive(Default, Debug)]
pub struct NewsPart {
    /// Servers that came or changed.
    pub changed: Vec<ServerObject>,
    /// The identities of those that are gone.
    pub gone: Vec<String>,
    bytes: usize,
}

impl NewsPart {
    const fn has_room(&self, item: &NewsItem) -> bool {
        self.bytes + item.bytes() + FRAME_BYTES <= MAX_DATAGRAM_BYTES
    }

    fn push(&mut self, item: NewsItem) {
        self.bytes += item.bytes();
        match item {
            NewsItem::Changed(object, _) => self.changed.push(*object),
            NewsItem::Gone(id) => self.gone.push(id),
        }
    }
}
