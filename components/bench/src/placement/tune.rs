//! Finds the best concurrency limit of each baseline: the one that completes most, and among those
//! within two in a hundred of it the one that stalls least.

use super::figures::Figures;
use super::workload::Workload;
use super::{Options, POLICIES, run};

const LIMITS: [u32; 6] = [0, 8, 11, 14, 17, 20];
const NEAR_BEST: f64 = 0.98;

/// Tries all limits and prints the best of each baseline.
pub async fn tune(workload: &Workload, options: &Options) -> miette::Result<()> {
    println!("# {}", workload.name);
    println!("limits:");
    for (name, kind) in POLICIES
        .into_iter()
        .filter(|(_, kind)| !kind.uses_dispatcher())
    {
        let mut tried: Vec<(u32, Figures)> = Vec::new();
        for limit in LIMITS {
            let measured = run::run(workload, kind, limit, options.seed, options.quick).await?;
            let figures = Figures::new(name, workload, &measured);
            eprintln!("limit {limit:3} {}", figures.line());
            tried.push((limit, figures));
        }
        let most = tried
            .iter()
            .map(|(_, f)| f.completed_per_s)
            .fold(0.0, f64::max);
        let near = tried
            .iter()
            .filter(|(_, f)| f.completed_per_s >= most * NEAR_BEST);
        let best = near.min_by(|a, b| {
            a.1.stall_s_per_1k_tokens
                .total_cmp(&b.1.stall_s_per_1k_tokens)
        });
        println!("  {name}: {}", best.map_or(0, |(limit, _)| *limit));
    }
    Ok(())
}
