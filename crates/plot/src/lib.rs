//! Plots of lines as SVG texts, for the pages of rehearsals and plans. No I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, PathElement, SVGBackend, WHITE};

pub use plotters::style::{RGBColor, BLACK, BLUE, CYAN, GREEN, MAGENTA, RED};

/// Width and height of a plot, pixels.
const SIZE: (u32, u32) = (980, 260);

/// A line of a plot: its name, colour and points.
pub type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// A text that stands in a page as it is.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn text(error: impl std::fmt::Display) -> String {
    format!("a plot: {error}")
}

/// Lines over so wide a span, with marks at some places of it.
///
/// # Errors
/// The plot can't be drawn; the message says why.
pub fn draw(title: &str, wide: f64, marks: &[f64], lines: &[Line]) -> Result<String, String> {
    let high = lines.iter().flat_map(|(.., points)| points).map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let mut svg = String::new();
    let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(text)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..wide, 0.0..high)
        .map_err(text)?;
    chart.configure_mesh().light_line_style(WHITE).draw().map_err(text)?;
    for x in marks {
        let mark = LineSeries::new([(*x, 0.0), (*x, high)], RGBColor(220, 180, 60));
        chart.draw_series(mark).map_err(text)?;
    }
    for (name, colour, points) in lines {
        let colour = *colour;
        let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), colour)).map_err(text)?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw().map_err(text)?;
    root.present().map_err(text)?;
    drop((chart, root));
    Ok(svg)
}
