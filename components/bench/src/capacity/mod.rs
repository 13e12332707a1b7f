//! Slopes of each role's state, messages, processor time and memory, each over at least three sizes, and
//! what follows from them at the size that decides the design.

mod boxes;
mod claims;
mod dispatch;
mod page;
mod settings;
mod slope;
mod target;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use slope::Slope;
use std::process::ExitCode;

/// Options of `capacity`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print JSON
    pub json: bool,
    /// Print the rows of the table in docs/CAPACITY.md
    pub table: bool,
}

/// Runs the measurement and prints each slope.
pub fn run(options: &Options) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let mut slopes = dispatch::slopes();
    slopes.extend(settings::slopes());
    runtime.block_on(async {
        slopes.extend(boxes::entry_slopes().await?);
        slopes.extend(boxes::quiet_slopes().await?);
        slopes.extend(boxes::request_slopes().await?);
        slopes.extend(claims::slopes().await?);
        Ok::<_, miette::Report>(())
    })?;
    for slope in &slopes {
        print_slope(slope, options);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_slope(slope: &Slope, options: &Options) {
    let value = serde_json::to_value(slope).unwrap_or_default();
    if options.json {
        println!("{value}");
        return;
    }
    if options.table {
        println!("{}", page::row(&value));
        return;
    }
    println!(
        "{:18} {:34} per {:28} {:12.4} (r2 {:5.3})  at size {:12.3}  budget {:?}",
        slope.role,
        slope.quantity,
        slope.per,
        slope.slope,
        slope.r2,
        slope.at_target_size,
        slope.budget
    );
}
