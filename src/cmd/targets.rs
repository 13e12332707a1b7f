//! `targets`: what the boxes see of targets, and what the dispatchers know of their pools.

use crate::cli::ReportOptions;
use crate::cmd::{ask_box, runtime};
use operators::{FleetView, NodeView, TargetCallsView, TargetPaceView};
use serde::Serialize;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Prints a table, or JSON.
pub fn run(options: &ReportOptions) -> miette::Result<ExitCode> {
    runtime()?.block_on(async {
        let mut views = Vec::new();
        for address in &options.boxes {
            match view_of(*address).await {
                Ok(view) => views.push(view),
                Err(error) => eprintln!("box at {address}: {error}"),
            }
        }
        if options.json {
            println!(
                "{}",
                serde_json::to_string_pretty(&views).unwrap_or_default()
            );
        } else {
            for view in &views {
                match view {
                    View::Node(view) => print_view(view),
                    View::Fleet(view) => print_fleet_view(view),
                }
            }
        }
        Ok(match views.len() == options.boxes.len() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    })
}

/// A box of either kind.
#[derive(Serialize)]
#[serde(untagged)]
enum View {
    Node(NodeView),
    Fleet(FleetView),
}

async fn view_of(address: SocketAddr) -> Result<View, String> {
    if let Ok(view) = ask_box::<NodeView>(address, "node").await {
        return Ok(View::Node(view));
    }
    ask_box::<FleetView>(address, "fleet")
        .await
        .map(View::Fleet)
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1_000_000.0
}

fn print_fleet_view(view: &FleetView) {
    println!(
        "box {} in {}: {} open generations, {} open requests, {:.1} of {:.1} MB held, declarations {}, {} boxes known",
        view.name,
        view.data_centre,
        view.generations_open,
        view.requests_open,
        megabytes(view.held_bytes),
        megabytes(view.held_bytes_most),
        view.declarations,
        view.boxes
    );
    if let Some(era) = view.store_era {
        println!("  store era {era}");
    }
    for lost in &view.unreachable {
        println!(
            "  unreachable from this box: {} for {:.1} s",
            lost.service, lost.for_s
        );
    }
    for evacuated in &view.evacuations {
        println!(
            "  evacuated: {} for {:.1} s, {} requests of this box still there",
            evacuated.data_centre, evacuated.for_s, evacuated.open
        );
    }
    for target in &view.targets {
        let cold = if target.cold { " cold" } else { "" };
        let refusing = if target.refusing {
            ", refuses connections"
        } else {
            ""
        };
        let limit = target.rate_limit_per_s;
        let mut asks = limit.map_or(String::new(), |limit| format!(", rate limit {limit:.2}/s"));
        if let Some(left_ms) = target.pause_left_ms {
            asks += &format!(", asked this box for a pause, {left_ms} ms left");
        }
        println!(
            "  {:24} {:16} {:16} {}{cold}{refusing}, own {} with {:.2} MB{asks}",
            target.name,
            target.service,
            target.data_centre,
            target.state,
            target.own_open,
            megabytes(target.own_open_bytes)
        );
        if let Some(calls) = &target.calls {
            println!("      {}", calls_line(calls));
        }
        if let Some(pace) = &target.pace {
            print_pace(pace);
        }
    }
}

/// What plain calls showed of a target, in one line.
fn calls_line(calls: &TargetCallsView) -> String {
    let mut line = format!(
        "calls: time {:.2} of usual, now {:.2}, full {:.2}",
        calls.pace_share, calls.slowness_share, calls.fullness
    );
    if let Some(limit) = calls.limit {
        line += &format!(", limit {limit:.1}");
    }
    if calls.spared {
        line += ", spared: boxes got no answer, or were turned away";
    } else if calls.doubted {
        line += ", doubted: a box got no answer, or was turned away";
    }
    if calls.passed_over {
        line += ", passed over: it failed this box";
    }
    for (route, share) in &calls.failed_by_route {
        if *share > 0.0 {
            line += &format!(", fails {route} {share:.2}");
        }
    }
    line
}

fn print_pace(pace: &TargetPaceView) {
    let spared = pace
        .spared
        .as_deref()
        .map_or(String::new(), |why| format!(", spared: {why}"));
    println!(
        "    speed {:.2}, event {:.0} ms, beside reading {:.0} ms, disturbed {:.0}% of the time x {:.1} \
         for {:.0} ms, error {:.0}%, {} streams, {:.1}% of the pool's{spared}",
        pace.speed,
        pace.event_ms,
        pace.beside_ms,
        pace.disturbed_share * 100.0,
        pace.disturbed_strength,
        pace.disturbed_ms,
        pace.error_share * 100.0,
        pace.streams,
        pace.streams_share * 100.0
    );
}

fn print_view(view: &NodeView) {
    println!("box {}: {} open streams", view.id, view.open_streams);
    for target in &view.targets {
        let life = target.incarnation;
        println!(
            "  {:24} {:8} own {:5} life {life}",
            target.name, target.state, target.own_open
        );
    }
    for (model, pool) in &view.pools {
        println!(
            "  dispatches {model}: {} waiting, margin {:.2}, {:.1} grants/s",
            pool.waiting, pool.margin, pool.grants_per_s
        );
        for engine in &pool.engines {
            let id = engine.target.0.to_string();
            let name = view.target_names.get(&id).cloned().unwrap_or(id);
            println!(
                "    {name:24} ledger {:7} reported {:7} of {:7} tokens, foreign {:6}, \
                 running {:4}, waiting {:3}, preemptions {:4}",
                engine.ledger_tokens,
                engine.reported_tokens,
                engine.capacity_tokens,
                engine.foreign_tokens,
                engine.reported_running,
                engine.reported_waiting,
                engine.preemptions
            );
        }
    }
}
