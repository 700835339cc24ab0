//! Chart of each customer's fullest window relative to what its bound allows.

use std::path;

use super::report::LimitReport;
use crate::error::Result;
use crate::line_chart::{ChartCurve, LineChart};

/// Draws the reports of several strategies into an SVG file.
///
/// # Errors
///
/// `FileUnwritable` when the file cannot be written.
pub fn write_svg(reports: &[LimitReport], file: &path::Path) -> Result<()> {
    let chart = LineChart {
        title: "fullest window as a share of the bound",
        x_name: "customers, the largest first",
        y_name: "admitted / allowed",
        curves: reports.iter().map(curve).collect(),
    };
    chart.write_svg(file)
}

fn curve(report: &LimitReport) -> ChartCurve<'_> {
    let counts = report.customers.iter().enumerate();
    ChartCurve {
        name: report.strategy,
        points: counts
            .map(|(number, count)| (number as f64, count.fullest))
            .collect(),
    }
}
