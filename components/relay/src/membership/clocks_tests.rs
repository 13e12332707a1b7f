use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const BOXES: usize = 5;
const EVENTS: usize = 20_000;
/// How much older than it is a confirmation may look after each hop, in ms, besides the time of two round trips.
const HOP_ERROR_MS: i64 = 3 + (BOUND_KEPT_MS / DRIFT_INTERVAL_MS).cast_signed();

/// What a box believes of its view, and what is true.
#[derive(Clone, Copy)]
struct Confirmation {
    believed: NotBefore,
    /// When the store confirmed the view, in µs.
    true_us: i64,
    /// How much older than it is it may look, in ms.
    error_ms: i64,
}

struct Process {
    incarnation: u32,
    started_us: i64,
    clocks: PeerClocks,
    confirmation: Option<Confirmation>,
}

impl Process {
    fn start(incarnation: u32, now_us: i64) -> Self {
        Self {
            incarnation,
            started_us: now_us,
            clocks: PeerClocks::default(),
            confirmation: None,
        }
    }

    fn now_ms(&self, now_us: i64) -> u64 {
        ((now_us - self.started_us) / 1_000).cast_unsigned()
    }

    fn reading(&self, now_us: i64) -> ClockReading {
        ClockReading {
            incarnation: self.incarnation,
            at_ms: self.now_ms(now_us).cast_signed(),
        }
    }
}

/// An age that a box reports.
#[derive(Clone, Copy)]
struct Report {
    age_ms: u32,
    confirmation: Confirmation,
}

enum Event {
    Begin,
    StoreAnswers {
        at: usize,
        incarnation: u32,
        sent_ms: u64,
        true_us: i64,
    },
    Arrives {
        from: usize,
        to: usize,
        incarnation: u32,
        sent_ms: u64,
        made_at: Option<ClockReading>,
        report: Option<Report>,
    },
    Answers {
        from: usize,
        to: usize,
        incarnation: u32,
        sent_ms: u64,
        reading: ClockReading,
        report: Option<Report>,
    },
}

/// Boxes that confirm their views by the store, report them to each other and restart, all at random.
struct Simulation {
    random: SmallRng,
    max_delay_us: i64,
    processes: Vec<Process>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    incarnations: u32,
    adopted: usize,
}

