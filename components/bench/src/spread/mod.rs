//! How news reach all boxes: the ways to spread a notice, compared over real links, and how fast
//! settings are in force on many whole boxes of which some are dead.

mod relays;
mod settings;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use peers::Topology;
use serde::Serialize;
use std::process::ExitCode;

/// Options of `spread`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print JSON
    pub json: bool,
    /// Whole boxes on which settings are changed
    #[bpaf(argument("COUNT"), fallback(100))]
    pub boxes: u32,
    /// Boxes of these that are dead and still listed
    #[bpaf(argument("COUNT"), fallback(10))]
    pub dead: u32,
    /// Leave the comparison of the ways to spread out
    pub settings_only: bool,
    /// Changes of the settings
    #[bpaf(argument("COUNT"), fallback(10))]
    pub changes: u32,
}

/// One way to spread, at one size, with some boxes dead.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    topology: Topology,
    boxes: u32,
    dead: u32,
    reached_share: f64,
    all_reached_p50_ms: f64,
    all_reached_p99_ms: f64,
    messages: f64,
    bytes: f64,
}

#[derive(Debug, Serialize)]
struct Report {
    notices: Vec<Row>,
    settings: settings::Figures,
}

const SIZES: [(u32, u32); 6] = [(8, 0), (8, 2), (64, 0), (64, 6), (128, 0), (128, 13)];
const TOPOLOGIES: [Topology; 4] = [
    Topology::FanOut,
    Topology::Tree,
    Topology::Gossip,
    Topology::BinomialGraph,
];

/// Runs the measurement.
pub fn run(options: &Options) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let report = runtime.block_on(async {
        let mut notices = Vec::new();
        let sizes = if options.settings_only {
            &[]
        } else {
            &SIZES[..]
        };
        for (boxes, dead) in sizes.iter().copied() {
            for topology in TOPOLOGIES {
                let row = relays::measure(topology, boxes, dead).await?;
                eprintln!("{}", serde_json::to_string(&row).unwrap_or_default());
                notices.push(row);
            }
        }
        let settings = settings::measure(options.boxes, options.dead, options.changes).await?;
        Ok::<_, miette::Report>(Report { notices, settings })
    })?;
    if options.json {
        println!("{}", serde_json::to_string(&report).into_diagnostic()?);
    } else {
        let value = serde_json::to_value(&report.settings).into_diagnostic()?;
        crate::stats::print_lines(&value);
    }
    Ok(ExitCode::SUCCESS)
}
