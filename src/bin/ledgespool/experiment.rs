//! Commands that play decisions over many hosts.

use ledgespool::error;
use ledgespool::limit_experiment::report::{LimitReport, ReportTable};
use ledgespool::limit_experiment::strategies::{CountsStrategy, FixedStrategy, PooledStrategy};
use ledgespool::limit_experiment::{plot, scenario, world};

use crate::app::ExperimentCommand;
use crate::output;

/// Plays what the command names.
pub fn run(command: &ExperimentCommand) -> error::Result<()> {
    let ExperimentCommand::Limits {
        json,
        seed,
        plot: picture,
        file,
    } = command;
    let scenario = scenario::from_file(file)?;
    let reports: [LimitReport; 3] = [
        world::simulate::<FixedStrategy>(&scenario, *seed),
        world::simulate::<CountsStrategy>(&scenario, *seed),
        world::simulate::<PooledStrategy>(&scenario, *seed),
    ];
    if *json {
        output::print_json(&reports);
    } else {
        print!("{}", ReportTable(&reports));
    }
    picture
        .as_ref()
        .map_or(Ok(()), |file| plot::write_svg(&reports, file))
}
