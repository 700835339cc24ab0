//! Serves the queues: places a waiting request when a unit becomes free, and refuses it when its
//! deadline can't be met any more.

use std::collections;

use super::placing::{self, PlaceOutcome};
use super::{SteeringRole, WaitEnd, WaitTicket};
use crate::timer;

/// After this many waiting requests that can't be placed, the scan of a queue stops.
const TRIED_WAITERS: usize = 8;

impl SteeringRole {
    /// Returns the requests whose wait ended, after units became free or time passed.
    pub fn take_ready(&mut self, now: timer::Moment) -> Vec<WaitEnd> {
        let names: Vec<String> = self
            .lines
            .iter()
            .filter(|(_, line)| line.len() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        let mut ends = Vec::new();
        for name in names {
            self.refuse_late(&name, now, &mut ends);
            self.place_waiting(&name, now, &mut ends);
        }
        ends
    }

    /// Refuses waiting requests that can't be answered in time any more.
    fn refuse_late(&mut self, name: &str, now: timer::Moment, ends: &mut Vec<WaitEnd>) {
        let Some(mut line) = self.lines.remove(name) else {
            return;
        };
        let late = match self.services.get(name) {
            Some(service) => line.take_late(|entry| {
                service
                    .classes
                    .get(entry.class)
                    .is_none_or(|class| self.is_too_late(class, entry, now))
            }),
            None => line.take_late(|_| true),
        };
        ends.extend(late.into_iter().map(|entry| WaitEnd {
            ticket: entry.ticket,
            result: Err(placing::too_late()),
        }));
        self.lines.insert(name.to_owned(), line);
    }

    fn place_waiting(&mut self, name: &str, now: timer::Moment, ends: &mut Vec<WaitEnd>) {
        let mut failed = 0;
        let mut tried = collections::HashSet::new();
        while failed < TRIED_WAITERS {
            let line = self.lines.get(name);
            let Some(entry) = line.and_then(|line| {
                line.iter()
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
            ends.push(WaitEnd {
                ticket: entry.ticket,
                result: Ok(admission),
            });
        }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel_wait(&mut self, ticket: WaitTicket) {
        for line in self.lines.values_mut() {
            if line.remove(ticket) {
                return;
            }
        }
    }
}
