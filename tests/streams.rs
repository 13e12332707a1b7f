//! Answers come whole, once, in order and from one generation, whatever breaks on the way.

mod common;

use common::{begin_chat, chat_of, engine_of, generations_of, trial, wait_for};
use prelude::RunState;
use standins::EngineSettings;
use std::time::Duration;
use trial::{Caller, ChatEnd, TrialPlan};

fn plan(engines: usize) -> TrialPlan {
    TrialPlan {
        engines: vec![EngineSettings::default(); engines],
        ..TrialPlan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_an_answer() {
    let trial = trial(plan(1)).await;
    let spec = chat_of(&trial, "one", 30);
    let answer = Caller::new().chat(&trial.callers(), &spec).await;
    assert_eq!((answer.end, answer.chunks), (ChatEnd::Whole, 30));
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_whole_without_a_stream() {
    let trial = trial(plan(1)).await;
    let body = serde_json::json!({
        "model": trial.plan.model,
        "messages": [{"role": "user", "content": "hello whole"}],
        "metadata": {"output_tokens": "3"},
    });
    let url = format!("http://{}/v1/chat/completions", trial.callers()[0]);
    let request = reqwest::Client::new()
        .post(url)
        .bearer_auth("visitor")
        .json(&body);
    let answer: serde_json::Value = request.send().await.unwrap().json().await.unwrap();
    let content = answer["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(content.split_whitespace().count(), 3);
    assert!(content.starts_with("whole."));
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_an_unknown_key_and_a_wrong_body() {
    let trial = trial(plan(1)).await;
    let url = format!("http://{}/v1/chat/completions", trial.callers()[0]);
    let post = |key: &str, body: &'static str| {
        reqwest::Client::new()
            .post(&url)
            .bearer_auth(key)
            .body(body)
            .send()
    };
    assert_eq!(post("nobody", "{}").await.unwrap().status(), 401);
    let wrong = post("visitor", "{").await.unwrap();
    assert_eq!(wrong.status(), 400);
    let body: serde_json::Value = wrong.json().await.unwrap();
    assert_eq!(body["error"]["run"], "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn resumes_at_the_engine_when_the_link_breaks() {
    let trial = trial(plan(1)).await;
    let spec = chat_of(&trial, "link", 200);
    let answer = begin_chat(&trial, &spec);
    wait_for("a start", async || generations_of(&trial, "link") == 1).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        trial.engines[0].as_ref().unwrap().drop_links();
    }
    let answer = answer.await.unwrap();
    assert_eq!((answer.end, answer.chunks), (ChatEnd::Whole, 200));
    assert_eq!(generations_of(&trial, "link"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn starts_elsewhere_when_the_engine_dies_before_the_first_token() {
    let mut trial = trial(plan(2)).await;
    for engine in trial.engines.iter().flatten() {
        engine.stall(Duration::from_secs(1));
    }
    let spec = chat_of(&trial, "early", 20);
    let answer = begin_chat(&trial, &spec);
    wait_for("a start", async || engine_of(&trial, "early").is_some()).await;
    let at = engine_of(&trial, "early").unwrap();
    trial.kill_engine(at);
    let answer = answer.await.unwrap();
    assert_eq!((answer.end, answer.chunks), (ChatEnd::Whole, 20));
}

#[tokio::test(flavor = "multi_thread")]
async fn says_so_when_the_engine_dies_after_a_token() {
    let mut trial = trial(plan(2)).await;
    let spec = chat_of(&trial, "late", 2000);
    let answer = begin_chat(&trial, &spec);
    wait_for("a start", async || engine_of(&trial, "late").is_some()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let at = engine_of(&trial, "late").unwrap();
    trial.kill_engine(at);
    let answer = answer.await.unwrap();
    let ChatEnd::Failed(error) = answer.end else {
        panic!("{:?}", answer.end);
    };
    assert_eq!(error.run, RunState::Incomplete);
    assert_eq!(error.delivered_chunks, Some(answer.chunks));
}

#[tokio::test(flavor = "multi_thread")]
async fn goes_on_through_another_box_when_a_box_dies() {
    let mut trial = trial(plan(1)).await;
    let spec = chat_of(&trial, "box", 400);
    let answer = begin_chat(&trial, &spec);
    wait_for("a start", async || engine_of(&trial, "box").is_some()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    trial.kill_box(0);
    let answer = answer.await.unwrap();
    assert_eq!((answer.end, answer.chunks), (ChatEnd::Whole, 400));
    assert!(answer.resumes >= 1);
    assert_eq!(generations_of(&trial, "box"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lets_no_account_read_anothers_stream() {
    let mut plan = plan(1);
    plan.accounts
        .push(trial::TrialAccount::new("other", "owner"));
    let trial = trial(plan).await;
    let url = format!("http://{}/v1/chat/completions", trial.callers()[0]);
    let body = serde_json::json!({
        "model": trial.plan.model,
        "stream": true,
        "messages": [{"role": "user", "content": "secret"}],
        "metadata": {"output_tokens": "400"},
    });
    let client = reqwest::Client::new();
    let mut answer = client
        .post(&url)
        .bearer_auth("visitor")
        .json(&body)
        .send()
        .await
        .unwrap();
    let piece = answer.chunk().await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&piece);
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("id: "))
        .unwrap();
    let resume = |key: &str| {
        client
            .get(&url)
            .bearer_auth(key)
            .header("last-event-id", id)
            .send()
    };
    assert_eq!(resume("other").await.unwrap().status(), 404);
    assert_eq!(resume("visitor").await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_the_generation_when_the_caller_goes_away() {
    let mut plan = plan(1);
    plan.limits.resume_grace_ms = 200;
    let trial = trial(plan).await;
    let spec = chat_of(&trial, "away", 100_000);
    let answer = begin_chat(&trial, &spec);
    let engine = trial.engines[0].as_ref().unwrap();
    wait_for("a start", async || engine.open() == 1).await;
    answer.abort();
    wait_for("the cancel", async || engine.open() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_off_nothing_on_a_planned_stop() {
    let mut trial = trial(plan(1)).await;
    let spec = chat_of(&trial, "stop", 300);
    let answer = begin_chat(&trial, &spec);
    wait_for("a start", async || engine_of(&trial, "stop").is_some()).await;
    let stopped = trial.take_box(0).unwrap();
    stopped.node.stop().await;
    let answer = answer.await.unwrap();
    assert_eq!(
        (answer.end, answer.chunks, answer.resumes),
        (ChatEnd::Whole, 300, 0)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_off_no_request_that_waits_for_its_permit_on_a_planned_stop() {
    let engine = EngineSettings {
        kv_capacity_tokens: 600,
        ..EngineSettings::default()
    };
    let plan = TrialPlan {
        engines: vec![engine],
        ..TrialPlan::default()
    };
    let mut trial = trial(plan).await;
    let long = |marker: &str| {
        let mut spec = chat_of(&trial, marker, 250);
        spec.prompt_tokens = 300;
        spec
    };
    let (first, second) = (long("first"), long("second"));
    let running = begin_chat(&trial, &first);
    wait_for("a start", async || engine_of(&trial, "first").is_some()).await;
    let waiting = begin_chat(&trial, &second);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(engine_of(&trial, "second").is_none());
    let stopped = trial.take_box(0).unwrap();
    stopped.node.stop().await;
    stopped.host.kill();
    for answer in [running.await.unwrap(), waiting.await.unwrap()] {
        assert_eq!((answer.end, answer.chunks), (ChatEnd::Whole, 250));
        assert!(answer.cut_at.is_empty());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gives_a_leaving_engine_no_new_work() {
    let trial = trial(plan(2)).await;
    trial.engines[0].as_ref().unwrap().leave();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = trial.engines[0].as_ref().unwrap().starts().len();
    for number in 0..10 {
        let spec = chat_of(&trial, &format!("leave-{number}"), 3);
        assert!(Caller::new().chat(&trial.callers(), &spec).await.is_whole());
    }
    assert_eq!(trial.engines[0].as_ref().unwrap().starts().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_let_a_slow_reader_hold_another_up() {
    let trial = trial(plan(1)).await;
    let body = serde_json::json!({
        "model": trial.plan.model,
        "stream": true,
        "messages": [{"role": "user", "content": "slow"}],
        "metadata": {"output_tokens": "3000"},
    });
    let url = format!("http://{}/v1/chat/completions", trial.callers()[0]);
    let client = reqwest::Client::new();
    let unread = client
        .post(&url)
        .bearer_auth("visitor")
        .json(&body)
        .send()
        .await
        .unwrap();
    let spec = chat_of(&trial, "fast", 100);
    let answer = Caller::new().chat(&trial.callers(), &spec).await;
    assert!(answer.is_whole());
    drop(unread);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_asks_for_a_pause_gets_no_generations_from_that_box_until_it_is_over() {
    let trial = trial(plan(2)).await;
    let engines: Vec<_> = trial.engines.iter().flatten().collect();
    let (sheds, other) = (engines[0], engines[1]);
    sheds.shed(Duration::from_secs(60));
    // The other one has less room: without a pause the next goes to the first again.
    other.set_foreign_tokens(8_000);
    let first_box = &trial.callers()[..1];
    let mut turned_away = Vec::new();
    for number in 0..20 {
        let spec = chat_of(&trial, &format!("chat-{number}"), 3);
        let answer = Caller::new().chat(first_box, &spec).await;
        assert_eq!(answer.end, ChatEnd::Whole);
        turned_away.push(sheds.turned_away());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(sheds.turned_away() <= 1, "{turned_away:?}");
}
