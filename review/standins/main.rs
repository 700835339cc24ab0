//! The cases of the review that are scripts: `case NAME RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod backend;
mod client;
mod deployment;
mod http;
mod json;
mod record;
mod stale_configuration;
mod stale_refusal;
mod stopped_download;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// A case that takes longer could not run. Its hosts end with it.
const LONGEST: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, file] = words.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(Path::new(file)) {
        Ok(record) => record,
        Err(fault) => {
            eprintln!("{file}: {fault}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    record.note(&format!("case {name}, trouble {}", u8::from(trouble)));
    let result = match name.as_str() {
        "stale-refusal" => stale_refusal::run(&record, trouble),
        "stale-configuration" => stale_configuration::run(&record, trouble),
        "stopped-download" => stopped_download::run(&record, trouble),
        _ => Err(format!("there is no case {name}")),
    };
    match result {
        Ok(true) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(fault) => {
            record.note(&format!("the case could not run: {fault}"));
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}
