//! The promises under faults: boxes over loopback, callers who retry through other boxes, faults drawn
//! at random, and a checker for each promise of the brief.

mod actors;
mod boxes;
mod chaos;
mod checks;
mod history;
mod register;
mod run;

pub(crate) use boxes::view;

use bpaf::Bpaf;
use futures::StreamExt;
use history::{RunHistory, Summary};
use miette::IntoDiagnostic;
use std::process::ExitCode;

/// Options of `faults`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print JSON
    pub json: bool,
    /// Seed of the faults
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Short runs to make
    #[bpaf(argument("N"), fallback(20))]
    pub runs: u64,
    /// Runs at a time
    #[bpaf(argument("N"), fallback(2))]
    pub parallel: usize,
    /// Boxes as processes of their own, so that SIGKILL and SIGSTOP are real
    pub processes: bool,
}

/// Runs the measurement. The exit code is 0 only if no promise was broken.
pub fn run(options: &Options) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let summary = runtime.block_on(run_all(options))?;
    summary.print(options.json);
    Ok(match summary.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

async fn run_all(options: &Options) -> miette::Result<Summary> {
    let seeds = (0..options.runs).map(|run| options.seed.wrapping_mul(1_000_003) + run);
    let processes = options.processes;
    let runs = seeds.map(|seed| async move {
        tokio::spawn(async move { run::run(seed, processes).await }).await
    });
    let mut summary = Summary::default();
    let mut ended = futures::stream::iter(runs).buffer_unordered(options.parallel);
    while let Some(run) = ended.next().await {
        let history: RunHistory = run.into_diagnostic()??;
        let violations = checks::check(&history);
        for violation in &violations {
            eprintln!(
                "seed {}: {}: {}",
                history.seed, violation.promise, violation.what
            );
        }
        summary.add(&history, &violations);
    }
    Ok(summary)
}
