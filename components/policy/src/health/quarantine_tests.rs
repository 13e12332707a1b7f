use super::*;
use crate::health::causes::CRASHES_MIN;
use crate::health::evidence::{ANSWER_GRACE_MS, ANSWERS_MAX};
use prelude::{AccountId, RunId, TargetId};
use proptest::prelude::{any, prop, prop_assert_eq, proptest};
use rand::Rng;
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn request(digest: u64) -> RequestKey {
    RequestKey {
        account: AccountId(1),
        digest,
    }
}

/// A crash that is reported at the time at which it happens.
fn crash(digest: u64, target: u64, ran_ms: u32) -> TargetEnd {
    TargetEnd {
        suspect: request(digest).into(),
        target: TargetId(target),
        runs: vec![RunId::of(request(digest))],
        ran_ms,
        age_ms: 0,
    }
}

fn after(crashes: &[(u64, u64, u32)]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (at_ms, (digest, target, ran_ms)) in (1_000..).zip(crashes) {
        quarantine.record_crashes(&[crash(*digest, *target, *ran_ms)], at_ms);
    }
    quarantine
}

#[test]
fn withholds_a_request_that_crashed_three_targets() {
    let two_crashes = after(&[(7, 1, 40), (7, 2, 40)]);
    assert!(!two_crashes.is_withheld(request(7), 2_000));
    let three_crashes = after(&[(7, 1, 40), (7, 2, 40), (7, 3, 40)]);
    assert!(three_crashes.is_withheld(request(7), 2_000));
    assert!(!three_crashes.is_withheld(request(8), 2_000));
}

#[test]
fn counts_repeated_reports_of_one_crash_once() {
    let quarantine = after(&[(7, 1, 40), (7, 1, 30), (7, 1, 40), (7, 2, 40)]);
    assert!(!quarantine.is_withheld(request(7), 2_000));
}

#[test]
fn releases_a_request_after_the_withhold_time_and_withholds_it_at_the_next_crash() {
    let mut quarantine = after(&[(7, 1, 40), (7, 2, 40), (7, 3, 40)]);
    let later_ms = 1_002 + WITHHELD_MS as u64;
    assert!(quarantine.is_withheld(request(7), later_ms - 1));
    assert!(!quarantine.is_withheld(request(7), later_ms));
    quarantine.record_crashes(&[crash(7, 4, 40)], later_ms + 1);
    assert!(quarantine.is_withheld(request(7), later_ms + 2));
}

#[test]
fn ignores_crashes_of_a_request_that_was_answered_recently() {
    let mut answered_before = Quarantine::default();
    answered_before.record_answer(request(7).into(), 500);
    for target in 1..=3 {
        answered_before.record_crashes(&[crash(7, target, 40)], 1_000);
    }
    assert!(!answered_before.is_withheld(request(7), 1_001));
    let mut answered_after = after(&[(7, 1, 40), (7, 2, 40), (7, 3, 40)]);
    assert!(
        answered_after
            .record_answer(request(7).into(), 2_000)
            .is_some()
    );
    assert!(!answered_after.is_withheld(request(7), 2_001));
}

#[test]
fn counts_crashes_long_after_the_last_answer() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(request(7).into(), 0);
    for target in 1..=3 {
        quarantine.record_crashes(&[crash(7, target, 40)], ANSWER_GRACE_MS as u64 + target);
    }
    assert!(quarantine.is_withheld(request(7), ANSWER_GRACE_MS as u64 + 10));
}

#[test]
fn applies_the_acquittal_of_another_box() {
    let mut quarantine = after(&[(7, 1, 40), (7, 2, 40), (7, 3, 40)]);
    let acquittal = Acquittal {
        suspect: request(7).into(),
        by: AcquittedBy::Answer,
        age_ms: 5,
    };
    assert!(quarantine.apply_acquittal(&acquittal, 1_100));
    assert!(!quarantine.apply_acquittal(&acquittal, 1_100));
    assert!(!quarantine.is_withheld(request(7), 1_101));
}

