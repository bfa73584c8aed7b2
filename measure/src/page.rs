//! A report as an HTML page with a plot.

use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    element::PathElement,
    prelude::{IntoDrawingArea, SVGBackend},
    series::LineSeries,
    style::{BLACK, BLUE, Color, GREEN, MAGENTA, RED, RGBColor, WHITE},
};

use crate::report::Curve;

const PLOT_SIZE: (u32, u32) = (800, 450);
const COLOURS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];

/// Returns an HTML page with the text of a report and a plot of its curves.
pub fn html(name: &str, text: &str, curves: &[Curve]) -> String {
    let plot = if curves.is_empty() { String::new() } else { plot(curves).unwrap_or_default() };
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>measure {name}</title></head>\n<body><h1>measure {name}</h1>\n\
         <pre>{}</pre>\n{plot}\n</body></html>\n",
        escape_html(text)
    )
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn plot(curves: &[Curve]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let points = || curves.iter().flat_map(|curve| &curve.points);
        let x_max = points().map(|point| point.0).fold(0.0, f64::max);
        let y_max = points().map(|point| point.1).fold(0.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(
                0.0..x_max.max(f64::MIN_POSITIVE),
                0.0..y_max.max(f64::MIN_POSITIVE),
            )?;
        chart.configure_mesh().x_desc("requests, %").y_desc("latency, ms").draw()?;
        for (curve, colour) in curves.iter().zip(COLOURS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(curve.points.iter().copied(), colour))?
                .label(curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], *colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
