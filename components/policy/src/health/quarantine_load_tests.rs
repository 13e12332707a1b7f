//! Crashes and answers at random, as a fleet of engines would have them: how much is withheld, and how soon.

use super::parts_tests::{crash, part, request};
use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::HashSet;

/// The fatal part of the simulated prompts.
const FATAL: u64 = 7;
const ENGINES: usize = 9;
const SLOTS: usize = 64;
const STEP_MS: u64 = 10;
const FIRST_EVENT_MS: std::ops::Range<u64> = 80..400;
const RUN_MS: std::ops::Range<u64> = 1_000..8_000;
const RESTART_MS: u64 = 3_000;
/// Sound requests in a second.
const SOUND_PER_S: f64 = 12.0;

struct Run {
    digest: u64,
    parts: Vec<u64>,
    begins_ms: u64,
    ends_ms: u64,
}

#[derive(Default)]
struct Engine {
    target: u64,
    up_at_ms: u64,
    runs: Vec<Run>,
}

/// Simulated engines under sound requests, and others with a fatal part that share their account's parts.
struct Simulation {
    random: ChaCha8Rng,
    quarantine: Quarantine,
    engines: Vec<Engine>,
    now_ms: u64,
    next: u64,
    trials: HashSet<Trial>,
    crashes: u64,
    fatal_sent: u64,
    sound: u64,
    sound_refused: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let engine = |target| Engine {
            target,
            ..Engine::default()
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            quarantine: Quarantine::default(),
            engines: (0..ENGINES as u64).map(engine).collect(),
            now_ms: 1_000,
            next: 1_000,
            trials: HashSet::new(),
            crashes: 0,
            fatal_sent: 0,
            sound: 0,
            sound_refused: 0,
        }
    }

    fn new_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The parts of a sound prompt: that of its route, and that of one of ten accounts.
    fn sound_parts(&mut self) -> Vec<u64> {
        let account = 100 + (10.0 * self.random.random::<f64>().powi(2)) as u64;
        vec![1, account]
    }

    /// Sends a request if its prompt is not withheld. Returns whether it was refused.
    fn send(&mut self, parts: Vec<u64>) -> bool {
        let digest = self.new_id();
        let keys: Vec<PartKey> = parts.iter().map(|id| part(*id)).collect();
        let up = self.engines.iter_mut();
        let up = up.filter(|engine| engine.up_at_ms <= self.now_ms && engine.runs.len() < SLOTS);
        let Some(engine) = up.min_by_key(|engine| engine.runs.len()) else {
            return false;
        };
        let may_send = match self.quarantine.verdict(request(digest), &keys, self.now_ms) {
            QuarantineVerdict::Send => true,
            QuarantineVerdict::Trial(trial) => self.trials.insert(trial),
            QuarantineVerdict::Held { .. } | QuarantineVerdict::Withheld => false,
        };
        if may_send {
            self.fatal_sent += u64::from(parts.contains(&FATAL));
            let begins_ms = self.now_ms + self.random.random_range(FIRST_EVENT_MS);
            let ends_ms = begins_ms + self.random.random_range(RUN_MS);
            engine.runs.push(Run {
                digest,
                parts,
                begins_ms,
                ends_ms,
            });
        }
        !may_send
    }

    fn step(&mut self, fatal_per_s: f64) {
        self.now_ms += STEP_MS;
        let per_step = STEP_MS as f64 / 1_000.0;
        if self.random.random_bool(SOUND_PER_S * per_step) {
            let parts = self.sound_parts();
            self.sound += 1;
            self.sound_refused += u64::from(self.send(parts));
        }
        if self.random.random_bool(fatal_per_s * per_step) {
            self.send(vec![1, FATAL, 100]);
        }
        for at in 0..ENGINES {
            self.advance(at);
        }
    }

    /// Lets the runs of an engine begin and end, and crashes it under a fatal one.
    fn advance(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let begun = |run: &&Run| run.begins_ms <= now_ms && now_ms < run.begins_ms + STEP_MS;
        let begun: Vec<&Run> = self.engines[at].runs.iter().filter(begun).collect();
        if begun.iter().any(|run| run.parts.contains(&FATAL)) {
            self.crash(at);
            return;
        }
        for id in begun.iter().flat_map(|run| &run.parts) {
            self.quarantine
                .record_answer(Suspect::Part(part(*id)), now_ms);
        }
        self.engines[at].runs.retain(|run| now_ms < run.ends_ms);
    }

    fn crash(&mut self, at: usize) {
        self.crashes += 1;
        let target = self.new_id();
        let replacement = Engine {
            target,
            up_at_ms: self.now_ms + RESTART_MS,
            runs: Vec::new(),
        };
        let crashed = std::mem::replace(&mut self.engines[at], replacement);
        for run in &crashed.runs {
            let parts: &[u64] = match run.begins_ms + STEP_MS <= self.now_ms {
                true => &[],
                false => &run.parts,
            };
            let reports = crash(run.digest, parts, crashed.target);
            self.quarantine.record_crashes(&reports, self.now_ms);
        }
    }
}

