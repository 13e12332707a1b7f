//! Writes to the key-value service, over the calls that may not be repeated.

use super::slope::{Slope, Subject};
use super::target;
use miette::IntoDiagnostic;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use trial::{CallOutcome, Caller, Trial, TrialPlan};

const CALL_RATES: [f64; 4] = [25.0, 100.0, 200.0, 400.0];
const TIME: Duration = Duration::from_secs(3);

/// The slopes of claims.
pub async fn slopes() -> miette::Result<Vec<Slope>> {
    let plan = TrialPlan {
        boxes: 8,
        work: Duration::from_millis(2),
        ..TrialPlan::default()
    };
    let trial = Trial::start(plan).await.into_diagnostic()?;
    let mut points = Vec::new();
    for (round, rate) in CALL_RATES.into_iter().enumerate() {
        let writes = &trial.store.faults().writes;
        let before = writes.load(Ordering::Relaxed);
        let done = calls(&trial, rate, round).await;
        let written = writes.load(Ordering::Relaxed) - before;
        points.push((
            done as f64 / TIME.as_secs_f64(),
            written as f64 / TIME.as_secs_f64(),
        ));
    }
    let subject = Subject {
        role: "claim_writer",
        quantity: "writes_per_s",
        per: "calls_per_s",
    };
    let calls_per_s = target::REQUESTS_PER_S * target::ONCE_SHARE;
    let most = f64::from(trial.plan.limits.claim_writes_per_s);
    let budget = Some(target::BUDGET_CLAIM_WRITES_PER_S);
    // Where the budget is used up, batches grow instead of writes.
    Ok(vec![Slope::fit(subject, points, budget, |slope, base| {
        (base + slope * calls_per_s).min(most)
    })])
}

/// Makes calls at a steady rate; says how many were done.
async fn calls(trial: &Trial, rate: f64, round: usize) -> usize {
    let caller = Caller::new();
    let boxes = trial.callers();
    let began = Instant::now();
    let mut calls = JoinSet::new();
    let mut number = 0;
    while began.elapsed() < TIME {
        let due = began + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        let (caller, at) = (caller.clone(), boxes[number % boxes.len()]);
        let key = format!("capacity-{round}-{number}");
        calls.spawn(async move { caller.call(at, "redemption", "visitor", &key, "x").await });
        number += 1;
    }
    let replies = calls.join_all().await;
    replies
        .iter()
        .filter(|reply| matches!(reply.outcome, CallOutcome::Done(_)))
        .count()
}