#[test]
fn counts_reported_crashes_from_before_the_start_of_the_box() {
    let mut restarted = Quarantine::default();
    for target in 1..=3 {
        let report = TargetEnd {
            age_ms: 60_000,
            ..crash(7, target, 40)
        };
        restarted.record_crashes(&[report], 20);
    }
    assert!(restarted.is_withheld(request(7), 21));
}

#[test]
fn counts_new_crashes_after_an_operator_cleared_the_request() {
    let mut quarantine = after(&[(7, 1, 40), (7, 2, 40), (7, 3, 40)]);
    assert!(!quarantine.clear(request(7).into(), 2_000).is_empty());
    assert!(!quarantine.is_withheld(request(7), 2_001));
    for target in 4..=6 {
        quarantine.record_crashes(&[crash(7, target, 40)], 3_000);
    }
    assert!(quarantine.is_withheld(request(7), 3_001));
    assert!(quarantine.clear(request(9).into(), 3_001).is_empty());
}

#[test]
fn withholds_no_bystander_once_the_crashes_are_explained() {
    let quarantine = after(&[
        (8, 1, 900),
        (7, 1, 40),
        (8, 2, 800),
        (7, 2, 40),
        (8, 3, 850),
        (7, 3, 40),
    ]);
    assert!(quarantine.is_withheld(request(7), 2_000));
    assert!(!quarantine.is_withheld(request(8), 2_000));
}

#[test]
fn releases_a_bystander_once_another_request_explains_more_crashes() {
    let mut quarantine = after(&[(8, 1, 20), (7, 1, 40), (8, 2, 20), (7, 2, 40), (8, 3, 20)]);
    assert!(quarantine.is_withheld(request(8), 2_000));
    quarantine.record_crashes(&[crash(7, 3, 40)], 2_000);
    quarantine.record_crashes(&[crash(7, 4, 40)], 2_001);
    assert!(quarantine.is_withheld(request(7), 2_002));
    assert!(!quarantine.is_withheld(request(8), 2_002));
}

#[test]
fn keeps_a_bounded_number_of_suspects_with_the_most_crashes() {
    let mut quarantine = after(&[(7, 1, 40), (7, 2, 40), (7, 3, 40)]);
    for digest in 100..100 + 3 * SUSPECTS_MAX as u64 {
        quarantine.record_crashes(&[crash(digest, 9, 40)], 2_000 + digest);
    }
    assert_eq!(quarantine.suspects.len(), SUSPECTS_MAX);
    assert!(quarantine.is_withheld(request(7), 10_000));
}

#[test]
fn keeps_a_bounded_number_of_answers() {
    let mut quarantine = Quarantine::default();
    for digest in 0..5 * ANSWERS_MAX as u64 {
        quarantine.record_answer(request(digest).into(), digest / 100);
    }
    assert!(quarantine.recent_answers.answered_ms.len() <= ANSWERS_MAX + 1);
    assert!(quarantine.recent_answers.in_order.len() <= ANSWERS_MAX + 1);
}

proptest! {
    #[test]
    fn the_order_of_reports_does_not_change_what_is_withheld(
        crashes in prop::collection::vec((0u64..5, 0u64..6, 1u32..90), 1..30),
        order in any::<u64>(),
    ) {
        let apply = |quarantine: &mut Quarantine, crashes: &[(u64, u64, u32)]| {
            for (digest, target, ran_ms) in crashes {
                quarantine.record_crashes(&[crash(*digest, *target, *ran_ms)], 1_000);
            }
        };
        let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
        apply(&mut first, &crashes);
        let mut shuffled = crashes.clone();
        let mut random = ChaCha8Rng::seed_from_u64(order);
        shuffled.shuffle(&mut random);
        apply(&mut second, &shuffled);
        prop_assert_eq!(first.withheld_causes(2_000), second.withheld_causes(2_000));
    }
}

/// Simulated engines whose slots are all taken, and one request that crashes each engine on which it starts.
struct Simulation {
    random: ChaCha8Rng,
    /// Running requests of each engine: digest and start time.
    engines: Vec<Vec<(u64, u64)>>,
    incarnations: u64,
    innocents: u64,
    quarantine: Quarantine,
    now_ms: u64,
}

