//! What one decision of a dispatcher takes, at 71 engines and 800 open generations, and in pools of 100 to 10,000 engines: a
//! request comes, is placed or waits, and an older one ends.

use criterion::{Criterion, criterion_group, criterion_main};
use policy::{
    Demand, EngineInfo, GapsTold, LengthClass, Pool, PoolSettings, PrefillPolicy, Share, StreamEnd,
    WaitingPolicy,
};
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};
use std::hint::black_box;

const ENGINES: u64 = 71;
const OPEN: u64 = 800;
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

/// A pool with so many generations open, those that are older in the middle of their answers.
fn filled(settings: PoolSettings) -> Pool {
    filled_at(settings, ENGINES)
}

fn filled_at(settings: PoolSettings, engines: u64) -> Pool {
    let mut pool = Pool::new(settings);
    let engine = |id| EngineInfo {
        id: TargetId(id),
        capacity_tokens: ENGINE_TOKENS,
        data_centre: DataCentreId(id % 3),
        cold_rate_per_s: None,
    };
    pool.set_engines(&(1..=engines).map(engine).collect::<Vec<_>>());
    for serial in 0..OPEN {
        step(&mut pool, serial, serial * 12);
    }
    pool
}

/// Events of engines that are uneven: a telling in three is twice as slow, one in seven disturbed.
fn gaps(serial: u64) -> GapsTold {
    let slow = if serial.is_multiple_of(3) { 2 } else { 1 };
    let disturbed = if serial.is_multiple_of(7) { 3 } else { 1 };
    GapsTold {
        events: 16,
        mean_ms: 40 * slow,
        longest_ms: 60 * slow * disturbed,
        slowness_percent: 0,
    }
}

fn step(pool: &mut Pool, serial: u64, now_ms: u64) {
    black_box(pool.submit(demand(serial, now_ms), now_ms));
    black_box(pool.schedule(now_ms));
    let begun = serial.saturating_sub(30);
    pool.record_progress(demand(begun, 0).permit, 1, now_ms);
    pool.gaps_seen(demand(begun, 0).permit, gaps(serial), now_ms);
    let Some(ended) = serial.checked_sub(OPEN) else {
        return;
    };
    pool.release(demand(ended, 0).permit, 300, StreamEnd::Finished);
}

fn decisions(criterion: &mut Criterion) {
    let now = PoolSettings {
        first_report_ms: 0,
        margin_min: 1.25,
        ..PoolSettings::default()
    };
    let before = PoolSettings {
        prefill: PrefillPolicy::Bound,
        waiting: WaitingPolicy::Pace,
        prefill_tokens: 7_000,
        learns_pace: false,
        ..now.clone()
    };
    let without_pauses = PoolSettings {
        learns_pace: false,
        ..now.clone()
    };
    let all = [
        ("bound_and_pace", before),
        ("first_token", without_pauses),
        ("pauses", now),
    ];
    for (name, settings) in all {
        let mut pool = filled(settings);
        let mut serial = OPEN;
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                serial += 1;
                step(&mut pool, serial, serial * 12);
            });
        });
    }
}

/// The same work in pools of different sizes.
fn sizes(criterion: &mut Criterion) {
    for engines in [100, 1_000, 10_000] {
        let settings = PoolSettings {
            first_report_ms: 0,
            margin_min: 1.25,
            ..PoolSettings::default()
        };
        let mut pool = filled_at(settings, engines);
        let mut serial = OPEN;
        criterion.bench_function(&format!("engines_{engines}"), |bencher| {
            bencher.iter(|| {
                serial += 1;
                step(&mut pool, serial, serial * 12);
            });
        });
    }
}

criterion_group!(benches, decisions, sizes);
criterion_main!(benches);
