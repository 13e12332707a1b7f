//! `withheld`: requests and prompt parts that boxes send to no target, as too many ended under them; and sending them on again.

use crate::cli::WithheldOptions;
use crate::cmd::{ask_box, order_box, runtime};
use operators::{FleetView, WithheldView};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Prints a row for each box and request or combination of prompt parts, or clears one on all boxes. Exits with 1 where a box
/// does not answer, or knows nothing of it.
pub fn run(options: &WithheldOptions) -> miette::Result<ExitCode> {
    runtime()?.block_on(async {
        let mut all_well = true;
        for address in &options.boxes {
            let done = match options.clear {
                Some(suspect) => order_box(*address, &format!("clear/{suspect}")).await,
                None => show(*address).await,
            };
            if let Err(error) = done {
                eprintln!("box at {address}: {error}");
                all_well = false;
            }
        }
        Ok(match all_well {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    })
}

async fn show(address: SocketAddr) -> Result<(), String> {
    let view = ask_box::<FleetView>(address, "fleet").await?;
    println!("box {}: {} withheld", view.name, view.withheld.len());
    view.withheld.iter().for_each(print_row);
    Ok(())
}

fn print_row(row: &WithheldView) {
    println!(
        "  {}  account {}, {} targets ended, withheld for {:.0} s more",
        row.request,
        row.account.as_deref().unwrap_or("-"),
        row.targets_ended,
        row.left_s
    );
}