impl Simulation {
    fn new(seed: u64, max_delay_ms: i64) -> Self {
        let processes = (0..BOXES).map(|at| Process::start(at as u32, 0));
        Self {
            random: SmallRng::seed_from_u64(seed),
            max_delay_us: max_delay_ms * 1_000,
            processes: processes.collect(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            incarnations: BOXES as u32,
            adopted: 0,
        }
    }

    fn schedule(&mut self, now_us: i64, event: Event) {
        let delay_us = self.random.random_range(1..=self.max_delay_us);
        let id = self.random.random();
        self.events.insert(id, event);
        self.queue.push(Reverse((now_us + delay_us, id)));
    }

    fn run(&mut self) {
        for _ in 0..BOXES {
            self.schedule(0, Event::Begin);
        }
        for _ in 0..EVENTS {
            let Reverse((now_us, id)) = self.queue.pop().unwrap();
            match self.events.remove(&id).unwrap() {
                Event::Begin => {
                    self.begin(now_us);
                    self.schedule(now_us, Event::Begin);
                }
                Event::StoreAnswers {
                    at,
                    incarnation,
                    sent_ms,
                    true_us,
                } => {
                    let believed = NotBefore::at(sent_ms);
                    let confirmation = Confirmation {
                        believed,
                        true_us,
                        error_ms: self.hop_error_ms(),
                    };
                    self.adopt(at, incarnation, confirmation);
                }
                Event::Arrives {
                    from,
                    to,
                    incarnation,
                    sent_ms,
                    made_at,
                    report,
                } => {
                    let process = &self.processes[to];
                    let made_at = made_at
                        .and_then(|reading| PeerClocks::received(reading, process.incarnation));
                    self.adopt_report(to, process.incarnation, made_at, report);
                    let answer = Event::Answers {
                        from,
                        to,
                        incarnation,
                        sent_ms,
                        reading: self.processes[to].reading(now_us),
                        report: self.report(to, now_us),
                    };
                    self.schedule(now_us, answer);
                }
                Event::Answers {
                    from,
                    to,
                    incarnation,
                    sent_ms,
                    reading,
                    report,
                } => {
                    let process = &mut self.processes[from];
                    if process.incarnation == incarnation {
                        let now_ms = process.now_ms(now_us);
                        process.clocks.record(BoxId(to as u32), reading, now_ms);
                        self.adopt_report(
                            from,
                            incarnation,
                            Some(NotBefore::answer_to(sent_ms)),
                            report,
                        );
                    }
                }
            }
        }
    }

    fn begin(&mut self, now_us: i64) {
        let at = self.random.random_range(0..BOXES);
        let to = (at + self.random.random_range(1..BOXES)) % BOXES;
        let process = &self.processes[at];
        let (incarnation, sent_ms) = (process.incarnation, process.now_ms(now_us));
        match self.random.random_range(0..20) {
            0 => {
                self.incarnations += 1;
                self.processes[at] = Process::start(self.incarnations, now_us);
            }
            1 => {
                let event = Event::StoreAnswers {
                    at,
                    incarnation,
                    sent_ms,
                    true_us: now_us,
                };
                self.schedule(now_us, event);
            }
            _ => {
                let made_at = NotBefore::at(sent_ms);
                let made_at = process
                    .clocks
                    .on_clock_of(BoxId(to as u32), made_at, sent_ms);
                let report = self.report(at, now_us);
                let event = Event::Arrives {
                    from: at,
                    to,
                    incarnation,
                    sent_ms,
                    made_at,
                    report,
                };
                self.schedule(now_us, event);
            }
        }
    }

    fn report(&self, at: usize, now_us: i64) -> Option<Report> {
        let process = &self.processes[at];
        let confirmation = process.confirmation?;
        let age_ms = confirmation.believed.age_ms(process.now_ms(now_us))?;
        Some(Report {
            age_ms,
            confirmation,
        })
    }

    fn hop_error_ms(&self) -> i64 {
        2 * self.max_delay_us / 1_000 + HOP_ERROR_MS
    }

    fn adopt_report(
        &mut self,
        at: usize,
        incarnation: u32,
        made_at: Option<NotBefore>,
        report: Option<Report>,
    ) {
        if let (Some(made_at), Some(report)) = (made_at, report) {
            let confirmation = Confirmation {
                believed: made_at.earlier_by(report.age_ms),
                true_us: report.confirmation.true_us,
                error_ms: report.confirmation.error_ms + self.hop_error_ms(),
            };
            self.adopt(at, incarnation, confirmation);
            self.adopted += 1;
        }
    }

    fn adopt(&mut self, at: usize, incarnation: u32, confirmation: Confirmation) {
        let process = &mut self.processes[at];
        if process.incarnation != incarnation {
            return;
        }
        let believed_us = confirmation.believed.0 * 1_000 + process.started_us;
        let error_us = confirmation.true_us - believed_us;
        assert!(
            error_us >= 0,
            "a view looks {} µs younger than it is",
            -error_us
        );
        assert!(
            error_us <= confirmation.error_ms * 1_000,
            "a view looks {error_us} µs older than it is"
        );
        let known = process
            .confirmation
            .filter(|known| known.believed >= confirmation.believed);
        process.confirmation = known.or(Some(confirmation));
    }
}

// Guards against an old view that looks current: ages were clamped by the clocks of boxes that had just started.
#[rstest]
#[case::prompt(1, 2)]
#[case::slow(2, 400)]
#[case::paused(3, 9_000)]
fn no_box_takes_a_view_for_younger_than_its_confirmation_by_the_store(
    #[case] seed: u64,
    #[case] max_delay_ms: i64,
) {
    let mut simulation = Simulation::new(seed, max_delay_ms);
    simulation.run();
    assert!(
        simulation.adopted > EVENTS / 10,
        "{} reports were adopted",
        simulation.adopted
    );
}

#[test]
fn a_time_before_the_start_of_the_process_keeps_its_age() {
    let confirmed = NotBefore::at(40).earlier_by(3_000);
    assert_eq!(confirmed.age_ms(50), Some(3_010));
}

#[test]
fn an_age_that_does_not_fit_is_unknown() {
    let confirmed = NotBefore::at(0).earlier_by(u32::MAX);
    assert_eq!(confirmed.age_ms(0), Some(u32::MAX));
    assert_eq!(confirmed.age_ms(1), None);
}

#[test]
fn the_clock_of_a_previous_process_is_not_used() {
    let reading = ClockReading {
        incarnation: 7,
        at_ms: 5_000,
    };
    assert_eq!(PeerClocks::received(reading, 8), None);
    let mut clocks = PeerClocks::default();
    clocks.record(BoxId(1), reading, 100);
    let restarted = ClockReading {
        incarnation: 8,
        at_ms: 0,
    };
    clocks.record(BoxId(1), restarted, 200);
    let on_its_clock = clocks.on_clock_of(BoxId(1), NotBefore::at(200), 200);
    assert!(on_its_clock.is_some_and(|reading| reading.incarnation == 8 && reading.at_ms <= 0));
}

#[test]
fn an_old_reading_of_a_clock_is_not_used() {
    let mut clocks = PeerClocks::default();
    clocks.record(
        BoxId(1),
        ClockReading {
            incarnation: 7,
            at_ms: 0,
        },
        0,
    );
    let at = |now_ms| clocks.on_clock_of(BoxId(1), NotBefore::at(now_ms), now_ms);
    assert!(at(BOUND_KEPT_MS).is_some());
    assert!(at(BOUND_KEPT_MS + 1).is_none());
}
