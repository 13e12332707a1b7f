//! Time of one decision of a dispatcher: a request arrives and is placed or queued, and an older one ends. Runs with 71 engines
//! and 800 open generations, and in pools of 100 to 10,000 engines.

use criterion::{Criterion, criterion_group, criterion_main};
use policy::{
    Demand, EngineInfo, EventGaps, LengthClass, Pool, PoolSettings, PrefillPolicy, Share,
    StreamEnd, WaitingPolicy,
};
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};
use std::hint::black_box;

const ENGINES: u64 = 71;
const OPEN_GENERATIONS: u64 = 800;
const ENGINE_TOKENS: u64 = 26_890;

fn demand(serial: u64, now_ms: u64) -> Demand {
    Demand {
        permit: PermitId {
            entry: BoxId((serial % 62) as u32),
            life: 1,
            serial,
        },
        share: Share {
            partner: PartnerId::default(),
            owner: OwnerId::default(),
            account: AccountId(serial % 24),
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: 1.0,
        },
        class: LengthClass {
            account: AccountId::default(),
            kind: (serial % 20) as u8,
        },
        prompt_tokens: 1_500 + (serial * 37 % 1_500) as u32,
        max_tokens: 1_756,
        rank: if serial.is_multiple_of(3) { 0 } else { 5 },
        pause_goal_ms: Some(180),
        arrived_ms: now_ms,
        deadline_ms: now_ms + 1_500,
        caller_deadline_ms: now_ms + 6_000,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: Some(DataCentreId(serial % 3)),
    }
}

/// Creates a pool with [`OPEN_GENERATIONS`] open generations, of which the older ones have received events.
fn filled_pool(settings: PoolSettings) -> Pool {
    filled_pool_of_size(settings, ENGINES)
}

fn filled_pool_of_size(settings: PoolSettings, engines: u64) -> Pool {
    let mut pool = Pool::new(settings);
    let engine = |id| EngineInfo {
        id: TargetId(id),
        capacity_tokens: ENGINE_TOKENS,
        data_centre: DataCentreId(id % 3),
        cold_rate_per_s: None,
    };
    pool.set_engines(&(1..=engines).map(engine).collect::<Vec<_>>());
    for serial in 0..OPEN_GENERATIONS {
        serve_one(&mut pool, serial, serial * 12);
    }
    pool
}

/// Uneven event gaps: one report in three is twice as slow, and one in seven is disturbed.
fn event_gaps(serial: u64) -> EventGaps {
    let slowdown = if serial.is_multiple_of(3) { 2 } else { 1 };
    let disturbance = if serial.is_multiple_of(7) { 3 } else { 1 };
    EventGaps {
        events: 16,
        mean_ms: 40 * slowdown,
        longest_ms: 60 * slowdown * disturbance,
        slowness_percent: 0,
    }
}

/// Submits and schedules a request, reports progress of a recent one, and ends the oldest one.
fn serve_one(pool: &mut Pool, serial: u64, now_ms: u64) {
    black_box(pool.submit(demand(serial, now_ms), now_ms));
    black_box(pool.schedule(now_ms));
    let started = serial.saturating_sub(30);
    pool.record_progress(demand(started, 0).permit, 1, now_ms);
    pool.record_event_gaps(demand(started, 0).permit, event_gaps(serial), now_ms);
    let Some(ended) = serial.checked_sub(OPEN_GENERATIONS) else {
        return;
    };
    pool.release(demand(ended, 0).permit, 300, StreamEnd::Finished);
}

fn decisions_by_policy(criterion: &mut Criterion) {
    let defaults = PoolSettings {
        first_report_ms: 0,
        margin_min: 1.25,
        ..PoolSettings::default()
    };
    let bound_and_pace = PoolSettings {
        prefill: PrefillPolicy::Bound,
        waiting: WaitingPolicy::Pace,
        prefill_tokens: 7_000,
        learns_pace: false,
        ..defaults.clone()
    };
    let first_token = PoolSettings {
        learns_pace: false,
        ..defaults.clone()
    };
    let variants = [
        ("bound_and_pace", bound_and_pace),
        ("first_token", first_token),
        ("pauses", defaults),
    ];
    for (name, settings) in variants {
        let mut pool = filled_pool(settings);
        let mut serial = OPEN_GENERATIONS;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                serial += 1;
                serve_one(&mut pool, serial, serial * 12);
            });
        });
    }
}

/// Measures a decision in pools of different sizes.
fn decisions_by_pool_size(criterion: &mut Criterion) {
    for engines in [100, 1_000, 10_000] {
        let settings = PoolSettings {
            first_report_ms: 0,
            margin_min: 1.25,
            ..PoolSettings::default()
        };
        let mut pool = filled_pool_of_size(settings, engines);
        let mut serial = OPEN_GENERATIONS;
        criterion.bench_function(&format!("engines_{engines}"), |bencher| {
            bencher.iter(|| {
                serial += 1;
                serve_one(&mut pool, serial, serial * 12);
            });
        });
    }
}

criterion_group!(benches, decisions_by_policy, decisions_by_pool_size);
criterion_main!(benches);
