//! `burn`: the service-level burn report over all boxes.

use crate::cli::ReportOptions;
use crate::cmd::{ask_box, runtime};
use operators::{BurnReport, merge};
use std::process::ExitCode;

/// Prints a table, or JSON.
pub fn run(options: &ReportOptions) -> miette::Result<ExitCode> {
    runtime()?.block_on(async {
        let mut reports = Vec::new();
        for address in &options.boxes {
            match ask_box::<BurnReport>(*address, "burn").await {
                Ok(report) => reports.push(report),
                Err(error) => eprintln!("box at {address}: {error}"),
            }
        }
        let complete = reports.len() == options.boxes.len();
        let report = merge(reports);
        if options.json {
            println!(
                "{}",
                serde_json::to_string_pretty(&report).unwrap_or_default()
            );
        } else {
            print_report(&report);
        }
        Ok(if complete {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    })
}

fn print_report(report: &BurnReport) {
    println!(
        "{:36} {:30} {:>16} {:>16} {:>16}",
        "account", "owner", "5 min", "1 h", "6 h"
    );
    for burn in &report.accounts {
        print!("{:36} {:30}", burn.account, burn.owner);
        for window in &burn.windows {
            let counts = format!("{}/{}", window.bad, window.total);
            print!(" {:>7.2} {counts:>8}", window.burn_rate);
        }
        println!();
    }
    println!("\nwhat burns most:");
    for cause in &report.causes {
        let target = cause.target.as_deref().unwrap_or("-");
        println!(
            "{:36} {:30} {target:24} {:12} {}",
            cause.account,
            cause.owner,
            cause.reason.as_str(),
            cause.bad
        );
    }
}
