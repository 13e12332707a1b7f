//! `demo`: stand-ins and two entry boxes in one process on loopback.

use crate::cli::DemoOptions;
use crate::cmd::runtime;
use miette::{IntoDiagnostic, WrapErr};
use standins::EngineSettings;
use std::process::ExitCode;
use std::time::Duration;
use trial::{CallOutcome, Caller, ChatSpec, Trial, TrialPlan};

const ENGINES: usize = 3;
const STEP_US: u64 = 30_000;
const WORK: Duration = Duration::from_millis(20);

/// Runs the demo. With `--once` the exit code is 0 only if everything came back right.
pub fn run(options: &DemoOptions) -> miette::Result<ExitCode> {
    operators::install_metrics()
        .into_diagnostic()
        .wrap_err("cannot start metrics")?;
    let engine = EngineSettings {
        step_base_us: STEP_US,
        ..EngineSettings::default()
    };
    let plan = TrialPlan {
        engines: vec![engine; ENGINES],
        work: WORK,
        ..TrialPlan::default()
    };
    runtime()?.block_on(async {
        let demo = Trial::start(plan).await.into_diagnostic()?;
        if options.once {
            return Ok(once(&demo).await);
        }
        print_hints(&demo);
        let _ = tokio::signal::ctrl_c().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn print_hints(demo: &Trial) {
    for running in demo.boxes.iter().flatten() {
        println!(
            "box {}: callers http://{}  operators http://{}/burn.html",
            running.id, running.addresses.callers, running.addresses.operators
        );
    }
    let Some(callers) = demo.callers().first().copied() else {
        return;
    };
    let key = &demo.plan.accounts[0].name;
    let model = &demo.plan.model;
    println!("\nA streamed answer:");
    println!(
        "  curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {key}' \
         -d '{{\"model\":\"{model}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!("A call that may not be repeated (a second time it is answered from memory):");
    println!(
        "  curl -i http://{callers}/services/redemption/redeem -H 'Authorization: Bearer {key}' \
         -H 'Idempotency-Key: order-1' -d '{{\"points\":100}}'"
    );
    println!("\nCtrl-C ends it.");
}

async fn once(demo: &Trial) -> ExitCode {
    let boxes = demo.callers();
    let caller = Caller::new();
    let key = demo.plan.accounts[0].name.clone();
    let spec = ChatSpec {
        model: demo.plan.model.clone(),
        key: key.clone(),
        marker: "hello-demo".into(),
        prompt_tokens: 16,
        ..ChatSpec::default()
    };
    let answer = caller.chat(&boxes, &spec).await;
    println!(
        "streamed answer: {} chunks, {:?}",
        answer.chunks, answer.end
    );
    let mut replies = Vec::new();
    for callers in boxes.iter().take(2) {
        let reply = caller
            .call(*callers, "redemption", &key, "order-1", "{\"points\":100}")
            .await;
        println!("call through {callers}: {:?}", reply.outcome);
        replies.push(reply.outcome);
    }
    let runs: usize = demo.workers.iter().map(|worker| worker.runs().len()).sum();
    println!("the service ran it {runs} time(s)");
    let same = replies.windows(2).all(|pair| pair[0] == pair[1]);
    let done = replies
        .iter()
        .all(|reply| matches!(reply, CallOutcome::Done(_)));
    match answer.is_whole() && same && done && runs == 1 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
