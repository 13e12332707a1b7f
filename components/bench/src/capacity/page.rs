//! The rows of the table in docs/CAPACITY.md, made from a recorded measurement.

use serde_json::Value;

/// The row of a slope, as `bench capacity --json` records it.
pub fn row(slope: &Value) -> String {
    let text = |name: &str| slope[name].as_str().unwrap_or("").to_owned();
    let number = |name: &str| slope[name].as_f64().map_or("-".to_owned(), short);
    format!(
        "| {} | {} | {} | {} | {} | {} | {} |",
        text("role"),
        text("quantity"),
        text("per"),
        number("slope"),
        number("r2"),
        number("at_target_size"),
        number("budget")
    )
}

/// Three digits that count, or a whole number.
fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

#[cfg(test)]
#[path = "page_tests.rs"]
mod tests;