/// Both errors at once: engines that crash under the fatal part, and sound requests that are refused for a part they share
/// with it.
#[rstest]
#[case::one_in_two_seconds(0.5)]
#[case::five_in_a_second(5.0)]
#[case::fifty_in_a_second(50.0)]
fn a_fatal_part_is_withheld_and_hardly_any_sound_request_with_it(#[case] fatal_per_s: f64) {
    const SERIES: u64 = 40;
    let (mut crashes, mut late_sends, mut sound, mut refused) = (0, 0, 0, 0);
    for seed in 0..SERIES {
        let mut simulation = Simulation::new(seed);
        let mut fifth_crash_ms = None;
        let mut sent_before = 0;
        while simulation.now_ms < 31_000 {
            simulation.step(fatal_per_s);
            if simulation.crashes >= 5 && fifth_crash_ms.is_none() {
                fifth_crash_ms = Some(simulation.now_ms);
            }
            if fifth_crash_ms.is_none_or(|at_ms| simulation.now_ms < at_ms + 3_000) {
                sent_before = simulation.fatal_sent;
            }
        }
        crashes += simulation.crashes;
        late_sends = late_sends.max(simulation.fatal_sent - sent_before);
        sound += simulation.sound;
        refused += simulation.sound_refused;
    }
    println!(
        "{fatal_per_s} a second: {:.1} engines crash in 30 s, at most {late_sends} late sends, \
         {refused} of {sound} sound requests refused",
        crashes as f64 / SERIES as f64
    );
    assert!(late_sends <= 3, "{late_sends} requests sent late");
    assert!(refused * 20 < sound, "{refused} of {sound}");
}

/// Racks are lost under sound requests that all share a part, and once all engines are.
#[rstest]
#[case::at_once(0, 0.001)]
#[case::one_after_the_other(120, 0.05)]
fn sound_parts_are_hardly_withheld_when_engines_are_lost(
    #[case] apart_ms: u64,
    #[case] refused_max: f64,
) {
    const SERIES: u64 = 40;
    const EACH_MS: u64 = 5_000;
    const ALL_LOST_MS: u64 = 20_000;
    let (mut sound, mut refused) = (0, 0);
    for seed in 0..SERIES {
        let mut simulation = Simulation::new(seed);
        while simulation.now_ms < 41_000 {
            simulation.step(0.0);
            let lost = match simulation.now_ms / EACH_MS * EACH_MS {
                ALL_LOST_MS => ENGINES,
                _ => 4,
            };
            for at in 0..lost {
                if simulation.now_ms % EACH_MS == at as u64 * apart_ms {
                    simulation.crash(at);
                }
            }
        }
        sound += simulation.sound;
        refused += simulation.sound_refused;
    }
    println!("{apart_ms} ms apart: {refused} of {sound} sound requests refused");
    assert!(
        refused as f64 <= refused_max * sound as f64,
        "{refused} of {sound}"
    );
}
