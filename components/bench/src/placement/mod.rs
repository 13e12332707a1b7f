//! The decisions under load: every policy on the same arrivals, over the real path on loopback, with
//! real permits between the boxes.

mod arrivals;
mod figures;
mod plot;
mod run;
mod tune;
mod workload;

use bpaf::Bpaf;
use figures::{Figures, Report};
use miette::{IntoDiagnostic, WrapErr, miette};
use policy::PolicyKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use workload::Workload;

/// Options of `placement`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print JSON
    pub json: bool,
    /// A workload; all shipped ones where it is left out, or the steady one with --quick
    #[bpaf(argument("FILE"))]
    pub workload: Option<PathBuf>,
    /// Seed of the arrivals
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Short runs, under a minute for one workload
    pub quick: bool,
    /// Run only this policy
    #[bpaf(argument("NAME"))]
    pub only: Option<String>,
    /// Find the best concurrency limit of each baseline and print it
    pub tune: bool,
    /// Write plots of the runs into this folder
    #[bpaf(argument("DIR"))]
    pub plot: Option<PathBuf>,
}

/// Policies in the order in which they run. The last is the bound from above.
const POLICIES: [(&str, PolicyKind); 5] = [
    ("round_robin", PolicyKind::RoundRobin),
    ("least_load", PolicyKind::LeastLoad),
    ("two_choices", PolicyKind::TwoChoices),
    ("shuntpier", PolicyKind::Shuntpier),
    ("oracle", PolicyKind::Oracle),
];

/// Runs the measurement.
pub fn run(options: &Options) -> miette::Result<ExitCode> {
    let workloads = load_workloads(options)?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        for workload in &workloads {
            if options.tune {
                tune::tune(workload, options).await?;
                continue;
            }
            let report = measure(workload, options).await?;
            report.print(options.json);
            if let Some(folder) = &options.plot {
                plot::write(folder, &report)?;
            }
        }
        Ok(ExitCode::SUCCESS)
    })
}

async fn measure(workload: &Workload, options: &Options) -> miette::Result<Report> {
    let mut policies = Vec::new();
    for (name, kind) in POLICIES {
        if options.only.as_deref().is_some_and(|only| only != name) {
            continue;
        }
        let limit = workload.concurrency_limit(kind);
        let measured = run::run(workload, kind, limit, options.seed, options.quick).await?;
        let figures = Figures::new(name, workload, &measured);
        eprintln!("{}", figures.line());
        policies.push(figures);
    }
    Ok(Report {
        workload: workload.name.clone(),
        policies,
    })
}

fn load_workloads(options: &Options) -> miette::Result<Vec<Workload>> {
    if let Some(path) = &options.workload {
        return Ok(vec![load(path)?]);
    }
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("workloads");
    if options.quick {
        return Ok(vec![load(&folder.join("steady.yaml"))?]);
    }
    let entries = std::fs::read_dir(&folder).into_diagnostic()?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    paths.iter().map(|path| load(path)).collect()
}

fn load(path: &Path) -> miette::Result<Workload> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    serde_saphyr::from_str(&text).map_err(|error| miette!("{}: {error}", path.display()))
}
