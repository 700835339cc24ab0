//! Formats the output of the command line, as text or JSON.

use ledgespool::control_message::HostStatus;
use ledgespool::error::Error;
use ledgespool::member::HostState;
use ledgespool::timeline::EventRecord;

/// Prints an error with its advice, or each problem in the input files with its line.
pub fn print_error(fault: &Error) {
    match fault {
        Error::Rejected(input) => {
            for report in input.reports() {
                eprintln!("{report:?}");
            }
        }
        other => {
            eprintln!("ledgespool: {other}");
            eprintln!("  {}", other.code().advice());
        }
    }
}

/// Prints a value as JSON.
pub fn print_json<T: serde::Serialize>(value: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

/// One host in the output of `status`; `status` is `None` if it could not be reached.
#[derive(Debug, serde::Serialize)]
pub struct HostLine {
    pub name: String,
    pub hall: String,
    pub state: HostState,
    pub status: Option<HostStatus>,
}

/// Prints a table of hosts and one of places.
pub fn print_status(lines: &[HostLine]) {
    println!(
        "{:<14}{:<14}{:<10}{:>11}{:>10}{:>8}{:>10}{:>10}{:>10}  notes",
        "host",
        "hall",
        "state",
        "generation",
        "in force",
        "plan",
        "in flight",
        "draining",
        "platform"
    );
    for line in lines {
        print_host(line);
    }
    print_places(lines);
}

fn print_host(line: &HostLine) {
    let state = format!("{:?}", line.state).to_lowercase();
    let Some(status) = &line.status else {
        println!(
            "{:<14}{:<14}{:<10}{:>11}",
            line.name, line.hall, state, "unreachable"
        );
        return;
    };
    let mut notes = Vec::new();
    if status
        .planner
        .as_ref()
        .is_some_and(|planner| planner.name == line.name)
    {
        notes.push("planner".to_owned());
    }
    if status.cut_off {
        notes.push("cut off".to_owned());
    }
    if let Some(millis) = status.last_drain_ms {
        notes.push(format!("drained in {millis} ms"));
    }
    if !status.leaving_servers.is_empty() {
        notes.push(format!(
            "leaving servers: {}",
            status.leaving_servers.join(" ")
        ));
    }
    println!(
        "{:<14}{:<14}{:<10}{:>11}{:>10}{:>8}{:>10}{:>10}{:>10}  {}",
        line.name,
        line.hall,
        state,
        status.generation,
        status.in_force,
        status.plan_sequence,
        status.in_flight,
        status.draining,
        if status.platform_ok { "ok" } else { "lost" },
        notes.join(", ")
    );
}

fn print_places(lines: &[HostLine]) {
    let mut places: std::collections::BTreeMap<&str, (u32, u32)> =
        std::collections::BTreeMap::new();
    for place in lines
        .iter()
        .filter_map(|line| line.status.as_ref())
        .flat_map(|status| &status.places)
    {
        let entry = places.entry(&place.place).or_default();
        entry.0 += place.grant;
        entry.1 += place.in_use;
    }
    if places.is_empty() {
        return;
    }
    println!(
        "\n{:<44}{:>9}{:>9}{:>10}",
        "place", "granted", "in use", "headroom"
    );
    for (place, (granted, in_use)) in places {
        println!(
            "{place:<44}{granted:>9}{in_use:>9}{:>10}",
            granted.saturating_sub(in_use)
        );
    }
}

/// Prints events, one per line.
pub fn print_timeline(events: &[EventRecord]) {
    for event in events {
        println!(
            "{:>16} {:<14} #{:<6} EV{} {} {}",
            event.stamp.unix_millis(),
            event.host,
            event.number,
            event.event,
            event.text(),
            event.detail
        );
    }
}
