//! Line charts as SVG files, for commands that plot measurements.

use std::path;

use plotters::prelude::*;

use crate::error::{Error, Result};
use crate::result_code::ResultCode;

/// Width and height, in pixels.
const SIZE_PX: (u32, u32) = (1_000, 420);
/// The colours of the curves; curves beyond the last colour are black.
const COLOURS: [RGBColor; 7] = [
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
    RGBColor(0, 114, 178),
    RGBColor(204, 121, 167),
    RGBColor(120, 120, 120),
    BLACK,
];
/// Space above the largest value on the vertical axis, as a fraction of that value.
const TOP_MARGIN: f64 = 0.05;

/// A line chart.
#[derive(Debug, Clone, PartialEq)]
pub struct LineChart<'a> {
    /// The caption.
    pub title: &'a str,
    /// The label of the horizontal axis.
    pub x_name: &'a str,
    /// The label of the vertical axis.
    pub y_name: &'a str,
    /// The curves.
    pub curves: Vec<ChartCurve<'a>>,
}

/// One curve of a chart.
#[derive(Debug, Clone, PartialEq)]
pub struct ChartCurve<'a> {
    /// The name in the legend.
    pub name: &'a str,
    /// The points, in the order of the horizontal axis.
    pub points: Vec<(f64, f64)>,
}

impl LineChart<'_> {
    /// Draws the chart into an SVG file. Both axes start at 0 and reach at least 1.
    ///
    /// # Errors
    /// `FileUnwritable` when the file cannot be written.
    ///
    /// ```
    /// use ledgespool::line_chart::LineChart;
    /// let chart = LineChart { title: "none", x_name: "x", y_name: "y", curves: Vec::new() };
    /// assert!(chart.write_svg(std::path::Path::new("/no/such/folder/chart.svg")).is_err());
    /// ```
    pub fn write_svg(&self, file: &path::Path) -> Result<()> {
        self.draw(file).map_err(|fault| {
            let detail = format!("{}: {fault}", file.display());
            Error::with_code(ResultCode::FileUnwritable, detail)
        })
    }

    fn draw(&self, file: &path::Path) -> std::result::Result<(), Box<dyn std::error::Error>> {
        let points = || self.curves.iter().flat_map(|curve| &curve.points);
        let max_x = points().map(|point| point.0).fold(1.0, f64::max);
        let max_y = points().map(|point| point.1).fold(1.0, f64::max);
        let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y * (1.0 + TOP_MARGIN))?;
        chart
            .configure_mesh()
            .x_desc(self.x_name)
            .y_desc(self.y_name)
            .draw()?;
        let colours = COLOURS.iter().chain(std::iter::repeat(&BLACK));
        for (curve, colour) in self.curves.iter().zip(colours) {
            let line = LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2));
            let series = chart.draw_series(line)?;
            let legend_key =
                |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled());
            series.label(curve.name).legend(legend_key);
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }
}
