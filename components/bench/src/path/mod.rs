//! What an entry box adds to a stream: the same streams direct to the engine, through a bare byte
//! relay, and through the box, each a process of its own.

pub(crate) mod load;
mod report;

use crate::process::RoleProcess;
use crate::roles::BoxAddresses;
use bpaf::Bpaf;
use load::{Load, run_load};
use miette::IntoDiagnostic;
use report::{Phase, Report};
use settings::{BoxFile, BoxIdentity, KeySettings, LimitSettings, Limits, PlatformSettings};
use standins::EngineSettings;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use trial::{ANY_PORT, TrialAccount, TrialPlan};

/// Options of `path`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print JSON
    pub json: bool,
    /// Streams that are open while memory is measured
    #[bpaf(argument("COUNT"), fallback(5000))]
    pub streams: u32,
    /// Seconds for each phase
    #[bpaf(argument("SECONDS"), fallback(6))]
    pub seconds: u64,
}

/// Time of an engine's step.
const STEP_US: u64 = 4_000;
/// Starts a second; with the answers' length this is half of what the engine takes.
const STARTS_PER_S: f64 = 100.0;
const ANSWER_TOKENS: u32 = 100;
pub(crate) const ACCOUNT: &str = "visitor";
/// Readers that stop reading, in the phase with slow readers.
const SLOW_READERS: u32 = 20;

/// Time of a step of the engine on which many streams are held open.
const HELD_STEP_US: u64 = 1_000_000;

pub(crate) fn engine(step_base_us: u64) -> EngineSettings {
    EngineSettings {
        kv_capacity_tokens: 100_000_000,
        max_running: 100_000,
        step_base_us,
        step_per_stream_us: 0,
        prefill_ns_per_token: 0,
        prefill_chunk_tokens: 1_000_000,
        orphan_grace_ms: 60_000,
        ..EngineSettings::default()
    }
}

pub(crate) fn box_file(engine_at: SocketAddr) -> BoxFile {
    let plan = TrialPlan {
        engines: vec![engine(STEP_US)],
        accounts: vec![TrialAccount {
            limits: Limits {
                max_open_streams: Some(100_000),
                first_token_deadline_ms: Some(60_000),
                ..Limits::default()
            },
            ..TrialAccount::new(ACCOUNT, "owner")
        }],
        ..TrialPlan::default()
    };
    let mut branch = plan.branch(&[engine_at], &[]);
    branch.services.clear();
    BoxFile {
        identity: BoxIdentity {
            id: 1,
            data_centre: "bench-a".into(),
            region: "region-1".into(),
            callers_address: ANY_PORT,
            peers_address: ANY_PORT,
            operators_address: ANY_PORT,
        },
        platform: PlatformSettings::default(),
        keys: KeySettings {
            peer: vec!["peer".into()],
            resume: vec!["resume".into()],
        },
        limits: LimitSettings {
            open_streams: 100_000,
            balancer_delay_ms: 0,
            ..LimitSettings::default()
        },
        branches: vec![branch],
    }
}

/// Runs the measurement and prints its figures.
pub fn run(options: &Options) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let report = runtime.block_on(measure(options))?;
    report.print(options.json);
    Ok(ExitCode::SUCCESS)
}

async fn measure(options: &Options) -> miette::Result<Report> {
    let (engine_process, engine_at) = RoleProcess::start("engine", &engine(STEP_US)).await?;
    let (relay_process, relay_at): (_, SocketAddr) =
        RoleProcess::start("relay", &engine_at).await?;
    let (box_process, box_at): (_, BoxAddresses) =
        RoleProcess::start("box", &box_file(engine_at)).await?;
    let seconds = Duration::from_secs(options.seconds);
    let load = |at| Load {
        at,
        key: ACCOUNT,
        starts_per_s: STARTS_PER_S,
        answer_tokens: ANSWER_TOKENS,
        time: seconds,
        slow_readers: 0,
    };
    let direct = run_load(&load(engine_at)).await;
    let relay = phase(&relay_process, &load(relay_at)).await;
    let through_box = phase(&box_process, &load(box_at.callers)).await;
    let slow = Load {
        slow_readers: SLOW_READERS,
        ..load(box_at.callers)
    };
    let beside_slow_readers = run_load(&slow).await;
    for process in [box_process, relay_process, engine_process] {
        process.kill().await;
    }
    let (relay_memory, box_memory) = measure_memory(options.streams).await?;
    Ok(Report {
        direct,
        relay,
        through_box,
        beside_slow_readers,
        relay_memory,
        box_memory,
    })
}

/// Opens many streams through a fresh relay and a fresh box, on an engine that is slow enough for this
/// machine to carry them.
async fn measure_memory(streams: u32) -> miette::Result<(report::Memory, report::Memory)> {
    let (engine, engine_at) = RoleProcess::start("engine", &engine(HELD_STEP_US)).await?;
    let (relay, relay_at): (_, SocketAddr) = RoleProcess::start("relay", &engine_at).await?;
    let relay_memory = open_many(&relay, relay_at, streams).await;
    relay.kill().await;
    let (near, box_at): (_, BoxAddresses) = RoleProcess::start("box", &box_file(engine_at)).await?;
    let box_memory = open_many(&near, box_at.callers, streams).await;
    near.kill().await;
    engine.kill().await;
    Ok((relay_memory, box_memory))
}

async fn phase(process: &RoleProcess, load: &Load) -> Phase {
    let before_us = process.cpu_us();
    let measured = run_load(load).await;
    Phase {
        cpu_us: process.cpu_us() - before_us,
        measured,
    }
}

/// Opens many streams at once and measures the memory that the process takes for them.
async fn open_many(process: &RoleProcess, at: SocketAddr, streams: u32) -> report::Memory {
    let before_bytes = process.rss_bytes();
    let held = load::hold_streams(at, ACCOUNT, streams).await;
    let memory = report::Memory {
        open_streams: held.open(),
        rss_bytes: process.rss_bytes(),
        before_bytes,
    };
    drop(held);
    memory
}
