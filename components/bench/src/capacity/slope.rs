//! A straight line through measured points.

use serde::Serialize;

/// How a quantity grows, and what follows at the size that decides the design.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The role that carries it.
    pub role: &'static str,
    /// What grows.
    pub quantity: &'static str,
    /// With what.
    pub per: &'static str,
    /// By how much.
    pub slope: f64,
    /// What there is at zero.
    pub base: f64,
    /// How well a line fits, 1 at best.
    pub r2: f64,
    /// What follows at the size that decides the design.
    pub at_target_size: f64,
    /// What is allowed; none where nothing is said.
    pub budget: Option<f64>,
    /// The points, as measured.
    pub points: Vec<(f64, f64)>,
}

/// What a slope is of.
#[derive(Clone, Copy, Debug)]
pub struct Subject {
    /// The role.
    pub role: &'static str,
    /// What grows.
    pub quantity: &'static str,
    /// With what.
    pub per: &'static str,
}

impl Slope {
    /// The line of least squares through `points`. `at_target` works out what follows from slope and
    /// base.
    pub fn fit(
        subject: Subject,
        points: Vec<(f64, f64)>,
        budget: Option<f64>,
        at_target: impl Fn(f64, f64) -> f64,
    ) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let base = mean_y - slope * mean_x;
        let residual: f64 = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2))
            .sum();
        let total: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        Self {
            role: subject.role,
            quantity: subject.quantity,
            per: subject.per,
            slope,
            base,
            r2: 1.0 - residual / total.max(f64::MIN_POSITIVE),
            at_target_size: at_target(slope, base),
            budget,
            points,
        }
    }
}

#[cfg(test)]
#[path = "slope_tests.rs"]
mod tests;
