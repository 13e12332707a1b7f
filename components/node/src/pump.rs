//! Carries one answer from its engine to its caller: each token once, in order, from one generation.

use crate::chat::{NotStarted, Started, Wanted, begin, lost_before_first, probe, seal_of};
use crate::desk::Desk;
use crate::quarantine::{TargetRun, run_broke, served};
use crate::shared::{Shared, lock};
use crate::timing::Timing;
use callers::{CallerEvent, StreamFailure};
use engines::{EngineEvent, EngineStream, ResumeError, StreamError};
use prelude::RunState;
use settings::ResolvedAccount;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Tries to take a stream up again at its engine.
const RESUMES_MAX: u32 = 4;
/// Wait before the second try; it doubles.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// An answer that is being carried.
pub(crate) struct Run {
    pub shared: Arc<Shared>,
    pub desk: Arc<Desk>,
    /// What was asked for; none where the stream was taken up from another box.
    pub wanted: Option<Wanted>,
    pub account: Arc<ResolvedAccount>,
    pub started: Started,
    pub timing: Timing,
    /// Chunks that were delivered, by this or an earlier box.
    pub delivered: u64,
}

/// How the carrying ended.
enum Ended {
    Whole,
    CallerAway,
    Failed(StreamFailure),
}

/// What happened next.
enum Next {
    Event(EngineEvent),
    Broken(StreamError),
    CallerAway,
    Word,
}

impl Run {
    pub fn seal(&self) -> String {
        let started = &self.started;
        let model = self.desk.pool.model;
        seal_of(
            &self.shared,
            self.account.id,
            model,
            started.endpoint,
            started.generation,
        )
    }

    fn generation_name(&self) -> String {
        self.started.generation.simple().to_string()
    }
}

/// Carries an answer to its end.
pub(crate) async fn pump(mut run: Run, events: mpsc::Sender<CallerEvent>) {
    lock(&run.shared.targets).opened(run.started.endpoint.key.id);
    let ended = carry(&mut run, &events).await;
    lock(&run.shared.targets).closed(run.started.endpoint.key.id);
    let target = Some(run.started.endpoint.key.id);
    let incomplete = matches!(ended, Ended::Failed(_));
    run.shared
        .record(&run.timing.sample(target, false, incomplete), &run.account);
    match ended {
        Ended::Whole => {
            run.started.permit.finish();
            if let Some(wanted) = &run.wanted {
                served(&run.shared, wanted.request);
            }
            let _ = events.send(CallerEvent::Done).await;
        }
        Ended::Failed(failure) => {
            slog::warn!(run.shared.log, "an answer ended early";
                "target" => run.shared.target_name(run.started.endpoint.key.id),
                "delivered" => failure.delivered, "why" => &failure.message);
            cancel(&run).await;
            drop(run.started);
            let _ = events.send(CallerEvent::Failed(failure)).await;
        }
        Ended::CallerAway => outlive_caller(run).await,
    }
}

async fn carry(run: &mut Run, events: &mpsc::Sender<CallerEvent>) -> Ended {
    let mut words = run.shared.changes.subscribe();
    loop {
        let next = tokio::select! {
            biased;
            event = run.started.stream.next() => match event {
                Ok(event) => Next::Event(event),
                Err(error) => Next::Broken(error),
            },
            () = events.closed() => Next::CallerAway,
            changed = words.changed() => match changed {
                Ok(()) => Next::Word,
                Err(_) => Next::CallerAway,
            },
        };
        let recovered = match next {
            Next::Event(EngineEvent::Chunk { index, data }) => {
                run.timing.chunk();
                run.started.permit.add_token();
                run.delivered = index + 1;
                let sent = events.send(CallerEvent::Chunk { index, data }).await;
                if sent.is_err() {
                    return Ended::CallerAway;
                }
                continue;
            }
            Next::Event(EngineEvent::Done) => return Ended::Whole,
            Next::CallerAway => return Ended::CallerAway,
            Next::Word if !lock(&run.shared.targets).is_gone(run.started.endpoint.key) => continue,
            // The word may be wrong: the resume is the probe.
            Next::Word => recover(run, events, "the engine is said to be dead").await,
            Next::Broken(error) => recover(run, events, &error.to_string()).await,
        };
        if let Err(ended) = recovered {
            return ended;
        }
    }
}

