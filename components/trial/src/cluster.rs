//! A trial that runs: stand-ins and boxes, which can be killed, stopped, paused and started again.

use crate::plan::{ANY_PORT, DATA_CENTRE, PARTNER, REGION, TrialPlan, engine_name};
use node::{Addresses, Node};
use settings::{BoxFile, BoxIdentity, Branch, KeySettings, PlatformSettings};
use standins::{BoxEntry, BoxList, Host, HostError, StandinEngine, StandinService, StandinStore};
use std::net::SocketAddr;
use std::time::Duration;
use store::SETTINGS_PREFIX;
use thiserror::Error;

/// Why a trial did not start.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A runtime or address could not be had.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A box did not start.
    #[error(transparent)]
    Box(#[from] node::StartError),
    /// A box did not get ready in time.
    #[error("the box at {0} does not get ready")]
    NotReady(SocketAddr),
}

/// An entry box of a trial.
pub struct TrialBox {
    /// Its number.
    pub id: u32,
    /// The runtime that it runs on.
    pub host: Host,
    /// The box.
    pub node: Node,
    /// Where it listens.
    pub addresses: Addresses,
}

/// A trial that runs.
pub struct Trial {
    /// What it consists of.
    pub plan: TrialPlan,
    /// Engines; none in the place of one that was killed.
    pub engines: Vec<Option<StandinEngine>>,
    /// Workers.
    pub workers: Vec<StandinService>,
    /// The key-value service.
    pub store: StandinStore,
    /// The box list.
    pub list: BoxList,
    /// Boxes; none in the place of one that was killed or stopped.
    pub boxes: Vec<Option<TrialBox>>,
}

const READY_TRIES: u32 = 200;
const READY_PAUSE: Duration = Duration::from_millis(25);
const BOX_LIST_INTERVAL_MS: u64 = 200;

impl Trial {
    /// Starts everything; returns once all boxes are ready.
    ///
    /// # Errors
    /// [`TrialError`].
    pub async fn start(plan: TrialPlan) -> Result<Self, TrialError> {
        let mut engines = Vec::new();
        for settings in &plan.engines {
            engines.push(Some(StandinEngine::start(settings.clone())?));
        }
        let mut workers = Vec::new();
        for _ in 0..plan.workers {
            workers.push(StandinService::start(ANY_PORT, plan.work)?);
        }
        let store = StandinStore::start(ANY_PORT)?;
        let list = BoxList::start(ANY_PORT, plan.box_list_lag_ms)?;
        let mut trial = Self {
            plan,
            engines,
            workers,
            store,
            list,
            boxes: Vec::new(),
        };
        trial.seed(&trial.branch());
        for at in 0..trial.plan.boxes as usize {
            let started = trial.new_box(at)?;
            trial.boxes.push(Some(started));
        }
        trial.publish_boxes();
        trial.wait_until_ready().await?;
        Ok(trial)
    }

    /// The branch of the settings as the trial began with it.
    pub fn branch(&self) -> Branch {
        let engine = |engine: &Option<StandinEngine>| {
            engine.as_ref().map_or(ANY_PORT, StandinEngine::address)
        };
        let engines: Vec<SocketAddr> = self.engines.iter().map(engine).collect();
        let workers: Vec<SocketAddr> = self.workers.iter().map(StandinService::address).collect();
        self.plan.branch(&engines, &workers)
    }

    /// Writes a branch into the store, without a call.
    pub fn seed(&self, branch: &Branch) {
        // JSON is YAML too.
        let text = serde_json::to_vec_pretty(branch).unwrap_or_default();
        self.store
            .seed(&format!("{SETTINGS_PREFIX}{PARTNER}"), &text);
    }

