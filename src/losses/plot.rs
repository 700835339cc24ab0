//! Draws losses over time as a chart.

use std::path;

use super::cause::LateCause;
use super::report::{LossCounts, LossReport};
use crate::error::Result;
use crate::line_chart::{ChartCurve, LineChart};

/// Writes an SVG chart of the late and failed requests in each time window.
///
/// # Errors
/// `FileUnwritable` when the file cannot be written.
pub fn write_svg(report: &LossReport, file: &path::Path) -> Result<()> {
    let chart = LineChart {
        title: "late by cause, and failed, in two seconds",
        x_name: "seconds",
        y_name: "requests",
        curves: curves(report),
    };
    chart.write_svg(file)
}

fn curves(report: &LossReport) -> Vec<ChartCurve<'static>> {
    let late = LateCause::ALL.map(|cause| {
        curve(report, cause.as_str(), |counts| {
            counts.late.get(&cause).copied().unwrap_or(0)
        })
    });
    let failed = curve(report, "failed", |counts| counts.ended.values().sum());
    late.into_iter().chain([failed]).collect()
}

fn curve(
    report: &LossReport,
    name: &'static str,
    count_of: impl Fn(&LossCounts) -> u64,
) -> ChartCurve<'static> {
    let first = report.windows.keys().next().copied().unwrap_or(0);
    let point = |(start, counts): (&u64, &LossCounts)| {
        ((start - first) as f64 / 1_000.0, count_of(counts) as f64)
    };
    ChartCurve {
        name,
        points: report.windows.iter().map(point).collect(),
    }
}
