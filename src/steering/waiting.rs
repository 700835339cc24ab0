//! Serves the queues: places a waiting request when a unit becomes free, and refuses it when its
//! deadline can't be met any more.

use std::collections;

use super::placement::{self, PlaceOutcome};
use super::{SteeringRole, WaitOutcome, WaitTicket};
use crate::timer;

/// After this many waiting requests that can't be placed, the scan of a queue stops.
const MAX_FAILED_PLACEMENTS: usize = 8;

impl SteeringRole {
    /// Returns the requests whose wait ended, after units became free or time passed.
    pub fn take_ready(&mut self, now: timer::Moment) -> Vec<WaitOutcome> {
        let names: Vec<String> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        let mut outcomes = Vec::new();
        for name in names {
            self.refuse_late(&name, now, &mut outcomes);
            self.place_waiting(&name, now, &mut outcomes);
        }
        outcomes
    }

    /// Refuses waiting requests that can't be answered in time any more.
    fn refuse_late(&mut self, name: &str, now: timer::Moment, outcomes: &mut Vec<WaitOutcome>) {
        let Some(mut queue) = self.queues.remove(name) else {
            return;
        };
        let late = match self.services.get(name) {
            Some(service) => queue.take_late(|entry| {
                service
                    .classes
                    .get(entry.class)
                    .is_none_or(|class| self.is_too_late(class, entry, now))
            }),
            None => queue.take_late(|_| true),
        };
        outcomes.extend(late.into_iter().map(|entry| WaitOutcome {
            ticket: entry.ticket,
            result: Err(placement::deadline_refusal()),
        }));
        self.queues.insert(name.to_owned(), queue);
    }

    fn place_waiting(&mut self, name: &str, now: timer::Moment, outcomes: &mut Vec<WaitOutcome>) {
        let mut failed = 0;
        let mut tried = collections::HashSet::new();
        while failed < MAX_FAILED_PLACEMENTS {
            let queue = self.queues.get(name);
            let Some(entry) = queue.and_then(|queue| {
                queue
                    .iter()
                    .find(|entry| !tried.contains(&entry.ticket))
                    .copied()
            }) else {
                return;
            };
            tried.insert(entry.ticket);
            let PlaceOutcome::Admitted(admission) = self.place(name, &entry, now) else {
                failed += 1;
                continue;
            };
            self.cancel_wait(entry.ticket);
            outcomes.push(WaitOutcome {
                ticket: entry.ticket,
                result: Ok(admission),
            });
        }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel_wait(&mut self, ticket: WaitTicket) {
        for queue in self.queues.values_mut() {
            if queue.remove(ticket) {
                return;
            }
        }
    }
}
