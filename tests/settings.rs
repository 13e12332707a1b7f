//! Accepted settings are in force everywhere within seconds and never revert.

mod common;

use common::{trial, wait_for};
use futures::future::join_all;
use operators::{Console, NodeView};
use std::sync::atomic::Ordering;
use store::{ApplyOutcome, Etcd, HistoryEntry, apply_branch, read_branches, read_history};
use trial::{Trial, TrialPlan};

fn entry(id: &str, text: String) -> HistoryEntry {
    HistoryEntry {
        id: id.into(),
        author: "test".into(),
        at_unix_ms: 0,
        replaced_revision: 0,
        text,
    }
}

/// The trial's branch with another weight.
fn changed(trial: &Trial, weight: f64) -> String {
    let mut branch = trial.branch();
    branch.weight = weight;
    serde_json::to_string(&branch).unwrap()
}

async fn revision(trial: &Trial) -> u64 {
    let store = Etcd::new(&[trial.store.url()]).unwrap();
    read_branches(&store).await.unwrap().0[0].revision
}

async fn views(trial: &Trial) -> Vec<NodeView> {
    join_all(
        trial
            .boxes
            .iter()
            .flatten()
            .map(|running| running.node.view()),
    )
    .await
}

async fn all_have(trial: &Trial, revision: u64) -> bool {
    let partner = trial.partner();
    let views = views(trial).await;
    views
        .iter()
        .all(|view| view.revisions.get(partner) == Some(&revision))
}

async fn apply(trial: &Trial, expected: u64, id: &str, weight: f64) -> ApplyOutcome {
    let store = Etcd::new(&[trial.store.url()]).unwrap();
    let entry = entry(id, changed(trial, weight));
    apply_branch(&store, trial.partner(), expected, &entry)
        .await
        .unwrap()
}

fn accepted(outcome: &ApplyOutcome) -> Option<u64> {
    match outcome {
        ApplyOutcome::Accepted { revision } => Some(*revision),
        ApplyOutcome::Conflict { .. } => None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reaches_every_box() {
    let plan = TrialPlan {
        boxes: 6,
        ..TrialPlan::default()
    };
    let trial = trial(plan).await;
    let before = revision(&trial).await;
    let outcome = apply(&trial, before, "a", 2.0).await;
    let now = accepted(&outcome).unwrap();
    wait_for("the change", async || all_have(&trial, now).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_one_of_two_operators_who_race() {
    let trial = trial(TrialPlan::default()).await;
    let before = revision(&trial).await;
    let ids = ["a", "b", "c", "d"];
    let outcomes = join_all(ids.map(|id| apply(&trial, before, id, 2.0))).await;
    assert_eq!(outcomes.iter().filter_map(accepted).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn knows_its_own_change_after_a_lost_answer() {
    let trial = trial(TrialPlan::default()).await;
    trial.store.faults().lose_every.store(1, Ordering::Relaxed);
    let before = revision(&trial).await;
    let outcome = apply(&trial, before, "a", 2.0).await;
    trial.store.faults().lose_every.store(0, Ordering::Relaxed);
    let now = revision(&trial).await;
    assert_eq!(accepted(&outcome), Some(now));
    let store = Etcd::new(&[trial.store.url()]).unwrap();
    assert_eq!(
        read_history(&store, trial.partner()).await.unwrap().len(),
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reaches_a_box_that_starts_while_the_store_is_down() {
    let mut trial = trial(TrialPlan::default()).await;
    let before = revision(&trial).await;
    let outcome = apply(&trial, before, "a", 2.0).await;
    let now = accepted(&outcome).unwrap();
    wait_for("the change", async || all_have(&trial, now).await).await;
    trial.store.faults().down.store(true, Ordering::Relaxed);
    trial.kill_box(1);
    trial.start_box(1).unwrap();
    wait_for("the new box", async || all_have(&trial, now).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn catches_up_after_the_watches_were_dropped() {
    let trial = trial(TrialPlan::default()).await;
    for number in 0..5 {
        trial.store.drop_watches();
        let before = revision(&trial).await;
        let outcome = apply(&trial, before, &format!("id-{number}"), 2.0).await;
        let now = accepted(&outcome).unwrap();
        wait_for("the change", async || all_have(&trial, now).await).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn holds_few_watches_however_many_boxes_there_are() {
    let plan = TrialPlan {
        boxes: 8,
        ..TrialPlan::default()
    };
    let trial = trial(plan).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let watches = trial.store.faults().watches.load(Ordering::Relaxed);
    assert!(watches <= 16, "{watches} watches were begun");
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_a_target_to_leave_under_a_fence() {
    let trial = trial(TrialPlan::default()).await;
    let mut branch = trial.branch();
    let name = trial.engine_name(0);
    branch.targets.get_mut(&name).unwrap().leave = true;
    trial.seed(&branch);
    let address = trial.engines[0].as_ref().unwrap().address();
    let leaves = async || {
        let url = format!("http://{address}/metrics");
        let text = reqwest::get(url).await.unwrap().text().await.unwrap();
        text.contains("engine_leaving 1")
    };
    wait_for("the order", leaves).await;
    let client = reqwest::Client::new();
    let old = serde_json::json!({"action": "serve", "fence": 1});
    let answer = client
        .post(format!("http://{address}/orders"))
        .json(&old)
        .send()
        .await;
    assert_eq!(answer.unwrap().status(), 412);
}
