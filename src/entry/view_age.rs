//! How old this host's view of each kind of object is, and which source confirmed it last.

use std::{cell, collections};

use super::store::ObjectKind;
use crate::metrics_writer::MetricsWriter;
use crate::timer::Moment;

/// What shows that this host's view of a kind is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ViewSource {
    /// An answer of the store to this host.
    Store,
    /// Another host that watches the store and has the same state. Its own view may be older.
    Peer,
}

impl ViewSource {
    const ALL: [Self; 2] = [Self::Store, Self::Peer];

    /// The label in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// When this host's view of each kind was last confirmed, and how long its calls have been waiting.
#[derive(Debug, Default)]
pub struct ViewAges {
    confirmed: cell::RefCell<collections::HashMap<(ObjectKind, ViewSource), Moment>>,
    /// When the unanswered watch of a kind began.
    waiting_since: cell::RefCell<collections::HashMap<ObjectKind, Moment>>,
}

impl ViewAges {
    /// Records that `source` had the same state of `kind` as this host at `at`.
    pub fn on_confirmed(&self, kind: ObjectKind, source: ViewSource, at: Moment) {
        self.confirmed.borrow_mut().insert((kind, source), at);
    }

    /// A watch of `kind` began at `at`.
    pub fn on_watch_begun(&self, kind: ObjectKind, at: Moment) {
        self.waiting_since.borrow_mut().insert(kind, at);
    }

    /// The watch of `kind` was answered or given up.
    pub fn on_watch_ended(&self, kind: ObjectKind) {
        self.waiting_since.borrow_mut().remove(&kind);
    }

    /// Age of the view of `kind` in milliseconds, by the source that confirmed it last; `None`
    /// before the first confirmation.
    ///
    /// ```
    /// use ledgespool::entry::store::ObjectKind;
    /// use ledgespool::entry::view_age::{ViewAges, ViewSource};
    /// use ledgespool::timer::Moment;
    /// let ages = ViewAges::default();
    /// ages.on_confirmed(ObjectKind::Servers, ViewSource::Store, Moment(1_000));
    /// ages.on_confirmed(ObjectKind::Servers, ViewSource::Peer, Moment(1_500));
    /// assert_eq!(ages.age_ms(ObjectKind::Servers, Moment(1_700)), Some(200));
    /// assert_eq!(ages.age_ms(ObjectKind::Configuration, Moment(1_700)), None);
    /// ```
    #[must_use]
    pub fn age_ms(&self, kind: ObjectKind, now: Moment) -> Option<u64> {
        let confirmed = self.confirmed.borrow();
        let times = ViewSource::ALL
            .into_iter()
            .filter_map(|source| confirmed.get(&(kind, source)));
        times.map(|at| now.since(*at)).min()
    }

    /// Writes the ages by source, and how long the open watches have been waiting.
    pub fn write_to(&self, page: &mut MetricsWriter, now: Moment) {
        let confirmed = self.confirmed.borrow();
        let waiting = self.waiting_since.borrow();
        for kind in ObjectKind::WATCHED {
            for source in ViewSource::ALL {
                if let Some(at) = confirmed.get(&(kind, source)) {
                    let labels = [("kind", kind.as_str()), ("source", source.as_str())];
                    page.labelled("ledgespool_view_age_milliseconds", &labels, now.since(*at));
                }
            }
            if let Some(since) = waiting.get(&kind) {
                let labels = [("kind", kind.as_str())];
                let waiting_ms = now.since(*since);
                page.labelled("ledgespool_watch_wait_milliseconds", &labels, waiting_ms);
            }
        }
    }
}
