//! Boxes as processes: what a stream, a token and a request cost, and what a quiet box costs.

use super::slope::{Slope, Subject};
use super::target;
use crate::faults::view;
use crate::path::load::{Load, hold_streams, run_load};
use crate::path::{ACCOUNT, box_file, engine};
use crate::process::RoleProcess;
use crate::roles::BoxAddresses;
use miette::IntoDiagnostic;
use standins::{BoxEntry, StandinEngine};
use std::net::SocketAddr;
use std::time::Duration;
use trial::{Trial, TrialPlan};

const STEP_US: u64 = 5_000;
const HELD_STEP_US: u64 = 1_000_000;
const ANSWER_TOKENS: u32 = 100;
const START_RATES: [f64; 3] = [30.0, 60.0, 120.0];
const STREAM_COUNTS: [u32; 3] = [500, 1_000, 2_000];
const CLUSTERS: [u32; 3] = [8, 16, 32];
const REQUEST_RATES: [f64; 3] = [60.0, 120.0, 240.0];
const SHORT_ANSWER_TOKENS: u32 = 10;
const LOAD_TIME: Duration = Duration::from_secs(3);
const QUIET_TIME: Duration = Duration::from_secs(8);
const WARM_UP: Duration = Duration::from_secs(2);

/// What tokens and open streams cost a box. This is the callers' work, not control.
pub async fn entry_slopes() -> miette::Result<Vec<Slope>> {
    let (engine_process, engine_at): (_, SocketAddr) =
        RoleProcess::start("engine", &engine(STEP_US)).await?;
    let (near, box_at): (_, BoxAddresses) = RoleProcess::start("box", &box_file(engine_at)).await?;
    let mut points = Vec::new();
    for starts_per_s in START_RATES {
        let before_us = near.cpu_us();
        let load = Load {
            at: box_at.callers,
            key: ACCOUNT,
            starts_per_s,
            answer_tokens: ANSWER_TOKENS,
            time: LOAD_TIME,
            slow_readers: 0,
        };
        let measured = run_load(&load).await;
        points.push((measured.tokens as f64, near.cpu_us() - before_us));
    }
    near.kill().await;
    engine_process.kill().await;
    let subject = Subject {
        role: "entry",
        quantity: "cpu_us",
        per: "token",
    };
    let tokens = Slope::fit(subject, points, None, |slope, _| {
        slope * target::NODE_TOKENS_PER_S / 1e6 * 100.0
    });
    Ok(vec![tokens, stream_memory().await?])
}

async fn stream_memory() -> miette::Result<Slope> {
    let (engine_process, engine_at): (_, SocketAddr) =
        RoleProcess::start("engine", &engine(HELD_STEP_US)).await?;
    let (near, box_at): (_, BoxAddresses) = RoleProcess::start("box", &box_file(engine_at)).await?;
    let mut points = Vec::new();
    let mut held = Vec::new();
    let mut open = 0;
    for streams in STREAM_COUNTS {
        held.push(hold_streams(box_at.callers, ACCOUNT, streams - open).await);
        open = streams;
        points.push((f64::from(streams), near.rss_bytes() as f64));
    }
    near.kill().await;
    engine_process.kill().await;
    let subject = Subject {
        role: "entry",
        quantity: "memory_bytes",
        per: "open_stream",
    };
    Ok(Slope::fit(subject, points, None, |slope, base| {
        base + slope * target::NODE_STREAMS
    }))
}

/// Boxes as processes around one store and one box list.
struct Cluster {
    trial: Trial,
    boxes: Vec<(RoleProcess, BoxAddresses)>,
}

