//! Stand-ins and scripts of the second independent review. Usage: `standins CASE FOLDER TROUBLE`; the
//! last word is 0 to leave out the disruption, else 1.

mod backend;
mod case_copies;
mod case_handover;
mod case_late_beat;
mod case_takeover;
mod client;
mod deployment;
mod http;
mod json;
mod process;
mod record;
mod store;

use std::path::Path;
use std::time::Duration;

use crate::case_late_beat::Cause;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// How a case is run.
pub struct Run<'a> {
    pub record: record::Record,
    /// For settings and logs; removed at the end.
    pub temporary: &'a Path,
    /// Whether the disruption is brought about.
    pub trouble: bool,
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if let ["backend", ip, id, zone, slots] = words[..] {
        let ip = ip.parse().expect("an address");
        return backend::run_process(ip, (id, zone), slots.parse().expect("a number"));
    }
    let [case, folder, trouble] = words[..] else {
        eprintln!("usage: standins CASE FOLDER TROUBLE");
        std::process::exit(2);
    };
    process::start_watchdog(Duration::from_secs(110));
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let run = Run {
        record: record::Record::create(Path::new(folder)),
        temporary: &temporary,
        trouble: trouble != "0",
    };
    run.record.line(if run.trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let result = match case {
        "handover" => case_handover::run(&run),
        "takeover" => case_takeover::run(&run),
        "copies" => case_copies::run(&run),
        "late-beat" => case_late_beat::run(&run, Cause::LateWrite),
        "partial-entry" => case_late_beat::run(&run, Cause::OtherWriter),
        other => Err(format!("there is no case {other}")),
    };
    let _removed = std::fs::remove_dir_all(&temporary);
    let (code, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(how)) => (1, format!("the rule was broken: {how}")),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    run.record.line(&text);
    println!("{case}: {text}");
    std::process::exit(code);
}
