//! One chat ended each engine that began it: the box took the lost engine for the fault and started the chat at the next one,
//! up to four within one request, and the caller asked again. Nothing kept that it was the same chat, neither in the box nor
//! between boxes.

mod common;

use common::{chat_of, trial, wait_for};
use standins::EngineSettings;
use std::time::Duration;
use trial::{Caller, ChatEnd, ChatResult, Trial, TrialPlan};

const FATAL: &str = "fatal";
/// Engines that may end under one chat before it is withheld, and its tries that may be on their way then.
const ENDS_MOST: usize = 3;
const LATE_TRIES_MOST: usize = 3;
const TRIES: usize = 6;
/// How long an engine that ended is away.
const AWAY: Duration = Duration::from_millis(300);
const LOOK_EACH: Duration = Duration::from_millis(5);

/// Engines that end when they begin the fatal chat, and are started again after a while.
struct Crashing {
    trial: Trial,
    ended: usize,
}

impl Crashing {
    async fn start() -> Self {
        let plan = TrialPlan {
            engines: vec![EngineSettings::default(); 4],
            ..TrialPlan::default()
        };
        Self {
            trial: trial(plan).await,
            ended: 0,
        }
    }

    /// Ends the engines that began the fatal chat, and starts them again.
    async fn end_those_that_began(&mut self) {
        for at in 0..self.trial.engines.len() {
            let Some(engine) = &self.trial.engines[at] else {
                continue;
            };
            if engine.starts().iter().any(|start| start.marker == FATAL) {
                let address = engine.address();
                self.trial.kill_engine(at);
                self.ended += 1;
                tokio::time::sleep(AWAY).await;
                self.trial.restart_engine(at, address).unwrap();
            }
        }
    }

    /// Asks for the fatal chat through a box, and ends each engine that begins it.
    async fn ask(&mut self, at: usize) -> ChatResult {
        let spec = chat_of(&self.trial, FATAL, 2_000);
        let boxes = vec![self.trial.callers()[at]];
        let answer = tokio::spawn(async move { Caller::new().chat(&boxes, &spec).await });
        while !answer.is_finished() {
            self.end_those_that_began().await;
            tokio::time::sleep(LOOK_EACH).await;
        }
        answer.await.unwrap()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_under_which_engines_end_is_started_no_more() {
    let mut crashing = Crashing::start().await;
    let boxes = crashing.trial.callers().len();
    for try_at in 0..TRIES {
        crashing.ask(try_at % boxes).await;
    }
    let ended = crashing.ended;
    assert!(
        ended <= ENDS_MOST + LATE_TRIES_MOST,
        "{ended} engines ended under one chat"
    );
    let last = crashing.ask(0).await;
    assert_eq!((last.chunks, crashing.ended), (0, ended));
    let other = chat_of(&crashing.trial, "other", 5);
    let boxes = crashing.trial.callers();
    wait_for("another chat is whole", async || {
        let answer = Caller::new().chat(&boxes, &other).await;
        (answer.end, answer.chunks) == (ChatEnd::Whole, 5)
    })
    .await;
}