impl Cluster {
    async fn start(count: u32) -> miette::Result<Self> {
        let engines = vec![engine(STEP_US); 2];
        let plan = TrialPlan {
            boxes: 0,
            engines,
            ..TrialPlan::default()
        };
        let trial = Trial::start(plan).await.into_diagnostic()?;
        let mut boxes = Vec::new();
        for id in 1..=count {
            let mut file = trial.box_file(id);
            file.platform.box_list_interval_ms = None;
            boxes.push(RoleProcess::start("box", &file).await?);
        }
        let entry = |((_, addresses), id): (&(RoleProcess, BoxAddresses), u32)| {
            BoxEntry::entry_box(id, addresses.peers, "trial-a", "live")
        };
        trial.list.set(boxes.iter().zip(1..).map(entry).collect());
        tokio::time::sleep(WARM_UP).await;
        Ok(Self { trial, boxes })
    }

    fn cpu_us(&self) -> f64 {
        self.boxes.iter().map(|(process, _)| process.cpu_us()).sum()
    }

    async fn control_bytes(&self) -> f64 {
        let mut bytes = 0;
        for (_, addresses) in &self.boxes {
            bytes += view(*addresses).await.map_or(0, |view| view.control_bytes);
        }
        bytes as f64
    }

    async fn end(self) {
        for (process, _) in self.boxes {
            process.kill().await;
        }
        self.trial
            .engines
            .into_iter()
            .flatten()
            .for_each(StandinEngine::kill);
    }
}

/// What a box without requests costs, over the boxes that there are.
pub async fn quiet_slopes() -> miette::Result<Vec<Slope>> {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for count in CLUSTERS {
        let cluster = Cluster::start(count).await?;
        let (cpu_before, bytes_before) = (cluster.cpu_us(), cluster.control_bytes().await);
        tokio::time::sleep(QUIET_TIME).await;
        let box_seconds = f64::from(count) * QUIET_TIME.as_secs_f64();
        let size = f64::from(count);
        cpu.push((
            size,
            (cluster.cpu_us() - cpu_before) / box_seconds / 1e6 * 100.0,
        ));
        bytes.push((
            size,
            (cluster.control_bytes().await - bytes_before) / box_seconds,
        ));
        let rss: u64 = cluster
            .boxes
            .iter()
            .map(|(process, _)| process.rss_bytes())
            .sum();
        memory.push((size, rss as f64 / size));
        cluster.end().await;
    }
    let of = |quantity| Subject {
        role: "quiet_box",
        quantity,
        per: "boxes",
    };
    let at_nodes = |slope: f64, base: f64| base + slope.max(0.0) * target::NODES;
    Ok(vec![
        Slope::fit(of("core_percent"), cpu, Some(0.2), at_nodes),
        Slope::fit(
            of("bytes_per_s"),
            bytes,
            Some(target::BUDGET_BYTES_PER_S),
            at_nodes,
        ),
        Slope::fit(
            of("memory_bytes"),
            memory,
            Some(target::BUDGET_BYTES),
            at_nodes,
        ),
    ])
}

/// What a request costs in control: bytes between boxes, over requests a second.
pub async fn request_slopes() -> miette::Result<Vec<Slope>> {
    let count = 8;
    let cluster = Cluster::start(count).await?;
    let mut bytes = Vec::new();
    for rate in REQUEST_RATES {
        let before = cluster.control_bytes().await;
        let each = rate / f64::from(count);
        let loads = cluster.boxes.iter().map(|(_, addresses)| Load {
            at: addresses.callers,
            key: ACCOUNT,
            starts_per_s: each,
            answer_tokens: SHORT_ANSWER_TOKENS,
            time: LOAD_TIME,
            slow_readers: 0,
        });
        let loads: Vec<Load> = loads.collect();
        futures::future::join_all(loads.iter().map(run_load)).await;
        let box_seconds = f64::from(count) * LOAD_TIME.as_secs_f64();
        bytes.push((each, (cluster.control_bytes().await - before) / box_seconds));
    }
    cluster.end().await;
    let subject = Subject {
        role: "entry_and_dispatcher",
        quantity: "bytes_per_s",
        per: "requests_per_s_of_a_box",
    };
    let budget = Some(target::BUDGET_BYTES_PER_S);
    Ok(vec![Slope::fit(subject, bytes, budget, |slope, base| {
        base + slope * target::NODE_REQUESTS_PER_S
    })])
}
