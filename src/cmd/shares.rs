//! `shares`: who uses a pool, who waits and who is refused, by client account and rank, as the box that dispatches the
//! pool sees it.

use crate::cli::ReportOptions;
use crate::cmd::{ask_box, runtime};
use operators::{AccountShareView, FleetView, PoolSharesView};
use std::process::ExitCode;

/// Prints a table for each pool that one of the boxes dispatches, or JSON. Exits with 1 where a box does not answer.
pub fn run(options: &ReportOptions) -> miette::Result<ExitCode> {
    runtime()?.block_on(async {
        let mut views: Vec<FleetView> = Vec::new();
        for address in &options.boxes {
            match ask_box::<FleetView>(*address, "fleet").await {
                Ok(view) => views.push(view),
                Err(error) => eprintln!("box at {address}: {error}"),
            }
        }
        if options.json {
            let shares: Vec<_> = views
                .iter()
                .map(|view| (&view.name, &view.shares))
                .collect();
            let text = serde_json::to_string_pretty(&shares).unwrap_or_default();
            println!("{text}");
        } else {
            views.iter().for_each(print_box);
        }
        Ok(match views.len() == options.boxes.len() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    })
}

fn print_box(view: &FleetView) {
    if view.shares.is_empty() {
        println!("box {}: dispatches no pool", view.name);
    }
    for pool in &view.shares {
        print_pool(&view.name, pool);
    }
}

fn print_pool(at: &str, pool: &PoolSharesView) {
    let worst = pool
        .worst_tenth_granted
        .map_or_else(|| "-".into(), |share| format!("{share:.3}"));
    println!(
        "{}, dispatched by {at}: {} accounts, granted share of the worst tenth {worst}",
        pool.service,
        pool.accounts.len()
    );
    println!(
        "  {:24} {:>4} {:>8} {:>8} {:>8} {:>7} {:>8} {:>5} {:>8}",
        "account", "rank", "granted", "refused", "waiting", "holds", "entitled", "cap", "lent_ms"
    );
    pool.accounts.iter().for_each(print_account);
}

fn print_account(account: &AccountShareView) {
    let cap = account
        .cap_share
        .map_or_else(|| "-".into(), |cap| format!("{cap:.2}"));
    for rank in &account.ranks {
        println!(
            "  {:24} {:>4} {:>8} {:>8} {:>8} {:>7.3} {:>8.3} {cap:>5} {:>8}",
            account.account,
            rank.rank,
            rank.granted,
            rank.refused,
            rank.waiting,
            account.held_part,
            account.entitled_part,
            account.lent_ms
        );
    }
}
