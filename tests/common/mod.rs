//! What the tests of the whole path share.

use std::future::Future;
use std::time::{Duration, Instant};
use trial::{Caller, ChatResult, ChatSpec, Trial, TrialPlan};

/// Longest wait for something that must come about.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

pub async fn trial(plan: TrialPlan) -> Trial {
    Trial::start(plan).await.expect("the trial starts")
}

#[allow(dead_code)]
pub fn chat_of(trial: &Trial, marker: &str, output_tokens: u32) -> ChatSpec {
    ChatSpec {
        model: trial.plan.model.clone(),
        key: trial.plan.accounts[0].name.clone(),
        marker: marker.into(),
        prompt_tokens: 20,
        output_tokens: Some(output_tokens),
        ..ChatSpec::default()
    }
}

/// Starts a chat beside the test.
#[allow(dead_code)]
pub fn begin_chat(trial: &Trial, spec: &ChatSpec) -> tokio::task::JoinHandle<ChatResult> {
    let (boxes, spec) = (trial.callers(), spec.clone());
    tokio::spawn(async move { Caller::new().chat(&boxes, &spec).await })
}

/// Waits until `holds`.
pub async fn wait_for<F, Fut>(what: &str, mut holds: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < WAIT_LIMIT, "waited too long: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The engine that runs the request with this marker.
#[allow(dead_code)]
pub fn engine_of(trial: &Trial, marker: &str) -> Option<usize> {
    trial.engines.iter().position(|engine| {
        let starts = engine
            .as_ref()
            .map(|engine| engine.starts())
            .unwrap_or_default();
        starts.iter().any(|start| start.marker == marker)
    })
}

/// Generations that were begun for this marker.
#[allow(dead_code)]
pub fn generations_of(trial: &Trial, marker: &str) -> usize {
    let starts = trial
        .engines
        .iter()
        .flatten()
        .flat_map(|engine| engine.starts());
    starts.filter(|start| start.marker == marker).count()
}
