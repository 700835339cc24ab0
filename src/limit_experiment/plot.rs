//! Each customer's fullest window against what its bound allows, as a picture.

use std::path;

use plotters::prelude::*;

use super::report::LimitReport;
use crate::error::{Error, Result};
use crate::result_code::ResultCode;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (1_000, 420);
/// The colours of the ways.
const COLOURS: [RGBColor; 3] = [
    RGBColor(230, 159, 0),
    RGBColor(213, 94, 0),
    RGBColor(0, 114, 178),
];

/// Draws the reports of several ways into an SVG file.
///
/// # Errors
/// `FileUnwritable` when the file cannot be written.
pub fn write_svg(reports: &[LimitReport], file: &path::Path) -> Result<()> {
    draw(reports, file).map_err(|fault| {
        let detail = format!("{}: {fault}", file.display());
        Error::with_code(ResultCode::FileUnwritable, detail)
    })
}

fn draw(
    reports: &[LimitReport],
    file: &path::Path,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let most_x = reports.iter().map(|report| report.customers.len()).max();
    let most_x = most_x.unwrap_or(1).max(1) as f64;
    let most_y = reports
        .iter()
        .map(|report| report.fullest)
        .fold(1.0, f64::max);
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("fullest window as a share of the bound", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("customers, the largest first")
        .y_desc("admitted / allowed")
        .draw()?;
    for (report, colour) in reports.iter().zip(COLOURS) {
        let counts = report.customers.iter().enumerate();
        let points = counts.map(|(number, count)| (number as f64, count.fullest));
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        series
            .label(report.way)
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