/// Digest of the request that crashes every engine.
const FATAL: u64 = 0;
const SLOTS: usize = 64;

impl Simulation {
    fn new(seed: u64, engines: usize) -> Self {
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Vec::new(); engines],
            incarnations: 0,
            innocents: 0,
            quarantine: Quarantine::default(),
            now_ms: 1_000,
        };
        for at in 0..engines {
            simulation.fill(at);
        }
        simulation
    }

    /// Fills the free slots of an engine with new requests.
    fn fill(&mut self, at: usize) {
        while self.engines[at].len() < SLOTS {
            self.innocents += 1;
            let started_ms = self
                .now_ms
                .saturating_sub(self.random.random_range(0..8_000));
            self.engines[at].push((self.innocents, started_ms));
        }
    }

    /// Runs the fatal request: it crashes an engine, and half of the interrupted requests are retried on other engines.
    fn crash_engine(&mut self) {
        self.now_ms += self.random.random_range(100..3_000);
        let at = self.random.random_range(0..self.engines.len());
        self.incarnations += 1;
        let mut interrupted = std::mem::take(&mut self.engines[at]);
        interrupted.push((FATAL, self.now_ms - self.random.random_range(20..120)));
        for (digest, started_ms) in &interrupted {
            let ran_ms = (self.now_ms - started_ms) as u32;
            self.quarantine
                .record_crashes(&[crash(*digest, self.incarnations, ran_ms)], self.now_ms);
        }
        let others: Vec<usize> = (0..self.engines.len())
            .filter(|other| *other != at)
            .collect();
        for (digest, _) in interrupted {
            if digest == FATAL || self.random.random_bool(0.5) {
                continue;
            }
            let other = *others.choose(&mut self.random).unwrap();
            let slot = self.random.random_range(0..SLOTS);
            self.engines[other][slot] = (digest, self.now_ms);
        }
        self.fill(at);
    }

    /// Innocent requests with enough crashes to be withheld if no other request explained them.
    fn innocents_with_enough_crashes(&self) -> usize {
        let enough = |evidence: &&Evidence| evidence.count() >= CRASHES_MIN;
        let all = self.quarantine.suspects.values().filter(enough).count();
        all - 1
    }

    fn innocents_withheld(&self) -> usize {
        let withheld = self.quarantine.withheld_causes(self.now_ms);
        withheld
            .iter()
            .filter(|row| row.suspects != [request(FATAL).into()])
            .count()
    }
}

/// Over many series of crashes, the fatal request must be withheld after the minimum number of crashes, and hardly any of the
/// innocent requests that it interrupted. Requests on the same engine share its crashes, and retried ones can share several.
#[rstest]
#[case::nine_engines(9)]
#[case::sixty_engines(60)]
fn innocent_requests_are_rarely_withheld(#[case] engines: usize) {
    const SERIES: u64 = 200;
    let mut innocents = 0;
    let mut enough_crashes = 0;
    let mut interrupted = 0;
    for seed in 0..SERIES {
        let mut simulation = Simulation::new(seed, engines);
        let mut crashes = 0;
        while !simulation
            .quarantine
            .is_withheld(request(FATAL), simulation.now_ms)
        {
            simulation.crash_engine();
            crashes += 1;
            assert!(
                crashes <= CRASHES_MIN,
                "seed {seed}: {crashes} engines crashed"
            );
        }
        // Two more copies of the fatal request were already sent.
        simulation.crash_engine();
        simulation.crash_engine();
        innocents += simulation.innocents_withheld();
        enough_crashes += simulation.innocents_with_enough_crashes();
        interrupted += 5 * SLOTS;
    }
    println!(
        "{innocents} innocent requests withheld of {interrupted} interrupted ones, {enough_crashes} had enough crashes"
    );
    assert!(
        innocents * 1_000 < interrupted,
        "{innocents} of {interrupted}"
    );
}
