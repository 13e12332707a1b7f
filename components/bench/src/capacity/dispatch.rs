//! The dispatcher's decisions and its memory, over the streams in its ledger.

use super::slope::{Slope, Subject};
use super::target;
use crate::process::rss_bytes;
use policy::{
    Demand, EngineInfo, LengthClass, Pool, PoolSettings, RunningStream, Share, StreamEnd,
};
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};
use std::time::Instant;

const ENGINES: u64 = 4;
const STREAM_COUNTS: [u64; 4] = [200, 400, 800, 1600];
const MEMORY_COUNTS: [u64; 3] = [50_000, 100_000, 200_000];
const CYCLES: u64 = 4_000;
const ACCOUNTS: u64 = 100;

/// The slopes of a dispatcher.
pub fn slopes() -> Vec<Slope> {
    let decision = Subject {
        role: "dispatcher",
        quantity: "decision_us",
        per: "streams_in_ledger",
    };
    let points = STREAM_COUNTS.map(|streams| (streams as f64, decision_us(streams)));
    let core_percent = |slope: f64, base: f64| {
        let each_us = base + slope * target::DISPATCHER_STREAMS;
        each_us * target::DISPATCHER_REQUESTS_PER_S / 1e6 * 100.0
    };
    let budget = Some(target::BUDGET_CORE_PERCENT);
    let decisions = Slope::fit(decision, points.to_vec(), budget, core_percent);
    let memory = Subject {
        role: "dispatcher",
        quantity: "memory_bytes",
        per: "streams_in_ledger",
    };
    let before = rss_bytes(std::process::id());
    let mut kept = Vec::new();
    let points = MEMORY_COUNTS.map(|streams| {
        kept.push(filled(streams));
        let all: u64 = MEMORY_COUNTS.iter().take(kept.len()).sum();
        (all as f64, (rss_bytes(std::process::id()) - before) as f64)
    });
    let memory = Slope::fit(
        memory,
        points.to_vec(),
        Some(target::BUDGET_BYTES),
        |slope, _| slope * target::DISPATCHER_STREAMS,
    );
    vec![decisions, memory]
}

fn demand(serial: u64) -> Demand {
    let account = serial % ACCOUNTS;
    Demand {
        permit: PermitId {
            entry: BoxId((serial % 320) as u32),
            life: 1,
            serial,
        },
        share: Share {
            partner: PartnerId(account % 2),
            owner: OwnerId(account % 10),
            account: AccountId(account),
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: 1.0,
        },
        class: LengthClass {
            account: AccountId(account),
            kind: 0,
        },
        prompt_tokens: 200,
        max_tokens: 4096,
        rank: 5,
        pause_goal_ms: None,
        arrived_ms: 0,
        deadline_ms: u64::MAX,
        caller_deadline_ms: u64::MAX,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}

/// A pool with this many streams, and room for more.
fn filled(streams: u64) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        prefill_tokens: u32::MAX,
        ..PoolSettings::default()
    });
    let capacity_tokens = streams * 2_000;
    let engine = |id| EngineInfo {
        id: TargetId(id),
        capacity_tokens,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    };
    pool.set_engines(&(0..ENGINES).map(engine).collect::<Vec<_>>());
    for serial in 0..streams {
        let adopted = RunningStream {
            demand: demand(serial),
            target: TargetId(serial % ENGINES),
            generated_tokens: 1 + (serial % 500) as u32,
        };
        pool.adopt(adopted, 0);
    }
    pool
}

/// Time of what one request costs a dispatcher: its coming, its grant, four reports and its end, with
/// a new forecast every 25 ms of 54 requests a second.
fn decision_us(streams: u64) -> f64 {
    let mut pool = filled(streams);
    let began = Instant::now();
    for cycle in 0..CYCLES {
        let serial = streams + cycle;
        let now_ms = cycle * 18;
        pool.submit(demand(serial), now_ms);
        let _ = pool.schedule(now_ms);
        let permit = demand(serial).permit;
        for tokens in [1, 64, 128, 192] {
            pool.record_progress(permit, tokens, now_ms);
        }
        pool.release(permit, 200, StreamEnd::Finished);
    }
    began.elapsed().as_micros() as f64 / CYCLES as f64
}
