//! Injects the faults of an experiment.

use rand::Rng as _;

use super::scenario::{LimitFault, LimitFaultKind};
use super::strategies::LimitStrategy;
use super::world::{LimitWorld, WorldEvent};

/// Minimum downtime of a killed host, in milliseconds: it restarts within the lease of its previous
/// run.
const MIN_DOWN_MS: u64 = 200;

impl<W: LimitStrategy> LimitWorld<'_, W> {
    pub(super) fn on_begin(&mut self, fault: LimitFault) {
        match fault.kind {
            LimitFaultKind::Press { customer, factor } => {
                let number = customer as usize % self.customers.len();
                self.customers[number].load_factor = factor;
            }
            LimitFaultKind::Kill { share } => self.kill(share, fault.duration_ms.max(MIN_DOWN_MS)),
            LimitFaultKind::Cut { parts } => {
                let parts = parts.max(1);
                for partition in &mut self.partition_of {
                    *partition = self.random.random_range(0..parts);
                }
                self.partitioned_since = Some(self.now);
            }
            LimitFaultKind::Gather { region } => {
                self.target_region = Some(region as usize % self.scenario.regions as usize);
            }
            LimitFaultKind::Lower { customer, factor } => {
                let number = customer as usize % self.customers.len();
                self.customers[number].lower_limit(factor, self.now);
                return;
            }
        }
        self.schedule(fault.duration_ms, WorldEvent::End(fault));
    }

    fn kill(&mut self, share: f64, down_ms: u64) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_alive || !self.random.random_bool(share.clamp(0.0, 1.0)) {
                continue;
            }
            let killed = &mut self.hosts[host];
            killed.is_alive = false;
            killed.changed_at = self.now;
            for (_, customer, _) in std::mem::take(&mut killed.waiting).into_values() {
                self.customers[customer].count.refused += 1;
            }
            let after_ms = down_ms + self.random.random_range(0..300);
            self.schedule(after_ms, WorldEvent::Start { host });
        }
    }

    pub(super) fn on_start(&mut self, host: usize) {
        let started = &mut self.hosts[host];
        started.run += 1;
        started.is_alive = true;
        started.changed_at = self.now;
        started.strategy = W::start(host, started.run, self.now);
        let run = started.run;
        self.schedule(0, WorldEvent::Round { host, run });
    }

    pub(super) fn on_end(&mut self, fault: LimitFault) {
        match fault.kind {
            LimitFaultKind::Press { customer, .. } => {
                let number = customer as usize % self.customers.len();
                self.customers[number].load_factor = 1.0;
            }
            LimitFaultKind::Cut { .. } => self.partitioned_since = None,
            LimitFaultKind::Gather { .. } => self.target_region = None,
            LimitFaultKind::Kill { .. } | LimitFaultKind::Lower { .. } => {}
        }
    }
}
