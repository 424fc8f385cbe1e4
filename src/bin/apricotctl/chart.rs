//! Draws request rates over time as an SVG chart.

use apricotrun::transport::error::{CliError, CliResult};
use plotters::prelude::*;
use std::path::Path;

/// The width and height of a chart, in pixels.
const SIZE: (u32, u32) = (800, 400);

/// One labelled line of a chart.
pub struct ChartLine {
    /// The label in the chart's legend.
    pub name: &'static str,
    /// Pairs of seconds since the start of the run and requests per second.
    pub points: Vec<(f64, f64)>,
}

/// Draws request rates over time into an SVG file.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn draw(path: &Path, lines: &[ChartLine]) -> CliResult<()> {
    let failed = |error| CliError::Remote(format!("{}: {error}", path.display()));
    try_draw(path, lines).map_err(|error| failed(error.to_string()))
}

fn try_draw(path: &Path, lines: &[ChartLine]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let last = points().map(|(second, _)| *second).fold(1.0, f64::max);
    let top = points().map(|(_, rate)| *rate).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..top * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first request")
        .y_desc("requests per second")
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        chart.draw_series(series)?.label(line.name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
        });
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
