//! Parses declaration files into one [`SteeringDeclaration`].

use std::{fs, path, time};

use super::check::{MAX_CONCURRENT, MAX_SLOTS, MAX_WEIGHT};
use super::{
    BlockEntry, ClassEntry, DEFAULT_CLAIM_WINDOW_MS, DEFAULT_RETRY_BUDGET, DrainEntry, DrainKind,
    DrainRule, HallEntry, LinkEntry, RegionEntry, ServerEntry, ServiceEntry, ShiftEntry, ShiftRule,
    SteeringDeclaration, SteeringPriority, check_declaration,
};
use crate::error::{self, Error};
use crate::object_reader;
use crate::result_code::ResultCode;
use crate::source;

const FILE_EXTENSION: &str = "jsonc";
const DEFAULT_DRAIN_ALARM: time::Duration = time::Duration::from_mins(10);

/// Reads and validates all `*.jsonc` files of a directory, in the order of their names.
///
/// # Errors
/// `FileUnreadable`, or `Rejected` with every fault of all files.
pub fn from_dir(dir: &path::Path) -> error::Result<SteeringDeclaration> {
    let unreadable = |fault: std::io::Error| {
        Error::with_code(
            ResultCode::FileUnreadable,
            format!("{}: {fault}", dir.display()),
        )
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).map_err(unreadable)? {
        let file = entry.map_err(unreadable)?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == FILE_EXTENSION)
        {
            files.push(file);
        }
    }
    if files.is_empty() {
        let detail = format!("{}: no .{FILE_EXTENSION} file", dir.display());
        return Err(Error::with_code(ResultCode::FileUnreadable, detail));
    }
    files.sort();
    let sources: error::Result<Vec<_>> = files
        .iter()
        .map(|file| source::SourceText::from_file(file))
        .collect();
    from_sources(&sources?)
}

/// Reads and validates texts that together form one declaration.
///
/// # Errors
/// `Rejected` with every fault of all texts.
///
/// ```
/// use ledgespool::{declaration, source};
/// let text = r#"{ "regions": [{ "name": "perth" }] } // one region"#;
/// let source = source::SourceText { name: "a.jsonc".into(), text: text.into() };
/// assert_eq!(declaration::from_sources(&[source]).unwrap().regions[0].name, "perth");
/// ```
pub fn from_sources(sources: &[source::SourceText]) -> error::Result<SteeringDeclaration> {
    let mut problems = source::ProblemList::default();
    let mut whole = SteeringDeclaration::default();
    for (file, source) in sources.iter().enumerate() {
        if let Some(part) = object_reader::read_object(file, source, &mut problems, read_part) {
            merge(&mut whole, part);
        }
    }
    check_declaration(&whole, &mut problems);
    problems.into_result(sources)?;
    Ok(whole)
}

fn merge(whole: &mut SteeringDeclaration, part: SteeringDeclaration) {
    whole.services.extend(part.services);
    whole.regions.extend(part.regions);
    whole.halls.extend(part.halls);
    whole.links.extend(part.links);
    whole.servers.extend(part.servers);
    whole.blocks.extend(part.blocks);
    whole.drains.extend(part.drains);
    whole.shifts.extend(part.shifts);
}