/// Takes the stream up again at its engine, or, where nothing was delivered yet, starts it elsewhere.
async fn recover(
    run: &mut Run,
    events: &mpsc::Sender<CallerEvent>,
    why: &str,
) -> Result<(), Ended> {
    let resumed = resume(run).await;
    if resumed.is_none() {
        broke(run).await;
    }
    match resumed {
        Some(stream) => {
            metrics::counter!("shuntpier_resumes_total").increment(1);
            run.started.stream = stream;
            Ok(())
        }
        None if run.delivered > 0 => Err(Ended::Failed(StreamFailure {
            run: RunState::Incomplete,
            message: format!(
                "the engine was lost after {} chunks ({why}); the answer is not whole",
                run.delivered
            ),
            delivered: run.delivered,
            retry_after_ms: Some(0),
        })),
        None => restart(run, events, why).await,
    }
}

/// Notes that the generation did not come to its end at its engine.
async fn broke(run: &Run) {
    let Some(wanted) = &run.wanted else {
        return;
    };
    let started = &run.started;
    let at_engine = TargetRun {
        request: wanted.request,
        target: started.endpoint.key,
        address: started.endpoint.address,
        began_ms: started.began_ms,
    };
    run_broke(&run.shared, at_engine).await;
}

async fn resume(run: &Run) -> Option<EngineStream> {
    let name = run.generation_name();
    let mut pause = RESUME_PAUSE;
    for attempt in 0..RESUMES_MAX {
        if attempt > 0 {
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        let next_index = run.delivered;
        let engines = &run.shared.engines;
        match engines
            .resume(run.started.endpoint, &name, next_index)
            .await
        {
            Ok(stream) => return Some(stream),
            Err(ResumeError::Unknown) => return None,
            Err(ResumeError::NotReached(_)) => {
                probe(&run.shared, run.started.endpoint).await;
                if lock(&run.shared.targets).is_gone(run.started.endpoint.key) {
                    return None;
                }
            }
        }
    }
    None
}

async fn restart(
    run: &mut Run,
    events: &mpsc::Sender<CallerEvent>,
    why: &str,
) -> Result<(), Ended> {
    let failed = |message: String, retry_after_ms| {
        Ended::Failed(StreamFailure {
            run: RunState::Incomplete,
            message,
            delivered: 0,
            retry_after_ms,
        })
    };
    let Some(wanted) = run.wanted.clone() else {
        return Err(failed(format!("the engine was lost: {why}"), Some(0)));
    };
    cancel(run).await;
    if !run.desk.take_retry() {
        return Err(failed(
            "the engine was lost; too many retries now".into(),
            Some(1000),
        ));
    }
    let avoid = Some(run.started.endpoint.key.id);
    let started = match begin(&run.shared, &run.desk, &wanted, avoid).await {
        Ok(started) => started,
        Err(NotStarted::Refused(refusal) | NotStarted::MayHaveBegun(refusal)) => {
            return Err(Ended::Failed(lost_before_first(refusal)));
        }
        Err(NotStarted::Invalid(message)) => return Err(failed(message, None)),
    };
    lock(&run.shared.targets).closed(run.started.endpoint.key.id);
    lock(&run.shared.targets).opened(started.endpoint.key.id);
    run.started = started;
    let began = CallerEvent::Began { seal: run.seal() };
    events.send(began).await.map_err(|_| Ended::CallerAway)
}

/// Cancels the generation, unless another box serves its caller now.
async fn cancel(run: &Run) {
    if run
        .shared
        .taken_over
        .contains(run.started.generation.as_u128())
    {
        return;
    }
    let name = run.generation_name();
    run.shared.engines.cancel(run.started.endpoint, &name).await;
}

/// Keeps a generation for a while after its caller went away, then cancels it, unless another box took
/// it over meanwhile.
async fn outlive_caller(run: Run) {
    let generation = run.started.generation.as_u128();
    let grace = Duration::from_millis(run.shared.limits().resume_grace_ms);
    let taken = run.shared.taken_over.wait(generation);
    let _ = tokio::time::timeout(grace, taken).await;
    cancel(&run).await;
}
