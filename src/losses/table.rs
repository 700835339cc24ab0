//! Prints a loss report as tables of at most 120 columns.

use std::{collections, fmt};

use super::cause::LateCause;
use super::report::{LossCounts, LossReport};

/// The width of the first column. Longer names are cut.
const NAME_COLUMNS: usize = 20;
/// The width of the decisions' column.
const DECISION_COLUMNS: usize = 36;
/// The number of priorities that have a column in the table of decisions, the most urgent.
const MAX_LISTED_PRIORITIES: usize = 6;
/// The outcome that has a column of its own, as more servers do not help against it.
const LIMIT_OUTCOME: &str = "refused_limit";

impl LossCounts {
    fn cells(&self) -> String {
        let late = LateCause::ALL.map(|cause| {
            let count = self.late.get(&cause).copied().unwrap_or(0);
            format!("{count:>width$}", width = columns_of(cause))
        });
        let ended: u64 = self.ended.values().sum();
        let limit = self.ended.get(LIMIT_OUTCOME).copied().unwrap_or(0);
        format!(
            "{:>9}{:>8}{}{limit:>7}{:>7}{:>10}",
            self.all(),
            self.in_time,
            late.concat(),
            ended - limit,
            self.refused_with_free_slots
        )
    }
}

/// Returns the headings of the columns that [`LossCounts::cells`] fills.
fn headings() -> String {
    let late = LateCause::ALL.map(|cause| format!("{cause:>width$}", width = columns_of(cause)));
    format!(
        "{:>9}{:>8}{}{:>7}{:>7}{:>10}",
        "requests",
        "in time",
        late.concat(),
        "limit",
        "failed",
        "with room"
    )
}

const fn columns_of(cause: LateCause) -> usize {
    let name = cause.as_str().len();
    if name < 7 { 7 } else { name + 1 }
}

fn write_heading(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    writeln!(f, "{name:<NAME_COLUMNS$}{}", headings())
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, counts: &LossCounts) -> fmt::Result {
    writeln!(f, "{name:<NAME_COLUMNS$.NAME_COLUMNS$}{}", counts.cells())
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_heading(f, "route")?;
        for (name, route) in &self.routes {
            write_row(f, name, &route.counts)?;
        }
        self.write_priorities(f)?;
        self.write_customers(f)?;
        self.write_decisions(f)?;
        self.write_windows(f)?;
        self.write_errors(f)?;
        self.write_faults(f)
    }
}

impl LossReport {
    fn write_priorities(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.priorities.is_empty() {
            return Ok(());
        }
        writeln!(f)?;
        write_heading(f, "priority (0 first)")?;
        for (priority, counts) in &self.priorities {
            write_row(f, &priority.to_string(), counts)?;
        }
        Ok(())
    }

    fn write_customers(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.customers.is_empty() {
            return Ok(());
        }
        writeln!(f)?;
        write_heading(f, "customer, most lost")?;
        for customer in &self.customers {
            write_row(f, &customer.name, &customer.counts)?;
        }
        Ok(())
    }

    fn write_decisions(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.decisions.is_empty() {
            return Ok(());
        }
        let priorities: collections::BTreeSet<u32> = self
            .decisions
            .values()
            .flat_map(|losses| losses.priorities.keys().copied())
            .collect();
        write!(f, "\n{:<DECISION_COLUMNS$}{:>9}", "decision", "requests")?;
        for priority in priorities.iter().take(MAX_LISTED_PRIORITIES) {
            write!(f, "{:>12}", format!("priority {priority}"))?;
        }
        writeln!(f)?;
        for (decision, losses) in &self.decisions {
            write!(f, "{decision:<DECISION_COLUMNS$}{:>9}", losses.requests)?;
            for priority in priorities.iter().take(MAX_LISTED_PRIORITIES) {
                let count = losses.priorities.get(priority).copied().unwrap_or(0);
                write!(f, "{count:>12}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }

    fn write_windows(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f)?;
        write_heading(f, "from second")?;
        let first = self.windows.keys().next().copied().unwrap_or(0);
        for (start, counts) in &self.windows {
            write_row(f, &((start - first) / 1_000).to_string(), counts)?;
        }
        Ok(())
    }

    fn write_errors(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\nlater than expected, ms   median and p90: known object | first run | taken for known"
        )?;
        for (name, route) in &self.routes {
            write!(f, "{name:<NAME_COLUMNS$.NAME_COLUMNS$}")?;
            for error in [route.cached, route.expected_miss, route.unexpected_miss] {
                write!(f, "{:>8.0}{:>7.0} |", error.median_ms, error.p90_ms)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }

    fn write_faults(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\n{} lines could not be read", self.unreadable)?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}
