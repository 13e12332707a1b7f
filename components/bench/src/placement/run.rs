//! Runs a workload under one policy.

use super::arrivals::{Arrival, arrivals};
use super::workload::{Event, EventKind, Workload};
use miette::IntoDiagnostic;
use policy::PolicyKind;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use trial::{Caller, ChatResult, ChatSpec, Trial};

/// What one policy came to.
pub struct Measured {
    /// Each arrival, with its answer; none where it still ran at the end.
    pub answers: Vec<(Arrival, Option<ChatResult>)>,
    /// When the counted time began and ended.
    pub window: (Instant, Instant),
    /// Preemptions of all engines in the counted time.
    pub preemptions: u64,
    /// Control bytes of all boxes in the whole time.
    pub control_bytes: u64,
    /// The whole time.
    pub whole: Duration,
    /// Times of decisions.
    pub decisions_ns: Vec<u64>,
}

/// The boxes to which the balancer sends requests now.
type Balancer = Arc<RwLock<Vec<SocketAddr>>>;

/// Runs `workload` under `kind`.
pub async fn run(
    workload: &Workload,
    kind: PolicyKind,
    concurrency_limit: u32,
    seed: u64,
    quick: bool,
) -> miette::Result<Measured> {
    let time_ms = workload.time_ms(quick);
    let plan = workload.plan(kind, concurrency_limit);
    let mut trial = Trial::start(plan).await.into_diagnostic()?;
    node::decision_times_ns();
    let balancer: Balancer = Arc::new(RwLock::new(trial.callers()));
    let arrivals = arrivals(workload, seed, time_ms);
    let began = Instant::now();
    let (bytes_before, _) = trial.control_traffic();
    let sending = tokio::spawn(send_all(
        arrivals.clone(),
        workload.clone(),
        balancer.clone(),
        began,
    ));
    let warm = Duration::from_millis(workload.warm_up_ms);
    let mut events = workload.events.clone();
    events.sort_by_key(|event| event.at_ms);
    let arrivals_end = Duration::from_millis(time_ms);
    let mut preemptions_before = None;
    let mut preemptions_after = None;
    let mut bytes_lost = 0;
    let end = Duration::from_millis(time_ms + workload.drain_ms);
    while began.elapsed() < end {
        if preemptions_after.is_none() && began.elapsed() >= arrivals_end {
            preemptions_after = Some(preemptions(&trial));
        }
        if preemptions_before.is_none() && began.elapsed() >= warm {
            preemptions_before = Some(preemptions(&trial));
        }
        while events
            .first()
            .is_some_and(|event| began.elapsed() >= at(event))
        {
            let event = events.remove(0);
            let bytes = trial.control_traffic().0;
            happen(&mut trial, &event.kind, &balancer).await?;
            bytes_lost += bytes.saturating_sub(trial.control_traffic().0);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let whole = began.elapsed();
    let control_bytes = trial.control_traffic().0 + bytes_lost - bytes_before;
    let preempted_after = preemptions_after.unwrap_or_else(|| preemptions(&trial));
    let preempted = preempted_after.saturating_sub(preemptions_before.unwrap_or(0));
    let mut sent = sending.await.into_diagnostic()?;
    let mut answers: Vec<Option<ChatResult>> = vec![None; arrivals.len()];
    while let Some(answer) = sent.try_join_next() {
        if let Ok((at, answer)) = answer {
            answers[at] = Some(answer);
        }
    }
    sent.abort_all();
    Ok(Measured {
        answers: arrivals.into_iter().zip(answers).collect(),
        window: (began + warm, began + Duration::from_millis(time_ms)),
        preemptions: preempted,
        control_bytes,
        whole,
        decisions_ns: node::decision_times_ns(),
    })
}

fn at(event: &Event) -> Duration {
    Duration::from_millis(event.at_ms)
}

fn preemptions(trial: &Trial) -> u64 {
    trial
        .engines
        .iter()
        .flatten()
        .map(|engine| engine.preemptions())
        .sum()
}

/// Sends each request at its time, whatever became of those before it.
async fn send_all(
    arrivals: Vec<Arrival>,
    workload: Workload,
    balancer: Balancer,
    began: Instant,
) -> JoinSet<(usize, ChatResult)> {
    let mut sent = JoinSet::new();
    let caller = Caller::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let due = began + Duration::from_micros(arrival.at_us);
        tokio::time::sleep_until(due.into()).await;
        let spec = spec(&workload, &arrival, number);
        let (caller, balancer) = (caller.clone(), balancer.clone());
        sent.spawn(async move {
            let choose = |link: usize| {
                let boxes = balancer.read().expect("nothing panics with the lock");
                boxes[(number + link) % boxes.len()]
            };
            (number, caller.chat_via(choose, &spec).await)
        });
    }
    sent
}

fn spec(workload: &Workload, arrival: &Arrival, number: usize) -> ChatSpec {
    let load = &workload.accounts[arrival.account];
    let prefix = arrival.prefix.map_or(String::new(), |prefix| {
        let tokens = (load.prompt_tokens.median / 4.0) as usize;
        format!("{:03} ", prefix % 1000).repeat(tokens)
    });
    ChatSpec {
        model: "assistant".into(),
        key: load.name.clone(),
        marker: format!("req-{number}"),
        prompt_tokens: arrival.prompt_tokens,
        prefix,
        output_tokens: Some(arrival.output_tokens),
        max_tokens: None,
    }
}

async fn happen(trial: &mut Trial, kind: &EventKind, balancer: &Balancer) -> miette::Result<()> {
    match kind {
        EventKind::EngineDies(at) => trial.kill_engine(*at),
        EventKind::EngineReclaimed { engine, notice_ms } => {
            if let Some(reclaimed) = trial.engines[*engine].take() {
                reclaimed.leave();
                let notice = Duration::from_millis(*notice_ms);
                tokio::spawn(async move {
                    tokio::time::sleep(notice).await;
                    // Ending the stand-in waits for its thread.
                    tokio::task::spawn_blocking(move || reclaimed.kill());
                });
            }
        }
        EventKind::BoxReplaced(at) => replace(trial, *at, balancer)?,
        EventKind::DispatcherLost => {
            let at = dispatcher(trial).await;
            replace(trial, at, balancer)?;
        }
        EventKind::DispatcherPaused { pause_ms } => {
            let at = dispatcher(trial).await;
            if let Some(paused) = &trial.boxes[at] {
                paused.host.pause(Duration::from_millis(*pause_ms));
            }
        }
        EventKind::ForeignLoad { engines, tokens } => {
            for engine in trial.engines.iter().flatten().take(*engines) {
                engine.set_foreign_tokens(*tokens);
            }
        }
        EventKind::LengthShift { .. } => {}
    }
    Ok(())
}

fn replace(trial: &mut Trial, at: usize, balancer: &Balancer) -> miette::Result<()> {
    trial.kill_box(at);
    *balancer.write().expect("nothing panics with the lock") = trial.callers();
    trial.start_box(at).into_diagnostic()?;
    let balancer = balancer.clone();
    let callers = trial.callers();
    tokio::spawn(async move {
        // The balancer sends to a new box once it is ready.
        tokio::time::sleep(Duration::from_millis(500)).await;
        *balancer.write().expect("nothing panics with the lock") = callers;
    });
    Ok(())
}

/// The box that dispatches the pool.
async fn dispatcher(trial: &Trial) -> usize {
    use operators::Console;
    for (at, running) in trial.boxes.iter().enumerate() {
        let Some(running) = running else { continue };
        let view = running.node.view().await;
        let streams: u32 = view
            .pools
            .values()
            .flat_map(|pool| &pool.engines)
            .map(|engine| engine.streams)
            .sum();
        if streams > 0 {
            return at;
        }
    }
    0
}
