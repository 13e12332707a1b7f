//! The burn report as an HTML page with a plot.

use crate::burn::{AccountBurn, BurnReport};
use plotters::prelude::{
    ChartBuilder, Color, DrawingAreaErrorKind, IntoDrawingArea, RED, Rectangle, SVGBackend, WHITE,
};
use std::fmt::Write;

const PLOT_SIZE: (u32, u32) = (900, 320);
const ACCOUNTS_PLOTTED: usize = 20;
/// Burn rate above which a person should look, over an hour.
const ALERT_BURN_RATE: f64 = 6.0;

pub(crate) fn burn_page(report: &BurnReport) -> String {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Burn report</title>\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}\
         td:first-child,th:first-child{text-align:left}.alert{background:#fdd}</style>\
         <h1>Burn report</h1>",
    );
    let plotted: Vec<&AccountBurn> = report.accounts.iter().take(ACCOUNTS_PLOTTED).collect();
    let mut svg = String::new();
    if !plotted.is_empty() && plot(&plotted, &mut svg).is_ok() {
        page.push_str(&svg);
    }
    page.push_str("<table><tr><th>account<th>owner<th>5 min<th>1 h<th>6 h</tr>");
    for burn in &report.accounts {
        // Writing into a string does not fail.
        let _ = write_account(&mut page, burn);
    }
    page.push_str("</table><h2>What burns most</h2><table>");
    page.push_str("<tr><th>owner<th>account<th>target<th>reason<th>bad</tr>");
    for cause in &report.causes {
        let target = cause.target.as_deref().unwrap_or("-");
        let _ = write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape(&cause.owner),
            escape(&cause.account),
            escape(target),
            cause.reason.as_str(),
            cause.bad
        );
    }
    page.push_str("</table>");
    page
}

fn write_account(page: &mut String, burn: &AccountBurn) -> std::fmt::Result {
    let hour = burn.windows.get(1).map_or(0.0, |window| window.burn_rate);
    let class = if hour > ALERT_BURN_RATE {
        " class=\"alert\""
    } else {
        ""
    };
    let (account, owner) = (escape(&burn.account), escape(&burn.owner));
    write!(page, "<tr{class}><td>{account}<td>{owner}")?;
    for window in &burn.windows {
        write!(
            page,
            "<td>{:.2} ({}/{})",
            window.burn_rate, window.bad, window.total
        )?;
    }
    page.push_str("</tr>");
    Ok(())
}

fn plot(
    accounts: &[&AccountBurn],
    svg: &mut String,
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let rate = |burn: &AccountBurn| burn.windows.get(1).map_or(0.0, |window| window.burn_rate);
    let top = accounts.iter().map(|burn| rate(burn)).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(10)
        .y_label_area_size(50)
        .build_cartesian_2d(0f64..accounts.len() as f64, 0f64..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .y_desc("burn rate, 1 h")
        .draw()?;
    let bars = accounts.iter().enumerate().map(|(at, burn)| {
        let corners = [(at as f64 + 0.1, 0.0), (at as f64 + 0.9, rate(burn))];
        Rectangle::new(corners, RED.mix(0.6).filled())
    });
    chart.draw_series(bars)?;
    area.present()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

#[cfg(test)]
#[path = "page_tests.rs"]
mod tests;
