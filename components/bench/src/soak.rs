//! `soak`: the promises of a fleet's boxes under faults, with boxes as processes of their own.

use ::soak::{Plant, RefusalCounts, Report, Soak, play};
use bpaf::Bpaf;
use miette::{IntoDiagnostic, miette};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Seeds of one call of the command lie so far from those of the next.
const SEED_STEP: u64 = 1_000_003;

/// Options of `soak`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print JSON
    pub json: bool,
    /// Seed of the faults; with --minutes, drawn anew if left out
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Seed of one run, as a broken run prints it: that run is played --runs times
    #[bpaf(argument("N"))]
    pub run_seed: Option<u64>,
    /// Runs to make
    #[bpaf(argument("N"), fallback(5))]
    pub runs: u64,
    /// Runs with fresh seeds for so many minutes instead
    #[bpaf(argument("MINUTES"))]
    pub minutes: Option<f64>,
    /// Boxes of a run
    #[bpaf(argument("N"), fallback(3))]
    pub boxes: usize,
    /// Callers of a run
    #[bpaf(argument("N"), fallback(10))]
    pub callers: usize,
    /// Seconds in which faults come
    #[bpaf(argument("SECONDS"), fallback(12.0))]
    pub span_s: f64,
    /// What a machine that stalls is allowed beyond each bound, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    pub slack_ms: u64,
    /// Also cut boxes off from targets
    pub partitions: bool,
    /// Also send requests with a prompt part that crashes engines
    pub fatal_part: bool,
    /// Also have plain targets refuse calls while boxes are killed in series
    pub refusals: bool,
    /// Also have engines leave while answers to control calls are lost
    pub lost_orders: bool,
    /// Also have targets refuse requests so that it is not plain whether they ran
    pub doubtful_refusals: bool,
    /// Also cut most boxes off from the store while another one restarts again and again
    pub stale_views: bool,
    /// Runs at a time
    #[bpaf(argument("N"), fallback(2))]
    pub parallel: usize,
    /// Break a promise on purpose, to see that it is found
    #[bpaf(argument("PROMISE"))]
    pub plant: Option<Plant>,
    /// Program of the boxes; beside this one if left out
    #[bpaf(argument("FILE"))]
    pub program: Option<PathBuf>,
}

#[derive(Debug, Serialize)]
struct Summary {
    runs: usize,
    calls: usize,
    served: usize,
    broken_runs: usize,
    reports: Vec<Report>,
}

/// Plays the runs. The exit code is 0 only if no promise was broken.
pub fn run(options: &Options) -> miette::Result<ExitCode> {
    let soak = soak_of(options)?;
    let mut reports = Vec::new();
    let first = options.seed.unwrap_or_else(|| match options.minutes {
        Some(_) => rand::random::<u32>().into(),
        None => 1,
    });
    let first = first.wrapping_mul(SEED_STEP);
    let until = options
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs_f64(minutes * 60.0));
    let mut next = 0;
    loop {
        let goes_on = match until {
            Some(until) => Instant::now() < until,
            None => next < options.runs,
        };
        if !goes_on {
            break;
        }
        let left = until.map_or(options.runs - next.min(options.runs), |_| u64::MAX);
        let count = left.min(options.parallel.max(1) as u64);
        let seed_of = |run| options.run_seed.unwrap_or(first.wrapping_add(run));
        let seeds = (next..next + count).map(seed_of);
        reports.extend(play_together(&soak, seeds.collect())?);
        next += count;
    }
    Ok(conclude(reports, options.json))
}

fn soak_of(options: &Options) -> miette::Result<Soak> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.with_file_name("shuntpier"))
    };
    let program = options.program.clone().or_else(beside);
    let program = program.filter(|program| program.exists()).ok_or_else(|| {
        miette!(
            help = "build it with `cargo build --release`, or name it by --program FILE",
            "the program of the boxes is not there"
        )
    })?;
    Ok(Soak {
        program,
        folder: std::env::temp_dir().join(format!("shuntpier-soak-{}", std::process::id())),
        boxes: options.boxes,
        callers: options.callers,
        span_ms: (options.span_s * 1000.0) as u64,
        slack_ms: options.slack_ms,
        has_partitions: options.partitions,
        has_fatal_part: options.fatal_part,
        has_refusals: options.refusals,
        has_lost_orders: options.lost_orders,
        has_doubtful_refusals: options.doubtful_refusals,
        has_stale_views: options.stale_views,
        plant: options.plant,
    })
}

fn play_together(soak: &Soak, seeds: Vec<u64>) -> miette::Result<Vec<Report>> {
    let play_one = |seed: u64| {
        let soak = soak.clone();
        std::thread::spawn(move || play(&soak, seed))
    };
    let threads: Vec<_> = seeds.into_iter().map(play_one).collect();
    let mut reports = Vec::new();
    for thread in threads {
        let played = thread.join().map_err(|_| miette!("a run broke off"))?;
        let report = played?;
        tell(&report);
        reports.push(report);
    }
    Ok(reports)
}

/// What was broken, at once: a long soak may be ended before its summary.
fn tell(report: &Report) {
    for broken in &report.broken {
        eprintln!("seed {}: {}: {}", report.seed, broken.promise, broken.what);
    }
    if let Some(logs) = &report.logs {
        eprintln!("seed {}: logs in {logs}", report.seed);
    }
}

/// The refusals of all runs, a kind of request each.
fn refusals_in_words(reports: &[Report]) -> String {
    let kinds = reports.first().map_or(&[][..], |report| &report.refusals);
    let line = |(at, of_kind): (usize, &RefusalCounts)| {
        let sum = |count: fn(&RefusalCounts) -> usize| -> usize {
            let counts = reports.iter().map(|report| &report.refusals[at]);
            counts.map(count).sum()
        };
        format!(
            "refusals of {} requests: {} promised, {} of them untrue, {} withheld",
            of_kind.kind,
            sum(|counts| counts.promised),
            sum(|counts| counts.untrue),
            sum(|counts| counts.withheld)
        )
    };
    let lines: Vec<String> = kinds.iter().enumerate().map(line).collect();
    lines.join("\n")
}

fn conclude(reports: Vec<Report>, json: bool) -> ExitCode {
    let broken_runs = reports.iter().filter(|report| !report.broken.is_empty());
    let summary = Summary {
        runs: reports.len(),
        calls: reports.iter().map(|report| report.calls).sum(),
        served: reports.iter().map(|report| report.served).sum(),
        broken_runs: broken_runs.count(),
        reports,
    };
    let refusals = refusals_in_words(&summary.reports);
    let totals = format!(
        "{} runs, {} calls, {} served, {} runs with a broken promise",
        summary.runs, summary.calls, summary.served, summary.broken_runs
    );
    match json {
        true => {
            // Standard output is one JSON value.
            eprintln!("{totals}\n{refusals}");
            match serde_json::to_string_pretty(&summary).into_diagnostic() {
                Ok(text) => println!("{text}"),
                Err(error) => eprintln!("{error}"),
            }
        }
        false => println!("{totals}\n{refusals}"),
    }
    match summary.broken_runs {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
