//! The input of an experiment: hosts, customers, load and faults.

use std::path;

use crate::entry::customer::RateLimit;
use crate::entry::limits::{LimitBound, LimitTolerance};
use crate::error;
use crate::object_reader::{self, ObjectReader};
use crate::result_code::ResultCode;
use crate::source;

/// An experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitScenario {
    /// The number of entry hosts.
    pub hosts: u32,
    /// The number of regions that the hosts are distributed over.
    pub regions: u32,
    /// The number of customers; the second sends half as many requests as the first, the third a
    /// third.
    pub customers: u32,
    /// Requests of all customers together, per second.
    pub requests_per_s: f64,
    /// A customer's limit, as a multiple of its usual load.
    pub limit_factor: f64,
    /// How far the count of all hosts may exceed a limit.
    pub tolerance: LimitTolerance,
    /// The simulated time, in milliseconds.
    pub length_ms: u64,
    /// Network latency between hosts of one region, one way, in milliseconds.
    pub local_latency_ms: u64,
    /// Network latency between hosts of different regions, one way, in milliseconds.
    pub remote_latency_ms: u64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The injected faults.
    pub faults: Vec<LimitFault>,
}

/// One injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitFault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// The kind of fault.
    pub kind: LimitFaultKind,
}

/// The kinds of injected faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitFaultKind {
    /// A customer sends a multiple of its usual load.
    Press {
        /// The customer's number, 0 for the largest.
        customer: u32,
        /// The multiple.
        factor: f64,
    },
    /// A share of the hosts is killed and restarts without state.
    Kill {
        /// The share of hosts.
        share: f64,
    },
    /// The hosts are split into partitions that cannot reach each other; callers still reach all of
    /// them.
    Cut {
        /// The number of partitions.
        parts: u32,
    },
    /// All callers send to one region.
    Gather {
        /// The region's number.
        region: u32,
    },
    /// A customer's limit is lowered permanently.
    Lower {
        /// The customer's number.
        customer: u32,
        /// The new limit as a share of the previous one.
        factor: f64,
    },
}

impl LimitScenario {
    /// The bound of a customer with this usual load per second.
    #[must_use]
    pub fn bound(&self, usual_per_s: f64) -> LimitBound {
        let per_s = usual_per_s * self.limit_factor;
        LimitBound {
            limit: RateLimit {
                per_s,
                burst: per_s,
            },
            tolerance: self.tolerance,
        }
    }

    /// The usual load of each customer, per second.
    #[must_use]
    pub fn usual_rates(&self) -> Vec<f64> {
        let weights = (0..self.customers).map(|number| 1.0 / f64::from(number + 1));
        let sum: f64 = weights.clone().sum();
        weights
            .map(|weight| self.requests_per_s * weight / sum)
            .collect()
    }
}

/// Reads an experiment from a file: JSON with comments.
///
/// # Errors
///
/// `FileUnreadable`, or `Rejected` with every error found.
pub fn from_file(file: &path::Path) -> error::Result<LimitScenario> {
    from_source(&source::SourceText::from_file(file)?)
}

/// Reads an experiment from text.
///
/// # Errors
///
/// `Rejected` with every error found.
pub fn from_source(text: &source::SourceText) -> error::Result<LimitScenario> {
    object_reader::read_whole(text, read_scenario)
}

fn read_scenario(reader: &mut ObjectReader<'_, '_>) -> LimitScenario {
    LimitScenario {
        hosts: reader.integer("hosts", 1..=2_000),
        regions: reader.integer("regions", 1..=100),
        customers: reader.integer("customers", 1..=100_000),
        requests_per_s: reader
            .optional_number("requests_per_s", 0.1..=1e6)
            .unwrap_or(1_000.0),
        limit_factor: reader
            .optional_number("limit_factor", 0.01..=1e3)
            .unwrap_or(1.6),
        tolerance: LimitTolerance {
            window_s: reader.duration("window").as_secs_f64(),
            excess: reader.optional_number("excess", 0.0..=10.0).unwrap_or(0.0),
            slack: reader.optional_number("slack", 0.0..=1e6).unwrap_or(0.0),
        },
        length_ms: reader.duration("length").as_millis() as u64,
        local_latency_ms: reader.duration("near").as_millis() as u64,
        remote_latency_ms: reader.duration("far").as_millis() as u64,
        loss: reader.optional_share("loss").unwrap_or(0.0),
        faults: reader.list("faults", read_fault),
    }
}

fn read_fault(reader: &mut ObjectReader<'_, '_>) -> LimitFault {
    let at_ms = reader.duration("at").as_millis() as u64;
    let duration_ms = reader
        .optional_duration("for")
        .map_or(0, |length| length.as_millis() as u64);
    let kind_name = reader.string("kind");
    let kind = match kind_name.as_str() {
        "press" => LimitFaultKind::Press {
            customer: reader.integer("customer", 0..=100_000),
            factor: reader.optional_number("factor", 0.0..=1e3).unwrap_or(8.0),
        },
        "kill" => LimitFaultKind::Kill {
            share: reader.optional_share("share").unwrap_or(1.0),
        },
        "cut" => LimitFaultKind::Cut {
            parts: reader.integer("parts", 1..=1_000),
        },
        "gather" => LimitFaultKind::Gather {
            region: reader.integer("region", 0..=99),
        },
        "lower" => LimitFaultKind::Lower {
            customer: reader.integer("customer", 0..=100_000),
            factor: reader.optional_number("factor", 0.0..=1.0).unwrap_or(0.25),
        },
        other => {
            let message =
                format!("unknown fault kind {other:?}, expected press, kill, cut, gather or lower");
            reader.fault(ResultCode::ValueOutOfRange, message);
            LimitFaultKind::Cut { parts: 1 }
        }
    };
    LimitFault {
        at_ms,
        duration_ms,
        kind,
    }
}
