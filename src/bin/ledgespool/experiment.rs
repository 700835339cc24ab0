//! Runs simulations of decisions over many hosts.

use ledgespool::error;
use ledgespool::limit_experiment::report::{LimitReport, ReportTable};
use ledgespool::limit_experiment::strategies::{CountsStrategy, FixedStrategy, PooledStrategy};
use ledgespool::limit_experiment::{plot, scenario, world};

use crate::app::ExperimentCommand;
use crate::output;

/// Runs the experiment of the command.
pub fn run(command: &ExperimentCommand) -> error::Result<()> {
    let ExperimentCommand::Limits {
        json,
        seed,
        plot: plot_file,
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
    plot_file
        .as_ref()
        .map_or(Ok(()), |file| plot::write_svg(&reports, file))
}
