//! Validates a declaration: names, references, ranges, capacities and client blocks.

use std::collections;

use super::{BlockEntry, DrainKind, SteeringDeclaration};
use crate::result_code::ResultCode;
use crate::source::{ProblemList, SourceSpan};

/// Maximum number of client blocks in a declaration, to bound the memory of each entry host.
pub const MAX_BLOCKS: u64 = 1_000_000;
const MAX_NAME_LENGTH: usize = 64;
/// Maximum number of slots of a backend server.
pub(super) const MAX_SLOTS: u32 = 10_000;
/// Maximum weight of a request class.
pub(super) const MAX_WEIGHT: u32 = 1_000;
/// Maximum number of concurrent requests in a place or on a link.
pub(super) const MAX_CONCURRENT: u32 = 1_000_000;

/// Checks every rule and records every fault, so that an operator sees all faults at once.
pub fn check_declaration(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    check_names(declaration, problems);
    check_references(declaration, problems);
    check_services(declaration, problems);
    check_ranges(declaration, problems);
    check_hall_capacity(declaration, problems);
    check_link_capacity(declaration, problems);
    check_blocks(&declaration.blocks, problems);
}

fn check_names(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    let services = declaration
        .services
        .iter()
        .map(|entry| (entry.name.as_str(), entry.span));
    let regions = declaration
        .regions
        .iter()
        .map(|entry| (entry.name.as_str(), entry.span));
    let halls = declaration
        .halls
        .iter()
        .map(|entry| (entry.name.as_str(), entry.span));
    let servers = declaration
        .servers
        .iter()
        .map(|entry| (entry.name.as_str(), entry.span));
    check_unique("service", services, problems);
    check_unique("region", regions, problems);
    check_unique("hall", halls, problems);
    check_unique("server", servers, problems);
}

fn check_unique<'d>(
    kind: &str,
    names: impl Iterator<Item = (&'d str, Option<SourceSpan>)>,
    problems: &mut ProblemList,
) {
    let mut seen = collections::HashSet::new();
    for (name, span) in names {
        if !is_valid_name(name) {
            let message = format!("{kind} name {name:?} must be 1 to 64 of a-z, 0-9, - and _");
            problems.push(ResultCode::ValueOutOfRange, message, span);
        }
        if !seen.insert(name) {
            problems.push(
                ResultCode::NameDuplicate,
                format!("{kind} `{name}` is declared twice"),
                span,
            );
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let valid =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte);
    (1..=MAX_NAME_LENGTH).contains(&name.len()) && name.bytes().all(valid)
}

struct NameIndex<'d> {
    services: collections::HashSet<&'d str>,
    regions: collections::HashSet<&'d str>,
    halls: collections::HashSet<&'d str>,
    servers: collections::HashSet<&'d str>,
}

impl<'d> NameIndex<'d> {
    fn from_declaration(declaration: &'d SteeringDeclaration) -> Self {
        Self {
            services: declaration
                .services
                .iter()
                .map(|entry| entry.name.as_str())
                .collect(),
            regions: declaration
                .regions
                .iter()
                .map(|entry| entry.name.as_str())
                .collect(),
            halls: declaration
                .halls
                .iter()
                .map(|entry| entry.name.as_str())
                .collect(),
            servers: declaration
                .servers
                .iter()
                .map(|entry| entry.name.as_str())
                .collect(),
        }
    }
}

fn check_references(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    let index = NameIndex::from_declaration(declaration);
    let mut require = |known: &collections::HashSet<&str>, kind: &str, name: &str, span| {
        if !known.contains(name) {
            problems.push(
                ResultCode::NameDangling,
                format!("{kind} `{name}` is not declared"),
                span,
            );
        }
    };
    for hall in &declaration.halls {
        require(&index.regions, "region", &hall.region, hall.span);
    }
    for link in &declaration.links {
        require(&index.regions, "region", &link.from, link.span);
        require(&index.regions, "region", &link.to, link.span);
    }
    for server in &declaration.servers {
        require(&index.services, "service", &server.service, server.span);
        require(&index.halls, "hall", &server.hall, server.span);
    }
    for block in &declaration.blocks {
        require(&index.regions, "region", &block.region, block.span);
    }
    for shift in &declaration.shifts {
        require(&index.services, "service", &shift.service, shift.span);
        require(&index.regions, "region", &shift.from, shift.span);
        require(&index.regions, "region", &shift.to, shift.span);
    }
    for drain in &declaration.drains {
        match drain.kind {
            DrainKind::Server => require(&index.servers, "server", &drain.name, drain.span),
            DrainKind::Hall => require(&index.halls, "hall", &drain.name, drain.span),
            DrainKind::Host => {}
        }
    }
}

