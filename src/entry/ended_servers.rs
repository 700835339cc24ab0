//! The backend servers that have ended, for other hosts that missed it.
//!
//! A host that asks for what has changed since an earlier count of the store must also hear of what
//! is gone. Only the last that ended are remembered; for what lies further back, a host reads the
//! whole list.

use std::collections;

use super::hash;
use super::store_position;

/// Ended servers that are remembered at least. Beyond, as many as there are servers: when a hall or a region of any
/// size is lost, a host that missed the news still hears of it without reading the whole list.
const LEAST_ENDED: usize = 1_024;

/// A server that is gone, and the store's count by which it was.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndedServer {
    id: String,
    born: Option<u64>,
    by: u64,
    kind: EndKind,
}

/// One start of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerStart<'a> {
    pub(super) id: &'a str,
    pub(super) born: Option<u64>,
}

/// How it is known that a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndKind {
    /// The store removed its entry.
    Removed,
    /// Its entry lapsed and did not come back in time, as far as this host saw: it may have come
    /// back before the count by which it was given up.
    Lapsed,
}

/// The last servers that ended.
#[derive(Debug, Default)]
pub(super) struct EndedServers {
    servers: collections::VecDeque<EndedServer>,
    /// How many were forgotten: the number of the first that is remembered.
    forgotten: usize,
    /// The number of the last end of each identity, by its hash.
    last: rustc_hash::FxHashMap<u64, usize>,
    /// What ended up to this count of the store may be forgotten.
    told_from: u64,
}

impl EndedServers {
    /// The first list was read; nothing is known of what ended up to its count `revision`.
    pub(super) fn on_first_list(&mut self, revision: u64) {
        self.told_from = self.told_from.max(revision);
    }

    /// A server is gone by the store's count `by`; `fleet` servers are left.
    pub(super) fn on_ended(
        &mut self,
        start: ServerStart<'_>,
        by: u64,
        kind: EndKind,
        fleet: usize,
    ) {
        let number = self.forgotten + self.servers.len();
        self.last.insert(hash::of_name(start.id), number);
        self.servers.push_back(EndedServer {
            id: start.id.to_owned(),
            born: start.born,
            by,
            kind,
        });
        while self.servers.len() > fleet.max(LEAST_ENDED) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some(first) = self.servers.pop_front() else {
            return;
        };
        let key = hash::of_name(&first.id);
        if self.last.get(&key) == Some(&self.forgotten) {
            self.last.remove(&key);
        }
        self.forgotten += 1;
        self.told_from = self.told_from.max(first.by);
    }

    /// The last end of a server, if it is remembered.
    fn last_end(&self, id: &str) -> Option<&EndedServer> {
        let number = self.last.get(&hash::of_name(id))?;
        let ended = self.servers.get(number - self.forgotten)?;
        (ended.id == id).then_some(ended)
    }

    /// Whether the store removed the entry of this start of a server, or of a later one, by its count
    /// `revision` or later: an entry of that count is out of date.
    pub(super) fn has_ended(&self, start: ServerStart<'_>, revision: u64) -> bool {
        let last = self.last_end(start.id);
        last.is_some_and(|ended| {
            let is_later_start = start.born > ended.born;
            ended.kind == EndKind::Removed && ended.by >= revision && !is_later_start
        })
    }

    /// Whether the store removed the entry of this start of a server in an era before that of `position`: where the
    /// entry is there again, it comes from an older copy, or its server lives and has written it again.
    pub(super) fn ended_in_former_era(&self, start: ServerStart<'_>, position: u64) -> bool {
        let last = self.last_end(start.id);
        let era = store_position::epoch_of;
        last.is_some_and(|ended| era(ended.by) < era(position) && start.born <= ended.born)
    }

    /// The identities of those that ended past the store's count `since`; `None` when that is not
    /// known any more.
    pub(super) fn since(&self, since: u64) -> Option<impl Iterator<Item = &String>> {
        if since < self.told_from {
            return None;
        }
        let later = self.servers.iter().filter(move |ended| ended.by > since);
        Some(later.map(|ended| &ended.id))
    }
}
