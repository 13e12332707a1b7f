//! A call that may not be repeated runs at most once, and what its caller is told is true.

mod common;

use common::{trial, wait_for};
use futures::future::join_all;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trial::{CallOutcome, Caller, Trial, TrialPlan};

fn runs(trial: &Trial, key: &str) -> usize {
    let runs = trial.workers.iter().flat_map(|worker| worker.runs());
    runs.filter(|run| run.key.as_deref() == Some(key)).count()
}

async fn call(trial: &Trial, at: usize, key: &str, body: &str) -> CallOutcome {
    let callers = trial.callers()[at];
    let caller = Caller::new();
    caller
        .call(callers, "redemption", "visitor", key, body)
        .await
        .outcome
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_however_often_and_wherever_it_is_asked() {
    let plan = TrialPlan {
        boxes: 4,
        ..TrialPlan::default()
    };
    let trial = trial(plan).await;
    let asked = (0..16).map(|number| call(&trial, number % 4, "order", "body"));
    let outcomes = join_all(asked).await;
    assert_eq!(runs(&trial, "order"), 1);
    let first = &outcomes[0];
    assert!(matches!(first, CallOutcome::Done(_)), "{first:?}");
    assert!(
        outcomes.iter().all(|outcome| outcome == first),
        "{outcomes:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn needs_a_key() {
    let trial = trial(TrialPlan::default()).await;
    let url = format!("http://{}/services/redemption/run", trial.callers()[0]);
    let request = reqwest::Client::new()
        .post(url)
        .bearer_auth("visitor")
        .body("x");
    assert_eq!(request.send().await.unwrap().status(), 400);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_key_that_belongs_to_another_request() {
    let trial = trial(TrialPlan::default()).await;
    call(&trial, 0, "order", "body").await;
    for at in 0..2 {
        let outcome = call(&trial, at, "order", "another").await;
        let CallOutcome::NotRun(error) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(error.code, "key_reused");
    }
    assert!(matches!(
        call(&trial, 1, "order", "body").await,
        CallOutcome::Done(_)
    ));
    assert_eq!(runs(&trial, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn is_not_run_while_the_store_is_down() {
    let mut plan = TrialPlan::default();
    plan.accounts[0].limits.call_deadline_ms = Some(1500);
    let trial = trial(plan).await;
    trial.store.faults().down.store(true, Ordering::Relaxed);
    let outcome = call(&trial, 0, "order", "body").await;
    assert!(matches!(outcome, CallOutcome::NotRun(_)), "{outcome:?}");
    assert_eq!(runs(&trial, "order"), 0);
    trial.store.faults().down.store(false, Ordering::Relaxed);
    let again = call(&trial, 1, "order", "body").await;
    assert!(matches!(again, CallOutcome::Done(_)), "{again:?}");
    assert_eq!(runs(&trial, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_once_when_the_answers_of_the_store_are_lost() {
    let trial = trial(TrialPlan::default()).await;
    trial.store.faults().lose_every.store(2, Ordering::Relaxed);
    for number in 0..20 {
        let key = format!("order-{number}");
        let outcome = call(&trial, number % 2, &key, "body").await;
        assert!(matches!(outcome, CallOutcome::Done(_)), "{outcome:?}");
        assert_eq!(runs(&trial, &key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn is_unknown_and_not_run_again_when_the_claimant_dies() {
    let plan = TrialPlan {
        work: Duration::from_secs(2),
        ..TrialPlan::default()
    };
    let mut trial = trial(plan).await;
    let callers = trial.callers()[0];
    let lost = tokio::spawn(async move {
        Caller::new()
            .call(callers, "redemption", "visitor", "order", "body")
            .await
            .outcome
    });
    wait_for("the run", async || runs(&trial, "order") == 1).await;
    trial.kill_box(0);
    assert_eq!(lost.await.unwrap(), CallOutcome::NoAnswer);
    let outcome = call(&trial, 0, "order", "body").await;
    assert!(matches!(outcome, CallOutcome::Unknown(_)), "{outcome:?}");
    assert_eq!(runs(&trial, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn is_unknown_when_the_answer_of_the_service_is_lost() {
    let trial = trial(TrialPlan::default()).await;
    trial
        .workers
        .iter()
        .for_each(|worker| worker.lose_answers(true));
    for at in [0, 1, 0] {
        let outcome = call(&trial, at, "order", "body").await;
        assert!(matches!(outcome, CallOutcome::Unknown(_)), "{outcome:?}");
    }
    assert_eq!(runs(&trial, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn finds_the_outcome_after_the_claimant_was_replaced() {
    let mut trial = trial(TrialPlan::default()).await;
    let first = call(&trial, 0, "order", "body").await;
    let claim = "/shuntpier/claims/";
    let writes = |trial: &Trial| {
        let history = trial.store.history();
        history
            .iter()
            .filter(|(_, key, _)| key.starts_with(claim))
            .count()
    };
    wait_for("the outcome to be recorded", async || writes(&trial) == 2).await;
    trial.kill_box(0);
    assert_eq!(call(&trial, 0, "order", "body").await, first);
    assert_eq!(runs(&trial, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_asks_for_a_pause_gets_no_calls_from_that_box_until_it_is_over() {
    let trial = trial(TrialPlan::default()).await;
    trial.workers[0].shed(Duration::from_secs(60));
    for number in 0..20 {
        call(&trial, 0, &format!("order-{number}"), "body").await;
    }
    assert!(trial.workers[0].turned_away() <= 1);
    trial.workers[1].shed(Duration::from_secs(60));
    call(&trial, 0, "before-last", "body").await;
    let last = call(&trial, 0, "last", "body").await;
    let CallOutcome::NotRun(error) = last else {
        panic!("{last:?}");
    };
    let retry_after_ms = error.retry_after_ms.unwrap();
    assert!(
        (1_000..=66_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    assert!(trial.workers[1].turned_away() <= 1);
}