fn check_services(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    for service in &declaration.services {
        if service.classes.is_empty() {
            let message = format!("service `{}` needs at least one class", service.name);
            problems.push(ResultCode::FieldMissing, message, service.span);
        }
        check_unique(
            "class",
            service
                .classes
                .iter()
                .map(|class| (class.name.as_str(), service.span)),
            problems,
        );
        if service.classes.iter().any(|class| class.deadline_ms == 0) {
            let message = format!("a class of service `{}` has a deadline of 0", service.name);
            problems.push(ResultCode::ValueOutOfRange, message, service.span);
        }
        let shares = [service.retry_budget, service.shift.share_per_minute];
        if shares.iter().any(|share| !(0.0..=1.0).contains(share)) {
            let message = format!("a share of service `{}` is outside 0..=1", service.name);
            problems.push(ResultCode::ValueOutOfRange, message, service.span);
        }
    }
    for shift in &declaration.shifts {
        if !(0.0..=1.0).contains(&shift.share) || shift.from == shift.to {
            let message = "a shift needs a share in 0..=1 and two different regions";
            problems.push(ResultCode::ValueOutOfRange, message, shift.span);
        }
    }
}

/// Checks the ranges of numbers. Declarations from files are checked when they are read, but those
/// from a call or from the platform are not.
fn check_ranges(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    let mut require = |is_in_range: bool, what: &str, name: &str, span| {
        if !is_in_range {
            let message = format!("{what} of `{name}` is out of range");
            problems.push(ResultCode::ValueOutOfRange, message, span);
        }
    };
    for server in &declaration.servers {
        let is_in_range = (1..=MAX_SLOTS).contains(&server.slots);
        require(is_in_range, "`slots`", &server.name, server.span);
    }
    for hall in &declaration.halls {
        let is_in_range = (1..=MAX_CONCURRENT).contains(&hall.capacity);
        require(is_in_range, "`capacity`", &hall.name, hall.span);
    }
    for service in &declaration.services {
        let is_in_range = service.shift.concurrent <= MAX_CONCURRENT;
        require(
            is_in_range,
            "`shift.concurrent`",
            &service.name,
            service.span,
        );
        let mut weights = service.classes.iter().map(|class| class.weight);
        let is_in_range = weights.all(|weight| (1..=MAX_WEIGHT).contains(&weight));
        require(
            is_in_range,
            "`weight` of a class",
            &service.name,
            service.span,
        );
    }
}

fn check_hall_capacity(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    for hall in &declaration.halls {
        let servers = declaration
            .servers
            .iter()
            .filter(|server| server.hall == hall.name);
        let slots: u64 = servers.map(|server| u64::from(server.slots)).sum();
        if slots > u64::from(hall.capacity) {
            let message = format!(
                "the servers of hall `{}` have {slots} slots, but its capacity is {}",
                hall.name, hall.capacity
            );
            problems.push(ResultCode::CapacityExceeded, message, hall.span);
        }
    }
}

fn check_link_capacity(declaration: &SteeringDeclaration, problems: &mut ProblemList) {
    let moved: u64 = declaration
        .services
        .iter()
        .map(|service| u64::from(service.shift.concurrent))
        .sum();
    let mut seen = collections::HashSet::new();
    for link in &declaration.links {
        let endpoints = if link.from < link.to {
            (&link.from, &link.to)
        } else {
            (&link.to, &link.from)
        };
        if !seen.insert(endpoints) || link.from == link.to {
            let message = format!(
                "the link {} - {} is declared twice or connects a region to itself",
                link.from, link.to
            );
            problems.push(ResultCode::NameDuplicate, message, link.span);
        }
        if moved > u64::from(link.concurrent) {
            let message = format!(
                "the shift caps of all services add up to {moved}, but the link {} - {} carries {}",
                link.from, link.to, link.concurrent
            );
            problems.push(ResultCode::CapacityExceeded, message, link.span);
        }
    }
}

fn check_blocks(blocks: &[BlockEntry], problems: &mut ProblemList) {
    let total: u64 = blocks.iter().map(BlockEntry::block_count).sum();
    if total > MAX_BLOCKS {
        let message = format!("{total} client blocks, but at most {MAX_BLOCKS} are allowed");
        problems.push(
            ResultCode::CapacityExceeded,
            message,
            blocks.first().and_then(|block| block.span),
        );
    }
    for block in blocks {
        let range = block.prefix.prefix_len()..=block.prefix.max_prefix_len();
        if !range.contains(&block.split) {
            let message = format!("`split` of {} must be in {range:?}", block.prefix);
            problems.push(ResultCode::ValueOutOfRange, message, block.span);
        }
    }
    let mut sorted: Vec<&BlockEntry> = blocks.iter().collect();
    sorted.sort_by_key(|block| (block.prefix.network(), block.prefix.prefix_len()));
    for pair in sorted.windows(2) {
        if let [left, right] = pair
            && left.prefix.contains(&right.prefix)
        {
            let message = format!("block {} overlaps {}", right.prefix, left.prefix);
            problems.push(ResultCode::BlockOverlap, message, right.span);
        }
    }
}
