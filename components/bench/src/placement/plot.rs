//! Plots of the figures, a bar for each policy.

use super::figures::{Figures, Report};
use miette::{IntoDiagnostic, miette};
use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, Rectangle, SVGBackend,
    SegmentValue, WHITE,
};
use std::path::Path;

const SIZE: (u32, u32) = (640, 360);

type Figure = (&'static str, fn(&Figures) -> f64);

const FIGURES: [Figure; 6] = [
    ("stall_s_per_1k_tokens", |f| f.stall_s_per_1k_tokens),
    ("preemptions_per_1k", |f| f.preemptions_per_1k),
    ("token_gap_p99_ms", |f| f.token_gap_p99_ms),
    ("first_token_p95_ms", |f| f.first_token_p95_ms),
    ("completed_per_s", |f| f.completed_per_s),
    ("fairness_jain", |f| f.fairness_jain),
];

/// Writes an SVG file for each figure.
pub fn write(folder: &Path, report: &Report) -> miette::Result<()> {
    std::fs::create_dir_all(folder).into_diagnostic()?;
    for (name, figure) in FIGURES {
        let path = folder.join(format!("{}-{name}.svg", report.workload));
        draw(&path, name, report, figure).map_err(|error| miette!("cannot plot: {error}"))?;
    }
    Ok(())
}

fn draw(
    path: &Path,
    name: &str,
    report: &Report,
    figure: fn(&Figures) -> f64,
) -> Result<(), String> {
    let names: Vec<&str> = report.policies.iter().map(|f| f.name.as_str()).collect();
    let top = report.policies.iter().map(figure).fold(1e-9, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let text = |error: &dyn std::fmt::Display| error.to_string();
    area.fill(&WHITE).map_err(|error| text(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: {name}", report.workload), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(names.as_slice().into_segmented(), 0f64..top)
        .map_err(|error| text(&error))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .draw()
        .map_err(|error| text(&error))?;
    let bars = report.policies.iter().zip(&names).map(|(figures, name)| {
        let low = (SegmentValue::Exact(name), 0.0);
        let high = (SegmentValue::CenterOf(name), figure(figures));
        let mut bar = Rectangle::new([low, high], BLUE.mix(0.6).filled());
        bar.set_margin(0, 0, 10, 10);
        bar
    });
    chart.draw_series(bars).map_err(|error| text(&error))?;
    area.present().map_err(|error| text(&error))
}
