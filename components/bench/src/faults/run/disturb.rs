//! What is done to boxes and engines while a run goes on: kills, pauses, stops, steps of clocks.

use super::{BOXES, ENGINES, World, lock};
use crate::faults::history::{Left, Stopped};
use standins::StandinEngine;
use std::time::Duration;

impl World {
    /// Does something with an engine, if it runs.
    pub fn with_engine(&self, victim: usize, act: impl FnOnce(&StandinEngine)) {
        let engine = lock(&self.engines[victim % ENGINES]);
        if let Some(engine) = engine.as_ref() {
            act(engine);
        }
    }

    /// Kills an engine, and starts it again after a while, in a new life.
    pub async fn kill_engine(&self, victim: usize, last: Duration) {
        let at = victim % ENGINES;
        let Some(engine) = lock(&self.engines[at]).take() else {
            return;
        };
        lock(&self.history).starts.extend(engine.starts());
        let _ = tokio::task::spawn_blocking(move || engine.kill()).await;
        tokio::time::sleep(last).await;
        let mut settings = self.trial.plan.engines[at].clone();
        settings.address = self.engine_addresses[at];
        if let Ok(engine) = StandinEngine::start(settings) {
            *lock(&self.engines[at]) = Some(engine);
        }
    }

    /// Has an engine say that it leaves. The last one stays.
    pub fn engine_leaves(&self, victim: usize) {
        let at = victim % (ENGINES - 1);
        let engine = lock(&self.engines[at]);
        let Some(engine) = engine
            .as_ref()
            .filter(|engine| engine.left_at_ms().is_none())
        else {
            return;
        };
        engine.leave();
        lock(&self.history).left.push(Left {
            at_ms: engine.left_at_ms().unwrap_or(0),
            starts: Vec::new(),
        });
    }

    /// Kills a box, and starts another in its place after a while.
    pub async fn kill_box(&self, victim: usize, last: Duration) {
        let at = victim % BOXES as usize;
        let Some(killed) = self.boxes[at].lock().await.take() else {
            return;
        };
        let callers = killed.addresses().callers;
        lock(&self.history).broken_boxes.push(callers);
        killed.kill().await;
        // The balancer notices after a while.
        tokio::time::sleep(last / 2).await;
        self.set_addresses(at, None);
        tokio::time::sleep(last / 2).await;
        self.replace(at).await;
    }

    /// Lets a box stand still for a while.
    pub async fn pause_box(&self, victim: usize, last: Duration) {
        let held = self.boxes[victim % BOXES as usize].lock().await;
        if let Some(paused) = held.as_ref() {
            lock(&self.history)
                .broken_boxes
                .push(paused.addresses().callers);
            paused.pause(last).await;
        }
    }

    /// Stops a box by plan, and starts another in its place.
    pub async fn stop_box(&self, victim: usize, limit: Duration) {
        let at = victim % BOXES as usize;
        let Some(stopped) = self.boxes[at].lock().await.take() else {
            return;
        };
        let callers = stopped.addresses().callers;
        // The balancer sees that it is not ready before it stops taking requests.
        let stopping = stopped.stop(limit);
        let unlisted = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.set_addresses(at, None);
        };
        let (ended, ()) = tokio::join!(stopping, unlisted);
        lock(&self.history).stopped.push(Stopped { callers, ended });
        self.replace(at).await;
    }

    /// Has the clock of a box step.
    pub async fn step_clock(&self, victim: usize, ms: i64) {
        if let Some(stepped) = self.boxes[victim % BOXES as usize].lock().await.as_ref() {
            stepped.step_clock(ms);
        }
    }

    async fn replace(&self, at: usize) {
        if let Err(error) = self.start_box(at).await {
            eprintln!("seed {}: {error}", self.seed);
        }
        self.publish().await;
    }
}
