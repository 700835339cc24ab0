//! Commands that read the decision logs of entry hosts.

use std::io::Read as _;
use std::{fs, path};

use ledgespool::error::{self, Error};
use ledgespool::losses::plot;
use ledgespool::losses::report::LossReport;
use ledgespool::request_trace::RequestTrace;
use ledgespool::result_code::ResultCode;

use crate::output;

/// Prints the trace of one request.
pub fn explain_request(id: &str, files: &[path::PathBuf]) -> error::Result<()> {
    let logs = read_logs(files)?;
    println!("{}", RequestTrace::from_lines(id, lines_of(&logs)));
    Ok(())
}

/// Prints the loss report, and draws a chart if a file is given.
pub fn show_losses(
    files: &[path::PathBuf],
    json: bool,
    plot_file: Option<&path::Path>,
) -> error::Result<()> {
    let logs = read_logs(files)?;
    let report = LossReport::from_lines(lines_of(&logs));
    if json {
        output::print_json(&report);
    } else {
        println!("{report}");
    }
    plot_file.map_or(Ok(()), |file| plot::write_svg(&report, file))
}

fn lines_of(logs: &str) -> impl Iterator<Item = &str> {
    logs.lines().filter(|line| !line.is_empty())
}

fn read_logs(files: &[path::PathBuf]) -> error::Result<String> {
    let mut logs = String::new();
    if files.is_empty() {
        std::io::stdin().read_to_string(&mut logs)?;
    }
    for file in files {
        let bytes = fs::read(file).map_err(|fault| {
            let detail = format!("{}: {fault}", file.display());
            Error::with_code(ResultCode::FileUnreadable, detail)
        })?;
        logs.push_str(&String::from_utf8_lossy(&bytes));
        logs.push('\n');
    }
    Ok(logs)
}