    /// Name of the partner whose branch the trial uses.
    pub fn partner(&self) -> &'static str {
        PARTNER
    }

    /// Name of an engine in the settings.
    pub fn engine_name(&self, at: usize) -> String {
        engine_name(at)
    }

    /// Addresses for callers of the boxes that run.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.boxes
            .iter()
            .flatten()
            .map(|running| running.addresses.callers)
            .collect()
    }

    /// The settings file of a box.
    pub fn box_file(&self, id: u32) -> BoxFile {
        BoxFile {
            identity: BoxIdentity {
                id,
                data_centre: DATA_CENTRE.into(),
                region: REGION.into(),
                callers_address: ANY_PORT,
                peers_address: ANY_PORT,
                operators_address: ANY_PORT,
            },
            platform: PlatformSettings {
                key_value_urls: vec![self.store.url()],
                box_list_url: Some(format!("http://{}", self.list.address())),
                box_list_interval_ms: Some(BOX_LIST_INTERVAL_MS),
            },
            keys: KeySettings {
                peer: vec!["trial-peer-key".into()],
                resume: vec!["trial-resume-key".into()],
            },
            limits: self.plan.limits.clone(),
            branches: Vec::new(),
        }
    }

    fn new_box(&self, at: usize) -> Result<TrialBox, TrialError> {
        let id = at as u32 + 1;
        let (file, log) = (self.box_file(id), self.plan.log.clone());
        let (host, started) = Host::start("entry-box", move || node::start(file, log))?;
        let (node, addresses) = started?;
        Ok(TrialBox {
            id,
            host,
            node,
            addresses,
        })
    }

    /// Shows the boxes that run, and no others, in the box list.
    pub fn publish_boxes(&self) {
        let entry = |running: &TrialBox| {
            BoxEntry::entry_box(running.id, running.addresses.peers, DATA_CENTRE, "live")
        };
        self.list
            .set(self.boxes.iter().flatten().map(entry).collect());
    }

    /// Waits until every box takes requests and sees the others.
    ///
    /// # Errors
    /// [`TrialError::NotReady`].
    pub async fn wait_until_ready(&self) -> Result<(), TrialError> {
        let running = self.boxes.iter().flatten().count();
        for trial_box in self.boxes.iter().flatten() {
            let mut tries = 0;
            while !is_ready(trial_box.addresses.callers).await
                || trial_box.node.usable_boxes().len() < running
            {
                tries += 1;
                if tries > READY_TRIES {
                    return Err(TrialError::NotReady(trial_box.addresses.callers));
                }
                tokio::time::sleep(READY_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Ends a box as a crash would.
    pub fn kill_box(&mut self, at: usize) {
        if let Some(killed) = self.boxes[at].take() {
            killed.host.kill();
        }
    }

    /// Starts a box in the place of one that was ended, and shows it in the list.
    ///
    /// # Errors
    /// [`TrialError`].
    pub fn start_box(&mut self, at: usize) -> Result<(), TrialError> {
        let started = self.new_box(at)?;
        self.boxes[at] = Some(started);
        self.publish_boxes();
        Ok(())
    }

    /// Takes a box out of the trial, for a planned stop beside what goes on.
    pub fn take_box(&mut self, at: usize) -> Option<TrialBox> {
        self.boxes[at].take()
    }

    /// Ends an engine as a crash would.
    pub fn kill_engine(&mut self, at: usize) {
        if let Some(killed) = self.engines[at].take() {
            killed.kill();
        }
    }

    /// Starts an engine at the address of one that was killed.
    ///
    /// # Errors
    /// [`TrialError`], also where the address is not free.
    pub fn restart_engine(&mut self, at: usize, address: SocketAddr) -> Result<(), TrialError> {
        let mut settings = self.plan.engines[at].clone();
        settings.address = address;
        self.engines[at] = Some(StandinEngine::start(settings)?);
        Ok(())
    }

    /// Control bytes and calls of all boxes that run, so far.
    pub fn control_traffic(&self) -> (u64, u64) {
        let of_box = self
            .boxes
            .iter()
            .flatten()
            .map(|running| running.node.control_traffic());
        of_box.fold((0, 0), |sum, part| (sum.0 + part.0, sum.1 + part.1))
    }
}

async fn is_ready(callers: SocketAddr) -> bool {
    let asked = reqwest::get(format!("http://{callers}/readyz")).await;
    asked.is_ok_and(|answer| answer.status().is_success())
}
