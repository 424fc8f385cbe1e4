//! Draws measured points as line charts.

use plotters::prelude::*;
use std::path::Path;

/// A line of a chart.
pub struct Series {
    /// The label in the legend.
    pub name: String,
    /// The points in order of x, as x and y.
    pub points: Vec<(f64, f64)>,
}

/// Draws series into an SVG file, with a logarithmic x axis. Errors are printed and otherwise
/// ignored, since the measured tables do not depend on the chart.
pub fn draw(path: &Path, title: &str, x: &str, y: &str, all: &[Series]) {
    if let Err(error) = try_draw(path, title, x, y, all) {
        eprintln!("cannot draw {}: {error}", path.display());
    }
}

fn try_draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    all: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || all.iter().flat_map(|series| series.points.iter());
    let low = points().map(|(x, _)| *x).fold(f64::INFINITY, f64::min);
    let high = points().map(|(x, _)| *x).fold(0.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((low..high).log_scale(), 0.0..top)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (index, series) in all.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        chart.draw_series(line)?.label(series.name.as_str()).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
        });
        let dots = series.points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots)?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
