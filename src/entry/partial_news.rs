//! Tracks fleet updates that arrive in several datagrams until all fragments are received.

use std::collections;

use super::peer_message::FleetUpdate;

/// Maximum number of incomplete updates that are tracked.
const MAX_PARTIAL_UPDATES: usize = 64;

/// Fleet updates of which some fragments are still missing, oldest first.
#[derive(Debug, Default)]
pub struct PartialNewsList {
    news: collections::VecDeque<PartialNews>,
}

#[derive(Debug)]
struct PartialNews {
    host: String,
    until: u64,
    /// Indexes of the received fragments; the network may deliver one twice.
    parts: collections::BTreeSet<u32>,
}

impl PartialNewsList {
    /// Records a fragment; returns whether all fragments of its update have arrived.
    ///
    /// ```
    /// use ledgespool::entry::partial_news::PartialNewsList;
    /// use ledgespool::entry::peer_message::FleetUpdate;
    /// let part = |part| FleetUpdate { part, parts: 2, ..FleetUpdate::default() };
    /// let mut list = PartialNewsList::default();
    /// assert!(!list.on_part(&part(0)) && !list.on_part(&part(0)));
    /// assert!(list.on_part(&part(1)));
    /// ```
    pub fn on_part(&mut self, news: &FleetUpdate) -> bool {
        if news.parts <= 1 {
            return true;
        }
        let known = self
            .news
            .iter_mut()
            .find(|known| known.until == news.until && known.host == news.host);
        if let Some(known) = known {
            known.parts.insert(news.part);
            return known.parts.len() as u64 >= u64::from(news.parts);
        }
        self.news.push_back(PartialNews {
            host: news.host.clone(),
            until: news.until,
            parts: [news.part].into(),
        });
        if self.news.len() > MAX_PARTIAL_UPDATES {
            self.news.pop_front();
        }
        false
    }
}