fn read_part(reader: &mut object_reader::ObjectReader<'_, '_>) -> SteeringDeclaration {
    SteeringDeclaration {
        services: reader.list("services", read_service),
        regions: reader.list("regions", read_region),
        halls: reader.list("halls", read_hall),
        links: reader.list("links", read_link),
        servers: reader.list("servers", read_server),
        blocks: reader
            .list("blocks", read_block)
            .into_iter()
            .flatten()
            .collect(),
        drains: reader.list("drains", read_drain),
        shifts: reader.list("shifts", read_shift),
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn read_service(reader: &mut object_reader::ObjectReader<'_, '_>) -> ServiceEntry {
    let shift = reader.object("shift", read_shift_rule);
    let drain = reader.object("drain", read_drain_rule);
    ServiceEntry {
        name: reader.string("name"),
        classes: reader.list("classes", read_class),
        retry_budget: reader
            .optional_share("retry_budget")
            .unwrap_or(DEFAULT_RETRY_BUDGET),
        claim_window_ms: reader
            .optional_duration("claim_window")
            .map_or(DEFAULT_CLAIM_WINDOW_MS, millis),
        priority: read_priority(reader),
        shift: shift.unwrap_or(ShiftRule {
            concurrent: 0,
            share_per_minute: 0.0,
        }),
        drain: drain.unwrap_or(DrainRule {
            alarm_ms: millis(DEFAULT_DRAIN_ALARM),
        }),
        span: Some(reader.span()),
    }
}

fn read_priority(reader: &mut object_reader::ObjectReader<'_, '_>) -> SteeringPriority {
    match reader.optional_string("priority").as_deref() {
        None | Some("latency") => SteeringPriority::Latency,
        Some("headroom") => SteeringPriority::Headroom,
        Some(other) => {
            let message = format!("`priority` is {other:?}, not \"latency\" or \"headroom\"");
            reader.fault(ResultCode::ValueOutOfRange, message);
            SteeringPriority::Latency
        }
    }
}

fn read_class(reader: &mut object_reader::ObjectReader<'_, '_>) -> ClassEntry {
    ClassEntry {
        name: reader.string("name"),
        weight: reader.integer("weight", 1..=MAX_WEIGHT),
        deadline_ms: millis(reader.duration("deadline")),
        repeatable: reader.boolean("repeatable"),
    }
}

fn read_shift_rule(reader: &mut object_reader::ObjectReader<'_, '_>) -> ShiftRule {
    ShiftRule {
        concurrent: reader.integer("concurrent", 0..=MAX_CONCURRENT),
        share_per_minute: reader.optional_share("share_per_minute").unwrap_or(0.0),
    }
}

fn read_drain_rule(reader: &mut object_reader::ObjectReader<'_, '_>) -> DrainRule {
    DrainRule {
        alarm_ms: millis(reader.duration("alarm")),
    }
}

fn read_region(reader: &mut object_reader::ObjectReader<'_, '_>) -> RegionEntry {
    RegionEntry {
        name: reader.string("name"),
        span: Some(reader.span()),
    }
}

fn read_hall(reader: &mut object_reader::ObjectReader<'_, '_>) -> HallEntry {
    HallEntry {
        name: reader.string("name"),
        region: reader.string("region"),
        capacity: reader.integer("capacity", 1..=MAX_CONCURRENT),
        span: Some(reader.span()),
    }
}

fn read_link(reader: &mut object_reader::ObjectReader<'_, '_>) -> LinkEntry {
    LinkEntry {
        from: reader.string("from"),
        to: reader.string("to"),
        latency_ms: millis(reader.duration("latency")),
        concurrent: reader.integer("concurrent", 0..=MAX_CONCURRENT),
        span: Some(reader.span()),
    }
}

fn read_server(reader: &mut object_reader::ObjectReader<'_, '_>) -> ServerEntry {
    ServerEntry {
        name: reader.string("name"),
        service: reader.string("service"),
        hall: reader.string("hall"),
        address: reader.address("address"),
        slots: reader.integer("slots", 1..=MAX_SLOTS),
        connections: reader.integer("connections", 1..=100_000),
        span: Some(reader.span()),
    }
}

fn read_block(reader: &mut object_reader::ObjectReader<'_, '_>) -> Option<BlockEntry> {
    let prefix: Option<ipnet::IpNet> = reader.parsed("prefix", "a CIDR prefix");
    let split = reader.optional_integer("split", 0..=128);
    let region = reader.string("region");
    let prefix = prefix?.trunc();
    let split = split
        .and_then(|bits| u8::try_from(bits).ok())
        .unwrap_or(prefix.prefix_len());
    Some(BlockEntry {
        prefix,
        split,
        region,
        span: Some(reader.span()),
    })
}

fn read_drain(reader: &mut object_reader::ObjectReader<'_, '_>) -> DrainEntry {
    let kind = match reader.string("kind").as_str() {
        "server" => DrainKind::Server,
        "hall" => DrainKind::Hall,
        "host" => DrainKind::Host,
        other => {
            let message = format!("`kind` is {other:?}, not \"server\", \"hall\" or \"host\"");
            reader.fault(ResultCode::ValueOutOfRange, message);
            DrainKind::Server
        }
    };
    DrainEntry {
        kind,
        name: reader.string("name"),
        span: Some(reader.span()),
    }
}

fn read_shift(reader: &mut object_reader::ObjectReader<'_, '_>) -> ShiftEntry {
    ShiftEntry {
        service: reader.string("service"),
        from: reader.string("from"),
        to: reader.string("to"),
        share: reader.optional_share("share").unwrap_or(1.0),
        span: Some(reader.span()),
    }
}
