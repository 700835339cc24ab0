//! Losses over time as a picture.

use std::path;

use plotters::prelude::*;

use super::cause::LateCause;
use super::report::{LossCounts, LossReport};
use crate::error::{Error, Result};
use crate::result_code::ResultCode;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (1_000, 420);
/// The colours of the lines, one for each cause and one for requests without an answer.
const COLOURS: [RGBColor; 7] = [
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
    RGBColor(0, 114, 178),
    RGBColor(204, 121, 167),
    RGBColor(120, 120, 120),
    BLACK,
];

/// One line of the picture: its name, and its count in each window.
#[derive(Debug)]
struct LossCurve {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Draws late and failed requests of each window into an SVG file.
///
/// # Errors
/// `FileUnwritable` when the file cannot be written.
pub fn write_svg(report: &LossReport, file: &path::Path) -> Result<()> {
    draw(report, file).map_err(|fault| {
        let detail = format!("{}: {fault}", file.display());
        Error::with_code(ResultCode::FileUnwritable, detail)
    })
}

fn draw(
    report: &LossReport,
    file: &path::Path,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let curves = curves(report);
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let most_x = points().map(|point| point.0).fold(1.0, f64::max);
    let most_y = points().map(|point| point.1).fold(1.0, f64::max);
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "late by cause, and failed, in two seconds",
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests")
        .draw()?;
    for (curve, colour) in curves.into_iter().zip(COLOURS) {
        let line = LineSeries::new(curve.points, colour.stroke_width(2));
        let series = chart.draw_series(line)?;
        series
            .label(curve.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn curves(report: &LossReport) -> Vec<LossCurve> {
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
) -> LossCurve {
    let first = report.windows.keys().next().copied().unwrap_or(0);
    let point = |(start, counts): (&u64, &LossCounts)| {
        ((start - first) as f64 / 1_000.0, count_of(counts) as f64)
    };
    LossCurve {
        name,
        points: report.windows.iter().map(point).collect(),
    }
}
